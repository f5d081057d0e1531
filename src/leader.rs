//! The leader's work: gather part summaries, admit, divide shares and task ranges over
//! parts, write the epoch, and only then hand out plans.
//!
//! A term begins with nothing granted. Whatever an earlier term granted and is not done may
//! be running, and is unresolved until every machine that may hold it has reported with the new
//! token, and so refuses older orders, or is proven gone. Owners are fixed within a term;
//! losing a controller or moving a machine takes a new term of the same leader.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::admission::{self, Bounds, Demand};
use crate::attempts::AttemptAllocator;
use crate::autoscaler::{self, MarketState};
use crate::cluster_view::ClusterView;
use crate::fleet::{Fleet, SummaryOutcome, TasksOnMachines};
use crate::model::{
    Attempt, Cores, JobId, LEADER_ATTEMPTS_NODE, MachineId, MonotonicTime, NodeId, PlanSeq, TaskId,
    TaskRanges, Term,
};
use crate::peer::{PeerResponse, PlanBody, Summary, WaitReason};
use crate::wire::{JobKind, Txn};

/// Least time between two new terms that only balance the parts.
const REBALANCE_MS: u64 = 30_000;
/// Part of its limit from which on a team counts as being at it.
const AT_LIMIT: f64 = 0.5;

mod allocation;
mod describe;
mod epoch_transaction;
mod expected_releases;
mod gang_scheduling;
mod grant_records;
mod importance;
mod machine_speed;
mod plans;
mod quotas;
mod scaling;
mod standby_decisions;
mod starvation;

use allocation::EpochAllocation;
use machine_speed::Speed;
use scaling::SCALING_PERIOD_MS;
use starvation::STARVED_WEIGHT;

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
    recorded: Vec<(JobId, TaskRanges)>,
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
    recorded: FxHashMap<JobId, TaskRanges>,
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
    /// Begins a term. `before` is the same leader's state in its last term, if it led: what it
    /// knows of machines and the market stays, what it knows of tasks does not.
    pub fn begin(cluster: &ClusterView<'_>, term: Term, mut before: Option<Leader>) -> Self {
        let replica = cluster.replica;
        let old_fleet = before.as_mut().map(|l| {
            // Whoever led meanwhile may have returned machines and rented others.
            std::mem::replace(&mut l.fleet, Fleet::begin(cluster, None))
        });
        let mut recorded: FxHashMap<JobId, TaskRanges> = FxHashMap::default();
        for (job, ranges) in replica.epochs.values().flat_map(|epoch| &epoch.value.granted) {
            recorded.entry(*job).or_default().extend(ranges.iter());
        }
        let mut leader = Leader {
            term,
            began: cluster.now,
            seq: PlanSeq(0),
            fleet: Fleet::begin(cluster, old_fleet),
            granted: BTreeMap::new(),
            revoked: FxHashMap::default(),
            attempts: AttemptAllocator::new(term, LEADER_ATTEMPTS_NODE),
            unresolved: replica.unfinished_granted_tasks(),
            recorded,
            duplicated: FxHashSet::default(),
            ahead: FxHashSet::default(),
            bodies: BTreeMap::new(),
            job_statuses_sent: MonotonicTime(0),
            renew_term: None,
            rebalanced: MonotonicTime(0),
            market: MarketState::default(),
            wait_reasons: HashMap::new(),
            shares: BTreeMap::new(),
            runs: HashMap::new(),
            seen_running: FxHashMap::default(),
            job_runs: FxHashMap::default(),
            speeds: FxHashMap::default(),
            decision: autoscaler::ScalingDecision::default(),
            decided: None,
            machines_written: MonotonicTime(0),
            load_written: cluster.now,
            idle: FxHashMap::default(),
            gangs: FxHashMap::default(),
            pending_stops: BTreeMap::new(),
            reserved: Vec::new(),
            gang_images: FxHashMap::default(),
            spread_gangs: None,
        };
        if let Some(load) = &replica.load {
            leader.market.load = load.value.clone();
        }
        if let Some(old) = before {
            if old.term.0 + 1 == term.0 {
                // Nobody led in between, so what this leader never granted is nowhere.
                leader.unresolved.retain(|t| !old.ahead.contains(t));
                leader.ahead = old.ahead;
            }
            // The record in the store may lag behind what this very leader granted.
            let may_run = |t: &TaskId| replica.may_run(*t);
            leader.unresolved.extend(old.granted.keys().copied().filter(may_run));
            leader.unresolved.extend(old.revoked.keys().copied().filter(may_run));
            leader.unresolved.extend(old.unresolved.iter().copied().filter(may_run));
            leader.rebalanced = old.rebalanced;
            leader.market = old.market;
            leader.runs = old.runs;
            leader.speeds = old.speeds;
            leader.gang_images = old.gang_images;
        }
        leader
    }

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

    /// Frees grants that were taken back, once their part follows a plan without them and
    /// does not hold the task.
    fn free_revoked(&mut self, node: NodeId, applied_plan: PlanSeq) {
        let fleet = &self.fleet;
        let held: FxHashSet<TaskId> = fleet
            .views()
            .filter(|m| fleet.owners.get(&m.id).is_some_and(|o| o.0 == node))
            .flat_map(|m| m.tasks.iter().map(|t| t.task))
            .collect();
        self.revoked.retain(|t, r| r.node != node || applied_plan < r.seq || held.contains(t));
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

    /// Frees what is proven not to run, and takes back grants that were not used.
    fn reconcile(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
    ) {
        let now = cluster.now;
        let replica = cluster.replica;
        self.unresolved.retain(|t| replica.may_run(*t) && !on_machines.contains_key(t));
        if fleet.unreconciled.is_empty() && !self.unresolved.is_empty() {
            let (term, tasks, evidence) = (self.term, self.unresolved.len(), fleet.evidence());
            tracing::info!(%term, tasks, %evidence, "proven not to run");
            for task in self.unresolved.drain() {
                tracing::debug!(%task, %term, "proven not to run");
            }
        }
        self.granted.retain(|t, _| replica.may_run(*t));
        self.revoked.retain(|t, _| replica.may_run(*t));
        self.recorded.retain(|job, _| replica.jobs.contains_key(job));
        self.job_runs.retain(|job, _| replica.jobs.contains_key(job));
        self.ahead.retain(|t| replica.may_run(*t));
        let next = PlanSeq(self.seq.0 + 1);
        let unused_ms = cluster.settings.timing().unused_ms;
        let mut unused: Vec<TaskId> = Vec::new();
        for (t, g) in &mut self.granted {
            if on_machines.contains_key(t) {
                g.at = now;
            } else if now.since(g.at) > unused_ms {
                unused.push(*t);
            }
        }
        for t in unused {
            if let Some(g) = self.granted.remove(&t) {
                let r = RevokedGrant { node: g.node, seq: next, zone: g.zone };
                self.revoked.insert(t, r);
            }
        }
    }

    /// Logs tasks that two machines show, once each: a rule is about to break, or has.
    fn log_duplicated_tasks(&mut self, fleet: &Fleet, on_machines: &TasksOnMachines<'_>) {
        let duplicated = fleet.duplicated(on_machines);
        self.duplicated.retain(|task| duplicated.iter().any(|d| d.task == *task));
        for d in duplicated {
            if self.duplicated.insert(d.task) {
                let [first, second] = d.machines;
                tracing::error!(task = %d.task, %first, %second, term = %self.term, "on two machines");
            }
        }
    }

    /// Whether a task may be granted: it is proven to be nowhere.
    fn is_free(
        &self,
        cluster: &ClusterView<'_>,
        on_machines: &TasksOnMachines<'_>,
        t: TaskId,
    ) -> bool {
        cluster.replica.may_run(t)
            && !cluster.completed_tasks.get(&t.job).is_some_and(|f| f.tasks.contains(t.index))
            && !on_machines.contains_key(&t)
            && !self.granted.contains_key(&t)
            && !self.revoked.contains_key(&t)
            && !self.unresolved.contains(&t)
    }

    /// Tasks of each job that are on machines or granted, and those that may be anywhere.
    fn counts(&self, on_machines: &TasksOnMachines<'_>) -> FxHashMap<JobId, (u32, u32)> {
        let mut counts: FxHashMap<JobId, (u32, u32)> = FxHashMap::default();
        for t in on_machines.keys() {
            counts.entry(t.job).or_default().0 += 1;
        }
        let others = self.granted.keys().chain(self.revoked.keys());
        for t in others.filter(|t| !on_machines.contains_key(t)) {
            counts.entry(t.job).or_default().0 += 1;
        }
        for t in &self.unresolved {
            counts.entry(t.job).or_default().1 += 1;
        }
        counts
    }

    fn grant(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        mut allocation: EpochAllocation,
    ) -> EpochAllocation {
        let counts = std::mem::take(&mut allocation.counts);
        let failing: HashSet<JobId> =
            fleet.nodes.values().flat_map(|n| n.failing.iter().map(|j| JobId(*j))).collect();
        self.note_idle(cluster, &counts);
        let teams = cluster.settings.params.teams.iter().zip(&allocation.used);
        let at_limit: Vec<bool> = teams
            .map(|(t, used)| {
                t.core_limit().is_some_and(|l| used.0.amount() >= l.amount() * AT_LIMIT)
            })
            .collect();
        let demands = self.demands(cluster, &counts, &failing, &at_limit);
        // What waits for a place counts as held, so urgent work finds as much again beside it.
        let bounds = Bounds {
            held: allocation.targets.iter().fold(Cores(allocation.extra.0 * 2), |sum, r| {
                let total = cluster
                    .catalog
                    .get(&*r.machine_type)
                    .map_or(Cores(0), |f| Cores::offer(f.vcpus));
                Cores(sum.0 + if r.open { total.0 } else { 0 })
            }),
            teams: cluster.settings.params.teams.iter().map(|t| t.core_limit()).collect(),
        };
        let admission = admission::admit(&demands, &bounds);
        self.wait_reasons.clear();
        for job in &admission.waiting {
            self.wait_reasons.insert(*job, WaitReason::BelowWaterline);
        }
        let mut order: Vec<&Demand> =
            demands.iter().filter(|d| admission.shares.contains_key(&d.job)).collect();
        order.sort_by(|a, b| {
            (a.rank, !a.required)
                .cmp(&(b.rank, !b.required))
                .then(b.weight.total_cmp(&a.weight))
                .then(a.job.cmp(&b.job))
        });
        self.reserve_for_starved(cluster, &demands, &counts, &mut allocation);
        for d in order {
            let share = admission.shares.get(&d.job).copied().unwrap_or(0);
            let (held, unresolved) = counts.get(&d.job).copied().unwrap_or_default();
            let Some(job) = cluster.replica.jobs.get(&d.job) else {
                continue;
            };
            if unresolved > 0 {
                self.wait_reasons.insert(d.job, WaitReason::Unproven);
            }
            if failing.contains(&d.job) {
                self.wait_reasons.insert(d.job, WaitReason::Failing);
            }
            let more = share.saturating_sub(held) as usize;
            if share < d.max {
                self.wait_reasons.entry(d.job).or_insert(WaitReason::ForMachines);
            }
            if job.spec.kind == JobKind::Gang {
                self.grant_gang(
                    cluster,
                    fleet,
                    on_machines,
                    job,
                    d.team,
                    more,
                    held,
                    &mut allocation,
                );
            } else {
                // What has waited long needs a machine, as small places may never hold it.
                let ahead = d.weight < STARVED_WEIGHT;
                self.grant_job(
                    cluster,
                    fleet,
                    on_machines,
                    job,
                    d.team,
                    more,
                    ahead,
                    &mut allocation,
                );
            }
        }
        self.shares = admission.shares;
        allocation
    }
}

#[cfg(test)]
mod tests;
