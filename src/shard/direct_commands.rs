//! Messages to machines that do not wait for their heartbeats: kills, restart checks and the announcement of a term.
//!
//! They never start a task, as they may arrive late. The answer to one is a heartbeat of the machine, which reconciles
//! it only if it is not reconciled yet: none of this term's starts can be on their way to it then (`docs/safety.md`, "Who
//! may start").

use std::rc::Rc;

use super::kills::is_cancelled;
use super::{DirectMessage, HeartbeatOrder, NEWEST_HEARTBEATS_MAX, Shard, ShardContext};
use crate::model::{AgentEpoch, MachineId, MonotonicTime};
use crate::replica::Replica;
use crate::wire::{Heartbeat, WorkerCommand};

/// Least time between two restart checks of a machine, in milliseconds.
const RESTART_CHECK_AGAIN_MS: u64 = 10_000;

/// A machine that is to be asked whether it was restarted.
#[derive(Clone, Debug)]
pub(super) struct RestartCheck {
    pub(super) machine: MachineId,
    /// The agent epoch of its old heartbeat.
    pub(super) agent_epoch: AgentEpoch,
}

/// Where a direct message reaches a worker.
struct WorkerAddress {
    endpoint: Rc<str>,
    agent_epoch: AgentEpoch,
}

impl Shard {
    /// Has a machine asked whether it was restarted, as an old heartbeat of it came. That is a late copy, or the
    /// machine's epochs and sequences begin again; only the machine itself can tell.
    pub(super) fn check_for_restart(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) {
        let id = &heartbeat.machine;
        let is_recent = |at: &MonotonicTime| now.since(*at) < RESTART_CHECK_AGAIN_MS;
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

    /// Direct messages that are due, up to `limit`: kills; and, if this node may answer, restart checks and
    /// announcements to machines of this shard that have not shown the term's token, as nothing starts on them before,
    /// and tasks of earlier terms wait for the proof.
    pub fn direct_messages_due(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        may_answer: bool,
        limit: usize,
    ) -> Vec<DirectMessage> {
        let mut messages = self.kill_messages(replica, limit);
        if may_answer {
            self.add_restart_checks(limit, &mut messages);
            self.add_announcements(now, replica, limit, &mut messages);
        }
        messages
    }

    /// Kills that do not wait, up to `limit` messages: the response to the next heartbeat would carry
    /// them, but a machine may reach nobody, or this node may not answer any more. A kill that is
    /// late or repeated ends nothing that is wanted: the job is cancelled for good, and what a gang starts
    /// later has a higher attempt.
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

    /// Adds restart checks, up to `limit` messages in all.
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

    /// Adds announcements of the term, up to `limit` messages in all.
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
        for (id, _) in self.term_state.owners.iter().filter(|(_, owner)| **owner == self.me) {
            if self.machines.get(id).is_some_and(|machine| machine.is_reconciled(term)) {
                continue;
            }
            let Some(address) = self.address(replica, id) else { continue };
            let announcement = self.term_state.announcements.get(id).copied().unwrap_or_default();
            if announcement.is_exhausted() {
                continue;
            }
            has_pending = true;
            if announcement.is_due(now) && messages.len() < limit {
                self.term_state.announcements.insert(id.clone(), announcement.repeated(now));
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

    /// Where a machine's worker listens, by its newest heartbeat or else by the record of the machine.
    fn address(&self, replica: &Replica, id: &MachineId) -> Option<WorkerAddress> {
        let by_heartbeat = self.newest_heartbeats.get(id).map(|newest| WorkerAddress {
            endpoint: newest.endpoint.clone(),
            agent_epoch: newest.order.agent_epoch,
        });
        let by_record = || {
            let machine = replica.machines.get(id).filter(|m| m.up && m.gone.is_none())?;
            let endpoint = machine.endpoint.as_str().into();
            Some(WorkerAddress { endpoint, agent_epoch: AgentEpoch(1) })
        };
        by_heartbeat.or_else(by_record).filter(|address| !address.endpoint.is_empty())
    }

    /// Handles a machine's answer to a direct message: it shows the token and the machine's tasks as a heartbeat does.
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
            tracing::info!(machine = %id, "was restarted");
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
        if heartbeat.token == self.term_state.term && self.term_state.owner(id) == Some(self.me) {
            self.reconcile_directly(context, heartbeat);
        } else if let Some(announcement) = self.term_state.announcements.get_mut(id) {
            // Its agent epoch was not known; now it is.
            announcement.expedite();
        }
    }

    /// Reconciles a machine of this shard by its answer to a direct message.
    fn reconcile_directly(&mut self, context: &ShardContext<'_>, heartbeat: &Heartbeat) {
        let id = &heartbeat.machine;
        self.record_state(context, heartbeat);
        // Its heartbeats may reach nobody, and then no response kills what is not wanted any more.
        if heartbeat.tasks.iter().any(|s| is_cancelled(context.replica, s.task.job)) {
            self.kills_due.insert(id.clone());
        }
        // Its agent epoch may have begun just now, without any response: its lease counts from here.
        self.responded_at.insert(id.clone(), context.now);
    }
}
