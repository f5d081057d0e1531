//! The leader's work: gather the shards' summaries, admit jobs, divide shares and task ranges over
//! shards, write the epoch, and only then hand out plans.
//!
//! Invariants (argued in `docs/safety.md`):
//!
//! - **What an earlier term granted is unresolved until proven.** A term begins with nothing granted.
//!   Whatever an earlier term granted and is not done may be running, until every machine that may
//!   hold it has shown the new token, and so refuses older commands, or is proven terminated. The
//!   `task_grants` module keeps this ("When a task is free").
//! - **Durable before said.** An [`Epoch`] holds only once its transaction is carried out:
//!   [`Leader::epoch`] works it out, [`Leader::publish`] makes it hold.
//! - **Owners are fixed within a term.** Losing a controller or moving a machine takes a new term of
//!   the same leader ([`Leader::renew_term`]).
//! - **A new term voids what the last one said.** Of a [`Leader`], only its machines, [`Remembered`] and
//!   what `TaskGrants` turns into unresolved tasks reach its next term.

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

/// Least time between two new terms that only balance the shards: a new term costs a round of
/// reconciliation.
const REBALANCE_MS: u64 = 30_000;

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
mod team_use;
mod term_start;

use allocation::EpochAllocation;
use inputs::EpochInputs;
use machine_speed::{ClassRunTimes, JobRunTimes, RunningSince, Speed};
use scaling::SCALING_PERIOD_MS;
use task_grants::{NewGrant, TaskGrants};

/// One epoch's outcome, to be written before it is published.
#[derive(Default)]
pub struct Epoch {
    /// The transaction, unless nothing durable changes.
    pub txn: Option<Txn>,
    /// Tasks that this grants.
    grants: Vec<NewGrant>,
    /// What is on record of jobs' grants once the transaction is carried out.
    recorded: Vec<(JobId, TaskRanges)>,
    /// Tasks that this adds to the record without granting them.
    recorded_ahead: Vec<TaskId>,
}

/// The leader's state in one term.
pub struct Leader {
    /// Its term.
    pub term: Term,
    /// When the term began.
    began: MonotonicTime,
    /// Set when a new term is needed, with the reason.
    pub renew_term: Option<NewTermReason>,
    /// The machines. Those stay in the next term; what shards summarized of them does not.
    pub fleet: Fleet,
    /// What stays in this leader's next term.
    pub remembered: Remembered,
    /// Which tasks may be running. The next term takes all of them as unresolved.
    task_grants: TaskGrants,
    /// Void in the next term.
    plans: PublishedPlans,
    /// Void in the next term.
    jobs: JobObservations,
    /// Void in the next term.
    gangs: GangStates,
    /// Void in the next term.
    scaling: ScalingState,
    /// Void in the next term.
    last_writes: LastWrites,
}

/// What a leader remembers from one of its terms to the next. None of it says where a task is.
#[derive(Default)]
pub struct Remembered {
    /// The market and the load.
    pub market: AutoscalerState,
    /// When a term was last renewed only to balance the shards.
    rebalanced: MonotonicTime,
    /// How long tasks ran compared with their owners' estimates, by class of jobs.
    class_run_times: HashMap<String, ClassRunTimes>,
    /// How fast machines are.
    machine_speeds: FxHashMap<MachineId, Speed>,
    /// Images of gangs, and when one that needs it was last open.
    gang_images: FxHashMap<Rc<str>, MonotonicTime>,
}

/// The plans of this term.
#[derive(Default)]
struct PublishedPlans {
    /// The plan that was published last; 0 before the first epoch holds.
    seq: PlanSeq,
    /// What that plan tells each controller.
    bodies: BTreeMap<NodeId, PlanBody>,
    /// When a plan last carried the jobs' status.
    job_statuses_sent: MonotonicTime,
}

/// What is seen of jobs in this term.
#[derive(Default)]
struct JobObservations {
    /// Teams whose tasks were more than their limit in the last epoch.
    teams_over_limit: HashSet<String>,
    /// Why jobs wait, as of the last epoch.
    wait_reasons: HashMap<JobId, WaitReason>,
    /// Tasks that the last epoch admitted.
    shares: BTreeMap<JobId, u32>,
    /// Where and since when tasks run.
    running_since: FxHashMap<TaskId, RunningSince>,
    /// How long tasks of open jobs ran.
    run_times: FxHashMap<JobId, JobRunTimes>,
    /// Since when open jobs have had no task on a machine or on its way there.
    idle_since: FxHashMap<JobId, MonotonicTime>,
}

/// Gangs in this term.
#[derive(Default)]
struct GangStates {
    /// Gangs granted in this term.
    granted: FxHashMap<JobId, gang_scheduling::Gang>,
    /// Gangs that are being stopped.
    pending_stops: BTreeMap<JobId, gang_scheduling::PendingStop>,
    /// Machines that are reserved for gangs, sorted.
    reserved: Vec<MachineId>,
    /// When a gang that has to be spread over zones was last open.
    spread_seen: Option<MonotonicTime>,
}

/// What was decided last about renting and returning machines.
#[derive(Default)]
struct ScalingState {
    decision: autoscaler::ScalingDecision,
    /// When; `None` if a decision is due.
    decided_at: Option<MonotonicTime>,
}

/// When what is not written with every epoch was last written.
#[derive(Default)]
struct LastWrites {
    machines: MonotonicTime,
    load: MonotonicTime,
}

impl PublishedPlans {
    /// The plan that the next publication brings.
    fn next(&self) -> PlanSeq {
        PlanSeq(self.seq.0 + 1)
    }
}

impl Epoch {
    /// Whether it grants nothing new.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

impl Leader {
    /// Applies a summary and returns the answer, and whether the summary tells anything that an
    /// epoch should look at soon.
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
            SummaryOutcome::Late => (PeerResponse::NotLeading(self.term), false),
            SummaryOutcome::MissingBase => (PeerResponse::SendWhole, false),
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

    /// Works out an epoch. Nothing of it holds before [`publish`](Self::publish).
    pub fn epoch(&mut self, cluster: &ClusterView<'_>) -> Epoch {
        self.follow_fleet(cluster);
        // What is on machines borrows the fleet, which nothing below changes.
        let fleet = std::mem::replace(&mut self.fleet, Fleet::begin(cluster, None));
        let on_machines = fleet.on_machines();
        let inputs = EpochInputs { cluster, fleet: &fleet, on_machines: &on_machines };
        self.observe_run_times(&inputs);
        self.log_duplicated_tasks(&inputs);
        self.reconcile(&inputs);
        self.supervise_gangs(&inputs);
        let mut allocation = self.allocation(&inputs);
        self.log_teams_over_limit(cluster, &allocation.team_use);
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
        self.compose(cluster, &mut epoch);
        epoch
    }

    /// Brings machines, their owners and leases up to now.
    fn follow_fleet(&mut self, cluster: &ClusterView<'_>) {
        self.fleet.follow_members(cluster);
        self.fleet.record_controllers_without_heartbeats(cluster.now, &cluster.settings.timing());
        self.check_nodes(cluster);
        self.fleet.assign(cluster, self.plans.next());
        self.fleet.record_heartbeats(cluster.now);
        self.fleet.expire_leases(cluster);
    }

    /// What this epoch may fill, with grants under way counted in.
    fn allocation(&mut self, inputs: &EpochInputs<'_>) -> EpochAllocation {
        let mut targets = self.targets(inputs);
        let mut expected_releases = self.expected_releases(inputs, &targets);
        let expected_cores = expected_releases
            .iter()
            .fold(Cores(0), |sum, release| Cores(sum.0 + release.free_cores().0));
        self.place_granted(inputs, &mut targets, &mut expected_releases);
        self.reserve_for_gangs(inputs, &mut targets);
        EpochAllocation {
            team_use: self.team_use(inputs),
            targets,
            expected_releases,
            expected_cores,
            grants: Vec::new(),
        }
    }

    /// Asks for a new term when an owner is lost, machines cannot reach their owner, or the
    /// shards are out of balance.
    fn check_nodes(&mut self, cluster: &ClusterView<'_>) {
        let now = cluster.now;
        if self.renew_term.is_some() {
            return;
        }
        self.renew_term =
            self.fleet.wants_new_term(now, cluster.served_for_ms, &cluster.settings.timing());
        let calm = now.since(self.remembered.rebalanced.max(self.began)) > REBALANCE_MS;
        if self.renew_term.is_none() && calm && self.fleet.unreconciled.is_empty() {
            let live = self.fleet.eligible_owners(now);
            let owners = &self.fleet.owners;
            let idle = live.iter().any(|id| {
                owners.len() >= 2 * live.len()
                    && !owners.values().any(|owned| owned.owner == *id)
                    && owners.keys().any(|m| self.fleet.owner_for(cluster, m, &live) == Some(*id))
            });
            if idle {
                self.remembered.rebalanced = now;
                self.renew_term = Some(NewTermReason::ControllerWithoutShard);
            }
        }
    }

    /// The number of the plan that was published last; 0 before the first epoch holds.
    pub fn published(&self) -> PlanSeq {
        self.plans.seq
    }

    /// The cloud confirmed that these machines and all on them are terminated.
    pub fn machines_gone(&mut self, ids: &[MachineId]) {
        self.fleet.remove_machines(ids, self.plans.next());
        self.remembered.machine_speeds.retain(|id, _| !ids.contains(id));
    }
}

#[cfg(test)]
mod tests;
