//! Days of faults that are drawn at random, from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Fault;
use crate::site::Timing;

/// Two or three faults at the same time, with cancellations at bad moments, while users look closely.
pub fn random_combined_faults(seed: u64, rhythm: Timing) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let unit = rhythm.lease_ms / 100;
    let mut faults = vec![(1_000, Fault::AggressivePolling(rhythm.lease_ms * 12))];
    for _ in 0..2 {
        let at = rng.random_range(10_000..70_000);
        for _ in 0..rng.random_range(2..=3) {
            let long = rng.random_bool(0.25);
            let t = if long { rng.random_range(150..450) } else { rng.random_range(10..150) };
            let w = rng.random_range(0..8);
            let hold = rng.random_bool(0.5);
            let fault = match rng.random_range(0..24) {
                0 => Fault::CrashAll,
                1 => Fault::StoreOutage(t),
                2 => Fault::StoreRefusesLeader(t),
                3 => Fault::SlowStore(t),
                4 => Fault::LostResponses(t),
                5 => Fault::WorkerCrash(w),
                6 => Fault::PartitionWorker(w, t, hold),
                7 => Fault::WorkerHangs(w, t),
                8 => Fault::PartitionZones(t, hold),
                9 => Fault::PartitionLeader(t, hold),
                10 => Fault::UnansweredWorker(w, t),
                11 => Fault::LateCopies(t),
                12 => Fault::BriefLeaderCrash,
                13 => Fault::BriefCrashOfAll,
                14 => Fault::WorkerRestart(w),
                15 => Fault::LeaderOnlyReachesWorkers(t),
                16 => Fault::PeersRefuseConnections(t),
                17 => Fault::WorkerReachesNoController(w, t),
                18 => Fault::LateWrites(t),
                19 => Fault::LostStoreResponses(t),
                20 => Fault::HoldCommands(t),
                21 => Fault::LateCopiesForNextLeader(t),
                22 => Fault::CancelAtEnd(t),
                _ => Fault::FastBoots(1 + w % 3),
            };
            faults.push((at + rng.random_range(0..3_000), fault.scaled(unit)));
        }
        for _ in 0..2 {
            let hang = if rng.random_bool(0.3) { rng.random_range(20..120) * unit } else { 0 };
            faults.push((at + rng.random_range(0..6_000), Fault::CancelNow(3, hang)));
        }
        faults.push((at + rng.random_range(0..4_000), Fault::CrashLeader));
    }
    faults.sort_by_key(|f| f.0);
    faults
}

/// A few failures at random times, some of them at once.
pub fn random_faults(seed: u64, rhythm: Timing) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<(u64, Fault)> = (0..5)
        .map(|_| {
            let ms = rng.random_range(4_000..25_000) * rhythm.lease_ms / 10_000;
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
