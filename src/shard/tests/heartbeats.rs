//! Which heartbeats get a response, and which are late copies.

use super::*;

#[test]
fn late_copies_change_nothing_but_completions() {
    use TaskState::{Exited, Running};
    let mut controller = node(0);
    assert!(send(&mut controller, 1_000, &heartbeat(2, 9, 3, Some(Running))).0);
    let before = controller.summary(MonotonicTime(2_000), 900_000);
    let copies = [
        heartbeat(2, 9, 3, Some(Running)),
        heartbeat(2, 8, 3, None),
        heartbeat(1, 99, 3, None),
        heartbeat(2, 3, 2, Some(Exited)),
    ];
    for copy in &copies {
        assert_eq!(send(&mut controller, 2_000, copy), (false, 0), "{copy:?}");
    }
    let now = controller.summary(MonotonicTime(2_000), 900_000);
    assert_eq!(now.machines, before.machines, "nothing freed, reconciled or revived");
    assert_eq!(now.answered, before.answered, "its silence goes on");
    assert_eq!(
        now.completed_tasks,
        [(1, TaskRanges::span(0, 1))],
        "a completed task stays completed"
    );
    assert!(send(&mut controller, 3_000, &heartbeat(2, 10, 3, Some(Running))).0);
}

#[test]
fn a_machine_that_never_shows_the_token_gets_no_response_for_a_lease() {
    // Seen with a machine that did not receive its responses: its heartbeats kept it alive in the leader's eyes, so that
    // every proof of where a task is waited for it. (ms, agent epoch, sequence, token, responded)
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
        let mut controller = node(0);
        for (ms, agent_epoch, sequence, token, want) in *case {
            let got =
                send(&mut controller, *ms, &heartbeat(*agent_epoch, *sequence, *token, None)).0;
            assert_eq!(got, *want, "{n}: {ms}");
        }
    }
}

#[test]
fn an_isolated_controller_redirects_its_workers_once() {
    // With the store out and connections between controllers refused, all controllers are isolated:
    // then workers come back and must not lose their leases.
    let mut controller = node(0);
    assert!(send(&mut controller, 1_000, &heartbeat(1, 1, 3, None)).0);
    let mut answer =
        |ms, sequence| controller.on_heartbeat(MonotonicTime(ms), &heartbeat(1, sequence, 3, None));
    assert!(matches!(answer(5_500, 2), HeartbeatOutcome::Respond(_)), "not for long yet");
    assert!(matches!(answer(7_000, 3), HeartbeatOutcome::Redirect(_)));
    assert!(matches!(answer(9_000, 4), HeartbeatOutcome::Respond(_)), "it found nobody");
}

#[test]
fn a_refusing_owner_is_retried_and_an_unreachable_one_is_not() {
    // (ms, responded to here, whether the summary says that it cannot reach its owner). Seen after a crash: the
    // owner had just started and refused, and its machines were moved with a new term.
    type Case = &'static [(u64, bool, bool)];
    let refused: Case =
        &[(0, false, false), (1_000, true, false), (2_000, false, false), (3_000, true, false)];
    let cut: Case = &[(0, false, false), (5_000, true, true), (6_000, true, true)];
    for case in [refused, cut] {
        let mut controller = node(1);
        for (n, (ms, responded, unreachable)) in case.iter().enumerate() {
            let got = send(&mut controller, *ms, &heartbeat(1, n as u64 + 1, 3, None)).0;
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
    // Its machine may be lost before it reports the others, and none of them may start again.
    for (kind, done) in [(JobKind::Gang, 2), (JobKind::Array, 1)] {
        let mut controller = node(0);
        if let Some(job) = controller.replica.jobs.get_mut(&JobId(1)) {
            job.spec.kind = kind;
        }
        controller.on_heartbeat(MonotonicTime(100), &heartbeat(1, 1, 3, Some(TaskState::Exited)));
        let completed_tasks =
            controller.shard.completed_tasks.get(&JobId(1)).map(|f| f.tasks.len());
        assert_eq!(completed_tasks, Some(done), "{kind:?}");
    }
}
