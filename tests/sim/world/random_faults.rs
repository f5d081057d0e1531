//! Sequences of random faults from a seed. The order of the draws determines the faults of a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Fault;
use crate::site::WorkerTiming;

/// Draws two groups of faults, under [`Fault::AggressivePolling`]. Each group consists of two or three random faults,
/// two cancellations of running jobs and a crash of the leader, which begin within 6 s. Durations are proportional
/// to the worker lease.
pub fn random_combined_faults(seed: u64, timing: WorkerTiming) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let lease_hundredth_ms = timing.lease_ms / 100;
    let mut faults = vec![(1_000, Fault::AggressivePolling(timing.lease_ms * 12))];
    for _ in 0..2 {
        let at = rng.random_range(10_000..70_000);
        for _ in 0..rng.random_range(2..=3) {
            let is_long = rng.random_bool(0.25);
            // In hundredths of a worker lease.
            let duration =
                if is_long { rng.random_range(150..450) } else { rng.random_range(10..150) };
            let worker = rng.random_range(0..8);
            let hold = rng.random_bool(0.5);
            let fault = match rng.random_range(0..24) {
                0 => Fault::CrashAll,
                1 => Fault::StoreOutage(duration),
                2 => Fault::StoreRefusesLeader(duration),
                3 => Fault::SlowStore(duration),
                4 => Fault::LostResponses(duration),
                5 => Fault::WorkerCrash(worker),
                6 => Fault::PartitionWorker(worker, duration, hold),
                7 => Fault::WorkerHangs(worker, duration),
                8 => Fault::PartitionZones(duration, hold),
                9 => Fault::PartitionLeader(duration, hold),
                10 => Fault::UnansweredWorker(worker, duration),
                11 => Fault::LateCopies(duration),
                12 => Fault::BriefLeaderCrash,
                13 => Fault::BriefCrashOfAll,
                14 => Fault::WorkerRestart(worker),
                15 => Fault::LeaderOnlyReachesWorkers(duration),
                16 => Fault::PeersRefuseConnections(duration),
                17 => Fault::WorkerReachesNoController(worker, duration),
                18 => Fault::LateWrites(duration),
                19 => Fault::LostStoreResponses(duration),
                20 => Fault::HoldCommands(duration),
                21 => Fault::LateCopiesForNextLeader(duration),
                22 => Fault::CancelAtEnd(duration),
                _ => Fault::FastBoots(1 + worker % 3),
            };
            faults.push((at + rng.random_range(0..3_000), fault.scaled(lease_hundredth_ms)));
        }
        for _ in 0..2 {
            let hang_ms = if rng.random_bool(0.3) {
                rng.random_range(20..120) * lease_hundredth_ms
            } else {
                0
            };
            faults.push((at + rng.random_range(0..6_000), Fault::CancelNow(3, hang_ms)));
        }
        faults.push((at + rng.random_range(0..4_000), Fault::CrashLeader));
    }
    faults.sort_by_key(|f| f.0);
    faults
}

/// Draws five faults at random times. They may overlap. Durations are proportional to the worker lease.
pub fn random_faults(seed: u64, timing: WorkerTiming) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<(u64, Fault)> = (0..5)
        .map(|_| {
            let ms = rng.random_range(4_000..25_000) * timing.lease_ms / 10_000;
            let hold = rng.random_bool(0.5);
            let worker = rng.random_range(0..4);
            let fault = match rng.random_range(0..19) {
                0 => Fault::CrashAll,
                1 => Fault::StoreOutage(ms),
                2 => Fault::StoreRefusesLeader(ms),
                3 => Fault::SlowStore(ms),
                4 => Fault::LostResponses(ms),
                5 => Fault::WorkerCrash(worker),
                6 => Fault::PartitionWorker(worker, ms, hold),
                7 => Fault::WorkerHangs(worker, ms),
                8 => Fault::PartitionZones(ms, hold),
                9 => Fault::PartitionLeader(ms, hold),
                10 => Fault::CancelAt(rng.random_range(1..7)),
                11 => Fault::UnansweredWorker(worker, ms),
                12 => Fault::LateCopies(ms),
                13 => Fault::BriefLeaderCrash,
                14 => Fault::BriefCrashOfAll,
                15 => Fault::WorkerRestart(worker),
                16 => Fault::LeaderOnlyReachesWorkers(ms),
                17 => Fault::PeersRefuseConnections(ms),
                _ => Fault::CrashLeader,
            };
            (rng.random_range(5_000..70_000), fault)
        })
        .collect();
    faults.sort_by_key(|f| f.0);
    faults
}
