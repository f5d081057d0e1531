//! Starts: selects the granted tasks that start in the response to a machine's heartbeat.
//!
//! Every start passes through [`Shard::start`], which refuses grants of another term (`docs/safety.md`, "Who
//! may start").

use super::assignment::is_highest_priority;
use super::granted_start::GrantedStart;
use super::machine::HeldTask;
use super::{Shard, ShardContext};
use crate::model::{Cores, MachineId, TaskId};
use crate::placement::PlacementTarget;
use crate::replica::Replica;
use crate::resources::Resources;
use crate::wire::{JobSpec, TaskState, WorkerCommand};

impl Shard {
    /// Starts the tasks assigned to a machine. Assigns granted tasks again beforehand if that is due.
    pub(super) fn start_granted(
        &mut self,
        context: &ShardContext<'_>,
        id: &MachineId,
        has_freed_capacity: bool,
        commands: &mut Vec<WorkerCommand>,
    ) {
        if !context.may_start_tasks {
            return;
        }
        if self.is_assignment_due(context.now, has_freed_capacity) {
            self.assign_granted(context, id);
        }
        let queue = self.term_state.start_queues.remove(id).unwrap_or_default();
        if queue.is_empty() && self.term_state.starts_awaiting_release.is_empty() {
            return;
        }
        let Some(mut target) = self.start_target(context, id) else { return };
        for start in queue {
            if !self.start(context, &mut target, &start, commands) {
                self.term_state.has_unplaced_tasks = true;
            }
        }
        self.start_awaiting_release(context, &mut target, commands);
    }

    /// Returns the capacity of a machine of this shard.
    fn start_target(&self, context: &ShardContext<'_>, id: &MachineId) -> Option<PlacementTarget> {
        let (term, plan) = (self.term_state.term, &self.term_state.plan);
        let machine = self.machines.get(id)?;
        let mut target = machine.placement_target(id, context, term, !plan.is_drained(id))?;
        target.reserved = plan.is_reserved(id);
        Some(target)
    }

    /// Starts tasks that were granted before resources for them were released, if the machine has free
    /// capacity and their images. A task whose image the machine would have to fetch is left to the next
    /// assignment across all machines.
    fn start_awaiting_release(
        &mut self,
        context: &ShardContext<'_>,
        target: &mut PlacementTarget,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let has_none = self.term_state.starts_awaiting_release.is_empty();
        if !target.schedulable || target.free.cores == Cores(0) || has_none {
            return;
        }
        let mut waiting = std::mem::take(&mut self.term_state.starts_awaiting_release);
        waiting.retain(|start| {
            let job = context.replica.jobs.get(&start.task.job);
            let Some(job) = job.filter(|job| self.is_backoff_over(context.now, job.spec.id)) else {
                return false;
            };
            if target.free.cores == Cores(0)
                || !target.is_warm(&job.spec)
                || !is_highest_priority(&self.term_state.highest_priority, &job.spec, target)
            {
                return true;
            }
            !self.start(context, target, start, commands)
        });
        self.term_state.starts_awaiting_release = waiting;
    }

    /// Starts a granted task on a machine unless the machine lacks capacity or the task is already on a
    /// machine. Returns true if the grant needs no other machine: the task was started, the start was
    /// refused, or the job has ended.
    ///
    /// Every start passes through here, because the permission to start a task ends with the term that
    /// granted it.
    fn start(
        &mut self,
        context: &ShardContext<'_>,
        target: &mut PlacementTarget,
        granted: &GrantedStart,
        commands: &mut Vec<WorkerCommand>,
    ) -> bool {
        if granted.term != self.term_state.term {
            self.refuse_start(target, granted);
            return true;
        }
        let Some(job) = context.replica.jobs.get(&granted.task.job) else { return true };
        self.is_startable(context.replica, target, granted.task, &job.spec)
            && self.add_start(context, target, granted, &job.spec, commands)
    }

    /// Whether a task is not completed, is on no machine, and fits on the target.
    fn is_startable(
        &self,
        replica: &Replica,
        target: &PlacementTarget,
        task: TaskId,
        spec: &JobSpec,
    ) -> bool {
        self.is_incomplete(replica, task)
            && target.accepts(spec, &Resources::of(spec), None)
            && !self.machines.values().any(|machine| machine.tasks.contains_key(&task))
    }

    /// Adds a start command to the response and records the task on the machine. Returns false if the machine
    /// does not belong to this shard.
    fn add_start(
        &mut self,
        context: &ShardContext<'_>,
        target: &mut PlacementTarget,
        granted: &GrantedStart,
        spec: &JobSpec,
        commands: &mut Vec<WorkerCommand>,
    ) -> bool {
        let task = granted.task;
        let Some(machine) = self.machines.get_mut(&target.id) else { return false };
        target.add(spec, &Resources::of(spec));
        let attempt = granted.attempt.unwrap_or_else(|| self.term_state.attempts.allocate());
        machine.remember_image(spec);
        machine.tasks.insert(task, HeldTask { attempt, state: TaskState::Unknown });
        machine.changed_in_summary = self.last_summary_seq + 1;
        self.summary_due = true;
        tracing::debug!(
            %task, machine = %target.id, %attempt, term = %granted.term, plan = granted.plan.0,
            grant = ?granted.kind, proof_ms = context.replica_age_ms, agent_epoch = machine.agent_epoch.0,
            token = %machine.token, "issued start"
        );
        commands.push(WorkerCommand::Start { task, attempt });
        true
    }

    /// Counts and logs a start that was granted in another term. Such a start means that state of that term
    /// was not discarded.
    fn refuse_start(&mut self, target: &PlacementTarget, granted: &GrantedStart) {
        self.refused_starts += 1;
        tracing::error!(
            task = %granted.task, machine = %target.id, granted_in = %granted.term,
            plan = granted.plan.0, grant = ?granted.kind, term = %self.term_state.term,
            "refused a start that was granted in another term"
        );
    }
}
