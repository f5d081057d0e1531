//! Users who cancel a job just as one of its tasks is under way: granted or started, and shown by no heartbeat yet.

use super::*;

/// Part of the opportunities that users take.
const CANCELLED_PART: f64 = 0.3;
/// Longest time from the grant or start to the cancellation: the pause between two summaries.
const CANCELLED_WITHIN_MS: u64 = 200;
/// How long the shard is cut off: not for so long that the leader takes it for lost.
const SHARD_CUT_MS: u64 = 2_500;
/// When a machine hangs after it got the start: the task runs by then, as the machine has its image.
const HANGS_AFTER_MS: u64 = 2 * STEP;
/// How long the machine is cut off or hangs, in parts of its lease.
const MACHINE_CUT_PART: f64 = 0.7;

/// A machine that is to hang.
pub(super) struct DueHang {
    worker: usize,
    from: u64,
    until: u64,
}

impl World {
    /// Has the machines hang whose time has come.
    pub(super) fn begin_hangs(&mut self) {
        let now = self.now;
        let due = self.hangs_due.extract_if(.., |hang| hang.from <= now);
        for DueHang { worker, until, .. } in due {
            self.workers[worker].hung_until = until;
        }
    }

    /// A shard has got a plan.
    pub(super) fn cancel_granted(&mut self, n: usize, response: &PeerResponse) {
        let PeerResponse::Plan(plan) = response else { return };
        let Some(body) = &plan.body else { return };
        if self.leads().is_some_and(|(leader, _)| leader == n)
            || self.opportunity() != Some(UnderWay::Granted)
        {
            return;
        }
        let unstarted = body.grants.iter().find(|grant| {
            let job = JobId(grant.job);
            let held = |task| self.workers.iter().any(|worker| worker.holds(task));
            grant.tasks.iter().any(|index| !held(TaskId { job, index }))
        });
        let Some(job) = unstarted.map(|grant| grant.job) else { return };
        let mut rest: BTreeSet<Place> = (0..3).filter(|m| *m != n).map(Place::Node).collect();
        rest.insert(Place::Store);
        self.cut([Place::Node(n)].into(), rest, SHARD_CUT_MS, false);
        self.cancel_soon(job);
    }

    /// A machine has got these commands.
    pub(super) fn cancel_started(&mut self, w: usize, commands: &[WorkerCommand]) {
        let started = commands.iter().find_map(|command| match command {
            WorkerCommand::Start { task, .. } => Some(task.job.0),
            _ => None,
        });
        let Some(job) = started else { return };
        let ms = (self.rhythm.lease_ms as f64 * MACHINE_CUT_PART) as u64;
        match self.opportunity() {
            Some(UnderWay::Started) => {
                let nodes = (0..3).map(Place::Node).collect();
                self.cut([Place::Worker(w)].into(), nodes, ms, false);
            }
            Some(UnderWay::StartedAndHangs) => {
                let from = self.now + HANGS_AFTER_MS;
                self.hangs_due.push(DueHang { worker: w, from, until: from + ms });
            }
            Some(UnderWay::Granted) | None => return,
        }
        self.cancel_soon(job);
    }

    /// What users do now if they take the opportunity.
    fn opportunity(&mut self) -> Option<UnderWay> {
        let (what, until) = self.cancels_under_way?;
        (self.now < until && self.rng.random_bool(CANCELLED_PART)).then_some(what)
    }

    /// Users cancel a job within moments, and repeat that as users do.
    fn cancel_soon(&mut self, job: u64) {
        let at = self.now + self.rng.random_range(HANGS_AFTER_MS..CANCELLED_WITHIN_MS);
        self.cancels.extend([0, 100, 200, 1_200, 5_000].map(|later| (at + later, job)));
    }
}
