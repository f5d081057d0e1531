//! A machine of the shard: the state in its newest heartbeat and the tasks started on it since.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::ShardContext;
use crate::config::HeartbeatTiming;
use crate::model::{AgentEpoch, Attempt, MachineId, MonotonicTime, TaskId, Term};
use crate::placement::{ObservedMachine, PlacementTarget};
use crate::wire::{Heartbeat, JobSpec, TaskState, TaskStatus};

/// Base quarantine in milliseconds after a start that the next heartbeat did not show. It is doubled once
/// per consecutive missed start, at most `MISSED_START_DOUBLINGS_MAX` times.
const MISSED_START_QUARANTINE_MS: u64 = 1_000;
const MISSED_START_DOUBLINGS_MAX: u32 = 5;

/// A task that runs on a machine or was sent to it. A task that was sent and has not been shown yet is
/// `Unknown`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldTask {
    pub(super) attempt: Attempt,
    pub(super) state: TaskState,
}

impl HeldTask {
    fn of(status: &TaskStatus) -> Self {
        HeldTask { attempt: status.attempt, state: status.state }
    }

    /// Whether no heartbeat has shown the started task yet.
    fn is_start_pending(&self) -> bool {
        self.state == TaskState::Unknown
    }
}

/// Changes that a heartbeat made to the tasks of a machine.
#[derive(Debug, Default)]
pub(super) struct TaskChanges {
    /// Whether anything changed, including the state of a task alone.
    pub(super) any_changed: bool,
    /// Whether the set of tasks changed.
    pub(super) task_set_changed: bool,
    /// Tasks that are no longer on the machine.
    pub(super) removed: Vec<TaskId>,
}

/// The observed state of a machine.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) machine_type: Rc<str>,
    pub(super) zone: Rc<str>,
    pub(super) spot: bool,
    pub(super) endpoint: Rc<str>,
    pub(super) agent_epoch: AgentEpoch,
    /// Fencing token in its newest heartbeat.
    pub(super) token: Term,
    pub(super) last_heartbeat_at: MonotonicTime,
    /// Whether the cloud has announced that it reclaims this spot machine.
    pub(super) reclaim_noticed: bool,
    /// Time at which the cloud reclaims the machine, if announced.
    pub(super) reclaim_at: Option<MonotonicTime>,
    pub(super) tasks: BTreeMap<TaskId, HeldTask>,
    /// Images cached for its tasks with their sizes in GB, most recently used last.
    pub(super) images: Vec<(Rc<str>, f64)>,
    /// Consecutive task failures attributed to this machine.
    pub(super) consecutive_failures: u32,
    pub(super) quarantined_until: MonotonicTime,
    /// Consecutive heartbeats that did not show a pending start.
    pub(super) consecutive_missed_starts: u32,
    /// Sequence number of the first summary that contains the machine's present state; 0 before its first
    /// heartbeat is recorded.
    pub(super) changed_in_summary: u64,
}

impl Machine {
    /// Creates a machine from the identity in a heartbeat; the rest of the heartbeat is not recorded.
    pub(super) fn new(heartbeat: &Heartbeat, now: MonotonicTime) -> Self {
        Machine {
            machine_type: heartbeat.machine_type.as_str().into(),
            zone: heartbeat.zone.as_str().into(),
            spot: heartbeat.spot,
            endpoint: heartbeat.endpoint.as_str().into(),
            agent_epoch: heartbeat.agent_epoch,
            token: Term(0),
            last_heartbeat_at: now,
            reclaim_noticed: false,
            reclaim_at: None,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            consecutive_failures: 0,
            quarantined_until: MonotonicTime(0),
            consecutive_missed_starts: 0,
            changed_in_summary: 0,
        }
    }

    /// Whether no heartbeat of the machine has been recorded yet.
    pub(super) fn is_new(&self) -> bool {
        self.changed_in_summary == 0
    }

    /// Records the image of a job as the most recently used one.
    pub(super) fn remember_image(&mut self, spec: &JobSpec) {
        if self.images.last().is_some_and(|(name, _)| *name == spec.image) {
            return;
        }
        self.images.retain(|(name, _)| *name != spec.image);
        self.images.push((spec.image.clone(), spec.image_gb));
    }

    /// Removes the least recently used images until the rest fit into the machine's image cache. The most
    /// recently used image is always kept.
    fn trim_images(&mut self, image_cache_gb: f64) {
        while self.images.len() > 1
            && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > image_cache_gb
        {
            self.images.remove(0);
        }
    }

    /// Whether the machine has shown the token of `term`: it receives the responses sent to it and refuses
    /// commands of earlier terms.
    pub(super) fn is_reconciled(&self, term: Term) -> bool {
        self.token == term
    }

    /// Whether the machine's own state allows new tasks in `term`.
    fn is_usable(&self, term: Term, now: MonotonicTime, timing: &HeartbeatTiming) -> bool {
        self.is_reconciled(term)
            && !self.reclaim_noticed
            && self.quarantined_until <= now
            && now.since(self.last_heartbeat_at) < timing.unavailable_after_ms
    }

    /// Extends the quarantine to `until` unless it already ends later.
    pub(super) fn quarantine_until(&mut self, until: MonotonicTime) {
        self.quarantined_until = self.quarantined_until.max(until);
    }

    /// Returns the machine's capacity for tasks of `term`, or `None` if its machine type is unknown. The
    /// target is open only if `open` is set and the machine is usable.
    pub(super) fn placement_target(
        &self,
        id: &MachineId,
        context: &ShardContext<'_>,
        term: Term,
        open: bool,
    ) -> Option<PlacementTarget> {
        let tasks = self.tasks.iter().map(|(task, held)| (*task, held.state));
        let machine = ObservedMachine {
            id,
            machine_type: &self.machine_type,
            zone: &self.zone,
            spot: self.spot,
            images: &self.images,
            schedulable: open && self.is_usable(term, context.now, &context.timing),
        };
        PlacementTarget::of(machine, tasks, context.catalog, context.replica)
    }

    /// Records the machine's own state from a heartbeat. Returns whether its agent epoch, its token or the
    /// cloud's reclaim notice changed.
    pub(super) fn record_machine_status(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> bool {
        let reclaim_noticed = heartbeat.spot_notice_s.is_some();
        let changed = (heartbeat.agent_epoch, heartbeat.token, reclaim_noticed)
            != (self.agent_epoch, self.token, self.reclaim_noticed);
        self.agent_epoch = heartbeat.agent_epoch;
        self.token = heartbeat.token;
        self.reclaim_noticed = reclaim_noticed;
        self.reclaim_at = heartbeat.spot_notice_s.map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        self.last_heartbeat_at = now;
        changed
    }

    /// Replaces the machine's tasks by those in a heartbeat.
    pub(super) fn record_tasks(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> TaskChanges {
        let tasks = || heartbeat.tasks.iter().filter(|s| s.state != TaskState::Exited);
        let is_held = |s: &TaskStatus| self.tasks.get(&s.task) == Some(&HeldTask::of(s));
        if tasks().count() == self.tasks.len() && tasks().all(is_held) {
            return TaskChanges::default();
        }
        // A pending start that is missing from this heartbeat was in a response that the worker did not
        // process. A worker has one heartbeat in flight, so the start cannot arrive any more and may be
        // discarded.
        self.record_pending_starts(context.now, heartbeat);
        let tasks: BTreeMap<TaskId, HeldTask> =
            tasks().map(|s| (s.task, HeldTask::of(s))).collect();
        let task_set_changed = !tasks.keys().eq(self.tasks.keys());
        let removed = self.tasks.keys().filter(|t| !tasks.contains_key(t)).copied().collect();
        self.tasks = tasks;
        self.record_images(context, heartbeat);
        TaskChanges { any_changed: true, task_set_changed, removed }
    }

    /// Quarantines the machine if a heartbeat shows none of the pending starts; resets the count of missed
    /// starts if the heartbeat shows one.
    fn record_pending_starts(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) {
        let is_shown = |task: &TaskId, held: &HeldTask| {
            heartbeat.tasks.iter().any(|s| s.task == *task && s.attempt == held.attempt)
        };
        if self.tasks.iter().any(|(task, held)| held.is_start_pending() && is_shown(task, held)) {
            self.consecutive_missed_starts = 0;
        } else if self.tasks.values().any(HeldTask::is_start_pending) {
            self.consecutive_missed_starts += 1;
            let doublings = self.consecutive_missed_starts.min(MISSED_START_DOUBLINGS_MAX);
            self.quarantine_until(now.plus(MISSED_START_QUARANTINE_MS << doublings));
        }
    }

    /// Records the images of the tasks in a heartbeat and removes images that no longer fit into the cache.
    fn record_images(&mut self, context: &ShardContext<'_>, heartbeat: &Heartbeat) {
        for status in heartbeat.tasks.iter().filter(|s| s.state != TaskState::Exited) {
            if let Some(job) = context.replica.jobs.get(&status.task.job) {
                self.remember_image(&job.spec);
            }
        }
        if let Some(machine_type) = context.catalog.get(&*self.machine_type) {
            self.trim_images(machine_type.image_cache_gb);
        }
    }
}
