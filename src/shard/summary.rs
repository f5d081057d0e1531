//! What the leader is told of the part.

use super::Shard;
use super::machine::Machine;
use super::redirect::RELEASED_MS;
use crate::config::HeartbeatTiming;
use crate::model::{MachineId, MonotonicTime, Term};
use crate::peer::{ForeignMachine, MachineView, Summary, TaskView};

/// About how many bytes a summary takes, and each machine, task, image, answer and stray in it.
const SUMMARY_BYTES: usize = 1_024;

const MACHINE_BYTES: usize = 96;

const TASK_BYTES: usize = 16;

const IMAGE_BYTES: usize = 24;

const ANSWER_BYTES: usize = 16;

const FOREIGN_MACHINE_BYTES: usize = 64;

pub(super) fn view(id: &MachineId, m: &Machine, term: Term, now: MonotonicTime) -> MachineView {
    MachineView {
        id: id.clone(),
        machine_type: m.machine_type.clone(),
        zone: m.zone.clone(),
        spot: m.spot,
        endpoint: m.endpoint.clone(),
        reconciled: m.is_reconciled(term),
        agent_epoch: m.agent_epoch,
        leaving: m.reclaim_noticed,
        quarantine_ms: m.quarantined_until.since(now),
        tasks: m.tasks.iter().map(|(task, h)| TaskView { task: *task, state: h.state }).collect(),
        images: m.images.clone(),
    }
}

impl Shard {
    /// What the leader is told, in about `byte_budget` bytes. Machines that do not fit are told of next, and
    /// the leader takes none of it before all is there.
    pub fn summary(
        &mut self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
        byte_budget: usize,
    ) -> Summary {
        self.summary_number += 1;
        let kept_ms = timing.out_of_reach_ms + 7_000;
        self.term_state.foreign_machines.retain(|_, s| now.since(s.last) < kept_ms);
        self.term_state.redirects.retain(|_, r| now.since(r.at) < kept_ms);
        self.sent_away_at.retain(|_, at| now.since(*at) < RELEASED_MS);
        self.responded_at.retain(|_, at| now.since(*at) < timing.answers_ms);
        self.sent_summaries.push_back((self.summary_number, now));
        if self.sent_summaries.len() > 64 {
            self.sent_summaries.pop_front();
        }
        let (base, since) = self.term_state.acknowledged_summary.unwrap_or_default();
        let answered: Vec<(MachineId, u64)> = self
            .responded_at
            .iter()
            .filter(|(_, at)| base == 0 || **at >= since)
            .map(|(id, at)| (id.clone(), now.since(*at)))
            .collect();
        let foreign_machines: Vec<ForeignMachine> = self
            .term_state
            .foreign_machines
            .iter()
            .filter(|(_, s)| s.hears)
            .take(byte_budget / 2 / FOREIGN_MACHINE_BYTES)
            .map(|(id, s)| ForeignMachine {
                id: id.clone(),
                machine_type: s.machine_type.clone(),
                zone: s.zone.clone(),
                spot: s.spot,
                silent_ms: now.since(s.last),
                since_ms: s.back.map_or(0, |at| now.since(at)),
            })
            .collect();
        let mut used = SUMMARY_BYTES
            + answered.len() * ANSWER_BYTES
            + foreign_machines.len() * FOREIGN_MACHINE_BYTES;
        let mut machines = Vec::new();
        let mut whole = true;
        for (id, m) in
            self.machines.iter_mut().filter(|(_, m)| base == 0 || m.changed_in_summary > base)
        {
            used += MACHINE_BYTES + m.tasks.len() * TASK_BYTES + m.images.len() * IMAGE_BYTES;
            if used > byte_budget && !machines.is_empty() {
                m.changed_in_summary = self.summary_number + 1;
                whole = false;
            } else {
                machines.push(view(id, m, self.term_state.term, now));
            }
        }
        Summary {
            node: self.me,
            incarnation: self.incarnation,
            number: self.summary_number,
            base,
            term: self.term_state.term,
            more: !whole,
            applied_plan: self.term_state.plan.seq,
            echo_ms: self.term_state.leader_clock_ms,
            up_ms: now.0,
            served_ms: 0,
            heard_ms: now.since(self.last_heartbeat),
            machines,
            answered,
            foreign_machines,
            completed_tasks: self
                .completed_tasks
                .iter()
                .map(|(j, f)| (j.0, f.tasks.clone()))
                .collect(),
            restarted: self.restarted.iter().cloned().collect(),
            notices: self
                .machines
                .iter()
                .filter_map(|(id, m)| Some((id.clone(), m.reclaimed_at?.since(now))))
                .collect(),
            follow: None,
            failing: self
                .job_faults
                .keys()
                .filter(|j| self.is_failing_everywhere(**j))
                .map(|j| j.0)
                .collect(),
        }
    }
}
