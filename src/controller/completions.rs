//! Group writes of completed tasks.
//!
//! A job that ends is written at once; the progress of jobs that go on is batched, so that it takes a bounded share of
//! the store's budget. Until a completion is on record its worker keeps it, so nothing is lost by waiting.

use super::Controller;
use crate::model::{JobId, MonotonicTime, TaskId};
use crate::replica::{self};
use crate::store_client::leaders_writes_per_s;
use crate::wire::{self, Change, Condition, Txn};

/// Least and longest time, in milliseconds, over which the completions of a job that goes on are batched.
const MIN_COMPLETION_BATCH_MS: u64 = 1_200;
const MAX_COMPLETION_BATCH_MS: u64 = 8_000;
/// Share of the leader's writes to the store that the progress of jobs that go on may take. Epochs and the ends of
/// jobs are what others wait for.
pub(super) const PROGRESS_WRITE_SHARE: f64 = 0.25;
/// Most changes of that kind in one transaction, in seconds of what the leader may write: whatever is to be written
/// next has to wait for them.
const MAX_PROGRESS_TXN_S: f64 = 0.2;
/// Milliseconds that the leader has to write what other controllers reported to it, beyond the batching time, before
/// they write it themselves.
const FOLLOWER_WRITE_DELAY_MS: u64 = 3_000;

impl Controller {
    /// The transaction that makes finished tasks durable, if there are any to be written now.
    /// The leader writes for all, so that controllers do not conflict; the others write only when
    /// it takes too long.
    pub fn completions_txn(&mut self, now: MonotonicTime) -> Option<Txn> {
        if !self.loaded {
            return None;
        }
        self.shard.prune(&self.replica);
        let mut txn = Txn::default();
        let bytes = self.limits.value_bytes();
        for id in self.completions_due(now) {
            let (Some(job), Some(completed)) =
                (self.replica.jobs.get(&id), self.shard.completed_tasks.get_mut(&id))
            else {
                continue;
            };
            completed.since = now;
            let Some(progress) = job.with_completed(completed.tasks.iter(), bytes) else {
                continue;
            };
            let key = replica::progress_key(id);
            txn.conditions.push(Condition { key: key.clone(), version: job.progress_version });
            txn.changes.push(Change::Put { key, value: wire::to_value(&progress), lease: None });
        }
        (!txn.changes.is_empty()).then_some(txn)
    }

    /// Jobs whose completions are to be written now: all that end, and some of those that go on,
    /// the oldest first.
    fn completions_due(&self, now: MonotonicTime) -> Vec<JobId> {
        let leads = self.leader.is_some();
        let completion_batch_ms = self.completion_batch_ms();
        let (mut ending, mut going_on) = (Vec::new(), Vec::new());
        for (id, completed) in &self.shard.completed_tasks {
            let Some(job) = self.replica.jobs.get(id) else { continue };
            let ends = job.remaining() <= completed.tasks.len();
            let batch_ms = if ends { 0 } else { completion_batch_ms };
            let wait = batch_ms + if leads { 0 } else { FOLLOWER_WRITE_DELAY_MS };
            if now.since(completed.since) >= wait {
                let due = if ends { &mut ending } else { &mut going_on };
                due.push((completed.since, *id));
            }
        }
        ending.sort();
        going_on.sort();
        let at_once = leaders_writes_per_s(&self.limits) * MAX_PROGRESS_TXN_S;
        going_on.truncate((at_once as usize).max(1));
        let due = ending.into_iter().chain(going_on).map(|(_, id)| id);
        due.take(self.limits.txn_ops).collect()
    }

    /// Milliseconds over which the completions of jobs that go on are batched: the more such jobs there are, the longer,
    /// so that they take their share of the store's budget and no more.
    fn completion_batch_ms(&self) -> u64 {
        let jobs = self.shard.completed_tasks.len() as f64;
        let per_s = leaders_writes_per_s(&self.limits) * PROGRESS_WRITE_SHARE;
        ((jobs / per_s * 1_000.0) as u64).clamp(MIN_COMPLETION_BATCH_MS, MAX_COMPLETION_BATCH_MS)
    }

    /// Completes every gang of which a task is done: if one task is, all are. A version that does not know this may have
    /// recorded some of them alone.
    pub(super) fn complete_gangs(&mut self, now: MonotonicTime) {
        let partly_done: Vec<JobId> = self
            .replica
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.spec.kind == wire::JobKind::Gang && !job.progress.done.is_empty()
            })
            .map(|(id, _)| *id)
            .collect();
        for job in partly_done {
            self.shard.record_completion(now, &self.replica, TaskId { job, index: 0 });
        }
    }
}
