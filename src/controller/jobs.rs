//! Submissions, cancellations and answers to users' queries.
//!
//! The store alone decides whether a job is accepted, done or cancelled. Only task counts in
//! answers may be ahead of the store.

use super::Controller;
use crate::model::{JobId, Revision, WallTime};
use crate::peer::WaitReason;
use crate::replica::{self, ReplicaChanges};
use crate::resources::MachineCatalog;
use crate::wire::{self, Change, Condition, KeyValue, Txn};

impl Controller {
    /// Returns the answer for a job that has not ended, according to the replica; `None` if the
    /// replica holds no such job.
    pub fn open_answer(&self, id: JobId) -> Option<wire::JobAnswer> {
        let job = self.replica.jobs.get(&id)?;
        let job_status = self.shard.job_status(id);
        // The count may be ahead of the recorded progress; the job is done only once the store says
        // so.
        let done =
            job.progress.done.len().max(self.shard.completed_count(id)).min(job.spec.task_count);
        let running = job_status.map_or(0, |s| s.running).min(job.spec.task_count - done);
        let state = match running {
            0 => wire::JobState::Pending,
            _ => wire::JobState::Running,
        };
        let reason =
            job_status.and_then(|s| wait_reason_text(s.wait_reason, job.spec.kind, running));
        Some(wire::JobAnswer { job: id, state, done, running, reason: reason.map(str::to_string) })
    }

    /// Returns the transaction that cancels a job, and the progress record that it writes; `None`
    /// if the replica holds no unended job with this id.
    pub fn cancel_txn(&self, id: JobId) -> Option<(Txn, replica::Progress)> {
        let job = self.replica.jobs.get(&id)?;
        let progress = replica::Progress {
            end: Some(wire::JobState::Cancelled),
            done: job.progress.done.largest_fitting(self.limits.value_bytes()),
            gang: None,
        };
        let key = replica::progress_key(id);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version: job.progress_version }],
            changes: vec![Change::Put { key, value: wire::to_value(&progress), lease: None }],
        };
        Some((txn, progress))
    }

    /// Applies a cancellation that a peer reports as durable. The store may be unavailable to this
    /// controller, but the user who was told that the job is cancelled relies on no task of it
    /// being started.
    pub fn apply_cancellation_notice(
        &mut self,
        job: JobId,
        progress: &replica::Progress,
        version: Revision,
    ) -> ReplicaChanges {
        let mut replica_changes = ReplicaChanges::default();
        if self.loaded && progress.end.is_some() {
            let item = KeyValue {
                key: replica::progress_key(job),
                value: wire::to_value(progress),
                version,
            };
            self.replica.load(&item, &mut replica_changes);
        }
        replica_changes
    }
}

/// Returns the text shown to users for a wait reason; `None` if the job does not wait.
fn wait_reason_text(
    wait_reason: WaitReason,
    kind: wire::JobKind,
    running: u32,
) -> Option<&'static str> {
    let waiting_gang = kind == wire::JobKind::Gang && running == 0;
    match wait_reason {
        WaitReason::NotWaiting if waiting_gang => {
            Some("waits: its tasks begin once all of them can")
        }
        WaitReason::NotWaiting => None,
        WaitReason::NoFreeMachines if waiting_gang => Some(
            "waits: machines that hold all its tasks at once are not free, or are being rented",
        ),
        WaitReason::BelowWaterline => Some("waits: more urgent jobs need the machines"),
        WaitReason::TeamLimit => Some("waits: its team's limit is used up"),
        WaitReason::NoFreeMachines => Some("waits: machines are full, more are being rented"),
        WaitReason::Failing => {
            Some("its tasks fail on every machine; it is tried again after pauses")
        }
        WaitReason::TasksPossiblyRunning => {
            Some("waits: a machine was lost and its tasks may still be running")
        }
    }
}

/// Returns the transaction that accepts the jobs of `specs`. It commits only if the store holds none
/// of them. `at` is the time of acceptance, and `bytes` the maximum size in bytes of a value in the
/// store.
pub fn submission_txn<'a>(
    specs: impl Iterator<Item = &'a wire::JobSpec>,
    at: WallTime,
    catalog: &MachineCatalog,
    bytes: usize,
) -> Txn {
    let mut txn = Txn::default();
    for spec in specs {
        let key = replica::job_key(spec.id);
        if txn.conditions.iter().any(|condition| condition.key == key) {
            continue;
        }
        txn.conditions.push(Condition { key: key.clone(), version: Revision(0) });
        let accepted = replica::Accepted { spec: replica::stored_spec(spec, catalog, bytes), at };
        txn.changes.push(Change::Put { key, value: wire::to_value(&accepted), lease: None });
    }
    txn
}
