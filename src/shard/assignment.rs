//! Assignment of granted tasks to the machines of the shard.
//!
//! All granted tasks are periodically reassigned together. An assignment only fills start queues; the checks
//! before a start and the start itself are in `task_start`.

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

/// Maximum time between two assignments while tasks wait to be placed or started, in milliseconds.
const ASSIGNMENT_INTERVAL_MAX_MS: u64 = 700;

/// Minimum time since the last assignment before a heartbeat that shows freed capacity triggers another one,
/// in milliseconds.
const ASSIGNMENT_INTERVAL_MIN_MS: u64 = 60;

/// Highest priority of the unfinished jobs that may use machines of a kind; `None` if there are none.
type PriorityByKind = BTreeMap<MachineKind, Option<Priority>>;

/// Tasks of a grant that are neither on a machine nor completed.
struct PendingGrant<'a> {
    grant: &'a Grant,
    tasks: Vec<TaskId>,
}

/// Granted tasks that are to start, by descending priority.
struct PendingStarts<'a> {
    grants: Vec<PendingGrant<'a>>,
    /// Whether tasks of jobs in backoff were left out.
    has_jobs_in_backoff: bool,
}

/// An assignment under construction.
struct Assignment {
    /// Machines with their remaining capacity.
    targets: Vec<PlacementTarget>,
    start_queues: BTreeMap<MachineId, Vec<GrantedStart>>,
    starts_awaiting_release: Vec<GrantedStart>,
    has_unplaced_tasks: bool,
}

impl Assignment {
    /// Assigns granted tasks to machines with free capacity: gangs are packed, other tasks are spread.
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
            self.has_unplaced_tasks |= chosen.len() < tasks.len();
            for (task, target) in tasks.into_iter().zip(chosen) {
                let start = GrantedStart::with_room(plan, task, grant.attempt);
                let id = self.targets[target].id.clone();
                self.start_queues.entry(id).or_default().push(start);
            }
        }
    }

    /// Assigns tasks that were granted before other tasks release resources for them, to machines that no job
    /// of higher priority may use. Tasks that fit nowhere yet stay in `starts_awaiting_release`.
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
                .extract_if(.., |target| is_highest_priority(highest_priority, &job.spec, target))
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

/// Returns the highest priority of the unfinished jobs that may use each kind of machine in `targets`.
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

/// Whether no unfinished job of higher priority may use machines of the target's kind. Returns false if
/// `highest_priority` has no priority for this kind.
pub(super) fn is_highest_priority(
    highest_priority: &PriorityByKind,
    spec: &JobSpec,
    target: &PlacementTarget,
) -> bool {
    let highest = highest_priority.get(&MachineKind::of(target)).copied().flatten();
    highest.is_some_and(|priority| spec.priority <= priority)
}

impl Shard {
    /// Whether granted tasks have to be assigned again: the assignment is stale, capacity was freed, or tasks
    /// have waited too long.
    pub(super) fn is_assignment_due(&self, now: MonotonicTime, has_freed_capacity: bool) -> bool {
        let term_state = &self.term_state;
        let elapsed_ms = now.since(term_state.assigned_at);
        let has_waiting = term_state.has_unplaced_tasks
            || !term_state.start_queues.is_empty()
            || !term_state.starts_awaiting_release.is_empty();
        term_state.assignment_stale
            || (has_freed_capacity
                && term_state.has_unplaced_tasks
                && elapsed_ms >= ASSIGNMENT_INTERVAL_MIN_MS)
            || (has_waiting && elapsed_ms >= ASSIGNMENT_INTERVAL_MAX_MS)
    }

    /// Assigns every granted task that is not on a machine. An assigned task starts in the response to the
    /// next heartbeat of its machine, which for `reporting_machine` is the one being handled.
    pub(super) fn assign_granted(
        &mut self,
        context: &ShardContext<'_>,
        reporting_machine: &MachineId,
    ) {
        let replica = context.replica;
        let granted = self.pending_starts(context, self.term_state.plan.grants());
        let awaiting_release =
            self.pending_starts(context, self.term_state.plan.grants_awaiting_release());
        let mut assignment = Assignment {
            targets: Vec::new(),
            start_queues: BTreeMap::new(),
            starts_awaiting_release: Vec::new(),
            has_unplaced_tasks: granted.has_jobs_in_backoff,
        };
        if !granted.grants.is_empty() || !awaiting_release.grants.is_empty() {
            let plan = &self.term_state.plan;
            assignment.targets = self.open_targets(context, reporting_machine);
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
        term_state.has_unplaced_tasks = assignment.has_unplaced_tasks;
        term_state.starts_awaiting_release = assignment.starts_awaiting_release;
        term_state.start_queues = assignment.start_queues;
    }

    /// Returns the tasks of these grants that are neither on a machine nor completed, by descending priority.
    /// Grants of the same priority keep their order.
    fn pending_starts<'a>(
        &self,
        context: &ShardContext<'_>,
        grants: &'a [Grant],
    ) -> PendingStarts<'a> {
        let held: FxHashSet<TaskId> =
            self.machines.values().flat_map(|machine| machine.tasks.keys()).copied().collect();
        let mut has_jobs_in_backoff = false;
        let mut by_priority: Vec<(Priority, PendingGrant<'a>)> = Vec::new();
        for grant in grants {
            let Some(job) = context.replica.jobs.get(&grant.job()) else { continue };
            if !self.is_backoff_over(context.now, grant.job()) {
                has_jobs_in_backoff = true;
                continue;
            }
            let tasks = self.pending_tasks(context.replica, grant, &held);
            if !tasks.is_empty() {
                by_priority.push((job.spec.priority, PendingGrant { grant, tasks }));
            }
        }
        by_priority.sort_by_key(|(priority, _)| *priority);
        let grants = by_priority.into_iter().map(|(_, pending)| pending).collect();
        PendingStarts { grants, has_jobs_in_backoff }
    }

    /// Returns the tasks of a grant that are neither on a machine nor completed. A gang attempt that a worker
    /// has shown is not started again.
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
            .filter(|task| !held.contains(task) && self.is_incomplete(replica, *task))
            .filter(|task| !is_shown(task))
            .collect()
    }

    /// Returns the machines that accept new tasks now.
    fn open_targets(
        &self,
        context: &ShardContext<'_>,
        reporting_machine: &MachineId,
    ) -> Vec<PlacementTarget> {
        let (term, plan) = (self.term_state.term, &self.term_state.plan);
        let target = |(id, machine): (&MachineId, &Machine)| {
            let mut target = machine.placement_target(id, context, term, !plan.is_drained(id))?;
            target.slow = plan.is_slow(id);
            target.reserved = plan.is_reserved(id);
            target.command_delay_s = match id == reporting_machine {
                true => 0.0,
                false => context
                    .timing
                    .expected_heartbeat_delay_s(context.now.since(machine.last_heartbeat_at)),
            };
            Some(target).filter(|target| target.schedulable)
        };
        self.machines.iter().filter_map(target).collect()
    }
}
