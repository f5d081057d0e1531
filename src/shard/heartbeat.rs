//! How a heartbeat is handled: refused, redirected, or recorded and responded to.

use std::rc::Rc;

use super::job_faults::is_refused_start;
use super::machine::Machine;
use super::{HeartbeatOrder, HeartbeatOutcome, NEWEST_HEARTBEATS_MAX, Shard, ShardContext};
use crate::model::{MachineId, NodeId, Term};
use crate::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

/// Who answers for a machine.
enum Responsibility {
    /// This shard.
    Own,
    /// That controller's shard.
    Other(NodeId),
    /// No shard that is known here.
    Unknown,
}

/// The newest heartbeat of a machine, and where its worker listens.
#[derive(Clone, Debug)]
pub(super) struct NewestHeartbeat {
    pub(super) order: HeartbeatOrder,
    pub(super) endpoint: Rc<str>,
}

impl Shard {
    /// Handles a heartbeat of any machine.
    pub fn on_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        self.last_heartbeat = context.now;
        // A completed task stays completed whoever reports it and however late.
        self.record_completions(context.now, context.replica, heartbeat);
        if !self.may_respond(context, heartbeat) {
            return HeartbeatOutcome::Refuse;
        }
        match self.responsibility(&heartbeat.machine) {
            // Whoever still reaches the store may have taken its machines over. A worker
            // that comes back found nobody, as in an outage, and is kept alive here.
            Responsibility::Own
                if context.isolated && self.may_send_away(context.now, &heartbeat.machine) =>
            {
                let next = (usize::from(self.me.0) + 1) % context.nodes.len().max(1);
                self.redirect_to(context, next)
            }
            Responsibility::Own => self.on_own_heartbeat(context, heartbeat),
            Responsibility::Other(owner) => self.on_heartbeat_of(owner, context, heartbeat),
            Responsibility::Unknown => self.on_foreign_heartbeat(context, heartbeat, false),
        }
    }

    /// Whether a heartbeat may get a response at all.
    fn may_respond(&mut self, context: &ShardContext<'_>, heartbeat: &Heartbeat) -> bool {
        let term = self.term_state.term;
        if !context.may_answer || term == Term(0) || heartbeat.token > term {
            return false;
        }
        if context.replica.is_machine_gone(&heartbeat.machine) {
            return false;
        }
        // A late copy tells of a past that newer heartbeats have overtaken. It reconciles nothing,
        // and its response would reach nobody.
        if !self.is_newest(heartbeat) {
            self.check_for_restart(context.now, heartbeat);
            return false;
        }
        self.may_get_response(context, heartbeat)
    }

    /// Who answers for a machine. Before the first plan of a term nobody is known to own any: machines that were this
    /// shard's are still observed and kept alive, all others are kept alive, and none is sent to an owner of an earlier
    /// term.
    fn responsibility(&self, machine: &MachineId) -> Responsibility {
        match self.term_state.owner(machine) {
            Some(owner) if owner == self.me => Responsibility::Own,
            Some(owner) => Responsibility::Other(owner),
            None if !self.term_state.has_plan() && self.machines.contains_key(machine) => {
                Responsibility::Own
            }
            None => Responsibility::Unknown,
        }
    }

    /// Whether a heartbeat is newer than all others of its machine; remembers it if so.
    pub(super) fn is_newest(&mut self, heartbeat: &Heartbeat) -> bool {
        let order = HeartbeatOrder::of(heartbeat);
        if let Some(newest) = self.newest_heartbeats.get_mut(&heartbeat.machine) {
            if order <= newest.order {
                return false;
            }
            newest.order = order;
            if *newest.endpoint != *heartbeat.endpoint {
                newest.endpoint = heartbeat.endpoint.as_str().into();
            }
            return true;
        }
        // Before the first plan of a term no machine has an owner, and forgetting them all would let late copies in.
        if self.newest_heartbeats.len() >= NEWEST_HEARTBEATS_MAX && self.term_state.has_plan() {
            let owners = &self.term_state.owners;
            self.newest_heartbeats.retain(|id, _| owners.contains_key(id));
        }
        let newest = NewestHeartbeat { order, endpoint: heartbeat.endpoint.as_str().into() };
        self.newest_heartbeats.insert(heartbeat.machine.clone(), newest);
        true
    }

    /// Records the state of a machine of this shard, and responds with what it is to kill, clear and start.
    fn on_own_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let has_more_room = self.record_state(context, heartbeat);
        let mut commands = self.kills(context.replica, &heartbeat.machine, &heartbeat.tasks);
        self.clear_exited(context, heartbeat, &mut commands);
        self.start_granted(context, &heartbeat.machine, has_more_room, &mut commands);
        self.respond(context, heartbeat, true, commands)
    }

    /// Records what a heartbeat of a machine of this shard shows; says whether the machine may have more room than
    /// before.
    pub(super) fn record_state(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> bool {
        let next_summary = self.last_summary_seq + 1;
        let machine = self
            .machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::new(heartbeat, context.now));
        let is_new = machine.is_new();
        let task_count = machine.tasks.len();
        let quarantined_until = machine.quarantined_until;
        let standing_changed = machine.record_standing(context.now, heartbeat);
        let changes = machine.record_tasks(context, heartbeat);
        let quarantine_changed = machine.quarantined_until != quarantined_until;
        // The leader needs the stages of tasks only in passing, so they wait for the next regular summary.
        self.summary_due |= changes.task_set_changed || standing_changed || is_new;
        if changes.any || standing_changed || is_new || quarantine_changed {
            machine.changed_in_summary = next_summary;
        }
        let has_more_room =
            machine.tasks.len() < task_count || standing_changed || quarantine_changed;
        // A start that was lost, or a task that failed, has to go somewhere else.
        self.term_state.assignment_stale |=
            changes.removed.iter().any(|task| self.may_start(context.replica, *task));
        self.record_gang_attempts(heartbeat);
        has_more_room
    }

    /// Remembers which attempts of granted gangs a worker has shown, as they are never started again. A refused start
    /// never ran, and may be tried elsewhere.
    fn record_gang_attempts(&mut self, heartbeat: &Heartbeat) {
        let term_state = &mut self.term_state;
        if !term_state.plan.has_gangs() {
            return;
        }
        let shown = heartbeat
            .tasks
            .iter()
            .filter(|status| !is_refused_start(status))
            .filter(|status| term_state.plan.grants_gang(status.attempt))
            .map(|status| (status.task, status.attempt));
        term_state.shown_gang_attempts.extend(shown);
    }

    /// Responds with 200, which renews the worker's lease.
    pub(super) fn respond(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        own: bool,
        commands: Vec<WorkerCommand>,
    ) -> HeartbeatOutcome {
        self.responded_at.insert(heartbeat.machine.clone(), context.now);
        let (term, plan) = (self.term_state.term, self.term_state.plan.seq.0);
        tracing::debug!(
            machine = %heartbeat.machine, own, %term, plan, proof_ms = context.proof_ms,
            agent_epoch = heartbeat.agent_epoch.0, token = %heartbeat.token,
            commands = commands.len(), "answers"
        );
        HeartbeatOutcome::Respond(HeartbeatResponse { token: term, commands })
    }
}
