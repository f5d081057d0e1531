//! What machines are told or asked straight away, besides the answers to their reports.

use super::kills::is_cancelled;
use super::machine::{HeldTask, Machine};
use super::term_state::TermAnnouncement;
use super::{DirectMessage, NEWEST_HEARTBEATS_MAX, Shard, ShardContext};
use crate::model::{AgentEpoch, JobId, MonotonicTime, TaskId};
use crate::replica::Replica;
use crate::wire::{Heartbeat, WorkerCommand};

/// How often a machine is told of a term straight away, and the time before the second try, which
/// doubles for the next.
const ANNOUNCEMENTS: u32 = 4;

const ANNOUNCE_AGAIN_MS: u64 = 1_500;

/// Least time between two questions to a machine of which old reports come.
const RESTART_CHECK_AGAIN_MS: u64 = 10_000;

impl Shard {
    /// An old report is a late copy, or its machine was restarted and counts from the start again.
    /// Only the machine itself can tell.
    pub(super) fn check_for_restart(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) {
        let id = &heartbeat.machine;
        if self.restarted.contains(id)
            || self
                .restart_checked_at
                .get(id)
                .is_some_and(|at| now.since(*at) < RESTART_CHECK_AGAIN_MS)
        {
            return;
        }
        if self.restart_checked_at.len() >= NEWEST_HEARTBEATS_MAX {
            self.restart_checked_at.retain(|_, at| now.since(*at) < RESTART_CHECK_AGAIN_MS);
        }
        self.restart_checked_at.insert(id.clone(), now);
        self.restart_checks_due.push((id.clone(), heartbeat.agent_epoch));
    }

    /// Machines that are to be asked or told something straight away, up to `most`: those that may
    /// have been restarted, and those of this part that have not shown the term's token, as
    /// nothing starts on them before, and tasks of earlier terms wait for the proof.
    pub fn direct_messages_due(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        may_answer: bool,
        most: usize,
    ) -> Vec<DirectMessage> {
        let mut out = self.kill_messages(replica, most);
        if !may_answer {
            return out;
        }
        while out.len() < most
            && let Some((machine, agent_epoch)) = self.restart_checks_due.pop()
        {
            if let Some(newest) = self.newest_heartbeats.get(&machine) {
                let (endpoint, newest_known) = (newest.endpoint.clone(), Some(newest.order));
                let (term, commands) = (self.term_state.term, Vec::new());
                out.push(DirectMessage {
                    machine,
                    endpoint,
                    term,
                    agent_epoch,
                    newest_known,
                    commands,
                });
            }
        }
        self.announce_term(now, replica, most, &mut out);
        out
    }

    /// Tells machines of this part that have not shown the term's token of it, up to `most` in all.
    fn announce_term(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        most: usize,
        out: &mut Vec<DirectMessage>,
    ) {
        let term = self.term_state.term;
        if !self.term_state.announcements_pending || !self.term_state.has_plan() {
            return;
        }
        let mut open = false;
        for (id, _) in self.term_state.owners.iter().filter(|(_, owner)| **owner == self.me) {
            if self.machines.get(id).is_some_and(|m| m.is_reconciled(term)) {
                continue;
            }
            let newest = self.newest_heartbeats.get(id).map(|n| (n.endpoint.clone(), n.order.0));
            let known = || replica.machines.get(id).filter(|m| m.up && m.gone.is_none());
            let on_record = || known().map(|m| (m.endpoint.as_str().into(), AgentEpoch(1)));
            let Some((endpoint, agent_epoch)) = newest.or_else(on_record) else { continue };
            let TermAnnouncement { times, at } =
                self.term_state.announcements.get(id).copied().unwrap_or_default();
            if endpoint.is_empty() || times >= ANNOUNCEMENTS {
                continue;
            }
            open = true;
            let due = times == 0 || now.since(at) >= ANNOUNCE_AGAIN_MS << (times - 1);
            if due && out.len() < most {
                let announced = TermAnnouncement { times: times + 1, at: now };
                self.term_state.announcements.insert(id.clone(), announced);
                let (machine, newest_known, commands) = (id.clone(), None, Vec::new());
                out.push(DirectMessage {
                    machine,
                    endpoint,
                    term,
                    agent_epoch,
                    newest_known,
                    commands,
                });
            }
        }
        self.term_state.announcements_pending = open;
    }

    /// What machines are to end straight away, up to `most` of them: the next answer to their reports would
    /// tell them, but a machine may reach nobody, or this node may not answer any more. A kill that is
    /// late or repeated ends nothing that is wanted: the job is cancelled for good, and what a gang starts
    /// later has a higher attempt.
    fn kill_messages(&mut self, replica: &Replica, most: usize) -> Vec<DirectMessage> {
        let mut out = Vec::new();
        while out.len() < most
            && let Some(machine) = self.kills_due.pop_first()
        {
            let Some(m) = self.machines.get(&machine) else { continue };
            let order = |t: &TaskId, h: &HeldTask| self.kill_for(replica, &machine, *t, h.attempt);
            let commands: Vec<WorkerCommand> =
                m.tasks.iter().filter_map(|(t, h)| order(t, h)).collect();
            if commands.is_empty() {
                continue;
            }
            let (endpoint, agent_epoch, term) =
                (m.endpoint.clone(), m.agent_epoch, self.term_state.term);
            out.push(DirectMessage {
                machine,
                endpoint,
                term,
                agent_epoch,
                newest_known: None,
                commands,
            });
        }
        out
    }

    /// Jobs were cancelled: the machines of this part that have tasks of them are told straight away.
    pub fn queue_cancellation_kills(&mut self, jobs: &[JobId]) {
        let has = |m: &Machine| m.tasks.keys().any(|t| jobs.contains(&t.job));
        let on = self.machines.iter().filter(|(_, m)| has(m)).map(|(id, _)| id.clone());
        self.kills_due.extend(on);
    }

    /// Takes a machine's answer to an announcement: it shows the token and the machine's tasks as a
    /// report does. It counts only for a machine that has not settled: none of this term's
    /// starts can be on its way to it then.
    pub fn on_direct_response(
        &mut self,
        context: &ShardContext<'_>,
        asked: &DirectMessage,
        heartbeat: &Heartbeat,
    ) {
        let id = &heartbeat.machine;
        if *id != asked.machine {
            return;
        }
        self.record_completions(context.now, context.replica, heartbeat);
        if asked
            .newest_known
            .is_some_and(|newest| (heartbeat.agent_epoch, heartbeat.sequence) <= newest)
        {
            tracing::info!(machine = %id, "was restarted");
            self.restarted.insert(id.clone());
            self.summary_due = true;
            return;
        }
        if context.replica.machine_gone(id)
            || self.machines.get(id).is_some_and(|m| m.is_reconciled(self.term_state.term))
            || !self.is_newest(heartbeat)
        {
            return;
        }
        if heartbeat.token == self.term_state.term && self.term_state.owner(id) == Some(self.me) {
            self.record_state(context, heartbeat);
            // It may report to nobody, and then nobody's answer ends what is not wanted any more.
            if heartbeat.tasks.iter().any(|p| is_cancelled(context.replica, p.task.job)) {
                self.kills_due.insert(id.clone());
            }
            // Its session may have begun just now, without any answer: its lease counts from here.
            self.responded_at.insert(id.clone(), context.now);
        } else if let Some(told) = self.term_state.announcements.get_mut(id) {
            // Its session was not known; now it is.
            told.at = told.at.less(ANNOUNCE_AGAIN_MS << ANNOUNCEMENTS);
        }
    }
}
