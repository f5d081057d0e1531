//! Leaders that are stopped and go on after they were replaced, while all machines are in use and much is granted
//! ahead of a free place.

use crate::play_for;
use crate::site::{Rhythm, SLOW};
use crate::world::{Fault, World};

/// Seeds that CI plays; more are played by hand with `STOPPED_SEEDS`.
const SEEDS: u64 = 12;

fn seeds() -> u64 {
    let wanted = std::env::var("STOPPED_SEEDS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Leaders that are stopped for 3 to 8 s, four times.
fn stops(seed: u64) -> Vec<(u64, Fault)> {
    (0..4)
        .map(|i| {
            let at = 21_300 + 15_000 * i + 370 * (seed % 10);
            (at, Fault::FreezeLeader(3_000 + (seed * 7 + i * 1_300) % 5_000))
        })
        .collect()
}

fn play(seed: u64, rhythm: Rhythm) {
    let world = World::saturated(seed, rhythm);
    play_for(rhythm.lease_ms * 30, world, "saturated", seed, rhythm, &stops(seed));
}

#[test]
fn a_leader_that_goes_on_starts_nothing_of_an_earlier_term() {
    // Seen in production (docs/incidents/2026-12-02-ran-twice.md). It takes a report that shows the next token and
    // waits at the stopped leader: with reports every 5 s its machines are told of the term before they report again.
    for seed in 0..seeds() {
        play(seed, SLOW);
    }
}
