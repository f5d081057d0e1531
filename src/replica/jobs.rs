//! Jobs as the replica holds them: those that have not ended with their progress, and how the others
//! ended.

use crate::model::{Revision, TaskRanges, WallTime};
use crate::resources::MachineCatalog;
use crate::wire::{self, JobKind, JobSpec, JobState};

use super::{Accepted, Progress, ResidualUsage};

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
        let mut done = self.progress.done.fitting(max_bytes);
        let max_ranges = TaskRanges::spans_in(max_bytes);
        let fits =
            |done: &TaskRanges, index| done.spans().len() < max_ranges || done.touches(index);
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
