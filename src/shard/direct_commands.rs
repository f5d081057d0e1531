//! Direct messages, which are sent to machines without waiting for heartbeats: kills, restart checks and term
//! announcements.
//!
//! A direct message never starts a task, as it may arrive late. The answer to one has the form of a heartbeat
//! and reconciles the machine only if it is not reconciled yet. In that case no start of this term can be in
//! flight to the machine (`docs/safety.md`, "Who may start").

use std::rc::Rc;

use super::kills::is_cancelled;
use super::{DirectMessage, HeartbeatOrder, NEWEST_HEARTBEATS_MAX, Shard, ShardContext};
use crate::model::{AgentEpoch, MachineId, MonotonicTime};
use crate::replica::Replica;
use crate::wire::{Heartbeat, WorkerCommand};

/// Minimum time between two restart checks of a machine, in milliseconds.
const RESTART_CHECK_INTERVAL_MIN_MS: u64 = 10_000;

/// A pending check of whether a machine was restarted.
#[derive(Clone, Debug)]
pub(super) struct RestartCheck {
    pub(super) machine: MachineId,
    /// Agent epoch in the machine's stale heartbeat.
    pub(super) agent_epoch: AgentEpoch,
}

/// Destination of a direct message.
struct WorkerAddress {
    endpoint: Rc<str>,
    agent_epoch: AgentEpoch,
}

impl Shard {
    /// Queues a restart check after a stale heartbeat. The heartbeat was delayed or duplicated, or the
    /// machine's agent epochs and sequence numbers begin again. Only the machine itself can tell which.
    pub(super) fn check_for_restart(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) {
        let id = &heartbeat.machine;
        let is_recent = |at: &MonotonicTime| now.since(*at) < RESTART_CHECK_INTERVAL_MIN_MS;
        if self.restarted.contains(id) || self.restart_checked_at.get(id).is_some_and(is_recent) {
            return;
        }
        if self.restart_checked_at.len() >= NEWEST_HEARTBEATS_MAX {
            self.restart_checked_at.retain(|_, at| is_recent(at));
        }
        self.restart_checked_at.insert(id.clone(), now);
        let check = RestartCheck { machine: id.clone(), agent_epoch: heartbeat.agent_epoch };
        self.restart_checks_due.push(check);
    }

    /// Returns up to `limit` direct messages that are due. Kills come first. If this controller may respond
    /// to workers, restart checks and term announcements follow. Announcements go to machines of this shard
    /// that have not shown the term's token: nothing starts on such a machine, and the tasks of earlier terms
    /// that it may run cannot be started elsewhere yet.
    pub fn direct_messages_due(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        may_respond: bool,
        limit: usize,
    ) -> Vec<DirectMessage> {
        let mut messages = self.kill_messages(replica, limit);
        if may_respond {
            self.add_restart_checks(limit, &mut messages);
            self.add_announcements(now, replica, limit, &mut messages);
        }
        messages
    }

    /// Returns up to `limit` messages with kills. The response to the next heartbeat would carry the same
    /// kills, but the machine may reach no controller, or this controller may not respond any more. A late or
    /// repeated kill ends no wanted task: a cancelled job stays cancelled, and later starts of a gang have a
    /// higher attempt.
    fn kill_messages(&mut self, replica: &Replica, limit: usize) -> Vec<DirectMessage> {
        let mut messages = Vec::new();
        while messages.len() < limit
            && let Some(id) = self.kills_due.pop_first()
        {
            let Some(machine) = self.machines.get(&id) else { continue };
            let commands: Vec<WorkerCommand> = machine
                .tasks
                .iter()
                .filter_map(|(task, held)| self.kill_for(replica, &id, *task, held.attempt))
                .collect();
            if commands.is_empty() {
                continue;
            }
            messages.push(DirectMessage {
                endpoint: machine.endpoint.clone(),
                term: self.term_state.term,
                agent_epoch: machine.agent_epoch,
                newest_known: None,
                commands,
                machine: id,
            });
        }
        messages
    }

    /// Adds restart checks until there are `limit` messages.
    fn add_restart_checks(&mut self, limit: usize, messages: &mut Vec<DirectMessage>) {
        while messages.len() < limit
            && let Some(check) = self.restart_checks_due.pop()
        {
            let Some(newest) = self.newest_heartbeats.get(&check.machine) else { continue };
            messages.push(DirectMessage {
                machine: check.machine,
                endpoint: newest.endpoint.clone(),
                term: self.term_state.term,
                agent_epoch: check.agent_epoch,
                newest_known: Some(newest.order),
                commands: Vec::new(),
            });
        }
    }

    /// Adds term announcements until there are `limit` messages.
    fn add_announcements(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        limit: usize,
        messages: &mut Vec<DirectMessage>,
    ) {
        let term = self.term_state.term;
        if !self.term_state.announcements_pending || !self.term_state.has_plan() {
            return;
        }
        let mut has_pending = false;
        for (id, _) in self.term_state.owners.iter().filter(|(_, owner)| **owner == self.node_id) {
            if self.machines.get(id).is_some_and(|machine| machine.is_reconciled(term)) {
                continue;
            }
            let Some(address) = self.worker_address(replica, id) else { continue };
            let announcement = self.term_state.announcements.get(id).copied().unwrap_or_default();
            if announcement.is_exhausted() {
                continue;
            }
            has_pending = true;
            if announcement.is_due(now) && messages.len() < limit {
                self.term_state
                    .announcements
                    .insert(id.clone(), announcement.after_announcement(now));
                messages.push(DirectMessage {
                    machine: id.clone(),
                    endpoint: address.endpoint,
                    term,
                    agent_epoch: address.agent_epoch,
                    newest_known: None,
                    commands: Vec::new(),
                });
            }
        }
        self.term_state.announcements_pending = has_pending;
    }

    /// Returns the address of a machine's worker from its newest heartbeat, or else from its machine record
    /// in the state store.
    fn worker_address(&self, replica: &Replica, id: &MachineId) -> Option<WorkerAddress> {
        let by_heartbeat = self.newest_heartbeats.get(id).map(|newest| WorkerAddress {
            endpoint: newest.endpoint.clone(),
            agent_epoch: newest.order.agent_epoch,
        });
        let by_record = || {
            let machine = replica.machines.get(id).filter(|m| m.up && m.terminated_at.is_none())?;
            let endpoint = machine.endpoint.as_str().into();
            Some(WorkerAddress { endpoint, agent_epoch: AgentEpoch(1) })
        };
        by_heartbeat.or_else(by_record).filter(|address| !address.endpoint.is_empty())
    }

    /// Handles a machine's answer to a direct message. Like a heartbeat, the answer shows the machine's token
    /// and tasks.
    pub fn on_direct_response(
        &mut self,
        context: &ShardContext<'_>,
        sent: &DirectMessage,
        heartbeat: &Heartbeat,
    ) {
        let id = &heartbeat.machine;
        if *id != sent.machine {
            return;
        }
        self.record_completions(context.now, context.replica, heartbeat);
        if sent.newest_known.is_some_and(|newest| HeartbeatOrder::of(heartbeat) <= newest) {
            tracing::info!(machine = %id, "machine was restarted");
            self.restarted.insert(id.clone());
            self.summary_due = true;
            return;
        }
        if context.replica.is_machine_gone(id)
            || self.machines.get(id).is_some_and(|m| m.is_reconciled(self.term_state.term))
            || !self.is_newest(heartbeat)
        {
            return;
        }
        if heartbeat.token == self.term_state.term
            && self.term_state.owner(id) == Some(self.node_id)
        {
            self.reconcile_directly(context, heartbeat);
        } else if let Some(announcement) = self.term_state.announcements.get_mut(id) {
            // The message may have carried an outdated agent epoch. The answer shows the present one, so the
            // term is announced again at once.
            announcement.expedite();
        }
    }

    /// Reconciles a machine of this shard from its answer to a direct message.
    fn reconcile_directly(&mut self, context: &ShardContext<'_>, heartbeat: &Heartbeat) {
        let id = &heartbeat.machine;
        self.record_heartbeat(context, heartbeat);
        // If the machine's heartbeats reach no controller, no response would kill the tasks of cancelled
        // jobs.
        if heartbeat.tasks.iter().any(|s| is_cancelled(context.replica, s.task.job)) {
            self.kills_due.insert(id.clone());
        }
        // The agent epoch may have just begun without any response, so the lease counts from this answer.
        self.responded_at.insert(id.clone(), context.now);
    }
}
