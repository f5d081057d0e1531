//! How heartbeats are answered.

use std::rc::Rc;

use super::machine::Machine;
use super::redirect::Route;
use super::{HeartbeatOutcome, NEWEST_HEARTBEATS_MAX, Shard, ShardContext};
use crate::model::{AgentEpoch, MachineId, NodeId, Term};
use crate::wire::{ExitReason, Heartbeat, HeartbeatResponse, TaskStatus, WorkerCommand};

/// Whose a machine is.
enum Responsibility {
    /// This part's.
    Own,
    /// That controller's.
    Other(NodeId),
    /// Nobody's that is known here.
    Unknown,
}

/// The newest report of a machine, and where its worker listens.
#[derive(Clone, Debug)]
pub(super) struct NewestHeartbeat {
    pub(super) order: (AgentEpoch, u64),
    pub(super) endpoint: Rc<str>,
}

impl Shard {
    /// Answers a report.
    pub fn on_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        self.last_heartbeat = context.now;
        // A completed task stays completed whoever reports it and however late.
        self.record_completions(context.now, context.replica, heartbeat);
        let term = self.term_state.term;
        if !context.may_answer || term == Term(0) || heartbeat.token > term {
            return HeartbeatOutcome::Refuse;
        }
        if context.replica.machine_gone(&heartbeat.machine) {
            return HeartbeatOutcome::Refuse;
        }
        // A late copy tells of a past that newer reports have overtaken. It settles nothing,
        // and its answer would reach nobody.
        if !self.is_newest(heartbeat) {
            self.check_for_restart(context.now, heartbeat);
            return HeartbeatOutcome::Refuse;
        }
        if !self.may_get_response(context, heartbeat) {
            return HeartbeatOutcome::Refuse;
        }
        match self.responsibility(&heartbeat.machine) {
            Responsibility::Own => {
                // Whoever still reaches the store may have taken its machines over. A worker
                // that comes back found nobody, as in an outage, and is kept alive here.
                if context.isolated && self.may_send_away(context.now, &heartbeat.machine) {
                    let next = (usize::from(self.me.0) + 1) % context.nodes.len().max(1);
                    return self.redirect_to(context, next);
                }
                self.on_own_heartbeat(context, heartbeat)
            }
            Responsibility::Other(owner) => {
                match self.route(context.now, &context.timing, &heartbeat.machine) {
                    Route::Send => self.redirect_to(context, usize::from(owner.0)),
                    Route::Keep => self.on_foreign_heartbeat(context, heartbeat, false),
                    Route::Cut => self.on_foreign_heartbeat(context, heartbeat, true),
                }
            }
            Responsibility::Unknown => self.on_foreign_heartbeat(context, heartbeat, false),
        }
    }

    /// Whose a machine is. Before the first plan of a term nobody is known to own any: machines that were this part's
    /// are still observed and kept alive, all others are kept alive, and none is sent to an owner of an earlier term.
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

    /// Whether a report is newer than all others of its machine; remembers it if so.
    pub(super) fn is_newest(&mut self, heartbeat: &Heartbeat) -> bool {
        let order = (heartbeat.agent_epoch, heartbeat.sequence);
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

    /// Takes what a report of a machine of this part tells of it; says whether it has more room
    /// than before.
    pub(super) fn record_state(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> bool {
        let now = context.now;
        let next = self.summary_number + 1;
        let machine = self
            .machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::new(heartbeat, now));
        let warned = heartbeat.spot_notice_s.is_some();
        machine.reclaimed_at =
            heartbeat.spot_notice_s.map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        let shunned = machine.quarantined_until;
        let state = (heartbeat.agent_epoch, heartbeat.token, warned);
        let turned = state != (machine.agent_epoch, machine.token, machine.reclaim_noticed);
        (machine.agent_epoch, machine.token, machine.reclaim_noticed) = state;
        machine.last_heartbeat = now;
        let before = machine.tasks.len();
        let (changed, others, left) = machine.record_tasks(context, heartbeat);
        let new = machine.changed_in_summary == 0;
        self.summary_due |= others || turned || new;
        // Stages matter to the leader only in passing, so they are told without haste.
        if changed || turned || new || machine.quarantined_until != shunned {
            machine.changed_in_summary = next;
        }
        let freed = machine.tasks.len() < before || turned || machine.quarantined_until != shunned;
        // A start that was lost, or a task that failed, has to go somewhere else.
        self.term_state.assignment_stale |=
            left.iter().any(|t| self.may_start(context.replica, *t));
        if self.term_state.plan.has_gangs() {
            // A refused start never ran, and may be tried elsewhere.
            let refused = |p: &TaskStatus| {
                matches!(
                    p.exit_reason,
                    Some(
                        ExitReason::InsufficientResources
                            | ExitReason::AttemptConflict
                            | ExitReason::Unknown
                    )
                )
            };
            let shown = heartbeat.tasks.iter().filter(|p| !refused(p)).map(|p| (p.task, p.attempt));
            let plan = &self.term_state.plan;
            self.term_state.shown_gang_attempts.extend(shown.filter(|p| plan.grants_gang(p.1)));
        }
        freed
    }

    fn on_own_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let now = context.now;
        let freed = self.record_state(context, heartbeat);
        let mut commands = self.kills(context.replica, &heartbeat.machine, &heartbeat.tasks);
        self.clear_ended(context, heartbeat, &mut commands);
        self.start_granted(context, &heartbeat.machine, freed, &mut commands);
        self.responded_at.insert(heartbeat.machine.clone(), now);
        self.log_response(context, heartbeat, true, &commands);
        HeartbeatOutcome::Respond(HeartbeatResponse { token: self.term_state.term, commands })
    }

    /// Logs why a report may be answered with 200.
    pub(super) fn log_response(
        &self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        own: bool,
        commands: &[WorkerCommand],
    ) {
        tracing::debug!(
            machine = %heartbeat.machine, own, term = %self.term_state.term, plan = self.term_state.plan.seq.0,
            proof_ms = context.proof_ms, agent_epoch = heartbeat.agent_epoch.0, token = %heartbeat.token,
            commands = commands.len(), "answers"
        );
    }
}
