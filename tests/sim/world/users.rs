//! Users who submit, query and cancel jobs, also repeatedly at all controllers and at the moment when a job ends.
//!
//! A controller answers as the service does. It answers at once for a job whose state is final. Otherwise, it answers
//! with state read from the store after the request arrived. If it cannot, it forwards the request to another
//! controller, and refuses if none answers. It also refuses while a cancellation is not effective; a service waits for
//! a short time instead, after which it refuses, too.

use rand::Rng;
use willowshore::controller::submission_txn;
use willowshore::model::{JobId, TaskId, WallTime};
use willowshore::replica;
use willowshore::store_client::TxnOutcome;
use willowshore::wire::{JobKind, JobState};

use super::World;
use crate::check::{Event, ShownState};

/// Id of a job that no user submits.
const UNSUBMITTED_JOB: u64 = 999_999;

/// Returns the checker's form of a job state.
fn shown_state(state: JobState) -> ShownState {
    match state {
        JobState::Done => ShownState::Done,
        JobState::Cancelled => ShownState::Cancelled,
        JobState::Pending | JobState::Running => ShownState::Open,
    }
}

/// A controller's reply to a request that it serves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reply {
    /// The job's state.
    State(ShownState),
    /// The job is cancelled and the cancellation is not effective yet. The user repeats the request later.
    NotEffective,
}

impl World {
    /// Lets users submit, query and cancel jobs at random controllers, every 500 ms. Once all faults are over,
    /// also checks that each controller knows the accepted jobs.
    pub(super) fn step_users(&mut self) {
        let now = self.now;
        if !now.is_multiple_of(500) {
            return;
        }
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            if self.store.has_key(&willowshore::replica::job_key(JobId(id))) {
                self.checker.record(now, Event::JobAccepted { job: id });
            }
            let will_cancel = self.cancel_every_nth > 0 && id.is_multiple_of(self.cancel_every_nth);
            if will_cancel && now >= id * self.submission_interval_ms + 7_000 {
                self.cancel_requested.insert(id);
            }
            let is_gang = self.jobs[&id].kind == JobKind::Gang;
            let may_submit = !is_gang || self.old_version == [false; 3];
            if may_submit
                && now >= id * self.submission_interval_ms
                && !self.ended_for_users.contains(&id)
            {
                let n = self.rng.random_range(0..3);
                self.submit_or_query(n, id);
            }
        }
        if now >= self.faults_over_at && now.is_multiple_of(5_000) {
            for id in self.jobs.keys().copied().collect::<Vec<_>>() {
                (0..3).for_each(|n| self.poll(n, id));
            }
        }
    }

    /// Reports to the checker whether controller `n` knows an accepted job. Like the service, the controller
    /// answers for an ended job from its replica, and for another one only after reading the store.
    pub(super) fn poll(&mut self, n: usize, id: u64) {
        let accepted = self.store.has_key(&willowshore::replica::job_key(JobId(id)));
        if !accepted || self.cancel_requested.contains(&id) {
            return;
        }
        let confirmed = self.reaches_store(n);
        if confirmed {
            self.sync_replica(n);
        }
        let answer = match self.running_node(n) {
            Some(node) if node.controller.replica.ended.contains_key(&JobId(id)) => Some(true),
            Some(node) if node.controller.loaded && confirmed => {
                Some(node.controller.replica.jobs.contains_key(&JobId(id)))
            }
            _ => None,
        };
        let event = match answer {
            Some(known) => Event::QueryAnswered { job: id, node: n, known },
            None => Event::QueryUnanswered { job: id, node: n },
        };
        self.checker.record(self.now, event);
    }

    /// Queries a job at controller `n`. Submits the job if the controller does not know it. Cancels a known job if
    /// users want to, at a random controller.
    pub(super) fn submit_or_query(&mut self, n: usize, id: u64) {
        let now = self.now;
        let Some(node) = self.running_node(n) else { return };
        if node.controller.replica.ended.contains_key(&JobId(id)) {
            let Some(Reply::State(state)) = self.ended_reply(n, JobId(id)) else { return };
            let of = self.jobs[&id].task_count;
            let done = self.completed.iter().filter(|t| t.job.0 == id).count() as u32;
            self.ended_for_users.insert(id);
            let event = match state {
                ShownState::Done => Event::JobDone { job: id, completed: done, task_count: of },
                _ => Event::JobCancelled { job: id },
            };
            self.checker.record(now, event);
            self.checker.record(now, Event::JobStateShown { job: id, node: n, state });
            if now < self.polling_until {
                self.just_ended.push(id);
            }
            return;
        }
        if !node.controller.loaded || !self.reaches_store(n) {
            return;
        }
        let Ok(node) = &self.nodes[n] else { return };
        if !node.controller.replica.jobs.contains_key(&JobId(id)) {
            // A repeated submission, also at another controller or while the first is in transit, changes nothing.
            self.checker.record(now, Event::JobSubmitted { job: id });
            let txn = submission_txn(
                [&self.jobs[&id]].into_iter(),
                WallTime(1_000_000 + now),
                &node.controller.catalog,
                node.controller.settings.params.store.value_bytes(),
            );
            self.commit(n, &txn);
        } else if self.cancel_requested.contains(&id) {
            self.cancel(id);
        }
    }

    /// Returns the reply of controller `n` for an ended job; `None` if it does not know that the job has ended. If the
    /// job was cancelled and the cancellation is not effective yet, the controller asks the others to acknowledge it.
    fn ended_reply(&mut self, n: usize, job: JobId) -> Option<Reply> {
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return None };
        let monotonic = node.clock_reading(now).monotonic;
        node.controller.collect_acknowledgements(monotonic, job);
        let answer = node.controller.ended_answer(monotonic, job)?.into_final();
        Some(answer.map_or(Reply::NotEffective, |answer| Reply::State(shown_state(answer.state))))
    }

    /// Returns the reply of controller `n` without reading the store: that of an ended job, or a refusal
    /// (`Some(None)`) if the controller does not run or does not reach the store. `None` if it has to read the store
    /// first.
    fn immediate_reply(&mut self, n: usize, job: JobId) -> Option<Option<Reply>> {
        if self.running_node(n).is_none() {
            return Some(None);
        }
        if let Some(reply) = self.ended_reply(n, job) {
            return Some(Some(reply));
        }
        let node = self.running_node(n)?;
        if !node.controller.loaded || !self.reaches_store(n) {
            return Some(None);
        }
        None
    }

    /// Queries a job at controller `n`. Returns its reply; `None` if it refuses.
    fn query(&mut self, n: usize, id: u64) -> Option<Reply> {
        let job = JobId(id);
        if let Some(reply) = self.immediate_reply(n, job) {
            return reply;
        }
        self.sync_replica(n);
        self.running_node(n)?;
        if let Some(reply) = self.ended_reply(n, job) {
            return Some(reply);
        }
        match self.running_node(n)?.controller.open_answer(job) {
            Some(answer) => Some(Reply::State(shown_state(answer.state))),
            None if self.store.has_key(&replica::job_key(job)) => None,
            None => Some(Reply::State(ShownState::Unknown)),
        }
    }

    /// Submits a job at controller `n`, possibly again. Returns its reply; `None` if it refuses.
    fn submit(&mut self, n: usize, id: u64) -> Option<Reply> {
        let job = JobId(id);
        self.checker.record(self.now, Event::JobSubmitted { job: id });
        if let Some(reply) = self.immediate_reply(n, job) {
            return reply;
        }
        let node = self.nodes[n].as_ref().ok()?;
        if !node.controller.replica.jobs.contains_key(&job) {
            let bytes = node.controller.settings.params.store.value_bytes();
            let wall = WallTime(1_000_000 + self.now);
            let txn = submission_txn(
                [&self.jobs[&id]].into_iter(),
                wall,
                &node.controller.catalog,
                bytes,
            );
            match self.commit(n, &txn)? {
                TxnOutcome::Committed(version) => {
                    let clock = self.nodes[n].as_ref().ok()?.clock_reading(self.now);
                    let controller = &mut self.nodes[n].as_mut().ok()?.controller;
                    let replica_changes = controller.apply_committed(&txn, version);
                    controller.on_replica_changes(clock, &replica_changes);
                    let reply = self.ended_reply(n, job);
                    return Some(reply.unwrap_or(Reply::State(ShownState::Open)));
                }
                TxnOutcome::ConditionsFailed(_) => {}
            }
        }
        self.query(n, id).filter(|reply| *reply != Reply::State(ShownState::Unknown))
    }

    /// Cancels a job at controller `n`. Returns its reply; `None` if it refuses.
    fn abort(&mut self, n: usize, id: u64) -> Option<Reply> {
        let job = JobId(id);
        for _ in 0..4 {
            if let Some(reply) = self.immediate_reply(n, job) {
                return reply;
            }
            let Some((txn, _)) = self.nodes[n].as_ref().ok()?.controller.cancel_txn(job) else {
                match self.query(n, id)? {
                    Reply::State(ShownState::Unknown) => {
                        return Some(Reply::State(ShownState::Unknown));
                    }
                    _ => continue,
                }
            };
            match self.commit(n, &txn)? {
                TxnOutcome::Committed(version) => {
                    let clock = self.nodes[n].as_ref().ok()?.clock_reading(self.now);
                    let controller = &mut self.nodes[n].as_mut().ok()?.controller;
                    let replica_changes = controller.apply_committed(&txn, version);
                    controller.on_replica_changes(clock, &replica_changes);
                }
                TxnOutcome::ConditionsFailed(_) => self.sync_replica(n),
            }
        }
        None
    }

    /// Sends a request to controller `n`, which forwards it to the other controllers if it cannot serve the
    /// request. Reports the answer to the checker.
    fn request(
        &mut self,
        n: usize,
        id: u64,
        operation: fn(&mut World, usize, u64) -> Option<Reply>,
    ) {
        let mut reply = operation(self, n, id);
        if reply.is_none() && self.nodes[n].is_ok() {
            for m in (0..3).filter(|m| *m != n) {
                let (from, to) = (super::Endpoint::Node(n), super::Endpoint::Node(m));
                let reached = self.arrival(from, to).is_some_and(|at| at < self.now + 100);
                if reached && reply.is_none() {
                    reply = operation(self, m, id);
                }
            }
        }
        let Some(Reply::State(answer)) = reply else { return };
        if answer == ShownState::Done {
            let of = self.jobs[&id].task_count;
            let done = self.completed.iter().filter(|t| t.job.0 == id).count() as u32;
            self.checker
                .record(self.now, Event::JobDone { job: id, completed: done, task_count: of });
        }
        if matches!(answer, ShownState::Done | ShownState::Cancelled) {
            self.ended_for_users.insert(id);
        }
        self.checker.record(self.now, Event::JobStateShown { job: id, node: n, state: answer });
        let ended = !matches!(answer, ShownState::Open | ShownState::Unknown);
        if self.now < self.polling_until && !self.just_ended.contains(&id) && ended {
            self.just_ended.push(id);
        }
    }

    /// Queries and submits a job at all controllers.
    fn query_all_nodes(&mut self, id: u64) {
        for n in 0..3 {
            self.request(n, id, World::query);
            self.request(n, id, World::submit);
        }
    }

    /// Cancels a job at a random controller.
    pub(super) fn cancel(&mut self, id: u64) {
        let n = self.rng.random_range(0..3);
        self.cancel_requested.insert(id);
        self.checker.record(self.now, Event::CancellationRequested { job: id });
        self.request(n, id, World::abort);
    }

    /// Cancels up to `count` running jobs. Up to eight machines that run them hang for `hang_ms`.
    pub(super) fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let now = self.now;
        let mut running: Vec<u64> = Vec::new();
        for task in self.workers.iter().flat_map(|w| w.running()) {
            if !running.contains(&task.job.0) && !self.cancel_requested.contains(&task.job.0) {
                running.push(task.job.0);
            }
        }
        running.truncate(count);
        let runs_any =
            |w: &crate::worker::Worker| w.running().any(|t: TaskId| running.contains(&t.job.0));
        let to_hang: Vec<usize> =
            (0..self.workers.len()).filter(|w| runs_any(&self.workers[*w])).take(8).collect();
        if hang_ms > 0 {
            to_hang.iter().for_each(|w| self.workers[*w].hung_until = now + hang_ms);
        }
        for id in running {
            self.cancel(id);
            self.scheduled_cancellations.push((now + 100, id));
            self.scheduled_cancellations.push((now + 200, id));
        }
    }

    /// Executes the scheduled cancellations, and the requests of [`Fault::CancelAtEnd`] and
    /// [`Fault::AggressivePolling`].
    ///
    /// [`Fault::CancelAtEnd`]: super::Fault::CancelAtEnd
    /// [`Fault::AggressivePolling`]: super::Fault::AggressivePolling
    pub(super) fn step_polling_users(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.scheduled_cancellations).into_iter().partition(|c| c.0 <= now);
        self.scheduled_cancellations = later;
        let due: Vec<(u64, u64)> = due;
        for (_, id) in due {
            if !self.ended_for_users.contains(&id) {
                self.cancel(id);
            }
        }
        if now < self.cancel_at_end_until {
            let completed: Vec<u64> = std::mem::take(&mut self.completed_this_step);
            for id in completed {
                let task_count = self.jobs[&id].task_count as usize;
                let done = self.completed.iter().filter(|t| t.job.0 == id).count();
                if done == task_count && !self.ended_for_users.contains(&id) {
                    // Some controllers know that the last task has completed, others do not.
                    self.cancel(id);
                    self.scheduled_cancellations
                        .extend([20, 40, 80, 160, 320, 640].map(|ms| (now + ms, id)));
                }
            }
        }
        self.completed_this_step.clear();
        if now < self.polling_until {
            if now.is_multiple_of(5_000) {
                // No controller may know this job.
                (0..3).for_each(|n| self.request(n, UNSUBMITTED_JOB, World::query));
            }
            for id in std::mem::take(&mut self.just_ended) {
                self.query_all_nodes(id);
            }
            // New jobs are submitted at two controllers at the same time, and every fifth one is cancelled at once.
            let ids: Vec<u64> = self.jobs.keys().copied().collect();
            for id in ids {
                let is_new = now >= id * self.submission_interval_ms
                    && now < id * self.submission_interval_ms + 40;
                if is_new && !self.ended_for_users.contains(&id) {
                    self.request(0, id, World::submit);
                    self.request(1, id, World::submit);
                    self.query_all_nodes(id);
                    if id % 5 == 0 {
                        self.cancel(id);
                        self.query_all_nodes(id);
                    }
                }
            }
        }
    }
}
