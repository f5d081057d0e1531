//! The leader's part of an epoch. It collects the summaries that controllers send of their shards, which are
//! the machines that they own. It admits jobs, divides the jobs' shares and task ranges over the shards, writes
//! the epoch to the state service, and only then publishes plans.
//!
//! Invariants (argued in `docs/safety.md`):
//!
//! - **Grants of earlier terms are unresolved until proven otherwise.** A term begins with nothing
//!   granted. A task that an earlier term granted and that is not done may be running. It is proven not to
//!   run once every machine that may hold it is proven terminated, or has sent a heartbeat with the fencing
//!   token of the new term and so refuses commands of earlier terms. The `task_grants` module enforces this
//!   ("When a task is free").
//! - **Durable before said.** An [`Epoch`] takes effect only once its transaction is committed:
//!   [`Leader::epoch`] computes it, [`Leader::publish`] puts it into effect.
//! - **Owners are fixed within a term.** If a controller is lost or a machine has to move to another
//!   owner, the same leader begins a new term ([`Leader::renew_term`]).
//! - **A new term voids the plans and observations of the last one.** Of a [`Leader`], its next term gets
//!   only the machines, the [`RetainedState`], and the tasks that `TaskGrants` turns into unresolved ones.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::autoscaler::{self, AutoscalerState};
use crate::cluster_view::ClusterView;
use crate::fleet::{Fleet, NewTermReason, SummaryOutcome};
use crate::model::{
    Cores, JobId, MachineId, MonotonicTime, NodeId, PlanSeq, TaskId, TaskRanges, Term,
};
use crate::peer::{PeerResponse, PlanBody, Summary, WaitReason};
use crate::wire::Txn;

/// Minimum time between two new terms that only balance the shards, in milliseconds. Each new term costs a
/// round of reconciliation.
const MIN_REBALANCE_INTERVAL_MS: u64 = 30_000;

mod allocation;
mod describe;
mod epoch_transaction;
mod expected_releases;
mod gang_presence;
mod gang_reservation;
mod gang_scheduling;
mod grant_groups;
mod grant_records;
mod granting;
mod importance;
mod inputs;
mod machine_records;
mod machine_speed;
mod plans;
mod quotas;
mod reconciliation;
mod scaling;
mod standby_decisions;
mod starvation;
mod task_grants;
mod team_usage;
mod term_start;

use allocation::EpochAllocation;
use inputs::EpochInputs;
use machine_speed::{ClassRunTimes, JobRunTimes, MachineSlowdown, RunningSince};
use scaling::SCALING_PERIOD_MS;
use task_grants::{NewGrant, TaskGrants};

/// The outcome of one epoch. It is written to the state service before it is published.
#[derive(Default)]
pub struct Epoch {
    /// The transaction; `None` if nothing durable changes.
    pub txn: Option<Txn>,
    /// Tasks that the epoch grants.
    grants: Vec<NewGrant>,
    /// For each job whose record the transaction changes, all of its tasks that are on record as granted once
    /// the transaction is committed.
    recorded: Vec<(JobId, TaskRanges)>,
    /// Tasks that the transaction adds to the record without granting them.
    recorded_ahead: Vec<TaskId>,
}

/// The leader's state in one term.
pub struct Leader {
    /// The term that this leader leads.
    pub term: Term,
    /// When the term began.
    began_at: MonotonicTime,
    /// Why a new term is needed; `None` while none is.
    pub renew_term: Option<NewTermReason>,
    /// The machines. The next term keeps them, but not what the summaries showed of them.
    pub fleet: Fleet,
    /// State that the next term of this leader keeps.
    pub retained: RetainedState,
    /// Tasks that may be running. The next term takes all of them over as unresolved.
    task_grants: TaskGrants,
    /// Plans of this term. Reset in the next term.
    plans: PublishedPlans,
    /// Observations of jobs. Reset in the next term.
    jobs: JobObservations,
    /// State of gangs. Reset in the next term.
    gangs: GangStates,
    /// The last scaling decision. Reset in the next term.
    scaling: ScalingState,
    /// Times of the last periodic writes. Reset in the next term.
    last_writes: LastWrites,
}

/// State that a leader keeps from one of its terms to the next. None of it says where a task is.
#[derive(Default)]
pub struct RetainedState {
    /// State of the cloud market and the offered load.
    pub market: AutoscalerState,
    /// When a new term was last requested only to balance the shards.
    rebalanced_at: MonotonicTime,
    /// Actual and estimated run times of tasks, by job class.
    class_run_times: HashMap<String, ClassRunTimes>,
    /// Run times of tasks on each machine, relative to other tasks of the same jobs.
    machine_slowdowns: FxHashMap<MachineId, MachineSlowdown>,
    /// Images of gangs, with the time when a gang that needs the image was last open.
    gang_images: FxHashMap<Rc<str>, MonotonicTime>,
}

/// The plans published in this term.
#[derive(Default)]
struct PublishedPlans {
    /// Sequence number of the last published plan; 0 before the first epoch takes effect.
    seq: PlanSeq,
    /// Contents of the last published plan, by controller.
    bodies: BTreeMap<NodeId, PlanBody>,
    /// When a plan last carried the status of the jobs.
    job_statuses_sent: MonotonicTime,
}

/// Observations of jobs in this term.
#[derive(Default)]
struct JobObservations {
    /// Teams whose tasks on machines exceeded their limit in the last epoch.
    teams_over_limit: HashSet<String>,
    /// Why jobs wait, as of the last epoch.
    wait_reasons: HashMap<JobId, WaitReason>,
    /// Number of tasks that the last epoch admitted of each job, including those that it held already.
    shares: BTreeMap<JobId, u32>,
    /// Running tasks, with their machine and the time when each was first seen running there.
    running_since: FxHashMap<TaskId, RunningSince>,
    /// Run times of completed tasks, by open job.
    run_times: FxHashMap<JobId, JobRunTimes>,
    /// Open jobs that hold no task, with the time since when. A held task is on a machine, is granted, or has a
    /// revocation that is not confirmed.
    idle_since: FxHashMap<JobId, MonotonicTime>,
}

/// State of gangs in this term.
#[derive(Default)]
struct GangStates {
    /// Gangs granted in this term.
    granted: FxHashMap<JobId, gang_scheduling::GrantedGang>,
    /// Gangs that are being stopped.
    pending_stops: BTreeMap<JobId, gang_scheduling::PendingStop>,
    /// Machines that are reserved for gangs, sorted by id.
    reserved: Vec<MachineId>,
    /// When a gang that has to be spread over zones was last open.
    spread_gang_last_open: Option<MonotonicTime>,
}

/// The last decision about renting and returning machines.
#[derive(Default)]
struct ScalingState {
    decision: autoscaler::ScalingDecision,
    /// When the decision was taken; `None` if one is due.
    decided_at: Option<MonotonicTime>,
}

/// Times of the last writes of records that are not written with every epoch.
#[derive(Default)]
struct LastWrites {
    machines: MonotonicTime,
    load: MonotonicTime,
}

impl PublishedPlans {
    /// Returns the sequence number of the next plan to be published.
    fn next(&self) -> PlanSeq {
        PlanSeq(self.seq.0 + 1)
    }
}

impl Epoch {
    /// Returns whether the epoch grants no tasks.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

impl Leader {
    /// Applies a summary. Returns the response, and whether the summary changes anything that warrants an
    /// early epoch.
    pub fn on_summary(&mut self, now: MonotonicTime, summary: Summary) -> (PeerResponse, bool) {
        if summary.term != self.term {
            return (PeerResponse::NotLeading(self.term), false);
        }
        let node = summary.node;
        let applied_plan = if summary.has_more { PlanSeq(0) } else { summary.applied_plan };
        match self.fleet.on_summary(now, summary) {
            SummaryOutcome::NewIncarnation => {
                self.renew_term.get_or_insert(NewTermReason::ControllerRestarted);
                (PeerResponse::NotLeading(self.term), true)
            }
            SummaryOutcome::Stale => (PeerResponse::NotLeading(self.term), false),
            SummaryOutcome::MissingBase => (PeerResponse::SendFullSummary, false),
            SummaryOutcome::Applied { changed } => {
                if !self.task_grants.revoked.is_empty() {
                    self.task_grants.free_revoked(&self.fleet, node, applied_plan);
                }
                let plan = self.plan_for(node, now);
                let response = plan.map_or(PeerResponse::NotLeading(self.term), |plan| {
                    PeerResponse::Plan(Box::new(plan))
                });
                (response, changed)
            }
        }
    }

    /// Computes an epoch. Nothing of it takes effect before [`publish`](Self::publish).
    pub fn epoch(&mut self, cluster: &ClusterView<'_>) -> Epoch {
        self.update_fleet(cluster);
        // `on_machines` borrows the fleet, so the fleet is moved out of `self` while the steps below run.
        // None of the steps changes the fleet.
        let fleet = std::mem::replace(&mut self.fleet, Fleet::begin(cluster, None));
        let on_machines = fleet.on_machines();
        let inputs = EpochInputs { cluster, fleet: &fleet, on_machines: &on_machines };
        self.observe_run_times(&inputs);
        self.log_duplicated_tasks(&inputs);
        self.reconcile(&inputs);
        self.supervise_gangs(&inputs);
        let mut allocation = self.prepare_allocation(&inputs);
        self.log_teams_over_limit(cluster, &allocation.team_usage);
        self.grant(&inputs, &mut allocation);
        let EpochAllocation { grants, targets, .. } = allocation;
        let mut epoch = Epoch { grants, ..Epoch::default() };
        let decided_at = self.scaling.decided_at;
        let due = decided_at.is_none_or(|at| cluster.now.since(at) >= SCALING_PERIOD_MS);
        if due {
            self.scaling.decided_at = Some(cluster.now);
            self.decide_scaling(&inputs, &targets, &epoch);
        }
        drop(on_machines);
        self.fleet = fleet;
        self.fleet.reconciliation_awaited = !self.task_grants.unresolved.is_empty();
        if due {
            self.drain_for_scale_in();
        }
        self.prepare_transaction(cluster, &mut epoch);
        epoch
    }

    /// Updates the machines, their owners and their leases to the current time.
    fn update_fleet(&mut self, cluster: &ClusterView<'_>) {
        self.fleet.update_absent_controllers(cluster);
        self.fleet.record_controllers_without_heartbeats(cluster.now, &cluster.settings.timing());
        self.check_for_new_term(cluster);
        self.fleet.assign(cluster, self.plans.next());
        self.fleet.record_heartbeats(cluster.now);
        self.fleet.expire_leases(cluster);
    }

    /// Computes the resources that this epoch may grant, less those of grants that no machine shows yet.
    fn prepare_allocation(&mut self, inputs: &EpochInputs<'_>) -> EpochAllocation {
        let mut targets = self.targets(inputs);
        let mut expected_releases = self.expected_releases(inputs, &targets);
        let expected_cores = expected_releases
            .iter()
            .fold(Cores(0), |sum, release| Cores(sum.0 + release.free_cores().0));
        self.deduct_pending_grants(inputs, &mut targets, &mut expected_releases);
        self.reserve_for_gangs(inputs, &mut targets);
        EpochAllocation {
            team_usage: self.team_usage(inputs),
            targets,
            expected_releases,
            expected_cores,
            grants: Vec::new(),
        }
    }

    /// Requests a new term if an owner is lost, machines cannot reach their owner, or the shards are out of
    /// balance.
    fn check_for_new_term(&mut self, cluster: &ClusterView<'_>) {
        let now = cluster.now;
        if self.renew_term.is_some() {
            return;
        }
        self.renew_term =
            self.fleet.new_term_reason(now, cluster.served_for_ms, &cluster.settings.timing());
        let rebalance_due =
            now.since(self.retained.rebalanced_at.max(self.began_at)) > MIN_REBALANCE_INTERVAL_MS;
        if self.renew_term.is_none() && rebalance_due && self.fleet.unreconciled.is_empty() {
            let eligible = self.fleet.eligible_owners(now);
            let owners = &self.fleet.owners;
            let has_idle_owner = eligible.iter().any(|id| {
                owners.len() >= 2 * eligible.len()
                    && !owners.values().any(|owned| owned.owner == *id)
                    && owners
                        .keys()
                        .any(|m| self.fleet.owner_for(cluster, m, &eligible) == Some(*id))
            });
            if has_idle_owner {
                self.retained.rebalanced_at = now;
                self.renew_term = Some(NewTermReason::ControllerWithoutShard);
            }
        }
    }

    /// Returns the sequence number of the last published plan; 0 before the first epoch takes effect.
    pub fn published_plan(&self) -> PlanSeq {
        self.plans.seq
    }

    /// Removes machines that the cloud confirmed as terminated, along with everything that ran on them.
    pub fn remove_terminated_machines(&mut self, ids: &[MachineId]) {
        self.fleet.remove_machines(ids, self.plans.next());
        self.retained.machine_slowdowns.retain(|id, _| !ids.contains(id));
    }
}

#[cfg(test)]
mod tests;
