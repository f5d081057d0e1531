//! Large fleets, and the duration of a failover.

use crate::failover::PHASES;
use crate::site::SHORT_LEASES;
use crate::world::{self, Fault, World};

use Fault::{
    CrashAll, CrashLeader, FreezeLeader, PartitionLeader, PartitionZones, PeersRefuseConnections,
    UnansweredWorker, WorkersHang,
};

#[test]
fn a_large_fleet_keeps_the_invariants_and_its_messages_small() {
    // Name and faults of each case. All machines are in use, with the heartbeat interval and leases of large
    // fleets.
    let cases: Vec<(&str, Vec<(u64, Fault)>)> = vec![
        (
            "all controllers crash, a third of the machines hangs, two machines get no responses",
            vec![
                (16_000, UnansweredWorker(1_799, 60_000)),
                (16_000, UnansweredWorker(1_798, 60_000)),
                (18_000, WorkersHang(600, 60_000)),
                (19_000, CrashAll),
            ],
        ),
        (
            "controllers refuse each other while all crash",
            vec![
                (16_000, PeersRefuseConnections(40_000)),
                (17_000, CrashAll),
                (30_000, CrashLeader),
            ],
        ),
    ];
    for (name, faults) in cases {
        let mut world = World::fleet(1, 1_800);
        world.run(&faults, 180_000);
        assert!(world.checker.violations.is_empty(), "{name}: {:?}", world.checker.violations);
        let open = world.unfinished();
        assert!(open.is_empty(), "{name}: not finished: {open:?}");
        let [direct, relayed] = world.largest_message_bytes;
        assert!(direct <= world::MAX_DIRECT_BYTES, "{name}: {direct} bytes to a controller");
        assert!(
            relayed <= world::MAX_STORE_MESSAGE_BYTES,
            "{name}: {relayed} bytes through the store"
        );
        // 18,000 tasks of 60 jobs on 1,800 machines: the writes stay far below the number of events.
        assert!(world.writes < 4_000, "{name}: {} writes", world.writes);
    }
}

/// However the leader fails, each phase of the failover is observed, and the first epoch is published within
/// ten seconds.
#[test]
fn a_failover_goes_through_its_phases_in_time() {
    for fault in [CrashLeader, FreezeLeader(20_000), PartitionLeader(20_000, true)] {
        for seed in 1..=5 {
            let at = 20_000 + seed * 1_370;
            let mut world = World::busy(seed, SHORT_LEASES);
            world.run(&[(at, fault)], at + 25_000);
            assert!(
                world.checker.violations.is_empty(),
                "{fault:?}: {:?}",
                world.checker.violations
            );
            let phases = world.trace.map(|trace| trace.phases).unwrap_or_default();
            for (name, time) in PHASES.into_iter().zip(phases.times()) {
                assert!(time.is_some_and(|ms| ms < 15_000), "{fault:?} {seed}: {name} {time:?}");
            }
            assert!(phases.first_epoch.is_some_and(|ms| ms < 10_000), "{fault:?}: {phases:?}");
        }
    }
}

/// The fleet size that operators run: the leader crashes with all machines in use, and the zones are
/// partitioned later.
#[test]
fn four_thousand_machines_keep_the_invariants_and_reconcile_after_a_failover() {
    let faults = [(18_000, CrashLeader), (40_000, PartitionZones(40_000, false))];
    let mut world = World::fleet(1, 4_000);
    world.run(&faults, 200_000);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    let open = world.unfinished();
    assert!(open.is_empty(), "not finished: {open:?}");
    let [direct, relayed] = world.largest_message_bytes;
    assert!(direct <= world::MAX_DIRECT_BYTES, "{direct} bytes to a controller");
    assert!(relayed <= world::MAX_STORE_MESSAGE_BYTES, "{relayed} bytes through the store");
    assert!(world.writes < 8_000, "{} writes", world.writes);
    // All but a few machines have to show the next fencing token within two heartbeats.
    let phases = world.trace.map(|trace| trace.phases).unwrap_or_default();
    assert!(phases.reconciled.is_some_and(|ms| ms <= 12_500), "{phases:?}");
    // Printed only: the times depend on the machine that runs the test.
    println!("epoch {:.0} us, report {:.1} us", world.epochs.mean_us(), world.heartbeats.mean_us());
}
