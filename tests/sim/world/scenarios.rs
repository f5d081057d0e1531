//! Simulated sites with other jobs and machines than [`World::new`].

use super::*;

/// Number of jobs of [`World::at_limit`].
const JOBS_AT_LIMIT: u64 = 40;

/// Number of jobs of [`World::saturated`].
const SATURATED_JOBS: u64 = 40;
/// Cores that the team of [`World::saturated`] may use: more than all machines have.
const SATURATED_LIMIT_CORES: u64 = 1_000;

impl World {
    /// Creates the site of [`new`](Self::new) with some jobs as gangs: in one zone, spread over zones, or in
    /// any zone.
    pub fn with_gangs(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::new(seed, timing);
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

    /// Creates the site of [`with_gangs`](Self::with_gangs) with controllers of the version without gangs. The caller
    /// upgrades them with [`Fault::Upgrade`] and sets when the store's limits are lowered.
    pub fn upgraded(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::with_gangs(seed, timing);
        world.old_version = [true; 3];
        world.next_limits = Some((2_048, 4));
        world
    }

    /// Creates a site that gets more jobs of high priority than it can run, and one large job of normal priority.
    pub fn overloaded(seed: u64) -> Self {
        let mut world = World::new(seed, SHORT_LEASES);
        world.submission_interval_ms = 1_500;
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

    /// Creates a site with `machines` machines and enough jobs to use all of them.
    pub fn fleet(seed: u64, machines: usize) -> Self {
        let mut world = World::new(seed, LONG_LEASES);
        world.workers =
            (0..machines).map(|i| Worker::new(i, ZONES[i % 2], 0, LONG_LEASES)).collect();
        world.team_limit = machines as u64 * 6;
        world.checker = Checker::new(LONG_LEASES.cancel_ms, world.team_limit);
        world.submission_interval_ms = 60;
        let tasks = machines as u32 / 6;
        world.jobs = (1..=60)
            .map(|id| (id, JobSpec { spread_zones: false, ..spec(id, tasks, 8.0) }))
            .collect();
        world
    }

    /// Creates a site that gets jobs of one to three tasks steadily. Users cancel a seventh of the jobs.
    pub fn busy(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::new(seed, timing);
        world.submission_interval_ms = 2_000 + timing.report_ms / 2;
        world.cancel_every_nth = 7;
        let job = |id: u64| JobSpec {
            one_zone: id % 3 == 1 && !id.is_multiple_of(4),
            spread_zones: id % 8 == 4,
            ..spec(id, 1 + id as u32 % 3, 8.0)
        };
        world.jobs = (1..=72).map(|id| (id, job(id))).collect();
        world
    }

    /// Creates the site of [`busy`](Self::busy) with gangs as a quarter of the jobs.
    pub fn busy_with_gangs(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::busy(seed, timing);
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

    /// Creates a site in which short tasks keep all machines full, so that many tasks are granted before there
    /// is room for them.
    pub fn saturated(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::new(seed, timing);
        world.task_run_ms = 2_000;
        world.submission_interval_ms = 1_000;
        world.team_limit = SATURATED_LIMIT_CORES;
        world.checker = Checker::new(timing.cancel_ms, world.team_limit);
        let job = |id| JobSpec {
            spread_zones: false,
            priority: Priority::Normal,
            image: "img".into(),
            ..spec(id, 8, 4.0)
        };
        world.jobs = (1..=SATURATED_JOBS).map(|id| (id, job(id))).collect();
        world
    }

    /// Creates a site whose machines have room, and whose team is at its limit while jobs are submitted.
    pub fn at_limit(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::new(seed, timing);
        world.submission_interval_ms = 1_000;
        let job = |id: u64| JobSpec { spread_zones: false, ..spec(id, 2 + id as u32 % 3, 8.0) };
        world.jobs = (1..=JOBS_AT_LIMIT).map(|id| (id, job(id))).collect();
        world.workers.iter_mut().for_each(|worker| worker.has_images = true);
        world
    }

    /// Creates a site that gets a burst of jobs of high priority with one to three tasks. The team's limit lets
    /// all of them start within the time that a job may wait.
    pub fn burst(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::busy(seed, timing);
        world.submission_interval_ms = 1_000;
        world.cancel_every_nth = 0;
        world.jobs.retain(|id, _| *id <= 24);
        world.jobs.values_mut().for_each(|job| job.priority = Priority::High);
        world
    }

    /// Creates a site with jobs that run for longer than a cancellation may take, and one job of many short
    /// tasks, so that there are always tasks to start.
    pub fn long_running(seed: u64, timing: WorkerTiming) -> Self {
        let mut world = World::new(seed, timing);
        world.submission_interval_ms = 700;
        world.task_run_ms = timing.cancel_ms * 3;
        let in_any_zone = |job| JobSpec { spread_zones: false, ..job };
        world.jobs = (1..=2).map(|id| (id, in_any_zone(spec(id, 2, 100.0)))).collect();
        world.jobs.insert(SHORT_RUNNING_JOB, in_any_zone(spec(SHORT_RUNNING_JOB, 400, 3.0)));
        world
    }

    /// Creates a site of 30 machines that gets four jobs of one task per second. Users cancel a quarter of the jobs.
    pub fn many_small_jobs(seed: u64, jobs: u64) -> Self {
        let mut world = World::new(seed, SHORT_LEASES);
        world.workers = (0..30).map(|i| Worker::new(i, ZONES[i % 2], 0, SHORT_LEASES)).collect();
        world.team_limit = 240;
        world.checker = Checker::new(SHORT_LEASES.cancel_ms, world.team_limit);
        world.submission_interval_ms = 250;
        world.cancel_every_nth = 4;
        world.jobs = (1..=jobs)
            .map(|id| (id, JobSpec { spread_zones: false, ..spec(id, 1, 5.0) }))
            .collect();
        world
    }
}
