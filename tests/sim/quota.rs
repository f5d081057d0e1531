//! Teams at their limits whose jobs are cancelled while tasks are granted or started and not yet confirmed by a
//! heartbeat.

use crate::site::{LONG_LEASES, SHORT_LEASES, WorkerTiming};
use crate::world::{Fault, InFlightStage, World};

use Fault::{CancelInFlight, CrashLeader, FreezeLeader};

/// Seeds that CI runs of each case. `QUOTA_SEEDS=200 cargo test --release --test sim quota` runs more.
const SEEDS: u64 = 4;

/// When users begin to cancel jobs.
const CANCELLATION_START_MS: u64 = 8_000;
/// Duration of the period in which users cancel jobs.
const CANCELLATION_PERIOD_MS: u64 = 60_000;

/// Simulated time of a run, in worker leases.
const RUN_LEASES: u64 = 30;

fn seeds() -> u64 {
    let requested = std::env::var("QUOTA_SEEDS").ok();
    requested.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Faults in addition to the cancellations.
type OtherFaults = fn(seed: u64) -> Vec<(u64, Fault)>;

const OTHER_FAULTS: [(&str, OtherFaults); 3] = [
    ("no other fault", |_| vec![]),
    ("the leader crashes twice", |seed| {
        vec![(20_000 + 130 * seed, CrashLeader), (35_000 + 170 * seed, CrashLeader)]
    }),
    ("the leader is suspended", |seed| vec![(25_000 + 150 * seed, FreezeLeader(4_000))]),
];

/// Runs a case. Returns the broken invariants and unfinished jobs, if there are any.
fn run_case(
    stage: InFlightStage,
    other_faults: OtherFaults,
    seed: u64,
    timing: WorkerTiming,
) -> Option<String> {
    let mut faults = other_faults(seed);
    faults.push((CANCELLATION_START_MS, CancelInFlight(stage, CANCELLATION_PERIOD_MS)));
    faults.sort_by_key(|f| f.0);
    let mut world = World::at_limit(seed, timing);
    world.run(&faults, timing.lease_ms * RUN_LEASES);
    let open = world.unfinished();
    let broken = &world.checker.violations;
    (!broken.is_empty() || !open.is_empty()).then(|| format!("{broken:?}, not finished: {open:?}"))
}

#[test]
fn no_team_exceeds_its_limit_when_jobs_end_with_tasks_under_way() {
    let mut failures = Vec::new();
    for stage in [InFlightStage::Granted, InFlightStage::Started, InFlightStage::StartedAndHangs] {
        for (name, other_faults) in OTHER_FAULTS {
            for timing in [SHORT_LEASES, LONG_LEASES] {
                for seed in 0..seeds() {
                    let found = run_case(stage, other_faults, seed, timing);
                    failures.extend(found.map(|found| (stage, name, timing, seed, found)));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{} runs failed: {failures:#?}", failures.len());
}
