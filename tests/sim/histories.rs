//! The checker itself, on histories that are right and broken.

use crate::check::{Checker, Event, ShownState};

#[test]
fn the_checker_finds_broken_histories() {
    let start = |task, machine| Event::Starts { task, machine, team: 0, cores: 4, zone: None };
    let within =
        |task, machine, zone| Event::Starts { task, machine, team: 0, cores: 4, zone: Some(zone) };
    let ends = |task, machine| Event::Leaves { task, machine };
    type Case = (&'static str, Vec<(u64, Event)>, usize);
    let cases: Vec<Case> = vec![
        ("clean", vec![(0, start((1, 0), 0)), (5, ends((1, 0), 0)), (6, start((1, 0), 1))], 0),
        ("twice", vec![(0, start((1, 0), 0)), (5, start((1, 0), 1))], 1),
        ("over the limit", (0..5).map(|i| (i, start((1, i as u32), i as usize))).collect(), 1),
        (
            "over the limit with a task of a cancelled job",
            (0..4)
                .map(|i| (i, start((1, i as u32), i as usize)))
                .chain([(5, Event::Cancelled { job: 1 }), (6, start((2, 0), 4))])
                .collect(),
            1,
        ),
        (
            "within the limit once a task of a cancelled job has left",
            (0..4)
                .map(|i| (i, start((1, i as u32), i as usize)))
                .chain([(5, Event::Cancelled { job: 1 }), (6, ends((1, 0), 0))])
                .chain([(7, start((2, 0), 4))])
                .collect(),
            0,
        ),
        (
            "over the limit by what workers run",
            vec![(0, Event::TeamUses { team: 0, cores: 20 })],
            2,
        ),
        (
            "workers run less than has begun",
            vec![(0, start((1, 0), 0)), (1, Event::TeamUses { team: 0, cores: 0 })],
            1,
        ),
        (
            "runs on after its cancellation",
            vec![(0, start((1, 0), 0)), (5, Event::Cancelled { job: 1 }), (31_000, Event::Tick)],
            1,
        ),
        ("not in one zone", vec![(0, within((1, 0), 0, "a")), (1, within((1, 1), 1, "b"))], 1),
        (
            "in another zone once the first has ended",
            vec![(0, within((1, 0), 0, "a")), (1, ends((1, 0), 0)), (2, within((1, 0), 1, "b"))],
            0,
        ),
        ("called done too soon", vec![(0, Event::CalledDone { job: 1, done: 1, of: 2 })], 1),
        (
            "went back",
            vec![
                (0, Event::CalledDone { job: 1, done: 2, of: 2 }),
                (5, Event::Cancelled { job: 1 }),
            ],
            1,
        ),
    ];
    let shown = |state| Event::StateShown { job: 1, node: 0, state };
    let known = (0, Event::Submitted { job: 1 });
    let asked_to = |at| (at, Event::AskedToCancel { job: 1 });
    let could = |from: u64, to: u64, could| -> Vec<(u64, Event)> {
        (from..to).step_by(1_000).map(|at| (at, Event::JobWaiting { job: 1, could })).collect()
    };
    let gone_on = |at| vec![(at, start((1, 0), 0))];
    let closely: Vec<Case> = vec![
        (
            "open, then done",
            vec![known.clone(), (0, shown(ShownState::Open)), (1, shown(ShownState::Done))],
            0,
        ),
        ("known though nobody submitted it", vec![(0, shown(ShownState::Open))], 1),
        ("not known, and nobody submitted it", vec![(0, shown(ShownState::Unknown))], 0),
        (
            "unknown, then open",
            vec![known.clone(), (0, shown(ShownState::Unknown)), (1, shown(ShownState::Open))],
            0,
        ),
        (
            "open, then unknown",
            vec![known.clone(), (0, shown(ShownState::Open)), (1, shown(ShownState::Unknown))],
            1,
        ),
        (
            "done, then open",
            vec![known.clone(), (0, shown(ShownState::Done)), (1, shown(ShownState::Open))],
            1,
        ),
        (
            "done, then unknown",
            vec![known.clone(), (0, shown(ShownState::Done)), (1, shown(ShownState::Unknown))],
            1,
        ),
        (
            "cancelled, then open",
            vec![
                known.clone(),
                asked_to(0),
                (0, shown(ShownState::Cancelled)),
                (1, shown(ShownState::Open)),
            ],
            1,
        ),
        (
            "cancelled, then done",
            vec![
                known.clone(),
                asked_to(0),
                (0, shown(ShownState::Cancelled)),
                (1, shown(ShownState::Done)),
            ],
            1,
        ),
        (
            "cancelled without having been asked to",
            vec![known.clone(), (0, shown(ShownState::Cancelled))],
            1,
        ),
        ("has no room", could(0, 200_000, false), 0),
        ("has room for a while", could(0, 90_000, true), 0),
        ("is left waiting", could(0, 91_001, true), 1),
        (
            "goes on in between",
            [could(0, 60_000, true), gone_on(60_000), could(60_001, 140_000, true)].concat(),
            0,
        ),
    ];
    let asked = |from: u64, to: u64, known: Option<bool>| -> Vec<(u64, Event)> {
        let ask = |at| match known {
            Some(known) => (at, Event::Answered { job: 1, node: 0, known }),
            None => (at, Event::Unanswered { job: 1, node: 0 }),
        };
        (from..to).step_by(5_000).map(ask).collect()
    };
    let accepted = |at| (at, Event::Accepted { job: 1 });
    let more: Vec<Case> = vec![
        ("answered", asked(0, 90_000, Some(true)), 0),
        ("not answered for a while", asked(0, 75_001, None), 0),
        ("never answered", asked(0, 80_001, None), 1),
        ("said to be unknown", asked(0, 1, Some(false)), 1),
        ("begins", vec![accepted(0), (9, Event::Began { job: 1 }), (250_000, Event::Tick)], 0),
        ("never begins", vec![accepted(0), (240_001, Event::Tick)], 1),
        (
            "cancelled",
            vec![accepted(0), (9, Event::Cancelled { job: 1 }), (250_000, Event::Tick)],
            0,
        ),
    ];
    for (what, history, want) in cases.into_iter().chain(closely).chain(more) {
        let mut checker = Checker::new(30_000, 16);
        for (at, event) in history {
            checker.see(at, event);
        }
        assert_eq!(checker.broken.len(), want, "{what}: {:?}", checker.broken);
    }
}
