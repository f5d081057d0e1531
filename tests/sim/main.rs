//! Three controllers driven through failures on stand-ins for the store, the cloud and the
//! workers, in simulated time with seeded randomness. The invariants are checked at every step.

mod cancellation;
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

use site::Rhythm;
use world::{Fault, World};

/// Plays a day of 20 leases and expects that no invariant breaks and that all that was asked for ends.
fn play(name: &str, seed: u64, rhythm: Rhythm, faults: &[(u64, Fault)]) {
    play_in(World::new(seed, rhythm), name, seed, rhythm, faults);
}

fn play_in(world: World, name: &str, seed: u64, rhythm: Rhythm, faults: &[(u64, Fault)]) {
    play_for(rhythm.lease_ms * 20, world, name, seed, rhythm, faults);
}

fn play_for(
    until: u64,
    mut world: World,
    name: &str,
    seed: u64,
    rhythm: Rhythm,
    faults: &[(u64, Fault)],
) {
    world.run(faults, until);
    let name = format!("{name} {seed} {rhythm:?}");
    assert!(world.checker.broken.is_empty(), "{name}: {:?}", world.checker.broken);
    assert!(world.too_large().is_empty(), "{name}: too large: {:?}", world.too_large());
    let open = world.unfinished();
    assert!(open.is_empty(), "{name}: not finished: {open:?}");
}
