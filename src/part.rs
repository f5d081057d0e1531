//! A controller's part of the machines: reports in, orders out.
//!
//! Within a term a machine has one owner and a task is granted to one part. `start` goes
//! only in the response to a report, so the next report either shows the task or proves that
//! the response was lost. Everything a part knows about a machine comes from its newest report.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use rustc_hash::FxHashSet;

use crate::config::{NodeInfo, Pace};
use crate::ledger::Ledger;
use crate::model::{
    Attempt, Cores, Incarnation, JobId, MachineId, NodeId, PlanSeq, Ranges, Session, Steady,
    TaskId, Term,
};
use crate::peer::{Grant, MachineView, Plan, PlanBody, Stray, Summary, TaskView};
use crate::place::{self, Flavors, Need, Room};
use crate::term::Attempts;
use crate::wire::{
    Cause, JobSpec, JobStage, Order, Piece, PieceStage, Report, ReportReply, Shape, Urgency,
};

mod machine;

use machine::{Held, Machine, Queued};

/// Answers that a machine gets without showing this term's token before it is taken for deaf.
const DEAF_ANSWERS: u32 = 3;
/// Least time over which it must have got them.
const DEAF_MS: u64 = 3_500;
/// Longest time between two looks at where granted tasks are to start.
const ASSIGN_MS: u64 = 700;
/// Shortest time between two such looks that only a report asks for.
const ASSIGN_LEAST_MS: u64 = 60;
/// A machine that is back from its owner before that was refused; others timed out.
const REFUSED_MS: u64 = 3_500;
/// How often a machine is sent to an owner that refuses it, and how long it waits in between.
const REDIRECTS: u32 = 3;
const AGAIN_MS: u64 = 1_500;
/// Time for which a lonely node does not send a machine away again.
const SENT_AWAY_MS: u64 = 20_000;
/// Most machines of which the newest report is remembered.
const LATEST_KEPT: usize = 8_192;
/// How often a machine is told of a term straight away, and the time before the second try, which
/// doubles for the next.
const ANNOUNCEMENTS: u32 = 4;
const ANNOUNCE_AGAIN_MS: u64 = 1_500;
/// Least time between two questions to a machine of which old reports come.
const DOUBT_AGAIN_MS: u64 = 10_000;

/// About how many bytes a summary takes, and each machine, task, image, answer and stray in it.
const SUMMARY_BYTES: usize = 1_024;
const MACHINE_BYTES: usize = 96;
const TASK_BYTES: usize = 16;
const IMAGE_BYTES: usize = 24;
const ANSWER_BYTES: usize = 16;
const STRAY_BYTES: usize = 64;

/// Completed tasks of a job that are not known to be on record yet.
#[derive(Clone, Debug, Default)]
pub struct Finished {
    /// The tasks.
    pub tasks: Ranges,
    /// When the first of them was heard of.
    pub since: Steady,
}

/// How a report is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportAnswer {
    /// 200 with orders.
    Take(ReportReply),
    /// 421: report to that controller.
    Go(String),
    /// 503: this node may not act, or the report is a late one.
    Refuse,
}

#[derive(Clone, Debug)]
struct StrayRecord {
    hull: String,
    zone: String,
    spot: bool,
    /// When it came back from being sent to its owner, which it cannot reach then.
    back: Option<Steady>,
    last: Steady,
    /// Whether it showed this term's token, which no late copy from before does.
    hears: bool,
}

/// A type of machines, a zone, and whether they are spot machines.
type MachineKind = (Rc<str>, Rc<str>, bool);

/// When a machine was last sent to its owner.
#[derive(Clone, Debug)]
struct Redirected {
    at: Steady,
    tries: u32,
    /// Whether it has reported here since.
    seen: bool,
}

/// What to do with a machine of another part.
enum Route {
    /// Send it to its owner.
    Send,
    /// Keep it alive until it is sent again.
    Keep,
    /// Keep it alive: it cannot reach its owner.
    Cut,
}

/// How a machine that has not shown this term's token was answered in it.
#[derive(Clone, Debug)]
struct Unheeded {
    first: Steady,
    session: Session,
    answers: u32,
    refuse_until: Steady,
}

/// The newest report of a machine, and where its worker listens.
#[derive(Clone, Debug)]
struct Newest {
    order: (Session, u64),
    endpoint: Rc<str>,
}

/// A machine that is to be asked or told something straight away.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The machine.
    pub machine: MachineId,
    /// Where its worker listens.
    pub endpoint: Rc<str>,
    /// The term.
    pub term: Term,
    /// Its session, as far as known.
    pub session: Session,
    /// The newest report known when this goes out, if an older one came since: a worker that
    /// answers with nothing newer counts from the start again.
    pub doubted: Option<(Session, u64)>,
    /// What it is to do. Only kills: a start could run late.
    pub orders: Vec<Order>,
}

/// Errors of a job's tasks, to tell a faulty job from a faulty machine.
#[derive(Clone, Debug, Default)]
struct JobFaults {
    machines: HashSet<MachineId>,
    count: u32,
    until: Steady,
}

/// What the outside of a part looks like while it handles a report.
pub struct Surroundings<'a> {
    /// Now.
    pub now: Steady,
    /// Whether this node may answer with 200.
    pub may_answer: bool,
    /// Whether it may start tasks.
    pub may_start: bool,
    /// The replica.
    pub ledger: &'a Ledger,
    /// Machine types.
    pub flavors: &'a Flavors,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
    /// Whether this node has reached neither the store nor another controller for a while.
    pub alone: bool,
    /// Milliseconds for which workers keep tasks without an answer.
    pub lease_ms: u64,
    /// How often workers report.
    pub pace: Pace,
}

/// The part.
#[derive(Debug)]
pub struct Part {
    me: NodeId,
    life: Incarnation,
    term: Term,
    attempts: Attempts,
    seq: PlanSeq,
    clock_ms: u64,
    body: PlanBody,
    owners: BTreeMap<MachineId, NodeId>,
    gangs: HashSet<Attempt>,
    drained: HashSet<MachineId>,
    machines: BTreeMap<MachineId, Machine>,
    /// Newest report seen of any machine, against late copies.
    latest: HashMap<MachineId, Newest>,
    /// How often machines were told of this term straight away, and when last.
    announced: HashMap<MachineId, (u32, Steady)>,
    /// Whether there may be machines that have to be.
    announcing: bool,
    /// Machines of which an old report came: when they were asked, and whom to ask still.
    doubted: HashMap<MachineId, Steady>,
    doubts: Vec<(MachineId, Session)>,
    /// Machines that are to be told straight away to end tasks: of gangs that are being stopped, or
    /// of jobs that were cancelled.
    stopping: BTreeSet<MachineId>,
    /// Machines that were restarted and count from the start again.
    reborn: BTreeSet<MachineId>,
    unheeded: HashMap<MachineId, Unheeded>,
    answered: BTreeMap<MachineId, Steady>,
    redirected: HashMap<MachineId, Redirected>,
    sent_away: HashMap<MachineId, Steady>,
    strays: BTreeMap<MachineId, StrayRecord>,
    faults: HashMap<JobId, JobFaults>,
    /// Attempts of gangs that a worker has shown in this term: they are never started again.
    spent: HashSet<(TaskId, Attempt)>,
    /// Tasks that completed and whose outcome is not known to be durable yet.
    pub finished: BTreeMap<JobId, Finished>,
    number: u64,
    /// Summaries sent lately, with when they were made.
    sent: VecDeque<(u64, Steady)>,
    /// The last summary that the leader is known to have taken.
    told: Option<(u64, Steady)>,
    /// Whether granted tasks have to be given machines anew.
    assign: bool,
    assigned: Steady,
    /// Whether granted tasks found no machine.
    unplaced: bool,
    /// Tasks that are granted ahead and found no machine: any may take them as soon as it has room, the
    /// first ones first.
    backlog: Vec<TaskId>,
    /// The most urgent work that may use machines of a type, zone and kind.
    most_urgent: BTreeMap<MachineKind, Option<Urgency>>,
    queued: usize,
    /// When any worker last reported here.
    heard: Steady,
    /// Set when something happened that the leader should hear of soon.
    pub news: bool,
}

impl Part {
    /// A part without machines.
    pub fn new(me: NodeId, life: Incarnation) -> Self {
        Part {
            me,
            life,
            term: Term(0),
            attempts: Attempts::new(Term(0), me),
            seq: PlanSeq(0),
            clock_ms: 0,
            body: PlanBody::default(),
            owners: BTreeMap::new(),
            gangs: HashSet::new(),
            drained: HashSet::new(),
            machines: BTreeMap::new(),
            latest: HashMap::new(),
            announced: HashMap::new(),
            announcing: false,
            doubted: HashMap::new(),
            doubts: Vec::new(),
            stopping: BTreeSet::new(),
            reborn: BTreeSet::new(),
            unheeded: HashMap::new(),
            answered: BTreeMap::new(),
            redirected: HashMap::new(),
            sent_away: HashMap::new(),
            strays: BTreeMap::new(),
            faults: HashMap::new(),
            spent: HashSet::new(),
            finished: BTreeMap::new(),
            number: 0,
            sent: VecDeque::new(),
            told: None,
            assign: false,
            assigned: Steady(0),
            unplaced: false,
            backlog: Vec::new(),
            most_urgent: BTreeMap::new(),
            queued: 0,
            heard: Steady(0),
            news: false,
        }
    }

    /// The term that this part follows.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Begins a term: grants of earlier ones are void. Machines and what is known of their
    /// tasks stay, but none counts as settled until it reports with the new token.
    pub fn begin_term(&mut self, term: Term) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.attempts = Attempts::new(term, self.me);
        self.seq = PlanSeq(0);
        self.clock_ms = 0;
        self.body.grants.clear();
        self.body.drain.clear();
        self.body.stops.clear();
        self.body.kept.clear();
        self.gangs.clear();
        self.spent.clear();
        self.drained.clear();
        for m in self.machines.values_mut() {
            m.settled = false;
            m.queue.clear();
        }
        // Owners may change with the term, so nobody is known to be out of reach of his.
        self.redirected.clear();
        self.strays.clear();
        self.announced.clear();
        self.unheeded.clear();
        self.told = None;
        self.unplaced = false;
        self.backlog.clear();
        self.queued = 0;
        self.news = true;
    }

    /// Follows a plan, unless it is of another term or life, or older than the last.
    pub fn follow(&mut self, plan: Plan) -> bool {
        if plan.term != self.term || plan.life != self.life {
            return false;
        }
        if let Some(sent) = self.sent.iter().find(|s| s.0 == plan.heard) {
            self.told = self.told.max(Some(*sent));
        }
        if plan.seq == self.seq {
            self.clock_ms = self.clock_ms.max(plan.clock_ms);
            return false;
        }
        let Some(body) = plan.body.filter(|_| plan.seq > self.seq && plan.owners.base <= self.seq)
        else {
            return false;
        };
        if plan.owners.base == PlanSeq(0) {
            let owners: BTreeMap<MachineId, NodeId> = plan.owners.set.into_iter().collect();
            let before = std::mem::replace(&mut self.owners, owners);
            self.redirected.retain(|id, _| before.get(id) == self.owners.get(id));
        } else {
            self.owners.extend(plan.owners.set);
            for id in &plan.owners.gone {
                self.owners.remove(id);
            }
        }
        let (me, owners) = (self.me, &self.owners);
        // Whatever was on a machine that this part no longer has is its new owner's to tell,
        // or is gone with the machine.
        self.machines.retain(|id, _| owners.get(id) == Some(&me));
        self.strays.retain(|id, _| owners.get(id) != Some(&me));
        self.reborn.retain(|id| owners.contains_key(id));
        for (id, session) in &body.lapsed {
            if let Some(m) = self.machines.get_mut(id).filter(|m| m.session <= *session) {
                m.tasks.clear();
            }
        }
        let told = |s: &crate::peer::Stop| self.body.stops.contains(s);
        let stopping = body.stops.iter().any(|s| !told(s));
        self.drained = body.drain.iter().cloned().collect();
        self.gangs = body.grants.iter().filter_map(|g| g.attempt).collect();
        self.body = body;
        if stopping {
            // Its tasks are told straight away, and in the answers to their reports.
            let on = self.machines.iter();
            let on =
                on.filter(|(_, m)| m.tasks.iter().any(|(t, h)| self.stop(*t, h.attempt).is_some()));
            let ids: Vec<MachineId> = on.map(|(id, _)| id.clone()).collect();
            self.stopping.extend(ids);
        }
        self.seq = plan.seq;
        self.clock_ms = plan.clock_ms;
        self.assign = true;
        self.announcing = true;
        true
    }

    /// Sends all it knows with the next summary.
    pub fn send_whole(&mut self) {
        self.told = None;
        self.news = true;
    }

    /// How a job stands as the leader last told.
    pub fn standing(&self, job: JobId) -> Option<crate::peer::Standing> {
        self.body.standings.iter().find(|s| s.job == job.0).copied()
    }

    /// Answers a report.
    pub fn on_report(&mut self, env: &Surroundings<'_>, report: &Report) -> ReportAnswer {
        self.heard = env.now;
        // A completed task stays completed whoever reports it and however late.
        self.note_finished(env.now, env.ledger, report);
        if !env.may_answer || self.term == Term(0) || report.token > self.term {
            return ReportAnswer::Refuse;
        }
        if env.ledger.machine_gone(&report.host) {
            return ReportAnswer::Refuse;
        }
        // A late copy tells of a past that newer reports have overtaken. It settles nothing,
        // and its answer would reach nobody.
        if !self.is_newest(report) {
            self.doubt(env.now, report);
            return ReportAnswer::Refuse;
        }
        if !self.heeds(env, report) {
            return ReportAnswer::Refuse;
        }
        match self.owners.get(&report.host).copied() {
            Some(owner) if owner == self.me => {
                // Whoever still reaches the store may have taken its machines over. A worker
                // that comes back found nobody, as in an outage, and is kept alive here.
                if env.alone && self.sends_away(env.now, &report.host) {
                    let next = (usize::from(self.me.0) + 1) % env.nodes.len().max(1);
                    return self.go(env, next);
                }
                self.on_own_report(env, report)
            }
            Some(owner) => match self.route(env.now, &env.pace, &report.host) {
                Route::Send => self.go(env, usize::from(owner.0)),
                Route::Keep => self.on_stray_report(env, report, false),
                Route::Cut => self.on_stray_report(env, report, true),
            },
            None => self.on_stray_report(env, report, false),
        }
    }

    /// Whether a report is newer than all others of its machine; remembers it if so.
    fn is_newest(&mut self, report: &Report) -> bool {
        let order = (report.session, report.sequence);
        if let Some(newest) = self.latest.get_mut(&report.host) {
            if order <= newest.order {
                return false;
            }
            newest.order = order;
            if *newest.endpoint != *report.endpoint {
                newest.endpoint = report.endpoint.as_str().into();
            }
            return true;
        }
        if self.latest.len() >= LATEST_KEPT {
            let owners = &self.owners;
            self.latest.retain(|id, _| owners.contains_key(id));
        }
        let newest = Newest { order, endpoint: report.endpoint.as_str().into() };
        self.latest.insert(report.host.clone(), newest);
        true
    }

    /// An old report is a late copy, or its machine was restarted and counts from the start again.
    /// Only the machine itself can tell.
    fn doubt(&mut self, now: Steady, report: &Report) {
        let id = &report.host;
        if self.reborn.contains(id)
            || self.doubted.get(id).is_some_and(|at| now.since(*at) < DOUBT_AGAIN_MS)
        {
            return;
        }
        if self.doubted.len() >= LATEST_KEPT {
            self.doubted.retain(|_, at| now.since(*at) < DOUBT_AGAIN_MS);
        }
        self.doubted.insert(id.clone(), now);
        self.doubts.push((id.clone(), report.session));
    }

    /// Machines that are to be asked or told something straight away, up to `most`: those that may
    /// have been restarted, and those of this part that have not shown the term's token, as
    /// nothing starts on them before, and tasks of earlier terms wait for the proof.
    pub fn to_announce(
        &mut self,
        now: Steady,
        ledger: &Ledger,
        may_answer: bool,
        most: usize,
    ) -> Vec<Announcement> {
        let mut out = self.endings(ledger, most);
        if !may_answer {
            return out;
        }
        while out.len() < most
            && let Some((machine, session)) = self.doubts.pop()
        {
            if let Some(newest) = self.latest.get(&machine) {
                let (endpoint, doubted) = (newest.endpoint.clone(), Some(newest.order));
                let (term, orders) = (self.term, Vec::new());
                out.push(Announcement { machine, endpoint, term, session, doubted, orders });
            }
        }
        if !self.announcing || self.seq == PlanSeq(0) {
            return out;
        }
        let mut open = false;
        for (id, _) in self.owners.iter().filter(|(_, owner)| **owner == self.me) {
            if self.machines.get(id).is_some_and(|m| m.settled) {
                continue;
            }
            let newest = self.latest.get(id).map(|n| (n.endpoint.clone(), n.order.0));
            let known = || ledger.machines.get(id).filter(|m| m.up && m.gone.is_none());
            let on_record = || known().map(|m| (m.endpoint.as_str().into(), Session(1)));
            let Some((endpoint, session)) = newest.or_else(on_record) else { continue };
            let (tries, at) = self.announced.get(id).copied().unwrap_or_default();
            if endpoint.is_empty() || tries >= ANNOUNCEMENTS {
                continue;
            }
            open = true;
            let due = tries == 0 || now.since(at) >= ANNOUNCE_AGAIN_MS << (tries - 1);
            if due && out.len() < most {
                self.announced.insert(id.clone(), (tries + 1, now));
                let (machine, term) = (id.clone(), self.term);
                let (doubted, orders) = (None, Vec::new());
                out.push(Announcement { machine, endpoint, term, session, doubted, orders });
            }
        }
        self.announcing = open;
        out
    }

    /// What machines are to end straight away, up to `most` of them: the next answer to their reports would
    /// tell them, but a machine may reach nobody, or this node may not answer any more. A kill that is
    /// late or repeated ends nothing that is wanted: the job is cancelled for good, and what a gang starts
    /// later has a higher attempt.
    fn endings(&mut self, ledger: &Ledger, most: usize) -> Vec<Announcement> {
        let mut out = Vec::new();
        while out.len() < most
            && let Some(machine) = self.stopping.pop_first()
        {
            let Some(m) = self.machines.get(&machine) else { continue };
            let order = |t: &TaskId, h: &Held| match is_withdrawn(ledger, t.job) {
                true => Some(kill(*t, h.attempt)),
                false => self.stop(*t, h.attempt),
            };
            let orders: Vec<Order> = m.tasks.iter().filter_map(|(t, h)| order(t, h)).collect();
            if orders.is_empty() {
                continue;
            }
            let (endpoint, session, term) = (m.endpoint.clone(), m.session, self.term);
            out.push(Announcement { machine, endpoint, term, session, doubted: None, orders });
        }
        out
    }

    /// Jobs were cancelled: the machines of this part that have tasks of them are told straight away.
    pub fn end_withdrawn(&mut self, jobs: &[JobId]) {
        let has = |m: &Machine| m.tasks.keys().any(|t| jobs.contains(&t.job));
        let on = self.machines.iter().filter(|(_, m)| has(m)).map(|(id, _)| id.clone());
        self.stopping.extend(on);
    }

    /// Takes a machine's answer to an announcement: it shows the token and the machine's tasks as a
    /// report does. It counts only for a machine that has not settled: none of this term's
    /// starts can be on its way to it then.
    pub fn on_announced(&mut self, env: &Surroundings<'_>, asked: &Announcement, report: &Report) {
        let id = &report.host;
        if *id != asked.machine {
            return;
        }
        self.note_finished(env.now, env.ledger, report);
        if asked.doubted.is_some_and(|newest| (report.session, report.sequence) <= newest) {
            tracing::info!(machine = %id, "was restarted");
            self.reborn.insert(id.clone());
            self.news = true;
            return;
        }
        if env.ledger.machine_gone(id)
            || self.machines.get(id).is_some_and(|m| m.settled)
            || !self.is_newest(report)
        {
            return;
        }
        if report.token == self.term && self.owners.get(id) == Some(&self.me) {
            self.take_state(env, report);
            // It may report to nobody, and then nobody's answer ends what is not wanted any more.
            if report.pieces.iter().any(|p| is_withdrawn(env.ledger, p.piece.job)) {
                self.stopping.insert(id.clone());
            }
            // Its session may have begun just now, without any answer: its lease counts from here.
            self.answered.insert(id.clone(), env.now);
        } else if let Some(told) = self.announced.get_mut(id) {
            // Its session was not known; now it is.
            told.1 = told.1.less(ANNOUNCE_AGAIN_MS << ANNOUNCEMENTS);
        }
    }

    fn go(&self, env: &Surroundings<'_>, node: usize) -> ReportAnswer {
        let name = env.nodes.get(node).map(|n| n.name.clone());
        name.map_or(ReportAnswer::Refuse, ReportAnswer::Go)
    }

    /// Whether a lonely node sends a machine of its own away: not again for a while, as every
    /// try takes from the worker's lease.
    fn sends_away(&mut self, now: Steady, id: &MachineId) -> bool {
        if self.sent_away.get(id).is_some_and(|at| now.since(*at) < SENT_AWAY_MS) {
            return false;
        }
        self.sent_away.insert(id.clone(), now);
        true
    }

    /// Whether a machine may be taken to hear its answers. One that never shows the token is
    /// deaf, or somebody repeats old reports of it: it gets no answer for a whole lease, so
    /// that its tasks are proven gone and no proof waits for it.
    fn heeds(&mut self, env: &Surroundings<'_>, report: &Report) -> bool {
        if report.token == self.term {
            self.unheeded.remove(&report.host);
            return true;
        }
        let now = env.now;
        let fresh =
            Unheeded { first: now, session: report.session, answers: 0, refuse_until: Steady(0) };
        let u = self.unheeded.entry(report.host.clone()).or_insert_with(|| fresh.clone());
        if u.refuse_until > now {
            return false;
        }
        if u.refuse_until > Steady(0) {
            *u = fresh; // It gets another chance.
        }
        let ignored = u.answers >= DEAF_ANSWERS && now.since(u.first) > DEAF_MS;
        if ignored || (u.answers > 0 && report.session > u.session) {
            u.refuse_until = now.plus(env.lease_ms + 4_000);
            tracing::info!(machine = %report.host, "does not hear its answers");
            return false;
        }
        u.answers += 1;
        true
    }

    /// What to do with a machine of another part: it is sent to its owner. If it comes back
    /// late, the owner cannot be reached. If it comes back at once, the owner refuses, as one
    /// does that has just started, so after an answer here it is sent there again.
    fn route(&mut self, now: Steady, pace: &Pace, id: &MachineId) -> Route {
        let again_ms = pace.stray_ms + 5_000;
        let stray = self.strays.get(id);
        if stray.is_some_and(|s| s.back.is_some() && now.since(s.last) < pace.stray_ms + 2_000) {
            return Route::Cut;
        }
        let Some(r) = self.redirected.get_mut(id).filter(|r| now.since(r.at) < again_ms) else {
            self.redirected.insert(id.clone(), Redirected { at: now, tries: 1, seen: false });
            return Route::Send;
        };
        let gone_for = now.since(r.at);
        if (!r.seen && gone_for >= REFUSED_MS) || r.tries >= REDIRECTS {
            return Route::Cut;
        }
        if !std::mem::replace(&mut r.seen, true) || gone_for < AGAIN_MS {
            return Route::Keep;
        }
        *r = Redirected { at: now, tries: r.tries + 1, seen: false };
        Route::Send
    }

    /// Keeps a worker alive that this node does not own: no starts, but kills and news.
    fn on_stray_report(
        &mut self,
        env: &Surroundings<'_>,
        report: &Report,
        cut: bool,
    ) -> ReportAnswer {
        let now = env.now;
        let hears = report.token == self.term;
        let record = self.strays.entry(report.host.clone()).or_insert_with(|| StrayRecord {
            hull: report.hull.clone(),
            zone: report.yard.clone(),
            spot: report.loaners,
            back: None,
            last: now,
            hears: false,
        });
        record.last = now;
        if cut {
            record.back.get_or_insert(now);
        }
        self.news |= hears && !record.hears;
        record.hears = hears;
        self.answered.insert(report.host.clone(), now);
        ReportAnswer::Take(ReportReply {
            token: self.term,
            orders: self.kills(env.ledger, &report.pieces),
        })
    }

    /// Kills for what is to end on a machine: tasks whose job was cancelled, or that are durably done
    /// already, and gangs that are being stopped.
    fn kills(&self, ledger: &Ledger, pieces: &[Piece]) -> Vec<Order> {
        let mut orders = kills(ledger, pieces);
        if !self.body.stops.is_empty() {
            let on = pieces.iter().filter(|p| p.stage != PieceStage::Ended);
            let stopped = on.filter(|p| !orders.iter().any(|o| o.piece() == p.piece));
            let more: Vec<Order> = stopped.filter_map(|p| self.stop(p.piece, p.r#try)).collect();
            orders.extend(more);
        }
        orders
    }

    /// The kill for a gang's task whose attempt is being stopped.
    fn stop(&self, piece: TaskId, attempt: Attempt) -> Option<Order> {
        let of = |s: &&crate::peer::Stop| s.job == piece.job.0 && attempt < s.before;
        let stop = self.body.stops.iter().find(of)?;
        let leeway_s = stop.leeway_ms as f64 / 1000.0;
        Some(Order::Kill { piece, r#try: attempt, leeway_s })
    }

    fn note_finished(&mut self, now: Steady, ledger: &Ledger, report: &Report) {
        for p in &report.pieces {
            if p.stage == PieceStage::Ended && p.cause == Some(Cause::Done) {
                self.note_done(now, ledger, p.piece);
            }
        }
    }

    /// Notes a task that completed; if it is of a gang, all of its tasks did.
    pub fn note_done(&mut self, now: Steady, ledger: &Ledger, task: TaskId) {
        let Some(job) = ledger.jobs.get(&task.job) else { return };
        let gang = job.spec.shape == Shape::Gang;
        if !gang && !ledger.may_run(task) || task.index >= job.spec.pieces {
            return;
        }
        let f = self
            .finished
            .entry(task.job)
            .or_insert_with(|| Finished { tasks: Ranges::default(), since: now });
        if !gang {
            self.news |= f.tasks.insert(task.index);
        } else if f.tasks.len() < job.spec.pieces {
            f.tasks = Ranges::span(0, job.spec.pieces);
            self.news = true;
        }
    }

    /// Takes completions that another controller heard of.
    pub fn take_finished(&mut self, now: Steady, ledger: &Ledger, finished: &[(u64, Ranges)]) {
        for (job, tasks) in finished {
            for index in tasks.iter() {
                self.note_done(now, ledger, TaskId { job: JobId(*job), index });
            }
        }
    }

    /// Takes what a report of a machine of this part tells of it; says whether it has more room
    /// than before.
    fn take_state(&mut self, env: &Surroundings<'_>, report: &Report) -> bool {
        let now = env.now;
        let next = self.number + 1;
        let machine =
            self.machines.entry(report.host.clone()).or_insert_with(|| Machine::new(report, now));
        let settled = report.token == self.term;
        let warned = report.warning_s.is_some();
        machine.leaves = report.warning_s.map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        let shunned = machine.shun_until;
        let state = (report.session, settled, warned);
        let turned = state != (machine.session, machine.settled, machine.warned);
        (machine.session, machine.settled, machine.warned) = state;
        machine.heard = now;
        let before = machine.tasks.len();
        let (changed, others, left) = machine.take_tasks(env, report);
        let new = machine.changed == 0;
        self.news |= others || turned || new;
        // Stages matter to the leader only in passing, so they are told without haste.
        if changed || turned || new || machine.shun_until != shunned {
            machine.changed = next;
        }
        let freed = machine.tasks.len() < before || turned || machine.shun_until != shunned;
        // A start that was lost, or a task that failed, has to go somewhere else.
        self.assign |= left.iter().any(|t| self.may_start(env.ledger, *t));
        if !self.gangs.is_empty() {
            // A refused start never ran, and may be tried elsewhere.
            let refused =
                |p: &Piece| matches!(p.cause, Some(Cause::NoRoom | Cause::InUse | Cause::Unknown));
            let shown = report.pieces.iter().filter(|p| !refused(p)).map(|p| (p.piece, p.r#try));
            self.spent.extend(shown.filter(|p| self.gangs.contains(&p.1)));
        }
        freed
    }

    fn on_own_report(&mut self, env: &Surroundings<'_>, report: &Report) -> ReportAnswer {
        let now = env.now;
        let freed = self.take_state(env, report);
        let mut orders = self.kills(env.ledger, &report.pieces);
        self.clear_ended(env, report, &mut orders);
        self.start_granted(env, &report.host, freed, &mut orders);
        self.answered.insert(report.host.clone(), now);
        ReportAnswer::Take(ReportReply { token: self.term, orders })
    }

    /// Clears ended tasks whose outcome no longer depends on the worker's memory, and learns
    /// from those that failed.
    fn clear_ended(&mut self, env: &Surroundings<'_>, report: &Report, orders: &mut Vec<Order>) {
        for p in report.pieces.iter().filter(|p| p.stage == PieceStage::Ended) {
            let done = p.cause == Some(Cause::Done);
            // `done` is cleared only once the store has it; should all controllers end before
            // that, the worker still tells the next one.
            if done && !env.ledger.settled(p.piece) {
                continue;
            }
            orders.push(Order::Clear { piece: p.piece, r#try: p.r#try });
            match p.cause {
                Some(Cause::Error) => self.note_error(env.now, p.piece.job, &report.host),
                Some(Cause::NoRoom | Cause::InUse | Cause::Unknown) => {
                    if let Some(m) = self.machines.get_mut(&report.host) {
                        m.shun_until = m.shun_until.max(env.now.plus(2_000));
                        m.changed = self.number + 1;
                    }
                }
                Some(Cause::Done) => {
                    if let Some(m) = self.machines.get_mut(&report.host) {
                        m.faults = 0;
                    }
                    self.faults.remove(&p.piece.job);
                }
                _ => {}
            }
        }
    }

    /// Errors mostly mean a faulty machine, but a job that fails on several machines is
    /// faulty itself: then it backs off and the machines are not blamed.
    fn note_error(&mut self, now: Steady, job: JobId, machine: &MachineId) {
        let f = self.faults.entry(job).or_default();
        f.machines.insert(machine.clone());
        f.count += 1;
        let faulty_job = f.machines.len() >= 3;
        let pause = if faulty_job { (2_000u64 << f.count.min(5)).min(60_000) } else { 500 };
        f.until = now.plus(pause);
        if let Some(m) = self.machines.get_mut(machine) {
            m.faults += 1;
            m.changed = self.number + 1;
            if !faulty_job {
                m.shun_until = now.plus(15_000u64 << m.faults.min(4));
            }
        }
        tracing::info!(job = %job, %machine, faulty_job, "task failed");
    }

    /// Whether the job fails everywhere it is tried.
    fn failing(&self, job: JobId) -> bool {
        self.faults.get(&job).is_some_and(|f| f.machines.len() >= 3)
    }

    /// Starts what is meant for a machine, after having looked anew where granted tasks are
    /// to go if anything speaks for that.
    fn start_granted(
        &mut self,
        env: &Surroundings<'_>,
        id: &MachineId,
        freed: bool,
        orders: &mut Vec<Order>,
    ) {
        if !env.may_start {
            return;
        }
        let since = env.now.since(self.assigned);
        let waiting = self.unplaced || self.queued > 0 || !self.backlog.is_empty();
        let due =
            (freed && self.unplaced && since >= ASSIGN_LEAST_MS) || (waiting && since >= ASSIGN_MS);
        if self.assign || due {
            self.assign_granted(env, id);
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.queue.is_empty() && self.backlog.is_empty() {
            return;
        }
        let queue = std::mem::take(&mut machine.queue);
        self.queued = self.queued.saturating_sub(queue.len());
        let Some(mut room) = machine.room(id, env, !self.drained.contains(id)) else {
            return;
        };
        room.kept = self.body.kept.binary_search(id).is_ok();
        for q in queue {
            if !self.start(env, &mut room, &q, orders) {
                self.unplaced = true;
            }
        }
        self.start_backlog(env, &mut room, orders);
    }

    /// Starts what is granted ahead on a machine that has room and the images for it. What would have
    /// to fetch its image first is left to the next look at all machines.
    fn start_backlog(&mut self, env: &Surroundings<'_>, room: &mut Room, orders: &mut Vec<Order>) {
        if !room.open || room.free.cores == Cores(0) || self.backlog.is_empty() {
            return;
        }
        let mut backlog = std::mem::take(&mut self.backlog);
        backlog.retain(|task| {
            let job = env.ledger.jobs.get(&task.job);
            let Some(job) = job.filter(|j| self.may_try(env.now, j.spec.r#ref)) else {
                return false;
            };
            if room.free.cores == Cores(0)
                || !room.is_warm(&job.spec)
                || !self.is_first(&job.spec, room)
            {
                return true;
            }
            !self.start(env, room, &Queued { task: *task, attempt: None }, orders)
        });
        self.backlog = backlog;
    }

    /// Whether no job that is more urgent may use such machines.
    fn is_first(&self, spec: &JobSpec, room: &Room) -> bool {
        let kind = (room.hull.clone(), room.zone.clone(), room.spot);
        let most_urgent = self.most_urgent.get(&kind).copied().flatten();
        most_urgent.is_some_and(|urgency| spec.urgency <= urgency)
    }

    /// Orders a granted task to start on a machine, unless it has no room for it or the task is anywhere.
    fn start(
        &mut self,
        env: &Surroundings<'_>,
        room: &mut Room,
        queued: &Queued,
        orders: &mut Vec<Order>,
    ) -> bool {
        let task = queued.task;
        let Some(job) = env.ledger.jobs.get(&task.job) else { return true };
        let need = Need::of(&job.spec);
        if !self.may_start(env.ledger, task)
            || !room.takes(&job.spec, &need, None)
            || self.machines.values().any(|m| m.tasks.contains_key(&task))
        {
            return false;
        }
        room.add(&job.spec, &need);
        let attempt = queued.attempt.unwrap_or_else(|| self.attempts.give());
        let Some(machine) = self.machines.get_mut(&room.id) else { return false };
        machine.remember_image(&job.spec);
        machine.tasks.insert(task, Held { attempt, stage: PieceStage::Unknown });
        machine.changed = self.number + 1;
        self.news = true;
        tracing::debug!(%task, machine = %room.id, %attempt, "starts");
        orders.push(Order::Start { piece: task, r#try: attempt });
        true
    }

    /// Whether a job's tasks may be tried now: one that fails pauses.
    fn may_try(&self, now: Steady, job: JobId) -> bool {
        self.faults.get(&job).is_none_or(|f| f.until <= now)
    }

    /// Whether a task is neither done nor known here to have completed.
    fn may_start(&self, ledger: &Ledger, task: TaskId) -> bool {
        ledger.may_run(task)
            && !self.finished.get(&task.job).is_some_and(|f| f.tasks.contains(task.index))
    }

    /// Gives every granted task that is not on a machine the one where it is to start. It
    /// starts with that machine's next report, or in the answer to this one if it is the machine that
    /// `reporting` names. What finds no machine stands in the backlog.
    fn assign_granted(&mut self, env: &Surroundings<'_>, reporting: &MachineId) {
        self.assign = false;
        self.assigned = env.now;
        self.unplaced = false;
        self.backlog.clear();
        self.queued = 0;
        for m in self.machines.values_mut() {
            m.queue.clear();
        }
        let wanted = self.wanted(env, &self.body.grants);
        let ahead = self.wanted(env, &self.body.ahead);
        self.unplaced = wanted.pauses;
        if wanted.tasks.is_empty() && ahead.tasks.is_empty() {
            return;
        }
        let mut rooms = self.open_rooms(env, reporting);
        let mut queues: Vec<(MachineId, Queued)> = Vec::new();
        for (grant, tasks) in wanted.tasks {
            let Some(job) = env.ledger.jobs.get(&grant.job()) else { continue };
            let need = Need::of(&job.spec);
            let zone = grant.zone.as_deref();
            let chosen = match grant.attempt {
                Some(_) => place::pack_in(&job.spec, &need, &mut rooms, zone, tasks.len()),
                None => place::spread(&job.spec, &need, &mut rooms, zone, tasks.len()),
            };
            self.unplaced |= chosen.len() < tasks.len();
            let queued = tasks.into_iter().zip(chosen);
            queues.extend(
                queued.map(|(task, i)| {
                    (rooms[i].id.clone(), Queued { task, attempt: grant.attempt })
                }),
            );
        }
        if !ahead.tasks.is_empty() {
            self.most_urgent = most_urgent_by_kind(env.ledger, &rooms);
            for (grant, tasks) in ahead.tasks {
                let Some(job) = env.ledger.jobs.get(&grant.job()) else { continue };
                let need = Need::of(&job.spec);
                let mut first: Vec<Room> =
                    rooms.extract_if(.., |r| self.is_first(&job.spec, r)).collect();
                let chosen = place::spread(&job.spec, &need, &mut first, None, tasks.len());
                self.backlog.extend(tasks.iter().skip(chosen.len()));
                queues.extend(
                    tasks
                        .into_iter()
                        .zip(chosen)
                        .map(|(task, i)| (first[i].id.clone(), Queued { task, attempt: None })),
                );
                rooms.append(&mut first);
            }
        }
        self.queued = queues.len();
        for (id, q) in queues {
            if let Some(m) = self.machines.get_mut(&id) {
                m.queue.push(q);
            }
        }
    }

    /// The granted tasks that are neither on a machine nor done, most urgent first. Within an urgency
    /// the order of the grants holds.
    fn wanted<'a>(&self, env: &Surroundings<'_>, grants: &'a [Grant]) -> Wanted<'a> {
        let held: FxHashSet<TaskId> =
            self.machines.values().flat_map(|m| m.tasks.keys()).copied().collect();
        let mut pauses = false;
        let mut by_urgency: Vec<(Urgency, &Grant, Vec<TaskId>)> = Vec::new();
        for g in grants {
            let Some(job) = env.ledger.jobs.get(&g.job()) else { continue };
            if !self.may_try(env.now, g.job()) {
                pauses = true;
                continue;
            }
            let spent = |t: &TaskId| g.attempt.is_some_and(|a| self.spent.contains(&(*t, a)));
            let tasks: Vec<TaskId> = g
                .tasks
                .iter()
                .map(|index| TaskId { job: g.job(), index })
                .filter(|t| !held.contains(t) && self.may_start(env.ledger, *t) && !spent(t))
                .collect();
            if !tasks.is_empty() {
                by_urgency.push((job.spec.urgency, g, tasks));
            }
        }
        by_urgency.sort_by_key(|w| w.0);
        Wanted { tasks: by_urgency.into_iter().map(|(_, g, tasks)| (g, tasks)).collect(), pauses }
    }

    /// The machines that take new tasks now.
    fn open_rooms(&self, env: &Surroundings<'_>, reporting: &MachineId) -> Vec<Room> {
        let room = |(id, m): (&MachineId, &Machine)| {
            let mut room = m.room(id, env, !self.drained.contains(id))?;
            room.slow = self.body.slow.contains(id);
            room.kept = self.body.kept.binary_search(id).is_ok();
            room.delay_s = match id == reporting {
                true => 0.0,
                false => env.pace.delay_s(env.now.since(m.heard)),
            };
            Some(room).filter(|r| r.open)
        };
        self.machines.iter().filter_map(room).collect()
    }

    /// What the leader is told, in about `room` bytes. Machines that do not fit are told of next, and
    /// the leader takes none of it before all is there.
    pub fn summary(&mut self, now: Steady, pace: &Pace, room: usize) -> Summary {
        self.number += 1;
        let kept_ms = pace.stray_ms + 7_000;
        self.strays.retain(|_, s| now.since(s.last) < kept_ms);
        self.redirected.retain(|_, r| now.since(r.at) < kept_ms);
        self.sent_away.retain(|_, at| now.since(*at) < SENT_AWAY_MS);
        self.answered.retain(|_, at| now.since(*at) < pace.answers_ms);
        self.sent.push_back((self.number, now));
        if self.sent.len() > 64 {
            self.sent.pop_front();
        }
        let (base, since) = self.told.unwrap_or_default();
        let answered: Vec<(MachineId, u64)> = self
            .answered
            .iter()
            .filter(|(_, at)| base == 0 || **at >= since)
            .map(|(id, at)| (id.clone(), now.since(*at)))
            .collect();
        let strays: Vec<Stray> = self
            .strays
            .iter()
            .filter(|(_, s)| s.hears)
            .take(room / 2 / STRAY_BYTES)
            .map(|(id, s)| Stray {
                id: id.clone(),
                hull: s.hull.clone(),
                zone: s.zone.clone(),
                spot: s.spot,
                silent_ms: now.since(s.last),
                since_ms: s.back.map_or(0, |at| now.since(at)),
            })
            .collect();
        let mut used = SUMMARY_BYTES + answered.len() * ANSWER_BYTES + strays.len() * STRAY_BYTES;
        let mut machines = Vec::new();
        let mut whole = true;
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| base == 0 || m.changed > base) {
            used += MACHINE_BYTES + m.tasks.len() * TASK_BYTES + m.images.len() * IMAGE_BYTES;
            if used > room && !machines.is_empty() {
                m.changed = self.number + 1;
                whole = false;
            } else {
                machines.push(view(id, m, now));
            }
        }
        Summary {
            node: self.me,
            life: self.life,
            number: self.number,
            base,
            term: self.term,
            more: !whole,
            followed: self.seq,
            echo_ms: self.clock_ms,
            up_ms: now.0,
            served_ms: 0,
            heard_ms: now.since(self.heard),
            machines,
            answered,
            strays,
            finished: self.finished.iter().map(|(j, f)| (j.0, f.tasks.clone())).collect(),
            reborn: self.reborn.iter().cloned().collect(),
            notices: self
                .machines
                .iter()
                .filter_map(|(id, m)| Some((id.clone(), m.leaves?.since(now))))
                .collect(),
            failing: self.faults.keys().filter(|j| self.failing(**j)).map(|j| j.0).collect(),
        }
    }

    /// Forgets finished tasks that are durable by now and faults of jobs that have ended.
    pub fn tidy(&mut self, ledger: &Ledger) {
        self.finished.retain(|job, f| {
            let open = |i: &u32| ledger.may_run(TaskId { job: *job, index: *i });
            if !f.tasks.iter().all(|i| open(&i)) {
                f.tasks = f.tasks.iter().filter(open).collect();
            }
            !f.tasks.is_empty()
        });
        self.faults.retain(|job, _| ledger.jobs.contains_key(job));
    }
}

/// Granted tasks that are to start somewhere.
struct Wanted<'a> {
    tasks: Vec<(&'a Grant, Vec<TaskId>)>,
    /// Whether jobs that fail wait for their next try.
    pauses: bool,
}

/// For each kind of these machines, the most urgent open work that may use it.
fn most_urgent_by_kind(ledger: &Ledger, rooms: &[Room]) -> BTreeMap<MachineKind, Option<Urgency>> {
    let specs = || ledger.jobs.values().map(|j| &j.spec);
    let mut kinds = BTreeMap::new();
    for r in rooms {
        kinds
            .entry((r.hull.clone(), r.zone.clone(), r.spot))
            .or_insert_with(|| place::most_urgent(specs(), &r.hull, &r.zone, r.spot));
    }
    kinds
}

fn view(id: &MachineId, m: &Machine, now: Steady) -> MachineView {
    MachineView {
        id: id.clone(),
        hull: m.hull.clone(),
        zone: m.zone.clone(),
        spot: m.spot,
        endpoint: m.endpoint.clone(),
        settled: m.settled,
        session: m.session,
        leaving: m.warned,
        shun_ms: m.shun_until.since(now),
        tasks: m.tasks.iter().map(|(task, h)| TaskView { task: *task, stage: h.stage }).collect(),
        images: m.images.clone(),
    }
}

fn kill(piece: TaskId, attempt: Attempt) -> Order {
    Order::Kill { piece, r#try: attempt, leeway_s: 0.0 }
}

fn is_withdrawn(ledger: &Ledger, job: JobId) -> bool {
    matches!(ledger.ended.get(&job), Some((JobStage::Withdrawn, _)))
}

/// Kills for tasks whose job was cancelled, or that are durably done already.
fn kills(ledger: &Ledger, pieces: &[Piece]) -> Vec<Order> {
    pieces
        .iter()
        .filter(|p| p.stage != PieceStage::Ended)
        .filter(|p| {
            matches!(ledger.ended.get(&p.piece.job), Some((JobStage::Withdrawn, _)))
                || ledger.settled(p.piece)
        })
        .map(|p| kill(p.piece, p.r#try))
        .collect()
}

#[cfg(test)]
mod tests;
