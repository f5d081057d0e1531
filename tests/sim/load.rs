//! Much work: many small jobs, a crowd, teams at their limits.

use crate::site::{LONG_LEASES, SHORT_LEASES};
use crate::world::{Fault, World};

use Fault::{AggressivePolling, CrashLeader};

#[test]
fn many_small_jobs_with_a_quarter_cancelled_leave_few_records() {
    let faults = [(60_000, CrashLeader), (1_000, AggressivePolling(120_000))];
    let mut faults = faults.to_vec();
    faults.sort_by_key(|f| f.0);
    let mut world = World::rate(1, 720);
    world.run(&faults, 300_000);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    assert!(world.unfinished().is_empty(), "{:?}", world.unfinished());
    for n in 0..3 {
        let (keys, [open, ended, cancelled]) = world.held_records(n);
        assert_eq!((open, ended), (0, 720), "{n}");
        assert!((100..=180).contains(&cancelled), "{n}: {cancelled}");
        // Two keys a job, and some for all.
        assert!(keys < 2 * 720 + 60, "{keys} keys");
    }
    // Acceptance, end and at most two records of what was granted.
    assert!(world.writes < 4 * 720, "{} writes", world.writes);
}

#[test]
fn a_large_job_begins_in_time_beside_much_high_priority_work() {
    let mut world = World::crowded(1);
    world.run(&[], 320_000);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    assert!(!world.unfinished().is_empty(), "it was not crowded");
}

#[test]
fn no_job_starves_while_a_team_is_at_its_limit() {
    // More comes than its limit holds; between two tasks a few cores are free all the time.
    for seed in 1..=5 {
        for (rhythm, every) in [(SHORT_LEASES, 800), (LONG_LEASES, 1_600)] {
            let mut world = World::busy(seed, rhythm);
            world.every = every;
            world.run(&[], 420_000);
            let broken = &world.checker.violations;
            assert!(broken.is_empty(), "{seed} {rhythm:?}: {broken:?}");
        }
    }
}
