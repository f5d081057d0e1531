//! Exited tasks: their clearing from workers, and what failures say of the machine or the job.
//!
//! A failure mostly means a faulty machine, which is quarantined. A job that fails on several machines is faulty
//! itself: then the job backs off, and its machines are not blamed.

use std::collections::HashSet;

use super::{Shard, ShardContext};
use crate::model::{JobId, MachineId, MonotonicTime};
use crate::wire::{ExitReason, Heartbeat, TaskState, TaskStatus, WorkerCommand};

/// Machines on which a job has to fail to count as faulty.
const FAULTY_JOB_MACHINES: usize = 3;

/// Pause of a job after a failure that its machine is blamed for, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

/// Pause of a faulty job, doubled for each failure up to the limits below, in milliseconds.
const FAULTY_JOB_PAUSE_MS: u64 = 2_000;
const FAULTY_JOB_DOUBLINGS: u32 = 5;
const FAULTY_JOB_PAUSE_MAX_MS: u64 = 60_000;

/// Quarantine of a machine, doubled for each failure up to the limit below, in milliseconds.
const QUARANTINE_MS: u64 = 15_000;
const QUARANTINE_DOUBLINGS: u32 = 4;

/// Quarantine of a machine that refused a start, in milliseconds, so that others are tried first.
const REFUSED_START_QUARANTINE_MS: u64 = 2_000;

/// Failures of a job's tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct JobFaults {
    /// Where its tasks failed.
    machines: HashSet<MachineId>,
    failures: u32,
    /// Its tasks wait for their next try until then.
    paused_until: MonotonicTime,
}

impl JobFaults {
    /// Whether the job fails everywhere it is tried.
    fn is_faulty_job(&self) -> bool {
        self.machines.len() >= FAULTY_JOB_MACHINES
    }

    /// Counts a failure and pauses the job.
    fn record(&mut self, now: MonotonicTime, machine: &MachineId) {
        self.machines.insert(machine.clone());
        self.failures += 1;
        let pause_ms = if self.is_faulty_job() {
            (FAULTY_JOB_PAUSE_MS << self.failures.min(FAULTY_JOB_DOUBLINGS))
                .min(FAULTY_JOB_PAUSE_MAX_MS)
        } else {
            RETRY_PAUSE_MS
        };
        self.paused_until = now.plus(pause_ms);
    }
}

/// Whether a worker refused to start the task, which never ran then.
pub(super) fn is_refused_start(status: &TaskStatus) -> bool {
    matches!(
        status.exit_reason,
        Some(ExitReason::InsufficientResources | ExitReason::AttemptConflict | ExitReason::Unknown)
    )
}

impl Shard {
    /// Clears exited tasks whose outcome no longer depends on the worker's memory, and records how they ended.
    pub(super) fn clear_exited(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        commands: &mut Vec<WorkerCommand>,
    ) {
        for status in heartbeat.tasks.iter().filter(|status| status.state == TaskState::Exited) {
            let is_done = status.exit_reason == Some(ExitReason::Done);
            // A completion is cleared only once the store has it; should all controllers end before
            // that, the worker still reports it to the next one.
            if is_done && !context.replica.is_outcome_recorded(status.task) {
                continue;
            }
            commands.push(WorkerCommand::Clear { task: status.task, attempt: status.attempt });
            self.record_exit(context.now, &heartbeat.machine, status);
        }
    }

    /// Records what the end of a task says of its machine and its job.
    fn record_exit(&mut self, now: MonotonicTime, id: &MachineId, status: &TaskStatus) {
        match status.exit_reason {
            Some(ExitReason::Failed) => self.record_failure(now, status.task.job, id),
            Some(ExitReason::Done) => {
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.faults = 0;
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

    /// Blames a failure on the machine, or on the job if it fails everywhere.
    fn record_failure(&mut self, now: MonotonicTime, job: JobId, id: &MachineId) {
        let job_faults = self.job_faults.entry(job).or_default();
        job_faults.record(now, id);
        let faulty_job = job_faults.is_faulty_job();
        if let Some(machine) = self.machines.get_mut(id) {
            machine.faults += 1;
            machine.changed_in_summary = self.last_summary_seq + 1;
            if !faulty_job {
                let doublings = machine.faults.min(QUARANTINE_DOUBLINGS);
                machine.quarantined_until = now.plus(QUARANTINE_MS << doublings);
            }
        }
        tracing::info!(%job, machine = %id, faulty_job, "task failed");
    }

    /// Whether a job's tasks may be tried now: one that fails pauses.
    pub(super) fn may_try(&self, now: MonotonicTime, job: JobId) -> bool {
        self.job_faults.get(&job).is_none_or(|faults| faults.paused_until <= now)
    }

    /// Jobs that fail everywhere they are tried.
    pub(super) fn faulty_jobs(&self) -> impl Iterator<Item = JobId> {
        self.job_faults.iter().filter(|(_, faults)| faults.is_faulty_job()).map(|(job, _)| *job)
    }
}
