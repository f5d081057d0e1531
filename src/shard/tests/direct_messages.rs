//! Direct messages, which do not wait for a heartbeat: term announcements, restart checks and kills.

use super::*;

#[test]
fn an_announced_term_reconciles_a_machine_once_and_its_lease_counts_from_there() {
    use TaskState::Running;
    let mut controller = controller_with_owner(0);
    controller.rights.confirm_renewal(MonotonicTime(1_000));
    controller.rights.confirm_sync(MonotonicTime(1_000));
    // The machine's heartbeat preceded the term. The term is announced at once, then after growing intervals.
    assert!(controller.shard.is_newest(&heartbeat(1, 5, 2, Some(Running))));
    let announcements = |controller: &mut Controller, ms| {
        controller.direct_messages_due(MonotonicTime(ms), 8).len()
    };
    let times = [(1_000, 1), (1_100, 0), (2_500, 1), (4_000, 0), (5_500, 1)];
    for (ms, count) in times {
        assert_eq!(announcements(&mut controller, ms), count, "{ms}");
    }
    let sent = DirectMessage {
        machine: MachineId::new("n-1"),
        endpoint: "10.1.0.1:9000".into(),
        term: TERM,
        agent_epoch: AgentEpoch(1),
        newest_known: None,
        commands: vec![],
    };
    // (agent epoch, sequence, token, whether the answer reconciles the machine). The announcement carried an
    // outdated agent epoch.
    for (agent_epoch, sequence, token, reconciled) in
        [(2, 6, 2, false), (2, 6, 3, false), (2, 7, 3, true)]
    {
        controller.on_direct_response(
            MonotonicTime(6_000),
            &sent,
            &heartbeat(agent_epoch, sequence, token, Some(Running)),
        );
        let summary = controller.summary(MonotonicTime(6_000), 900_000);
        let is_reconciled = summary.machines.iter().any(|m| m.reconciled && m.tasks.len() == 1);
        assert_eq!(is_reconciled, reconciled, "{agent_epoch} {sequence} {token}");
        // Guards against a failure in a benchmark run: a machine whose agent epoch had just begun counted as
        // silent since its scale-out, so its tasks were started a second time.
        assert_eq!(
            summary.answered.len(),
            usize::from(reconciled),
            "{agent_epoch} {sequence} {token}"
        );
    }
    assert_eq!(announcements(&mut controller, 9_000), 0);
    // A later answer may be older than a start in flight, so it must not change the machine's tasks.
    controller.on_direct_response(MonotonicTime(6_500), &sent, &heartbeat(2, 8, 3, None));
    assert!(
        controller
            .summary(MonotonicTime(6_500), 900_000)
            .machines
            .iter()
            .all(|m| m.tasks.len() == 1)
    );
}

#[test]
fn a_restarted_machine_is_distinguished_from_stale_heartbeats() {
    // Guards against a failure in a simulated day: the owner refused a restarted machine's heartbeats as
    // stale, another controller kept the machine alive as unable to reach its owner, and a new term began
    // every 15 s.
    use TaskState::Running;
    // (agent epoch and sequence of the answer to the restart check, whether the machine was restarted)
    for (agent_epoch, sequence, restarted) in [(2, 10, false), (3, 1, false), (1, 4, true)] {
        let mut controller = controller_with_owner(0);
        send_heartbeat(&mut controller, 1_000, &heartbeat(2, 9, 3, Some(Running)));
        assert!(controller.direct_messages_due(MonotonicTime(1_000), 8).is_empty());
        assert!(!send_heartbeat(&mut controller, 1_100, &heartbeat(1, 3, 0, None)).0);
        let sent = controller.direct_messages_due(MonotonicTime(1_100), 8);
        assert_eq!(sent.len(), 1);
        send_heartbeat(&mut controller, 1_200, &heartbeat(1, 2, 0, None));
        assert!(
            controller.direct_messages_due(MonotonicTime(1_200), 8).is_empty(),
            "checked only once within the minimum interval"
        );
        controller.on_direct_response(
            MonotonicTime(1_300),
            &sent[0],
            &heartbeat(agent_epoch, sequence, 3, None),
        );
        let reported = controller.summary(MonotonicTime(1_300), 900_000).restarted;
        assert_eq!(!reported.is_empty(), restarted, "{agent_epoch} {sequence}");
    }
}

#[test]
fn gang_stops_are_sent_directly_and_in_responses_and_spare_the_next_attempt() {
    let mut controller = controller_with_owner(0);
    let seq = controller.shard.term_state.plan.seq;
    let apply_stops = |controller: &mut Controller, seq, stops| {
        controller.shard.apply_plan(Plan {
            term: TERM,
            incarnation: INCARNATION,
            seq,
            leader_clock_ms: 2,
            acknowledged_summary: 0,
            owners: OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() },
            body: Some(PlanBody { stops, ..PlanBody::default() }),
            decisions: None,
        })
    };
    controller.rights.confirm_renewal(MonotonicTime(0));
    controller.rights.confirm_sync(MonotonicTime(0));
    controller.on_heartbeat(MonotonicTime(100), &heartbeat(1, 1, 3, Some(TaskState::Running)));
    // (attempts below this one are stopped, grace period in ms, grace period in s of the kill for attempt 7)
    let cases = [(7, 0, None), (8, 0, Some(0.0)), (8, 9_000, Some(9.0))];
    for (i, (before, grace_ms, want)) in cases.into_iter().enumerate() {
        let stop = GangStop { job: 1, before: Attempt(before), grace_ms };
        assert!(apply_stops(&mut controller, PlanSeq(seq.0 + 1 + i as u64), vec![stop]));
        let kill_grace_s = |commands: &[WorkerCommand]| {
            commands.iter().find_map(|command| match command {
                WorkerCommand::Kill { grace_s, .. } => Some(*grace_s),
                _ => None,
            })
        };
        let direct = controller.direct_messages_due(MonotonicTime(200 + i as u64), 8);
        assert_eq!(direct.iter().find_map(|a| kill_grace_s(&a.commands)), want, "{before} direct");
        let shown = heartbeat(1, 2 + i as u64, 3, Some(TaskState::Running));
        let HeartbeatOutcome::Respond(reply) =
            controller.on_heartbeat(MonotonicTime(300 + i as u64), &shown)
        else {
            panic!("refused");
        };
        assert_eq!(kill_grace_s(&reply.commands), want, "{before} in the response");
    }
}

/// Cancels job 1 in the way that a peer's notice or a change in the store does.
fn cancel(controller: &mut Controller, ms: u64) {
    let cancelled = replica::Progress { end: Some(JobState::Cancelled), ..Default::default() };
    let replica_changes = controller.apply_cancellation_notice(JobId(1), &cancelled, Revision(12));
    controller.on_replica_changes(
        ClockReading { monotonic: MonotonicTime(ms), wall: WallTime(ms) },
        &replica_changes,
    );
}

#[test]
fn tasks_of_a_cancelled_job_are_killed_directly() {
    // The machine may reach no controller, and its owner may have lost the right to respond.
    use TaskState::{Exited, Running};
    // (task state and token in the last heartbeat, time of that heartbeat, time of the cancellation, whether
    // a kill is sent)
    let cases = [
        (Some(Running), 3, 1_000, 1_100, true),
        (Some(Running), 2, 1_000, 1_100, true), // not reconciled
        (Some(Running), 3, 1_000, 60_000, true), // the right to respond has expired
        (Some(Exited), 3, 1_000, 1_100, false),
        (None, 3, 1_000, 1_100, true), // the response with the start may be in flight
    ];
    for (state, token, heartbeat_at, cancelled_at, killed) in cases {
        let mut controller = controller_with_owner(0);
        send_heartbeat(&mut controller, heartbeat_at, &heartbeat(1, 5, token, state));
        while !controller.direct_messages_due(MonotonicTime(heartbeat_at), 8).is_empty() {}
        cancel(&mut controller, cancelled_at);
        let messages = controller.direct_messages_due(MonotonicTime(cancelled_at), 8);
        let kills: Vec<&WorkerCommand> = messages.iter().flat_map(|a| &a.commands).collect();
        let what = format!("{state:?} {token} {cancelled_at}");
        assert_eq!(kills.len(), usize::from(killed), "{what}: {messages:?}");
        let shown =
            |k: &&WorkerCommand| matches!(k, WorkerCommand::Kill { attempt: Attempt(7), .. });
        assert_eq!(kills.iter().all(shown), state.is_some() || !killed, "{what}");
        let again = controller.direct_messages_due(MonotonicTime(cancelled_at), 8);
        assert!(again.iter().all(|a| a.commands.is_empty()), "{what}: sent only once");
    }
}

#[test]
fn earlier_cancellations_reach_a_machine_by_direct_commands_alone() {
    // The job was cancelled before a change of leader, and no heartbeat of the machine reaches the new owner.
    let mut controller = controller_with_owner(0);
    controller.rights.confirm_renewal(MonotonicTime(1_000));
    controller.rights.confirm_sync(MonotonicTime(1_000));
    cancel(&mut controller, 1_000);
    assert!(controller.shard.is_newest(&heartbeat(1, 5, 2, None)));
    let sent = controller.direct_messages_due(MonotonicTime(1_000), 8);
    assert_eq!((sent.len(), sent[0].commands.len()), (1, 0));
    controller.on_direct_response(
        MonotonicTime(1_100),
        &sent[0],
        &heartbeat(1, 6, 3, Some(TaskState::Running)),
    );
    let later = controller.direct_messages_due(MonotonicTime(1_200), 8);
    assert_eq!((later.len(), later[0].commands.len()), (1, 1));
}

#[test]
fn a_task_is_in_summaries_from_its_start_until_a_heartbeat_shows_its_end() {
    use TaskState::{Exited, Running, SavingCheckpoint};
    let is_shown = |controller: &mut Controller, ms| {
        let summary = controller.summary(MonotonicTime(ms), usize::MAX);
        let mut tasks = summary.machines.iter().flat_map(|machine| &machine.tasks);
        tasks.any(|view| view.task == TASK)
    };
    let mut controller = controller_with_owner(0);
    assert_eq!(send_heartbeat(&mut controller, 1_000, &heartbeat(1, 5, 3, None)), (true, 1));
    assert!(is_shown(&mut controller, 1_010), "the start is in flight");
    cancel(&mut controller, 1_020);
    assert!(is_shown(&mut controller, 1_030), "the job is cancelled");
    let kills = controller.direct_messages_due(MonotonicTime(1_030), 8);
    let kill = kills.iter().find(|message| !message.commands.is_empty()).unwrap();
    controller.on_direct_response(MonotonicTime(1_040), kill, &heartbeat(1, 6, 3, None));
    assert!(is_shown(&mut controller, 1_050), "the start may arrive after the kill");
    let states = [(7, Running, true), (8, SavingCheckpoint, true), (9, Exited, false)];
    for (sequence, state, shown) in states {
        let ms = 200 * sequence;
        send_heartbeat(&mut controller, ms, &heartbeat(1, sequence, 3, Some(state)));
        assert_eq!(is_shown(&mut controller, ms + 10), shown, "{state:?}");
    }
}
