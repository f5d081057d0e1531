//! Exited tasks: clears them from workers and attributes failures to a machine or a job.
//!
//! A failure is usually attributed to the machine, which is quarantined. A job that fails on several machines
//! is presumed to be faulty itself: the job then backs off, and the machines are not quarantined.

use std::collections::HashSet;

use super::{Shard, ShardContext};
use crate::model::{JobId, MachineId, MonotonicTime};
use crate::wire::{ExitReason, Heartbeat, TaskState, TaskStatus, WorkerCommand};

/// Number of machines on which a job has to fail to be considered faulty.
const FAULTY_JOB_MACHINES_MIN: usize = 3;

/// Backoff of a job after a failure that is attributed to the machine, in milliseconds.
const RETRY_BACKOFF_MS: u64 = 500;

/// Base backoff of a faulty job in milliseconds. It is doubled once per failure, at most `FAULTY_JOB_DOUBLINGS_MAX`
/// times and up to `FAULTY_JOB_BACKOFF_MAX_MS`.
const FAULTY_JOB_BACKOFF_MS: u64 = 2_000;
const FAULTY_JOB_DOUBLINGS_MAX: u32 = 5;
const FAULTY_JOB_BACKOFF_MAX_MS: u64 = 60_000;

/// Base quarantine of a machine in milliseconds. It is doubled once per consecutive failure, at most
/// `QUARANTINE_DOUBLINGS_MAX` times.
const QUARANTINE_MS: u64 = 15_000;
const QUARANTINE_DOUBLINGS_MAX: u32 = 4;

/// Quarantine in milliseconds of a machine that refused a start, so that other machines are tried first.
const REFUSED_START_QUARANTINE_MS: u64 = 2_000;

/// Failures of a job's tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct JobFaults {
    /// Machines on which its tasks failed.
    machines: HashSet<MachineId>,
    failures: u32,
    /// End of the backoff, during which no task of the job is started.
    backoff_until: MonotonicTime,
}

impl JobFaults {
    /// Whether the job has failed on enough machines to be considered faulty.
    fn is_faulty_job(&self) -> bool {
        self.machines.len() >= FAULTY_JOB_MACHINES_MIN
    }

    /// Counts a failure on a machine and starts the backoff of the job.
    fn record(&mut self, now: MonotonicTime, machine: &MachineId) {
        self.machines.insert(machine.clone());
        self.failures += 1;
        let backoff_ms = if self.is_faulty_job() {
            (FAULTY_JOB_BACKOFF_MS << self.failures.min(FAULTY_JOB_DOUBLINGS_MAX))
                .min(FAULTY_JOB_BACKOFF_MAX_MS)
        } else {
            RETRY_BACKOFF_MS
        };
        self.backoff_until = now.plus(backoff_ms);
    }
}

/// Whether the worker refused to start the task, so that the task never ran.
pub(super) fn is_refused_start(status: &TaskStatus) -> bool {
    matches!(
        status.exit_reason,
        Some(ExitReason::InsufficientResources | ExitReason::AttemptConflict | ExitReason::Unknown)
    )
}

impl Shard {
    /// Clears exited tasks whose outcome no longer depends on the worker's memory, and records how they
    /// ended.
    pub(super) fn clear_exited(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        commands: &mut Vec<WorkerCommand>,
    ) {
        for status in heartbeat.tasks.iter().filter(|status| status.state == TaskState::Exited) {
            let is_done = status.exit_reason == Some(ExitReason::Done);
            // A completion is cleared only once the store has recorded it. If all controllers stop before
            // that, the worker still reports the completion to the next controller.
            if is_done && !context.replica.is_outcome_recorded(status.task) {
                continue;
            }
            commands.push(WorkerCommand::Clear { task: status.task, attempt: status.attempt });
            self.record_exit(context.now, &heartbeat.machine, status);
        }
    }

    /// Updates the failure records of the machine and the job from the exit reason of a task.
    fn record_exit(&mut self, now: MonotonicTime, id: &MachineId, status: &TaskStatus) {
        match status.exit_reason {
            Some(ExitReason::Failed) => self.record_failure(now, status.task.job, id),
            Some(ExitReason::Done) => {
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.consecutive_failures = 0;
                }
                self.job_faults.remove(&status.task.job);
            }
            _ if is_refused_start(status) => {
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.quarantine_until(now.plus(REFUSED_START_QUARANTINE_MS));
                    machine.changed_in_summary = self.last_summary_seq + 1;
                }
            }
            _ => {}
        }
    }

    /// Counts a failure for both the machine and the job. Quarantines the machine unless the job is faulty.
    fn record_failure(&mut self, now: MonotonicTime, job: JobId, id: &MachineId) {
        let job_faults = self.job_faults.entry(job).or_default();
        job_faults.record(now, id);
        let faulty_job = job_faults.is_faulty_job();
        if let Some(machine) = self.machines.get_mut(id) {
            machine.consecutive_failures += 1;
            machine.changed_in_summary = self.last_summary_seq + 1;
            if !faulty_job {
                let doublings = machine.consecutive_failures.min(QUARANTINE_DOUBLINGS_MAX);
                machine.quarantined_until = now.plus(QUARANTINE_MS << doublings);
            }
        }
        tracing::info!(%job, machine = %id, faulty_job, "task failed");
    }

    /// Whether tasks of a job may be started, that is, the job is not in backoff.
    pub(super) fn is_backoff_over(&self, now: MonotonicTime, job: JobId) -> bool {
        self.job_faults.get(&job).is_none_or(|faults| faults.backoff_until <= now)
    }

    /// Returns the jobs that have failed on enough machines to be considered faulty.
    pub(super) fn faulty_jobs(&self) -> impl Iterator<Item = JobId> {
        self.job_faults.iter().filter(|(_, faults)| faults.is_faulty_job()).map(|(job, _)| *job)
    }
}
