//! Tests the checker with histories that keep the invariants and histories that violate them.

use crate::check::{Checker, Event, ShownState};

#[test]
fn the_checker_reports_violations_and_nothing_else() {
    let start = |task, machine| Event::TaskStarted { task, machine, team: 0, cores: 4, zone: None };
    let start_in_zone = |task, machine, zone| Event::TaskStarted {
        task,
        machine,
        team: 0,
        cores: 4,
        zone: Some(zone),
    };
    let stop = |task, machine| Event::TaskStopped { task, machine };
    // Name, events with their times, expected number of violations.
    type Case = (&'static str, Vec<(u64, Event)>, usize);
    let cases: Vec<Case> = vec![
        (
            "one machine after the other",
            vec![(0, start((1, 0), 0)), (5, stop((1, 0), 0)), (6, start((1, 0), 1))],
            0,
        ),
        ("on two machines at once", vec![(0, start((1, 0), 0)), (5, start((1, 0), 1))], 1),
        ("over the limit", (0..5).map(|i| (i, start((1, i as u32), i as usize))).collect(), 1),
        (
            "over the limit with a task of a cancelled job",
            (0..4)
                .map(|i| (i, start((1, i as u32), i as usize)))
                .chain([(5, Event::JobCancelled { job: 1 }), (6, start((2, 0), 4))])
                .collect(),
            1,
        ),
        (
            "within the limit once a task of a cancelled job has stopped",
            (0..4)
                .map(|i| (i, start((1, i as u32), i as usize)))
                .chain([(5, Event::JobCancelled { job: 1 }), (6, stop((1, 0), 0))])
                .chain([(7, start((2, 0), 4))])
                .collect(),
            0,
        ),
        (
            "workers run more than was started and than the limit",
            vec![(0, Event::TeamUsage { team: 0, cores: 20 })],
            2,
        ),
        (
            "workers run less than was started",
            vec![(0, start((1, 0), 0)), (1, Event::TeamUsage { team: 0, cores: 0 })],
            1,
        ),
        (
            "runs after the cancellation limit",
            vec![(0, start((1, 0), 0)), (5, Event::JobCancelled { job: 1 }), (31_000, Event::Tick)],
            1,
        ),
        (
            "start commanded after the cancellation was shown",
            vec![
                (5, Event::JobCancelled { job: 1 }),
                (9, Event::StartCommanded { task: (1, 0), heartbeat_sent_at: 6 }),
            ],
            1,
        ),
        (
            "start commanded in the response to a heartbeat from before the cancellation was shown",
            vec![
                (5, Event::JobCancelled { job: 1 }),
                (9, Event::StartCommanded { task: (1, 0), heartbeat_sent_at: 5 }),
                (9, Event::StartCommanded { task: (2, 0), heartbeat_sent_at: 6 }),
            ],
            0,
        ),
        (
            "bound to one zone and started in two",
            vec![(0, start_in_zone((1, 0), 0, "a")), (1, start_in_zone((1, 1), 1, "b"))],
            1,
        ),
        (
            "in another zone after the first task has ended",
            vec![
                (0, start_in_zone((1, 0), 0, "a")),
                (1, stop((1, 0), 0)),
                (2, start_in_zone((1, 0), 1, "b")),
            ],
            0,
        ),
        (
            "shown as done before all tasks completed",
            vec![(0, Event::JobDone { job: 1, completed: 1, task_count: 2 })],
            1,
        ),
        (
            "done, then cancelled",
            vec![
                (0, Event::JobDone { job: 1, completed: 2, task_count: 2 }),
                (5, Event::JobCancelled { job: 1 }),
            ],
            1,
        ),
    ];
    let shown = |state| Event::JobStateShown { job: 1, node: 0, state };
    let submitted = (0, Event::JobSubmitted { job: 1 });
    let cancel_requested = |at| (at, Event::CancellationRequested { job: 1 });
    let waiting = |from: u64, to: u64, can_start| -> Vec<(u64, Event)> {
        (from..to).step_by(1_000).map(|at| (at, Event::JobWaiting { job: 1, can_start })).collect()
    };
    let started = |at| vec![(at, start((1, 0), 0))];
    let shown_states: Vec<Case> = vec![
        (
            "open, then done",
            vec![submitted.clone(), (0, shown(ShownState::Open)), (1, shown(ShownState::Done))],
            0,
        ),
        ("shown as open without a submission", vec![(0, shown(ShownState::Open))], 1),
        ("shown as unknown without a submission", vec![(0, shown(ShownState::Unknown))], 0),
        (
            "unknown, then open",
            vec![submitted.clone(), (0, shown(ShownState::Unknown)), (1, shown(ShownState::Open))],
            0,
        ),
        (
            "open, then unknown",
            vec![submitted.clone(), (0, shown(ShownState::Open)), (1, shown(ShownState::Unknown))],
            1,
        ),
        (
            "done, then open",
            vec![submitted.clone(), (0, shown(ShownState::Done)), (1, shown(ShownState::Open))],
            1,
        ),
        (
            "done, then unknown",
            vec![submitted.clone(), (0, shown(ShownState::Done)), (1, shown(ShownState::Unknown))],
            1,
        ),
        (
            "cancelled, then open",
            vec![
                submitted.clone(),
                cancel_requested(0),
                (0, shown(ShownState::Cancelled)),
                (1, shown(ShownState::Open)),
            ],
            1,
        ),
        (
            "cancelled, then done",
            vec![
                submitted.clone(),
                cancel_requested(0),
                (0, shown(ShownState::Cancelled)),
                (1, shown(ShownState::Done)),
            ],
            1,
        ),
        (
            "cancelled without a request",
            vec![submitted.clone(), (0, shown(ShownState::Cancelled))],
            1,
        ),
        ("waits without room", waiting(0, 200_000, false), 0),
        ("waits with room up to the limit", waiting(0, 90_000, true), 0),
        ("waits with room beyond the limit", waiting(0, 91_001, true), 1),
        (
            "starts a task in between",
            [waiting(0, 60_000, true), started(60_000), waiting(60_001, 140_000, true)].concat(),
            0,
        ),
    ];
    let queried = |from: u64, to: u64, known: Option<bool>| -> Vec<(u64, Event)> {
        let query = |at| match known {
            Some(known) => (at, Event::QueryAnswered { job: 1, node: 0, known }),
            None => (at, Event::QueryUnanswered { job: 1, node: 0 }),
        };
        (from..to).step_by(5_000).map(query).collect()
    };
    let accepted = |at| (at, Event::JobAccepted { job: 1 });
    let availability: Vec<Case> = vec![
        ("queries answered", queried(0, 90_000, Some(true)), 0),
        ("queries unanswered up to the limit", queried(0, 75_001, None), 0),
        ("queries unanswered beyond the limit", queried(0, 80_001, None), 1),
        ("accepted and shown as unknown", queried(0, 1, Some(false)), 1),
        ("starts", vec![accepted(0), (9, Event::JobStarted { job: 1 }), (250_000, Event::Tick)], 0),
        ("never starts", vec![accepted(0), (240_001, Event::Tick)], 1),
        (
            "cancelled before it starts",
            vec![accepted(0), (9, Event::JobCancelled { job: 1 }), (250_000, Event::Tick)],
            0,
        ),
    ];
    for (name, history, expected) in cases.into_iter().chain(shown_states).chain(availability) {
        let mut checker = Checker::new(30_000, 16);
        for (at, event) in history {
            checker.record(at, event);
        }
        assert_eq!(checker.violations.len(), expected, "{name}: {:?}", checker.violations);
    }
}
