//! The machines as the leader knows them: who owns them, what their owners tell of them, and
//! the proofs that a machine, or what was on it, is gone.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::capacity::Offer;
use crate::config::Pace;
use crate::context::Context;
use crate::model::{Incarnation, MachineId, NodeId, PlanSeq, Session, Steady, TaskId};
use crate::peer::{MachineView, OwnerNews, Summary};
use crate::place::Room;
use crate::term::{last_right, plus_drift};
use crate::wire::{self, HostList, PieceStage};

mod proof;

/// A controller that has not been heard for that long is taken as lost.
pub const NODE_LOST_MS: u64 = 3_000;
/// A controller that the store has not served for that long hands its machines over; for half
/// of it, nothing new is granted to it.
const UNSERVED_MS: u64 = 5_000;
/// How long a stray must have been unable to reach its owner before it is moved.
const STRAY_MS: u64 = 2_500;
/// The same when it is one of a few, which may be at fault themselves: moving it costs a term.
const FEW_STRAYS_MS: u64 = 12_000;
/// Time within which a machine must lose its session twice to be taken for one that is not
/// worth keeping.
const LOSING_MS: u64 = 60_000;
/// Part of the machines, and least number of them, that are cut off rather than dead when
/// they are silent together; how long they are waited for then.
const MANY_PART: usize = 6;
const MANY_LEAST: usize = 8;
const CUT_OFF_MS: u64 = 60_000;
/// How long a controller that hears no workers gets no part.
const UNHEARD_MS: u64 = 60_000;
/// How long a machine that could not reach its owner is given to the controller that heard it.
const REASSIGNED_MS: u64 = 60_000;
/// A controller hears workers if one reported within that time.
const HEARS_MS: u64 = 2_000;
/// Part of the machines that are returned when only they keep a proof waiting; how long that is
/// waited for beyond a report. In a small fleet one machine is much of it.
const FEW_PART: usize = 50;
const FEW_WAIT_MS: u64 = 6_000;
/// Silence beyond a lease after which a machine is returned though the term is young.
const LONG_SILENT_MS: u64 = 3_000;
/// What is added to twice the lag of the cloud's list before a machine counts as missing in it.
const LIST_MARGIN_MS: u64 = 2_000;
/// Removed machines of which parts are told, before they are told all owners anew.
const GONE_TOLD: usize = 400;

/// What a controller told last.
pub struct NodeState {
    /// The life of its process.
    pub life: Incarnation,
    /// Its last summary's number.
    pub number: u64,
    /// The plan that it follows.
    pub followed: PlanSeq,
    /// The leader's clock that it echoed.
    pub echo_ms: u64,
    /// How long its process had been up.
    pub up_ms: u64,
    /// How long the store had not served it.
    pub served_ms: u64,
    /// How long no worker had reported to it.
    pub heard_ms: u64,
    /// When that was heard.
    pub at: Steady,
    /// When its first summary of this term was, which told of all answers that it remembered.
    first: Steady,
    /// Jobs that fail wherever it tries them.
    pub failing: Vec<u64>,
    strays: Vec<crate::peer::Stray>,
    restarted: Vec<MachineId>,
    /// When the cloud takes machines of its part.
    notices: BTreeMap<MachineId, Steady>,
    machines: BTreeMap<MachineId, Known>,
    /// What the first pieces of a summary told whose last one has not come.
    pending: Option<Pending>,
}

/// Pieces of a summary.
#[derive(Default)]
struct Pending {
    /// Whether all that was known before is replaced.
    whole: bool,
    views: Vec<MachineView>,
    answered: Vec<(MachineId, Steady)>,
}

/// A machine as its owner told of it.
struct Known {
    view: MachineView,
    shun_until: Steady,
    /// When it last reported to its owner.
    heard: Steady,
}

/// What is known of a machine besides its reports.
#[derive(Clone, Debug)]
pub struct FleetMachine {
    /// What it is.
    pub offer: Offer,
    /// When it was rented, as far as known.
    pub since: Steady,
    /// Whether it has reported.
    pub up: bool,
    /// Where its worker listens, once it has.
    pub endpoint: Rc<str>,
    /// When something last ran on it.
    pub busy: Steady,
    /// The plan from which on it takes nothing new.
    pub draining: Option<PlanSeq>,
    /// Whether the cloud says that it stopped by itself.
    pub failed: bool,
    session: Session,
    lost_session: Option<Steady>,
    /// It lost its session twice in a short time.
    pub losing: bool,
    /// When the cloud first listed it.
    listed: Option<Steady>,
    /// A later list does not have it any more.
    pub missing: bool,
}

/// Whom a machine is given to that could not reach its owner.
struct Reassigned {
    /// The controller that heard it.
    node: NodeId,
    until: Steady,
}

/// A task that is on a machine.
#[derive(Clone, Copy)]
pub struct Seen<'a> {
    /// The machine.
    pub machine: &'a MachineView,
    /// Its state there.
    pub stage: PieceStage,
}

/// Tasks on settled machines.
pub type OnMachines<'a> = FxHashMap<TaskId, Seen<'a>>;

/// What became of a summary.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// It was taken; whether it tells anything that an epoch should look at.
    Yes(bool),
    /// It is late.
    Late,
    /// It adds to one that is not known.
    Gap,
    /// It comes from a new life of a controller that was counted with.
    NewLife,
}

/// The machines in one term.
pub struct Fleet {
    began: Steady,
    /// What controllers told in this term.
    pub nodes: BTreeMap<NodeId, NodeState>,
    /// Owner of each machine, and the first plan that names it.
    pub owners: BTreeMap<MachineId, (NodeId, PlanSeq)>,
    removed: Vec<(MachineId, PlanSeq)>,
    /// Machines that may still take or run what earlier terms ordered.
    pub unsettled: BTreeSet<MachineId>,
    /// Machines that the cloud confirmed to be gone.
    pub gone: HashSet<MachineId>,
    heard: HashMap<MachineId, Steady>,
    /// Machines whose lease has run out, and the session that ended with it: what their owner
    /// still remembers of that session is over.
    pub lapsed: BTreeMap<MachineId, Session>,
    absent: HashMap<NodeId, (u64, Steady)>,
    /// Controllers that hear no workers, and until when they get no part for that.
    unheard: HashMap<NodeId, Steady>,
    /// Machines that could not reach their owner.
    reassigned: HashMap<MachineId, Reassigned>,
    /// Whether tasks wait for the proof that they are not on an unsettled machine.
    pub awaited: bool,
    /// The leader that was replaced as a majority did not hear it: its summary is not waited for.
    pub replaced: Option<NodeId>,
    /// All machines that are held.
    pub machines: BTreeMap<MachineId, FleetMachine>,
}

impl Fleet {
    /// Begins a term. What was known of machines stays; what was told of tasks does not.
    pub fn begin(ctx: &Context<'_>, before: Option<Fleet>) -> Self {
        let mut fleet = Fleet {
            began: ctx.now,
            nodes: BTreeMap::new(),
            owners: BTreeMap::new(),
            removed: Vec::new(),
            unsettled: BTreeSet::new(),
            gone: HashSet::new(),
            heard: HashMap::new(),
            lapsed: BTreeMap::new(),
            absent: HashMap::new(),
            unheard: HashMap::new(),
            reassigned: HashMap::new(),
            awaited: false,
            replaced: None,
            machines: BTreeMap::new(),
        };
        if let Some(old) = before {
            fleet.gone = old.gone;
            fleet.heard = old.heard;
            fleet.absent = old.absent;
            fleet.unheard = old.unheard;
            fleet.reassigned = old.reassigned;
            fleet.reassigned.retain(|_, r| r.until > ctx.now);
            fleet.machines = old.machines;
            for m in fleet.machines.values_mut() {
                m.draining = m.draining.map(|_| PlanSeq(1));
            }
        }
        let may_hold = ctx
            .ledger
            .machines
            .iter()
            .filter(|(id, m)| m.up && m.gone.is_none() && !fleet.gone.contains(*id));
        fleet.unsettled = may_hold.map(|(id, _)| id.clone()).collect();
        fleet
    }

    /// Takes a summary.
    pub fn on_summary(&mut self, now: Steady, s: Summary) -> Taken {
        match self.nodes.get(&s.node) {
            // Its predecessor may have started tasks that nobody knows of.
            Some(known) if known.life != s.life => return Taken::NewLife,
            Some(known) if s.number <= known.number => return Taken::Late,
            Some(known) if s.base > known.number => return Taken::Gap,
            None if s.base > 0 => return Taken::Gap,
            _ => {}
        }
        let state = self.nodes.entry(s.node).or_insert_with(|| NodeState {
            life: s.life,
            number: 0,
            followed: PlanSeq(0),
            echo_ms: 0,
            up_ms: 0,
            served_ms: 0,
            heard_ms: 0,
            at: now,
            first: now,
            failing: Vec::new(),
            strays: Vec::new(),
            restarted: Vec::new(),
            notices: BTreeMap::new(),
            machines: BTreeMap::new(),
            pending: None,
        });
        let mut changed = state.strays.len() != s.strays.len() || !s.machines.is_empty();
        changed |= state.followed != s.followed;
        state.number = s.number;
        state.up_ms = s.up_ms;
        state.served_ms = s.served_ms;
        state.heard_ms = s.heard_ms;
        state.at = now;
        state.failing = s.failing;
        state.strays = s.strays;
        state.restarted = s.restarted;
        state.notices = s.notices.into_iter().map(|(id, ms)| (id, now.plus(ms))).collect();
        let answered = s.answered.into_iter().map(|(id, age)| (id, now.less(age)));
        let mut pieces = state.pending.take().filter(|_| s.base > 0).unwrap_or_default();
        pieces.whole |= s.base == 0;
        pieces.views.extend(s.machines);
        for (id, at) in answered {
            let heard = self.heard.entry(id.clone()).or_default();
            *heard = (*heard).max(at);
            pieces.answered.push((id, at));
        }
        if s.more {
            // What was known stays until all is there: a task that is missing for a while
            // would be taken for one that is nowhere.
            state.pending = Some(pieces);
            return Taken::Yes(false);
        }
        state.followed = s.followed;
        state.echo_ms = s.echo_ms;
        let mut before = match pieces.whole {
            true => std::mem::take(&mut state.machines),
            false => BTreeMap::new(),
        };
        for view in pieces.views {
            let shun_until = now.plus(view.shun_ms);
            let old = before.remove(&view.id).or_else(|| state.machines.remove(&view.id));
            let heard = old.map_or(Steady(0), |k| k.heard);
            state.machines.insert(view.id.clone(), Known { view, shun_until, heard });
        }
        for (id, at) in pieces.answered {
            if let Some(known) = state.machines.get_mut(&id) {
                known.heard = known.heard.max(at);
            }
        }
        let state = &self.nodes[&s.node];
        if !self.unsettled.is_empty() {
            let settled: Vec<MachineId> = state
                .machines
                .values()
                .filter(|k| k.view.settled && self.tells(s.node, state, &k.view.id))
                .map(|k| k.view.id.clone())
                .collect();
            for id in settled {
                self.unsettled.remove(&id);
            }
        }
        Taken::Yes(changed)
    }

    /// Controllers that are heard.
    pub fn live(&self, now: Steady) -> Vec<NodeId> {
        let heard = self.nodes.iter().filter(|(_, n)| now.since(n.at) < NODE_LOST_MS);
        heard.map(|(id, _)| *id).collect()
    }

    /// Controllers that may own machines: they are heard, the store serves them, and workers reach
    /// them. One that the store refuses knows neither new jobs nor cancellations, and its right to
    /// answer ends soon.
    pub fn able(&self, now: Steady) -> Vec<NodeId> {
        let served = |id: &NodeId| self.nodes.get(id).is_some_and(|n| n.served_ms < UNSERVED_MS);
        let heard = |id: &NodeId| self.unheard.get(id).is_none_or(|until| *until <= now);
        self.live(now).into_iter().filter(|id| served(id) && heard(id)).collect()
    }

    /// Notes controllers that hear none of their machines while others hear theirs: all their
    /// machines have to move at once. Found one by one, they would move a few in every term.
    pub fn note_unheard(&mut self, now: Steady, pace: &Pace) {
        let limit = pace.stray_ms + 1_000;
        if now.since(self.began) < limit + NODE_LOST_MS {
            return;
        }
        let able = self.able(now);
        let hears = |id: &NodeId| self.nodes.get(id).is_some_and(|n| n.heard_ms < HEARS_MS);
        if !able.iter().any(hears) {
            return;
        }
        let mut owned: HashMap<NodeId, usize> = HashMap::new();
        for (id, (owner, _)) in &self.owners {
            if self.machines.get(id).is_some_and(|m| m.up) {
                *owned.entry(*owner).or_default() += 1;
            }
        }
        for id in able {
            let silent = self.nodes.get(&id).is_some_and(|n| n.heard_ms > limit);
            if silent && owned.get(&id).is_some_and(|n| *n >= MANY_LEAST) {
                tracing::warn!(node = id.0, "hears none of its machines");
                self.unheard.insert(id, now.plus(UNHEARD_MS));
            }
        }
    }

    /// Whether a controller speaks for a machine: it owns it and follows a plan of this term
    /// that says so. What it remembers from an earlier term may be missing in its next
    /// summary without having ended.
    fn tells(&self, node: NodeId, state: &NodeState, id: &MachineId) -> bool {
        self.owners.get(id).is_some_and(|(owner, since)| *owner == node && state.followed >= *since)
            && !self.gone.contains(id)
    }

    fn known(&self) -> impl Iterator<Item = (&Known, NodeId, &NodeState)> {
        self.nodes.iter().flat_map(move |(node, n)| {
            let told = n.machines.values();
            let over =
                |k: &&Known| self.lapsed.get(&k.view.id).is_some_and(|s| k.view.session <= *s);
            told.filter(move |k| self.tells(*node, n, &k.view.id) && !over(k))
                .map(move |k| (k, *node, n))
        })
    }

    /// Machine views from owners, as they last told.
    pub fn views(&self) -> impl Iterator<Item = &MachineView> {
        self.known().map(|(k, _, _)| &k.view)
    }

    /// Where tasks are. Only a machine that reported with this term's token tells that: what
    /// is known of others may have ended and been started elsewhere since.
    pub fn on_machines(&self) -> OnMachines<'_> {
        let mut on = OnMachines::default();
        for (k, _, _) in self.known().filter(|(k, _, _)| k.view.settled) {
            for t in &k.view.tasks {
                on.insert(t.task, Seen { machine: &k.view, stage: t.stage });
            }
        }
        on
    }

    fn owner_state(&self, id: &MachineId) -> Option<&NodeState> {
        self.nodes.get(&self.owners.get(id)?.0)
    }

    /// When the cloud takes a machine, if it gave notice.
    pub fn leaves(&self, id: &MachineId) -> Option<Steady> {
        self.owner_state(id)?.notices.get(id).copied()
    }

    /// Whether a machine reported to its owner, and its owner here, within that time.
    pub fn heard_within(&self, now: Steady, id: &MachineId, ms: u64) -> bool {
        let owner = self.owner_state(id).filter(|n| now.since(n.at) < NODE_LOST_MS);
        let known = owner.and_then(|n| n.machines.get(id));
        known.is_some_and(|k| now.since(k.heard) < ms)
    }

    /// Machines as placement sees them.
    pub fn rooms(&self, ctx: &Context<'_>) -> Vec<Room> {
        let pace = ctx.settings.pace();
        self.known()
            .filter_map(|(k, _, n)| {
                let m = self.machines.get(&k.view.id)?;
                let v = &k.view;
                let open = ctx.now.since(n.at) < NODE_LOST_MS
                    && n.served_ms < UNSERVED_MS / 2
                    && ctx.now.since(k.heard) < pace.silent_ms
                    && m.draining.is_none()
                    && v.settled
                    && !v.leaving
                    && k.shun_until <= ctx.now;
                let tasks = v.tasks.iter().map(|t| (t.task, t.stage));
                let what = (&v.id, &v.hull, &v.zone, v.spot);
                Room::of(what, tasks, &v.images, ctx.flavors, ctx.ledger, open)
            })
            .collect()
    }

    /// Follows which controllers are members.
    pub fn follow_members(&mut self, ctx: &Context<'_>) {
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

    /// Why a new term is needed, if one is: an owner is lost, or machines cannot reach theirs.
    pub fn wants_new_term(
        &mut self,
        now: Steady,
        served_for: u64,
        pace: &Pace,
    ) -> Option<&'static str> {
        if now.since(self.began) < NODE_LOST_MS {
            return None;
        }
        let live = self.live(now);
        if self.owners.values().any(|(o, _)| !live.contains(o)) {
            return Some("the owner of machines is not heard");
        }
        let able = self.able(now);
        // After an outage for all, the others' last word is still of that time.
        let calm = served_for > UNSERVED_MS + 2_000;
        if calm && !able.is_empty() && self.owners.values().any(|(o, _)| !able.contains(o)) {
            return Some("the store or the workers do not reach the owner of machines");
        }
        self.reassign_out_of_reach(now, &live, pace).then_some("machines cannot reach their owner")
    }

    /// Notes which machines cannot reach their owner and which controller hears them instead, so that it gets them in
    /// the next term. Says whether they are enough, or have waited long enough, to take one for them.
    fn reassign_out_of_reach(&mut self, now: Steady, live: &[NodeId], pace: &Pace) -> bool {
        // They go back to the cloud; no owner would take them.
        let restarted: Vec<&MachineId> = self.nodes.values().flat_map(|n| &n.restarted).collect();
        let mut found: Vec<(MachineId, NodeId)> = Vec::new();
        let mut long = false;
        for node in live {
            let Some(state) = self.nodes.get(node) else { continue };
            for s in &state.strays {
                if s.since_ms > STRAY_MS
                    && s.silent_ms < pace.stray_ms
                    && self.owners.get(&s.id).is_some_and(|(owner, _)| owner != node)
                    && !self.owner_hears(now, &s.id, s.silent_ms)
                    && !restarted.contains(&&s.id)
                {
                    found.push((s.id.clone(), *node));
                    long |= s.since_ms > FEW_STRAYS_MS;
                }
            }
        }
        let takes_term = found.len() > self.owners.len() / 20 || long;
        if takes_term {
            let until = now.plus(REASSIGNED_MS);
            let reassigned = found.into_iter().map(|(id, node)| (id, Reassigned { node, until }));
            self.reassigned.extend(reassigned);
        }
        takes_term
    }

    /// The controller that hears a machine which could not reach its owner.
    fn reassigned_to(&self, now: Steady, id: &MachineId, live: &[NodeId]) -> Option<NodeId> {
        let reassigned = self.reassigned.get(id).filter(|r| r.until > now)?;
        live.contains(&reassigned.node).then_some(reassigned.node)
    }

    /// Whether a machine's owner has heard it lately, or later than the controller that heard it
    /// that many milliseconds ago.
    fn owner_hears(&self, now: Steady, id: &MachineId, silent_ms: u64) -> bool {
        let owner = self.owners.get(id).and_then(|(owner, _)| self.nodes.get(owner));
        let known = owner.and_then(|n| n.machines.get(id));
        known.is_some_and(|k| now.since(k.heard) < silent_ms.max(STRAY_MS))
    }

    fn zone_of<'a>(&'a self, ctx: &'a Context<'_>, id: &MachineId) -> Option<&'a str> {
        let held = self.machines.get(id).map(|m| m.offer.zone.as_str());
        held.or_else(|| ctx.ledger.machines.get(id).map(|m| m.zone.as_str()))
    }

    /// The owner of a machine among live controllers: the one that hears it if it could not reach its owner lately,
    /// else those of its zone if one is up, else all; the highest hash wins.
    pub fn owner_for(&self, ctx: &Context<'_>, id: &MachineId, live: &[NodeId]) -> Option<NodeId> {
        if let Some(node) = self.reassigned_to(ctx.now, id, live) {
            return Some(node);
        }
        let zone = self.zone_of(ctx, id);
        let near: Vec<NodeId> = live
            .iter()
            .copied()
            .filter(|n| zone == ctx.nodes.get(usize::from(n.0)).map(|n| n.zone.as_str()))
            .collect();
        let pool = if near.is_empty() { live } else { &near };
        pool.iter().copied().max_by_key(|n| rendezvous(id, *n))
    }

    /// Gives every machine without an owner one; `next` is the plan that will say so.
    pub fn assign(&mut self, ctx: &Context<'_>, next: PlanSeq) {
        let now = ctx.now;
        let mut live = self.able(now);
        live.retain(|id| self.nodes[id].served_ms < UNSERVED_MS * 2 / 5);
        let replaced = self.replaced.filter(|id| !live.contains(id));
        let awaited = ctx.ledger.members.keys().filter(|id| Some(**id) != replaced);
        let expected = awaited.count().min(ctx.nodes.len());
        if live.is_empty() || (live.len() < expected && now.since(self.began) < 1_000) {
            return;
        }
        let heard_ms = ctx.settings.pace().stray_ms + 2_000;
        let mut strays: HashMap<MachineId, NodeId> = HashMap::new();
        let mut found: Vec<(MachineId, Offer)> = Vec::new();
        for (node, n) in self.nodes.iter().filter(|(id, _)| live.contains(id)) {
            for s in n.strays.iter().filter(|s| s.silent_ms < heard_ms) {
                let offer = Offer { hull: s.hull.clone(), zone: s.zone.clone(), spot: s.spot };
                found.push((s.id.clone(), offer));
                if s.since_ms > STRAY_MS {
                    strays.insert(s.id.clone(), *node);
                }
            }
        }
        for (id, offer) in found {
            if !self.is_gone(ctx, &id) {
                self.note_machine(now, &id, offer);
            }
        }
        for (id, m) in &ctx.ledger.machines {
            if m.gone.is_none() && !self.machines.contains_key(id) && !self.gone.contains(id) {
                let offer = Offer { hull: m.hull.clone(), zone: m.zone.clone(), spot: m.spot };
                self.note_machine(now, id, offer);
                // It may be gone without the record saying so: then it is returned when its
                // silence has lasted, and does not count as one that still boots.
                if let Some(known) = self.machines.get_mut(id) {
                    known.up = m.up;
                }
            }
        }
        let open: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !self.owners.contains_key(*id) && !self.gone.contains(*id))
            .cloned()
            .collect();
        for id in open {
            let owner = strays.get(&id).copied().or_else(|| self.owner_for(ctx, &id, &live));
            if let Some(owner) = owner {
                self.owners.insert(id, (owner, next));
            }
        }
    }

    /// Owners as a part has to be told that follows that plan.
    pub fn owner_news(&self, followed: PlanSeq) -> OwnerNews {
        let lost =
            self.removed.first().is_some_and(|r| r.1 > followed) && self.removed.len() >= GONE_TOLD;
        let base = if lost { PlanSeq(0) } else { followed };
        OwnerNews {
            base,
            set: self
                .owners
                .iter()
                .filter(|(_, (_, since))| *since > base || base == PlanSeq(0))
                .map(|(id, (owner, _))| (id.clone(), *owner))
                .collect(),
            gone: self
                .removed
                .iter()
                .filter(|(_, since)| base > PlanSeq(0) && *since > base)
                .map(|(id, _)| id.clone())
                .collect(),
        }
    }

    /// The newest plan that owners need.
    pub fn newest(&self) -> PlanSeq {
        let set = self.owners.values().map(|o| o.1);
        set.chain(self.removed.iter().map(|r| r.1)).max().unwrap_or_default()
    }

    fn is_gone(&self, ctx: &Context<'_>, id: &MachineId) -> bool {
        self.gone.contains(id) || ctx.ledger.machine_gone(id)
    }

    fn note_machine(&mut self, now: Steady, id: &MachineId, offer: Offer) {
        if self.machines.contains_key(id) {
            return;
        }
        let machine = FleetMachine {
            offer,
            since: now,
            up: false,
            endpoint: "".into(),
            busy: now,
            draining: None,
            failed: false,
            session: Session(0),
            lost_session: None,
            losing: false,
            listed: None,
            missing: false,
        };
        self.machines.insert(id.clone(), machine);
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
    fn listed(&mut self, ctx: &Context<'_>, host: &wire::ListedHost) {
        if self.is_gone(ctx, &host.r#ref) {
            return;
        }
        let offer = Offer { hull: host.hull.clone(), zone: host.yard.clone(), spot: host.loaners };
        let age = (host.held_s.max(0.0) * 1000.0) as u64;
        self.note_machine(ctx.now, &host.r#ref, offer);
        if let Some(m) = self.machines.get_mut(&host.r#ref) {
            m.since = m.since.min(ctx.now.less(age));
            m.listed.get_or_insert(ctx.now);
            m.missing = false;
            m.failed |= host.stage == wire::HostStage::Failed;
        }
    }

    /// Takes a page of the cloud's list as a whole: the machines after `after`, up to its last one
    /// unless it is the last page. A machine that was listed once stays listed until it is gone, but
    /// a list may be older than the one before, by twice the lag at most. That is no
    /// proof, only a reason to return it.
    pub fn listed_page(&mut self, ctx: &Context<'_>, after: Option<&MachineId>, page: &HostList) {
        page.hosts.iter().for_each(|host| self.listed(ctx, host));
        let names: HashSet<&MachineId> = page.hosts.iter().map(|h| &h.r#ref).collect();
        let last = page.hosts.last().map(|h| &h.r#ref).filter(|_| page.truncated);
        let sure_ms = (ctx.settings.params.cloud.list_lag_s * 2_000.0) as u64 + LIST_MARGIN_MS;
        for (id, m) in &mut self.machines {
            let covered = after.is_none_or(|a| id > a) && last.is_none_or(|l| id <= l);
            let known = m.listed.is_some_and(|at| ctx.now.since(at) > sure_ms);
            m.missing |= covered && known && !names.contains(id);
        }
    }

    /// The cloud confirmed that these machines and all on them are gone; `next` is the plan
    /// that will say so.
    pub fn machines_gone(&mut self, ids: &[MachineId], next: PlanSeq) {
        for id in ids {
            self.gone.insert(id.clone());
            if self.owners.remove(id).is_some() {
                self.removed.push((id.clone(), next));
            }
            if self.removed.len() > GONE_TOLD {
                self.removed.remove(0);
            }
            self.unsettled.remove(id);
            self.machines.remove(id);
            self.heard.remove(id);
            self.lapsed.remove(id);
        }
    }

    /// Learns from reports whether machines are up, busy, and able to keep their sessions.
    pub fn learn(&mut self, now: Steady) {
        let mut machines = std::mem::take(&mut self.machines);
        for (k, _, _) in self.known() {
            let Some(m) = machines.get_mut(&k.view.id) else { continue };
            if !m.up || !k.view.tasks.is_empty() {
                m.busy = now;
            }
            m.up = true;
            if m.endpoint.is_empty() {
                m.endpoint = k.view.endpoint.clone();
            }
            if k.view.session > m.session {
                if m.session > Session(0) {
                    m.losing |= m.lost_session.is_some_and(|at| now.since(at) < LOSING_MS);
                    m.lost_session = Some(now);
                }
                m.session = k.view.session;
            }
        }
        self.machines = machines;
    }

    /// Declares machines empty whose lease has certainly run out: every controller says, as of
    /// a moment a whole lease after the last answer anyone gave, that it gave no later one.
    pub fn silent_verdicts(&mut self, ctx: &Context<'_>) {
        let lease = plus_drift(ctx.settings.worker_lease_ms()) + 500;
        let mut told_until = Steady(u64::MAX);
        // Nobody tells of answers before that moment; each could be one to any machine.
        let mut last_other = Steady(0);
        let kept = ctx.settings.pace().answers_ms;
        for n in 0..ctx.nodes.len() {
            let id = NodeId(n as u8);
            match self.nodes.get(&id) {
                Some(n) if n.echo_ms > 0 => {
                    told_until = told_until.min(Steady(n.echo_ms));
                    // Its predecessor ended before this process started.
                    last_other = last_other.max(n.at.less(n.up_ms)).max(n.first.less(kept));
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
        let over = |id: &MachineId| {
            let last = self.heard.get(id).copied().unwrap_or_default().max(last_other);
            last.plus(lease) < told_until
        };
        let lapsed: Vec<(MachineId, Session)> = self
            .known()
            .filter(|(k, _, _)| k.view.settled && over(&k.view.id))
            .map(|(k, _, _)| (k.view.id.clone(), k.view.session))
            .collect();
        let silent: Vec<MachineId> = self.unsettled.iter().filter(|id| over(id)).cloned().collect();
        for (id, session) in lapsed {
            tracing::warn!(machine = %id, "lease has run out at every controller");
            self.lapsed.insert(id, session);
        }
        for id in silent {
            tracing::warn!(machine = %id, "lease has run out at every controller");
            // Its session is over, so nothing of earlier terms runs there; should it come
            // back, it reports a newer session.
            self.unsettled.remove(&id);
        }
    }

    /// Machines that may be returned now: drained and empty, failed, silent beyond any lease,
    /// deaf, or never come up. What is on them dies with them, and the cloud's answer proves it.
    pub fn to_return(&self, ctx: &Context<'_>) -> Vec<MachineId> {
        let now = ctx.now;
        let views: HashMap<&MachineId, (&Known, NodeId, &NodeState)> =
            self.known().map(|(k, id, n)| (&k.view.id, (k, id, n))).collect();
        let lease = plus_drift(ctx.settings.worker_lease_ms()) + 1_000;
        // Whoever is up has had a whole lease to report to this term's controllers.
        let calm = now.since(self.began) > lease;
        // Whatever an older controller kept alive has had time to come over.
        let deaf = now.since(self.began) > lease + plus_drift(ctx.settings.keep_alive_ms());
        let pace = ctx.settings.pace();
        let quick = pace.quick_ms;
        // The last few that do not show the token have mostly stopped, and what they may still run
        // keeps tasks of many jobs waiting for a whole lease.
        let up = self.machines.values().filter(|m| m.up).count();
        let few = self.awaited
            && are_few(self.unsettled.len(), up)
            && now.since(self.began) > pace.gap_ms + FEW_WAIT_MS;
        let restarted: HashSet<&MachineId> =
            self.nodes.values().flat_map(|n| &n.restarted).collect();
        let all_strays = self.nodes.values().flat_map(|n| &n.strays);
        let strays: HashSet<&MachineId> =
            all_strays.filter(|s| s.silent_ms < pace.stray_ms).map(|s| &s.id).collect();
        let well: Vec<NodeId> =
            self.nodes.keys().copied().filter(|node| self.hears_well(ctx, *node)).collect();
        let silent_ms =
            |id: &MachineId| now.since(self.heard.get(id).copied().unwrap_or(self.began));
        // Many that fall silent at once are cut off: what they ran is proven over by their
        // leases, and they will be wanted when they are back, with their images.
        let mute = self.machines.iter().filter(|(id, m)| m.up && silent_ms(id) > quick).count();
        let cut_off = mute > (up / MANY_PART).max(MANY_LEAST);
        let over = |id: &MachineId, m: &FleetMachine| {
            let startup = ctx.flavors.get(&m.offer.hull).map_or(60.0, |f| f.startup_s);
            let silent = silent_ms(id);
            // What ran before it was restarted is over, but nobody can tell its reports from
            // late copies of earlier ones.
            if restarted.contains(id) || (m.missing && silent > pace.gap_ms) {
                return true;
            }
            if m.failed || (self.unsettled.contains(id) && (deaf || few && !strays.contains(id))) {
                return true;
            }
            match views.get(id) {
                Some((k, node, n)) => {
                    let drained = m.draining.is_some_and(|s| n.followed >= s)
                        && k.view.tasks.is_empty()
                        && k.view.settled
                        && !self.unsettled.contains(id);
                    let limit = match (cut_off, well.contains(node)) {
                        (true, _) => lease.max(CUT_OFF_MS),
                        (false, true) => quick,
                        (false, false) => lease,
                    };
                    let long = silent > lease + LONG_SILENT_MS && now.since(self.began) > HEARS_MS;
                    drained || (calm && m.losing) || ((calm || long) && silent > limit)
                }
                None => {
                    let never = (startup * 4_000.0).max(90_000.0) as u64;
                    if m.up {
                        calm && silent > if cut_off { lease.max(CUT_OFF_MS) } else { lease }
                    } else {
                        now.since(m.since) > never && silent > lease
                    }
                }
            }
        };
        self.machines
            .iter()
            .filter(|(id, m)| over(id, m))
            .map(|(id, _)| id.clone())
            .take(100)
            .collect()
    }

    /// Whether silence of a machine can only be its own: all controllers are heard, none of
    /// them restarted lately, and its owner hears others. A machine that is merely cut off
    /// for longer would lose its tasks with its lease anyway.
    fn hears_well(&self, ctx: &Context<'_>, owner: NodeId) -> bool {
        let settled_ms = plus_drift(ctx.settings.worker_lease_ms()) + 5_000;
        self.nodes.len() == ctx.nodes.len()
            && self.nodes.values().all(|n| ctx.now.since(n.at) < 1_000 && n.up_ms > settled_ms)
            && self.known().any(|(k, node, _)| node == owner && ctx.now.since(k.heard) < 2_000)
    }
}

/// Whether so many machines of all that are up can be done without.
fn are_few(machines: usize, up: usize) -> bool {
    machines <= up / FEW_PART
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

#[cfg(test)]
mod tests;
