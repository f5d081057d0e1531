//! The leader's work: gather part summaries, admit, divide shares and task ranges over
//! parts, write the epoch, and only then hand out plans.
//!
//! A term begins with nothing granted. Whatever an earlier term granted and is not done may
//! be running ("limbo") until every machine that may hold it has reported with the new
//! token, and so refuses older orders, or is proven gone. Owners are fixed within a term;
//! losing a controller or moving a machine takes a new term of the same leader.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::admit::{self, Bounds, Curve, Demand};
use crate::capacity::{self, Held, Market, Offer, Want};
use crate::config::{NodeInfo, Settings};
use crate::ledger::{self, EpochRecord, Job, Ledger, MachineRecord};
use crate::model::{
    Attempt, Cores, Incarnation, JobId, LEADERS_ATTEMPTS, MachineId, NodeId, PlanSeq, Ranges,
    Steady, TaskId, Term, Wall,
};
use crate::peer::{Grant, MachineView, Plan, Standing, Summary, Waits};
use crate::place::{self, Flavors, Need, Room};
use crate::term::{Attempts, last_right, plus_drift};
use crate::wire::{self, Change, PieceStage, Shape, Txn, Urgency};

/// A controller that has not been heard for that long is taken as lost.
const NODE_LOST_MS: u64 = 3_000;
/// A grant that was not used for that long is taken back.
const GRANT_UNUSED_MS: u64 = 4_500;
/// How long a stray must have been unable to reach its owner before it is moved.
const STRAY_MS: u64 = 2_500;
/// How much less each further task of a job is worth than the one before.
const FADE: f64 = 0.995;
/// How long a machine that is gone stays known, against late reports.
const TOMBSTONE_MS: u64 = 600_000;
/// Least time between two new terms that only balance the parts.
const REBALANCE_MS: u64 = 30_000;
/// Size in bytes, as the store counts, up to which a key of granted ranges is filled.
const RECORD_FILL: usize = 6_000;

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
    /// Machine types.
    pub flavors: &'a Flavors,
    /// Settings.
    pub settings: &'a Settings,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
}

struct NodeState {
    life: Incarnation,
    summary: Summary,
    at: Steady,
    plan: Option<Plan>,
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

/// What is known of a machine besides its reports.
#[derive(Clone, Debug)]
pub struct FleetMachine {
    offer: Offer,
    since: Steady,
    up: bool,
    busy: Steady,
    draining: Option<PlanSeq>,
    failed: bool,
}

/// A task that is on a machine.
struct Seen {
    machine: MachineId,
    stage: PieceStage,
    zone: String,
}

/// What an epoch fills: teams' use of cores and accelerators, room on machines, and grants.
#[derive(Clone)]
struct Filling {
    used: Vec<(Cores, Cores)>,
    rooms: Vec<Room>,
    grants: Vec<(TaskId, Granted)>,
}

/// One epoch's outcome, to be written before it is published.
#[derive(Default)]
pub struct Epoch {
    /// The transaction, unless nothing durable changes.
    pub txn: Option<Txn>,
    grants: Vec<(TaskId, Granted)>,
    durable: Option<BTreeSet<TaskId>>,
}

/// The leader's state in one term.
pub struct Lead {
    /// Its term.
    pub term: Term,
    began: Steady,
    seq: u64,
    nodes: BTreeMap<NodeId, NodeState>,
    /// Owner of each machine, and the first plan that names it.
    owners: BTreeMap<MachineId, (NodeId, PlanSeq)>,
    granted: BTreeMap<TaskId, Granted>,
    revoked: HashMap<TaskId, Revoked>,
    attempts: Attempts,
    limbo: HashSet<TaskId>,
    unsettled: BTreeSet<MachineId>,
    durable: BTreeSet<TaskId>,
    gone: HashSet<MachineId>,
    heard: HashMap<MachineId, Steady>,
    absent: HashMap<NodeId, (u64, Steady)>,
    /// Set when a new term is needed, with the reason.
    pub renew_term: Option<&'static str>,
    rebalanced: Steady,
    fleet: BTreeMap<MachineId, FleetMachine>,
    /// What is remembered of the market.
    pub market: Market,
    waits: HashMap<JobId, Waits>,
    runs: HashMap<String, (f64, f64)>,
    seen_running: HashMap<TaskId, Steady>,
    decision: capacity::Decision,
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
    pub fn begin(ctx: &Context<'_>, term: Term, before: Option<Lead>) -> Self {
        let ledger = ctx.ledger;
        let unsettled: BTreeSet<MachineId> = ledger
            .machines
            .iter()
            .filter(|(_, m)| m.0.up && m.0.gone.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        let mut lead = Lead {
            term,
            began: ctx.now,
            seq: 0,
            nodes: BTreeMap::new(),
            owners: BTreeMap::new(),
            granted: BTreeMap::new(),
            revoked: HashMap::new(),
            attempts: Attempts::new(term, LEADERS_ATTEMPTS),
            limbo: ledger.granted_before(),
            unsettled,
            durable: BTreeSet::new(),
            gone: HashSet::new(),
            heard: HashMap::new(),
            absent: HashMap::new(),
            renew_term: None,
            rebalanced: Steady(0),
            fleet: BTreeMap::new(),
            market: Market::default(),
            waits: HashMap::new(),
            runs: HashMap::new(),
            seen_running: HashMap::new(),
            decision: capacity::Decision::default(),
        };
        if let Some(old) = before {
            // The record in the store may lag behind what this very leader granted.
            let may_run = |t: &TaskId| ledger.may_run(*t);
            lead.limbo.extend(old.granted.keys().copied().filter(may_run));
            lead.limbo.extend(old.revoked.keys().copied().filter(may_run));
            lead.limbo.extend(old.limbo.iter().copied().filter(may_run));
            lead.gone = old.gone;
            lead.heard = old.heard;
            lead.absent = old.absent;
            lead.rebalanced = old.rebalanced;
            lead.fleet = old.fleet;
            lead.market = old.market;
            lead.runs = old.runs;
            lead.unsettled.retain(|id| !lead.gone.contains(id));
        }
        // Machines count as heard now: a verdict of silence needs a whole lease from here.
        for id in &lead.unsettled {
            lead.heard.insert(id.clone(), ctx.now);
        }
        lead
    }

    /// Takes a summary and returns the sender's plan, if it may have one, and whether the
    /// summary tells anything that an epoch should look at soon.
    pub fn on_summary(&mut self, now: Steady, s: Summary) -> (Option<Plan>, bool) {
        if s.term != self.term {
            return (None, false);
        }
        if let Some(known) = self.nodes.get(&s.node) {
            if known.life != s.life {
                // Its predecessor may have started tasks that nobody knows of.
                self.renew_term.get_or_insert("a controller restarted");
                return (None, true);
            }
            if s.number <= known.summary.number {
                return (None, false);
            }
        }
        for (id, age) in &s.answered {
            let at = now.less(*age);
            let heard = self.heard.entry(id.clone()).or_insert(at);
            *heard = (*heard).max(at);
        }
        for m in &s.machines {
            if m.settled && self.tells(&s, &m.id) {
                self.unsettled.remove(&m.id);
            }
        }
        let held: HashSet<TaskId> =
            s.machines.iter().flat_map(|m| m.tasks.iter().map(|t| t.task)).collect();
        self.revoked.retain(|t, r| r.node != s.node || s.followed < r.seq || held.contains(t));
        let node = s.node;
        let before = self.nodes.remove(&node);
        let changed = before.as_ref().is_none_or(|n| differs(&n.summary, &s));
        let plan = before.and_then(|n| n.plan);
        let mut answer = plan.clone();
        if let Some(p) = &mut answer {
            p.clock_ms = now.0;
        }
        self.nodes.insert(node, NodeState { life: s.life, summary: s, at: now, plan });
        (answer, changed)
    }

    fn live(&self, now: Steady) -> Vec<NodeId> {
        self.nodes
            .iter()
            .filter(|(_, n)| now.since(n.at) < NODE_LOST_MS)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether a summary speaks for a machine: its sender owns it and follows a plan of this
    /// term that says so. What it remembers from an earlier term may be missing in its next
    /// summary without having ended.
    fn tells(&self, s: &Summary, id: &MachineId) -> bool {
        self.owners.get(id).is_some_and(|(owner, since)| *owner == s.node && s.followed >= *since)
            && !self.gone.contains(id)
    }

    /// Machine views from owners, as they last told.
    fn views(&self) -> impl Iterator<Item = (&MachineView, NodeId, u64)> {
        self.nodes.iter().flat_map(move |(node, n)| {
            n.summary
                .machines
                .iter()
                .filter(move |m| self.tells(&n.summary, &m.id))
                .map(move |m| (m, *node, n.at.0))
        })
    }

    fn on_machines(&self) -> HashMap<TaskId, Seen> {
        self.views()
            .flat_map(|(m, _, _)| {
                m.tasks.iter().map(move |t| {
                    let seen = Seen { machine: m.id.clone(), stage: t.stage, zone: m.zone.clone() };
                    (t.task, seen)
                })
            })
            .collect()
    }

    /// Works out an epoch. Nothing of it holds before [`publish`](Self::publish).
    pub fn epoch(&mut self, ctx: &Context<'_>) -> Epoch {
        self.follow_members(ctx);
        self.check_nodes(ctx);
        self.assign(ctx);
        let on = self.on_machines();
        self.learn(ctx, &on);
        self.settle(ctx, &on);
        let filling = Filling {
            used: self.team_use(ctx, &on),
            rooms: self.rooms(ctx, &on),
            grants: Vec::new(),
        };
        let filling = self.grant(ctx, &on, filling);
        let mut epoch = Epoch { grants: filling.grants, ..Epoch::default() };
        self.decide_capacity(ctx, &on, &filling.rooms, &epoch);
        self.compose(ctx, &on, &mut epoch);
        epoch
    }

    fn follow_members(&mut self, ctx: &Context<'_>) {
        for n in 0..ctx.nodes.len() {
            let id = NodeId(n as u8);
            if ctx.ledger.members.contains_key(&id) {
                self.absent.remove(&id);
            } else {
                let moves = ctx.ledger.member_moves.get(&id).copied().unwrap_or(0);
                let absent = self.absent.entry(id).or_insert((moves, ctx.now));
                // It came and went unseen: its last renewal may be that much younger.
                if absent.0 != moves {
                    *absent = (moves, ctx.now);
                }
            }
        }
    }

    /// Asks for a new term when an owner is lost, a machine cannot reach its owner, or the
    /// parts are out of balance.
    fn check_nodes(&mut self, ctx: &Context<'_>) {
        let now = ctx.now;
        if now.since(self.began) < NODE_LOST_MS || self.renew_term.is_some() {
            return;
        }
        let live = self.live(now);
        if self.owners.values().any(|(o, _)| !live.contains(o)) {
            self.renew_term = Some("the owner of machines is not heard");
            return;
        }
        let stray = self.nodes.iter().filter(|(id, _)| live.contains(id)).any(|(node, n)| {
            n.summary.strays.iter().any(|s| {
                s.since_ms > STRAY_MS
                    && s.silent_ms < 3_000
                    && self.owners.get(&s.id).is_some_and(|(o, _)| o != node)
                    && !self.owner_hears(&s.id)
            })
        });
        if stray {
            self.renew_term = Some("a machine cannot reach its owner");
            return;
        }
        if now.since(self.rebalanced.max(self.began)) > REBALANCE_MS && self.unsettled.is_empty() {
            let count = |id: &NodeId| self.owners.values().filter(|(o, _)| o == id).count();
            let idle = live.iter().any(|id| {
                count(id) == 0
                    && self.owners.len() >= 2 * live.len()
                    && self.owners.keys().any(|m| self.owner_for(ctx, m, &live) == Some(*id))
            });
            if idle {
                self.rebalanced = now;
                self.renew_term = Some("a controller came back and has no part");
            }
        }
    }

    fn owner_hears(&self, id: &MachineId) -> bool {
        self.views().any(|(m, _, _)| m.id == *id && m.silent_ms < STRAY_MS)
    }

    fn zone_of<'a>(&'a self, ctx: &'a Context<'_>, id: &MachineId) -> Option<&'a str> {
        self.fleet
            .get(id)
            .map(|m| m.offer.zone.as_str())
            .or_else(|| ctx.ledger.machines.get(id).map(|m| m.0.zone.as_str()))
    }

    /// The owner of a machine among live controllers: those that it reports to if it cannot
    /// reach others, else those of its zone, else all; the highest hash wins.
    fn owner_for(&self, ctx: &Context<'_>, id: &MachineId, live: &[NodeId]) -> Option<NodeId> {
        let zone = self.zone_of(ctx, id);
        let near: Vec<NodeId> = live
            .iter()
            .copied()
            .filter(|n| zone == ctx.nodes.get(usize::from(n.0)).map(|n| n.zone.as_str()))
            .collect();
        let pool = if near.is_empty() { live } else { &near };
        pool.iter().copied().max_by_key(|n| rendezvous(id, *n))
    }

    /// Gives every machine without an owner one.
    fn assign(&mut self, ctx: &Context<'_>) {
        let now = ctx.now;
        let live = self.live(now);
        let expected = ctx.ledger.members.len().min(ctx.nodes.len());
        if live.is_empty() || (live.len() < expected && now.since(self.began) < 1_000) {
            return;
        }
        let mut strays: HashMap<MachineId, NodeId> = HashMap::new();
        let mut found: Vec<(MachineId, Offer, bool)> = Vec::new();
        for (node, n) in self.nodes.iter().filter(|(id, _)| live.contains(id)) {
            for s in &n.summary.strays {
                let offer = Offer { hull: s.hull.clone(), zone: s.zone.clone(), spot: s.spot };
                found.push((s.id.clone(), offer, s.silent_ms < 5_000));
                if s.since_ms > STRAY_MS && s.silent_ms < 5_000 {
                    strays.insert(s.id.clone(), *node);
                }
            }
        }
        for (id, offer, fresh) in found {
            if fresh && !self.is_gone(ctx, &id) {
                self.note_machine(now, &id, offer);
            }
        }
        for (id, (m, _)) in &ctx.ledger.machines {
            if m.gone.is_none() && !self.gone.contains(id) {
                let offer = Offer { hull: m.hull.clone(), zone: m.zone.clone(), spot: m.spot };
                self.note_machine(now, id, offer);
            }
        }
        let open: Vec<MachineId> = self
            .fleet
            .keys()
            .filter(|id| !self.owners.contains_key(*id) && !self.gone.contains(*id))
            .cloned()
            .collect();
        for id in open {
            let owner = strays.get(&id).copied().or_else(|| self.owner_for(ctx, &id, &live));
            if let Some(owner) = owner {
                self.owners.insert(id, (owner, PlanSeq(self.seq + 1)));
            }
        }
    }

    fn is_gone(&self, ctx: &Context<'_>, id: &MachineId) -> bool {
        self.gone.contains(id) || ctx.ledger.machine_gone(id)
    }

    fn note_machine(&mut self, now: Steady, id: &MachineId, offer: Offer) {
        self.heard.entry(id.clone()).or_insert(now);
        self.fleet.entry(id.clone()).or_insert(FleetMachine {
            offer,
            since: now,
            up: false,
            busy: now,
            draining: None,
            failed: false,
        });
    }

    /// Takes machines that a rental brought or the cloud listed.
    pub fn rented(&mut self, now: Steady, ids: &[MachineId], offer: &Offer) {
        for id in ids {
            if !self.gone.contains(id) {
                self.note_machine(now, id, offer.clone());
            }
        }
    }

    /// Takes what the cloud's list says of a machine. The list is old: it only adds machines
    /// and tells of failed ones.
    pub fn listed(&mut self, ctx: &Context<'_>, host: &wire::ListedHost) {
        if self.is_gone(ctx, &host.r#ref) {
            return;
        }
        let offer = Offer { hull: host.hull.clone(), zone: host.yard.clone(), spot: host.loaners };
        let age = (host.held_s.max(0.0) * 1000.0) as u64;
        self.note_machine(ctx.now, &host.r#ref, offer);
        if let Some(m) = self.fleet.get_mut(&host.r#ref) {
            m.since = m.since.min(ctx.now.less(age));
            m.failed |= host.stage == wire::HostStage::Failed;
        }
    }

    /// The cloud confirmed that these machines and all on them are gone.
    pub fn machines_gone(&mut self, ids: &[MachineId]) {
        for id in ids {
            self.gone.insert(id.clone());
            self.owners.remove(id);
            self.unsettled.remove(id);
            self.fleet.remove(id);
            self.heard.remove(id);
        }
    }

    /// Learns from what runs: whether machines are up and busy, and how long tasks run
    /// compared with their owners' estimates.
    fn learn(&mut self, ctx: &Context<'_>, on: &HashMap<TaskId, Seen>) {
        let now = ctx.now;
        let ups: Vec<(MachineId, bool)> =
            self.views().map(|(m, _, _)| (m.id.clone(), !m.tasks.is_empty())).collect();
        for (id, busy) in ups {
            if let Some(f) = self.fleet.get_mut(&id) {
                if !f.up {
                    f.busy = now;
                }
                f.up = true;
                if busy {
                    f.busy = now;
                }
            }
        }
        let mut running: HashMap<TaskId, Steady> = HashMap::new();
        for (t, _) in on.iter().filter(|(_, s)| s.stage == PieceStage::Running) {
            running.insert(*t, self.seen_running.get(t).copied().unwrap_or(now));
        }
        for (t, began) in &self.seen_running {
            if running.contains_key(t) {
                continue;
            }
            let Some(job) = ctx.ledger.jobs.get(&t.job).filter(|j| j.is_done(t.index)) else {
                continue;
            };
            let took = now.since(*began) as f64 / 1000.0;
            let entry = self.runs.entry(job.spec.lane.clone()).or_insert((0.0, 0.0));
            entry.0 = entry.0 * 0.97 + took;
            entry.1 = entry.1 * 0.97 + job.spec.guess_s.max(0.1);
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
    fn settle(&mut self, ctx: &Context<'_>, on: &HashMap<TaskId, Seen>) {
        let now = ctx.now;
        let ledger = ctx.ledger;
        self.silent_verdicts(ctx);
        // Only a machine that reported with this term's token tells where a task is: what an
        // owner remembers from before may have ended and been started elsewhere since.
        let unsettled = &self.unsettled;
        let placed = |t: &TaskId| on.get(t).is_some_and(|s| !unsettled.contains(&s.machine));
        self.limbo.retain(|t| ledger.may_run(*t) && !placed(t));
        if self.unsettled.is_empty() && !self.limbo.is_empty() {
            tracing::info!(term = %self.term, tasks = self.limbo.len(), "proven not to run");
            self.limbo.clear();
        }
        self.granted.retain(|t, _| ledger.may_run(*t));
        self.revoked.retain(|t, _| ledger.may_run(*t));
        let next = PlanSeq(self.seq + 1);
        let unused: Vec<TaskId> = self
            .granted
            .iter()
            .filter(|(t, g)| !on.contains_key(t) && now.since(g.at) > GRANT_UNUSED_MS)
            .map(|(t, _)| *t)
            .collect();
        for t in unused {
            if let Some(g) = self.granted.remove(&t) {
                let r = Revoked { node: g.node, seq: next, zone: g.zone };
                self.revoked.insert(t, r);
            }
        }
        for (t, g) in &mut self.granted {
            if on.contains_key(t) {
                g.at = now;
            }
        }
    }

    /// Declares machines gone whose lease has certainly run out: every controller says, as of
    /// a moment a whole lease after the last answer anyone gave, that it gave no later one.
    fn silent_verdicts(&mut self, ctx: &Context<'_>) {
        let lease = plus_drift(ctx.settings.worker_lease_ms()) + 500;
        let mut told_until = Steady(u64::MAX);
        let mut last_other = Steady(0);
        for n in 0..ctx.nodes.len() {
            let id = NodeId(n as u8);
            match self.nodes.get(&id) {
                Some(n) if n.summary.echo_ms > 0 => {
                    told_until = told_until.min(Steady(n.summary.echo_ms));
                    // Its predecessor ended before this process started.
                    last_other = last_other.max(n.at.less(n.summary.up_ms));
                }
                _ => match self.absent.get(&id) {
                    Some((_, since)) => {
                        told_until = told_until.min(ctx.synced);
                        let bound = last_right(*since, ctx.settings.keep_alive_ms());
                        last_other = last_other.max(bound);
                    }
                    None => return,
                },
            }
        }
        let silent: Vec<MachineId> = self
            .unsettled
            .iter()
            .filter(|id| {
                let last = self.heard.get(*id).copied().unwrap_or(self.began).max(last_other);
                last.plus(lease) < told_until
            })
            .cloned()
            .collect();
        for id in silent {
            tracing::warn!(machine = %id, "lease has run out at every controller");
            // Its session is over, so nothing of earlier terms runs there; should it come
            // back, it reports a newer session.
            self.unsettled.remove(&id);
        }
    }

    /// Machines as placement sees them.
    fn rooms(&self, ctx: &Context<'_>, on: &HashMap<TaskId, Seen>) -> Vec<Room> {
        let mut rooms: Vec<Room> = self
            .views()
            .filter_map(|(m, _, at)| {
                let fleet = self.fleet.get(&m.id)?;
                let heard = ctx.now.0.saturating_sub(at) < NODE_LOST_MS;
                Room::of(m, ctx.flavors, ctx.ledger, heard && fleet.draining.is_none())
            })
            .collect();
        // Grants under way take room as well: on the machine that the part would choose.
        for (t, g) in self.granted.iter().filter(|(t, _)| !on.contains_key(t)) {
            if let Some(job) = ctx.ledger.jobs.get(&t.job) {
                let need = Need::of(&job.spec);
                let owned: Vec<usize> = (0..rooms.len())
                    .filter(|&i| self.owners.get(&rooms[i].id).is_some_and(|(o, _)| *o == g.node))
                    .collect();
                let part: Vec<Room> = owned.iter().map(|&i| rooms[i].clone()).collect();
                if let Some(i) = place::choose(&job.spec, &need, &part, g.zone.as_deref()) {
                    rooms[owned[i]].add(&job.spec, &need);
                }
            }
        }
        rooms
    }

    /// Whether a task may be granted: it is proven to be nowhere.
    fn is_free(&self, ledger: &Ledger, on: &HashMap<TaskId, Seen>, t: TaskId) -> bool {
        ledger.may_run(t)
            && !on.contains_key(&t)
            && !self.granted.contains_key(&t)
            && !self.revoked.contains_key(&t)
            && !self.limbo.contains(&t)
    }

    /// Cores that each team may be using. Machines that have not reported in this term count
    /// in full for every team.
    fn team_use(&self, ctx: &Context<'_>, on: &HashMap<TaskId, Seen>) -> Vec<(Cores, Cores)> {
        let teams = &ctx.settings.params.teams;
        let mut used = vec![(Cores(0), Cores(0)); teams.len()];
        let index: HashMap<&str, usize> =
            teams.iter().enumerate().map(|(i, t)| (t.name.as_str(), i)).collect();
        let mut add = |t: &TaskId| {
            if let Some(job) = ctx.ledger.jobs.get(&t.job)
                && let Some(i) = index.get(job.spec.owner.as_str())
            {
                let need = Need::of(&job.spec);
                used[*i].0.0 += need.cores.0;
                used[*i].1.0 += need.accelerators.0;
            }
        };
        // Those on machines that are not settled are within what counts for these below.
        on.iter().filter(|(_, s)| !self.unsettled.contains(&s.machine)).for_each(|(t, _)| add(t));
        self.granted.keys().filter(|t| !on.contains_key(t)).for_each(&mut add);
        self.revoked.keys().filter(|t| !on.contains_key(t)).for_each(&mut add);
        let unknown = self.unsettled.iter().filter_map(|id| {
            let hull = &self.fleet.get(id)?.offer.hull;
            ctx.flavors.get(hull).map(Need::offered)
        });
        for need in unknown {
            for u in &mut used {
                u.0.0 += need.cores.0;
                u.1.0 += need.accelerators.0;
            }
        }
        // Tasks of jobs that have ended still use cores until they are gone: their team is
        // no longer known here, so they count for every team.
        for (m, _, _) in self.views() {
            let strange = m.tasks.iter().filter(|t| !ctx.ledger.jobs.contains_key(&t.task.job));
            if strange.count() > 0
                && let Some(f) = ctx.flavors.get(&m.hull)
            {
                let mut rest = Need::offered(f);
                for t in &m.tasks {
                    if let Some(j) = ctx.ledger.jobs.get(&t.task.job) {
                        Need::of(&j.spec).take_from(&mut rest);
                    }
                }
                for u in &mut used {
                    u.0.0 += rest.cores.0;
                    u.1.0 += rest.accelerators.0;
                }
            }
        }
        used
    }

    fn grant(
        &mut self,
        ctx: &Context<'_>,
        on: &HashMap<TaskId, Seen>,
        mut filling: Filling,
    ) -> Filling {
        let mut counts: HashMap<JobId, (u32, u32)> = HashMap::new(); // (held, in limbo)
        for t in on.keys() {
            counts.entry(t.job).or_default().0 += 1;
        }
        let others = self.granted.keys().chain(self.revoked.keys());
        for t in others.filter(|t| !on.contains_key(t)) {
            counts.entry(t.job).or_default().0 += 1;
        }
        for t in self.limbo.iter().filter(|t| !on.contains_key(t)) {
            counts.entry(t.job).or_default().1 += 1;
        }
        let failing: HashSet<JobId> =
            self.nodes.values().flat_map(|n| n.summary.failing.iter().copied()).collect();
        let demands = self.demands(ctx, &counts, &failing);
        let bounds = Bounds {
            held: filling.rooms.iter().fold(Cores(0), |sum, r| {
                let total = ctx.flavors.get(&r.hull).map_or(Cores(0), |f| Cores::offer(f.vcpus));
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
                filling = self.grant_gang(ctx, on, job, d.team, more, filling);
            } else {
                self.grant_job(ctx, on, job, d.team, more, &mut filling);
            }
        }
        filling
    }

    /// Grants a gang whole or not at all.
    fn grant_gang(
        &mut self,
        ctx: &Context<'_>,
        on: &HashMap<TaskId, Seen>,
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
        self.grant_job(ctx, on, job, team, more, &mut tried);
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
    fn grant_job(
        &mut self,
        ctx: &Context<'_>,
        on: &HashMap<TaskId, Seen>,
        job: &Job,
        team: usize,
        more: usize,
        filling: &mut Filling,
    ) {
        let Filling { used, rooms, grants } = filling;
        let id = job.spec.r#ref;
        let need = Need::of(&job.spec);
        let mut zones = ZoneRule::of(&job.spec);
        if zones.binds() {
            if self.limbo.iter().any(|t| t.job == id) {
                return; // Where the others are is not known.
            }
            for (_, s) in on.iter().filter(|(t, _)| t.job == id) {
                zones.count(&s.zone);
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
        let limits = ctx.settings.params.teams.get(team);
        let free: Vec<TaskId> = (0..job.spec.pieces)
            .map(|index| TaskId { job: id, index })
            .filter(|t| self.is_free(ctx.ledger, on, *t))
            .take(more)
            .collect();
        for task in free {
            let after = (
                Cores(used.get(team).map_or(0, |u| u.0.0) + need.cores.0),
                Cores(used.get(team).map_or(0, |u| u.1.0) + need.accelerators.0),
            );
            let over = limits.is_some_and(|l| {
                l.core_limit().is_some_and(|m| after.0 > m)
                    || l.accelerator_limit().is_some_and(|m| after.1 > m)
            });
            if over {
                self.waits.insert(id, Waits::TeamLimit);
                return;
            }
            let allowed: Vec<Option<String>> = if zones.binds() {
                zones.open(&ctx.settings.params.zones).into_iter().map(Some).collect()
            } else {
                vec![None]
            };
            let spot = allowed.into_iter().find_map(|zone| {
                place::choose(&job.spec, &need, rooms, zone.as_deref()).map(|i| (i, zone))
            });
            let Some((i, _)) = spot else {
                self.waits.entry(id).or_insert(Waits::ForMachines);
                return;
            };
            let Some((node, _)) = self.owners.get(&rooms[i].id).copied() else {
                return;
            };
            rooms[i].add(&job.spec, &need);
            let zone = zones.binds().then(|| rooms[i].zone.clone());
            if let Some(z) = &zone {
                zones.count(z);
            }
            if let Some(u) = used.get_mut(team) {
                *u = after;
            }
            grants.push((task, Granted { node, attempt: None, at: ctx.now, zone }));
        }
    }

    /// What every unfinished job asks of admission.
    fn demands(
        &self,
        ctx: &Context<'_>,
        counts: &HashMap<JobId, (u32, u32)>,
        failing: &HashSet<JobId>,
    ) -> Vec<Demand> {
        let required = within_guarantees(ctx);
        let ranks: HashMap<JobId, u32> =
            ctx.ledger.jobs.iter().map(|(id, j)| (*id, rank(j.spec.urgency))).collect();
        let ranks = admit::revised_ranks(&ranks, &[]);
        let mut demands = Vec::with_capacity(ctx.ledger.jobs.len());
        for (id, job) in &ctx.ledger.jobs {
            let (held, limbo) = counts.get(id).copied().unwrap_or_default();
            let runnable = job.remaining().saturating_sub(held + limbo);
            let Some(team) =
                ctx.settings.params.teams.iter().position(|t| t.name == job.spec.owner)
            else {
                continue;
            };
            // A job that fails everywhere keeps the value it would have, but only one task
            // tries.
            let tries = if failing.contains(id) { runnable.min(1) } else { runnable };
            demands.push(Demand {
                job: *id,
                rank: ranks.get(id).copied().unwrap_or(u32::MAX),
                weight: weight(ctx, job, self.run_s(job), required.contains(id)),
                curve: match job.spec.shape {
                    Shape::Gang => Curve::Step,
                    Shape::Sweep | Shape::Service => Curve::Concave { fade: FADE },
                },
                team,
                cores: Need::of(&job.spec).cores,
                min: held,
                max: held + tries,
                required: required.contains(id),
            });
        }
        demands
    }

    fn decide_capacity(
        &mut self,
        ctx: &Context<'_>,
        on: &HashMap<TaskId, Seen>,
        rooms: &[Room],
        epoch: &Epoch,
    ) {
        let now = ctx.now;
        let granting: HashSet<TaskId> = epoch.grants.iter().map(|g| g.0).collect();
        let mut wants: Vec<Want<'_>> = Vec::new();
        let (mut brief_cores, mut urgent) = (Cores(0), Cores(0));
        let mut team_room: HashMap<&str, u64> = HashMap::new();
        for t in &ctx.settings.params.teams {
            let limit = t.core_limit().map_or(u64::MAX, |c| c.0);
            team_room.insert(&t.name, limit);
        }
        let mut held: HashMap<JobId, u32> = HashMap::new();
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
            let brief = capacity::is_brief(ctx.flavors, &job.spec, self.run_s(job));
            if brief {
                let cores = need.cores.0 * u64::from(wanted);
                brief_cores.0 += cores;
                urgent.0 += if job.spec.urgency <= Urgency::High { cores } else { 0 };
            }
            let running = held.get(&job.spec.r#ref).copied().unwrap_or(0);
            wants.push(Want {
                spec: &job.spec,
                tasks: wanted.saturating_sub(running),
                running,
                brief,
            });
        }
        self.market.note(now, brief_cores, urgent);
        let free: HashMap<&MachineId, &Room> = rooms.iter().map(|r| (&r.id, r)).collect();
        let machines: Vec<Held> = self
            .fleet
            .iter()
            .filter(|(id, _)| !self.gone.contains(*id))
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
        let next = PlanSeq(self.seq + 1);
        for id in self.decision.retire.clone() {
            if let Some(m) = self.fleet.get_mut(&id) {
                tracing::info!(machine = %id, "draining an idle machine");
                m.draining = Some(next);
            }
        }
    }

    /// What to rent now. Rentals are made one after the other, so each sees the last's effect.
    pub fn to_rent(&self) -> Option<(Offer, u32)> {
        self.decision.rent.first().cloned()
    }

    /// Machines that may be returned now: drained and empty, failed, silent beyond any lease,
    /// or never come up. What is on them dies with them, and the cloud's answer proves it.
    pub fn to_return(&self, ctx: &Context<'_>) -> Vec<MachineId> {
        let now = ctx.now;
        let views: HashMap<&MachineId, (&MachineView, NodeId)> =
            self.views().map(|(m, n, _)| (&m.id, (m, n))).collect();
        let lease = plus_drift(ctx.settings.worker_lease_ms()) + 1_000;
        // Whoever is up has had a whole lease to report to this term's controllers.
        let calm = now.since(self.began) > lease;
        let quick = ((ctx.settings.params.workers.report_s * 4_000.0) as u64).clamp(5_000, lease);
        self.fleet
            .iter()
            .filter(|(id, m)| {
                let startup = ctx.flavors.get(&m.offer.hull).map_or(60.0, |f| f.startup_s);
                if m.failed {
                    return true;
                }
                match views.get(id) {
                    Some((v, node)) => {
                        let followed =
                            self.nodes.get(node).map_or(PlanSeq(0), |n| n.summary.followed);
                        let drained = m.draining.is_some_and(|s| followed >= s)
                            && v.tasks.is_empty()
                            && v.settled
                            && !self.may_still_hold(id);
                        let heard = self.heard.get(id).copied().unwrap_or(self.began);
                        let limit = if self.hears_well(ctx, *node) { quick } else { lease };
                        drained || (calm && now.since(heard) > limit)
                    }
                    None => {
                        let heard = self.heard.get(id).copied().unwrap_or(self.began);
                        let silent = now.since(heard);
                        let never = (startup * 4_000.0).max(90_000.0) as u64;
                        if m.up || ctx.ledger.machine_known(id) && now.since(m.since) > never {
                            calm && silent > lease
                        } else {
                            now.since(m.since) > never && silent > lease
                        }
                    }
                }
            })
            .map(|(id, _)| id.clone())
            .take(50)
            .collect()
    }

    /// Whether silence of a machine can only be its own: all controllers are heard, none of
    /// them restarted lately, and its owner hears others. A machine that is merely cut off
    /// for longer would lose its tasks with its lease anyway.
    fn hears_well(&self, ctx: &Context<'_>, owner: NodeId) -> bool {
        let settled_ms = plus_drift(ctx.settings.worker_lease_ms()) + 5_000;
        self.nodes.len() == ctx.nodes.len()
            && self
                .nodes
                .values()
                .all(|n| ctx.now.since(n.at) < 1_000 && n.summary.up_ms > settled_ms)
            && self.views().any(|(m, node, _)| node == owner && m.silent_ms < 2_000)
    }

    /// Whether an order under way could still bring a task to a drained machine.
    fn may_still_hold(&self, id: &MachineId) -> bool {
        self.unsettled.contains(id)
    }

    fn compose(&mut self, ctx: &Context<'_>, on: &HashMap<TaskId, Seen>, epoch: &mut Epoch) {
        let ops = ctx.settings.params.state.txn_ops;
        let mut apply = Vec::new();
        if epoch.grants.iter().any(|g| !self.durable.contains(&g.0)) {
            let mut all: BTreeSet<TaskId> = self.granted.keys().copied().collect();
            all.extend(self.revoked.keys());
            all.extend(self.limbo.iter());
            all.extend(on.keys().filter(|t| ctx.ledger.may_run(**t)));
            all.extend(epoch.grants.iter().map(|g| g.0));
            let records = split_record(self.term, &all);
            if records.len() + 1 >= ops {
                tracing::error!(keys = records.len(), "too many granted ranges for a transaction");
                epoch.grants.clear();
            } else {
                let stale = ctx.ledger.epochs.keys().filter(|n| **n as usize >= records.len());
                let drops: Vec<Change> =
                    stale.map(|n| Change::Drop { path: ledger::epoch_key(*n) }).collect();
                for (n, record) in records.iter().enumerate() {
                    apply.push(Change::Set {
                        path: ledger::epoch_key(n as u32),
                        value: wire::to_value(record),
                        lease: None,
                    });
                }
                // A record that is not dropped only names tasks that may be running, which
                // is safe, so dropping may wait for room.
                apply.extend(drops.into_iter().take(ops.saturating_sub(apply.len() + 1)));
                epoch.durable = Some(all);
            }
        }
        self.machine_changes(ctx, ops, &mut apply);
        if !apply.is_empty() {
            epoch.txn = Some(Txn { guards: ctx.ledger.lead_guard().into_iter().collect(), apply });
        }
    }

    /// Machines become durable before anything can start on them, and stay as tombstones for
    /// a while once they are gone.
    fn machine_changes(&self, ctx: &Context<'_>, ops: usize, apply: &mut Vec<Change>) {
        let put = |id: &MachineId, record: &MachineRecord| Change::Set {
            path: ledger::machine_key(id),
            value: wire::to_value(record),
            lease: None,
        };
        let room = |apply: &Vec<Change>| apply.len() + 1 < ops;
        for (id, m) in &self.fleet {
            let known = ctx.ledger.machines.get(id).map(|m| &m.0);
            if room(apply)
                && known.is_none_or(|k| m.up && !k.up && k.gone.is_none())
                && !self.gone.contains(id)
            {
                let record = MachineRecord {
                    hull: m.offer.hull.clone(),
                    zone: m.offer.zone.clone(),
                    spot: m.offer.spot,
                    up: m.up,
                    gone: None,
                };
                apply.push(put(id, &record));
            }
        }
        for (id, (m, _)) in &ctx.ledger.machines {
            if !room(apply) {
                return;
            }
            match m.gone {
                None if self.gone.contains(id) => {
                    let record = MachineRecord { gone: Some(ctx.wall), ..m.clone() };
                    apply.push(put(id, &record));
                }
                Some(at) if ctx.wall.0.saturating_sub(at.0) > TOMBSTONE_MS => {
                    apply.push(Change::Drop { path: ledger::machine_key(id) });
                }
                _ => {}
            }
        }
    }

    /// Makes an epoch hold, once its transaction is known to be carried out.
    pub fn publish(&mut self, ctx: &Context<'_>, epoch: Epoch) {
        if let Some(durable) = epoch.durable {
            self.durable = durable;
        }
        for (task, g) in epoch.grants {
            self.granted.insert(task, Granted { at: ctx.now, ..g });
        }
        self.seq += 1;
        let on = self.on_machines();
        let standings = self.standings(ctx, &on);
        let drain: Vec<MachineId> = self
            .fleet
            .iter()
            .filter(|(_, m)| m.draining.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        let owners: Vec<(MachineId, NodeId)> =
            self.owners.iter().map(|(id, (n, _))| (id.clone(), *n)).collect();
        type Alike = (JobId, Option<String>, Option<Attempt>);
        let mut grants: HashMap<NodeId, BTreeMap<Alike, Ranges>> = HashMap::new();
        for (t, g) in &self.granted {
            let jobs = grants.entry(g.node).or_default();
            jobs.entry((t.job, g.zone.clone(), g.attempt)).or_default().insert(t.index);
        }
        for (id, node) in &mut self.nodes {
            let mine = grants.remove(id).unwrap_or_default();
            node.plan = Some(Plan {
                term: self.term,
                life: node.life,
                seq: PlanSeq(self.seq),
                clock_ms: ctx.now.0,
                owners: owners.clone(),
                grants: mine
                    .into_iter()
                    .map(|((job, zone, attempt), tasks)| Grant { job, tasks, zone, attempt })
                    .collect(),
                drain: drain.clone(),
                standings: standings.clone(),
            });
        }
    }

    fn standings(&self, ctx: &Context<'_>, on: &HashMap<TaskId, Seen>) -> Vec<Standing> {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for (t, _) in on.iter().filter(|(_, s)| s.stage != PieceStage::Unknown) {
            *running.entry(t.job).or_default() += 1;
        }
        ctx.ledger
            .jobs
            .keys()
            .map(|job| Standing {
                job: *job,
                running: running.get(job).copied().unwrap_or(0),
                waits: self.waits.get(job).copied().unwrap_or(Waits::No),
            })
            .collect()
    }

    /// A line for operators: what is held, granted and open.
    pub fn describe(&self, ctx: &Context<'_>) -> String {
        let on = self.on_machines();
        format!(
            "machines={} up={} owners={} tasks={} granted={} limbo={} unsettled={} jobs={}",
            self.fleet.len(),
            self.fleet.values().filter(|m| m.up).count(),
            self.owners.len(),
            on.len(),
            self.granted.keys().filter(|t| !on.contains_key(t)).count(),
            self.limbo.len(),
            self.unsettled.len(),
            ctx.ledger.jobs.len(),
        )
    }

    /// A node's plan as of now, for messages through the store.
    pub fn plan_for(&self, node: NodeId, now: Steady) -> Option<Plan> {
        let mut plan = self.nodes.get(&node)?.plan.clone()?;
        plan.clock_ms = now.0;
        Some(plan)
    }

    /// Forgets a wish to rent that was dealt with.
    pub fn forget_rental(&mut self, offer: &Offer) {
        self.decision.rent.retain(|(o, _)| o != offer);
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

/// Whether a summary tells of other tasks or machines than the one before.
fn differs(a: &Summary, b: &Summary) -> bool {
    let tasks = |s: &Summary| -> Vec<(TaskId, bool)> {
        let all = s.machines.iter().flat_map(|m| &m.tasks);
        all.map(|t| (t.task, t.stage == PieceStage::Fetching)).collect()
    };
    let machines = |s: &Summary| -> Vec<(MachineId, bool, bool)> {
        let all = s.machines.iter();
        all.map(|m| (m.id.clone(), m.settled, m.warning_ms.is_some() || m.shunned)).collect()
    };
    let strays = |s: &Summary| s.strays.iter().map(|m| m.id.clone()).collect::<Vec<_>>();
    tasks(a) != tasks(b) || machines(a) != machines(b) || strays(a) != strays(b)
}

/// Highest-random-weight hashing of a machine over controllers.
fn rendezvous(id: &MachineId, node: NodeId) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in id.0.bytes().chain([b'#', node.0]) {
        h = (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 29)
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
                late if late < -0.5 * due => 0.6,
                late if late < 0.0 => 0.8,
                // Among those that can make it, little work first: more jobs make it so.
                _ => 1.0 + (1.0 + 0.3 * age / due) / (0.3 + work),
            }
        }
        None => 1.0 + age / 600.0,
    };
    base * pressing * if required { 1.5 } else { 1.0 }
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

/// Splits granted tasks over records that fit into a value.
fn split_record(term: Term, tasks: &BTreeSet<TaskId>) -> Vec<EpochRecord> {
    let mut by_job: BTreeMap<JobId, Ranges> = BTreeMap::new();
    for t in tasks {
        by_job.entry(t.job).or_default().insert(t.index);
    }
    let mut records = vec![EpochRecord { term, granted: Vec::new() }];
    let mut size = 0;
    for (job, ranges) in by_job {
        // A job with many gaps is cut into pieces, so that no key grows beyond its limit.
        for spans in ranges.spans().chunks(200) {
            let cost = 24 + spans.len() * 16;
            if size + cost > RECORD_FILL {
                records.push(EpochRecord { term, granted: Vec::new() });
                size = 0;
            }
            size += cost;
            let part: Ranges = spans.iter().flat_map(|s| s.0..s.1).collect();
            if let Some(last) = records.last_mut() {
                last.granted.push((job, part));
            }
        }
    }
    records
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::EXAMPLE;
    use crate::core::{Core, Moment};
    use crate::ledger::{Accepted, Brought, LeadRecord, TermRecord};
    use crate::model::{Revision, Session, StoreLease};
    use crate::peer::TaskView;
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
        let machine = |up| MachineRecord {
            hull: "small".into(),
            zone: "a".into(),
            spot: false,
            up,
            gone: None,
        };
        let item = |path: &str, v| Item { path: path.into(), v, stamp: Revision(9) };
        let accepted = Accepted { spec: spec(1, 1), at: Wall(1) };
        core.load(
            &[
                item(&ledger::job_key(job), wire::to_value(&accepted)),
                item(&ledger::epoch_key(0), wire::to_value(&record)),
                item(ledger::LEAD_KEY, wire::to_value(&lead)),
                item(ledger::TERM_KEY, wire::to_value(&TermRecord { term: Term(3) })),
                item("m/n-1", wire::to_value(&machine(true))),
                item("m/n-2", wire::to_value(&machine(true))),
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
            session: Session(1),
            settled,
            silent_ms: 0,
            warning_ms: None,
            shunned: false,
            faults: 0,
            tasks: tasks
                .iter()
                .map(|index| TaskView {
                    task: TaskId { job: JobId(1), index: *index },
                    attempt: Attempt(7),
                    stage: PieceStage::Running,
                    age_ms: 0,
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
            term: Term(3),
            followed: PlanSeq(followed),
            echo_ms: 0,
            up_ms: ms,
            machines,
            answered: vec![],
            strays: vec![],
            failing: vec![],
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
        assert!(!tell(&mut core, 1_500, 2, vec![view("n-2", true, &[])]), "n-1 is not told of");
        assert!(!tell(&mut core, 1_700, 2, both(&[0])), "it runs");
        assert!(tell(&mut core, 1_900, 3, both(&[])), "n-1 says itself that it is not there");
    }

    #[test]
    fn a_task_in_limbo_waits_for_every_machine_that_may_have_it() {
        let mut core = leader();
        let seen = |settled| vec![view("n-1", settled, &[]), view("n-2", true, &[])];
        assert!(!tell(&mut core, 1_100, 0, vec![]));
        assert!(!tell(&mut core, 1_300, 2, seen(false)), "n-1 may still take older orders");
        assert!(tell(&mut core, 1_500, 3, seen(true)));
    }
}
