//! Conditions under which granted tasks start.

use super::*;

#[test]
fn starts_require_the_shown_token_and_a_lost_start_is_not_repeated_at_once() {
    let mut controller = controller_with_owner(0);
    assert_eq!(
        send_heartbeat(&mut controller, 0, &heartbeat(1, 1, 2, None)),
        (true, 0),
        "token not shown"
    );
    assert_eq!(send_heartbeat(&mut controller, 500, &heartbeat(1, 2, 3, None)), (true, 1));
    assert_eq!(
        send_heartbeat(&mut controller, 1_500, &heartbeat(1, 3, 3, None)),
        (true, 0),
        "start not shown"
    );
    let view = controller.summary(MonotonicTime(1_500), 900_000).machines.remove(0);
    assert!(view.quarantine_ms > 0 && view.tasks.is_empty(), "{view:?}");
    assert_eq!(
        send_heartbeat(&mut controller, 5_000, &heartbeat(1, 4, 3, None)),
        (true, 1),
        "started again after the quarantine"
    );
    let shown = heartbeat(1, 5, 3, Some(TaskState::Exited));
    assert_eq!(
        send_heartbeat(&mut controller, 6_000, &shown),
        (true, 0),
        "completed, though not recorded"
    );
    let again = heartbeat(1, 6, 3, Some(TaskState::Exited));
    assert_eq!(send_heartbeat(&mut controller, 30_000, &again), (true, 0), "still completed");
}

#[test]
fn nothing_starts_unless_the_replica_was_confirmed_recently() {
    // (time at which the replica was last confirmed, time of the heartbeat, whether it gets a response,
    // starts)
    for (synced, now, responded, starts) in
        [(1_000, 1_500, true, 1), (1_000, 4_400, true, 1), (1_000, 4_600, true, 0)]
    {
        let mut controller = controller_with_owner(0);
        controller.rights.confirm_renewal(MonotonicTime(now));
        controller.rights.confirm_sync(MonotonicTime(synced));
        let got = match controller.on_heartbeat(MonotonicTime(now), &heartbeat(1, 5, 3, None)) {
            HeartbeatOutcome::Respond(reply) => (true, reply.commands.len()),
            _ => (false, 0),
        };
        assert_eq!(got, (responded, starts), "{synced} {now}");
        // The task starts once the store serves this controller again.
        assert_eq!(
            send_heartbeat(&mut controller, now + 600, &heartbeat(1, 6, 3, None)).1,
            1 - starts
        );
    }
}

#[test]
fn a_grant_awaiting_release_starts_in_the_response_to_the_heartbeat_that_shows_room() {
    // Otherwise freed capacity would stay unused for more than a heartbeat interval. The leader's tests cover
    // the grants.
    type Edit = fn(&mut wire::JobSpec);
    // (case, edit of the high-priority job, image of the task that exits, starts in the response)
    let cases: [(&str, Option<Edit>, &str, usize); 4] = [
        ("image cached", None, "img", 1),
        ("high-priority job may use the machine", Some(|_| {}), "img", 0),
        (
            "high-priority job may not use the machine",
            Some(|s| s.zone = Some("b".into())),
            "img",
            1,
        ),
        ("image not cached", None, "other", 0),
    ];
    for (what, high_priority_edit, image, starts) in cases {
        let mut controller = controller_with_owner(0);
        let mut store_job = |spec: wire::JobSpec| {
            let key = replica::job_key(spec.id);
            let v = wire::to_value(&Accepted { spec, at: WallTime(1) });
            controller.replica.load(
                &KeyValue { key, value: v, version: Revision(10) },
                &mut ReplicaChanges::default(),
            );
        };
        store_job(wire::JobSpec { vcpus: 8.0, image: image.into(), ..spec(2, 1) });
        if let Some(edit) = high_priority_edit {
            let mut other = wire::JobSpec { priority: Priority::High, ..spec(3, 1) };
            edit(&mut other);
            store_job(other);
        }
        let grant = Grant { job: 1, tasks: TaskRanges::span(1, 2), zone: None, attempt: None };
        let owners = OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() };
        let body = PlanBody { grants_awaiting_release: vec![grant], ..PlanBody::default() };
        let plan = Plan {
            term: TERM,
            incarnation: INCARNATION,
            seq: PlanSeq(2),
            leader_clock_ms: 2,
            acknowledged_summary: 0,
            owners,
            body: Some(body),
            decisions: None,
        };
        assert!(controller.shard.apply_plan(plan));
        let status = |state, exit_reason| TaskStatus {
            task: TaskId { job: JobId(2), index: 0 },
            attempt: Attempt(7),
            state,
            exit_reason,
        };
        let running = vec![status(TaskState::Running, None)];
        let exited = vec![status(TaskState::Exited, Some(ExitReason::Done))];
        let full = Heartbeat { tasks: running, ..heartbeat(1, 1, TERM.0, None) };
        let empty = Heartbeat { tasks: exited, ..heartbeat(1, 2, TERM.0, None) };
        assert_eq!(
            send_heartbeat(&mut controller, 1_000, &full),
            (true, 0),
            "{what}: no free capacity"
        );
        assert_eq!(send_heartbeat(&mut controller, 1_030, &empty), (true, starts), "{what}");
        let again = Heartbeat { sequence: 3, ..empty };
        assert_eq!(
            send_heartbeat(&mut controller, 1_040, &again),
            (true, 0),
            "{what}: started only once"
        );
    }
}

#[test]
fn pending_starts_are_dropped_by_the_first_plan_without_their_grant() {
    let machine = MachineId::new("n-1");
    for (granted, starts) in [(true, 1), (false, 0)] {
        for awaiting_release in [false, true] {
            let mut controller = controller_with_owner(0);
            let plan = controller.shard.term_state.plan.clone();
            let term_state = &mut controller.shard.term_state;
            if awaiting_release {
                let start = GrantedStart::awaiting_release(&plan, TASK);
                term_state.starts_awaiting_release.push(start);
            } else {
                let start = GrantedStart::with_room(&plan, TASK, None);
                term_state.start_queues.insert(machine.clone(), vec![start]);
            }
            let grant = Grant { job: 1, tasks: TaskRanges::span(0, 1), zone: None, attempt: None };
            let grants = if granted { vec![grant] } else { vec![] };
            controller.shard.apply_plan(Plan {
                term: TERM,
                incarnation: INCARNATION,
                seq: PlanSeq(2),
                leader_clock_ms: 2,
                acknowledged_summary: 0,
                owners: OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() },
                body: Some(PlanBody { grants, ..PlanBody::default() }),
                decisions: None,
            });
            // Early enough that no regular assignment is due.
            let response = send_heartbeat(&mut controller, 300, &heartbeat(1, 5, 3, None));
            assert_eq!(
                response,
                (true, starts),
                "granted {granted}, awaiting_release {awaiting_release}"
            );
        }
    }
}
