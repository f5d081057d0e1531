//! A controller's part of the machines: reports in, orders out.
//!
//! Within a term a machine has one owner and a task is granted to one part. `start` goes
//! only in the response to a report, so the next report either shows the task or proves that
//! the response was lost. Everything a part knows about a machine comes from its newest report.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use crate::config::{NodeInfo, Pace};
use crate::ledger::Ledger;
use crate::model::{
    Attempt, Incarnation, JobId, MachineId, NodeId, PlanSeq, Ranges, Session, Steady, TaskId, Term,
};
use crate::peer::{Plan, PlanBody};
use crate::place::Flavors;
use crate::term::Attempts;
use crate::wire::{Cause, JobStage, Order, Piece, PieceStage, Report, ReportReply, Shape, Urgency};

mod announce;
mod machine;
mod redirect;
mod start;
mod summary;

use redirect::{Redirected, Route, StrayRecord, Unheeded};
use start::MachineKind;

use machine::Machine;

/// Most machines of which the newest report is remembered.
const LATEST_KEPT: usize = 8_192;

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

    /// How many tasks of a job have completed as the leader last told, if not all of that is on record.
    pub fn completed(&self, job: JobId) -> u32 {
        self.body.completed.iter().find(|c| c.0 == job.0).map_or(0, |c| c.1)
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
