//! A machine as its part remembers it.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::ShardContext;
use crate::config::HeartbeatTiming;
use crate::model::{AgentEpoch, Attempt, MachineId, MonotonicTime, TaskId, Term};
use crate::placement::{ObservedMachine, PlacementTarget};
use crate::wire::{Heartbeat, JobSpec, TaskState};

/// A task on a machine or on its way there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldTask {
    pub(super) attempt: Attempt,
    pub(super) state: TaskState,
}

/// What is remembered of a machine.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) machine_type: Rc<str>,
    pub(super) zone: Rc<str>,
    pub(super) spot: bool,
    pub(super) endpoint: Rc<str>,
    pub(super) agent_epoch: AgentEpoch,
    /// The token that its newest report showed.
    pub(super) token: Term,
    pub(super) heard: MonotonicTime,
    pub(super) warned: bool,
    /// When the cloud takes it, if it gave notice.
    pub(super) leaves: Option<MonotonicTime>,
    pub(super) tasks: BTreeMap<TaskId, HeldTask>,
    pub(super) images: Vec<(Rc<str>, f64)>,
    pub(super) faults: u32,
    pub(super) quarantined_until: MonotonicTime,
    /// Starts in a row that the next report did not show.
    pub(super) missed: u32,
    /// The first summary that tells of it as it is now.
    pub(super) changed: u64,
}

impl Machine {
    pub(super) fn new(heartbeat: &Heartbeat, now: MonotonicTime) -> Self {
        Machine {
            machine_type: heartbeat.machine_type.as_str().into(),
            zone: heartbeat.zone.as_str().into(),
            spot: heartbeat.spot,
            endpoint: heartbeat.endpoint.as_str().into(),
            agent_epoch: heartbeat.agent_epoch,
            token: Term(0),
            heard: now,
            warned: false,
            leaves: None,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            faults: 0,
            quarantined_until: MonotonicTime(0),
            missed: 0,
            changed: 0,
        }
    }

    pub(super) fn remember_image(&mut self, spec: &JobSpec) {
        if self.images.last().is_some_and(|(name, _)| *name == spec.image) {
            return;
        }
        self.images.retain(|(name, _)| *name != spec.image);
        self.images.push((spec.image.clone(), spec.image_gb));
    }

    /// Forgets the images that no longer fit into the machine's cache.
    pub(super) fn trim_images(&mut self, image_cache_gb: f64) {
        while self.images.len() > 1
            && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > image_cache_gb
        {
            self.images.remove(0);
        }
    }

    /// Whether it has shown that term's token: it hears its answers, and refuses older orders.
    pub(super) fn is_reconciled(&self, term: Term) -> bool {
        self.token == term
    }

    /// Whether it may be given tasks in that term, as far as its own state tells.
    pub(super) fn usable(&self, term: Term, now: MonotonicTime, timing: &HeartbeatTiming) -> bool {
        self.is_reconciled(term)
            && !self.warned
            && self.quarantined_until <= now
            && now.since(self.heard) < timing.silent_ms
    }

    /// The room on it for tasks of that term; closed unless `open` and it may be given tasks.
    pub(super) fn placement_target(
        &self,
        id: &MachineId,
        context: &ShardContext<'_>,
        term: Term,
        open: bool,
    ) -> Option<PlacementTarget> {
        let tasks = self.tasks.iter().map(|(t, h)| (*t, h.state));
        let machine = ObservedMachine {
            id,
            machine_type: &self.machine_type,
            zone: &self.zone,
            spot: self.spot,
            images: &self.images,
            open: open && self.usable(term, context.now, &context.timing),
        };
        PlacementTarget::of(machine, tasks, context.catalog, context.replica)
    }

    /// Takes the tasks of a report; says whether anything changed, whether other tasks are on
    /// the machine than before, and which are no longer.
    pub(super) fn take_tasks(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> (bool, bool, Vec<TaskId>) {
        let on = || heartbeat.tasks.iter().filter(|p| p.state != TaskState::Exited);
        let same = on().count() == self.tasks.len()
            && on().all(|p| {
                self.tasks
                    .get(&p.task)
                    .is_some_and(|h| *h == HeldTask { attempt: p.attempt, state: p.state })
            });
        if same {
            return (false, false, Vec::new());
        }
        // A start that this report does not show was in a response that the worker dropped:
        // it has one report in flight at a time, so replacing the list forgets it rightly.
        let ordered = |h: &HeldTask| h.state == TaskState::Unknown;
        let shown = |t: &TaskId, h: &HeldTask| {
            heartbeat.tasks.iter().any(|p| p.task == *t && p.attempt == h.attempt)
        };
        if self.tasks.iter().any(|(t, h)| ordered(h) && shown(t, h)) {
            self.missed = 0;
        } else if self.tasks.values().any(ordered) {
            self.missed += 1;
            self.quarantined_until =
                self.quarantined_until.max(context.now.plus(1_000 << self.missed.min(5)));
        }
        let tasks: BTreeMap<TaskId, HeldTask> =
            on().map(|p| (p.task, HeldTask { attempt: p.attempt, state: p.state })).collect();
        let others = !tasks.keys().eq(self.tasks.keys());
        let left = self.tasks.keys().filter(|t| !tasks.contains_key(t)).copied().collect();
        self.tasks = tasks;
        for p in on() {
            if let Some(job) = context.replica.jobs.get(&p.task.job) {
                self.remember_image(&job.spec);
            }
        }
        if let Some(f) = context.catalog.get(&*self.machine_type) {
            self.trim_images(f.image_cache_gb);
        }
        (true, others, left)
    }
}
