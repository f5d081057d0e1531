//! Worlds with other jobs and machines than the usual one.

use super::*;

/// Jobs of [`World::at_limit`].
const JOBS_AT_LIMIT: u64 = 40;

/// Jobs of [`World::saturated`], and the cores that their team may use: more than all machines have.
const SATURATED_JOBS: u64 = 40;
const SATURATED_LIMIT: u64 = 1_000;

impl World {
    /// A world in which some jobs are gangs, in one zone, spread, or anywhere.
    pub fn with_gangs(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::new(seed, rhythm);
        for (id, job) in world.jobs.iter_mut().filter(|(id, _)| *id % 2 == 1 || **id == 4) {
            job.kind = JobKind::Gang;
            job.one_zone = id % 4 == 1;
            job.spread_zones = *id == 4;
            job.task_count = [2, 3, 4, 6][*id as usize / 2 % 4];
            job.checkpoint_interval_s = if *id == 3 { 0.0 } else { 2.0 };
            job.checkpoint_save_s = 1.0;
        }
        world
    }

    /// The same, while an old version is exchanged for the new one and the store's limits fall at
    /// that time.
    pub fn upgraded(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::with_gangs(seed, rhythm);
        world.old = [true; 3];
        world.next_limits = Some((2_048, 4));
        world
    }

    /// A world in which more urgent work comes all the time than there is room for, beside one
    /// large job of lower rank.
    pub fn crowded(seed: u64) -> Self {
        let mut world = World::new(seed, SHORT_LEASES);
        world.every = 1_500;
        world.jobs = (2..220)
            .map(|id| {
                let mut job = spec(id, 3, 8.0);
                job.priority = Priority::High;
                job.spread_zones = false;
                (id, job)
            })
            .collect();
        let mut large = spec(31, 30, 8.0);
        large.spread_zones = false;
        world.jobs.insert(31, large);
        world
    }

    /// A world of that many machines, all of which are needed.
    pub fn fleet(seed: u64, machines: usize) -> Self {
        let mut world = World::new(seed, LONG_LEASES);
        world.workers =
            (0..machines).map(|i| Worker::new(i, ZONES[i % 2], 0, LONG_LEASES)).collect();
        world.team_limit = machines as u64 * 6;
        world.checker = Checker::new(LONG_LEASES.cancel_ms, world.team_limit);
        world.every = 60;
        let tasks = machines as u32 / 6;
        world.jobs = (1..=60)
            .map(|id| (id, JobSpec { spread_zones: false, ..spec(id, tasks, 8.0) }))
            .collect();
        world
    }

    /// A world in which jobs of one to three tasks keep coming, a seventh of them cancelled by their users.
    pub fn busy(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::new(seed, rhythm);
        world.every = 2_000 + rhythm.report_ms / 2;
        world.cancel_every = 7;
        let job = |id: u64| JobSpec {
            one_zone: id % 3 == 1 && !id.is_multiple_of(4),
            spread_zones: id % 8 == 4,
            ..spec(id, 1 + id as u32 % 3, 8.0)
        };
        world.jobs = (1..=72).map(|id| (id, job(id))).collect();
        world
    }

    /// The same with some gangs among the jobs.
    pub fn busy_with_gangs(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::busy(seed, rhythm);
        for (id, job) in world.jobs.iter_mut().filter(|(id, _)| *id % 4 == 2) {
            job.kind = JobKind::Gang;
            job.task_count = 2 + *id as u32 % 3;
            job.one_zone = id % 8 == 2;
            job.spread_zones = false;
            job.checkpoint_interval_s = 2.0;
            job.checkpoint_save_s = 1.0;
        }
        world
    }

    /// A world in which short tasks fill all machines all the time, so that many are granted ahead of a free place.
    pub fn saturated(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::new(seed, rhythm);
        world.run_ms = 2_000;
        world.every = 1_000;
        world.team_limit = SATURATED_LIMIT;
        world.checker = Checker::new(rhythm.cancel_ms, world.team_limit);
        let job = |id| JobSpec {
            spread_zones: false,
            priority: Priority::Normal,
            image: "img".into(),
            ..spec(id, 8, 4.0)
        };
        world.jobs = (1..=SATURATED_JOBS).map(|id| (id, job(id))).collect();
        world
    }

    /// A world with room on its machines whose team is at its limit as long as jobs come.
    pub fn at_limit(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::new(seed, rhythm);
        world.every = 1_000;
        let job = |id: u64| JobSpec { spread_zones: false, ..spec(id, 2 + id as u32 % 3, 8.0) };
        world.jobs = (1..=JOBS_AT_LIMIT).map(|id| (id, job(id))).collect();
        world.workers.iter_mut().for_each(|worker| worker.has_images = true);
        world
    }

    /// A burst of urgent jobs of one to three tasks. They are as many as the team's limit lets begin within the time
    /// that a job may wait.
    pub fn burst(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::busy(seed, rhythm);
        world.every = 1_000;
        world.cancel_every = 0;
        world.jobs.retain(|id, _| *id <= 24);
        world.jobs.values_mut().for_each(|job| job.priority = Priority::High);
        world
    }

    /// Jobs that run for longer than any cancellation may take, and one of many short tasks, so that
    /// there is always something to start.
    pub fn long(seed: u64, rhythm: Timing) -> Self {
        let mut world = World::new(seed, rhythm);
        world.every = 700;
        world.run_ms = rhythm.cancel_ms * 3;
        let in_any_zone = |job| JobSpec { spread_zones: false, ..job };
        world.jobs = (1..=2).map(|id| (id, in_any_zone(spec(id, 2, 100.0)))).collect();
        world.jobs.insert(SHORT_RUNNING_JOB, in_any_zone(spec(SHORT_RUNNING_JOB, 400, 3.0)));
        world
    }

    /// One-task jobs, four a second for minutes, a quarter of them cancelled.
    pub fn rate(seed: u64, jobs: u64) -> Self {
        let mut world = World::new(seed, SHORT_LEASES);
        world.workers = (0..30).map(|i| Worker::new(i, ZONES[i % 2], 0, SHORT_LEASES)).collect();
        world.team_limit = 240;
        world.checker = Checker::new(SHORT_LEASES.cancel_ms, world.team_limit);
        world.every = 250;
        world.cancel_every = 4;
        world.jobs = (1..=jobs)
            .map(|id| (id, JobSpec { spread_zones: false, ..spec(id, 1, 5.0) }))
            .collect();
        world
    }
}
