//! When granted tasks start.

use super::*;

#[test]
fn starts_need_the_shown_token_and_lost_ones_are_not_repeated_at_once() {
    let mut controller = node(0);
    assert_eq!(send(&mut controller, 0, &heartbeat(1, 1, 2, None)), (true, 0), "token not shown");
    assert_eq!(send(&mut controller, 500, &heartbeat(1, 2, 3, None)), (true, 1));
    assert_eq!(send(&mut controller, 1_500, &heartbeat(1, 3, 3, None)), (true, 0), "not shown");
    let view = controller.summary(MonotonicTime(1_500), 900_000).machines.remove(0);
    assert!(view.quarantine_ms > 0 && view.tasks.is_empty(), "{view:?}");
    assert_eq!(send(&mut controller, 5_000, &heartbeat(1, 4, 3, None)), (true, 1), "tried again");
    let shown = heartbeat(1, 5, 3, Some(TaskState::Exited));
    assert_eq!(send(&mut controller, 6_000, &shown), (true, 0), "it is done, though not on record");
    let again = heartbeat(1, 6, 3, Some(TaskState::Exited));
    assert_eq!(send(&mut controller, 30_000, &again), (true, 0), "and stays so");
}

#[test]
fn nothing_starts_unless_the_replica_was_confirmed_recently() {
    // (when the replica was last current, when the heartbeat comes, whether it gets a response, starts)
    for (synced, now, responded, starts) in
        [(1_000, 1_500, true, 1), (1_000, 4_400, true, 1), (1_000, 4_600, true, 0)]
    {
        let mut controller = node(0);
        controller.rights.confirm_renewal(MonotonicTime(now));
        controller.rights.confirm_sync(MonotonicTime(synced));
        let got = match controller.on_heartbeat(MonotonicTime(now), &heartbeat(1, 5, 3, None)) {
            HeartbeatOutcome::Respond(reply) => (true, reply.commands.len()),
            _ => (false, 0),
        };
        assert_eq!(got, (responded, starts), "{synced} {now}");
        // It starts once the store serves this controller again.
        assert_eq!(send(&mut controller, now + 600, &heartbeat(1, 6, 3, None)).1, 1 - starts);
    }
}

#[test]
fn a_grant_ahead_starts_in_the_response_to_the_heartbeat_that_shows_room() {
    // Without that, room stays unused for a heartbeat and more, see the leader's test.
    type Edit = fn(&mut wire::JobSpec);
    // (what, the urgent job, the image of the task that ends, starts in the response)
    let cases: [(&str, Option<Edit>, &str, usize); 4] = [
        ("warm", None, "img", 1),
        ("urgent work may go there", Some(|_| {}), "img", 0),
        ("urgent work may not", Some(|s| s.zone = Some("b".into())), "img", 1),
        ("its image is not there", None, "other", 0),
    ];
    for (what, urgent, image, starts) in cases {
        let mut controller = node(0);
        let mut put = |spec: wire::JobSpec| {
            let key = replica::job_key(spec.id);
            let v = wire::to_value(&Accepted { spec, at: WallTime(1) });
            controller.replica.load(
                &KeyValue { key, value: v, version: Revision(10) },
                &mut ReplicaChanges::default(),
            );
        };
        put(wire::JobSpec { vcpus: 8.0, image: image.into(), ..spec(2, 1) });
        if let Some(edit) = urgent {
            let mut other = wire::JobSpec { priority: Priority::High, ..spec(3, 1) };
            edit(&mut other);
            put(other);
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
        assert!(controller.shard.follow(plan));
        let of = |state, exit_reason| TaskStatus {
            task: TaskId { job: JobId(2), index: 0 },
            attempt: Attempt(7),
            state,
            exit_reason,
        };
        let runs = vec![of(TaskState::Running, None)];
        let ended = vec![of(TaskState::Exited, Some(ExitReason::Done))];
        let full = Heartbeat { tasks: runs, ..heartbeat(1, 1, TERM.0, None) };
        let empty = Heartbeat { tasks: ended, ..heartbeat(1, 2, TERM.0, None) };
        assert_eq!(send(&mut controller, 1_000, &full), (true, 0), "{what}: there is no room");
        assert_eq!(send(&mut controller, 1_030, &empty), (true, starts), "{what}");
        let again = Heartbeat { sequence: 3, ..empty };
        assert_eq!(send(&mut controller, 1_040, &again), (true, 0), "{what}: once only");
    }
}

#[test]
fn what_waits_to_start_ends_with_the_first_plan_that_does_not_grant_it() {
    let machine = MachineId::new("n-1");
    for (granted, starts) in [(true, 1), (false, 0)] {
        for ahead in [false, true] {
            let mut controller = node(0);
            let plan = controller.shard.term_state.plan.clone();
            let term_state = &mut controller.shard.term_state;
            if ahead {
                let start = GrantedStart::awaiting_release(&plan, TASK);
                term_state.starts_awaiting_release.push(start);
            } else {
                let start = GrantedStart::with_room(&plan, TASK, None);
                term_state.start_queues.insert(machine.clone(), vec![start]);
            }
            let grant = Grant { job: 1, tasks: TaskRanges::span(0, 1), zone: None, attempt: None };
            let grants = if granted { vec![grant] } else { vec![] };
            controller.shard.follow(Plan {
                term: TERM,
                incarnation: INCARNATION,
                seq: PlanSeq(2),
                leader_clock_ms: 2,
                acknowledged_summary: 0,
                owners: OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() },
                body: Some(PlanBody { grants, ..PlanBody::default() }),
                decisions: None,
            });
            // Before granted tasks would be assigned anew in any case.
            let response = send(&mut controller, 300, &heartbeat(1, 5, 3, None));
            assert_eq!(response, (true, starts), "granted {granted}, ahead {ahead}");
        }
    }
}
