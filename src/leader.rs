//! The leader's work: gather part summaries, admit, divide shares and task ranges over
//! parts, write the epoch, and only then hand out plans.
//!
//! A term begins with nothing granted. Whatever an earlier term granted and is not done may
//! be running, and is unresolved until every machine that may hold it has reported with the new
//! token, and so refuses older orders, or is proven gone. Owners are fixed within a term;
//! losing a controller or moving a machine takes a new term of the same leader.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::autoscaler::{self, MarketState};
use crate::cluster_view::ClusterView;
use crate::fleet::{Fleet, SummaryOutcome};
use crate::lease::AttemptAllocator;
use crate::model::{
    Attempt, Cores, JobId, MachineId, MonotonicTime, NodeId, PlanSeq, Ranges, TaskId, Term,
};
use crate::peer::{PeerResponse, PlanBody, Summary, WaitReason};
use crate::wire::Txn;

/// Least time between two new terms that only balance the parts.
const REBALANCE_MS: u64 = 30_000;

mod allocation;
mod describe;
mod epoch_transaction;
mod expected_releases;
mod gang_scheduling;
mod grant_records;
mod granting;
mod importance;
mod machine_speed;
mod plans;
mod quotas;
mod reconciliation;
mod scaling;
mod standby_decisions;
mod starvation;
mod term_start;

use allocation::EpochAllocation;
use machine_speed::Speed;
use scaling::SCALING_PERIOD_MS;

#[derive(Clone)]
struct TaskGrant {
    node: NodeId,
    attempt: Option<Attempt>,
    at: MonotonicTime,
    zone: Option<String>,
    /// Whether a worker has shown it; followed for gangs only.
    seen: bool,
    /// Whether it waits for a place that another task is about to leave.
    ahead: bool,
}

struct RevokedGrant {
    node: NodeId,
    seq: PlanSeq,
    zone: Option<String>,
}

/// One epoch's outcome, to be written before it is published.
#[derive(Default)]
pub struct Epoch {
    /// The transaction, unless nothing durable changes.
    pub txn: Option<Txn>,
    grants: Vec<(TaskId, TaskGrant)>,
    /// What is on record of jobs' grants once the transaction is carried out, by key.
    recorded: Vec<(JobId, Ranges)>,
    /// Tasks that this adds to the record without granting them.
    ahead: Vec<TaskId>,
}

/// The leader's state in one term.
pub struct Leader {
    /// Its term.
    pub term: Term,
    began: MonotonicTime,
    seq: PlanSeq,
    /// The machines.
    pub fleet: Fleet,
    granted: BTreeMap<TaskId, TaskGrant>,
    revoked: FxHashMap<TaskId, RevokedGrant>,
    attempts: AttemptAllocator,
    unresolved: FxHashSet<TaskId>,
    /// Grants on record, in the store.
    recorded: FxHashMap<JobId, Ranges>,
    /// Tasks that two machines show.
    duplicated: FxHashSet<TaskId>,
    /// Tasks on record that were never granted: this leader put them there ahead of time.
    ahead: FxHashSet<TaskId>,
    bodies: BTreeMap<NodeId, PlanBody>,
    job_statuses_sent: MonotonicTime,
    /// Set when a new term is needed, with the reason.
    pub renew_term: Option<&'static str>,
    rebalanced: MonotonicTime,
    /// What is remembered of the market.
    pub market: MarketState,
    wait_reasons: HashMap<JobId, WaitReason>,
    /// Shares of the last epoch.
    shares: BTreeMap<JobId, u32>,
    runs: HashMap<String, (f64, f64)>,
    seen_running: FxHashMap<TaskId, (MonotonicTime, MachineId)>,
    /// Seconds that a job's tasks ran in all, and their number.
    job_runs: FxHashMap<JobId, (f64, u32)>,
    speeds: FxHashMap<MachineId, Speed>,
    decision: autoscaler::ScalingDecision,
    decided: Option<MonotonicTime>,
    machines_written: MonotonicTime,
    load_written: MonotonicTime,
    /// Since when open jobs have had no task on a machine or on its way there.
    idle: FxHashMap<JobId, MonotonicTime>,
    /// Gangs granted in this term, and those that are being stopped.
    gangs: FxHashMap<JobId, gang_scheduling::Gang>,
    pending_stops: BTreeMap<JobId, gang_scheduling::PendingStop>,
    /// Machines that are kept for gangs.
    reserved: Vec<MachineId>,
    /// Images of gangs, and when one that needs it was last open.
    gang_images: FxHashMap<Rc<str>, MonotonicTime>,
    /// When a gang that has to be spread over zones was last open.
    spread_gangs: Option<MonotonicTime>,
}

impl Epoch {
    /// Whether it grants nothing new.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

impl Leader {
    /// Takes a summary and returns the answer, and whether the summary tells anything that an
    /// epoch should look at soon.
    pub fn on_summary(&mut self, now: MonotonicTime, s: Summary) -> (PeerResponse, bool) {
        if s.term != self.term {
            return (PeerResponse::NotLeading(self.term), false);
        }
        let (node, applied_plan) = (s.node, if s.more { PlanSeq(0) } else { s.applied_plan });
        match self.fleet.on_summary(now, s) {
            SummaryOutcome::NewIncarnation => {
                self.renew_term.get_or_insert("a controller restarted");
                (PeerResponse::NotLeading(self.term), true)
            }
            SummaryOutcome::Late => (PeerResponse::NotLeading(self.term), false),
            SummaryOutcome::Gap => (PeerResponse::SendWhole, false),
            SummaryOutcome::Yes(changed) => {
                if !self.revoked.is_empty() {
                    self.free_revoked(node, applied_plan);
                }
                let plan = self.plan_for(node, now);
                let response = plan.map_or(PeerResponse::NotLeading(self.term), |p| {
                    PeerResponse::Plan(Box::new(p))
                });
                (response, changed)
            }
        }
    }

    /// Works out an epoch. Nothing of it holds before [`publish`](Self::publish).
    pub fn epoch(&mut self, cluster: &ClusterView<'_>) -> Epoch {
        self.fleet.follow_members(cluster);
        self.fleet.note_controllers_without_heartbeats(cluster.now, &cluster.settings.timing());
        self.check_nodes(cluster);
        self.fleet.assign(cluster, PlanSeq(self.seq.0 + 1));
        self.fleet.learn(cluster.now);
        self.fleet.expire_leases(cluster);
        // What is on machines borrows the fleet, which nothing below changes.
        let fleet = std::mem::replace(&mut self.fleet, Fleet::begin(cluster, None));
        let on_machines = fleet.on_machines();
        self.learn(cluster, &on_machines);
        self.log_duplicated_tasks(&fleet, &on_machines);
        self.reconcile(cluster, &fleet, &on_machines);
        self.supervise_gangs(cluster, &fleet, &on_machines);
        let mut targets = self.targets(cluster, &fleet);
        let mut expected_releases = self.expected_releases(cluster, &fleet, &on_machines, &targets);
        let extra =
            expected_releases.iter().fold(Cores(0), |sum, t| Cores(sum.0 + t.free_cores().0));
        self.place_granted(cluster, &fleet, &on_machines, &mut targets, &mut expected_releases);
        self.reserve_for_gangs(cluster, &fleet, &on_machines, &mut targets);
        let allocation = EpochAllocation {
            used: self.team_use(cluster, &fleet, &on_machines),
            targets,
            expected_releases,
            extra,
            grants: Vec::new(),
            counts: self.counts(&on_machines),
        };
        let allocation = self.grant(cluster, &fleet, &on_machines, allocation);
        let mut epoch = Epoch { grants: allocation.grants, ..Epoch::default() };
        let due = self.decided.is_none_or(|at| cluster.now.since(at) >= SCALING_PERIOD_MS);
        if due {
            self.decided = Some(cluster.now);
            self.decide_scaling(cluster, &fleet, &on_machines, &allocation.targets, &epoch);
        }
        drop(on_machines);
        self.fleet = fleet;
        self.fleet.reconciliation_awaited = !self.unresolved.is_empty();
        if due {
            self.drain_for_scale_in();
        }
        self.compose(cluster, &mut epoch);
        epoch
    }

    /// Asks for a new term when an owner is lost, machines cannot reach their owner, or the
    /// parts are out of balance.
    fn check_nodes(&mut self, cluster: &ClusterView<'_>) {
        let now = cluster.now;
        if self.renew_term.is_some() {
            return;
        }
        self.renew_term =
            self.fleet.wants_new_term(now, cluster.served_for, &cluster.settings.timing());
        let calm = now.since(self.rebalanced.max(self.began)) > REBALANCE_MS;
        if self.renew_term.is_none() && calm && self.fleet.unreconciled.is_empty() {
            let live = self.fleet.eligible_owners(now);
            let owners = &self.fleet.owners;
            let idle = live.iter().any(|id| {
                owners.len() >= 2 * live.len()
                    && !owners.values().any(|(o, _)| o == id)
                    && owners.keys().any(|m| self.fleet.owner_for(cluster, m, &live) == Some(*id))
            });
            if idle {
                self.rebalanced = now;
                self.renew_term = Some("a controller came back and has no part");
            }
        }
    }

    /// The number of the plan that was published last; 0 before the first epoch holds.
    pub fn published(&self) -> PlanSeq {
        self.seq
    }

    /// The cloud confirmed that these machines and all on them are gone.
    pub fn machines_gone(&mut self, ids: &[MachineId]) {
        self.fleet.machines_gone(ids, PlanSeq(self.seq.0 + 1));
        self.speeds.retain(|id, _| !ids.contains(id));
    }
}

#[cfg(test)]
mod tests;
