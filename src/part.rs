//! A controller's part of the machines: reports in, orders out.
//!
//! Within a term a machine has one owner and a task is granted to one part. `start` goes
//! only in the response to a report, so the next report either shows the task or proves that
//! the response was lost. Everything a part knows about a machine comes from its newest report.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::config::NodeInfo;
use crate::ledger::Ledger;
use crate::model::{
    Attempt, Incarnation, JobId, MachineId, NodeId, PlanSeq, Session, Steady, TaskId, Term,
};
use crate::peer::{Grant, MachineView, Plan, Stray, Summary, TaskView};
use crate::place::{self, Flavors, Need, Room};
use crate::term::Attempts;
use crate::wire::{
    Cause, JobSpec, JobStage, Order, Piece, PieceStage, Report, ReportReply, Urgency,
};

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

/// A task on a machine or on its way there.
#[derive(Clone, Debug)]
struct Held {
    attempt: Attempt,
    stage: PieceStage,
    since: Steady,
}

/// What is remembered of a machine.
#[derive(Clone, Debug)]
struct Machine {
    hull: String,
    zone: String,
    spot: bool,
    session: Session,
    tally: u64,
    baton: Term,
    heard: Steady,
    warned: Option<Steady>,
    tasks: BTreeMap<TaskId, Held>,
    images: Vec<(String, f64)>,
    faults: u32,
    shun_until: Steady,
}

impl Machine {
    fn new(report: &Report, now: Steady) -> Self {
        Machine {
            hull: report.hull.clone(),
            zone: report.yard.clone(),
            spot: report.loaners,
            session: report.tenure,
            tally: 0,
            baton: report.baton,
            heard: now,
            warned: None,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            faults: 0,
            shun_until: Steady(0),
        }
    }

    fn remember_image(&mut self, spec: &JobSpec) {
        self.images.retain(|(name, _)| *name != spec.bundle);
        self.images.push((spec.bundle.clone(), spec.size_gb));
    }

    /// Forgets the images that no longer fit into the machine's cache.
    fn trim_images(&mut self, local_gb: f64) {
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > local_gb
        {
            self.images.remove(0);
        }
    }
}

#[derive(Clone, Debug)]
struct StrayRecord {
    hull: String,
    zone: String,
    spot: bool,
    /// When it came back from being sent to its owner, which it cannot reach then.
    back: Option<Steady>,
    last: Steady,
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
    /// The replica.
    pub ledger: &'a Ledger,
    /// Machine types.
    pub flavors: &'a Flavors,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
}

/// The part.
#[derive(Debug)]
pub struct Part {
    me: NodeId,
    life: Incarnation,
    term: Term,
    attempts: Attempts,
    plan: Option<Plan>,
    owners: HashMap<MachineId, NodeId>,
    grants: Vec<Grant>,
    drained: HashSet<MachineId>,
    machines: BTreeMap<MachineId, Machine>,
    answered: BTreeMap<MachineId, Steady>,
    redirected: HashMap<MachineId, Steady>,
    strays: BTreeMap<MachineId, StrayRecord>,
    faults: HashMap<JobId, JobFaults>,
    /// Attempts of gangs that a worker has shown in this term: they are never started again.
    spent: HashSet<(TaskId, Attempt)>,
    /// Tasks that completed and whose outcome is not known to be durable yet.
    pub finished: BTreeMap<JobId, BTreeSet<u32>>,
    number: u64,
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
            plan: None,
            owners: HashMap::new(),
            grants: Vec::new(),
            drained: HashSet::new(),
            machines: BTreeMap::new(),
            answered: BTreeMap::new(),
            redirected: HashMap::new(),
            strays: BTreeMap::new(),
            faults: HashMap::new(),
            spent: HashSet::new(),
            finished: BTreeMap::new(),
            number: 0,
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
        self.plan = None;
        self.grants.clear();
        self.spent.clear();
        self.drained.clear();
        // Owners may change with the term, so nobody is known to be out of reach of his.
        self.redirected.clear();
        self.strays.clear();
        self.news = true;
    }

    /// Follows a plan, unless it is of another term or life, or older than the last.
    pub fn follow(&mut self, plan: Plan) -> bool {
        let last = self.plan.as_ref().map_or(PlanSeq(0), |p| p.seq);
        if plan.term != self.term || plan.life != self.life || plan.seq < last {
            return false;
        }
        if plan.seq == last && self.plan.is_some() {
            if let Some(own) = &mut self.plan {
                own.clock_ms = own.clock_ms.max(plan.clock_ms);
            }
            return false;
        }
        let owners: HashMap<MachineId, NodeId> = plan.owners.iter().cloned().collect();
        let before = std::mem::replace(&mut self.owners, owners);
        self.redirected.retain(|id, _| before.get(id) == self.owners.get(id));
        let (me, owners) = (self.me, &self.owners);
        // Whatever was on a machine that this part no longer has is its new owner's to tell,
        // or is gone with the machine.
        self.machines.retain(|id, _| owners.get(id) == Some(&me));
        self.strays.retain(|id, _| owners.get(id) != Some(&me));
        self.grants = plan.grants.clone();
        self.drained = plan.drain.iter().cloned().collect();
        self.plan = Some(plan);
        true
    }

    /// The last plan, if one of this term is followed.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// Answers a report.
    pub fn on_report(&mut self, env: &Surroundings<'_>, report: &Report) -> ReportAnswer {
        let now = env.now;
        if !env.may_answer || self.term == Term(0) || report.baton > self.term {
            return ReportAnswer::Refuse;
        }
        if env.ledger.machine_gone(&report.host) {
            return ReportAnswer::Refuse;
        }
        match self.owners.get(&report.host).copied() {
            Some(owner) if owner == self.me => self.on_own_report(env, report),
            Some(owner) if self.redirects(now, &report.host) => {
                match env.nodes.get(usize::from(owner.0)) {
                    Some(node) => ReportAnswer::Go(node.name.clone()),
                    None => ReportAnswer::Refuse,
                }
            }
            _ => self.on_stray_report(env, report),
        }
    }

    /// Whether a machine of another part is to be sent to its owner: yes, unless it was sent
    /// there lately and has come back, which means that it cannot reach the owner.
    fn redirects(&mut self, now: Steady, id: &MachineId) -> bool {
        let came_back = match self.redirected.get(id) {
            Some(at) => now.since(*at) < 8_000,
            None => {
                self.strays.get(id).is_some_and(|s| s.back.is_some() && now.since(s.last) < 6_000)
            }
        };
        if came_back {
            if let Some(s) = self.strays.get_mut(id) {
                s.back.get_or_insert(now);
            }
            return false;
        }
        self.redirected.insert(id.clone(), now);
        true
    }

    /// Keeps a worker alive that this node does not own: no starts, but kills and news.
    fn on_stray_report(&mut self, env: &Surroundings<'_>, report: &Report) -> ReportAnswer {
        let now = env.now;
        let owned = self.owners.contains_key(&report.host);
        let record = self.strays.entry(report.host.clone()).or_insert_with(|| {
            self.news = true;
            StrayRecord {
                hull: report.hull.clone(),
                zone: report.yard.clone(),
                spot: report.loaners,
                back: owned.then_some(now),
                last: now,
            }
        });
        record.last = now;
        self.note_finished(env.ledger, report);
        self.answered.insert(report.host.clone(), now);
        ReportAnswer::Take(ReportReply {
            baton: self.term,
            orders: kills(env.ledger, &report.pieces),
        })
    }

    fn note_finished(&mut self, ledger: &Ledger, report: &Report) {
        for p in &report.pieces {
            // A completed task stays completed whoever reports it and however late.
            if p.stage == PieceStage::Ended
                && p.cause == Some(Cause::Done)
                && ledger.may_run(p.piece)
                && self.finished.entry(p.piece.job).or_default().insert(p.piece.index)
            {
                self.news = true;
            }
        }
    }

    fn on_own_report(&mut self, env: &Surroundings<'_>, report: &Report) -> ReportAnswer {
        let now = env.now;
        let machine =
            self.machines.entry(report.host.clone()).or_insert_with(|| Machine::new(report, now));
        // A held-back report tells of a past that newer ones have overtaken.
        if (report.tenure, report.tally) <= (machine.session, machine.tally) {
            return ReportAnswer::Refuse;
        }
        let before: BTreeSet<TaskId> = machine.tasks.keys().copied().collect();
        machine.session = report.tenure;
        machine.tally = report.tally;
        machine.baton = report.baton;
        machine.heard = now;
        machine.warned = match (machine.warned, report.warning_s) {
            (_, None) => None,
            (Some(at), Some(_)) => Some(at),
            (None, Some(s)) => Some(now.plus((s.max(0.0) * 1000.0) as u64)),
        };
        let mut tasks = BTreeMap::new();
        for p in report.pieces.iter().filter(|p| p.stage != PieceStage::Ended) {
            let since = match machine.tasks.get(&p.piece) {
                Some(h) if h.attempt == p.r#try && h.stage == p.stage => h.since,
                _ => now,
            };
            if since == now && p.stage == PieceStage::Running {
                tracing::debug!(task = %p.piece, machine = %report.host, "runs");
            }
            tasks.insert(p.piece, Held { attempt: p.r#try, stage: p.stage, since });
            if let Some(job) = env.ledger.jobs.get(&p.piece.job) {
                machine.remember_image(&job.spec);
            }
        }
        // A start that this report does not show was in a response that the worker dropped:
        // it has one report in flight at a time, so replacing the list forgets it rightly.
        machine.tasks = tasks;
        if let Some(f) = env.flavors.get(&machine.hull) {
            machine.trim_images(f.local_gb);
        }
        if machine.tasks.keys().copied().collect::<BTreeSet<_>>() != before {
            self.news = true;
        }
        let shared = |a: &Attempt| self.grants.iter().any(|g| g.attempt == Some(*a));
        let shown = report.pieces.iter().map(|p| (p.piece, p.r#try)).filter(|p| shared(&p.1));
        let shown: Vec<_> = shown.collect();
        self.spent.extend(shown);
        self.note_finished(env.ledger, report);
        let mut orders = kills(env.ledger, &report.pieces);
        self.clear_ended(env, report, &mut orders);
        self.start_granted(env, &report.host, &mut orders);
        self.answered.insert(report.host.clone(), now);
        ReportAnswer::Take(ReportReply { baton: self.term, orders })
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

    fn start_granted(&mut self, env: &Surroundings<'_>, id: &MachineId, orders: &mut Vec<Order>) {
        if self.grants.is_empty() {
            return;
        }
        let mut rooms = self.rooms(env);
        if !rooms.iter().any(|r| r.id == *id && r.open) {
            return;
        }
        let held: HashSet<TaskId> =
            self.machines.values().flat_map(|m| m.tasks.keys()).copied().collect();
        let mut grants: Vec<(Urgency, JobId, &Grant)> = self
            .grants
            .iter()
            .filter_map(|g| Some((env.ledger.jobs.get(&g.job)?.spec.urgency, g.job, g)))
            .collect();
        grants.sort_by_key(|g| (g.0, g.1));
        let mut starts = Vec::new();
        for (_, job_id, grant) in grants {
            let Some(job) = env.ledger.jobs.get(&job_id) else {
                continue;
            };
            if self.faults.get(&job_id).is_some_and(|f| f.until > env.now) {
                continue;
            }
            let need = Need::of(&job.spec);
            let tasks = grant.tasks.iter().map(|index| TaskId { job: job_id, index });
            let spent = |t: &TaskId| grant.attempt.is_some_and(|a| self.spent.contains(&(*t, a)));
            let open = |t: &TaskId| env.ledger.may_run(*t) && !held.contains(t) && !spent(t);
            for task in tasks.filter(open) {
                let Some(i) = place::choose(&job.spec, &need, &rooms, grant.zone.as_deref()) else {
                    break;
                };
                rooms[i].add(&job.spec, &need);
                if rooms[i].id == *id {
                    starts.push((task, &job.spec, grant.attempt));
                }
            }
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for (task, spec, attempt) in starts {
            let attempt = attempt.unwrap_or_else(|| self.attempts.give());
            machine.remember_image(spec);
            machine
                .tasks
                .insert(task, Held { attempt, stage: PieceStage::Unknown, since: env.now });
            self.news = true;
            tracing::debug!(%task, machine = %id, %attempt, "starts");
            orders.push(Order::Start { piece: task, r#try: attempt });
        }
    }

    /// This part's machines as placement sees them.
    fn rooms(&self, env: &Surroundings<'_>) -> Vec<Room> {
        self.machines
            .iter()
            .filter_map(|(id, m)| {
                let view = self.view(id, m, env.now);
                Room::of(&view, env.flavors, env.ledger, !self.drained.contains(id))
            })
            .collect()
    }

    /// What the leader is told.
    pub fn summary(&mut self, now: Steady) -> Summary {
        self.number += 1;
        self.strays.retain(|_, s| now.since(s.last) < 10_000);
        self.redirected.retain(|_, at| now.since(*at) < 10_000);
        self.answered.retain(|_, at| now.since(*at) < 120_000);
        let machines = self.machines.iter().map(|(id, m)| self.view(id, m, now)).collect();
        Summary {
            node: self.me,
            life: self.life,
            number: self.number,
            term: self.term,
            followed: self.plan.as_ref().map_or(PlanSeq(0), |p| p.seq),
            echo_ms: self.plan.as_ref().map_or(0, |p| p.clock_ms),
            up_ms: now.0,
            machines,
            answered: self.answered.iter().map(|(id, at)| (id.clone(), now.since(*at))).collect(),
            strays: self
                .strays
                .iter()
                .map(|(id, s)| Stray {
                    id: id.clone(),
                    hull: s.hull.clone(),
                    zone: s.zone.clone(),
                    spot: s.spot,
                    silent_ms: now.since(s.last),
                    since_ms: s.back.map_or(0, |at| now.since(at)),
                })
                .collect(),
            failing: self.faults.keys().copied().filter(|j| self.failing(*j)).collect(),
        }
    }

    fn view(&self, id: &MachineId, m: &Machine, now: Steady) -> MachineView {
        MachineView {
            id: id.clone(),
            hull: m.hull.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            session: m.session,
            settled: m.baton == self.term,
            silent_ms: now.since(m.heard),
            warning_ms: m.warned.map(|at| at.since(now)),
            shunned: m.shun_until > now,
            faults: m.faults,
            tasks: m
                .tasks
                .iter()
                .map(|(task, h)| TaskView {
                    task: *task,
                    attempt: h.attempt,
                    stage: h.stage,
                    age_ms: now.since(h.since),
                })
                .collect(),
            images: m.images.clone(),
        }
    }

    /// Forgets finished tasks that are durable by now and faults of jobs that have ended.
    pub fn tidy(&mut self, ledger: &Ledger) {
        self.finished.retain(|job, tasks| {
            tasks.retain(|i| ledger.may_run(TaskId { job: *job, index: *i }));
            !tasks.is_empty()
        });
        self.faults.retain(|job, _| ledger.jobs.contains_key(job));
    }
}

fn kill(piece: TaskId, attempt: Attempt) -> Order {
    Order::Kill { piece, r#try: attempt, leeway_s: 0.0 }
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
