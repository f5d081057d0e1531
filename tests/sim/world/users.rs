//! Users who look closely: they ask and submit again at all nodes, and cancel at bad moments. A node
//! answers as the service does: from what nothing can change any more, else only as of after the
//! question, else it hands the request over, else it refuses.

use rand::Rng;
use willowshore::controller::submission_txn;
use willowshore::model::{JobId, TaskId, WallTime};
use willowshore::peer::PeerRequest;
use willowshore::replica::{self, EndedJob};
use willowshore::store_client::TxnOutcome;
use willowshore::wire::{JobKind, JobState};

use super::{Message, World};
use crate::check::{Event, ShownState};

/// A job that nobody submits.
const NOBODYS: u64 = 999_999;

fn shown(state: JobState) -> ShownState {
    match state {
        JobState::Done => ShownState::Done,
        JobState::Cancelled => ShownState::Cancelled,
        JobState::Pending | JobState::Running => ShownState::Open,
    }
}

impl World {
    /// Users submit, cancel and ask, at any node that serves them.
    pub(super) fn users(&mut self) {
        let now = self.now;
        if !now.is_multiple_of(500) {
            return;
        }
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            if self.store.has_key(&willowshore::replica::job_key(JobId(id))) {
                self.checker.record(now, Event::JobAccepted { job: id });
            }
            let cancelled = self.cancel_every > 0 && id.is_multiple_of(self.cancel_every);
            if cancelled && now >= id * self.every + 7_000 {
                self.wanted_cancels.insert(id);
            }
            let gang = self.jobs[&id].kind == JobKind::Gang;
            let may = !gang || self.old == [false; 3];
            if may && now >= id * self.every && !self.ended_for_users.contains(&id) {
                let n = self.rng.random_range(0..3);
                self.ask(n, id);
            }
        }
        if now >= self.calm && now.is_multiple_of(5_000) {
            for id in self.jobs.keys().copied().collect::<Vec<_>>() {
                (0..3).for_each(|n| self.poll(n, id));
            }
        }
    }

    /// A user asks a node about an accepted job, as the service answers: from what can no
    /// longer change, else only when the store confirms it.
    pub(super) fn poll(&mut self, n: usize, id: u64) {
        let accepted = self.store.has_key(&willowshore::replica::job_key(JobId(id)));
        if !accepted || self.wanted_cancels.contains(&id) {
            return;
        }
        let confirmed = self.reaches_store(n);
        if confirmed {
            self.pull(n);
        }
        let answer = match self.awake(n) {
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

    pub(super) fn ask(&mut self, n: usize, id: u64) {
        let now = self.now;
        let Some(node) = self.awake(n) else { return };
        let replica = &node.controller.replica;
        if let Some(EndedJob { state, .. }) = replica.ended.get(&JobId(id)).copied() {
            let of = self.jobs[&id].task_count;
            let done = self.completed.iter().filter(|t| t.job.0 == id).count() as u32;
            self.ended_for_users.insert(id);
            let (event, state) = match state {
                JobState::Done => {
                    (Event::JobDone { job: id, completed: done, task_count: of }, ShownState::Done)
                }
                _ => (Event::JobCancelled { job: id }, ShownState::Cancelled),
            };
            self.checker.record(now, event);
            self.checker.record(now, Event::JobStateShown { job: id, node: n, state });
            if now < self.looks_until {
                self.looked_at.push(id);
            }
            return;
        }
        if !node.controller.loaded || !self.reaches_store(n) {
            return;
        }
        let Ok(node) = &self.nodes[n] else { return };
        if !node.controller.replica.jobs.contains_key(&JobId(id)) {
            // A repeat at another node, or while the first is still out, changes nothing.
            self.checker.record(now, Event::JobSubmitted { job: id });
            let txn = submission_txn(
                [&self.jobs[&id]].into_iter(),
                WallTime(1_000_000 + now),
                &node.controller.catalog,
                node.controller.settings.params.store.value_bytes(),
            );
            self.commit(n, &txn);
        } else if self.wanted_cancels.contains(&id) {
            self.cancel(id);
        }
    }

    /// What node `n` answers at once: what nothing can change any more, or a refusal if it does not reach
    /// the store. `None` if it has to look further.
    fn at_once(&mut self, n: usize, job: JobId) -> Option<Option<ShownState>> {
        let Some(node) = self.awake(n) else { return Some(None) };
        if let Some(answer) = node.controller.final_answer(job) {
            return Some(Some(shown(answer.state)));
        }
        if !node.controller.loaded || !self.reaches_store(n) {
            return Some(None);
        }
        None
    }

    /// What node `n` answers to a question; `None` if it refuses.
    fn answer(&mut self, n: usize, id: u64) -> Option<ShownState> {
        let job = JobId(id);
        if let Some(answer) = self.at_once(n, job) {
            return answer;
        }
        self.pull(n);
        let controller = &self.awake(n)?.controller;
        let answer = controller.final_answer(job).or_else(|| controller.open_answer(job));
        match answer {
            Some(answer) => Some(shown(answer.state)),
            None if self.store.has_key(&replica::job_key(job)) => None,
            None => Some(ShownState::Unknown),
        }
    }

    /// What a node answers to a submission, new or repeated.
    fn submit(&mut self, n: usize, id: u64) -> Option<ShownState> {
        let job = JobId(id);
        self.checker.record(self.now, Event::JobSubmitted { job: id });
        if let Some(answer) = self.at_once(n, job) {
            return answer;
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
                    let moment = self.nodes[n].as_ref().ok()?.moment(self.now);
                    let controller = &mut self.nodes[n].as_mut().ok()?.controller;
                    let replica_changes = controller.apply_committed(&txn, version);
                    controller.on_replica_changes(moment, &replica_changes);
                    let answer = controller.final_answer(job);
                    return Some(answer.map_or(ShownState::Open, |a| shown(a.state)));
                }
                TxnOutcome::ConditionsFailed(_) => {}
            }
        }
        self.answer(n, id).filter(|t| *t != ShownState::Unknown)
    }

    /// What a node answers to a cancellation.
    fn abort(&mut self, n: usize, id: u64) -> Option<ShownState> {
        let job = JobId(id);
        for _ in 0..4 {
            if let Some(answer) = self.at_once(n, job) {
                return answer;
            }
            let Some((txn, progress)) = self.nodes[n].as_ref().ok()?.controller.cancel_txn(job)
            else {
                match self.answer(n, id)? {
                    ShownState::Unknown => return Some(ShownState::Unknown),
                    _ => continue,
                }
            };
            match self.commit(n, &txn)? {
                TxnOutcome::Committed(version) => {
                    let moment = self.nodes[n].as_ref().ok()?.moment(self.now);
                    let controller = &mut self.nodes[n].as_mut().ok()?.controller;
                    let replica_changes = controller.apply_committed(&txn, version);
                    controller.on_replica_changes(moment, &replica_changes);
                    for to in (0..3).filter(|m| *m != n) {
                        if self.old[to] || !self.sends_cancellation_notices {
                            continue;
                        }
                        let ask = PeerRequest::JobCancelled(job, progress.clone(), version);
                        self.send(
                            super::Place::Node(n),
                            super::Place::Node(to),
                            Message::CancellationNotice(to, ask),
                        );
                    }
                }
                TxnOutcome::ConditionsFailed(_) => self.pull(n),
            }
        }
        None
    }

    /// A request at node `n`, handed over to the others if it can't serve it and reaches them.
    fn request(
        &mut self,
        n: usize,
        id: u64,
        ask: fn(&mut World, usize, u64) -> Option<ShownState>,
    ) {
        let mut answer = ask(self, n, id);
        if answer.is_none() && self.nodes[n].is_ok() {
            for m in (0..3).filter(|m| *m != n) {
                let (a, b) = (super::Place::Node(n), super::Place::Node(m));
                let reached = self.arrival(a, b).is_some_and(|at| at < self.now + 100);
                if reached && answer.is_none() {
                    answer = ask(self, m, id);
                }
            }
        }
        let Some(answer) = answer else { return };
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
        if self.now < self.looks_until && !self.looked_at.contains(&id) && ended {
            self.looked_at.push(id);
        }
    }

    /// Asks and submits again at all nodes, as users do who look closely.
    fn look(&mut self, id: u64) {
        for n in 0..3 {
            self.request(n, id, World::answer);
            self.request(n, id, World::submit);
        }
    }

    /// Cancels a job at some node.
    pub(super) fn cancel(&mut self, id: u64) {
        let n = self.rng.random_range(0..3);
        self.wanted_cancels.insert(id);
        self.checker.record(self.now, Event::CancellationRequested { job: id });
        self.request(n, id, World::abort);
    }

    /// Users call off that many jobs that run, and up to eight of their machines hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let now = self.now;
        let mut running: Vec<u64> = Vec::new();
        for task in self.workers.iter().flat_map(|w| w.running()) {
            if !running.contains(&task.job.0) && !self.wanted_cancels.contains(&task.job.0) {
                running.push(task.job.0);
            }
        }
        running.truncate(count);
        let on =
            |w: &crate::worker::Worker| w.running().any(|t: TaskId| running.contains(&t.job.0));
        let hung: Vec<usize> =
            (0..self.workers.len()).filter(|w| on(&self.workers[*w])).take(8).collect();
        if hang_ms > 0 {
            hung.iter().for_each(|w| self.workers[*w].hung_until = now + hang_ms);
        }
        for id in running {
            self.cancel(id);
            self.cancels.push((now + 100, id));
            self.cancels.push((now + 200, id));
        }
    }

    /// What close users do in this step: they look right after something was told, submitted jobs
    /// that go on are cancelled, and questions are repeated.
    pub(super) fn close_users(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.cancels).into_iter().partition(|c| c.0 <= now);
        self.cancels = later;
        let due: Vec<(u64, u64)> = due;
        for (_, id) in due {
            if !self.ended_for_users.contains(&id) {
                self.cancel(id);
            }
        }
        if now < self.cancel_at_end_until {
            let ended: Vec<u64> = std::mem::take(&mut self.just_completed);
            for id in ended {
                let of = self.jobs[&id].task_count as usize;
                let done = self.completed.iter().filter(|t| t.job.0 == id).count();
                if done == of && !self.ended_for_users.contains(&id) {
                    // At the moment of the end, when a node may or may not have heard of it.
                    self.cancel(id);
                    self.cancels.extend([20, 40, 80, 160, 320, 640].map(|ms| (now + ms, id)));
                }
            }
        }
        self.just_completed.clear();
        if now < self.looks_until {
            if now.is_multiple_of(5_000) {
                // Nobody ever submits this one.
                (0..3).for_each(|n| self.request(n, NOBODYS, World::answer));
            }
            for id in std::mem::take(&mut self.looked_at) {
                self.look(id);
            }
            // Now and then a job is submitted for the first time at two nodes at once, and
            // some are cancelled at once.
            let fresh: Vec<u64> = self.jobs.keys().copied().collect();
            for id in fresh {
                let due = now >= id * self.every && now < id * self.every + 40;
                if due && !self.ended_for_users.contains(&id) {
                    self.request(0, id, World::submit);
                    self.request(1, id, World::submit);
                    self.look(id);
                    if id % 5 == 0 {
                        self.cancel(id);
                        self.look(id);
                    }
                }
            }
        }
    }
}
