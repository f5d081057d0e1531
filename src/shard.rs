//! A controller's part of the machines: reports in, orders out.
//!
//! Within a term a machine has one owner and a task is granted to one part. `start` goes
//! only in the response to a report, so the next report either shows the task or proves that
//! the response was lost. Everything a part knows about a machine comes from its newest report.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use crate::config::{HeartbeatTiming, NodeInfo};
use crate::model::{
    AgentEpoch, Attempt, Incarnation, JobId, MachineId, MonotonicTime, NodeId, PlanSeq, Ranges,
    TaskId, Term,
};
use crate::peer::{JobStatus, OwnershipChanges, Plan};
use crate::replica::Replica;
use crate::resources::MachineCatalog;
use crate::wire::{
    ExitReason, Heartbeat, HeartbeatResponse, JobKind, JobState, TaskState, TaskStatus,
    WorkerCommand,
};

mod direct_commands;
mod machine;
mod redirect;
mod summary;
mod task_start;
mod term_state;

use machine::Machine;
use redirect::Route;
use term_state::{ActivePlan, TermState};

/// Most machines of which the newest report is remembered.
const LATEST_KEPT: usize = 8_192;

/// Completed tasks of a job that are not known to be on record yet.
#[derive(Clone, Debug, Default)]
pub struct CompletedTasks {
    /// The tasks.
    pub tasks: Ranges,
    /// When the first of them was heard of.
    pub since: MonotonicTime,
}

/// How a report is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with orders.
    Take(HeartbeatResponse),
    /// 421: report to that controller.
    Go(String),
    /// 503: this node may not act, or the report is a late one.
    Refuse,
}

/// Whose a machine is.
enum Responsibility {
    /// This part's.
    Own,
    /// That controller's.
    Other(NodeId),
    /// Nobody's that is known here.
    Unknown,
}

/// The newest report of a machine, and where its worker listens.
#[derive(Clone, Debug)]
struct NewestHeartbeat {
    order: (AgentEpoch, u64),
    endpoint: Rc<str>,
}

/// A machine that is to be asked or told something straight away.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectMessage {
    /// The machine.
    pub machine: MachineId,
    /// Where its worker listens.
    pub endpoint: Rc<str>,
    /// The term.
    pub term: Term,
    /// Its session, as far as known.
    pub agent_epoch: AgentEpoch,
    /// The newest report known when this goes out, if an older one came since: a worker that
    /// answers with nothing newer counts from the start again.
    pub doubted: Option<(AgentEpoch, u64)>,
    /// What it is to do. Only kills: a start could run late.
    pub commands: Vec<WorkerCommand>,
}

/// Errors of a job's tasks, to tell a faulty job from a faulty machine.
#[derive(Clone, Debug, Default)]
struct JobFaults {
    machines: HashSet<MachineId>,
    count: u32,
    until: MonotonicTime,
}

/// What the outside of a part looks like while it handles a report.
pub struct ShardContext<'a> {
    /// Now.
    pub now: MonotonicTime,
    /// Whether this node may answer with 200.
    pub may_answer: bool,
    /// Whether it may start tasks.
    pub may_start: bool,
    /// Milliseconds since the replica was known to be current.
    pub proof_ms: Option<u64>,
    /// The replica.
    pub replica: &'a Replica,
    /// Machine types.
    pub catalog: &'a MachineCatalog,
    /// All controllers.
    pub nodes: &'a [NodeInfo],
    /// Whether this node has reached neither the store nor another controller for a while.
    pub alone: bool,
    /// Milliseconds for which workers keep tasks without an answer.
    pub lease_ms: u64,
    /// How often workers report.
    pub timing: HeartbeatTiming,
}

/// How jobs stand as the newest plan told, for users. It grants nothing, so it stays when a term begins: completions
/// are true forever, and the number of running tasks is of that time.
#[derive(Debug, Default)]
struct ToldProgress {
    job_statuses: Vec<JobStatus>,
    /// Jobs and how many of their tasks have completed, where not all of that is on record.
    completed: Vec<(u64, u32)>,
}

/// The part.
///
/// What it follows on a leader's word is one value, void in the next term. All other fields are what this
/// process has seen and done itself.
#[derive(Debug)]
pub struct Shard {
    me: NodeId,
    incarnation: Incarnation,
    term_state: TermState,
    told_progress: ToldProgress,
    machines: BTreeMap<MachineId, Machine>,
    /// Newest report seen of any machine, against late copies.
    latest: HashMap<MachineId, NewestHeartbeat>,
    /// Machines of which an old report came: when they were asked, and whom to ask still.
    doubted: HashMap<MachineId, MonotonicTime>,
    doubts: Vec<(MachineId, AgentEpoch)>,
    /// Machines that are to be told straight away to end tasks: of gangs that are being stopped, or
    /// of jobs that were cancelled.
    stopping: BTreeSet<MachineId>,
    /// Machines that were restarted and count from the start again.
    restarted: BTreeSet<MachineId>,
    answered: BTreeMap<MachineId, MonotonicTime>,
    released_workers: HashMap<MachineId, MonotonicTime>,
    faults: HashMap<JobId, JobFaults>,
    /// Tasks that completed and whose outcome is not known to be durable yet.
    pub completed_tasks: BTreeMap<JobId, CompletedTasks>,
    number: u64,
    /// Summaries sent lately, with when they were made.
    sent: VecDeque<(u64, MonotonicTime)>,
    /// When any worker last reported here.
    heard: MonotonicTime,
    /// Starts that were refused as another term had granted them.
    refused_starts: u64,
    /// Set when something happened that the leader should hear of soon.
    pub news: bool,
}

impl Shard {
    /// A part without machines.
    pub fn new(me: NodeId, incarnation: Incarnation) -> Self {
        Shard {
            me,
            incarnation,
            term_state: TermState::begin(Term(0), me),
            told_progress: ToldProgress::default(),
            machines: BTreeMap::new(),
            latest: HashMap::new(),
            doubted: HashMap::new(),
            doubts: Vec::new(),
            stopping: BTreeSet::new(),
            restarted: BTreeSet::new(),
            answered: BTreeMap::new(),
            released_workers: HashMap::new(),
            faults: HashMap::new(),
            completed_tasks: BTreeMap::new(),
            number: 0,
            sent: VecDeque::new(),
            heard: MonotonicTime(0),
            refused_starts: 0,
            news: false,
        }
    }

    /// The term that this part follows.
    pub fn term(&self) -> Term {
        self.term_state.term
    }

    /// How many starts were refused as another term had granted them. Each one is a defect.
    pub fn refused_starts(&self) -> u64 {
        self.refused_starts
    }

    /// Begins a term, unless it is not a later one: whatever the part followed in earlier ones is void. Machines and
    /// what is known of their tasks stay, but none counts as settled until it reports with the new token.
    pub fn begin_term(&mut self, term: Term) -> bool {
        if term <= self.term_state.term {
            return false;
        }
        self.term_state = TermState::begin(term, self.me);
        self.news = true;
        true
    }

    /// Follows a plan, unless it is of another term or life, or older than the last.
    pub fn follow(&mut self, plan: Plan) -> bool {
        if plan.term != self.term_state.term || plan.incarnation != self.incarnation {
            return false;
        }
        if let Some(sent) = self.sent.iter().find(|s| s.0 == plan.heard) {
            self.term_state.acknowledged = self.term_state.acknowledged.max(Some(*sent));
        }
        let active_plan_seq = self.term_state.plan.seq;
        if plan.seq == active_plan_seq {
            self.term_state.clock_ms = self.term_state.clock_ms.max(plan.clock_ms);
            return false;
        }
        let is_next = plan.seq > active_plan_seq && plan.owners.base <= active_plan_seq;
        let Some(mut body) = plan.body.filter(|_| is_next) else {
            return false;
        };
        self.follow_owners(plan.owners);
        self.end_expired_agent_epochs(&body.expired_leases);
        self.told_progress = ToldProgress {
            job_statuses: std::mem::take(&mut body.job_statuses),
            completed: std::mem::take(&mut body.completed),
        };
        let next = ActivePlan::new(plan.term, plan.seq, body);
        let before = std::mem::replace(&mut self.term_state.plan, next);
        if self.term_state.plan.stops_more_than(&before) {
            self.note_stopped_gangs();
        }
        self.term_state.clock_ms = plan.clock_ms;
        self.term_state.reassign = true;
        self.term_state.announcing = true;
        tracing::debug!(term = %plan.term, plan = plan.seq.0, "follows a plan");
        true
    }

    /// Follows what a plan says of owners, and forgets what is no longer this part's to tell.
    fn follow_owners(&mut self, news: OwnershipChanges) {
        let term_state = &mut self.term_state;
        if news.base == PlanSeq(0) {
            let owners: BTreeMap<MachineId, NodeId> = news.set.into_iter().collect();
            let before = std::mem::replace(&mut term_state.owners, owners);
            let owners = &term_state.owners;
            term_state.redirected.retain(|id, _| before.get(id) == owners.get(id));
        } else {
            term_state.owners.extend(news.set);
            for id in &news.gone {
                term_state.owners.remove(id);
            }
        }
        let (me, owners) = (self.me, &term_state.owners);
        // Whatever was on a machine that this part no longer has is its new owner's to tell,
        // or is gone with the machine.
        self.machines.retain(|id, _| owners.get(id) == Some(&me));
        term_state.foreign_machines.retain(|id, _| owners.get(id) != Some(&me));
        self.restarted.retain(|id| owners.contains_key(id));
    }

    /// Forgets the tasks of sessions whose lease has run out.
    fn end_expired_agent_epochs(&mut self, expired_leases: &[(MachineId, AgentEpoch)]) {
        for (id, agent_epoch) in expired_leases {
            if let Some(m) = self.machines.get_mut(id).filter(|m| m.agent_epoch <= *agent_epoch) {
                m.tasks.clear();
            }
        }
    }

    /// Machines with tasks of gangs that are being stopped are told straight away, and in the answers to their
    /// reports.
    fn note_stopped_gangs(&mut self) {
        let plan = &self.term_state.plan;
        let has = |m: &Machine| m.tasks.iter().any(|(t, h)| plan.stop_of(*t, h.attempt).is_some());
        let on = self.machines.iter().filter(|(_, m)| has(m)).map(|(id, _)| id.clone());
        self.stopping.extend(on);
    }

    /// Sends all it knows with the next summary.
    pub fn send_whole(&mut self) {
        self.term_state.acknowledged = None;
        self.news = true;
    }

    /// How a job stands as the leader last told.
    pub fn job_status(&self, job: JobId) -> Option<crate::peer::JobStatus> {
        self.told_progress.job_statuses.iter().find(|s| s.job == job.0).copied()
    }

    /// How many tasks of a job have completed as the leader last told, if not all of that is on record.
    pub fn completed(&self, job: JobId) -> u32 {
        self.told_progress.completed.iter().find(|c| c.0 == job.0).map_or(0, |c| c.1)
    }

    /// Answers a report.
    pub fn on_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        self.heard = context.now;
        // A completed task stays completed whoever reports it and however late.
        self.note_completions(context.now, context.replica, heartbeat);
        let term = self.term_state.term;
        if !context.may_answer || term == Term(0) || heartbeat.token > term {
            return HeartbeatOutcome::Refuse;
        }
        if context.replica.machine_gone(&heartbeat.machine) {
            return HeartbeatOutcome::Refuse;
        }
        // A late copy tells of a past that newer reports have overtaken. It settles nothing,
        // and its answer would reach nobody.
        if !self.is_newest(heartbeat) {
            self.doubt(context.now, heartbeat);
            return HeartbeatOutcome::Refuse;
        }
        if !self.accepts_answers(context, heartbeat) {
            return HeartbeatOutcome::Refuse;
        }
        match self.responsibility(&heartbeat.machine) {
            Responsibility::Own => {
                // Whoever still reaches the store may have taken its machines over. A worker
                // that comes back found nobody, as in an outage, and is kept alive here.
                if context.alone && self.releases_worker(context.now, &heartbeat.machine) {
                    let next = (usize::from(self.me.0) + 1) % context.nodes.len().max(1);
                    return self.go(context, next);
                }
                self.on_own_heartbeat(context, heartbeat)
            }
            Responsibility::Other(owner) => {
                match self.route(context.now, &context.timing, &heartbeat.machine) {
                    Route::Send => self.go(context, usize::from(owner.0)),
                    Route::Keep => self.on_foreign_heartbeat(context, heartbeat, false),
                    Route::Cut => self.on_foreign_heartbeat(context, heartbeat, true),
                }
            }
            Responsibility::Unknown => self.on_foreign_heartbeat(context, heartbeat, false),
        }
    }

    /// Whose a machine is. Before the first plan of a term nobody is known to own any: machines that were this part's
    /// are still observed and kept alive, all others are kept alive, and none is sent to an owner of an earlier term.
    fn responsibility(&self, machine: &MachineId) -> Responsibility {
        match self.term_state.owner(machine) {
            Some(owner) if owner == self.me => Responsibility::Own,
            Some(owner) => Responsibility::Other(owner),
            None if !self.term_state.has_plan() && self.machines.contains_key(machine) => {
                Responsibility::Own
            }
            None => Responsibility::Unknown,
        }
    }

    /// Whether a report is newer than all others of its machine; remembers it if so.
    fn is_newest(&mut self, heartbeat: &Heartbeat) -> bool {
        let order = (heartbeat.agent_epoch, heartbeat.sequence);
        if let Some(newest) = self.latest.get_mut(&heartbeat.machine) {
            if order <= newest.order {
                return false;
            }
            newest.order = order;
            if *newest.endpoint != *heartbeat.endpoint {
                newest.endpoint = heartbeat.endpoint.as_str().into();
            }
            return true;
        }
        // Before the first plan of a term no machine has an owner, and forgetting them all would let late copies in.
        if self.latest.len() >= LATEST_KEPT && self.term_state.has_plan() {
            let owners = &self.term_state.owners;
            self.latest.retain(|id, _| owners.contains_key(id));
        }
        let newest = NewestHeartbeat { order, endpoint: heartbeat.endpoint.as_str().into() };
        self.latest.insert(heartbeat.machine.clone(), newest);
        true
    }

    /// Kills for what is to end on a machine.
    fn kills(
        &self,
        replica: &Replica,
        machine: &MachineId,
        tasks: &[TaskStatus],
    ) -> Vec<WorkerCommand> {
        let on = tasks.iter().filter(|p| p.state != TaskState::Exited);
        on.filter_map(|p| self.stop(replica, machine, p.task, p.attempt)).collect()
    }

    /// The kill for a task that is to end: its job was cancelled, it is durably done already, or it is of a gang that is
    /// being stopped.
    fn stop(
        &self,
        replica: &Replica,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
    ) -> Option<WorkerCommand> {
        let plan = &self.term_state.plan;
        let (leeway_ms, why) = match plan.stop_of(task, attempt) {
            _ if is_cancelled(replica, task.job) => (0, "its job is cancelled"),
            _ if replica.is_outcome_recorded(task) => (0, "it is done"),
            Some(stop) => (stop.leeway_ms, "its gang is being stopped"),
            None => return None,
        };
        tracing::debug!(
            %task, %machine, %attempt, why, term = %plan.term, plan = plan.seq.0, "stops"
        );
        let grace_s = leeway_ms as f64 / 1000.0;
        Some(WorkerCommand::Kill { task, attempt, grace_s })
    }

    /// Logs why a report may be answered with 200.
    fn log_response(
        &self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        own: bool,
        commands: &[WorkerCommand],
    ) {
        tracing::debug!(
            machine = %heartbeat.machine, own, term = %self.term_state.term, plan = self.term_state.plan.seq.0,
            proof_ms = context.proof_ms, agent_epoch = heartbeat.agent_epoch.0, token = %heartbeat.token,
            commands = commands.len(), "answers"
        );
    }

    fn note_completions(&mut self, now: MonotonicTime, replica: &Replica, heartbeat: &Heartbeat) {
        for p in &heartbeat.tasks {
            if p.state == TaskState::Exited && p.exit_reason == Some(ExitReason::Done) {
                self.note_done(now, replica, p.task);
            }
        }
    }

    /// Notes a task that completed; if it is of a gang, all of its tasks did.
    pub fn note_done(&mut self, now: MonotonicTime, replica: &Replica, task: TaskId) {
        let Some(job) = replica.jobs.get(&task.job) else { return };
        let gang = job.spec.kind == JobKind::Gang;
        if !gang && !replica.may_run(task) || task.index >= job.spec.task_count {
            return;
        }
        let f = self
            .completed_tasks
            .entry(task.job)
            .or_insert_with(|| CompletedTasks { tasks: Ranges::default(), since: now });
        if !gang {
            self.news |= f.tasks.insert(task.index);
        } else if f.tasks.len() < job.spec.task_count {
            f.tasks = Ranges::span(0, job.spec.task_count);
            self.news = true;
        }
    }

    /// Takes completions that another controller heard of.
    pub fn merge_completions(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        completed_tasks: &[(u64, Ranges)],
    ) {
        for (job, tasks) in completed_tasks {
            for index in tasks.iter() {
                self.note_done(now, replica, TaskId { job: JobId(*job), index });
            }
        }
    }

    /// Takes what a report of a machine of this part tells of it; says whether it has more room
    /// than before.
    fn take_state(&mut self, context: &ShardContext<'_>, heartbeat: &Heartbeat) -> bool {
        let now = context.now;
        let next = self.number + 1;
        let machine = self
            .machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::new(heartbeat, now));
        let warned = heartbeat.spot_notice_s.is_some();
        machine.leaves = heartbeat.spot_notice_s.map(|s| now.plus((s.max(0.0) * 1000.0) as u64));
        let shunned = machine.quarantined_until;
        let state = (heartbeat.agent_epoch, heartbeat.token, warned);
        let turned = state != (machine.agent_epoch, machine.token, machine.warned);
        (machine.agent_epoch, machine.token, machine.warned) = state;
        machine.heard = now;
        let before = machine.tasks.len();
        let (changed, others, left) = machine.take_tasks(context, heartbeat);
        let new = machine.changed == 0;
        self.news |= others || turned || new;
        // Stages matter to the leader only in passing, so they are told without haste.
        if changed || turned || new || machine.quarantined_until != shunned {
            machine.changed = next;
        }
        let freed = machine.tasks.len() < before || turned || machine.quarantined_until != shunned;
        // A start that was lost, or a task that failed, has to go somewhere else.
        self.term_state.reassign |= left.iter().any(|t| self.may_start(context.replica, *t));
        if self.term_state.plan.has_gangs() {
            // A refused start never ran, and may be tried elsewhere.
            let refused = |p: &TaskStatus| {
                matches!(
                    p.exit_reason,
                    Some(
                        ExitReason::InsufficientResources
                            | ExitReason::AttemptConflict
                            | ExitReason::Unknown
                    )
                )
            };
            let shown = heartbeat.tasks.iter().filter(|p| !refused(p)).map(|p| (p.task, p.attempt));
            let plan = &self.term_state.plan;
            self.term_state.shown_gang_attempts.extend(shown.filter(|p| plan.grants_gang(p.1)));
        }
        freed
    }

    fn on_own_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let now = context.now;
        let freed = self.take_state(context, heartbeat);
        let mut commands = self.kills(context.replica, &heartbeat.machine, &heartbeat.tasks);
        self.clear_ended(context, heartbeat, &mut commands);
        self.start_granted(context, &heartbeat.machine, freed, &mut commands);
        self.answered.insert(heartbeat.machine.clone(), now);
        self.log_response(context, heartbeat, true, &commands);
        HeartbeatOutcome::Take(HeartbeatResponse { token: self.term_state.term, commands })
    }

    /// Clears ended tasks whose outcome no longer depends on the worker's memory, and learns
    /// from those that failed.
    fn clear_ended(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        commands: &mut Vec<WorkerCommand>,
    ) {
        for p in heartbeat.tasks.iter().filter(|p| p.state == TaskState::Exited) {
            let done = p.exit_reason == Some(ExitReason::Done);
            // `done` is cleared only once the store has it; should all controllers end before
            // that, the worker still tells the next one.
            if done && !context.replica.is_outcome_recorded(p.task) {
                continue;
            }
            commands.push(WorkerCommand::Clear { task: p.task, attempt: p.attempt });
            match p.exit_reason {
                Some(ExitReason::Failed) => {
                    self.note_error(context.now, p.task.job, &heartbeat.machine)
                }
                Some(
                    ExitReason::InsufficientResources
                    | ExitReason::AttemptConflict
                    | ExitReason::Unknown,
                ) => {
                    if let Some(m) = self.machines.get_mut(&heartbeat.machine) {
                        m.quarantined_until = m.quarantined_until.max(context.now.plus(2_000));
                        m.changed = self.number + 1;
                    }
                }
                Some(ExitReason::Done) => {
                    if let Some(m) = self.machines.get_mut(&heartbeat.machine) {
                        m.faults = 0;
                    }
                    self.faults.remove(&p.task.job);
                }
                _ => {}
            }
        }
    }

    /// Errors mostly mean a faulty machine, but a job that fails on several machines is
    /// faulty itself: then it backs off and the machines are not blamed.
    fn note_error(&mut self, now: MonotonicTime, job: JobId, machine: &MachineId) {
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
                m.quarantined_until = now.plus(15_000u64 << m.faults.min(4));
            }
        }
        tracing::info!(job = %job, %machine, faulty_job, "task failed");
    }

    /// Whether the job fails everywhere it is tried.
    fn failing(&self, job: JobId) -> bool {
        self.faults.get(&job).is_some_and(|f| f.machines.len() >= 3)
    }

    /// Forgets finished tasks that are durable by now and faults of jobs that have ended.
    pub fn tidy(&mut self, replica: &Replica) {
        self.completed_tasks.retain(|job, f| {
            let open = |i: &u32| replica.may_run(TaskId { job: *job, index: *i });
            if !f.tasks.iter().all(|i| open(&i)) {
                f.tasks = f.tasks.iter().filter(open).collect();
            }
            !f.tasks.is_empty()
        });
        self.faults.retain(|job, _| replica.jobs.contains_key(job));
    }
}

fn is_cancelled(replica: &Replica, job: JobId) -> bool {
    matches!(replica.ended.get(&job), Some((JobState::Cancelled, _)))
}

#[cfg(test)]
mod tests;
