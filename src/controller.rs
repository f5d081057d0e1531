//! What a controller knows and decides, without any connection: the service's loops bring
//! answers in and carry transactions and messages out. Tests drive the same code.

use std::rc::Rc;

use tracing::info;

use crate::cluster_view::ClusterView;
use crate::config::{NodeInfo, Settings, StoreLimits};
use crate::leader::{Epoch, Leader};
use crate::lease::LeaseRights;
use crate::model::{
    ClockReading, Incarnation, JobId, MonotonicTime, NodeId, Revision, StoreLease, TaskId, Term,
    WallTime,
};
use crate::peer::{PeerResponse, Plan, Summary, WaitReason};
use crate::placement::MachineCatalog;
use crate::replica::{
    self, LeaderRecord, MemberRecord, Replica, ReplicaChanges, TermRecord, Versioned,
};
use crate::shard::{DirectMessage, HeartbeatOutcome, Shard, ShardContext};
use crate::standby::Standby;
use crate::store_client::leaders_writes_per_s;
use crate::wire::{self, Change, Condition, Heartbeat, KeyValue, Txn, WatchResponse};

mod failover;

/// Least and longest time over which the completions of a job that goes on are gathered. Until they
/// are on record their workers keep them, so nothing is lost by waiting.
const GATHER_MS: u64 = 1_200;
const LONGEST_GATHER_MS: u64 = 8_000;
/// Part of the leader's changes in the store that the progress of jobs that go on takes. Epochs
/// and the ends of jobs are what others wait for.
const PROGRESS_PART: f64 = 0.25;
/// Most changes of that kind in one transaction, in seconds of what the leader may write: whatever is to be
/// written next has to wait for them.
const PROGRESS_AT_ONCE_S: f64 = 0.2;
/// Time that the leader has to write what other nodes tell it of, beyond what it gathers.
const LEFT_TO_LEADER_MS: u64 = 3_000;

/// How long a node reaches nobody before it sends its workers to others.
const ALONE_MS: u64 = 5_000;

/// How long what the store told counts as fresh for peers.
const FRESH_MS: u64 = 2_500;

/// A controller's state.
pub struct Controller {
    /// Settings.
    pub settings: Rc<Settings>,
    /// All controllers.
    pub nodes: Vec<NodeInfo>,
    /// This one's place among them.
    pub me: NodeId,
    /// This process's life.
    pub incarnation: Incarnation,
    /// The replica of the store.
    pub replica: Replica,
    /// What this node may do.
    pub rights: LeaseRights,
    /// Its part.
    pub shard: Shard,
    /// Its leadership.
    pub leader: Option<Leader>,
    /// Machine types.
    pub catalog: MachineCatalog,
    /// Whether the replica has been read once.
    pub loaded: bool,
    /// Whether the last request to the store was served.
    pub store_ok: bool,
    /// When another controller was last heard.
    pub peer_heard: MonotonicTime,
    /// Limits of the state service that writes keep to.
    pub limits: StoreLimits,
    /// A leader of a later term than the replica knows, as a peer told.
    leader_from_peer: Option<LeaderRecord>,
    /// The warm standby, if it is enabled.
    pub standby: Option<Standby>,
}

impl Controller {
    /// A controller that knows nothing yet.
    pub fn new(settings: Rc<Settings>, incarnation: Incarnation) -> Self {
        let (nodes, me) = settings.all_nodes();
        Controller {
            replica: Replica::new(me),
            rights: LeaseRights::new(settings.keep_alive_ms()),
            shard: Shard::new(me, incarnation),
            leader: None,
            catalog: MachineCatalog::new(),
            loaded: false,
            store_ok: false,
            peer_heard: MonotonicTime(0),
            leader_from_peer: None,
            standby: None,
            limits: settings.params.state.clone(),
            settings,
            nodes,
            me,
            incarnation,
        }
    }

    /// The store called a write malformed that is not: its limits are lower than the settings say.
    /// Writes become smaller until they fit.
    pub fn tighten(&mut self) {
        let limits = &mut self.limits;
        limits.txn_ops = (limits.txn_ops / 2).max(2);
        limits.value_kb = (limits.value_kb / 2.0).max(1.0);
        let (value_kb, txn_ops) = (limits.value_kb, limits.txn_ops);
        tracing::warn!(
            value_kb,
            txn_ops,
            "the store refuses what it took before; writing less at once"
        );
    }

    /// Does something with the leadership and what it needs to see.
    fn with_cluster_view<T>(
        &mut self,
        now: ClockReading,
        act: impl FnOnce(&mut Option<Leader>, &ClusterView<'_>) -> T,
    ) -> T {
        let cluster = ClusterView {
            now: now.steady,
            wall: now.wall,
            replica: &self.replica,
            synced: self.rights.synced_at().unwrap_or_default(),
            served_for: self.rights.served_for(now.steady),
            catalog: &self.catalog,
            completed_tasks: &self.shard.completed_tasks,
            settings: &self.settings,
            limits: &self.limits,
            nodes: &self.nodes,
        };
        act(&mut self.leader, &cluster)
    }

    /// Does something with the leadership, if there is one, and what it needs to see.
    pub fn with_leader<T>(
        &mut self,
        now: ClockReading,
        act: impl FnOnce(&mut Leader, &ClusterView<'_>) -> T,
    ) -> Option<T> {
        self.with_cluster_view(now, |leader, cluster| {
            leader.as_mut().map(|leader| act(leader, cluster))
        })
    }

    /// Takes the whole store as it was read, `revision` being that of the first page: pages
    /// read later may hold newer items, and versions tell which changes are old.
    pub fn load(&mut self, items: &[KeyValue], revision: Revision) {
        let mut replica = Replica::new(self.me);
        items.iter().for_each(|item| replica.load(item, &mut ReplicaChanges::default()));
        self.take_replica(replica, revision);
    }

    /// The same for a replica into which it was read.
    pub fn take_replica(&mut self, replica: Replica, revision: Revision) {
        self.replica.replace(replica);
        self.replica.revision = revision;
        self.loaded = true;
        self.store_ok = true;
    }

    /// The revision after which the replica needs the changes; `None` before the store has been read. Asked
    /// for changes since the beginning, it sends all that it keeps, without a bound on their size.
    pub fn changes_from(&self) -> Option<Revision> {
        self.loaded.then_some(self.replica.revision)
    }

    /// Takes a watch's answer to a request sent at `sent`; `None` if the replica has to be
    /// read anew.
    pub fn apply(
        &mut self,
        changes: &WatchResponse,
        sent: MonotonicTime,
    ) -> Option<ReplicaChanges> {
        if !self.loaded {
            return None;
        }
        self.rights.confirm_sync(sent);
        Some(self.replica.apply(changes))
    }

    /// Takes over what a transaction of this node made durable at that revision.
    pub fn apply_own(&mut self, txn: &Txn, version: Revision) -> ReplicaChanges {
        let mut replica_changes = ReplicaChanges::default();
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change {
                let item = KeyValue { key: key.clone(), value: value.clone(), version };
                self.replica.load(&item, &mut replica_changes);
            }
        }
        replica_changes
    }

    /// Follows what changes brought.
    pub fn follow(&mut self, now: ClockReading, replica_changes: &ReplicaChanges) {
        if replica_changes.leader {
            self.follow_leader_key(now);
        }
        if replica_changes.job_progress {
            self.shard.tidy(&self.replica);
        }
        if !replica_changes.cancelled_jobs.is_empty() {
            self.shard.queue_cancellation_kills(&replica_changes.cancelled_jobs);
        }
        if replica_changes.job_progress || replica_changes.new_jobs {
            self.complete_gangs(now.steady);
        }
        if self.catalog.is_empty()
            && let Some(catalog) = self.replica.all_machine_types()
        {
            self.set_machine_types(&catalog);
        }
    }

    /// If one task of a gang is done, all are. A version that does not know that may have put some
    /// of them on record alone.
    fn complete_gangs(&mut self, now: MonotonicTime) {
        let partly: Vec<JobId> = self
            .replica
            .jobs
            .iter()
            .filter(|(_, j)| j.spec.kind == wire::JobKind::Gang && !j.progress.done.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for job in partly {
            self.shard.record_completion(now, &self.replica, TaskId { job, index: 0 });
        }
    }

    /// Takes machine types.
    pub fn set_machine_types(&mut self, catalog: &wire::MachineTypes) {
        self.catalog = catalog.machine_types.iter().map(|f| (f.name.clone(), f.clone())).collect();
    }

    /// Follows changes of term and leader. A leadership begins only here, when the replica
    /// holds the leader's key: by then it also holds everything that earlier leaders wrote,
    /// as their later writes fail.
    fn follow_leader_key(&mut self, now: ClockReading) {
        let known = self.replica.term;
        if self.shard.begin_term(known) {
            self.log_term(now.steady);
        }
        self.leader_from_peer = self.leader_from_peer.take().filter(|r| r.term > known);
        if self.leader_from_peer.is_some() {
            return; // What the replica tells is of an earlier term.
        }
        let mine = self.replica.leader.as_ref().map(|leader| &leader.value).filter(|r| {
            r.node == self.me && r.incarnation == self.incarnation && r.term == self.replica.term
        });
        match (mine, &self.leader) {
            (Some(r), Some(leader)) if leader.term == r.term => {}
            (Some(r), _) => {
                let term = r.term;
                info!(%term, "leading");
                self.with_cluster_view(now, |leader, cluster| {
                    let before = leader.take();
                    *leader = Some(Leader::begin(cluster, term, before));
                });
                self.begin_failover(now, term);
            }
            (None, Some(leader)) => {
                info!(term = %leader.term, "no longer leading");
                self.leader = None;
            }
            (None, None) => {}
        }
        self.follow_other_leader(now.steady);
    }

    /// Logs who leads the term that the replica shows, and how old the proof is that the replica was current.
    fn log_term(&self, now: MonotonicTime) {
        let term = self.replica.term;
        let leader = self.replica.leader.as_ref().map(|leader| &leader.value);
        let leader = leader.filter(|record| record.term == term);
        let leader_name = leader.map_or("unknown", |record| self.name_of(record.node));
        let learned = if leader.is_some_and(|r| self.is_me(r)) { "own election" } else { "watch" };
        let (proof_ms, revision) = (self.rights.sync_age(now), self.replica.revision.0);
        info!(%term, leader = leader_name, learned, proof_ms, revision, "a term begins");
    }

    /// The name of a controller.
    fn name_of(&self, node: NodeId) -> &str {
        self.nodes.get(usize::from(node.0)).map_or("unknown", |info| &info.name)
    }

    /// What this node tells the leader, in about `byte_budget` bytes.
    pub fn summary(&mut self, now: MonotonicTime, byte_budget: usize) -> Summary {
        let (served_ms, timing) = (self.rights.served_age(now), self.settings.timing());
        let follows = self.leader.is_none();
        let follow = self.standby.as_ref().filter(|_| follows).map(Standby::request);
        Summary { served_ms, follow, ..self.shard.summary(now, &timing, byte_budget) }
    }

    /// Who leads, as the store told just now; what peers are told that it does not serve.
    pub fn leader_for_peer(&self, now: MonotonicTime) -> Option<LeaderRecord> {
        let fresh = self.rights.sync_age(now).is_some_and(|age| age < FRESH_MS);
        let leader = self.replica.leader.as_ref().map(|leader| &leader.value);
        leader.filter(|r| self.loaded && fresh && r.term == self.replica.term).cloned()
    }

    /// Takes a peer's word for who leads. A node that the store refuses would else keep its
    /// workers under an old token until its right ends, and nothing could start on them.
    pub fn learn_leader_from_peer(&mut self, leader: LeaderRecord) {
        if !self.loaded || leader.term <= self.shard.term() || leader.node == self.me {
            return;
        }
        let (term, leader_name) = (leader.term, self.name_of(leader.node));
        info!(%term, leader = leader_name, learned = "peer", "a term begins");
        self.shard.begin_term(term);
        self.leader_from_peer = Some(leader);
        self.leader = None;
    }

    /// The leader that this node's part reports to.
    pub fn leader(&self) -> Option<NodeId> {
        let known = self.replica.leader.as_ref().map(|leader| &leader.value);
        self.leader_from_peer.as_ref().or(known).filter(|_| self.loaded).map(|r| r.node)
    }

    /// The transaction that makes this process known; it replaces its predecessor at once.
    pub fn member_txn(&self, lease: StoreLease) -> Txn {
        let key = replica::member_key(self.me);
        let version =
            self.replica.members.get(&self.me).map_or(Revision(0), |member| member.version);
        let value = wire::to_value(&MemberRecord {
            incarnation: self.incarnation,
            version: env!("CARGO_PKG_VERSION").into(),
            capabilities: replica::CAPABILITIES,
        });
        Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            changes: vec![Change::Put { key, value, lease: Some(lease) }],
        }
    }

    /// Whether this node may stand for leader: nobody leads, or (`Some(true)`) its own
    /// predecessor, which is certainly dead.
    pub fn may_run_for_leader(&self, now: MonotonicTime) -> Option<bool> {
        if !self.loaded || !self.rights.may_lead(now) {
            return None;
        }
        match &self.replica.leader {
            None => Some(false),
            Some(Versioned { value: leader, .. })
                if leader.node == self.me && leader.incarnation != self.incarnation =>
            {
                Some(true)
            }
            Some(_) => None,
        }
    }

    /// The transaction that takes the next term, replacing the leader's key as it is known
    /// here; `None` without a lease for it to hang on.
    pub fn election_txn(&self) -> Option<Txn> {
        let lease = self.rights.lease?;
        let term = Term(self.replica.term.0 + 1);
        let leader = LeaderRecord { node: self.me, incarnation: self.incarnation, term };
        let version = self.replica.leader.as_ref().map_or(Revision(0), |leader| leader.version);
        let condition = |key: &str, version| Condition { key: key.into(), version };
        let set = |key: &str, value, lease| Change::Put { key: key.into(), value, lease };
        Some(Txn {
            conditions: vec![
                condition(replica::LEADER_KEY, version),
                condition(replica::TERM_KEY, self.replica.term_version),
            ],
            changes: vec![
                set(replica::LEADER_KEY, wire::to_value(&leader), Some(lease)),
                set(replica::TERM_KEY, wire::to_value(&TermRecord { term }), None),
            ],
        })
    }

    /// Whether this node has reached neither the store nor another controller for a while. It
    /// cannot tell that from an outage in which connections between controllers fail, too.
    pub fn alone(&self, now: MonotonicTime) -> bool {
        self.nodes.len() > 1
            && now.since(self.peer_heard) > ALONE_MS
            && self.rights.synced_at().is_some_and(|at| now.since(at) > ALONE_MS)
    }

    /// Does something with the part and what it needs to see.
    fn with_shard<T>(
        &mut self,
        now: MonotonicTime,
        act: impl FnOnce(&mut Shard, &ShardContext<'_>) -> T,
    ) -> T {
        let context = ShardContext {
            now,
            may_answer: self.loaded && self.rights.may_answer(now),
            may_start: self.loaded && self.rights.may_start(now),
            proof_ms: self.rights.sync_age(now),
            replica: &self.replica,
            catalog: &self.catalog,
            nodes: &self.nodes,
            isolated: self.alone(now),
            lease_ms: self.settings.worker_lease_ms(),
            timing: self.settings.timing(),
        };
        act(&mut self.shard, &context)
    }

    /// Answers a worker's report.
    pub fn on_heartbeat(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        self.with_shard(now, |shard, context| shard.on_heartbeat(context, heartbeat))
    }

    /// Machines that are to be told something straight away, up to `most`. Only a node that may
    /// answer workers tells of its term; any may end what is not wanted any more.
    pub fn direct_messages_due(&mut self, now: MonotonicTime, most: usize) -> Vec<DirectMessage> {
        if !self.loaded {
            return Vec::new();
        }
        let may_answer = self.rights.may_answer(now);
        self.shard.direct_messages_due(now, &self.replica, may_answer, most)
    }

    /// Takes a peer's word for a cancellation that is on record. The store may not tell this node, and
    /// whoever heard of the cancellation counts on no task of the job being started.
    pub fn hear_ended(
        &mut self,
        job: JobId,
        progress: &replica::Progress,
        version: Revision,
    ) -> ReplicaChanges {
        let mut replica_changes = ReplicaChanges::default();
        if self.loaded && progress.end.is_some() {
            let item = KeyValue {
                key: replica::progress_key(job),
                value: wire::to_value(progress),
                version,
            };
            self.replica.load(&item, &mut replica_changes);
        }
        replica_changes
    }

    /// Takes a machine's answer to an announcement.
    pub fn on_direct_response(
        &mut self,
        now: MonotonicTime,
        asked: &DirectMessage,
        heartbeat: &Heartbeat,
    ) {
        self.with_shard(now, |shard, context| shard.on_direct_response(context, asked, heartbeat));
    }

    /// As the leader, takes a summary and answers with the plan; also says whether an epoch
    /// should look at it soon.
    pub fn take_summary(&mut self, now: MonotonicTime, summary: Summary) -> (PeerResponse, bool) {
        let term = self.replica.term;
        let Some(leader) = &mut self.leader else {
            return (PeerResponse::NotLeading(term), false);
        };
        if summary.node != self.me {
            self.shard.merge_completions(now, &self.replica, &summary.completed_tasks);
        }
        let (follow, term) = (summary.follow, leader.term);
        let (mut response, changed) = leader.on_summary(now, summary);
        if let (PeerResponse::Plan(plan), Some(request), Some(standby)) =
            (&mut response, &follow, &mut self.standby)
        {
            plan.decisions = standby.batch_for(term, request);
        }
        (response, changed)
    }

    /// Follows the leader's answer to a summary; says whether it brought a new plan.
    pub fn take_answer(&mut self, response: PeerResponse) -> bool {
        match response {
            PeerResponse::Plan(plan) => self.shard.follow(*plan),
            PeerResponse::SendWhole => {
                self.shard.request_full_summary();
                false
            }
            _ => false,
        }
    }

    /// Works out an epoch, if this node leads.
    pub fn epoch(&mut self, now: ClockReading) -> Option<(Epoch, Term)> {
        if !self.rights.may_lead(now.steady) {
            return None;
        }
        self.with_leader(now, |leader, cluster| (leader.epoch(cluster), leader.term))
    }

    /// Makes an epoch hold that is durable by now, unless the term has passed meanwhile.
    pub fn publish(&mut self, now: ClockReading, epoch: Epoch, term: Term) {
        self.with_leader(now, |leader, cluster| {
            if leader.term == term {
                leader.publish(cluster, epoch);
            }
        });
        self.record_decisions(now);
    }

    /// A node's plan, for messages through the store, with the condition that it still leads.
    pub fn plan_for(&self, node: NodeId, now: MonotonicTime) -> Option<(Plan, Condition)> {
        let plan = self.leader.as_ref()?.plan_for(node, now)?;
        Some((plan, self.replica.leader_condition()?))
    }

    /// The transaction that makes finished tasks durable, if there are any to be written now.
    /// The leader writes for all, so that nodes do not get in each other's way; the others
    /// only do when it takes too long. A job that ends is written at once, others after a
    /// while for all tasks that completed meanwhile.
    pub fn completions_txn(&mut self, now: MonotonicTime) -> Option<Txn> {
        if !self.loaded {
            return None;
        }
        self.shard.tidy(&self.replica);
        let mut txn = Txn::default();
        let bytes = self.limits.value_bytes();
        for id in self.completions_due(now) {
            let (Some(job), Some(f)) =
                (self.replica.jobs.get(&id), self.shard.completed_tasks.get_mut(&id))
            else {
                continue;
            };
            f.since = now;
            let Some(progress) = job.with_completed(f.tasks.iter(), bytes) else { continue };
            let key = replica::progress_key(id);
            txn.conditions.push(Condition { key: key.clone(), version: job.progress_version });
            txn.changes.push(Change::Put { key, value: wire::to_value(&progress), lease: None });
        }
        (!txn.changes.is_empty()).then_some(txn)
    }

    /// Jobs whose completions are to be written now: all that end, and some of those that go on,
    /// the oldest first.
    fn completions_due(&self, now: MonotonicTime) -> Vec<JobId> {
        let leads = self.leader.is_some();
        let gather_ms = self.gather_ms();
        let (mut ending, mut going_on) = (Vec::new(), Vec::new());
        for (id, f) in &self.shard.completed_tasks {
            let Some(job) = self.replica.jobs.get(id) else { continue };
            let ends = job.remaining() <= f.tasks.len();
            let gathers = if ends { 0 } else { gather_ms };
            let wait = gathers + if leads { 0 } else { LEFT_TO_LEADER_MS };
            if now.since(f.since) >= wait {
                let due = if ends { &mut ending } else { &mut going_on };
                due.push((f.since, *id));
            }
        }
        ending.sort();
        going_on.sort();
        let at_once = leaders_writes_per_s(&self.limits) * PROGRESS_AT_ONCE_S;
        going_on.truncate((at_once as usize).max(1));
        let due = ending.into_iter().chain(going_on).map(|(_, id)| id);
        due.take(self.limits.txn_ops).collect()
    }

    /// Time over which the completions of jobs that go on are gathered: the more such jobs there are, the
    /// longer, so that they take their part of the store's budget and no more.
    fn gather_ms(&self) -> u64 {
        let jobs = self.shard.completed_tasks.len() as f64;
        let per_s = leaders_writes_per_s(&self.limits) * PROGRESS_PART;
        ((jobs / per_s * 1_000.0) as u64).clamp(GATHER_MS, LONGEST_GATHER_MS)
    }

    /// What a user is told of a job that has ended, which nothing can change any more.
    pub fn final_answer(&self, id: JobId) -> Option<wire::JobAnswer> {
        let replica::EndedJob { state, done } = self.replica.ended.get(&id).copied()?;
        let reason = match state {
            wire::JobState::Cancelled => Some("cancelled by its user".to_string()),
            _ => None,
        };
        Some(wire::JobAnswer { job: id, state, done, running: 0, reason })
    }

    /// What a user is told of a job that has not ended, as the replica has it.
    pub fn open_answer(&self, id: JobId) -> Option<wire::JobAnswer> {
        let job = self.replica.jobs.get(&id)?;
        let job_status = self.shard.job_status(id);
        // A job is done when the store says so; the count may be ahead of what is on record.
        let done = job.progress.done.len().max(self.shard.completed(id)).min(job.spec.task_count);
        let running = job_status.map_or(0, |s| s.running).min(job.spec.task_count - done);
        let state = match running {
            0 => wire::JobState::Pending,
            _ => wire::JobState::Running,
        };
        let reason = job_status.and_then(|s| why_it_waits(s.wait_reason, job.spec.kind, running));
        Some(wire::JobAnswer { job: id, state, done, running, reason: reason.map(str::to_string) })
    }

    /// The transaction that cancels a job, if it has not ended, and the progress record it writes.
    pub fn cancel_txn(&self, id: JobId) -> Option<(Txn, replica::Progress)> {
        let job = self.replica.jobs.get(&id)?;
        let progress = replica::Progress {
            end: Some(wire::JobState::Cancelled),
            done: job.progress.done.fitting(self.limits.value_bytes()),
            gang: None,
        };
        let key = replica::progress_key(id);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version: job.progress_version }],
            changes: vec![Change::Put { key, value: wire::to_value(&progress), lease: None }],
        };
        Some((txn, progress))
    }
}

fn why_it_waits(
    wait_reason: WaitReason,
    kind: wire::JobKind,
    running: u32,
) -> Option<&'static str> {
    let gang = kind == wire::JobKind::Gang && running == 0;
    match wait_reason {
        WaitReason::No if gang => Some("waits: its tasks begin once all of them can"),
        WaitReason::No => None,
        WaitReason::ForMachines if gang => Some(
            "waits: machines that hold all its tasks at once are not free, or are being rented",
        ),
        WaitReason::BelowWaterline => Some("waits: more urgent jobs need the machines"),
        WaitReason::TeamLimit => Some("waits: its team's limit is used up"),
        WaitReason::ForMachines => Some("waits: machines are full, more are being rented"),
        WaitReason::Failing => {
            Some("its tasks fail on every machine; it is tried again after pauses")
        }
        WaitReason::Unproven => {
            Some("waits: a machine was lost and its tasks may still be running")
        }
    }
}

/// The transaction that accepts jobs which are not known yet.
pub fn submission_txn<'a>(
    specs: impl Iterator<Item = &'a wire::JobSpec>,
    at: WallTime,
    catalog: &MachineCatalog,
    bytes: usize,
) -> Txn {
    let mut txn = Txn::default();
    for spec in specs {
        let key = replica::job_key(spec.id);
        if txn.conditions.iter().any(|g| g.key == key) {
            continue;
        }
        txn.conditions.push(Condition { key: key.clone(), version: Revision(0) });
        let accepted = replica::Accepted { spec: replica::stored_spec(spec, catalog, bytes), at };
        txn.changes.push(Change::Put { key, value: wire::to_value(&accepted), lease: None });
    }
    txn
}

#[cfg(test)]
mod tests;
