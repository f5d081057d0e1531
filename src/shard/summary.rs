//! The shard's summary for the leader, which lists all machines or those changed since the last summary that
//! the leader applied.

use super::Shard;
use super::completions::CompletedTasks;
use super::foreign_heartbeat::ISOLATION_REDIRECT_INTERVAL_MIN_MS;
use super::machine::Machine;
use super::term_state::SentSummary;
use crate::config::HeartbeatTiming;
use crate::model::{JobId, MachineId, MonotonicTime, TaskRanges, Term};
use crate::peer::{ForeignMachine, MachineView, Summary, TaskView};

/// Approximate size in bytes of a summary without its lists, and of each machine, task, image, response and
/// foreign machine in it.
const SUMMARY_BASE_BYTES: usize = 1_024;
const MACHINE_BYTES: usize = 96;
const TASK_BYTES: usize = 16;
const IMAGE_BYTES: usize = 24;
const RESPONSE_BYTES: usize = 16;
const FOREIGN_MACHINE_BYTES: usize = 64;

/// Number of sent summaries whose times are kept for the leader's acknowledgement.
const SENT_SUMMARIES_MAX: usize = 64;

/// Time in milliseconds, in addition to [`HeartbeatTiming::foreign_machine_ttl_ms`], for which redirects and
/// foreign machines are kept. It exceeds the margins used for routing heartbeats.
const CONTACT_RETENTION_MARGIN_MS: u64 = 7_000;

/// The machines in a summary.
struct MachineViews {
    views: Vec<MachineView>,
    /// Whether further machines did not fit.
    has_more: bool,
}

/// The parts of a summary that count against its byte budget.
struct BudgetedContents {
    machines: MachineViews,
    response_ages: Vec<(MachineId, u64)>,
    foreign_machines: Vec<ForeignMachine>,
}

fn machine_view(id: &MachineId, machine: &Machine, term: Term, now: MonotonicTime) -> MachineView {
    MachineView {
        id: id.clone(),
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        endpoint: machine.endpoint.clone(),
        reconciled: machine.is_reconciled(term),
        agent_epoch: machine.agent_epoch,
        leaving: machine.reclaim_noticed,
        quarantine_ms: machine.quarantined_until.since(now),
        tasks: machine
            .tasks
            .iter()
            .map(|(task, held)| TaskView { task: *task, state: held.state })
            .collect(),
        images: machine.images.clone(),
    }
}

fn machine_view_bytes(machine: &Machine) -> usize {
    MACHINE_BYTES + machine.tasks.len() * TASK_BYTES + machine.images.len() * IMAGE_BYTES
}

impl Shard {
    /// Makes the next summary, of about `byte_budget` bytes. Machines that do not fit are listed in the
    /// following summary. The leader applies none of them until it has received all of them. The caller fills
    /// in `since_store_response_ms` and `follow`, which the shard does not know.
    pub fn summary(
        &mut self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
        byte_budget: usize,
    ) -> Summary {
        self.prune_contacts(now, timing);
        self.record_sent_summary(now);
        let base = self.term_state.acknowledged_summary.unwrap_or_default();
        let contents = self.budgeted_contents(now, base, byte_budget);
        Summary {
            node: self.node_id,
            incarnation: self.incarnation,
            seq: self.last_summary_seq,
            base_seq: base.seq,
            term: self.term_state.term,
            has_more: contents.machines.has_more,
            applied_plan: self.term_state.plan.seq,
            echoed_clock_ms: self.term_state.leader_clock_ms,
            uptime_ms: now.0,
            since_store_response_ms: 0,
            since_heartbeat_ms: now.since(self.last_heartbeat_at),
            machines: contents.machines.views,
            answered: contents.response_ages,
            foreign_machines: contents.foreign_machines,
            completed_tasks: self.completed_ranges(),
            restarted: self.restarted.iter().cloned().collect(),
            notices: self.reclaim_notices(now),
            follow: None,
            failing: self.faulty_jobs().map(|job| job.0).collect(),
        }
    }

    /// Removes records of contacts with workers that no longer affect any decision.
    fn prune_contacts(&mut self, now: MonotonicTime, timing: &HeartbeatTiming) {
        let retention_ms = timing.foreign_machine_ttl_ms + CONTACT_RETENTION_MARGIN_MS;
        let term_state = &mut self.term_state;
        term_state
            .foreign_machines
            .retain(|_, record| now.since(record.last_heartbeat_at) < retention_ms);
        term_state.redirects.retain(|_, redirect| now.since(redirect.last_at) < retention_ms);
        self.isolation_redirected_at
            .retain(|_, at| now.since(*at) < ISOLATION_REDIRECT_INTERVAL_MIN_MS);
        self.responded_at.retain(|_, at| now.since(*at) < timing.response_retention_ms);
    }

    /// Allocates the sequence number of the summary being made, and keeps its time for the leader's
    /// acknowledgement.
    fn record_sent_summary(&mut self, now: MonotonicTime) {
        self.last_summary_seq += 1;
        self.sent_summaries.push_back(SentSummary { seq: self.last_summary_seq, at: now });
        if self.sent_summaries.len() > SENT_SUMMARIES_MAX {
            self.sent_summaries.pop_front();
        }
    }

    /// Collects the responses since `base`, the foreign machines in up to half of the budget, and the changed
    /// machines that fit into the rest.
    fn budgeted_contents(
        &mut self,
        now: MonotonicTime,
        base: SentSummary,
        byte_budget: usize,
    ) -> BudgetedContents {
        let response_ages = self.response_ages(now, base);
        let foreign_machines =
            self.foreign_machine_views(now, byte_budget / 2 / FOREIGN_MACHINE_BYTES);
        let used_bytes = SUMMARY_BASE_BYTES
            + response_ages.len() * RESPONSE_BYTES
            + foreign_machines.len() * FOREIGN_MACHINE_BYTES;
        let machines = self.machine_views(now, base, used_bytes, byte_budget);
        BudgetedContents { machines, response_ages, foreign_machines }
    }

    /// Returns the milliseconds since the last response to each machine that got one since `base`.
    fn response_ages(&self, now: MonotonicTime, base: SentSummary) -> Vec<(MachineId, u64)> {
        self.responded_at
            .iter()
            .filter(|(_, at)| base.seq == 0 || **at >= base.at)
            .map(|(id, at)| (id.clone(), now.since(*at)))
            .collect()
    }

    /// Returns the first `count` machines of other shards that are kept alive here and have shown the term's
    /// token.
    fn foreign_machine_views(&self, now: MonotonicTime, count: usize) -> Vec<ForeignMachine> {
        self.term_state
            .foreign_machines
            .iter()
            .filter(|(_, record)| record.shows_token)
            .take(count)
            .map(|(id, record)| ForeignMachine {
                id: id.clone(),
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                silent_ms: now.since(record.last_heartbeat_at),
                since_ms: record.unreachable_since.map_or(0, |at| now.since(at)),
            })
            .collect()
    }

    /// Returns the machines that changed since `base`: at least one if any changed, and no more than fit.
    fn machine_views(
        &mut self,
        now: MonotonicTime,
        base: SentSummary,
        mut used_bytes: usize,
        byte_budget: usize,
    ) -> MachineViews {
        let is_changed = |m: &Machine| base.seq == 0 || m.changed_in_summary > base.seq;
        let mut views = Vec::new();
        let mut has_more = false;
        for (id, machine) in self.machines.iter_mut().filter(|(_, machine)| is_changed(machine)) {
            used_bytes += machine_view_bytes(machine);
            if used_bytes > byte_budget && !views.is_empty() {
                machine.changed_in_summary = self.last_summary_seq + 1;
                has_more = true;
            } else {
                views.push(machine_view(id, machine, self.term_state.term, now));
            }
        }
        MachineViews { views, has_more }
    }

    /// Returns the completed tasks whose outcome is not known to be durable yet, by job.
    fn completed_ranges(&self) -> Vec<(u64, TaskRanges)> {
        let ranges = |(job, completed): (&JobId, &CompletedTasks)| (job.0, completed.tasks.clone());
        self.completed_tasks.iter().map(ranges).collect()
    }

    /// Returns the milliseconds until the cloud reclaims each machine with a reclaim notice.
    fn reclaim_notices(&self, now: MonotonicTime) -> Vec<(MachineId, u64)> {
        let notice = |(id, machine): (&MachineId, &Machine)| {
            Some((id.clone(), machine.reclaim_at?.since(now)))
        };
        self.machines.iter().filter_map(notice).collect()
    }
}
