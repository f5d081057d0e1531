//! A machine of the shard, as its newest heartbeat showed it and with what was started on it since.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::ShardContext;
use crate::config::HeartbeatTiming;
use crate::model::{AgentEpoch, Attempt, MachineId, MonotonicTime, TaskId, Term};
use crate::placement::{ObservedMachine, PlacementTarget};
use crate::wire::{Heartbeat, JobSpec, TaskState, TaskStatus};

/// Quarantine after a start that the next heartbeat did not show, doubled for each one in a row up to the limit below,
/// in milliseconds.
const MISSED_START_QUARANTINE_MS: u64 = 1_000;
const MISSED_START_DOUBLINGS: u32 = 5;

/// A task on a machine, or on its way there: then its state is `Unknown`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldTask {
    pub(super) attempt: Attempt,
    pub(super) state: TaskState,
}

impl HeldTask {
    fn of(status: &TaskStatus) -> Self {
        HeldTask { attempt: status.attempt, state: status.state }
    }

    /// Whether its start has not been shown yet.
    fn is_start_pending(&self) -> bool {
        self.state == TaskState::Unknown
    }
}

/// What a heartbeat changed of the tasks on a machine.
#[derive(Debug, Default)]
pub(super) struct TaskChanges {
    /// Anything, be it only the state of a task.
    pub(super) any: bool,
    /// Which tasks there are.
    pub(super) task_set_changed: bool,
    /// The tasks that are no longer on it.
    pub(super) removed: Vec<TaskId>,
}

/// What is known of a machine.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) machine_type: Rc<str>,
    pub(super) zone: Rc<str>,
    pub(super) spot: bool,
    pub(super) endpoint: Rc<str>,
    pub(super) agent_epoch: AgentEpoch,
    /// The fencing token that its newest heartbeat showed.
    pub(super) token: Term,
    pub(super) last_heartbeat: MonotonicTime,
    /// Whether the cloud gave notice that it takes the spot machine back.
    pub(super) reclaim_noticed: bool,
    /// When it takes it, if it gave notice.
    pub(super) reclaimed_at: Option<MonotonicTime>,
    pub(super) tasks: BTreeMap<TaskId, HeldTask>,
    /// Images that it has by its tasks, with their sizes in GB; the last used one last.
    pub(super) images: Vec<(Rc<str>, f64)>,
    /// Failures in a row that it is blamed for.
    pub(super) faults: u32,
    pub(super) quarantined_until: MonotonicTime,
    /// Starts in a row that the next heartbeat did not show.
    pub(super) missed_starts: u32,
    /// The first summary that shows it as it is now; 0 before it is recorded.
    pub(super) changed_in_summary: u64,
}

impl Machine {
    /// A machine of which nothing but its identity is recorded yet.
    pub(super) fn new(heartbeat: &Heartbeat, now: MonotonicTime) -> Self {
        Machine {
            machine_type: heartbeat.machine_type.as_str().into(),
            zone: heartbeat.zone.as_str().into(),
            spot: heartbeat.spot,
            endpoint: heartbeat.endpoint.as_str().into(),
            agent_epoch: heartbeat.agent_epoch,
            token: Term(0),
            last_heartbeat: now,
            reclaim_noticed: false,
            reclaimed_at: None,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            faults: 0,
            quarantined_until: MonotonicTime(0),
            missed_starts: 0,
            changed_in_summary: 0,
        }
    }

    /// Whether no heartbeat of it has been recorded yet.
    pub(super) fn is_new(&self) -> bool {
        self.changed_in_summary == 0
    }

    /// Remembers that the machine fetches the image of that job, as the last used one.
    pub(super) fn remember_image(&mut self, spec: &JobSpec) {
        if self.images.last().is_some_and(|(name, _)| *name == spec.image) {
            return;
        }
        self.images.retain(|(name, _)| *name != spec.image);
        self.images.push((spec.image.clone(), spec.image_gb));
    }

    /// Forgets the images that no longer fit into the machine's cache.
    fn trim_images(&mut self, image_cache_gb: f64) {
        while self.images.len() > 1
            && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > image_cache_gb
        {
            self.images.remove(0);
        }
    }

    /// Whether it has shown that term's token: it receives its responses, and refuses older commands.
    pub(super) fn is_reconciled(&self, term: Term) -> bool {
        self.token == term
    }

    /// Whether it may be given tasks in that term, as far as its own state tells.
    fn is_usable(&self, term: Term, now: MonotonicTime, timing: &HeartbeatTiming) -> bool {
        self.is_reconciled(term)
            && !self.reclaim_noticed
            && self.quarantined_until <= now
            && now.since(self.last_heartbeat) < timing.unavailable_after_ms
    }

    /// Quarantines it at least until that time.
    pub(super) fn quarantine_until(&mut self, until: MonotonicTime) {
        self.quarantined_until = self.quarantined_until.max(until);
    }

    /// The room on it for tasks of that term; closed unless `open` and it may be given tasks. `None` if its type is
    /// not known.
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

    /// Records what a heartbeat says of the machine itself; says whether its agent epoch, its token or the cloud's
    /// notice changed.
    pub(super) fn record_standing(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> bool {
        let reclaim_noticed = heartbeat.spot_notice_s.is_some();
        let changed = (heartbeat.agent_epoch, heartbeat.token, reclaim_noticed)
            != (self.agent_epoch, self.token, self.reclaim_noticed);
        self.agent_epoch = heartbeat.agent_epoch;
        self.token = heartbeat.token;
        self.reclaim_noticed = reclaim_noticed;
        self.reclaimed_at = heartbeat.spot_notice_s.map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        self.last_heartbeat = now;
        changed
    }

    /// Records the tasks of a heartbeat.
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
        // A start that this heartbeat does not show was in a response that the worker dropped:
        // it has one heartbeat in flight at a time, so replacing the list forgets it rightly.
        self.record_pending_starts(context.now, heartbeat);
        let tasks: BTreeMap<TaskId, HeldTask> =
            tasks().map(|s| (s.task, HeldTask::of(s))).collect();
        let task_set_changed = !tasks.keys().eq(self.tasks.keys());
        let removed = self.tasks.keys().filter(|t| !tasks.contains_key(t)).copied().collect();
        self.tasks = tasks;
        self.record_images(context, heartbeat);
        TaskChanges { any: true, task_set_changed, removed }
    }

    /// Quarantines the machine if it shows none of the starts that it was sent last.
    fn record_pending_starts(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) {
        let is_shown = |task: &TaskId, held: &HeldTask| {
            heartbeat.tasks.iter().any(|s| s.task == *task && s.attempt == held.attempt)
        };
        if self.tasks.iter().any(|(task, held)| held.is_start_pending() && is_shown(task, held)) {
            self.missed_starts = 0;
        } else if self.tasks.values().any(HeldTask::is_start_pending) {
            self.missed_starts += 1;
            let doublings = self.missed_starts.min(MISSED_START_DOUBLINGS);
            self.quarantine_until(now.plus(MISSED_START_QUARANTINE_MS << doublings));
        }
    }

    /// Remembers the images of the tasks of a heartbeat, as far as the machine's cache holds them.
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
