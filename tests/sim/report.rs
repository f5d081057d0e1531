//! Measures changes of leader in simulation.
#![allow(dead_code, missing_docs)]

mod check;
mod store;
mod takeover;
mod worker;
mod world;

use world::{BRISK, Fault, SLOW, World};

fn main() {
    for (name, fault) in [
        ("kill", Fault::CrashLeader),
        ("freeze", Fault::FreezeLeader(20_000)),
        ("cut", Fault::CutNode(20_000, true)),
    ] {
        for rhythm in [BRISK, SLOW] {
            let mut all: Vec<Vec<Option<u64>>> = vec![vec![]; 7];
            for seed in 1..=30 {
                let at = 20_000 + seed * 137;
                let mut world = World::busy(seed, rhythm);
                world.run(&[(at, fault)], at + 40_000);
                assert!(world.checker.broken.is_empty(), "{:?}", world.checker.broken);
                for (i, t) in world.trace.unwrap().phases.times().into_iter().enumerate() {
                    all[i].push(t);
                }
            }
            println!("{name} {}", rhythm.report_ms);
            for (i, mut times) in all.into_iter().enumerate() {
                times.sort_by_key(|t| t.unwrap_or(u64::MAX));
                println!(
                    "  {:18} p50 {:?} p90 {:?} max {:?}",
                    takeover::PHASES[i],
                    times[15],
                    times[27],
                    times[29]
                );
            }
        }
    }
}
