//! High load: many small jobs, more jobs than the machines can run, teams at their limits.

use crate::site::{LONG_LEASES, SHORT_LEASES};
use crate::world::{Fault, World};

use Fault::{AggressivePolling, CrashLeader};

#[test]
fn many_small_jobs_with_a_quarter_cancelled_leave_few_records() {
    let faults = [(60_000, CrashLeader), (1_000, AggressivePolling(120_000))];
    let mut faults = faults.to_vec();
    faults.sort_by_key(|f| f.0);
    let mut world = World::many_small_jobs(1, 720);
    world.run(&faults, 300_000);
    // The controller that reports the end of the last job may know of it before the others.
    world.run_on(1_000);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    assert!(world.unfinished().is_empty(), "{:?}", world.unfinished());
    for n in 0..3 {
        let (keys, [open, ended, residual]) = world.record_counts(n);
        assert_eq!((open, ended), (0, 720), "{n}");
        // Each cancelled job leaves a record of residual usage. Completed jobs leave none, as no job is a gang.
        assert!((100..=180).contains(&residual), "{n}: {residual} records of residual usage");
        // Two keys per job, and some shared ones.
        assert!(keys < 2 * 720 + 60, "{keys} keys");
    }
    // Per job: its acceptance, its end and at most two records of grants.
    assert!(world.writes < 4 * 720, "{} writes", world.writes);
}

#[test]
fn a_large_job_begins_in_time_beside_much_high_priority_work() {
    let mut world = World::overloaded(1);
    world.run(&[], 320_000);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    assert!(!world.unfinished().is_empty(), "all jobs ended, so there was no overload");
}

#[test]
fn no_job_starves_while_a_team_is_at_its_limit() {
    // The jobs together need more cores than the team's limit allows. As tasks keep ending, a few cores below the
    // limit are always free.
    for seed in 1..=5 {
        for (timing, interval_ms) in [(SHORT_LEASES, 800), (LONG_LEASES, 1_600)] {
            let mut world = World::busy(seed, timing);
            world.submission_interval_ms = interval_ms;
            world.run(&[], 420_000);
            let broken = &world.checker.violations;
            assert!(broken.is_empty(), "{seed} {timing:?}: {broken:?}");
        }
    }
}
