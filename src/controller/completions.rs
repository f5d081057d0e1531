//! Group writes of completed tasks.
//!
//! The leader writes a job's end at once. The progress of unfinished jobs is batched, so that it
//! takes a bounded share of the store's budget. A worker keeps a completion until it is recorded,
//! so a delayed write loses nothing.

use super::Controller;
use crate::model::{JobId, MonotonicTime, TaskId};
use crate::replica::{self};
use crate::store_client::leader_writes_per_s;
use crate::wire::{self, Change, Condition, Txn};

/// Minimum and maximum time, in milliseconds, over which the completions of an unfinished job are
/// batched.
const MIN_COMPLETION_BATCH_MS: u64 = 1_200;
const MAX_COMPLETION_BATCH_MS: u64 = 8_000;
/// Maximum share of the leader's writes that the progress of unfinished jobs may take. The rest is
/// for epochs and the ends of jobs, which other work waits for.
pub(super) const PROGRESS_WRITE_SHARE: f64 = 0.25;
/// Maximum size of a transaction's part for unfinished jobs, in seconds of the leader's write rate.
/// The next write has to wait until the rate limit allows it again.
const MAX_PROGRESS_TXN_S: f64 = 0.2;
/// Milliseconds after the batching time for which other controllers leave the write of their
/// completions to the leader. After this delay they write the completions themselves.
const FOLLOWER_WRITE_DELAY_MS: u64 = 3_000;

impl Controller {
    /// Returns the transaction that records completed tasks; `None` if none are due. The leader
    /// writes for all controllers, which avoids conflicts. Other controllers write only when the
    /// leader takes too long.
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

    /// Returns the jobs whose completions are due, at most as many as fit into one transaction. The
    /// jobs that end come before a limited number of unfinished jobs. Both groups are ordered by the
    /// age of their completions, oldest first.
    fn completions_due(&self, now: MonotonicTime) -> Vec<JobId> {
        let leads = self.leader.is_some();
        let completion_batch_ms = self.completion_batch_ms();
        let (mut ending, mut unfinished) = (Vec::new(), Vec::new());
        for (id, completed) in &self.shard.completed_tasks {
            let Some(job) = self.replica.jobs.get(id) else { continue };
            let ends = job.remaining() <= completed.tasks.len();
            let batch_ms = if ends { 0 } else { completion_batch_ms };
            let wait = batch_ms + if leads { 0 } else { FOLLOWER_WRITE_DELAY_MS };
            if now.since(completed.since) >= wait {
                let due = if ends { &mut ending } else { &mut unfinished };
                due.push((completed.since, *id));
            }
        }
        ending.sort();
        unfinished.sort();
        let max_unfinished = leader_writes_per_s(&self.limits) * MAX_PROGRESS_TXN_S;
        unfinished.truncate((max_unfinished as usize).max(1));
        let due = ending.into_iter().chain(unfinished).map(|(_, id)| id);
        due.take(self.limits.txn_ops).collect()
    }

    /// Milliseconds over which the completions of unfinished jobs are batched. The time grows with
    /// the number of jobs, so that their writes stay within `PROGRESS_WRITE_SHARE`.
    fn completion_batch_ms(&self) -> u64 {
        let jobs = self.shard.completed_tasks.len() as f64;
        let progress_writes_per_s = leader_writes_per_s(&self.limits) * PROGRESS_WRITE_SHARE;
        ((jobs / progress_writes_per_s * 1_000.0) as u64)
            .clamp(MIN_COMPLETION_BATCH_MS, MAX_COMPLETION_BATCH_MS)
    }

    /// Completes every gang that has a done task, because the tasks of a gang complete together. A
    /// version that does not know this rule may have recorded only some of the tasks.
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
