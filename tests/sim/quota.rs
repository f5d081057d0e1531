//! Teams at their limits whose jobs are cancelled while tasks of them are under way to their machines.

use crate::site::{LONG_LEASES, SHORT_LEASES, Timing};
use crate::world::{Fault, UnderWay, World};

use Fault::{CancelUnderWay, CrashLeader, FreezeLeader};

/// Seeds that CI plays of each case; by hand, `QUOTA_SEEDS=200 cargo test --release --test sim quota` plays more.
const SEEDS: u64 = 4;

/// When users begin to cancel, and for how long they do so, in milliseconds.
const BEGIN_MS: u64 = 8_000;
const LAST_MS: u64 = 60_000;

/// How long a day lasts, in leases.
const LEASES: u64 = 30;

fn seeds() -> u64 {
    let wanted = std::env::var("QUOTA_SEEDS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Faults beside the cancellations.
type Beside = fn(seed: u64) -> Vec<(u64, Fault)>;

const BESIDE: [(&str, Beside); 3] = [
    ("no other fault", |_| vec![]),
    ("the leader ends twice", |seed| {
        vec![(20_000 + 130 * seed, CrashLeader), (35_000 + 170 * seed, CrashLeader)]
    }),
    ("the leader is stopped", |seed| vec![(25_000 + 150 * seed, FreezeLeader(4_000))]),
];

/// Plays a day; says what is wrong with it.
fn play(what: UnderWay, beside: Beside, seed: u64, rhythm: Timing) -> Option<String> {
    let mut faults = beside(seed);
    faults.push((BEGIN_MS, CancelUnderWay(what, LAST_MS)));
    faults.sort_by_key(|f| f.0);
    let mut world = World::at_limit(seed, rhythm);
    world.run(&faults, rhythm.lease_ms * LEASES);
    let open = world.unfinished();
    let broken = &world.checker.violations;
    (!broken.is_empty() || !open.is_empty()).then(|| format!("{broken:?}, not finished: {open:?}"))
}

#[test]
fn no_team_exceeds_its_limit_when_jobs_end_with_tasks_under_way() {
    let mut wrong = Vec::new();
    for what in [UnderWay::Granted, UnderWay::Started, UnderWay::StartedAndHangs] {
        for (name, beside) in BESIDE {
            for rhythm in [SHORT_LEASES, LONG_LEASES] {
                for seed in 0..seeds() {
                    let found = play(what, beside, seed, rhythm);
                    wrong.extend(found.map(|found| (what, name, rhythm, seed, found)));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} days: {wrong:#?}", wrong.len());
}
