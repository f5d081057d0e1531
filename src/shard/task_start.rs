//! Which granted task starts on which machine of the part.

use std::collections::BTreeMap;
use std::rc::Rc;

use rustc_hash::FxHashSet;

use super::machine::{HeldTask, Machine};
use super::term_state::{ActivePlan, GrantKind};
use super::{Shard, ShardContext};
use crate::model::{Attempt, Cores, JobId, MachineId, MonotonicTime, PlanSeq, TaskId, Term};
use crate::peer::Grant;
use crate::placement;
use crate::placement::PlacementTarget;
use crate::replica::Replica;
use crate::resources::Resources;
use crate::wire::{JobSpec, Priority, TaskState, WorkerCommand};

/// Longest time between two looks at where granted tasks are to start.
const ASSIGN_MS: u64 = 700;

/// Shortest time between two such looks that only a report asks for.
const ASSIGN_LEAST_MS: u64 = 60;

/// A type of machines, a zone, and whether they are spot machines.
pub(super) type MachineKind = (Rc<str>, Rc<str>, bool);

/// A task that is to start, with the grant that allows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedStart {
    pub(super) task: TaskId,
    /// The attempt that all tasks of a gang share.
    pub(super) attempt: Option<Attempt>,
    /// The term and the number of the plan that granted it.
    pub(super) term: Term,
    pub(super) plan: PlanSeq,
    pub(super) kind: GrantKind,
}

impl GrantedStart {
    fn of(plan: &ActivePlan, task: TaskId, attempt: Option<Attempt>, ahead: bool) -> Self {
        let kind = match (attempt, ahead) {
            (Some(_), _) => GrantKind::Gang,
            (None, true) => GrantKind::Ahead,
            (None, false) => GrantKind::WithRoom,
        };
        GrantedStart { task, attempt, term: plan.term, plan: plan.seq, kind }
    }
}

/// Granted tasks that are to start somewhere.
struct Wanted<'a> {
    tasks: Vec<(&'a Grant, Vec<TaskId>)>,
    /// Whether jobs that fail wait for their next try.
    pauses: bool,
}

/// For each kind of these machines, the most urgent open work that may use it.
fn highest_priority_by_kind(
    replica: &Replica,
    targets: &[PlacementTarget],
) -> BTreeMap<MachineKind, Option<Priority>> {
    let specs = || replica.jobs.values().map(|j| &j.spec);
    let mut kinds = BTreeMap::new();
    for r in targets {
        kinds.entry((r.machine_type.clone(), r.zone.clone(), r.spot)).or_insert_with(|| {
            placement::highest_priority(specs(), &r.machine_type, &r.zone, r.spot)
        });
    }
    kinds
}

impl Shard {
    /// Starts what is meant for a machine, after having looked anew where granted tasks are
    /// to go if anything speaks for that.
    pub(super) fn start_granted(
        &mut self,
        context: &ShardContext<'_>,
        id: &MachineId,
        freed: bool,
        commands: &mut Vec<WorkerCommand>,
    ) {
        if !context.may_start {
            return;
        }
        if self.is_assignment_due(context.now, freed) {
            self.assign_granted(context, id);
        }
        let queue = self.term_state.queues.remove(id).unwrap_or_default();
        if queue.is_empty() && self.term_state.backlog.is_empty() {
            return;
        }
        let (term, plan) = (self.term_state.term, &self.term_state.plan);
        let open = !plan.is_drained(id);
        let target =
            self.machines.get(id).and_then(|m| m.placement_target(id, context, term, open));
        let Some(mut target) = target else { return };
        target.reserved = plan.is_reserved(id);
        for start in queue {
            if !self.start(context, &mut target, &start, commands) {
                self.term_state.unplaced = true;
            }
        }
        self.start_backlog(context, &mut target, commands);
    }

    /// Whether granted tasks are to be given machines anew: something speaks for it, or some have waited.
    fn is_assignment_due(&self, now: MonotonicTime, freed: bool) -> bool {
        let term_state = &self.term_state;
        let since = now.since(term_state.assigned);
        let waiting =
            term_state.unplaced || !term_state.queues.is_empty() || !term_state.backlog.is_empty();
        term_state.reassign
            || (freed && term_state.unplaced && since >= ASSIGN_LEAST_MS)
            || (waiting && since >= ASSIGN_MS)
    }

    /// Starts what is granted ahead on a machine that has room and the images for it. What would have
    /// to fetch its image first is left to the next look at all machines.
    fn start_backlog(
        &mut self,
        context: &ShardContext<'_>,
        target: &mut PlacementTarget,
        commands: &mut Vec<WorkerCommand>,
    ) {
        if !target.open || target.free.cores == Cores(0) || self.term_state.backlog.is_empty() {
            return;
        }
        let mut backlog = std::mem::take(&mut self.term_state.backlog);
        backlog.retain(|start| {
            let job = context.replica.jobs.get(&start.task.job);
            let Some(job) = job.filter(|j| self.may_try(context.now, j.spec.id)) else {
                return false;
            };
            if target.free.cores == Cores(0)
                || !target.is_warm(&job.spec)
                || !self.is_first(&job.spec, target)
            {
                return true;
            }
            !self.start(context, target, start, commands)
        });
        self.term_state.backlog = backlog;
    }

    /// Whether no job that is more urgent may use such machines.
    fn is_first(&self, spec: &JobSpec, target: &PlacementTarget) -> bool {
        let kind = (target.machine_type.clone(), target.zone.clone(), target.spot);
        let highest_priority = self.term_state.highest_priority.get(&kind).copied().flatten();
        highest_priority.is_some_and(|priority| spec.priority <= priority)
    }

    /// Orders a granted task to start on a machine, unless it has no room for it or the task is anywhere. True if the
    /// grant needs no other machine any more.
    ///
    /// All starts come through here: the right to start a task ends with the term that granted it.
    pub(super) fn start(
        &mut self,
        context: &ShardContext<'_>,
        target: &mut PlacementTarget,
        granted: &GrantedStart,
        commands: &mut Vec<WorkerCommand>,
    ) -> bool {
        let task = granted.task;
        if granted.term != self.term_state.term {
            self.refuse_start(target, granted);
            return true;
        }
        let Some(job) = context.replica.jobs.get(&task.job) else { return true };
        let need = Resources::of(&job.spec);
        if !self.may_start(context.replica, task)
            || !target.takes(&job.spec, &need, None)
            || self.machines.values().any(|m| m.tasks.contains_key(&task))
        {
            return false;
        }
        let Some(machine) = self.machines.get_mut(&target.id) else { return false };
        target.add(&job.spec, &need);
        let attempt = granted.attempt.unwrap_or_else(|| self.term_state.attempts.give());
        machine.remember_image(&job.spec);
        machine.tasks.insert(task, HeldTask { attempt, state: TaskState::Unknown });
        machine.changed = self.number + 1;
        self.news = true;
        tracing::debug!(
            %task, machine = %target.id, %attempt, term = %granted.term, plan = granted.plan.0,
            grant = ?granted.kind, proof_ms = context.proof_ms, agent_epoch = machine.agent_epoch.0,
            token = %machine.token, "starts"
        );
        commands.push(WorkerCommand::Start { task, attempt });
        true
    }

    /// Notes a start that another term granted: something of that term outlived it.
    fn refuse_start(&mut self, target: &PlacementTarget, granted: &GrantedStart) {
        self.refused_starts += 1;
        tracing::error!(
            task = %granted.task, machine = %target.id, granted_in = %granted.term,
            plan = granted.plan.0, grant = ?granted.kind, term = %self.term_state.term,
            "a start is refused: another term granted it"
        );
    }

    /// Whether a job's tasks may be tried now: one that fails pauses.
    fn may_try(&self, now: MonotonicTime, job: JobId) -> bool {
        self.faults.get(&job).is_none_or(|f| f.until <= now)
    }

    /// Whether a task is neither done nor known here to have completed.
    pub(super) fn may_start(&self, replica: &Replica, task: TaskId) -> bool {
        replica.may_run(task)
            && !self.completed_tasks.get(&task.job).is_some_and(|f| f.tasks.contains(task.index))
    }

    /// Gives every granted task that is not on a machine the one where it is to start. It
    /// starts with that machine's next report, or in the answer to this one if it is the machine that
    /// `reporting` names. What finds no machine stands in the backlog.
    fn assign_granted(&mut self, context: &ShardContext<'_>, reporting: &MachineId) {
        self.term_state.reassign = false;
        self.term_state.assigned = context.now;
        self.term_state.unplaced = false;
        self.term_state.backlog.clear();
        self.term_state.queues.clear();
        let wanted = self.wanted(context, self.term_state.plan.grants());
        let ahead = self.wanted(context, self.term_state.plan.ahead());
        let mut unplaced = wanted.pauses;
        if wanted.tasks.is_empty() && ahead.tasks.is_empty() {
            self.term_state.unplaced = unplaced;
            return;
        }
        let mut targets = self.open_rooms(context, reporting);
        let plan = &self.term_state.plan;
        let mut queues: BTreeMap<MachineId, Vec<GrantedStart>> = BTreeMap::new();
        for (grant, tasks) in wanted.tasks {
            let Some(job) = context.replica.jobs.get(&grant.job()) else { continue };
            let need = Resources::of(&job.spec);
            let zone = grant.zone.as_deref();
            let chosen = match grant.attempt {
                Some(_) => placement::pack_in(&job.spec, &need, &mut targets, zone, tasks.len()),
                None => placement::spread(&job.spec, &need, &mut targets, zone, tasks.len()),
            };
            unplaced |= chosen.len() < tasks.len();
            for (task, target) in tasks.into_iter().zip(chosen) {
                let start = GrantedStart::of(plan, task, grant.attempt, false);
                queues.entry(targets[target].id.clone()).or_default().push(start);
            }
        }
        let mut backlog = Vec::new();
        if !ahead.tasks.is_empty() {
            self.term_state.highest_priority = highest_priority_by_kind(context.replica, &targets);
        }
        let plan = &self.term_state.plan;
        for (grant, tasks) in ahead.tasks {
            let Some(job) = context.replica.jobs.get(&grant.job()) else { continue };
            let need = Resources::of(&job.spec);
            let mut first: Vec<PlacementTarget> =
                targets.extract_if(.., |r| self.is_first(&job.spec, r)).collect();
            let chosen = placement::spread(&job.spec, &need, &mut first, None, tasks.len());
            let mut starts = tasks.iter().map(|task| GrantedStart::of(plan, *task, None, true));
            for (target, start) in chosen.into_iter().zip(starts.by_ref()) {
                queues.entry(first[target].id.clone()).or_default().push(start);
            }
            backlog.extend(starts);
            targets.append(&mut first);
        }
        self.term_state.unplaced = unplaced;
        self.term_state.backlog = backlog;
        self.term_state.queues = queues;
    }

    /// The granted tasks that are neither on a machine nor done, most urgent first. Within an urgency
    /// the order of the grants holds.
    fn wanted<'a>(&self, context: &ShardContext<'_>, grants: &'a [Grant]) -> Wanted<'a> {
        let held: FxHashSet<TaskId> =
            self.machines.values().flat_map(|m| m.tasks.keys()).copied().collect();
        let mut pauses = false;
        let mut by_priority: Vec<(Priority, &Grant, Vec<TaskId>)> = Vec::new();
        for g in grants {
            let Some(job) = context.replica.jobs.get(&g.job()) else { continue };
            if !self.may_try(context.now, g.job()) {
                pauses = true;
                continue;
            }
            let shown = |t: &TaskId| {
                g.attempt.is_some_and(|a| self.term_state.shown_gang_attempts.contains(&(*t, a)))
            };
            let tasks: Vec<TaskId> = g
                .tasks
                .iter()
                .map(|index| TaskId { job: g.job(), index })
                .filter(|t| !held.contains(t) && self.may_start(context.replica, *t) && !shown(t))
                .collect();
            if !tasks.is_empty() {
                by_priority.push((job.spec.priority, g, tasks));
            }
        }
        by_priority.sort_by_key(|w| w.0);
        Wanted { tasks: by_priority.into_iter().map(|(_, g, tasks)| (g, tasks)).collect(), pauses }
    }

    /// The machines that take new tasks now.
    fn open_rooms(
        &self,
        context: &ShardContext<'_>,
        reporting: &MachineId,
    ) -> Vec<PlacementTarget> {
        let target = |(id, m): (&MachineId, &Machine)| {
            let (term, plan) = (self.term_state.term, &self.term_state.plan);
            let mut target = m.placement_target(id, context, term, !plan.is_drained(id))?;
            target.slow = plan.is_slow(id);
            target.reserved = plan.is_reserved(id);
            target.delay_s = match id == reporting {
                true => 0.0,
                false => context.timing.delay_s(context.now.since(m.heard)),
            };
            Some(target).filter(|r| r.open)
        };
        self.machines.iter().filter_map(target).collect()
    }
}
