//! What machines receive without waiting for their next heartbeat: terms, checks for a restart, kills.

use super::*;

#[test]
fn an_announced_term_reconciles_a_machine_once_and_its_lease_counts_from_there() {
    use TaskState::Running;
    let mut controller = node(0);
    controller.rights.confirm_renewal(MonotonicTime(1_000));
    controller.rights.confirm_sync(MonotonicTime(1_000));
    // Its heartbeat came before the term: an announcement at once, then after growing pauses, then no more.
    assert!(controller.shard.is_newest(&heartbeat(1, 5, 2, Some(Running))));
    let announcements = |controller: &mut Controller, ms| {
        controller.direct_messages_due(MonotonicTime(ms), 8).len()
    };
    let times = [(1_000, 1), (1_100, 0), (2_500, 1), (4_000, 0), (5_500, 1)];
    for (ms, count) in times {
        assert_eq!(announcements(&mut controller, ms), count, "{ms}");
    }
    let asked = DirectMessage {
        machine: MachineId::new("n-1"),
        endpoint: "10.1.0.1:9000".into(),
        term: TERM,
        agent_epoch: AgentEpoch(1),
        newest_known: None,
        commands: vec![],
    };
    // (agent epoch, sequence, token, whether it is reconciled then); the epoch was not known at first.
    for (agent_epoch, sequence, token, reconciled) in
        [(2, 6, 2, false), (2, 6, 3, false), (2, 7, 3, true)]
    {
        controller.on_direct_response(
            MonotonicTime(6_000),
            &asked,
            &heartbeat(agent_epoch, sequence, token, Some(Running)),
        );
        let now = controller.summary(MonotonicTime(6_000), 900_000);
        let is = now.machines.iter().any(|m| m.reconciled && m.tasks.len() == 1);
        assert_eq!(is, reconciled, "{agent_epoch} {sequence} {token}");
        // Seen on a bench day: a machine whose agent epoch had begun just now counted as silent
        // since its scale-out, so what ran on it was started again.
        assert_eq!(now.answered.len(), usize::from(reconciled), "{agent_epoch} {sequence} {token}");
    }
    assert_eq!(announcements(&mut controller, 9_000), 0);
    // A later answer may be older than a start on its way: it changes nothing any more.
    controller.on_direct_response(MonotonicTime(6_500), &asked, &heartbeat(2, 8, 3, None));
    assert!(
        controller
            .summary(MonotonicTime(6_500), 900_000)
            .machines
            .iter()
            .all(|m| m.tasks.len() == 1)
    );
}

#[test]
fn a_restarted_machine_is_distinguished_from_late_copies() {
    // Seen on a simulated day: its owner refused it as a late copy, another controller kept it
    // alive as one that cannot reach its owner, and a new term began every 15 s.
    use TaskState::Running;
    // (agent epoch and sequence of its response to the check, whether it was restarted)
    for (agent_epoch, sequence, restarted) in [(2, 10, false), (3, 1, false), (1, 4, true)] {
        let mut controller = node(0);
        send(&mut controller, 1_000, &heartbeat(2, 9, 3, Some(Running)));
        assert!(controller.direct_messages_due(MonotonicTime(1_000), 8).is_empty());
        assert!(!send(&mut controller, 1_100, &heartbeat(1, 3, 0, None)).0);
        let asked = controller.direct_messages_due(MonotonicTime(1_100), 8);
        assert_eq!(asked.len(), 1);
        send(&mut controller, 1_200, &heartbeat(1, 2, 0, None));
        assert!(
            controller.direct_messages_due(MonotonicTime(1_200), 8).is_empty(),
            "it is asked once in a while"
        );
        controller.on_direct_response(
            MonotonicTime(1_300),
            &asked[0],
            &heartbeat(agent_epoch, sequence, 3, None),
        );
        let reported = controller.summary(MonotonicTime(1_300), 900_000).restarted;
        assert_eq!(!reported.is_empty(), restarted, "{agent_epoch} {sequence}");
    }
}

#[test]
fn gang_stops_are_sent_directly_and_in_responses_and_spare_the_next_attempt() {
    let mut controller = node(0);
    let seq = controller.shard.term_state.plan.seq;
    let with = |controller: &mut Controller, seq, stops| {
        controller.shard.follow(Plan {
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
    // (attempts below that are stopped, leeway, what the task of attempt 7 gets)
    let cases = [(7, 0, None), (8, 0, Some(0.0)), (8, 9_000, Some(9.0))];
    for (i, (before, grace_ms, want)) in cases.into_iter().enumerate() {
        let stop = GangStop { job: 1, before: Attempt(before), grace_ms };
        assert!(with(&mut controller, PlanSeq(seq.0 + 1 + i as u64), vec![stop]));
        let leeway = |commands: &[WorkerCommand]| {
            commands.iter().find_map(|command| match command {
                WorkerCommand::Kill { grace_s, .. } => Some(*grace_s),
                _ => None,
            })
        };
        let direct = controller.direct_messages_due(MonotonicTime(200 + i as u64), 8);
        assert_eq!(direct.iter().find_map(|a| leeway(&a.commands)), want, "{before} direct");
        let shown = heartbeat(1, 2 + i as u64, 3, Some(TaskState::Running));
        let HeartbeatOutcome::Respond(reply) =
            controller.on_heartbeat(MonotonicTime(300 + i as u64), &shown)
        else {
            panic!("refused");
        };
        assert_eq!(leeway(&reply.commands), want, "{before} in the response");
    }
}

/// Cancels job 1, as a notice of a peer or the store would.
fn cancel(controller: &mut Controller, ms: u64) {
    let cancelled = replica::Progress { end: Some(JobState::Cancelled), ..Default::default() };
    let replica_changes = controller.apply_cancellation_notice(JobId(1), &cancelled, Revision(12));
    controller
        .follow(ClockReading { steady: MonotonicTime(ms), wall: WallTime(ms) }, &replica_changes);
}

#[test]
fn tasks_of_a_cancelled_job_are_killed_directly() {
    // A machine may reach nobody, and its owner may not be allowed to respond any more.
    use TaskState::{Exited, Running};
    // (its last heartbeat's task and token, when that was, when the job is cancelled, whether a kill is sent)
    let cases = [
        (Some(Running), 3, 1_000, 1_100, true),
        (Some(Running), 2, 1_000, 1_100, true), // it is not reconciled
        (Some(Running), 3, 1_000, 60_000, true), // no right to respond is left
        (Some(Exited), 3, 1_000, 1_100, false),
        (None, 3, 1_000, 1_100, true), // it was to start with the response, which may be on its way
    ];
    for (state, token, heartbeat_at, cancelled_at, killed) in cases {
        let mut controller = node(0);
        send(&mut controller, heartbeat_at, &heartbeat(1, 5, token, state));
        while !controller.direct_messages_due(MonotonicTime(heartbeat_at), 8).is_empty() {}
        cancel(&mut controller, cancelled_at);
        let out = controller.direct_messages_due(MonotonicTime(cancelled_at), 8);
        let kills: Vec<&WorkerCommand> = out.iter().flat_map(|a| &a.commands).collect();
        let what = format!("{state:?} {token} {cancelled_at}");
        assert_eq!(kills.len(), usize::from(killed), "{what}: {out:?}");
        let shown =
            |k: &&WorkerCommand| matches!(k, WorkerCommand::Kill { attempt: Attempt(7), .. });
        assert_eq!(kills.iter().all(shown), state.is_some() || !killed, "{what}");
        let again = controller.direct_messages_due(MonotonicTime(cancelled_at), 8);
        assert!(again.iter().all(|a| a.commands.is_empty()), "{what}: sent once");
    }
}

#[test]
fn earlier_cancellations_reach_a_machine_by_direct_commands_alone() {
    // The leader changed after the cancellation, and no heartbeat of the machine reaches the new owner.
    let mut controller = node(0);
    controller.rights.confirm_renewal(MonotonicTime(1_000));
    controller.rights.confirm_sync(MonotonicTime(1_000));
    cancel(&mut controller, 1_000);
    assert!(controller.shard.is_newest(&heartbeat(1, 5, 2, None)));
    let asked = controller.direct_messages_due(MonotonicTime(1_000), 8);
    assert_eq!((asked.len(), asked[0].commands.len()), (1, 0));
    controller.on_direct_response(
        MonotonicTime(1_100),
        &asked[0],
        &heartbeat(1, 6, 3, Some(TaskState::Running)),
    );
    let then = controller.direct_messages_due(MonotonicTime(1_200), 8);
    assert_eq!((then.len(), then[0].commands.len()), (1, 1));
}

#[test]
fn a_task_is_in_summaries_from_its_start_until_a_heartbeat_shows_its_end() {
    use TaskState::{Exited, Running, SavingCheckpoint};
    let is_shown = |controller: &mut Controller, ms| {
        let summary = controller.summary(MonotonicTime(ms), usize::MAX);
        let mut tasks = summary.machines.iter().flat_map(|machine| &machine.tasks);
        tasks.any(|view| view.task == TASK)
    };
    let mut controller = node(0);
    assert_eq!(send(&mut controller, 1_000, &heartbeat(1, 5, 3, None)), (true, 1));
    assert!(is_shown(&mut controller, 1_010), "its start is on its way");
    cancel(&mut controller, 1_020);
    assert!(is_shown(&mut controller, 1_030), "its job is cancelled");
    let kills = controller.direct_messages_due(MonotonicTime(1_030), 8);
    let kill = kills.iter().find(|message| !message.commands.is_empty()).unwrap();
    controller.on_direct_response(MonotonicTime(1_040), kill, &heartbeat(1, 6, 3, None));
    assert!(is_shown(&mut controller, 1_050), "the start may have arrived after the kill");
    let states = [(7, Running, true), (8, SavingCheckpoint, true), (9, Exited, false)];
    for (sequence, state, shown) in states {
        let ms = 200 * sequence;
        send(&mut controller, ms, &heartbeat(1, sequence, 3, Some(state)));
        assert_eq!(is_shown(&mut controller, ms + 10), shown, "{state:?}");
    }
}
