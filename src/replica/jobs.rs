//! Jobs as the replica holds them: those that have not ended with their progress, and how the others
//! ended. What the store says of them is recorded here.

use crate::model::{JobId, Revision, TaskRanges, WallTime};
use crate::resources::MachineCatalog;
use crate::wire::{self, JobKind, JobSpec, JobState, Value};

use super::versioned::decode;
use super::{
    Accepted, ENDED_KEPT, Progress, RESIDUAL_USAGE_KEPT, RecordError, Replica, ReplicaChanges,
    ResidualUsage, Versioned,
};

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its user asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: WallTime,
    /// Its completed tasks.
    pub progress: Progress,
    /// Version of its progress key; 0 if there is none yet.
    pub progress_version: Revision,
}

impl Job {
    /// Whether a task is durably done.
    pub fn is_done(&self, index: u32) -> bool {
        self.progress.done.contains(index)
    }

    /// How many tasks are not durably done.
    pub fn remaining(&self) -> u32 {
        self.spec.task_count.saturating_sub(self.progress.done.len())
    }

    /// The job's progress with further tasks completed, and with its end if those were the last;
    /// `None` if nothing changes. Tasks beyond the job's are passed over.
    ///
    /// What does not fit into a value of `max_bytes` yet, as the tasks lie too far apart, is left for
    /// later: its workers keep it until then, and a task that completed once completes at once if it
    /// is started again.
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
        let mut apart = Vec::new();
        for index in tasks.into_iter().filter(|index| *index < self.spec.task_count) {
            if fits(&done, index) {
                changed |= done.insert(index);
            } else {
                apart.push(index);
            }
        }
        // Tasks that came since may have closed the gap.
        for index in apart {
            if fits(&done, index) {
                changed |= done.insert(index);
            }
        }
        changed.then(|| self.progress_of(done))
    }

    /// The progress to write once these tasks are done: all of them end a job, but not a service.
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

    /// Records a job's progress, and its end if it has one.
    pub(super) fn put_progress(
        &mut self,
        id: JobId,
        progress: Versioned<Progress>,
        changes: &mut ReplicaChanges,
    ) -> Result<(), RecordError> {
        if !progress.value.done.is_normalized() {
            return Err(RecordError::UnsoundRanges);
        }
        changes.job_progress = true;
        if let Some(state) = progress.value.end {
            self.end_job(id, state, progress.value, changes);
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

    /// Records a job's end and what its tasks may still use.
    fn end_job(
        &mut self,
        id: JobId,
        state: JobState,
        progress: Progress,
        changes: &mut ReplicaChanges,
    ) {
        let done = progress.done.len();
        let job = self.jobs.remove(&id);
        let residual_usage = if state == JobState::Cancelled {
            job.map(|job| ResidualUsage::of(&job.spec, done))
        } else {
            progress.gang
        };
        if let Some(residual_usage) = residual_usage {
            self.record_residual_usage(id, residual_usage);
        }
        self.progress_without_job.remove(&id);
        if self.record_end(id, EndedJob { state, done }) && state == JobState::Cancelled {
            changes.cancelled_jobs.push(id);
        }
    }

    /// Records that a job has ended; false if that was known. The oldest go first: tasks of jobs
    /// that ended lately may still be on machines, and are killed there because their end is known.
    pub(super) fn record_end(&mut self, id: JobId, end: EndedJob) -> bool {
        if self.ended.insert(id, end).is_some() {
            return false;
        }
        self.ended_order.push_back(id);
        if self.ended.len() > ENDED_KEPT
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        true
    }

    fn record_residual_usage(&mut self, id: JobId, residual_usage: ResidualUsage) {
        if self.residual_usage.insert(id, residual_usage).is_none() {
            self.residual_usage_order.push_back(id);
        }
        if self.residual_usage_order.len() > RESIDUAL_USAGE_KEPT
            && let Some(oldest) = self.residual_usage_order.pop_front()
        {
            self.residual_usage.remove(&oldest);
            // Its tasks may still be on machines that are not reconciled: those then count in full.
            self.residual_usage_truncated = true;
        }
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// Done or cancelled.
    pub state: JobState,
    /// How many of its tasks were done.
    pub done: u32,
}

/// A job's description as it is stored. One that is too large for a value of `max_bytes` goes without
/// the machine types that are not in the catalog: they are the only part without a bound, and the job
/// can run on no fewer machines without them.
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
