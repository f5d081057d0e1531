//! Simulates three controllers with a simulated store, cloud, network and workers under injected faults. Time is
//! simulated and randomness is seeded, so a seed always gives the same events. The invariants are checked at every
//! step.

mod cancellation;
mod cancelled_starts;
mod check;
mod failover;
mod faults;
mod fleet;
mod gangs;
mod histories;
mod load;
mod quota;
mod reach;
mod site;
mod standby;
mod stopped;
mod store;
mod worker;
mod world;

use site::WorkerTiming;
use world::{Fault, World};

/// Runs a new world for 20 lease durations and expects no violation and the end of every job.
fn run_scenario(name: &str, seed: u64, timing: WorkerTiming, faults: &[(u64, Fault)]) {
    run_world(World::new(seed, timing), name, seed, timing, faults);
}

/// Runs a world for 20 lease durations and expects no violation and the end of every job.
fn run_world(world: World, name: &str, seed: u64, timing: WorkerTiming, faults: &[(u64, Fault)]) {
    run_world_until(timing.lease_ms * 20, world, name, seed, timing, faults);
}

/// Runs a world until the time `until_ms` and expects no violation and the end of every job.
fn run_world_until(
    until_ms: u64,
    mut world: World,
    name: &str,
    seed: u64,
    timing: WorkerTiming,
    faults: &[(u64, Fault)],
) {
    world.run(faults, until_ms);
    let name = format!("{name} {seed} {timing:?}");
    assert!(world.checker.violations.is_empty(), "{name}: {:?}", world.checker.violations);
    assert!(
        world.too_large().is_empty(),
        "{name}: refused for their size: {:?}",
        world.too_large()
    );
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{name}: unfinished jobs: {unfinished:?}");
}
