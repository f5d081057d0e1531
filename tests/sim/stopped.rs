//! Controllers that are stopped and go on, or are cut off from the other controllers, while all machines are in use and
//! much is granted ahead of a free place. Whatever a term gave them has to be void once they know of the next one.

use crate::run_world_until;
use crate::site::{LONG_LEASES, SHORT_LEASES, Timing};
use crate::standby::with_standby;
use crate::world::{Fault, World};

use Fault::{
    CrashLeader, Freeze, FreezeLeader, HoldCommands, LateCopiesForNextLeader,
    PartitionControllerFromPeers, PeersRefuseConnections,
};

/// Seeds that CI plays of each case; by hand, `STOPPED_SEEDS=200 cargo test --release --test sim stopped` plays more.
const SEEDS: u64 = 3;

/// Times at which something fails, four in a day.
const FAILURES: u64 = 4;

fn seeds() -> u64 {
    let wanted = std::env::var("STOPPED_SEEDS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// The `i`th failure of a day: when it is, and for how long a process is stopped (3 to 8 s).
fn failure(seed: u64, i: u64) -> (u64, u64) {
    let at = 21_300 + 15_000 * i + 370 * (seed % 10);
    (at, 3_000 + (seed * 700 + i * 1_300) % 5_000)
}

type Day = fn(i: u64, at: u64, stopped_ms: u64) -> Vec<(u64, Fault)>;

/// What happens at each failure of a day.
const DAYS: [(&str, Day); 6] = [
    ("the leader is stopped", |_, at, ms| vec![(at, FreezeLeader(ms))]),
    ("the leader is stopped, and another controller is cut off from the others", |i, at, ms| {
        vec![
            (at - 500, PartitionControllerFromPeers(i as usize % 3, ms + 4_000)),
            (at, FreezeLeader(ms)),
        ]
    }),
    ("controllers are stopped one after the other", |i, at, ms| {
        vec![(at, Freeze(i as usize % 3, ms)), (at + 1_500, Freeze((i as usize + 1) % 3, ms))]
    }),
    ("the leader is stopped while controllers refuse each other", |_, at, ms| {
        vec![(at - 500, PeersRefuseConnections(ms + 4_000)), (at, FreezeLeader(ms))]
    }),
    ("the leader is stopped, its successor ends, and old reports come", |i, at, ms| {
        let successor = if i % 2 == 0 { vec![(at + 3_500, CrashLeader)] } else { Vec::new() };
        let stopped = [(at - 1_000, LateCopiesForNextLeader(4_000)), (at, FreezeLeader(ms))];
        stopped.into_iter().chain(successor).collect()
    }),
    ("the leader is stopped while direct commands are held up", |_, at, ms| {
        vec![(at, HoldCommands(ms)), (at, FreezeLeader(ms))]
    }),
];

fn play(name: &str, day: Day, seed: u64, rhythm: Timing, standby: bool) {
    let mut faults: Vec<(u64, Fault)> = (0..FAILURES)
        .flat_map(|i| {
            let (at, stopped_ms) = failure(seed, i);
            day(i, at, stopped_ms)
        })
        .collect();
    faults.sort_by_key(|f| f.0);
    let world = World::saturated(seed, rhythm);
    let world = if standby { with_standby(world) } else { world };
    let name = format!("{name}, standby {standby}");
    run_world_until(rhythm.lease_ms * 30, world, &name, seed, rhythm, &faults);
}

#[test]
fn a_resumed_controller_does_nothing_for_an_earlier_leader() {
    // Seen in production (docs/incidents/2026-12-02-ran-twice.md). It takes a heartbeat that shows the next token and
    // waits at the stopped leader: mostly with heartbeats every 5 s, where the term is announced to machines before
    // their next one.
    for (name, day) in DAYS {
        for seed in 0..seeds() {
            for rhythm in [SHORT_LEASES, LONG_LEASES] {
                for standby in [false, true] {
                    play(name, day, seed, rhythm, standby);
                }
            }
        }
    }
}
