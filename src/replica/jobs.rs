//! Jobs that have not ended.

use crate::model::{Ranges, Revision, WallTime};
use crate::placement::MachineCatalog;
use crate::wire::{self, JobSpec, JobState};

use super::{Accepted, Progress, Replica, ResidualUsage};

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: WallTime,
    /// Its progress.
    pub progress: Progress,
    /// Version of its progress; 0 if there is none yet.
    pub progress_version: Revision,
}

impl Job {
    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.progress.done.contains(index)
    }
    /// Tasks that are not done.
    pub fn remaining(&self) -> u32 {
        self.spec.task_count.saturating_sub(self.progress.done.len())
    }
}

/// A job's description as it is kept: if it is too large for a value, without the machine types that
/// there are none of. They are the only part without a bound, and the job is none the wider.
pub fn kept_spec(spec: &JobSpec, catalog: &MachineCatalog, bytes: usize) -> JobSpec {
    let mut kept = spec.clone();
    if wire::stored_bytes(&Accepted { spec: kept.clone(), at: WallTime(u64::MAX) }) > bytes
        && let Some(machine_types) = &mut kept.machine_types
    {
        machine_types.retain(|h| catalog.contains_key(h));
        machine_types.sort();
        machine_types.dedup();
    }
    kept
}

impl Replica {
    /// Adds finished tasks to a job's progress: the new value, or `None` if nothing changes. What
    /// does not fit into `bytes` yet, as the tasks lie too far apart, is left for later: its workers
    /// keep it until then, and a task that completed once completes at once if it is started again.
    pub fn with_done(
        job: &Job,
        tasks: impl IntoIterator<Item = u32>,
        bytes: usize,
    ) -> Option<Progress> {
        let mut progress =
            Progress { done: job.progress.done.fitting(bytes), ..Progress::default() };
        let most = Ranges::spans_in(bytes);
        let mut any = false;
        let mut apart = Vec::new();
        for index in tasks {
            if index >= job.spec.task_count {
            } else if progress.done.spans().len() < most || progress.done.touches(index) {
                any |= progress.done.insert(index);
            } else {
                apart.push(index);
            }
        }
        for index in apart {
            if progress.done.spans().len() < most || progress.done.touches(index) {
                any |= progress.done.insert(index);
            }
        }
        if !any {
            return None;
        }
        let all = progress.done.len() == job.spec.task_count;
        if all && job.spec.kind != wire::JobKind::Service {
            progress.end = Some(JobState::Done);
            if job.spec.kind == wire::JobKind::Gang {
                progress.gang = Some(ResidualUsage::of(&job.spec, 0));
            }
        }
        Some(progress)
    }
}
