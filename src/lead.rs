//! The leader's work: gather part summaries, admit, divide shares and task ranges over
//! parts, write the epoch, and only then hand out plans.
//!
//! A term begins with nothing granted. Whatever an earlier term granted and is not done may
//! be running ("limbo") until every machine that may hold it has reported with the new
//! token, and so refuses older orders, or is proven gone. Owners are fixed within a term;
//! losing a controller or moving a machine takes a new term of the same leader.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::admit::{self, Bounds, Curve, Demand};
use crate::capacity::{self, Held, Market, Offer, Want};
use crate::config::{NodeInfo, Settings};
use crate::fleet::{Fleet, OnMachines, Taken};
use crate::ledger::{self, EpochRecord, Job, Ledger, MachineGroup, MachineRecord};
use crate::model::{
    Attempt, Cores, JobId, LEADERS_ATTEMPTS, MachineId, NodeId, PlanSeq, Ranges, Session, Steady,
    TaskId, Term, Wall,
};
use crate::part::Finished;
use crate::peer::{Grant, Plan, PlanBody, Standing, Summary, Tell, Waits};
use crate::place::{self, Flavors, Need, Room};
use crate::term::Attempts;
use crate::wire::{self, Change, Guard, PieceStage, Shape, Txn, Urgency};

/// How much less each further task of a job is worth than the one before.
const FADE: f64 = 0.995;
/// How long a machine that is gone stays known, against late reports.
const TOMBSTONE_MS: u64 = 600_000;
/// Least time between two new terms that only balance the parts.
const REBALANCE_MS: u64 = 30_000;
/// Keys over which granted ranges are spread by job, so that an epoch rewrites few of them.
const GRANT_KEYS: u32 = 16;
/// How long a job waits at most before its first tasks go before others.
const STARVED_MS: u64 = 100_000;
/// The rank that it has until it has begun.
const STARVED_RANK: u32 = 2;
/// Importance per core that it has at least until then.
const STARVED_WEIGHT: f64 = 1_000.0;
/// Part of its tasks that it begins with.
const STARVED_PART: u32 = 8;
/// Most machines that are held back for such jobs at a time.
const STARVED_ROOMS: usize = 4;
/// Tasks of a job that are put on record before they are granted, so that
/// a job whose tasks are granted one by one is not written each time.
const RECORD_AHEAD: u32 = 8;
/// Most keys of machines that an epoch writes.
const MACHINE_KEYS: usize = 4;
/// Least time between two writes of machines.
const MACHINES_MS: u64 = 400;
/// Tasks of a job that must have completed before others are compared with them.
const COMPARED: u32 = 3;
/// How much longer than others tasks take on a slow machine, and how many must have shown it.
const SLOW_RATIO: f64 = 1.8;
const SLOW_TASKS: u32 = 4;
/// Time between two records of the load.
const LOAD_MS: u64 = 8_000;
/// Time between two decisions on what to rent and return.
const CAPACITY_MS: u64 = 1_000;
/// Longest time for which parts are not told how jobs stand.
const STANDINGS_MS: u64 = 1_000;

/// What the leader needs to see besides its own state.
pub struct Context<'a> {
    /// Now.
    pub now: Steady,
    /// Time of day.
    pub wall: Wall,
    /// The replica.
    pub ledger: &'a Ledger,
    /// When the replica was last known to be current.
    pub synced: Steady,
    /// Milliseconds for which the store has served this node without a break.
    pub served_for: u64,
    /// Machine types.
    pub flavors: &'a Flavors,
    /// Tasks that completed and are not on record yet.
    pub finished: &'a BTreeMap<JobId, Finished>,
    /// Settings.
    pub settings: &'a Settings,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
}

#[derive(Clone)]
struct Granted {
    node: NodeId,
    attempt: Option<Attempt>,
    at: Steady,
    zone: Option<String>,
}

struct Revoked {
    node: NodeId,
    seq: PlanSeq,
    zone: Option<String>,
}

/// What an epoch fills: teams' use of cores and accelerators, room on machines, and grants.
#[derive(Clone)]
struct Filling {
    used: Vec<(Cores, Cores)>,
    rooms: Vec<Room>,
    grants: Vec<(TaskId, Granted)>,
    /// How many tasks of each job are held, and how many may be running somewhere.
    counts: FxHashMap<JobId, (u32, u32)>,
}

/// One epoch's outcome, to be written before it is published.
#[derive(Default)]
pub struct Epoch {
    /// The transaction, unless nothing durable changes.
    pub txn: Option<Txn>,
    grants: Vec<(TaskId, Granted)>,
    /// What is on record of jobs' grants once the transaction is carried out, by key.
    recorded: Vec<(JobId, Ranges)>,
    /// Tasks that this adds to the record without granting them.
    ahead: Vec<TaskId>,
}

/// The leader's state in one term.
pub struct Lead {
    /// Its term.
    pub term: Term,
    began: Steady,
    seq: PlanSeq,
    /// The machines.
    pub fleet: Fleet,
    granted: BTreeMap<TaskId, Granted>,
    revoked: FxHashMap<TaskId, Revoked>,
    attempts: Attempts,
    limbo: FxHashSet<TaskId>,
    /// Grants on record, in the store.
    recorded: FxHashMap<JobId, Ranges>,
    /// Tasks on record that were never granted: this leader put them there ahead of time.
    ahead: FxHashSet<TaskId>,
    bodies: BTreeMap<NodeId, PlanBody>,
    told_standings: Steady,
    /// Set when a new term is needed, with the reason.
    pub renew_term: Option<&'static str>,
    rebalanced: Steady,
    /// What is remembered of the market.
    pub market: Market,
    waits: HashMap<JobId, Waits>,
    runs: HashMap<String, (f64, f64)>,
    seen_running: FxHashMap<TaskId, (Steady, MachineId)>,
    /// Seconds that a job's tasks ran in all, and their number.
    job_runs: FxHashMap<JobId, (f64, u32)>,
    speeds: FxHashMap<MachineId, Speed>,
    decision: capacity::Decision,
    decided: Option<Steady>,
    machines_written: Steady,
    load_written: Steady,
}

impl Epoch {
    /// Whether it grants nothing new.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}

impl Lead {
    /// Begins a term. `before` is the same leader's state in its last term, if it led: what it
    /// knows of machines and the market stays, what it knows of tasks does not.
    pub fn begin(ctx: &Context<'_>, term: Term, mut before: Option<Lead>) -> Self {
        let ledger = ctx.ledger;
        let old_fleet = before.as_mut().map(|l| {
            // Whoever led meanwhile may have returned machines and rented others.
            std::mem::replace(&mut l.fleet, Fleet::begin(ctx, None))
        });
        let mut recorded: FxHashMap<JobId, Ranges> = FxHashMap::default();
        for (job, ranges) in ledger.epochs.values().flat_map(|(r, _)| &r.granted) {
            recorded.entry(*job).or_default().extend(ranges.iter());
        }
        let mut lead = Lead {
            term,
            began: ctx.now,
            seq: PlanSeq(0),
            fleet: Fleet::begin(ctx, old_fleet),
            granted: BTreeMap::new(),
            revoked: FxHashMap::default(),
            attempts: Attempts::new(term, LEADERS_ATTEMPTS),
            limbo: ledger.granted_before(),
            recorded,
            ahead: FxHashSet::default(),
            bodies: BTreeMap::new(),
            told_standings: Steady(0),
            renew_term: None,
            rebalanced: Steady(0),
            market: Market::default(),
            waits: HashMap::new(),
            runs: HashMap::new(),
            seen_running: FxHashMap::default(),
            job_runs: FxHashMap::default(),
            speeds: FxHashMap::default(),
            decision: capacity::Decision::default(),
            decided: None,
            machines_written: Steady(0),
            load_written: ctx.now,
        };
        if let Some((load, _)) = &ledger.load {
            lead.market.load = load.clone();
        }
        if let Some(old) = before {
            if old.term.0 + 1 == term.0 {
                // Nobody led in between, so what this leader never granted is nowhere.
                lead.limbo.retain(|t| !old.ahead.contains(t));
                lead.ahead = old.ahead;
            }
            // The record in the store may lag behind what this very leader granted.
            let may_run = |t: &TaskId| ledger.may_run(*t);
            lead.limbo.extend(old.granted.keys().copied().filter(may_run));
            lead.limbo.extend(old.revoked.keys().copied().filter(may_run));
            lead.limbo.extend(old.limbo.iter().copied().filter(may_run));
            lead.rebalanced = old.rebalanced;
            lead.market = old.market;
            lead.runs = old.runs;
            lead.speeds = old.speeds;
        }
        lead
    }

    /// Takes a summary and returns the answer, and whether the summary tells anything that an
    /// epoch should look at soon.
    pub fn on_summary(&mut self, now: Steady, s: Summary) -> (Tell, bool) {
        if s.term != self.term {
            return (Tell::NotLeading(self.term), false);
        }
        let (node, followed) = (s.node, if s.more { PlanSeq(0) } else { s.followed });
        match self.fleet.on_summary(now, s) {
            Taken::NewLife => {
                self.renew_term.get_or_insert("a controller restarted");
                (Tell::NotLeading(self.term), true)
            }
            Taken::Late => (Tell::NotLeading(self.term), false),
            Taken::Gap => (Tell::SendWhole, false),
            Taken::Yes(changed) => {
                if !self.revoked.is_empty() {
                    self.free_revoked(node, followed);
                }
                let plan = self.plan_for(node, now);
                let tell = plan.map_or(Tell::NotLeading(self.term), |p| Tell::Plan(Box::new(p)));
                (tell, changed)
            }
        }
    }

    /// Frees grants that were taken back, once their part follows a plan without them and
    /// does not hold the task.
    fn free_revoked(&mut self, node: NodeId, followed: PlanSeq) {
        let fleet = &self.fleet;
        let held: FxHashSet<TaskId> = fleet
            .views()
            .filter(|m| fleet.owners.get(&m.id).is_some_and(|o| o.0 == node))
            .flat_map(|m| m.tasks.iter().map(|t| t.task))
            .collect();
        self.revoked.retain(|t, r| r.node != node || followed < r.seq || held.contains(t));
    }

    /// Works out an epoch. Nothing of it holds before [`publish`](Self::publish).
    pub fn epoch(&mut self, ctx: &Context<'_>) -> Epoch {
        self.fleet.follow_members(ctx);
        self.fleet.note_unheard(ctx.now, &ctx.settings.pace());
        self.check_nodes(ctx);
        self.fleet.assign(ctx, PlanSeq(self.seq.0 + 1));
        self.fleet.learn(ctx.now);
        self.fleet.silent_verdicts(ctx);
        // What is on machines borrows the fleet, which nothing below changes.
        let fleet = std::mem::replace(&mut self.fleet, Fleet::begin(ctx, None));
        let on = fleet.on_machines();
        self.learn(ctx, &on);
        self.settle(ctx, &on, fleet.unsettled.is_empty());
        let filling = Filling {
            used: self.team_use(ctx, &fleet, &on),
            rooms: self.rooms(ctx, &fleet, &on),
            grants: Vec::new(),
            counts: self.counts(&on),
        };
        let filling = self.grant(ctx, &fleet, &on, filling);
        let mut epoch = Epoch { grants: filling.grants, ..Epoch::default() };
        let due = self.decided.is_none_or(|at| ctx.now.since(at) >= CAPACITY_MS);
        if due {
            self.decided = Some(ctx.now);
            self.decide_capacity(ctx, &fleet, &on, &filling.rooms, &epoch);
        }
        drop(on);
        self.fleet = fleet;
        self.fleet.awaited = !self.limbo.is_empty();
        if due {
            self.drain_retired();
        }
        self.compose(ctx, &mut epoch);
        epoch
    }

    /// Asks for a new term when an owner is lost, machines cannot reach their owner, or the
    /// parts are out of balance.
    fn check_nodes(&mut self, ctx: &Context<'_>) {
        let now = ctx.now;
        if self.renew_term.is_some() {
            return;
        }
        self.renew_term = self.fleet.wants_new_term(now, ctx.served_for, &ctx.settings.pace());
        let calm = now.since(self.rebalanced.max(self.began)) > REBALANCE_MS;
        if self.renew_term.is_none() && calm && self.fleet.unsettled.is_empty() {
            let live = self.fleet.able(now);
            let owners = &self.fleet.owners;
            let idle = live.iter().any(|id| {
                owners.len() >= 2 * live.len()
                    && !owners.values().any(|(o, _)| o == id)
                    && owners.keys().any(|m| self.fleet.owner_for(ctx, m, &live) == Some(*id))
            });
            if idle {
                self.rebalanced = now;
                self.renew_term = Some("a controller came back and has no part");
            }
        }
    }

    /// The cloud confirmed that these machines and all on them are gone.
    pub fn machines_gone(&mut self, ids: &[MachineId]) {
        self.fleet.machines_gone(ids, PlanSeq(self.seq.0 + 1));
        self.speeds.retain(|id, _| !ids.contains(id));
    }

    /// Learns how long tasks run compared with their owners' estimates.
    fn learn(&mut self, ctx: &Context<'_>, on: &OnMachines<'_>) {
        let now = ctx.now;
        for (t, (began, machine)) in &self.seen_running {
            if on.get(t).is_some_and(|s| s.stage == PieceStage::Running) {
                continue;
            }
            // It may have completed without being on record yet.
            let heard = ctx.finished.get(&t.job).is_some_and(|f| f.tasks.contains(t.index));
            let done = |j: &&Job| heard || j.is_done(t.index);
            let Some(job) = ctx.ledger.jobs.get(&t.job).filter(done) else {
                continue;
            };
            let took = now.since(*began) as f64 / 1000.0;
            let known = self.job_runs.entry(t.job).or_default();
            if known.1 >= COMPARED {
                let speed = self.speeds.entry(machine.clone()).or_default();
                speed.note(took / (known.0 / f64::from(known.1)).max(0.1));
            }
            *known = (known.0 + took, known.1 + 1);
            if !self.runs.contains_key(&job.spec.lane) {
                self.runs.insert(job.spec.lane.clone(), (0.0, 0.0));
            }
            if let Some(entry) = self.runs.get_mut(&job.spec.lane) {
                entry.0 = entry.0 * 0.97 + took;
                entry.1 = entry.1 * 0.97 + job.spec.guess_s.max(0.1);
            }
        }
        let mut running = FxHashMap::default();
        for (t, s) in on.iter().filter(|(_, s)| s.stage == PieceStage::Running) {
            let seen = self.seen_running.get(t).filter(|(_, m)| *m == s.machine.id).cloned();
            running.insert(*t, seen.unwrap_or_else(|| (now, s.machine.id.clone())));
        }
        self.seen_running = running;
    }

    /// A task's expected run time: the owner's estimate, corrected by how its class's
    /// estimates turned out so far.
    fn run_s(&self, job: &Job) -> f64 {
        let ratio = self.runs.get(&job.spec.lane).filter(|r| r.1 > 0.0).map_or(1.0, |r| r.0 / r.1);
        job.spec.guess_s.max(1.0) * ratio.clamp(0.3, 3.0)
    }

    /// Frees what is proven not to run, and takes back grants that were not used.
    fn settle(&mut self, ctx: &Context<'_>, on: &OnMachines<'_>, all_settled: bool) {
        let now = ctx.now;
        let ledger = ctx.ledger;
        self.limbo.retain(|t| ledger.may_run(*t) && !on.contains_key(t));
        if all_settled && !self.limbo.is_empty() {
            tracing::info!(term = %self.term, tasks = self.limbo.len(), "proven not to run");
            self.limbo.clear();
        }
        self.granted.retain(|t, _| ledger.may_run(*t));
        self.revoked.retain(|t, _| ledger.may_run(*t));
        self.recorded.retain(|job, _| ledger.jobs.contains_key(job));
        self.job_runs.retain(|job, _| ledger.jobs.contains_key(job));
        self.ahead.retain(|t| ledger.may_run(*t));
        let next = PlanSeq(self.seq.0 + 1);
        let unused_ms = ctx.settings.pace().unused_ms;
        let mut unused: Vec<TaskId> = Vec::new();
        for (t, g) in &mut self.granted {
            if on.contains_key(t) {
                g.at = now;
            } else if now.since(g.at) > unused_ms {
                unused.push(*t);
            }
        }
        for t in unused {
            if let Some(g) = self.granted.remove(&t) {
                let r = Revoked { node: g.node, seq: next, zone: g.zone };
                self.revoked.insert(t, r);
            }
        }
    }

    /// Machines as placement sees them, with grants under way counted in where their parts
    /// would place them.
    fn rooms(&self, ctx: &Context<'_>, fleet: &Fleet, on: &OnMachines<'_>) -> Vec<Room> {
        let mut rooms = fleet.rooms(ctx);
        for room in &mut rooms {
            room.slow = self.speeds.get(&room.id).is_some_and(Speed::is_slow);
        }
        let owner = |r: &Room| fleet.owners.get(&r.id).map(|o| o.0);
        let mut under_way: BTreeMap<(NodeId, JobId, Option<&str>), usize> = BTreeMap::new();
        for (t, g) in self.granted.iter().filter(|(t, _)| !on.contains_key(t)) {
            *under_way.entry((g.node, t.job, g.zone.as_deref())).or_default() += 1;
        }
        for ((node, job, zone), count) in under_way {
            let Some(job) = ctx.ledger.jobs.get(&job) else { continue };
            // Rooms come part by part.
            let first = rooms.iter().position(|r| owner(r) == Some(node)).unwrap_or(rooms.len());
            let len = rooms[first..].iter().take_while(|r| owner(r) == Some(node)).count();
            let part = &mut rooms[first..first + len];
            place::spread(&job.spec, &Need::of(&job.spec), part, zone, count);
        }
        rooms
    }

    /// Whether a task may be granted: it is proven to be nowhere.
    fn is_free(&self, ctx: &Context<'_>, on: &OnMachines<'_>, t: TaskId) -> bool {
        ctx.ledger.may_run(t)
            && !ctx.finished.get(&t.job).is_some_and(|f| f.tasks.contains(t.index))
            && !on.contains_key(&t)
            && !self.granted.contains_key(&t)
            && !self.revoked.contains_key(&t)
            && !self.limbo.contains(&t)
    }

    /// Tasks of each job that are on machines or granted, and those that may be anywhere.
    fn counts(&self, on: &OnMachines<'_>) -> FxHashMap<JobId, (u32, u32)> {
        let mut counts: FxHashMap<JobId, (u32, u32)> = FxHashMap::default();
        for t in on.keys() {
            counts.entry(t.job).or_default().0 += 1;
        }
        let others = self.granted.keys().chain(self.revoked.keys());
        for t in others.filter(|t| !on.contains_key(t)) {
            counts.entry(t.job).or_default().0 += 1;
        }
        for t in &self.limbo {
            counts.entry(t.job).or_default().1 += 1;
        }
        counts
    }

    /// Cores that each team may be using.
    fn team_use(
        &self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        on: &OnMachines<'_>,
    ) -> Vec<(Cores, Cores)> {
        let teams = &ctx.settings.params.teams;
        let mut used = vec![(Cores(0), Cores(0)); teams.len()];
        let index: FxHashMap<&str, usize> =
            teams.iter().enumerate().map(|(i, t)| (t.name.as_str(), i)).collect();
        let add = |used: &mut Vec<(Cores, Cores)>, owner: &str, need: &Need, tasks: u64| {
            if let Some(u) = index.get(owner).and_then(|i| used.get_mut(*i)) {
                u.0.0 += need.cores.0 * tasks;
                u.1.0 += need.accelerators.0 * tasks;
            }
        };
        let mut strange: BTreeSet<&MachineId> = BTreeSet::new();
        let mut by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for (t, seen) in on {
            // Tasks of jobs that have ended still use cores until they are gone.
            if !ctx.ledger.jobs.contains_key(&t.job) && !ctx.ledger.withdrawn.contains_key(&t.job) {
                strange.insert(&seen.machine.id);
            }
            *by_job.entry(t.job).or_default() += 1;
        }
        let others = self.granted.keys().chain(self.revoked.keys());
        for t in others.filter(|t| !on.contains_key(t)) {
            *by_job.entry(t.job).or_default() += 1;
        }
        for (job, tasks) in by_job {
            if let Some(j) = ctx.ledger.jobs.get(&job) {
                add(&mut used, &j.spec.owner, &Need::of(&j.spec), tasks);
            } else if let Some(w) = ctx.ledger.withdrawn.get(&job) {
                add(&mut used, &w.owner, &w.need, tasks);
            }
        }
        // Machines whose tasks belong to nobody known count in full for every team.
        let offered = |id: &MachineId| {
            let hull = &fleet.machines.get(id)?.offer.hull;
            ctx.flavors.get(hull).map(Need::offered)
        };
        for need in strange.into_iter().filter_map(offered) {
            for u in &mut used {
                u.0.0 += need.cores.0;
                u.1.0 += need.accelerators.0;
            }
        }
        self.add_unsettled(ctx, fleet, &index, &mut used);
        used
    }

    /// Adds what may be on machines that have not reported in this term: no more than they
    /// hold, and of a team no more than the tasks it may have there, which are those in limbo
    /// and those of its cancelled jobs.
    fn add_unsettled(
        &self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        index: &FxHashMap<&str, usize>,
        used: &mut [(Cores, Cores)],
    ) {
        let mut held = Need::default();
        for id in &fleet.unsettled {
            let hull = fleet.machines.get(id).map(|m| &m.offer.hull);
            if let Some(f) = hull.and_then(|h| ctx.flavors.get(h)) {
                let offered = Need::offered(f);
                held.cores.0 += offered.cores.0;
                held.accelerators.0 += offered.accelerators.0;
            }
        }
        if held.cores.0 == 0 && held.accelerators.0 == 0 {
            return;
        }
        let mut may: Vec<Need> = vec![Need::default(); used.len()];
        let mut add = |owner: &str, need: &Need, tasks: u64| {
            if let Some(m) = index.get(owner).and_then(|i| may.get_mut(*i)) {
                m.cores.0 += need.cores.0 * tasks;
                m.accelerators.0 += need.accelerators.0 * tasks;
            }
        };
        let mut by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for t in &self.limbo {
            *by_job.entry(t.job).or_default() += 1;
        }
        for (job, tasks) in by_job {
            if let Some(j) = ctx.ledger.jobs.get(&job) {
                add(&j.spec.owner, &Need::of(&j.spec), tasks);
            }
        }
        for w in ctx.ledger.withdrawn.values() {
            add(&w.owner, &w.need, u64::from(w.left));
        }
        let all = ctx.ledger.withdrawn_forgotten;
        for (u, m) in used.iter_mut().zip(may) {
            u.0.0 += if all { held.cores.0 } else { held.cores.0.min(m.cores.0) };
            u.1.0 +=
                if all { held.accelerators.0 } else { held.accelerators.0.min(m.accelerators.0) };
        }
    }

    fn grant(
        &mut self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        on: &OnMachines<'_>,
        mut filling: Filling,
    ) -> Filling {
        let counts = std::mem::take(&mut filling.counts);
        let failing: HashSet<JobId> =
            fleet.nodes.values().flat_map(|n| n.failing.iter().map(|j| JobId(*j))).collect();
        let demands = self.demands(ctx, &counts, &failing);
        let bounds = Bounds {
            held: filling.rooms.iter().fold(Cores(0), |sum, r| {
                let total = ctx.flavors.get(&*r.hull).map_or(Cores(0), |f| Cores::offer(f.vcpus));
                Cores(sum.0 + if r.open { total.0 } else { 0 })
            }),
            teams: ctx.settings.params.teams.iter().map(|t| t.core_limit()).collect(),
        };
        let admission = admit::admit(&demands, &bounds);
        self.waits.clear();
        for job in &admission.waiting {
            self.waits.insert(*job, Waits::BelowWaterline);
        }
        let mut order: Vec<&Demand> =
            demands.iter().filter(|d| admission.shares.contains_key(&d.job)).collect();
        order.sort_by(|a, b| {
            (a.rank, !a.required)
                .cmp(&(b.rank, !b.required))
                .then(b.weight.total_cmp(&a.weight))
                .then(a.job.cmp(&b.job))
        });
        self.hold_back(ctx, &demands, &counts, &mut filling);
        for d in order {
            let share = admission.shares.get(&d.job).copied().unwrap_or(0);
            let (held, limbo) = counts.get(&d.job).copied().unwrap_or_default();
            let Some(job) = ctx.ledger.jobs.get(&d.job) else {
                continue;
            };
            if limbo > 0 {
                self.waits.insert(d.job, Waits::Unproven);
            }
            if failing.contains(&d.job) {
                self.waits.insert(d.job, Waits::Failing);
            }
            let more = share.saturating_sub(held) as usize;
            if share < d.max {
                self.waits.entry(d.job).or_insert(Waits::ForMachines);
            }
            if job.spec.shape == Shape::Gang {
                filling = self.grant_gang(ctx, fleet, on, job, d.team, more, filling);
            } else {
                self.grant_job(ctx, fleet, on, job, d.team, more, &mut filling);
            }
        }
        filling
    }

    /// Keeps machines from others that jobs need which have waited long and fit nowhere: else
    /// small tasks would take every core that a large one waits for.
    fn hold_back(
        &self,
        ctx: &Context<'_>,
        demands: &[Demand],
        counts: &FxHashMap<JobId, (u32, u32)>,
        filling: &mut Filling,
    ) {
        let mut held = 0;
        for d in demands {
            let Some(job) = ctx.ledger.jobs.get(&d.job) else { continue };
            let need = Need::of(&job.spec);
            let running = counts.get(&d.job).map_or(0, |c| c.0);
            if held >= STARVED_ROOMS
                || !starved(ctx, job, running)
                || filling.rooms.iter().any(|r| r.takes(&job.spec, &need, None))
            {
                continue;
            }
            let could = |r: &Room| {
                let offered = ctx.flavors.get(&*r.hull).map(Need::offered);
                r.open
                    && offered.is_some_and(|o| need.fits(&o))
                    && place::allowed(&job.spec, &r.hull, &r.zone, r.spot)
            };
            let best = (0..filling.rooms.len())
                .filter(|&i| could(&filling.rooms[i]))
                .max_by_key(|&i| filling.rooms[i].free.cores);
            if let Some(i) = best {
                filling.rooms[i].open = false;
                held += 1;
            }
        }
    }

    /// Grants a gang whole or not at all.
    #[allow(clippy::too_many_arguments)]
    fn grant_gang(
        &mut self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        on: &OnMachines<'_>,
        job: &Job,
        team: usize,
        more: usize,
        filling: Filling,
    ) -> Filling {
        if more < job.remaining() as usize {
            return filling;
        }
        let before = filling.grants.len();
        let mut tried = filling.clone();
        self.grant_job(ctx, fleet, on, job, team, more, &mut tried);
        if tried.grants.len() - before < more {
            self.waits.entry(job.spec.r#ref).or_insert(Waits::ForMachines);
            return filling;
        }
        // The tasks of a gang know each other by their attempt.
        let attempt = self.attempts.give();
        for (_, g) in &mut tried.grants[before..] {
            g.attempt = Some(attempt);
        }
        tried
    }

    /// Grants up to `more` tasks of a job, as far as its team's limit, its zones and the
    /// machines allow.
    #[allow(clippy::too_many_arguments)]
    fn grant_job(
        &mut self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        on: &OnMachines<'_>,
        job: &Job,
        team: usize,
        more: usize,
        filling: &mut Filling,
    ) {
        let id = job.spec.r#ref;
        let need = Need::of(&job.spec);
        if more == 0 || !filling.rooms.iter().any(|r| r.takes(&job.spec, &need, None)) {
            return;
        }
        let fits = self.within_limit(ctx, team, &need, filling);
        if fits < more {
            self.waits.insert(id, Waits::TeamLimit);
        }
        let free: Vec<TaskId> = (0..job.spec.pieces)
            .map(|index| TaskId { job: id, index })
            .filter(|t| self.is_free(ctx, on, *t))
            .take(more.min(fits))
            .collect();
        let mut zones = ZoneRule::of(&job.spec);
        let mut chosen: Vec<usize> = Vec::new();
        if zones.binds() {
            if self.limbo.iter().any(|t| t.job == id) {
                return; // Where the others are is not known.
            }
            self.count_zones(id, on, &mut zones);
            while chosen.len() < free.len() {
                let open = zones.open(&ctx.settings.params.zones);
                let Some(i) = open.iter().find_map(|zone| {
                    place::choose(&job.spec, &need, &filling.rooms, Some(zone.as_str()))
                }) else {
                    break;
                };
                filling.rooms[i].add(&job.spec, &need);
                zones.count(&filling.rooms[i].zone);
                chosen.push(i);
            }
        } else {
            chosen = place::spread(&job.spec, &need, &mut filling.rooms, None, free.len());
        }
        for (task, i) in free.into_iter().zip(chosen) {
            let room = &filling.rooms[i];
            let Some((node, _)) = fleet.owners.get(&room.id).copied() else { continue };
            let zone = zones.binds().then(|| room.zone.to_string());
            if let Some(u) = filling.used.get_mut(team) {
                u.0.0 += need.cores.0;
                u.1.0 += need.accelerators.0;
            }
            filling.grants.push((task, Granted { node, attempt: None, at: ctx.now, zone }));
        }
    }

    /// How many more such tasks a team's limit allows.
    fn within_limit(&self, ctx: &Context<'_>, team: usize, need: &Need, f: &Filling) -> usize {
        let Some(limits) = ctx.settings.params.teams.get(team) else { return usize::MAX };
        let used = f.used.get(team).copied().unwrap_or_default();
        let left = |limit: Option<Cores>, used: Cores, each: Cores| {
            let most = limit.map(|l| l.less(used).0.checked_div(each.0).unwrap_or(u64::MAX));
            most.unwrap_or(u64::MAX)
        };
        let cores = left(limits.core_limit(), used.0, need.cores);
        let accelerators = left(limits.accelerator_limit(), used.1, need.accelerators);
        cores.min(accelerators).try_into().unwrap_or(usize::MAX)
    }

    /// Counts where a job's tasks are by zone.
    fn count_zones(&self, id: JobId, on: &OnMachines<'_>, zones: &mut ZoneRule) {
        for (_, s) in on.iter().filter(|(t, _)| t.job == id) {
            zones.count(&s.machine.zone);
        }
        let granted = self.granted.iter().map(|(t, g)| (t, &g.zone));
        let revoked = self.revoked.iter().map(|(t, r)| (t, &r.zone));
        for (t, zone) in granted.chain(revoked) {
            if t.job == id
                && !on.contains_key(t)
                && let Some(z) = zone
            {
                zones.count(z);
            }
        }
    }

    /// What every unfinished job asks of admission.
    fn demands(
        &self,
        ctx: &Context<'_>,
        counts: &FxHashMap<JobId, (u32, u32)>,
        failing: &HashSet<JobId>,
    ) -> Vec<Demand> {
        let required = within_guarantees(ctx);
        let ranks: HashMap<JobId, u32> =
            ctx.ledger.jobs.iter().map(|(id, j)| (*id, rank(j.spec.urgency))).collect();
        let ranks = admit::revised_ranks(&ranks, &[]);
        let teams = ctx.settings.params.teams.iter().enumerate();
        let teams: FxHashMap<&str, usize> = teams.map(|(i, t)| (t.name.as_str(), i)).collect();
        let mut demands = Vec::with_capacity(ctx.ledger.jobs.len());
        for (id, job) in &ctx.ledger.jobs {
            let (held, limbo) = counts.get(id).copied().unwrap_or_default();
            let runnable = job.remaining().saturating_sub(held + limbo);
            let Some(team) = teams.get(job.spec.owner.as_str()).copied() else {
                continue;
            };
            // A job that fails everywhere keeps the value it would have, but only one task
            // tries.
            let tries = if failing.contains(id) { runnable.min(1) } else { runnable };
            let mut rank = ranks.get(id).copied().unwrap_or(u32::MAX);
            let mut weight = weight(ctx, job, self.run_s(job), required.contains(id));
            let mut tries = tries;
            let starved = starved(ctx, job, held);
            if starved && job.spec.shape != Shape::Gang {
                // Nobody waits without bound: it begins with a few tasks before others go on.
                rank = rank.min(STARVED_RANK);
                weight = weight.max(STARVED_WEIGHT);
                tries = tries.min(job.spec.pieces.div_ceil(STARVED_PART));
            }
            demands.push(Demand {
                job: *id,
                rank,
                weight,
                curve: match job.spec.shape {
                    Shape::Gang => Curve::Step,
                    Shape::Sweep | Shape::Service => Curve::Concave { fade: FADE },
                },
                team,
                cores: Need::of(&job.spec).cores,
                min: held,
                max: held + tries,
                required: starved || required.contains(id),
            });
        }
        demands
    }

    fn decide_capacity(
        &mut self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        on: &OnMachines<'_>,
        rooms: &[Room],
        epoch: &Epoch,
    ) {
        let now = ctx.now;
        let granting: FxHashSet<TaskId> = epoch.grants.iter().map(|g| g.0).collect();
        let mut wants: Vec<Want<'_>> = Vec::new();
        let (mut brief_cores, mut urgent, mut long) = (Cores(0), Cores(0), Cores(0));
        let mut team_room: HashMap<&str, u64> = HashMap::new();
        for t in &ctx.settings.params.teams {
            let limit = t.core_limit().map_or(u64::MAX, |c| c.0);
            team_room.insert(&t.name, limit);
        }
        let mut held: FxHashMap<JobId, u32> = FxHashMap::default();
        let others = self.granted.keys().chain(granting.iter());
        for t in on.keys().chain(others.filter(|t| !on.contains_key(t))) {
            *held.entry(t.job).or_default() += 1;
        }
        let mut jobs: Vec<&Job> = ctx.ledger.jobs.values().collect();
        jobs.sort_by_key(|j| (j.spec.urgency, j.at, j.spec.r#ref));
        for job in jobs {
            let need = Need::of(&job.spec);
            let room = team_room.get_mut(job.spec.owner.as_str());
            let can = room.as_ref().map_or(0, |r| **r / need.cores.0.max(1));
            let wanted = u64::from(job.remaining()).min(can) as u32;
            if let Some(r) = room {
                *r = r.saturating_sub(need.cores.0 * u64::from(wanted));
            }
            let run_s = self.run_s(job);
            let brief = capacity::is_brief(ctx.flavors, &job.spec, run_s);
            if brief && (ctx.wall.0.saturating_sub(job.at.0) as f64) < run_s * 1000.0 {
                let cores = need.cores.0 * u64::from(job.spec.pieces).min(can);
                brief_cores.0 += cores;
                urgent.0 += if job.spec.urgency <= Urgency::High { cores } else { 0 };
            }
            let running = held.get(&job.spec.r#ref).copied().unwrap_or(0);
            if !brief {
                long.0 += need.cores.0 * u64::from(running);
            }
            wants.push(Want {
                spec: &job.spec,
                tasks: wanted.saturating_sub(running),
                running,
                run_s,
                brief,
            });
        }
        self.market.note(now, brief_cores, urgent, long);
        let free: HashMap<&MachineId, &Room> = rooms.iter().map(|r| (&r.id, r)).collect();
        let machines: Vec<Held> = fleet
            .machines
            .iter()
            .map(|(id, m)| {
                let offered = ctx.flavors.get(&m.offer.hull).map(Need::offered).unwrap_or_default();
                let room = free.get(id);
                Held {
                    id: id.clone(),
                    offer: m.offer.clone(),
                    booting: !m.up,
                    age_s: now.since(m.since) as f64 / 1000.0,
                    free: room.map_or(offered, |r| r.free),
                    idle_s: now.since(m.busy) as f64 / 1000.0,
                    leaving: m.draining.is_some()
                        || m.failed
                        || (m.up && room.is_none_or(|r| !r.open)),
                }
            })
            .collect();
        self.decision = capacity::decide(now, ctx.flavors, &machines, &wants, &self.market);
        self.market.note_spare(now, self.decision.spare);
    }

    /// Drains the machines that are to be returned.
    fn drain_retired(&mut self) {
        let next = PlanSeq(self.seq.0 + 1);
        for id in &self.decision.retire {
            if let Some(m) = self.fleet.machines.get_mut(id).filter(|m| m.draining.is_none()) {
                tracing::info!(machine = %id, "draining an idle machine");
                m.draining = Some(next);
            }
        }
    }

    /// What to rent now. Asked once per decision, so that nothing is rented twice.
    pub fn to_rent(&mut self) -> Vec<(Offer, u32)> {
        std::mem::take(&mut self.decision.rent)
    }

    /// Forgets what was decided to be rented before the last rentals were known.
    pub fn decide_anew(&mut self) {
        if !self.decision.rent.is_empty() {
            self.decision.rent.clear();
            self.decided = None;
        }
    }

    /// Writes the transaction that has to be carried out before the epoch holds.
    fn compose(&mut self, ctx: &Context<'_>, epoch: &mut Epoch) {
        let ops = ctx.settings.params.state.txn_ops;
        let mut apply = Vec::new();
        self.record_grants(ctx, epoch, &mut apply);
        if ctx.now.since(self.machines_written) >= MACHINES_MS || !apply.is_empty() {
            let before = apply.len();
            self.machine_changes(ctx, ops, &mut apply);
            if apply.len() > before {
                self.machines_written = ctx.now;
            }
        }
        if ctx.now.since(self.load_written) >= LOAD_MS && apply.len() + 1 < ops {
            self.load_written = ctx.now;
            apply.push(Change::Set {
                path: ledger::LOAD_KEY.into(),
                value: wire::to_value(&self.market.load),
                lease: None,
            });
        }
        if !apply.is_empty() {
            let mut guards: Vec<Guard> = ctx.ledger.lead_guard().into_iter().collect();
            guards.extend(apply.iter().map(|c| ctx.ledger.unchanged(c.path())));
            epoch.txn = Some(Txn { guards, apply });
        }
    }

    /// Puts granted tasks on record that are not there yet, some of each job ahead of time.
    /// What does not fit into the transaction or a key is granted later.
    fn record_grants(&mut self, ctx: &Context<'_>, epoch: &mut Epoch, apply: &mut Vec<Change>) {
        let limits = &ctx.settings.params.state;
        let fill = (limits.value_kb * 1024.0 * 0.8) as usize;
        let most = limits.txn_ops.saturating_sub(1 + MACHINE_KEYS).max(1);
        let mut wider: BTreeMap<JobId, Ranges> = BTreeMap::new();
        for (t, _) in &epoch.grants {
            let known = self.recorded.get(&t.job);
            let wide = wider.get(&t.job).or(known).is_some_and(|r| r.contains(t.index));
            if wide {
                continue;
            }
            let pieces = ctx.ledger.jobs.get(&t.job).map_or(t.index + 1, |j| j.spec.pieces);
            let ranges = wider.entry(t.job).or_insert_with(|| known.cloned().unwrap_or_default());
            // Tasks are granted from the first on, so what comes next is known.
            let until = (t.index + 1 + RECORD_AHEAD).min(pieces);
            ranges.extend(t.index..until);
        }
        let mut keys: BTreeSet<u32> = BTreeSet::new();
        let mut refused: FxHashSet<JobId> = FxHashSet::default();
        for job in wider.keys() {
            let key = grant_key(*job);
            if !keys.contains(&key) && keys.len() >= most {
                refused.insert(*job);
            } else {
                keys.insert(key);
            }
        }
        for key in keys {
            let mut granted: Vec<(JobId, Ranges)> = Vec::new();
            let mut size = 64;
            let known = self.recorded.iter().filter(|(job, _)| !wider.contains_key(job));
            let all = known.chain(wider.iter()).filter(|(job, _)| grant_key(**job) == key);
            for (job, ranges) in all {
                size += 24 + ranges.spans().len() * 12;
                let is_new = wider.contains_key(job);
                if size > fill && is_new {
                    refused.insert(*job);
                    if let Some(old) = self.recorded.get(job) {
                        granted.push((*job, old.clone()));
                    }
                    continue;
                }
                granted.push((*job, ranges.clone()));
            }
            let record = EpochRecord { term: self.term, granted };
            apply.push(Change::Set {
                path: ledger::epoch_key(key),
                value: wire::to_value(&record),
                lease: None,
            });
        }
        if !refused.is_empty() {
            tracing::info!(jobs = refused.len(), "grants wait for room in the record");
            let known = &self.recorded;
            epoch.grants.retain(|(t, _)| {
                !refused.contains(&t.job) || known.get(&t.job).is_some_and(|r| r.contains(t.index))
            });
        }
        let granting: FxHashSet<TaskId> = epoch.grants.iter().map(|g| g.0).collect();
        for (job, ranges) in wider.into_iter().filter(|(job, _)| !refused.contains(job)) {
            let known = self.recorded.get(&job);
            let added = ranges.iter().filter(|i| known.is_none_or(|r| !r.contains(*i)));
            let added = added.map(|index| TaskId { job, index });
            epoch.ahead.extend(added.filter(|t| !granting.contains(t)));
            epoch.recorded.push((job, ranges));
        }
    }

    /// Machines become durable before anything can start on them, and stay as tombstones for
    /// a while once they are gone. They are written in groups.
    fn machine_changes(&self, ctx: &Context<'_>, ops: usize, apply: &mut Vec<Change>) {
        let known = &ctx.ledger.machines;
        let mut groups: BTreeSet<u32> = BTreeSet::new();
        let mut note = |id: &MachineId| {
            if groups.len() < MACHINE_KEYS {
                groups.insert(ledger::machine_group(id));
            }
        };
        let up = |m: &crate::fleet::FleetMachine, id: &MachineId| {
            m.up && known.get(id).is_none_or(|k| !k.up && k.gone.is_none())
        };
        let fleet = &self.fleet;
        fleet.machines.iter().filter(|(id, m)| up(m, id)).for_each(|(id, _)| note(id));
        let died = |id: &MachineId, m: &MachineRecord| m.gone.is_none() && fleet.gone.contains(id);
        let over = |m: &MachineRecord| {
            m.gone.is_some_and(|at| ctx.wall.0.saturating_sub(at.0) > TOMBSTONE_MS)
        };
        known.iter().filter(|(id, m)| died(id, m) || over(m)).for_each(|(id, _)| note(id));
        for group in groups {
            if apply.len() + 1 >= ops {
                return;
            }
            let mut machines: BTreeMap<MachineId, MachineRecord> = BTreeMap::new();
            for (id, m) in
                known.iter().filter(|(id, m)| ledger::machine_group(id) == group && !over(m))
            {
                let gone = m.gone.or_else(|| died(id, m).then_some(ctx.wall));
                machines.insert(id.clone(), MachineRecord { gone, ..m.clone() });
            }
            for (id, m) in &fleet.machines {
                if ledger::machine_group(id) == group && up(m, id) {
                    let record = MachineRecord {
                        hull: m.offer.hull.clone(),
                        zone: m.offer.zone.clone(),
                        spot: m.offer.spot,
                        up: true,
                        gone: None,
                        endpoint: m.endpoint.to_string(),
                    };
                    machines.insert(id.clone(), record);
                }
            }
            // An empty group stays: the version of its key tells late writes from new ones.
            let path = ledger::machine_key(group);
            let machines = machines.into_iter().collect();
            let value = wire::to_value(&MachineGroup { machines });
            apply.push(Change::Set { path, value, lease: None });
        }
    }

    /// Makes an epoch hold, once its transaction is known to be carried out.
    pub fn publish(&mut self, ctx: &Context<'_>, epoch: Epoch) {
        self.recorded.extend(epoch.recorded);
        self.ahead.extend(epoch.ahead);
        for (task, g) in epoch.grants {
            self.ahead.remove(&task);
            self.granted.insert(task, Granted { at: ctx.now, ..g });
        }
        let drain: Vec<MachineId> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.draining.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        let lapsed: Vec<(MachineId, Session)> =
            self.fleet.lapsed.iter().map(|(id, s)| (id.clone(), *s)).collect();
        let mut slow: Vec<MachineId> =
            self.speeds.iter().filter(|(_, s)| s.is_slow()).map(|(id, _)| id.clone()).collect();
        slow.sort();
        type Alike<'a> = (JobId, Option<&'a str>, Option<Attempt>);
        let mut grants: BTreeMap<NodeId, BTreeMap<Alike<'_>, Ranges>> = BTreeMap::new();
        for (t, g) in &self.granted {
            let jobs = grants.entry(g.node).or_default();
            jobs.entry((t.job, g.zone.as_deref(), g.attempt)).or_default().insert(t.index);
        }
        let mut bodies: BTreeMap<NodeId, PlanBody> = BTreeMap::new();
        for id in self.fleet.nodes.keys() {
            let mine = grants.remove(id).unwrap_or_default().into_iter();
            let grants = mine.map(|((job, zone, attempt), tasks)| Grant {
                job: job.0,
                tasks,
                zone: zone.map(str::to_string),
                attempt,
            });
            let body = PlanBody {
                grants: grants.collect(),
                drain: drain.clone(),
                slow: slow.clone(),
                lapsed: lapsed.clone(),
                standings: vec![],
            };
            bodies.insert(*id, body);
        }
        let same = |id: &NodeId, b: &PlanBody| {
            self.bodies.get(id).is_some_and(|o| {
                o.grants == b.grants
                    && o.drain == b.drain
                    && o.slow == b.slow
                    && o.lapsed == b.lapsed
            })
        };
        // A plan that tells nothing new would only be sent around.
        let due = ctx.now.since(self.told_standings) >= STANDINGS_MS;
        let news = self.seq == PlanSeq(0)
            || self.fleet.newest() > self.seq
            || self.revoked.values().any(|r| r.seq > self.seq)
            || bodies.iter().any(|(id, b)| !same(id, b));
        if !news && !due {
            return;
        }
        let standings = self.standings(ctx);
        if !news && self.bodies.values().all(|b| b.standings == standings) {
            return;
        }
        self.told_standings = ctx.now;
        for body in bodies.values_mut() {
            body.standings = standings.clone();
        }
        self.bodies = bodies;
        self.seq = PlanSeq(self.seq.0 + 1);
    }

    fn standings(&self, ctx: &Context<'_>) -> Vec<Standing> {
        let on = self.fleet.on_machines();
        let mut running: FxHashMap<JobId, u32> = FxHashMap::default();
        for (t, _) in on.iter().filter(|(_, s)| s.stage != PieceStage::Unknown) {
            *running.entry(t.job).or_default() += 1;
        }
        ctx.ledger
            .jobs
            .keys()
            .map(|job| Standing {
                job: job.0,
                running: running.get(job).copied().unwrap_or(0),
                waits: self.waits.get(job).copied().unwrap_or(Waits::No),
            })
            .collect()
    }

    /// A line for operators: what is held, granted and open, and what cores do.
    pub fn describe(&self, ctx: &Context<'_>) -> String {
        let on = self.fleet.on_machines();
        let (mut runs, mut fetches, mut free) = (Cores(0), Cores(0), Cores(0));
        for (t, s) in &on {
            let cores = ctx.ledger.jobs.get(&t.job).map_or(Cores(0), |j| Need::of(&j.spec).cores);
            let sum = if s.stage == PieceStage::Fetching { &mut fetches } else { &mut runs };
            sum.0 += cores.0;
        }
        let rooms = self.fleet.rooms(ctx);
        rooms.iter().for_each(|r| free.0 += r.free.cores.0);
        format!(
            "machines={} up={} spot={} owners={} tasks={} granted={} limbo={} unsettled={} jobs={} \
             cores: run={:.0} fetch={:.0} free={:.0} ready={:.0}/{:.0}",
            self.fleet.machines.len(),
            self.fleet.machines.values().filter(|m| m.up).count(),
            self.fleet.machines.values().filter(|m| m.up && m.offer.spot).count(),
            self.fleet.owners.len(),
            on.len(),
            self.granted.keys().filter(|t| !on.contains_key(t)).count(),
            self.limbo.len(),
            self.fleet.unsettled.len(),
            ctx.ledger.jobs.len(),
            runs.amount(),
            fetches.amount(),
            free.amount(),
            self.market.ready(false),
            self.market.ready(true),
        )
    }

    /// A node's plan as of now, with what it does not follow yet.
    pub fn plan_for(&self, node: NodeId, now: Steady) -> Option<Plan> {
        let state = self.fleet.nodes.get(&node).filter(|_| self.seq > PlanSeq(0))?;
        let body = self.bodies.get(&node)?;
        Some(Plan {
            term: self.term,
            life: state.life,
            seq: self.seq,
            clock_ms: now.0,
            heard: state.number,
            owners: self.fleet.owner_news(state.followed),
            body: (state.followed != self.seq).then(|| body.clone()),
        })
    }
}

/// How long tasks take on a machine, compared with others of their jobs.
#[derive(Clone, Copy, Debug)]
struct Speed {
    ratio: f64,
    tasks: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Speed { ratio: 1.0, tasks: 0 }
    }
}

impl Speed {
    fn note(&mut self, ratio: f64) {
        // One odd task says little.
        self.ratio = self.ratio * 0.75 + ratio.min(5.0) * 0.25;
        self.tasks += 1;
    }
    fn is_slow(&self) -> bool {
        self.tasks >= SLOW_TASKS && self.ratio > SLOW_RATIO
    }
}

/// Where a job's tasks may be in relation to each other.
struct ZoneRule {
    one: bool,
    most_per_zone: Option<u32>,
    counts: BTreeMap<String, u32>,
}

impl ZoneRule {
    fn of(spec: &wire::JobSpec) -> Self {
        ZoneRule {
            one: spec.one_zone,
            most_per_zone: spec.scatter.then(|| spec.pieces.div_ceil(2)),
            counts: BTreeMap::new(),
        }
    }
    fn binds(&self) -> bool {
        self.one || self.most_per_zone.is_some()
    }
    fn count(&mut self, zone: &str) {
        *self.counts.entry(zone.to_string()).or_default() += 1;
    }
    /// Zones that may take another task, emptiest first.
    fn open(&self, zones: &[String]) -> Vec<String> {
        let mut open: Vec<String> = zones
            .iter()
            .filter(|z| {
                let here = self.counts.get(*z).copied().unwrap_or(0);
                let others = self.counts.iter().any(|(o, n)| o != *z && *n > 0);
                !(self.one && others) && self.most_per_zone.is_none_or(|m| here < m)
            })
            .cloned()
            .collect();
        open.sort_by_key(|z| self.counts.get(z).copied().unwrap_or(0));
        open
    }
}

fn rank(urgency: Urgency) -> u32 {
    match urgency {
        Urgency::Critical => 1,
        Urgency::High => 2,
        Urgency::Normal => 3,
        Urgency::BestEffort => 4,
    }
}

/// Seconds after acceptance by which a job should be done: its own deadline, or else what
/// the settings expect of its class.
fn due_s(settings: &Settings, spec: &wire::JobSpec) -> Option<f64> {
    spec.due_s.or_else(|| {
        let of_class = settings
            .params
            .objectives
            .iter()
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(spec.lane.as_str()));
        of_class.filter_map(|o| o.within_s).min_by(f64::total_cmp)
    })
}

/// Importance of a job's first task per core. Urgency counts most; within an urgency, work
/// that is close to its deadline and can still make it, and work within a guarantee.
fn weight(ctx: &Context<'_>, job: &Job, run_s: f64, required: bool) -> f64 {
    let base = match job.spec.urgency {
        Urgency::Critical => 64.0,
        Urgency::High => 16.0,
        Urgency::Normal => 4.0,
        Urgency::BestEffort => 1.0,
    };
    let age = ctx.wall.0.saturating_sub(job.at.0) as f64 / 1000.0;
    let pressing = match due_s(ctx.settings, &job.spec) {
        Some(due) => {
            let due = due.max(1.0);
            let work = f64::from(job.remaining()) * run_s / due;
            match due - age - run_s {
                // Too late for its time: work that can still make it goes first.
                // In the end age wins, so that nothing waits for ever.
                late if late < -0.5 * due => 0.6 + ((age - 2.0 * due) / 60.0).clamp(0.0, 6.0),
                late if late < 0.0 => 0.8,
                // Among those that can make it, little work first: more jobs make it so.
                _ => 1.0 + (1.0 + 0.3 * age / due) / (0.3 + work),
            }
        }
        None => 1.0 + age / 600.0,
    };
    base * pressing * if required { 1.5 } else { 1.0 }
}

/// Whether a job has waited long without a task of it having begun.
fn starved(ctx: &Context<'_>, job: &Job, held: u32) -> bool {
    held == 0 && job.progress.done.is_empty() && ctx.wall.0.saturating_sub(job.at.0) > STARVED_MS
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
fn within_guarantees(ctx: &Context<'_>) -> HashSet<JobId> {
    let mut room: HashMap<&str, Cores> = ctx
        .settings
        .params
        .teams
        .iter()
        .filter(|t| t.cpus > 0.0)
        .map(|t| (t.name.as_str(), Cores::offer(t.cpus)))
        .collect();
    let mut jobs: Vec<&Job> = ctx.ledger.jobs.values().collect();
    jobs.sort_by_key(|j| (j.at, j.spec.r#ref));
    let mut inside = HashSet::new();
    for job in jobs {
        let tasks = match job.spec.shape {
            Shape::Sweep | Shape::Gang => job.remaining(),
            Shape::Service => job.spec.pieces,
        };
        let need = Cores(Need::of(&job.spec).cores.0 * u64::from(tasks));
        if let Some(left) = room.get_mut(job.spec.owner.as_str())
            && need <= *left
        {
            *left = left.less(need);
            inside.insert(job.spec.r#ref);
        }
    }
    inside
}

/// The key that holds a job's granted ranges.
fn grant_key(job: JobId) -> u32 {
    (job.0 % u64::from(GRANT_KEYS)) as u32
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::EXAMPLE;
    use crate::core::{Core, Moment};
    use crate::ledger::tests::group;
    use crate::ledger::{Accepted, Brought, LeadRecord, TermRecord};
    use crate::model::{Incarnation, Revision, Session, StoreLease};
    use crate::peer::{MachineView, TaskView};
    use crate::place::tests::flavor;
    use crate::wire::Item;
    use crate::wire::tests::spec;
    use std::rc::Rc;

    const LIFE: Incarnation = Incarnation(5);

    fn at(ms: u64) -> Moment {
        Moment { steady: Steady(ms), wall: Wall(1_000_000 + ms) }
    }

    /// A leader of term 3 with a job of one task that term 2 granted, and two machines.
    fn leader() -> Core {
        let settings = Settings::parse(EXAMPLE).unwrap();
        let mut core = Core::new(Rc::new(settings), LIFE);
        let small = flavor("small", 8.0, 64.0);
        core.set_flavors(&wire::Flavors { hulls: vec![small] });
        let job = JobId(1);
        let record = EpochRecord { term: Term(2), granted: vec![(job, Ranges::span(0, 1))] };
        let lead = LeadRecord { node: NodeId(0), life: LIFE, term: Term(3) };
        let group = group(&["n-1", "n-2"]);
        let item = |path: &str, v| Item { path: path.into(), v, stamp: Revision(9) };
        let accepted = Accepted { spec: spec(1, 1), at: Wall(1) };
        core.load(
            &[
                item(&ledger::job_key(job), wire::to_value(&accepted)),
                item(&ledger::epoch_key(0), wire::to_value(&record)),
                item(ledger::LEAD_KEY, wire::to_value(&lead)),
                item(ledger::TERM_KEY, wire::to_value(&TermRecord { term: Term(3) })),
                item(&ledger::machine_key(0), wire::to_value(&group)),
            ],
            Revision(9),
        );
        core.rights.lease = Some(StoreLease(1));
        core.rights.confirm_renewal(Steady(0));
        core.rights.confirm_sync(Steady(0));
        core.follow(at(0), &Brought { lead: true, ..Brought::default() });
        core
    }

    fn view(id: &str, settled: bool, tasks: &[u32]) -> MachineView {
        MachineView {
            id: MachineId::new(id),
            hull: "small".into(),
            zone: "a".into(),
            spot: false,
            endpoint: "10.1.0.1:9000".into(),
            session: Session(1),
            settled,
            leaving: false,
            shun_ms: 0,
            tasks: tasks
                .iter()
                .map(|index| TaskView {
                    task: TaskId { job: JobId(1), index: *index },
                    stage: PieceStage::Running,
                })
                .collect(),
            images: vec![],
        }
    }

    /// Tells the leader what the only controller knows and plays an epoch; says whether it
    /// grants anything.
    fn tell(core: &mut Core, ms: u64, followed: u64, machines: Vec<MachineView>) -> bool {
        let summary = Summary {
            node: NodeId(0),
            life: LIFE,
            number: ms,
            base: 0,
            more: false,
            term: Term(3),
            followed: PlanSeq(followed),
            echo_ms: 0,
            up_ms: ms,
            served_ms: 0,
            heard_ms: 0,
            answered: machines.iter().map(|m| (m.id.clone(), 0)).collect(),
            machines,
            strays: vec![],
            failing: vec![],
            reborn: vec![],
            finished: vec![],
        };
        core.take_summary(Steady(ms), summary);
        let (epoch, term) = core.epoch(at(ms)).unwrap();
        let grants = !epoch.is_empty();
        core.publish(at(ms), epoch, term);
        grants
    }

    #[test]
    fn what_an_owner_remembers_from_an_earlier_term_proves_nothing() {
        // Seen on a bench day: a takeover, a summary from before the first plan with the task
        // on n-1, then one in which the owner had forgotten that machine. The task was
        // started on n-2 while it ran on n-1.
        let mut core = leader();
        let both = |tasks| vec![view("n-1", true, tasks), view("n-2", true, &[])];
        assert!(!tell(&mut core, 1_100, 0, vec![]), "owners are assigned");
        assert!(!tell(&mut core, 1_300, 0, both(&[0])), "remembered from before");
        assert!(!tell(&mut core, 1_500, 1, vec![view("n-2", true, &[])]), "n-1 is not told of");
        assert!(!tell(&mut core, 1_700, 1, both(&[0])), "it runs");
        assert!(tell(&mut core, 1_900, 1, both(&[])), "n-1 says itself that it is not there");
    }

    fn summary(number: u64, base: u64, life: Incarnation) -> Summary {
        Summary {
            node: NodeId(1),
            life,
            number,
            base,
            more: false,
            term: Term(3),
            followed: PlanSeq(0),
            echo_ms: 0,
            up_ms: 0,
            served_ms: 0,
            heard_ms: 0,
            answered: vec![],
            machines: vec![view("n-1", true, &[])],
            strays: vec![],
            failing: vec![],
            reborn: vec![],
            finished: vec![],
        }
    }

    #[test]
    fn machines_that_run_slow_are_told_from_odd_tasks() {
        let cases: [(&[f64], bool); 5] = [
            (&[1.0; 9], false),
            (&[5.0, 1.0, 1.0, 1.0], false),
            (&[3.0, 3.0, 3.0], false),
            (&[3.0, 3.0, 3.0, 3.0], true),
            (&[3.0, 3.0, 3.0, 3.0, 1.0, 1.0, 1.0, 1.0], false),
        ];
        for (ratios, want) in cases {
            let mut speed = Speed::default();
            ratios.iter().for_each(|r| speed.note(*r));
            assert_eq!(speed.is_slow(), want, "{ratios:?}");
        }
    }

    #[test]
    fn a_silent_machines_tasks_are_over_with_its_lease_and_not_before() {
        // Whole zones were returned a moment before their cut ended, though the run-out of
        // their leases had proven all that was needed.
        let mut core = leader();
        let tells = |core: &mut Core, ms: u64, alive: bool, session: u64| {
            core.rights.confirm_renewal(Steady(ms));
            core.rights.confirm_sync(Steady(ms));
            let mut n1 = view("n-1", true, if session == 1 { &[0] } else { &[] });
            n1.session = Session(session);
            let mut s = Summary {
                node: NodeId(0),
                number: ms,
                followed: PlanSeq(1),
                echo_ms: ms,
                up_ms: ms,
                machines: vec![n1, view("n-2", true, &[])],
                ..summary(ms, 0, LIFE)
            };
            s.answered = vec![(MachineId::new("n-2"), 0)];
            if alive {
                s.answered.push((MachineId::new("n-1"), 0));
            }
            core.take_summary(Steady(ms), s);
            let (epoch, term) = core.epoch(at(ms)).unwrap();
            core.publish(at(ms), epoch, term);
            let lead = core.lead.as_ref().unwrap();
            let task = TaskId { job: JobId(1), index: 0 };
            (lead.fleet.on_machines().contains_key(&task), lead.fleet.lapsed.len())
        };
        tells(&mut core, 1_100, true, 1);
        assert_eq!(tells(&mut core, 30_000, true, 1), (true, 0));
        assert_eq!(tells(&mut core, 38_000, false, 1), (true, 0), "its lease may still run");
        assert_eq!(tells(&mut core, 42_000, false, 1), (false, 1));
        let plan = core.plan_for(NodeId(0), Steady(42_000)).unwrap().0;
        let told = plan.body.map(|b| b.lapsed);
        assert_eq!(told, Some(vec![(MachineId::new("n-1"), Session(1))]), "its part is told");
        assert_eq!(tells(&mut core, 43_000, false, 1), (false, 1), "remembered from before");
        tells(&mut core, 44_000, true, 2);
        assert!(core.lead.as_ref().unwrap().fleet.views().any(|m| &*m.id.0 == "n-1"), "back");
    }

    #[test]
    fn a_machine_on_record_that_never_reports_is_returned() {
        // Seen on a bench day: the last leader returned machines and could not record it any
        // more; the next one took them for booting, and counted on them for minutes.
        let mut core = leader();
        let alive = || vec![view("n-2", true, &[])];
        let returned = |core: &mut Core, ms| {
            core.rights.confirm_renewal(Steady(ms));
            tell(core, ms, 1, alive());
            core.with_lead(at(ms), |lead, ctx| lead.fleet.to_return(ctx)).unwrap()
        };
        assert!(returned(&mut core, 1_100).is_empty());
        // Tasks that may be on it wait for it alone, so it goes before its lease has run out.
        assert!(returned(&mut core, 7_200).is_empty(), "it may still report");
        assert_eq!(returned(&mut core, 7_300), [MachineId::new("n-1")]);
        core.lead.as_mut().unwrap().limbo.clear();
        assert!(returned(&mut core, 9_000).is_empty(), "its lease may still run");
        assert_eq!(returned(&mut core, 12_500), [MachineId::new("n-1")]);
    }

    #[test]
    fn what_is_known_stays_until_all_pieces_of_a_summary_are_there() {
        // Seen on a simulated day with 1,800 machines: the first piece replaced what was known, a task
        // that an earlier term had started was on no machine for a moment, and started again.
        let mut core = leader();
        let all = |tasks| vec![view("n-1", true, tasks), view("n-2", true, &[])];
        tell(&mut core, 1_100, 0, all(&[]));
        assert!(!tell(&mut core, 1_200, 1, all(&[0])), "it runs on n-1");
        // (number, base, whether more comes, machines)
        let pieces = [
            (1_300, 0, true, vec![view("n-2", true, &[])]),
            (1_400, 0, true, vec![view("n-2", true, &[])]),
            (1_500, 1_400, true, vec![]),
            (1_600, 1_500, false, vec![view("n-1", true, &[0])]),
        ];
        for (number, base, more, machines) in pieces {
            let piece = Summary {
                node: NodeId(0),
                number,
                base,
                more,
                machines,
                followed: PlanSeq(1),
                ..summary(1, 0, LIFE)
            };
            core.take_summary(Steady(number), piece);
            let (epoch, _) = core.epoch(at(number)).unwrap();
            assert!(epoch.is_empty(), "{number}");
            let lead = core.lead.as_ref().unwrap();
            assert_eq!(lead.fleet.on_machines().len(), 1, "{number}");
        }
    }

    #[test]
    fn silence_from_before_the_term_counts_once_every_node_has_told() {
        // Seen on a bench day: machines that had been dead for a lease counted as possibly alive for
        // another one in every new term. (what, milliseconds for which a node has been up, when it
        // last answered n-1, whether all is proven over right after the term began)
        let cases = [
            ("nobody answered it within memory", 200_000, None, true),
            ("it was answered longer than a lease ago", 200_000, Some(11_000), true),
            ("its lease may still run", 200_000, Some(9_000), false),
            ("a predecessor may have answered it", 9_000, None, false),
            ("no predecessor's answer is that young", 12_000, None, true),
        ];
        for (what, up_ms, answered, over) in cases {
            let mut core = leader();
            let now = Steady(300_000);
            core.rights.confirm_renewal(now);
            core.rights.confirm_sync(now);
            for node in 0..3 {
                let age = answered.filter(|_| node == 1).map(|ms| (MachineId::new("n-1"), ms));
                let told = Summary {
                    node: NodeId(node),
                    echo_ms: now.0,
                    up_ms: if node == 2 { up_ms } else { 200_000 },
                    answered: age.into_iter().collect(),
                    machines: vec![],
                    ..summary(1, 0, LIFE)
                };
                core.take_summary(now, told);
                let lead = core.lead.as_ref().unwrap();
                assert_eq!(lead.fleet.unsettled.len(), 2, "{what}: not before all have told");
            }
            core.epoch(at(now.0)).unwrap();
            let left = &core.lead.as_ref().unwrap().fleet.unsettled;
            assert_eq!(left.contains(&MachineId::new("n-1")), !over, "{what}");
        }
    }

    #[test]
    fn a_machine_that_later_lists_lack_is_returned_once_it_is_silent() {
        let host = |id: &str| wire::ListedHost {
            r#ref: MachineId::new(id),
            endpoint: None,
            hull: "small".into(),
            yard: "a".into(),
            loaners: false,
            stage: wire::HostStage::Running,
            held_s: 50.0,
        };
        // The list lags by 6 s. (when the second list came, its first name, whether it is cut off
        // after n-1, when the answer is wanted, whether n-2 is returned then)
        let cases = [
            (9_000, None, false, 9_100, false),
            (15_000, None, false, 15_100, true),
            (15_000, None, true, 15_100, false),
            (15_000, Some("n-2"), false, 15_100, false),
        ];
        for (second, after, truncated, when, returned) in cases {
            let mut core = leader();
            let list = |core: &mut Core, ms, names: &[&str], after: Option<&str>, truncated| {
                let page =
                    wire::HostList { hosts: names.iter().map(|n| host(n)).collect(), truncated };
                let after = after.map(MachineId::new);
                core.with_lead(at(ms), |l, ctx| l.fleet.listed_page(ctx, after.as_ref(), &page));
            };
            core.rights.confirm_renewal(Steady(1_000));
            tell(&mut core, 1_000, 0, vec![view("n-1", true, &[])]);
            list(&mut core, 500, &["n-1", "n-2"], None, false);
            list(&mut core, second, &["n-1"], after, truncated);
            core.rights.confirm_renewal(Steady(when));
            core.lead.as_mut().unwrap().limbo.clear();
            tell(&mut core, when, 0, vec![view("n-1", true, &[])]);
            let gone = core.with_lead(at(when), |l, ctx| {
                let n2 = MachineId::new("n-2");
                l.fleet.machines[&n2].missing && l.fleet.to_return(ctx).contains(&n2)
            });
            assert_eq!(gone, Some(returned), "{second} {after:?} {truncated}");
        }
    }

    #[test]
    fn summaries_add_to_one_that_was_taken_or_are_asked_for_whole() {
        // What a missed summary told could be a task on a machine, or an answer to a worker.
        let other = Incarnation(8);
        let mut core = leader();
        let mut take = |s| core.take_summary(Steady(1_000), s).0;
        assert!(matches!(take(summary(4, 3, LIFE)), Tell::SendWhole), "nothing is known yet");
        assert!(!matches!(take(summary(5, 0, LIFE)), Tell::SendWhole));
        assert!(!matches!(take(summary(6, 5, LIFE)), Tell::SendWhole));
        assert!(matches!(take(summary(9, 8, LIFE)), Tell::SendWhole), "7 and 8 are missing");
        let late = Summary { machines: vec![], ..summary(5, 0, LIFE) };
        take(late);
        let told = |core: &Core| core.lead.as_ref().map(|l| l.fleet.nodes[&NodeId(1)].number);
        assert_eq!(told(&core), Some(6), "a late one changes nothing");
        core.take_summary(Steady(1_100), summary(1, 0, other));
        let lead = core.lead.as_ref().unwrap();
        assert!(lead.renew_term.is_some(), "a new life needs a new term");
        assert_eq!(told(&core), Some(6));
    }

    #[test]
    fn what_is_on_record_ahead_is_in_limbo_for_others_only() {
        let mut core = leader();
        let accepted = Accepted { spec: spec(2, 20), at: Wall(1) };
        let item = |path: String, v| Item { path, v, stamp: Revision(10) };
        let mut brought = Brought::default();
        let job = item(ledger::job_key(JobId(2)), wire::to_value(&accepted));
        core.ledger.load(&job, &mut brought);
        let idle = || vec![view("n-1", true, &[0]), view("n-2", true, &[])];
        tell(&mut core, 1_100, 0, vec![]);
        tell(&mut core, 1_300, 1, idle());
        let summary = core.lead.as_ref().unwrap();
        let granted: Vec<TaskId> = summary.granted.keys().copied().collect();
        assert!(!granted.is_empty() && granted.len() < 4, "{granted:?}");
        let recorded = summary.recorded[&JobId(2)].clone();
        assert!(recorded.len() as usize > granted.len(), "some are ahead");
        // The record as the store has it, and the next term of the same leader.
        let record = EpochRecord { term: Term(3), granted: vec![(JobId(2), recorded.clone())] };
        let items = [
            item(ledger::epoch_key(2), wire::to_value(&record)),
            item(
                ledger::LEAD_KEY.into(),
                wire::to_value(&LeadRecord { node: NodeId(0), life: LIFE, term: Term(4) }),
            ),
            item(ledger::TERM_KEY.into(), wire::to_value(&TermRecord { term: Term(4) })),
        ];
        items.iter().for_each(|i| core.ledger.load(i, &mut brought));
        let all = core.ledger.granted_before();
        core.follow(at(2_000), &Brought { lead: true, ..Brought::default() });
        let limbo = &core.lead.as_ref().unwrap().limbo;
        let of_two = |t: &&TaskId| t.job == JobId(2);
        assert_eq!(limbo.iter().filter(of_two).count(), granted.len());
        assert!(granted.iter().all(|t| limbo.contains(t)));
        assert_eq!(all.iter().filter(of_two).count(), recorded.len() as usize, "others");
    }

    #[test]
    fn nobody_waits_without_bound() {
        // (age in s, tasks done, held, starved); a job due after 100 s.
        let cases = [(99, 0, 0, false), (101, 0, 0, true), (101, 1, 0, false), (101, 0, 1, false)];
        let mut core = leader();
        for (age_s, done, held, want) in cases {
            let moment = Moment { steady: Steady(1), wall: Wall(1 + age_s * 1_000) };
            if let Some(job) = core.ledger.jobs.get_mut(&JobId(1)) {
                job.progress.done = Ranges::span(0, done);
            }
            let got =
                core.with_lead(moment, |_, ctx| starved(ctx, &ctx.ledger.jobs[&JobId(1)], held));
            assert_eq!(got, Some(want), "{age_s} {done} {held}");
        }
        // Within a rank, age wins in the end over work that is still in time.
        let weigh = |core: &mut Core, age_s: u64| {
            let moment = Moment { steady: Steady(1), wall: Wall(1 + age_s * 1_000) };
            let due = |ctx: &Context<'_>| {
                let mut job = ctx.ledger.jobs[&JobId(1)].clone();
                job.spec.due_s = Some(100.0);
                weight(ctx, &job, 10.0, false)
            };
            core.with_lead(moment, |_, ctx| due(ctx)).unwrap()
        };
        let fresh = weigh(&mut core, 1);
        assert!(weigh(&mut core, 120) < fresh, "what is late waits for what is not");
        assert!(weigh(&mut core, 600) > fresh, "but not for ever");
    }

    #[test]
    fn an_unsettled_machine_proves_nothing_about_its_tasks() {
        // A late copy may show a task where it is no longer, and another one not show it.
        let mut core = leader();
        let seen = |tasks| vec![view("n-1", false, tasks), view("n-2", true, &[])];
        assert!(!tell(&mut core, 1_100, 0, vec![]));
        assert!(!tell(&mut core, 1_300, 1, seen(&[0])));
        assert!(!tell(&mut core, 1_500, 1, seen(&[])));
    }

    #[test]
    fn a_task_in_limbo_waits_for_every_machine_that_may_have_it() {
        let mut core = leader();
        let seen = |settled| vec![view("n-1", settled, &[]), view("n-2", true, &[])];
        assert!(!tell(&mut core, 1_100, 0, vec![]));
        assert!(!tell(&mut core, 1_300, 1, seen(false)), "n-1 may still take older orders");
        assert!(tell(&mut core, 1_500, 1, seen(true)));
    }
}
