//! Handling of heartbeats: refuses, redirects, or records and responds.

use std::rc::Rc;

use super::job_faults::is_refused_start;
use super::machine::Machine;
use super::{HeartbeatOrder, HeartbeatOutcome, NEWEST_HEARTBEATS_MAX, Shard, ShardContext};
use crate::model::{MachineId, NodeId, Term};
use crate::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

/// The shard responsible for a machine.
enum Responsibility {
    /// The shard that received the heartbeat.
    Own,
    /// The shard of another controller.
    Other(NodeId),
    /// No known shard.
    Unknown,
}

/// Position of a machine's newest heartbeat, the token that it showed, and the address at which its worker
/// listens.
#[derive(Clone, Debug)]
pub(super) struct NewestHeartbeat {
    pub(super) order: HeartbeatOrder,
    pub(super) token: Term,
    pub(super) endpoint: Rc<str>,
}

impl Shard {
    /// Handles a heartbeat of any machine.
    pub fn on_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        self.last_heartbeat_at = context.now;
        // A completion is final, so it counts even in a stale heartbeat or one of a foreign machine.
        self.record_completions(context.now, context.replica, heartbeat);
        if !self.may_respond(context, heartbeat) {
            return HeartbeatOutcome::Refuse;
        }
        match self.responsibility(&heartbeat.machine) {
            // A controller that still reaches the store may have taken over the machines of this isolated
            // one, so each worker is redirected, but not again within `ISOLATION_REDIRECT_INTERVAL_MIN_MS`.
            // A worker that returns found no other controller, as in an outage, and is kept alive here.
            Responsibility::Own
                if context.is_isolated
                    && self.allow_isolation_redirect(context.now, &heartbeat.machine) =>
            {
                let next = (usize::from(self.node_id.0) + 1) % context.nodes.len().max(1);
                self.redirect_to(context, next)
            }
            Responsibility::Own => self.on_own_heartbeat(context, heartbeat),
            Responsibility::Other(owner) => self.redirect_or_respond(owner, context, heartbeat),
            Responsibility::Unknown => self.on_foreign_heartbeat(context, heartbeat, false),
        }
    }

    /// Whether a heartbeat may get a response.
    fn may_respond(&mut self, context: &ShardContext<'_>, heartbeat: &Heartbeat) -> bool {
        let term = self.term_state.term;
        if !context.may_respond || term == Term(0) || heartbeat.token > term {
            return false;
        }
        if context.replica.is_machine_gone(&heartbeat.machine) {
            return false;
        }
        // Newer heartbeats have superseded a stale one. It must not reconcile the machine, and a response to
        // it would reach no one.
        if !self.is_newest(heartbeat) {
            self.check_for_restart(context.now, heartbeat);
            return false;
        }
        self.may_get_response(context, heartbeat)
    }

    /// Returns the shard responsible for a machine. Before the first plan of a term no owner is known:
    /// machines of this shard are still observed and kept alive, other machines are kept alive, and no
    /// machine is redirected to an owner of an earlier term.
    fn responsibility(&self, machine: &MachineId) -> Responsibility {
        match self.term_state.owner(machine) {
            Some(owner) if owner == self.node_id => Responsibility::Own,
            Some(owner) => Responsibility::Other(owner),
            None if !self.term_state.has_plan() && self.machines.contains_key(machine) => {
                Responsibility::Own
            }
            None => Responsibility::Unknown,
        }
    }

    /// Whether a heartbeat is newer than all earlier ones of its machine. Records it if so.
    ///
    /// A worker's token never falls. A heartbeat that shows a lower token than an earlier one is a late copy, even if
    /// its sequence number is higher: the machine was restarted since and counts from the beginning again. Without
    /// this, the copy would prove starts lost that the machine has carried out.
    pub(super) fn is_newest(&mut self, heartbeat: &Heartbeat) -> bool {
        let order = HeartbeatOrder::of(heartbeat);
        if let Some(newest) = self.newest_heartbeats.get_mut(&heartbeat.machine) {
            if order <= newest.order || heartbeat.token < newest.token {
                return false;
            }
            (newest.order, newest.token) = (order, heartbeat.token);
            if *newest.endpoint != *heartbeat.endpoint {
                newest.endpoint = heartbeat.endpoint.as_str().into();
            }
            return true;
        }
        // Before the first plan of a term no machine has an owner. Discarding the records of machines without
        // an owner would discard all of them, and stale heartbeats would be accepted.
        if self.newest_heartbeats.len() >= NEWEST_HEARTBEATS_MAX && self.term_state.has_plan() {
            let owners = &self.term_state.owners;
            self.newest_heartbeats.retain(|id, _| owners.contains_key(id));
        }
        let (token, endpoint) = (heartbeat.token, heartbeat.endpoint.as_str().into());
        let newest = NewestHeartbeat { order, token, endpoint };
        self.newest_heartbeats.insert(heartbeat.machine.clone(), newest);
        true
    }

    /// Records the state of a machine of this shard and responds with its kill, clear and start commands.
    fn on_own_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let has_freed_capacity = self.record_heartbeat(context, heartbeat);
        let mut commands = self.kills(context.replica, &heartbeat.machine, &heartbeat.tasks);
        self.clear_exited(context, heartbeat, &mut commands);
        self.start_granted(context, &heartbeat.machine, has_freed_capacity, &mut commands);
        self.respond(context, heartbeat, true, commands)
    }

    /// Records the state that a heartbeat shows of a machine of this shard. Returns whether the machine may
    /// have more free capacity than before.
    pub(super) fn record_heartbeat(
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
        let machine_status_changed = machine.record_machine_status(context.now, heartbeat);
        let changes = machine.record_tasks(context, heartbeat);
        let quarantine_changed = machine.quarantined_until != quarantined_until;
        // Task states alone are not urgent for the leader, so a change of state waits for the next regular
        // summary.
        self.summary_due |= changes.task_set_changed || machine_status_changed || is_new;
        if changes.any_changed || machine_status_changed || is_new || quarantine_changed {
            machine.changed_in_summary = next_summary;
        }
        let has_freed_capacity =
            machine.tasks.len() < task_count || machine_status_changed || quarantine_changed;
        // A task whose start was lost or that failed has to be assigned again.
        self.term_state.assignment_stale |=
            changes.removed.iter().any(|task| self.is_incomplete(context.replica, *task));
        self.record_gang_attempts(heartbeat);
        has_freed_capacity
    }

    /// Records which attempts of granted gangs the worker has shown, as a shown attempt is never started
    /// again. A task whose start was refused never ran and may start on another machine.
    fn record_gang_attempts(&mut self, heartbeat: &Heartbeat) {
        let term_state = &mut self.term_state;
        if !term_state.plan.has_gang_grants() {
            return;
        }
        let shown = heartbeat
            .tasks
            .iter()
            .filter(|status| !is_refused_start(status))
            .filter(|status| term_state.plan.grants_gang_attempt(status.attempt))
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
            machine = %heartbeat.machine, own, %term, plan, proof_ms = context.replica_age_ms,
            agent_epoch = heartbeat.agent_epoch.0, token = %heartbeat.token,
            commands = commands.len(), "responded to heartbeat"
        );
        HeartbeatOutcome::Respond(HeartbeatResponse { token: term, commands })
    }
}
