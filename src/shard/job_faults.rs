//! Failed tasks: whether the machine is to blame or the job.

use std::collections::HashSet;

use super::{Shard, ShardContext};
use crate::model::{JobId, MachineId, MonotonicTime};
use crate::wire::{ExitReason, Heartbeat, TaskState, WorkerCommand};

/// Errors of a job's tasks, to tell a faulty job from a faulty machine.
#[derive(Clone, Debug, Default)]
pub(super) struct JobFaults {
    pub(super) machines: HashSet<MachineId>,
    pub(super) count: u32,
    pub(super) until: MonotonicTime,
}

impl Shard {
    /// Clears ended tasks whose outcome no longer depends on the worker's memory, and learns
    /// from those that failed.
    pub(super) fn clear_ended(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        commands: &mut Vec<WorkerCommand>,
    ) {
        for p in heartbeat.tasks.iter().filter(|p| p.state == TaskState::Exited) {
            let done = p.exit_reason == Some(ExitReason::Done);
            // `done` is cleared only once the store has it; should all controllers end before
            // that, the worker still tells the next one.
            if done && !context.replica.is_outcome_recorded(p.task) {
                continue;
            }
            commands.push(WorkerCommand::Clear { task: p.task, attempt: p.attempt });
            match p.exit_reason {
                Some(ExitReason::Failed) => {
                    self.record_failure(context.now, p.task.job, &heartbeat.machine)
                }
                Some(
                    ExitReason::InsufficientResources
                    | ExitReason::AttemptConflict
                    | ExitReason::Unknown,
                ) => {
                    if let Some(m) = self.machines.get_mut(&heartbeat.machine) {
                        m.quarantined_until = m.quarantined_until.max(context.now.plus(2_000));
                        m.changed_in_summary = self.summary_number + 1;
                    }
                }
                Some(ExitReason::Done) => {
                    if let Some(m) = self.machines.get_mut(&heartbeat.machine) {
                        m.faults = 0;
                    }
                    self.job_faults.remove(&p.task.job);
                }
                _ => {}
            }
        }
    }

    /// Errors mostly mean a faulty machine, but a job that fails on several machines is
    /// faulty itself: then it backs off and the machines are not blamed.
    fn record_failure(&mut self, now: MonotonicTime, job: JobId, machine: &MachineId) {
        let f = self.job_faults.entry(job).or_default();
        f.machines.insert(machine.clone());
        f.count += 1;
        let faulty_job = f.machines.len() >= 3;
        let pause = if faulty_job { (2_000u64 << f.count.min(5)).min(60_000) } else { 500 };
        f.until = now.plus(pause);
        if let Some(m) = self.machines.get_mut(machine) {
            m.faults += 1;
            m.changed_in_summary = self.summary_number + 1;
            if !faulty_job {
                m.quarantined_until = now.plus(15_000u64 << m.faults.min(4));
            }
        }
        tracing::info!(job = %job, %machine, faulty_job, "task failed");
    }

    /// Whether the job fails everywhere it is tried.
    pub(super) fn is_failing_everywhere(&self, job: JobId) -> bool {
        self.job_faults.get(&job).is_some_and(|f| f.machines.len() >= 3)
    }
}
