//! No task of a job starts once a user was told that the job is cancelled, whatever fails. Only starts in responses to
//! heartbeats that were sent before are allowed.

use crate::site::{LONG_LEASES, SHORT_LEASES, WorkerTiming};
use crate::world::{Fault, InFlightStage, World};

use Fault::{
    AggressivePolling, BriefLeaderCrash, CancelInFlight, CancelNow, CrashLeader,
    FollowerOnlyReachesWorkers, FreezeLeader, LeaderOnlyReachesWorkers, LostStoreResponses,
    PartitionZones, PeersRefuseConnections, SlowStore, StoreOutage, StoreRefusesLeader,
};

/// Seeds that CI runs of each case. `CANCELLED_SEEDS=200 cargo test --release --test sim cancelled_starts` runs more.
const SEEDS: u64 = 4;
/// Period in which users cancel jobs with granted tasks that have not started.
const CANCELLATION_START_MS: u64 = 8_000;
const CANCELLATION_PERIOD_MS: u64 = 50_000;
/// Simulated time of a run, in worker leases.
const RUN_LEASES: u64 = 30;

fn seeds() -> u64 {
    let requested = std::env::var("CANCELLED_SEEDS").ok();
    requested.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Faults in addition to the cancellations.
type OtherFaults = fn(seed: u64) -> Vec<(u64, Fault)>;

const OTHER_FAULTS: [(&str, OtherFaults); 9] = [
    ("no other fault", |_| vec![]),
    ("users ask all controllers at once", |_| vec![(1_000, AggressivePolling(70_000))]),
    ("a follower reaches only its workers", |seed| {
        vec![(12_000 + 130 * seed, FollowerOnlyReachesWorkers(15_000))]
    }),
    ("the leader reaches only its workers, then its successor crashes", |seed| {
        let isolated_at = 12_000 + 130 * seed;
        vec![
            (isolated_at, LeaderOnlyReachesWorkers(15_000)),
            (isolated_at + 400, CancelNow(4, 0)),
            (isolated_at + 6_000, CrashLeader),
        ]
    }),
    ("the leader crashes and is back at once", |seed| {
        vec![(20_000 + 130 * seed, CrashLeader), (35_000 + 170 * seed, BriefLeaderCrash)]
    }),
    ("the leader is suspended", |seed| vec![(25_000 + 150 * seed, FreezeLeader(4_000))]),
    ("the store refuses the leader, then is down", |seed| {
        let refused_at = 20_000 + 130 * seed;
        vec![(refused_at, StoreRefusesLeader(9_000)), (refused_at + 1_000, StoreOutage(5_000))]
    }),
    ("controllers refuse each other and the store is slow", |seed| {
        vec![
            (10_000 + 130 * seed, PeersRefuseConnections(30_000)),
            (14_000 + 130 * seed, SlowStore(20_000)),
        ]
    }),
    ("the zones are partitioned and the store's responses are lost", |seed| {
        vec![
            (10_000 + 130 * seed, PartitionZones(25_000, seed % 2 == 0)),
            (11_000 + 130 * seed, LostStoreResponses(20_000)),
        ]
    }),
];

/// Runs a case. Returns the broken invariants and unfinished jobs, if there are any, and the number of cancelled jobs.
fn run_case(other_faults: OtherFaults, seed: u64, timing: WorkerTiming) -> (Option<String>, usize) {
    let mut faults = other_faults(seed);
    let cancellations = CancelInFlight(InFlightStage::Granted, CANCELLATION_PERIOD_MS);
    faults.push((CANCELLATION_START_MS, cancellations));
    faults.sort_by_key(|f| f.0);
    let mut world = World::at_limit(seed, timing);
    world.run(&faults, timing.lease_ms * RUN_LEASES);
    let open = world.unfinished();
    let broken = &world.checker.violations;
    let failure = (!broken.is_empty() || !open.is_empty())
        .then(|| format!("{broken:?}, not finished: {open:?}"));
    (failure, world.checker.cancelled_jobs())
}

/// Guards against a controller that has lost the store and the other controllers and, not knowing of a cancellation,
/// starts tasks of the job after another controller has confirmed the cancellation to the user.
#[test]
fn no_task_starts_after_its_user_was_told_that_the_job_is_cancelled() {
    let mut failures = Vec::new();
    let (mut runs, mut cancelled) = (0, 0);
    for (name, other_faults) in OTHER_FAULTS {
        for timing in [SHORT_LEASES, LONG_LEASES] {
            for seed in 0..seeds() {
                let (failure, cancelled_jobs) = run_case(other_faults, seed, timing);
                runs += 1;
                cancelled += cancelled_jobs;
                failures.extend(failure.map(|failure| (name, timing, seed, failure)));
            }
        }
    }
    assert!(cancelled > runs, "only {cancelled} jobs were cancelled in {runs} runs");
    assert!(failures.is_empty(), "{} of {runs} runs failed: {failures:#?}", failures.len());
}
