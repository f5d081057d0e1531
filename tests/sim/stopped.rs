//! Controllers that are suspended and resumed, or partitioned from the other controllers, while all machines
//! are in use and many tasks are granted before there is room for them. Grants of a term have to be void once a
//! controller knows the next term.

use crate::run_world_until;
use crate::site::{LONG_LEASES, SHORT_LEASES, WorkerTiming};
use crate::standby::with_standby;
use crate::world::{Fault, World};

use Fault::{
    CrashLeader, Freeze, FreezeLeader, HoldCommands, LateCopiesForNextLeader,
    PartitionControllerFromPeers, PeersRefuseConnections,
};

/// Seeds that CI runs of each case. `STOPPED_SEEDS=200 cargo test --release --test sim stopped` runs more.
const SEEDS: u64 = 3;

/// Number of failures in a run.
const FAILURES_PER_RUN: u64 = 4;

fn seeds() -> u64 {
    let requested = std::env::var("STOPPED_SEEDS").ok();
    requested.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Returns the time of failure `i` of a run, and for how long a process is suspended (3 to 8 s).
fn failure(seed: u64, i: u64) -> (u64, u64) {
    let at = 21_300 + 15_000 * i + 370 * (seed % 10);
    (at, 3_000 + (seed * 700 + i * 1_300) % 5_000)
}

/// Returns the faults of failure `i`, which happens at `at` and suspends a process for `suspended_ms`.
type FaultPattern = fn(i: u64, at: u64, suspended_ms: u64) -> Vec<(u64, Fault)>;

/// Name of each case, and the faults of each failure in it.
const FAULT_PATTERNS: [(&str, FaultPattern); 6] = [
    ("the leader is suspended", |_, at, ms| vec![(at, FreezeLeader(ms))]),
    (
        "the leader is suspended, and another controller is partitioned from the others",
        |i, at, ms| {
            vec![
                (at - 500, PartitionControllerFromPeers(i as usize % 3, ms + 4_000)),
                (at, FreezeLeader(ms)),
            ]
        },
    ),
    ("controllers are suspended one after the other", |i, at, ms| {
        vec![(at, Freeze(i as usize % 3, ms)), (at + 1_500, Freeze((i as usize + 1) % 3, ms))]
    }),
    ("the leader is suspended while no controller reaches another", |_, at, ms| {
        vec![(at - 500, PeersRefuseConnections(ms + 4_000)), (at, FreezeLeader(ms))]
    }),
    (
        "the leader is suspended, its successor crashes, and copies of old heartbeats arrive",
        |i, at, ms| {
            let successor = if i % 2 == 0 { vec![(at + 3_500, CrashLeader)] } else { Vec::new() };
            let suspension = [(at - 1_000, LateCopiesForNextLeader(4_000)), (at, FreezeLeader(ms))];
            suspension.into_iter().chain(successor).collect()
        },
    ),
    ("the leader is suspended while direct commands are delayed", |_, at, ms| {
        vec![(at, HoldCommands(ms)), (at, FreezeLeader(ms))]
    }),
];

fn run_pattern(name: &str, pattern: FaultPattern, seed: u64, timing: WorkerTiming, standby: bool) {
    let mut faults: Vec<(u64, Fault)> = (0..FAILURES_PER_RUN)
        .flat_map(|i| {
            let (at, suspended_ms) = failure(seed, i);
            pattern(i, at, suspended_ms)
        })
        .collect();
    faults.sort_by_key(|f| f.0);
    let world = World::saturated(seed, timing);
    let world = if standby { with_standby(world) } else { world };
    let name = format!("{name}, standby {standby}");
    run_world_until(timing.lease_ms * 30, world, &name, seed, timing, &faults);
}

#[test]
fn a_resumed_controller_does_nothing_for_an_earlier_leader() {
    // Guards against a failure seen in production (docs/incidents/2026-12-02-ran-twice.md). It needs a
    // heartbeat that shows the next term's token and waits at the suspended leader. This happens mostly with
    // heartbeats every 5 s, as the term is then announced to machines before their next heartbeat.
    for (name, pattern) in FAULT_PATTERNS {
        for seed in 0..seeds() {
            for timing in [SHORT_LEASES, LONG_LEASES] {
                for standby in [false, true] {
                    run_pattern(name, pattern, seed, timing, standby);
                }
            }
        }
    }
}
