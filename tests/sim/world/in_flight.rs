//! Users who cancel a job while one of its tasks is granted or started and no heartbeat has shown the task yet.

use super::*;

/// Probability that users cancel a job when a shard receives a plan, or a machine a start command, that suits the
/// stage of the fault.
const CANCEL_PROBABILITY: f64 = 0.3;
/// Longest time from the grant or start to the cancellation: the interval between two summaries.
const MAX_CANCEL_DELAY_MS: u64 = 200;
/// Duration of the shard's partition: short enough that the leader does not consider the shard lost.
const SHARD_PARTITION_MS: u64 = 2_500;
/// Time from the start command until the machine hangs. The task runs by then if the machine has its image.
const HANG_DELAY_MS: u64 = 2 * STEP_MS;
/// Duration of the partition or hang of a machine, as a share of the worker lease.
const MACHINE_FAULT_LEASE_SHARE: f64 = 0.7;

/// A machine that is to hang.
pub(super) struct PendingHang {
    /// Index of the worker.
    worker: usize,
    from: u64,
    until: u64,
}

impl World {
    /// Starts the hangs that are due.
    pub(super) fn begin_hangs(&mut self) {
        let now = self.now;
        let due = self.pending_hangs.extract_if(.., |hang| hang.from <= now);
        for PendingHang { worker, until, .. } in due {
            self.workers[worker].hung_until = until;
        }
    }

    /// Handles a plan that shard `n` has received: users may cancel a job if the plan grants one of its tasks and no
    /// machine holds this task.
    pub(super) fn cancel_granted(&mut self, n: usize, response: &PeerResponse) {
        let PeerResponse::Plan(plan) = response else { return };
        let Some(body) = &plan.body else { return };
        if self.leader_and_term().is_some_and(|(leader, _)| leader == n)
            || self.draw_stage() != Some(InFlightStage::Granted)
        {
            return;
        }
        let unstarted = body.grants.iter().find(|grant| {
            let job = JobId(grant.job);
            let held = |task| self.workers.iter().any(|worker| worker.holds(task));
            grant.tasks.iter().any(|index| !held(TaskId { job, index }))
        });
        let Some(job) = unstarted.map(|grant| grant.job) else { return };
        self.isolate_controller(n, SHARD_PARTITION_MS);
        self.schedule_cancellations(job);
    }

    /// Handles commands that worker `w` has received: users may cancel the job of the first start command.
    pub(super) fn cancel_started(&mut self, w: usize, commands: &[WorkerCommand]) {
        let started = commands.iter().find_map(|command| match command {
            WorkerCommand::Start { task, .. } => Some(task.job.0),
            _ => None,
        });
        let Some(job) = started else { return };
        let ms = (self.timing.lease_ms as f64 * MACHINE_FAULT_LEASE_SHARE) as u64;
        match self.draw_stage() {
            Some(InFlightStage::Started) => {
                let nodes = (0..3).map(Endpoint::Node).collect();
                self.partition([Endpoint::Worker(w)].into(), nodes, ms, false);
            }
            Some(InFlightStage::StartedAndHangs) => {
                let from = self.now + HANG_DELAY_MS;
                self.pending_hangs.push(PendingHang { worker: w, from, until: from + ms });
            }
            Some(InFlightStage::Granted) | None => return,
        }
        self.schedule_cancellations(job);
    }

    /// Returns the stage of the current [`Fault::CancelInFlight`] with the probability [`CANCEL_PROBABILITY`]; `None`
    /// otherwise and without such a fault.
    fn draw_stage(&mut self) -> Option<InFlightStage> {
        let (stage, until) = self.cancels_in_flight?;
        (self.now < until && self.rng.random_bool(CANCEL_PROBABILITY)).then_some(stage)
    }

    /// Schedules the cancellation of a job and its repetitions.
    fn schedule_cancellations(&mut self, job: u64) {
        let at = self.now + self.rng.random_range(HANG_DELAY_MS..MAX_CANCEL_DELAY_MS);
        self.scheduled_cancellations
            .extend([0, 100, 200, 1_200, 5_000].map(|delay| (at + delay, job)));
    }
}
