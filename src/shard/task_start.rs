//! Starts: which granted tasks go into the response to a machine's heartbeat.
//!
//! All starts go through [`Shard::start`], which refuses what another term granted (`docs/safety.md`, "Who may start").

use super::assignment::is_most_urgent;
use super::granted_start::GrantedStart;
use super::machine::HeldTask;
use super::{Shard, ShardContext};
use crate::model::{Cores, MachineId, TaskId};
use crate::placement::PlacementTarget;
use crate::replica::Replica;
use crate::resources::Resources;
use crate::wire::{JobSpec, TaskState, WorkerCommand};

impl Shard {
    /// Starts what is assigned to a machine, after granted tasks were assigned anew if that is due.
    pub(super) fn start_granted(
        &mut self,
        context: &ShardContext<'_>,
        id: &MachineId,
        has_more_room: bool,
        commands: &mut Vec<WorkerCommand>,
    ) {
        if !context.may_start {
            return;
        }
        if self.is_assignment_due(context.now, has_more_room) {
            self.assign_granted(context, id);
        }
        let queue = self.term_state.start_queues.remove(id).unwrap_or_default();
        if queue.is_empty() && self.term_state.starts_awaiting_release.is_empty() {
            return;
        }
        let Some(mut target) = self.start_target(context, id) else { return };
        for start in queue {
            if !self.start(context, &mut target, &start, commands) {
                self.term_state.has_unplaced = true;
            }
        }
        self.start_awaiting_release(context, &mut target, commands);
    }

    /// The room on a machine of this shard.
    fn start_target(&self, context: &ShardContext<'_>, id: &MachineId) -> Option<PlacementTarget> {
        let (term, plan) = (self.term_state.term, &self.term_state.plan);
        let machine = self.machines.get(id)?;
        let mut target = machine.placement_target(id, context, term, !plan.is_drained(id))?;
        target.reserved = plan.is_reserved(id);
        Some(target)
    }

    /// Starts what is granted ahead of a release on a machine that has room and the images for it. What would have
    /// to fetch its image first is left to the next assignment over all machines.
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
            let Some(job) = job.filter(|job| self.may_try(context.now, job.spec.id)) else {
                return false;
            };
            if target.free.cores == Cores(0)
                || !target.is_warm(&job.spec)
                || !is_most_urgent(&self.term_state.highest_priority, &job.spec, target)
            {
                return true;
            }
            !self.start(context, target, start, commands)
        });
        self.term_state.starts_awaiting_release = waiting;
    }

    /// Starts a granted task on a machine, unless it has no room for it or the task is anywhere. True if the
    /// grant needs no other machine any more.
    ///
    /// All starts come through here: the right to start a task ends with the term that granted it.
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

    /// Whether a task is not done, is on no machine, and has room on that one.
    fn is_startable(
        &self,
        replica: &Replica,
        target: &PlacementTarget,
        task: TaskId,
        spec: &JobSpec,
    ) -> bool {
        self.may_start(replica, task)
            && target.accepts(spec, &Resources::of(spec), None)
            && !self.machines.values().any(|machine| machine.tasks.contains_key(&task))
    }

    /// Puts the start into the response, and the task on the machine. False if the machine is not this shard's.
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
            grant = ?granted.kind, proof_ms = context.proof_ms, agent_epoch = machine.agent_epoch.0,
            token = %machine.token, "starts"
        );
        commands.push(WorkerCommand::Start { task, attempt });
        true
    }

    /// Counts and logs a start that another term granted: something of that term outlived it.
    fn refuse_start(&mut self, target: &PlacementTarget, granted: &GrantedStart) {
        self.refused_starts += 1;
        tracing::error!(
            task = %granted.task, machine = %target.id, granted_in = %granted.term,
            plan = granted.plan.0, grant = ?granted.kind, term = %self.term_state.term,
            "a start is refused: another term granted it"
        );
    }
}
