//! Gangs under random faults, and on machines that the cloud reclaims.

use crate::run_world;
use crate::site::{LONG_LEASES, SHORT_LEASES};
use crate::world::{self, Fault, World};

use Fault::SpotReclaimed;

#[test]
fn a_gang_on_a_reclaimed_machine_checkpoints_as_a_whole() {
    let mut saved = 0;
    for seed in 1..=20 {
        for timing in [SHORT_LEASES, LONG_LEASES] {
            let mut world = World::with_gangs(seed, timing);
            world.gang_run_ms = 25_000;
            // Two machines are reclaimed while gangs run on most machines.
            let at = 12_000 + seed * 700;
            let faults = [
                (at, SpotReclaimed(seed as usize % 8, 9_000)),
                (at + 9_000, SpotReclaimed(seed as usize % 5, 14_000)),
            ];
            world.run(&faults, timing.lease_ms * 20);
            assert!(world.checker.violations.is_empty(), "{seed}: {:?}", world.checker.violations);
            assert!(world.unfinished().is_empty(), "{seed}: {:?}", world.unfinished());
            assert!(
                world.max_checkpoint_command_lag_ms < 5_000,
                "{seed}: commanded {} ms apart",
                world.max_checkpoint_command_lag_ms
            );
            saved += world.gangs_saved();
        }
    }
    assert!(
        saved >= 5,
        "only {saved} gangs were commanded to save a checkpoint, expected at least 5"
    );
}

#[test]
fn gangs_keep_the_invariants_and_end_under_random_faults() {
    for seed in 200..240 {
        for timing in [SHORT_LEASES, LONG_LEASES] {
            let mut faults = world::random_faults::random_faults(seed, timing);
            let reclaimed = (
                5_000 + seed * 1_237 % 60_000,
                SpotReclaimed(seed as usize % 8, 4_000 + seed % 12 * 1_000),
            );
            faults.push(reclaimed);
            faults.sort_by_key(|f| f.0);
            let name = format!("gangs {faults:?}");
            run_world(World::with_gangs(seed, timing), &name, seed, timing, &faults);
        }
    }
}
