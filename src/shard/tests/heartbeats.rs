//! Which heartbeats get a response, and which are refused as stale or redirected.

use super::*;

#[test]
fn stale_heartbeats_change_nothing_but_completions() {
    use TaskState::{Exited, Running};
    let mut controller = controller_with_owner(0);
    assert!(send_heartbeat(&mut controller, 1_000, &heartbeat(2, 9, 3, Some(Running))).0);
    let before = controller.summary(MonotonicTime(2_000), 900_000);
    let stale_heartbeats = [
        heartbeat(2, 9, 3, Some(Running)),
        heartbeat(2, 8, 3, None),
        heartbeat(1, 99, 3, None),
        heartbeat(2, 3, 2, Some(Exited)),
    ];
    for stale in &stale_heartbeats {
        assert_eq!(send_heartbeat(&mut controller, 2_000, stale), (false, 0), "{stale:?}");
    }
    let after = controller.summary(MonotonicTime(2_000), 900_000);
    assert_eq!(after.machines, before.machines, "no task removed, no machine reconciled or added");
    assert_eq!(after.answered, before.answered, "no response recorded");
    assert_eq!(
        after.completed_tasks,
        [(1, TaskRanges::span(0, 1))],
        "a completed task stays completed"
    );
    assert!(send_heartbeat(&mut controller, 3_000, &heartbeat(2, 10, 3, Some(Running))).0);
}

#[test]
fn a_late_copy_from_before_a_machines_restart_proves_no_start_lost() {
    // Guards against a task that is started twice: all controllers and a machine were restarted, so the machine counted
    // from the beginning again and nobody knew its former count. A late copy of one of its former heartbeats had a
    // higher sequence number, but a lower token, and lacked a task that had just been started on the machine.
    let mut controller = controller_with_owner(0);
    assert_eq!(send_heartbeat(&mut controller, 1_000, &heartbeat(1, 2, 3, None)), (true, 1));
    let copy = heartbeat(1, 99, 2, None);
    assert_eq!(send_heartbeat(&mut controller, 3_000, &copy), (false, 0));
    let asked = controller.direct_messages_due(MonotonicTime(3_000), 8);
    assert!(asked.iter().any(|message| message.newest_known.is_some()), "{asked:?}");
    let running = heartbeat(1, 3, 3, Some(TaskState::Running));
    assert_eq!(send_heartbeat(&mut controller, 4_000, &running), (true, 0));
}

#[test]
fn a_machine_that_never_shows_the_token_gets_no_response_for_a_lease() {
    // Guards against a machine that did not receive its responses: its heartbeats made the leader consider it
    // alive, so every proof of where its tasks were waited for it. (ms, agent epoch, sequence, token, whether
    // the heartbeat gets a response)
    type Heartbeats = &'static [(u64, u64, u64, u64, bool)];
    let cases: [Heartbeats; 3] = [
        &[
            (0, 1, 1, 2, true),
            (1_500, 1, 2, 2, true),
            (3_000, 1, 3, 2, true),
            (4_500, 1, 4, 2, false),
            (17_000, 2, 9, 2, false),
            (19_000, 2, 10, 2, true),
        ],
        &[(0, 1, 1, 2, true), (9_000, 2, 2, 2, false), (10_000, 2, 3, 3, true)],
        &[(0, 1, 1, 2, true), (500, 1, 2, 3, true), (9_000, 2, 3, 3, true)],
    ];
    for (n, case) in cases.iter().enumerate() {
        let mut controller = controller_with_owner(0);
        for (ms, agent_epoch, sequence, token, want) in *case {
            let got = send_heartbeat(
                &mut controller,
                *ms,
                &heartbeat(*agent_epoch, *sequence, *token, None),
            )
            .0;
            assert_eq!(got, *want, "{n}: {ms}");
        }
    }
}

#[test]
fn an_isolated_controller_redirects_its_workers_once() {
    // If the store is down and connections between controllers are refused, all controllers are isolated.
    // Redirected workers then return and must not lose their leases.
    let mut controller = controller_with_owner(0);
    assert!(send_heartbeat(&mut controller, 1_000, &heartbeat(1, 1, 3, None)).0);
    let mut deliver =
        |ms, sequence| controller.on_heartbeat(MonotonicTime(ms), &heartbeat(1, sequence, 3, None));
    assert!(
        matches!(deliver(5_500, 2), HeartbeatOutcome::Respond(_)),
        "isolation threshold not reached"
    );
    assert!(matches!(deliver(7_000, 3), HeartbeatOutcome::Redirect(_)));
    assert!(
        matches!(deliver(9_000, 4), HeartbeatOutcome::Respond(_)),
        "returned from the redirect"
    );
}

#[test]
fn a_refusing_owner_is_retried_and_an_unreachable_one_is_not() {
    // (ms, whether the heartbeat gets a response here, whether the summary reports that the machine cannot
    // reach its owner). Guards against a failure after a crash: the owner had just restarted and refused its
    // machines, which were moved to other owners by a new term.
    type Case = &'static [(u64, bool, bool)];
    let refusing: Case =
        &[(0, false, false), (1_000, true, false), (2_000, false, false), (3_000, true, false)];
    let unreachable_owner: Case = &[(0, false, false), (5_000, true, true), (6_000, true, true)];
    for case in [refusing, unreachable_owner] {
        let mut controller = controller_with_owner(1);
        for (n, (ms, responded, unreachable)) in case.iter().enumerate() {
            let got = send_heartbeat(&mut controller, *ms, &heartbeat(1, n as u64 + 1, 3, None)).0;
            assert_eq!(got, *responded, "{ms}");
            let foreign_machines =
                controller.summary(MonotonicTime(*ms + 3_000), 900_000).foreign_machines;
            assert_eq!(
                foreign_machines.iter().any(|foreign| foreign.since_ms > 2_500),
                *unreachable,
                "{ms}"
            );
        }
    }
}

#[test]
fn one_completed_task_of_a_gang_completes_all() {
    // The machine may be lost before it reports the other tasks, and none of them may be started again.
    for (kind, done) in [(JobKind::Gang, 2), (JobKind::Array, 1)] {
        let mut controller = controller_with_owner(0);
        if let Some(job) = controller.replica.jobs.get_mut(&JobId(1)) {
            job.spec.kind = kind;
        }
        controller.on_heartbeat(MonotonicTime(100), &heartbeat(1, 1, 3, Some(TaskState::Exited)));
        let completed_tasks =
            controller.shard.completed_tasks.get(&JobId(1)).map(|f| f.tasks.len());
        assert_eq!(completed_tasks, Some(done), "{kind:?}");
    }
}
