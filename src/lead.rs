//! The leader's work: gather part summaries, admit, divide shares and task ranges over
//! parts, write the epoch, and only then hand out plans.
//!
//! A term begins with nothing granted. Whatever an earlier term granted and is not done may
//! be running ("limbo") until every machine that may hold it has reported with the new
//! token, and so refuses older orders, or is proven gone. Owners are fixed within a term;
//! losing a controller or moving a machine takes a new term of the same leader.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::admit::{self, Bounds, Curve, Demand};
use crate::capacity::{self, Held, Market, Offer, Want};
use crate::config::{NodeInfo, Settings, StateLimits};
use crate::fleet::{Fleet, OnMachines, Taken};
use crate::ledger::{self, Job, Ledger};
use crate::model::{
    Attempt, Cores, JobId, LEADERS_ATTEMPTS, MachineId, NodeId, PlanSeq, Ranges, Session, Steady,
    TaskId, Term, Wall,
};
use crate::part::Finished;
use crate::peer::{Grant, Plan, PlanBody, Standing, Summary, Tell, Waits};
use crate::place::{self, Flavors, Need, Room};
use crate::term::Attempts;
use crate::wire::{self, PieceStage, Shape, Txn, Urgency};

/// How much less each further task of a job is worth than the one before.
const FADE: f64 = 0.995;
/// Least time between two new terms that only balance the parts.
const REBALANCE_MS: u64 = 30_000;
/// How long a job waits at most before its first tasks go before others.
const STARVED_MS: u64 = 100_000;
/// The same in a team at its limit, for a job without a task on a machine, whether it has begun or
/// not. What is granted then runs within a few reports, and so before 90 s are over. Such a team
/// always has a few cores free between the end of a task and the start of the next one, so others
/// than the first in line would be left waiting beside them.
const STARVED_AT_LIMIT_MS: u64 = 60_000;
/// Part of its limit from which on a team counts as being at it.
const AT_LIMIT: f64 = 0.5;
/// Part of its time that a job may have left beyond what it needs before it counts for less, and what it
/// loses when all of its time is left.
const AMPLE_SLACK: f64 = 0.5;
const AMPLE_LOSS: f64 = 0.3;
/// How long a gang that fits nowhere waits before machines are cleared for it.
const CLEARED_MS: u64 = 33_000;
/// The rank that it has until it has begun.
const STARVED_RANK: u32 = 2;
/// Importance per core that it has at least until then.
const STARVED_WEIGHT: f64 = 1_000.0;
/// Part of its tasks that it begins with.
const STARVED_PART: u32 = 8;
/// Most machines that are held back for such jobs at a time.
const STARVED_ROOMS: usize = 4;
/// Tasks of a job that must have completed before others are compared with them.
const COMPARED: u32 = 3;
/// How much longer than others tasks take on a slow machine, and how many must have shown it.
const SLOW_RATIO: f64 = 1.8;
const SLOW_TASKS: u32 = 4;
/// Time between two decisions on what to rent and return.
const CAPACITY_MS: u64 = 1_000;
/// Longest time for which parts are not told how jobs stand.
const STANDINGS_MS: u64 = 1_000;

mod gang;
mod granted;
mod limits;
mod record;
mod turnover;

use turnover::Turnover;

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
    /// Limits of the state service that writes keep to.
    pub limits: &'a StateLimits,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
}

#[derive(Clone)]
struct Granted {
    node: NodeId,
    attempt: Option<Attempt>,
    at: Steady,
    zone: Option<String>,
    /// Whether a worker has shown it; followed for gangs only.
    seen: bool,
    /// Whether it waits for a place that another task is about to leave.
    ahead: bool,
}

struct Revoked {
    node: NodeId,
    seq: PlanSeq,
    zone: Option<String>,
}

/// What a controller is granted.
#[derive(Default)]
struct NodeGrants {
    with_room: Vec<Grant>,
    ahead: Vec<Grant>,
}

/// What an epoch fills: teams' use of cores and accelerators, room on machines, and grants.
#[derive(Clone)]
struct Filling {
    used: Vec<(Cores, Cores)>,
    rooms: Vec<Room>,
    /// Places that tasks are about to leave, and their cores, granted ones included.
    turnover: Vec<Turnover>,
    extra: Cores,
    grants: Vec<(TaskId, Granted)>,
    /// How many tasks of each job are held, and how many may be running somewhere.
    counts: FxHashMap<JobId, (u32, u32)>,
}

/// Where a task is granted.
struct Place {
    node: NodeId,
    /// Whether another task is about to leave it.
    ahead: bool,
    /// Set for jobs that are bound to zones.
    zone: Option<String>,
}

impl Filling {
    /// Takes places for up to `count` tasks of a job: on machines with room, and, if `ahead`,
    /// where others are about to end.
    fn choose_places(
        &mut self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        job: &Job,
        mut zones: ZoneRule,
        count: usize,
        ahead: bool,
    ) -> Vec<Place> {
        let need = Need::of(&job.spec);
        let mut places = Vec::new();
        if !zones.binds() {
            for i in place::spread(&job.spec, &need, &mut self.rooms, None, count) {
                places.extend(self.place_on(fleet, i, false));
            }
            let left = if ahead { count - places.len() } else { 0 };
            let turnover = &mut self.turnover;
            for i in turnover::take_places(turnover, &job.spec, &need, None, left) {
                places.push(Place { node: turnover[i].owner, ahead: true, zone: None });
            }
            return places;
        }
        while places.len() < count {
            let open = zones.open(&ctx.settings.params.zones);
            let Some(i) = open
                .iter()
                .find_map(|zone| place::choose(&job.spec, &need, &self.rooms, Some(zone.as_str())))
            else {
                break;
            };
            self.rooms[i].add(&job.spec, &need);
            zones.count(&self.rooms[i].zone);
            places.extend(self.place_on(fleet, i, true));
        }
        places
    }

    /// Whether there is a place for a task at all.
    fn may_hold(&self, spec: &wire::JobSpec, need: &Need, ahead: bool) -> bool {
        self.rooms.iter().any(|r| r.takes(spec, need, None))
            || ahead && self.turnover.iter().any(|t| t.takes(spec, need))
    }

    fn place_on(&self, fleet: &Fleet, room: usize, bound: bool) -> Option<Place> {
        let room = &self.rooms[room];
        let (node, _) = fleet.owners.get(&room.id).copied()?;
        Some(Place { node, ahead: false, zone: bound.then(|| room.zone.to_string()) })
    }
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
    /// Since when open jobs have had no task on a machine or on its way there.
    idle: FxHashMap<JobId, Steady>,
    /// Gangs granted in this term, and those that are being stopped.
    gangs: FxHashMap<JobId, gang::Gang>,
    halts: BTreeMap<JobId, gang::Halt>,
    /// Machines that are kept for gangs.
    kept: Vec<MachineId>,
    /// Images of gangs, and when one that needs it was last open.
    gang_images: FxHashMap<Rc<str>, Steady>,
    /// When a gang that has to be spread over zones was last open.
    spread_gangs: Option<Steady>,
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
            idle: FxHashMap::default(),
            gangs: FxHashMap::default(),
            halts: BTreeMap::new(),
            kept: Vec::new(),
            gang_images: FxHashMap::default(),
            spread_gangs: None,
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
            lead.gang_images = old.gang_images;
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
        self.supervise_gangs(ctx, &fleet, &on);
        let mut rooms = self.rooms(ctx, &fleet);
        let mut turnover = self.turnover(ctx, &fleet, &on, &rooms);
        let extra = turnover.iter().fold(Cores(0), |sum, t| Cores(sum.0 + t.free_cores().0));
        self.place_under_way(ctx, &fleet, &on, &mut rooms, &mut turnover);
        self.keep_for_gangs(ctx, &fleet, &on, &mut rooms);
        let filling = Filling {
            used: self.team_use(ctx, &fleet, &on),
            rooms,
            turnover,
            extra,
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

    /// Machines as placement sees them.
    fn rooms(&self, ctx: &Context<'_>, fleet: &Fleet) -> Vec<Room> {
        let mut rooms = fleet.rooms(ctx);
        for room in &mut rooms {
            room.slow = self.speeds.get(&room.id).is_some_and(Speed::is_slow);
        }
        rooms
    }

    /// Counts grants under way in where their parts would place them, first on machines with room.
    fn place_under_way(
        &self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        on: &OnMachines<'_>,
        rooms: &mut [Room],
        turnover: &mut [Turnover],
    ) {
        let owner = |r: &Room| fleet.owners.get(&r.id).map(|o| o.0);
        type Alike<'a> = (NodeId, JobId, Option<&'a str>, Option<Attempt>, bool);
        let mut under_way: BTreeMap<Alike<'_>, usize> = BTreeMap::new();
        for (t, g) in self.granted.iter().filter(|(t, _)| !on.contains_key(t)) {
            let alike = (g.node, t.job, g.zone.as_deref(), g.attempt, g.ahead);
            *under_way.entry(alike).or_default() += 1;
        }
        for ((node, job, zone, attempt, ahead), count) in under_way {
            let Some(job) = ctx.ledger.jobs.get(&job) else { continue };
            if ahead {
                let need = Need::of(&job.spec);
                turnover::take_places(turnover, &job.spec, &need, Some(node), count);
                continue;
            }
            // Rooms come part by part.
            let first = rooms.iter().position(|r| owner(r) == Some(node)).unwrap_or(rooms.len());
            let len = rooms[first..].iter().take_while(|r| owner(r) == Some(node)).count();
            let part = &mut rooms[first..first + len];
            let need = Need::of(&job.spec);
            if attempt.is_some() {
                place::pack_in(&job.spec, &need, part, zone, count);
            } else {
                place::spread(&job.spec, &need, part, zone, count);
            }
        }
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
        self.note_idle(ctx, &counts);
        let teams = ctx.settings.params.teams.iter().zip(&filling.used);
        let at_limit: Vec<bool> = teams
            .map(|(t, used)| {
                t.core_limit().is_some_and(|l| used.0.amount() >= l.amount() * AT_LIMIT)
            })
            .collect();
        let demands = self.demands(ctx, &counts, &failing, &at_limit);
        // What waits for a place counts as held, so urgent work finds as much again beside it.
        let bounds = Bounds {
            held: filling.rooms.iter().fold(Cores(filling.extra.0 * 2), |sum, r| {
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
                self.grant_gang(ctx, fleet, on, job, d.team, more, held, &mut filling);
            } else {
                // What has waited long needs a machine, as small places may never hold it.
                let ahead = d.weight < STARVED_WEIGHT;
                self.grant_job(ctx, fleet, on, job, d.team, more, ahead, &mut filling);
            }
        }
        filling
    }

    /// Notes which jobs have nothing on machines or on its way there, and since when.
    fn note_idle(&mut self, ctx: &Context<'_>, counts: &FxHashMap<JobId, (u32, u32)>) {
        let held = |id: &JobId| counts.get(id).is_some_and(|c| c.0 > 0);
        self.idle.retain(|id, _| ctx.ledger.jobs.contains_key(id) && !held(id));
        for id in ctx.ledger.jobs.keys().filter(|id| !held(id)) {
            self.idle.entry(*id).or_insert(ctx.now);
        }
    }

    /// Whether a job has waited long without a task of it being anywhere: since it was accepted, or, in
    /// a team at its limit, since the last one ended.
    fn starved(&self, ctx: &Context<'_>, job: &Job, held: u32, at_limit: bool) -> bool {
        let begun = !job.progress.done.is_empty();
        let waits = if begun { 0 } else { waited_ms(ctx, job) };
        if held > 0 || !at_limit {
            return held == 0 && waits > STARVED_MS;
        }
        let idle = self.idle.get(&job.spec.r#ref).map_or(0, |at| ctx.now.since(*at));
        idle.max(waits) > STARVED_AT_LIMIT_MS
    }

    /// Keeps machines from others that jobs need which have waited long and fit nowhere: else
    /// small tasks would take every core that a large one waits for.
    fn hold_back(
        &mut self,
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
            if job.spec.shape == Shape::Gang {
                if running == 0 && waited_ms(ctx, job) > CLEARED_MS {
                    hold_back_for_gang(ctx, job, &need, &mut filling.rooms);
                }
                continue;
            }
            let fits = |r: &Room| r.takes(&job.spec, &need, None);
            if !self.starved(ctx, job, running, false) || filling.rooms.iter().any(fits) {
                continue;
            }
            // What is kept for gangs is not kept from work that has waited long.
            let free = |r: &&mut Room| r.holds(&job.spec, &need, None);
            if let Some(room) = filling.rooms.iter_mut().find(free) {
                room.kept = false;
                self.kept.retain(|id| *id != room.id);
                continue;
            }
            if held >= STARVED_ROOMS {
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

    /// Grants up to `more` tasks of a job, as far as its team's limit, its zones and the
    /// machines allow; `ahead` if they may also wait for places that others are about to leave.
    #[allow(clippy::too_many_arguments)]
    fn grant_job(
        &mut self,
        ctx: &Context<'_>,
        fleet: &Fleet,
        on: &OnMachines<'_>,
        job: &Job,
        team: usize,
        more: usize,
        ahead: bool,
        filling: &mut Filling,
    ) {
        let id = job.spec.r#ref;
        let need = Need::of(&job.spec);
        if more == 0 || !filling.may_hold(&job.spec, &need, ahead) {
            return;
        }
        let fits = self.within_limit(ctx, team, &need, filling);
        if fits < more {
            self.waits.insert(id, Waits::TeamLimit);
        }
        let mut zones = ZoneRule::of(&job.spec);
        if zones.binds() {
            if self.limbo.iter().any(|t| t.job == id) {
                return; // Where the others are is not known.
            }
            self.count_zones(id, on, &mut zones);
        }
        let free: Vec<TaskId> = (0..job.spec.pieces)
            .map(|index| TaskId { job: id, index })
            .filter(|t| self.is_free(ctx, on, *t))
            .take(more.min(fits))
            .collect();
        let chosen = filling.choose_places(ctx, fleet, job, zones, free.len(), ahead);
        for (task, place) in free.into_iter().zip(chosen) {
            if let Some(u) = filling.used.get_mut(team) {
                u.0.0 += need.cores.0;
                u.1.0 += need.accelerators.0;
            }
            let Place { node, zone, ahead } = place;
            filling.grants.push((
                task,
                Granted { node, attempt: None, at: ctx.now, zone, seen: false, ahead },
            ));
        }
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
        at_limit: &[bool],
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
            let mut tries = match job.spec.shape {
                Shape::Gang => self.gang_tries(job, held, limbo),
                Shape::Sweep | Shape::Service => tries,
            };
            let at_limit = at_limit.get(team).copied().unwrap_or(false);
            let starved = self.starved(ctx, job, held, at_limit);
            let gang = job.spec.shape == Shape::Gang;
            if starved {
                // Nobody waits without bound: it begins with a few tasks before others go on, or
                // with all if it runs whole or not at all.
                rank = rank.min(STARVED_RANK);
                weight = weight.max(STARVED_WEIGHT);
                if !gang {
                    tries = tries.min(job.spec.pieces.div_ceil(STARVED_PART));
                }
            }
            // What is kept for such gangs is of no use to others.
            let kept_for = gang && tries > 0;
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
                required: starved || kept_for || required.contains(id),
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
        // Gangs that may not use spot machines, and those that may: all, and the largest.
        let mut gangs = [(Cores(0), Cores(0)); 2];
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
            let age_ms = waited_ms(ctx, job) as f64;
            let gang = job.spec.shape == Shape::Gang;
            if gang {
                let cores = Cores(need.cores.0 * u64::from(job.spec.pieces));
                let (sum, largest) = &mut gangs[usize::from(job.spec.loaners)];
                // It counts from its arrival for as long as it runs, wherever it is.
                if age_ms < run_s * 1000.0 {
                    sum.0 += cores.0;
                }
                *largest = cores.max(*largest);
            }
            if brief && !gang && age_ms < run_s * 1000.0 {
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
        self.market.note_gangs(now, gangs[0], gangs[1]);
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
                    kept: self.kept.binary_search(id).is_ok(),
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

    /// Makes an epoch hold, once its transaction is known to be carried out.
    pub fn publish(&mut self, ctx: &Context<'_>, epoch: Epoch) {
        self.recorded.extend(epoch.recorded);
        self.ahead.extend(epoch.ahead);
        for (task, g) in epoch.grants {
            self.ahead.remove(&task);
            if let Some(attempt) = g.attempt {
                self.note_gang(ctx.now, task.job, attempt);
            }
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
        let mut grants = self.grants_by_node();
        let mut bodies: BTreeMap<NodeId, PlanBody> = BTreeMap::new();
        for id in self.fleet.nodes.keys() {
            let NodeGrants { with_room, ahead } = grants.remove(id).unwrap_or_default();
            let body = PlanBody {
                grants: with_room,
                ahead,
                drain: drain.clone(),
                slow: slow.clone(),
                lapsed: lapsed.clone(),
                standings: vec![],
                stops: self.stops(),
                kept: self.kept.clone(),
            };
            bodies.insert(*id, body);
        }
        let same = |id: &NodeId, b: &PlanBody| {
            self.bodies.get(id).is_some_and(|o| {
                o.grants == b.grants
                    && o.ahead == b.ahead
                    && o.drain == b.drain
                    && o.slow == b.slow
                    && o.lapsed == b.lapsed
                    && o.stops == b.stops
                    && o.kept == b.kept
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

    /// What each controller is granted: where there is room, and ahead of it, first what was granted first.
    fn grants_by_node(&self) -> BTreeMap<NodeId, NodeGrants> {
        type Alike<'a> = (NodeId, JobId, Option<&'a str>, Option<Attempt>, bool);
        let mut alike: BTreeMap<Alike<'_>, (Steady, Ranges)> = BTreeMap::new();
        for (t, g) in &self.granted {
            let key = (g.node, t.job, g.zone.as_deref(), g.attempt, g.ahead);
            let (oldest, tasks) = alike.entry(key).or_insert((g.at, Ranges::default()));
            *oldest = g.at.min(*oldest);
            tasks.insert(t.index);
        }
        let mut ahead_by_age: Vec<(Steady, NodeId, Grant)> = Vec::new();
        let mut by_node: BTreeMap<NodeId, NodeGrants> = BTreeMap::new();
        for ((node, job, zone, attempt, ahead), (oldest, tasks)) in alike {
            let grant = Grant { job: job.0, tasks, zone: zone.map(str::to_string), attempt };
            if ahead {
                ahead_by_age.push((oldest, node, grant));
            } else {
                by_node.entry(node).or_default().with_room.push(grant);
            }
        }
        ahead_by_age.sort_by_key(|(oldest, _, _)| *oldest);
        for (_, node, grant) in ahead_by_age {
            by_node.entry(node).or_default().ahead.push(grant);
        }
        by_node
    }

    fn standings(&self, ctx: &Context<'_>) -> Vec<Standing> {
        let on = self.fleet.on_machines();
        let mut running: FxHashMap<JobId, u32> = FxHashMap::default();
        // What still fetches its image or waits for its gang does not run.
        let runs = |s: PieceStage| matches!(s, PieceStage::Running | PieceStage::Flushing);
        for (t, _) in on.iter().filter(|(_, s)| runs(s.stage)) {
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
        let mut waits = Cores(0);
        for (t, s) in &on {
            let cores = ctx.ledger.jobs.get(&t.job).map_or(Cores(0), |j| Need::of(&j.spec).cores);
            let sum = match s.stage {
                PieceStage::Fetching => &mut fetches,
                PieceStage::Waiting => &mut waits,
                _ => &mut runs,
            };
            sum.0 += cores.0;
        }
        let rooms = self.fleet.rooms(ctx);
        rooms.iter().for_each(|r| free.0 += r.free.cores.0);
        format!(
            "machines={} up={} spot={} owners={} tasks={} granted={} limbo={} unsettled={} jobs={} \
             cores: run={:.0} fetch={:.0} wait={:.0} free={:.0} ready={:.0}/{:.0} kept={} versions={}",
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
            waits.amount(),
            free.amount(),
            self.market.ready(false),
            self.market.ready(true),
            self.kept.len(),
            versions(ctx),
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

/// The versions of the controllers that are up, in their order.
fn versions(ctx: &Context<'_>) -> String {
    let of = |m: &ledger::MemberRecord| match m.version.as_str() {
        "" => "before 0.2".to_string(),
        version => version.to_string(),
    };
    let all: Vec<String> = ctx.ledger.members.values().map(|(m, _)| of(m)).collect();
    all.join(",")
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
                // Among those that can make it, little work first: more jobs make it so. What has much more
                // time than it needs can wait.
                left => slack_part(left / due) * (1.0 + (1.0 + 0.3 * age / due) / (0.3 + work)),
            }
        }
        None => 1.0 + age / 600.0,
    };
    base * pressing * if required { 1.5 } else { 1.0 }
}

/// Part of its importance that a job keeps while so much of its time is left beyond what it needs.
fn slack_part(slack: f64) -> f64 {
    let beyond = ((slack - AMPLE_SLACK) / (1.0 - AMPLE_SLACK)).clamp(0.0, 1.0);
    1.0 - AMPLE_LOSS * beyond
}

/// Milliseconds since a job was accepted.
fn waited_ms(ctx: &Context<'_>, job: &Job) -> u64 {
    ctx.wall.0.saturating_sub(job.at.0)
}

/// Keeps machines from others in the zone where a gang that fits nowhere can begin first: those
/// that would hold it once they are empty.
fn hold_back_for_gang(ctx: &Context<'_>, job: &Job, need: &Need, rooms: &mut [Room]) {
    let count = job.spec.pieces as usize;
    let all = vec![true; rooms.len()];
    let zones: Vec<Option<&str>> = match job.spec.one_zone {
        true => ctx.settings.params.zones.iter().map(|z| Some(z.as_str())).collect(),
        false => vec![None],
    };
    if zones.iter().any(|z| place::pack(&job.spec, need, rooms, &all, *z, count).is_some()) {
        return;
    }
    let slots = |r: &Room| {
        let offered = ctx.flavors.get(&*r.hull).map(Need::offered).unwrap_or_default();
        let may = r.open && place::allowed(&job.spec, &r.hull, &r.zone, r.spot);
        if may { place::slots(need, &offered) as usize } else { 0 }
    };
    // The zone that lacks least now, of those that could hold it at all.
    let mut best: Option<(usize, Vec<usize>)> = None;
    for zone in zones {
        let mut inside: Vec<usize> = (0..rooms.len())
            .filter(|&i| zone.is_none_or(|z| *z == *rooms[i].zone) && slots(&rooms[i]) > 0)
            .collect();
        inside.sort_by_key(|&i| std::cmp::Reverse((rooms[i].free.cores, i)));
        let (mut could, mut can, mut chosen) = (0, 0, Vec::new());
        for i in inside {
            if could >= count {
                break;
            }
            could += slots(&rooms[i]);
            can += place::slots(need, &rooms[i].free) as usize;
            chosen.push(i);
        }
        if could >= count && best.as_ref().is_none_or(|b| can > b.0) {
            best = Some((can, chosen));
        }
    }
    for i in best.into_iter().flat_map(|b| b.1) {
        rooms[i].open = false;
    }
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

#[cfg(test)]
mod tests;
