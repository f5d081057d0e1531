//! Which machine of the shard each granted task is to start on.
//!
//! All granted tasks are assigned anew from time to time. An assignment only fills queues: the starts themselves, with
//! their checks, are in `task_start`.

use std::collections::BTreeMap;

use rustc_hash::FxHashSet;

use super::active_plan::ActivePlan;
use super::granted_start::{GrantedStart, MachineKind};
use super::machine::Machine;
use super::{Shard, ShardContext};
use crate::model::{MachineId, MonotonicTime, TaskId};
use crate::peer::Grant;
use crate::placement::{self, PlacementRequest, PlacementTarget};
use crate::replica::Replica;
use crate::resources::Resources;
use crate::wire::{JobSpec, Priority};

/// Longest time between two assignments while tasks wait for one, in milliseconds.
const ASSIGN_MS: u64 = 700;

/// Shortest time between two assignments that only a heartbeat asks for, in milliseconds.
const ASSIGN_LEAST_MS: u64 = 60;

/// The most urgent open work that may use machines of a kind; `None` if there is none.
type PriorityByKind = BTreeMap<MachineKind, Option<Priority>>;

/// The tasks of a grant that are neither on a machine nor done.
struct PendingGrant<'a> {
    grant: &'a Grant,
    tasks: Vec<TaskId>,
}

/// Granted tasks that are to start somewhere, most urgent first.
struct PendingStarts<'a> {
    grants: Vec<PendingGrant<'a>>,
    /// Whether jobs that fail wait for their next try.
    has_paused_jobs: bool,
}

/// An assignment in the making.
struct Assignment {
    /// The machines with the room that is left on them.
    targets: Vec<PlacementTarget>,
    start_queues: BTreeMap<MachineId, Vec<GrantedStart>>,
    starts_awaiting_release: Vec<GrantedStart>,
    has_unplaced: bool,
}

impl Assignment {
    /// Assigns what may start where there is room: gangs close together, other tasks spread.
    fn place_granted(
        &mut self,
        replica: &Replica,
        plan: &ActivePlan,
        pending: Vec<PendingGrant<'_>>,
    ) {
        for PendingGrant { grant, tasks } in pending {
            let Some(job) = replica.jobs.get(&grant.job()) else { continue };
            let need = Resources::of(&job.spec);
            let zone = grant.zone.as_deref();
            let place = match grant.attempt {
                Some(_) => placement::place_gang,
                None => placement::place_tasks,
            };
            let request =
                PlacementRequest { spec: &job.spec, need: &need, zone, count: tasks.len() };
            let chosen = place(&request, &mut self.targets);
            self.has_unplaced |= chosen.len() < tasks.len();
            for (task, target) in tasks.into_iter().zip(chosen) {
                let start = GrantedStart::with_room(plan, task, grant.attempt);
                let id = self.targets[target].id.clone();
                self.start_queues.entry(id).or_default().push(start);
            }
        }
    }

    /// Assigns what is granted ahead of a release to machines that no more urgent job may use.
    fn place_awaiting_release(
        &mut self,
        replica: &Replica,
        plan: &ActivePlan,
        highest_priority: &PriorityByKind,
        pending: Vec<PendingGrant<'_>>,
    ) {
        for PendingGrant { grant, tasks } in pending {
            let Some(job) = replica.jobs.get(&grant.job()) else { continue };
            let need = Resources::of(&job.spec);
            let mut usable: Vec<PlacementTarget> = self
                .targets
                .extract_if(.., |target| is_most_urgent(highest_priority, &job.spec, target))
                .collect();
            let request =
                PlacementRequest { spec: &job.spec, need: &need, zone: None, count: tasks.len() };
            let chosen = placement::place_tasks(&request, &mut usable);
            let mut starts = tasks.iter().map(|task| GrantedStart::awaiting_release(plan, *task));
            for (target, start) in chosen.into_iter().zip(starts.by_ref()) {
                self.start_queues.entry(usable[target].id.clone()).or_default().push(start);
            }
            self.starts_awaiting_release.extend(starts);
            self.targets.append(&mut usable);
        }
    }
}

/// For each kind of these machines, the most urgent open work that may use it.
fn highest_priority_by_kind(replica: &Replica, targets: &[PlacementTarget]) -> PriorityByKind {
    let specs = || replica.jobs.values().map(|job| &job.spec);
    let mut by_kind = BTreeMap::new();
    for target in targets {
        let kind = MachineKind::of(target);
        by_kind.entry(kind).or_insert_with_key(|kind| {
            placement::highest_priority(specs(), &kind.machine_type, &kind.zone, kind.spot)
        });
    }
    by_kind
}

/// Whether no job that is more urgent may use such machines. False for a kind that is not known.
pub(super) fn is_most_urgent(
    highest_priority: &PriorityByKind,
    spec: &JobSpec,
    target: &PlacementTarget,
) -> bool {
    let highest = highest_priority.get(&MachineKind::of(target)).copied().flatten();
    highest.is_some_and(|priority| spec.priority <= priority)
}

impl Shard {
    /// Whether granted tasks are to be assigned anew: something speaks for it, or some have waited.
    pub(super) fn is_assignment_due(&self, now: MonotonicTime, has_more_room: bool) -> bool {
        let term_state = &self.term_state;
        let elapsed_ms = now.since(term_state.assigned_at);
        let has_waiting = term_state.has_unplaced
            || !term_state.start_queues.is_empty()
            || !term_state.starts_awaiting_release.is_empty();
        term_state.assignment_stale
            || (has_more_room && term_state.has_unplaced && elapsed_ms >= ASSIGN_LEAST_MS)
            || (has_waiting && elapsed_ms >= ASSIGN_MS)
    }

    /// Assigns every granted task that is not on a machine to the one where it is to start. It starts in the response
    /// to that machine's next heartbeat, or to the present one if that is of the machine that `reporting` names.
    pub(super) fn assign_granted(&mut self, context: &ShardContext<'_>, reporting: &MachineId) {
        let replica = context.replica;
        let granted = self.pending_starts(context, self.term_state.plan.grants());
        let awaiting_release =
            self.pending_starts(context, self.term_state.plan.grants_awaiting_release());
        let mut assignment = Assignment {
            targets: Vec::new(),
            start_queues: BTreeMap::new(),
            starts_awaiting_release: Vec::new(),
            has_unplaced: granted.has_paused_jobs,
        };
        if !granted.grants.is_empty() || !awaiting_release.grants.is_empty() {
            let plan = &self.term_state.plan;
            assignment.targets = self.open_targets(context, reporting);
            assignment.place_granted(replica, plan, granted.grants);
            if !awaiting_release.grants.is_empty() {
                let highest_priority = highest_priority_by_kind(replica, &assignment.targets);
                assignment.place_awaiting_release(
                    replica,
                    plan,
                    &highest_priority,
                    awaiting_release.grants,
                );
                self.term_state.highest_priority = highest_priority;
            }
        }
        let term_state = &mut self.term_state;
        term_state.assignment_stale = false;
        term_state.assigned_at = context.now;
        term_state.has_unplaced = assignment.has_unplaced;
        term_state.starts_awaiting_release = assignment.starts_awaiting_release;
        term_state.start_queues = assignment.start_queues;
    }

    /// The tasks of these grants that are neither on a machine nor done, most urgent first. Within a priority
    /// the order of the grants holds.
    fn pending_starts<'a>(
        &self,
        context: &ShardContext<'_>,
        grants: &'a [Grant],
    ) -> PendingStarts<'a> {
        let held: FxHashSet<TaskId> =
            self.machines.values().flat_map(|machine| machine.tasks.keys()).copied().collect();
        let mut has_paused_jobs = false;
        let mut by_priority: Vec<(Priority, PendingGrant<'a>)> = Vec::new();
        for grant in grants {
            let Some(job) = context.replica.jobs.get(&grant.job()) else { continue };
            if !self.may_try(context.now, grant.job()) {
                has_paused_jobs = true;
                continue;
            }
            let tasks = self.pending_tasks(context.replica, grant, &held);
            if !tasks.is_empty() {
                by_priority.push((job.spec.priority, PendingGrant { grant, tasks }));
            }
        }
        by_priority.sort_by_key(|(priority, _)| *priority);
        let grants = by_priority.into_iter().map(|(_, pending)| pending).collect();
        PendingStarts { grants, has_paused_jobs }
    }

    /// The tasks of a grant that are neither on a machine nor done. A gang's attempt that was shown is not
    /// started again.
    fn pending_tasks(
        &self,
        replica: &Replica,
        grant: &Grant,
        held: &FxHashSet<TaskId>,
    ) -> Vec<TaskId> {
        let shown = &self.term_state.shown_gang_attempts;
        let is_shown =
            |task: &TaskId| grant.attempt.is_some_and(|attempt| shown.contains(&(*task, attempt)));
        grant
            .tasks
            .iter()
            .map(|index| TaskId { job: grant.job(), index })
            .filter(|task| !held.contains(task) && self.may_start(replica, *task))
            .filter(|task| !is_shown(task))
            .collect()
    }

    /// The machines that take new tasks now.
    fn open_targets(
        &self,
        context: &ShardContext<'_>,
        reporting: &MachineId,
    ) -> Vec<PlacementTarget> {
        let (term, plan) = (self.term_state.term, &self.term_state.plan);
        let target = |(id, machine): (&MachineId, &Machine)| {
            let mut target = machine.placement_target(id, context, term, !plan.is_drained(id))?;
            target.slow = plan.is_slow(id);
            target.reserved = plan.is_reserved(id);
            target.command_delay_s = match id == reporting {
                true => 0.0,
                false => context.timing.delay_s(context.now.since(machine.last_heartbeat)),
            };
            Some(target).filter(|target| target.schedulable)
        };
        self.machines.iter().filter_map(target).collect()
    }
}
