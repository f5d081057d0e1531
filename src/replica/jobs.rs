//! Jobs in the replica: jobs that have not ended with their progress, and the outcome of ended
//! ones. Applies the stored job and progress records.

use crate::model::{JobId, Revision, TaskRanges, WallTime};
use crate::resources::MachineCatalog;
use crate::wire::{self, JobKind, JobSpec, JobState, Value};

use super::versioned::decode;
use super::{
    Accepted, MAX_ENDED_JOBS, MAX_RESIDUAL_USAGE_JOBS, Progress, RecordError, Replica,
    ReplicaChanges, ResidualUsage, Versioned,
};

/// Job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// Job description from the user.
    pub spec: JobSpec,
    /// Time at which the job was accepted.
    pub at: WallTime,
    /// Durable progress, including the completed tasks.
    pub progress: Progress,
    /// Version of the job's progress key; 0 if the key does not exist yet.
    pub progress_version: Revision,
}

impl Job {
    /// Whether a task is durably done.
    pub fn is_done(&self, index: u32) -> bool {
        self.progress.done.contains(index)
    }

    /// Returns the number of tasks that are not durably done.
    pub fn remaining(&self) -> u32 {
        self.spec.task_count.saturating_sub(self.progress.done.len())
    }

    /// Returns the job's progress with further tasks completed, including the job's end if no task
    /// remains; `None` if nothing changes. Indices beyond the job's tasks are ignored.
    ///
    /// Completed tasks that lie too far apart to fit into a value of `max_bytes` are left for
    /// later. Their workers keep the completion until it is recorded, and a completed task that is
    /// started again completes at once.
    pub fn with_completed(
        &self,
        tasks: impl IntoIterator<Item = u32>,
        max_bytes: usize,
    ) -> Option<Progress> {
        let mut done = self.progress.done.largest_fitting(max_bytes);
        let max_ranges = TaskRanges::max_ranges_in(max_bytes);
        let fits = |done: &TaskRanges, index| {
            done.ranges().len() < max_ranges || done.contains_or_adjoins(index)
        };
        let mut changed = false;
        let mut deferred = Vec::new();
        for index in tasks.into_iter().filter(|index| *index < self.spec.task_count) {
            if fits(&done, index) {
                changed |= done.insert(index);
            } else {
                deferred.push(index);
            }
        }
        // Tasks inserted after a task was deferred may have closed its gap to the recorded ranges.
        for index in deferred {
            if fits(&done, index) {
                changed |= done.insert(index);
            }
        }
        changed.then(|| self.progress_of(done))
    }

    /// Returns the progress to write once the tasks in `done` are completed. Completing all tasks
    /// ends a job, unless it is a service.
    fn progress_of(&self, done: TaskRanges) -> Progress {
        let ends = done.len() == self.spec.task_count && self.spec.kind != JobKind::Service;
        let is_gang = self.spec.kind == JobKind::Gang;
        Progress {
            done,
            end: ends.then_some(JobState::Done),
            gang: (ends && is_gang).then(|| ResidualUsage::of(&self.spec, 0)),
        }
    }
}

impl Replica {
    /// Records an accepted job, unless it has ended or is known.
    pub(super) fn put_job(
        &mut self,
        id: JobId,
        value: &Value,
        changes: &mut ReplicaChanges,
    ) -> Result<(), RecordError> {
        let end = self.ended.get(&id).copied();
        let is_done = end.is_some_and(|end| end.state == JobState::Done);
        if is_done || self.residual_usage.contains_key(&id) || self.jobs.contains_key(&id) {
            return Ok(());
        }
        let Accepted { spec, at } = decode(value)?;
        // The job was cancelled, and its end was read before the job.
        if let Some(end) = end {
            self.record_residual_usage(id, ResidualUsage::of(&spec, end.done));
            return Ok(());
        }
        let (progress, progress_version) = match self.progress_without_job.remove(&id) {
            Some(progress) => (progress.value, progress.version),
            None => Default::default(),
        };
        self.jobs.insert(id, Job { spec, at, progress, progress_version });
        changes.new_jobs = true;
        Ok(())
    }

    /// Records a job's progress, and the job's end if the progress contains one.
    pub(super) fn put_progress(
        &mut self,
        id: JobId,
        progress: Versioned<Progress>,
        changes: &mut ReplicaChanges,
    ) -> Result<(), RecordError> {
        if !progress.value.done.is_normalized() {
            return Err(RecordError::InvalidRanges);
        }
        changes.job_progress = true;
        if let Some(state) = progress.value.end {
            let Versioned { value, version } = progress;
            let end = EndedJob { state, done: value.done.len(), version };
            self.end_job(id, end, value.gang, changes);
        } else if let Some(job) = self.jobs.get_mut(&id) {
            if job.progress_version < progress.version {
                job.progress = progress.value;
                job.progress_version = progress.version;
            }
        } else if !self.ended.contains_key(&id) {
            self.progress_without_job.insert(id, progress);
        }
        Ok(())
    }

    /// Records a job's cancellation at revision `version`, with `done` tasks completed, as another
    /// controller reports it.
    pub fn record_cancellation(
        &mut self,
        id: JobId,
        done: u32,
        version: Revision,
        changes: &mut ReplicaChanges,
    ) {
        self.newest_revision = self.newest_revision.max(version);
        if self.ended.contains_key(&id) {
            return;
        }
        changes.job_progress = true;
        self.end_job(id, EndedJob { state: JobState::Cancelled, done, version }, None, changes);
    }

    /// Records a job's end and the resources that its tasks may still use, which are given for a
    /// completed gang.
    fn end_job(
        &mut self,
        id: JobId,
        end: EndedJob,
        gang: Option<ResidualUsage>,
        changes: &mut ReplicaChanges,
    ) {
        let job = self.jobs.remove(&id);
        let is_cancelled = end.state == JobState::Cancelled;
        let residual_usage =
            if is_cancelled { job.map(|job| ResidualUsage::of(&job.spec, end.done)) } else { gang };
        if let Some(residual_usage) = residual_usage {
            self.record_residual_usage(id, residual_usage);
        }
        self.progress_without_job.remove(&id);
        if self.record_end(id, end) && is_cancelled {
            changes.cancelled_jobs.push(id);
        }
    }

    /// Records that a job has ended; returns false if the end was known. The oldest end is evicted
    /// first: tasks of recently ended jobs may still be on machines, and are killed there because
    /// the end is known.
    pub(super) fn record_end(&mut self, id: JobId, end: EndedJob) -> bool {
        if self.ended.insert(id, end).is_some() {
            return false;
        }
        self.ended_order.push_back(id);
        if self.ended.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        true
    }

    /// Records the resources that the tasks of an ended job may still use. The oldest record is
    /// discarded if there are too many.
    fn record_residual_usage(&mut self, id: JobId, residual_usage: ResidualUsage) {
        if self.residual_usage.insert(id, residual_usage).is_none() {
            self.residual_usage_order.push_back(id);
        }
        if self.residual_usage_order.len() > MAX_RESIDUAL_USAGE_JOBS
            && let Some(oldest) = self.residual_usage_order.pop_front()
        {
            self.residual_usage.remove(&oldest);
            // Tasks of the discarded job may still be on unreconciled machines, which from now on
            // count in full.
            self.residual_usage_truncated = true;
        }
    }
}

/// Outcome of an ended job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// Final state: done or cancelled.
    pub state: JobState,
    /// Number of tasks that were done.
    pub done: u32,
    /// Version of the progress record that ended the job.
    pub version: Revision,
}

/// Returns the job description to store. If it exceeds `max_bytes`, machine types that are not in
/// the catalog are removed: their list is the only part of unbounded size, and the job can run on
/// just as many machines without them.
pub fn stored_spec(spec: &JobSpec, catalog: &MachineCatalog, max_bytes: usize) -> JobSpec {
    let mut kept = spec.clone();
    let largest = Accepted { spec: kept.clone(), at: WallTime(u64::MAX) };
    if wire::stored_bytes(&largest) > max_bytes
        && let Some(machine_types) = &mut kept.machine_types
    {
        machine_types.retain(|name| catalog.contains_key(name));
        machine_types.sort();
        machine_types.dedup();
    }
    kept
}
