//! Machines that reach some controllers, but not the one that owns them.

use crate::site::LONG_LEASES;
use crate::world::{Fault, World};

#[test]
fn a_machine_that_cannot_reach_its_owner_is_moved_with_one_term() {
    // Guards against terms that assign such a machine to the same owner again. A new term then began every 10 s
    // during the partition, and no task started for a part of each term. With heartbeats every second, the
    // machine is returned to the cloud before that, so only the long heartbeat interval is tested.
    const PARTITION_MS: u64 = 50_000;
    for seed in 0..4 {
        let machine = 1 + seed as usize;
        let mut world = World::saturated(seed, LONG_LEASES);
        world.run(&[], 21_000);
        let (owner, term) = (world.owner_of(machine), world.term());
        world.run(&[(21_300, Fault::PartitionWorkerFromOwner(machine, PARTITION_MS))], 60_000);
        assert_ne!(world.owner_of(machine), owner, "{seed}");
        world.run(&[], 21_300 + PARTITION_MS);
        assert!(world.term() <= term + 1, "{seed}: {} terms", world.term() - term);
        assert!(world.checker.violations.is_empty(), "{seed}: {:?}", world.checker.violations);
    }
}
