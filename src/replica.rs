//! The durable facts as this controller knows them: a replica of the state service.
//!
//! Keys: `j/<job>` the job as accepted (never changed), `d/<job>` its finished ranges and its
//! end (cancelled or done), `leader` and `n/<node>` (on leases), `term`, `m/<group>` every
//! machine that may be given tasks, `e/<n>` the task ranges that the last epochs granted,
//! `catalog` the machine types, `load` what brief work would use,
//! `x/<to>/<from>/<n>` messages between controllers that cannot reach each other.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rustc_hash::FxHashSet;

use serde::{Deserialize, Serialize};

use crate::model::{
    Incarnation, JobId, MachineId, NodeId, Ranges, Revision, TaskId, Term, WallTime,
};
use crate::offered_load::OfferedLoad;
use crate::resources::{MachineCatalog, Resources};
use crate::wire::{self, Condition, JobSpec, JobState, KeyValue, Value, WatchResponse};

/// How many ended jobs are kept in memory; older ones are read from the store when asked for.
const ENDED_KEPT: usize = 100_000;
/// How many machines share a key.
const MACHINES_IN_GROUP: u64 = 24;
/// How many cancelled jobs are remembered for what their tasks may still use.
const RESIDUAL_USAGE_KEPT: usize = 4_096;

/// A job as it was accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// What its user asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: WallTime,
}

/// What is durable about a job's progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Set once the job has ended, and never changed then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobState>,
    /// Tasks that completed.
    #[serde(default)]
    pub done: Ranges,
    /// What a gang that is done may still use. All of its tasks are done once one is, but a machine
    /// that hangs or cannot be reached has its tasks until they are gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang: Option<ResidualUsage>,
}

/// Who leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader.
    pub node: NodeId,
    /// The life of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its term.
    pub term: Term,
}

/// A controller that is up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The life of its process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its program's version; empty for those before 0.2.
    #[serde(default)]
    pub version: String,
    /// What it understands, see [`CAPABILITIES`]; 0 for the version before gangs.
    #[serde(default)]
    #[serde(rename = "speaks")]
    pub capabilities: u32,
}

/// What a controller understands that knows gangs: [`crate::peer::Stop`], waiting tasks, and that a
/// gang is done as a whole.
pub const CAPABILITY_GANGS: u32 = 1;
/// What a controller understands that is told of cancellations directly, [`crate::peer::PeerRequest::Ended`].
pub const CAPABILITY_CANCELLATION_NOTICE: u32 = 2;
/// What one understands that starts tasks granted ahead, [`crate::peer::PlanBody::ahead`].
pub const CAPABILITY_GRANTS_AHEAD: u32 = 3;
/// What one understands that is asked when it heard the leader, [`crate::peer::PeerRequest::LeaderSilence`].
pub const CAPABILITY_STANDBY: u32 = 4;
/// What this version understands.
pub const CAPABILITIES: u32 = CAPABILITY_STANDBY;

/// A machine that tasks may be on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Whether it has reported. Only then may tasks start on it, so a machine that still
    /// boots never holds up the proof that a task is nowhere.
    #[serde(default)]
    pub up: bool,
    /// Set once it is proven gone; the key stays for a while so that late reports are known
    /// for what they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone: Option<WallTime>,
    /// Where its worker listens, for controllers that it never reported to.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
}

impl MachineRecord {
    /// What is kept of it once it is gone: that it is.
    pub fn tombstone(&self, at: WallTime) -> Self {
        MachineRecord {
            machine_type: String::new(),
            zone: String::new(),
            endpoint: String::new(),
            gone: Some(self.gone.unwrap_or(at)),
            ..*self
        }
    }
}

/// Machines that are written together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroup {
    /// The machines.
    pub machines: Vec<(MachineId, MachineRecord)>,
}

/// What the tasks of a cancelled job, or of a gang that is done, use as long as they are not gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualUsage {
    /// Its team.
    pub owner: String,
    /// What each task takes.
    pub need: Resources,
    /// Tasks that were not done.
    pub left: u32,
}

impl ResidualUsage {
    fn of(spec: &JobSpec, done: u32) -> Self {
        let left = spec.task_count.saturating_sub(done);
        ResidualUsage { owner: spec.team.clone(), need: Resources::of(spec), left }
    }
}

/// The term as a key of its own, which stays when a leader's lease ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term given out.
    pub term: Term,
}

/// Task ranges granted by an epoch: any of these tasks that is not done may be running.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The term that wrote it.
    pub term: Term,
    /// Granted tasks.
    pub granted: Vec<(JobId, Ranges)>,
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: WallTime,
    /// Its progress.
    pub progress: Progress,
    /// Version of its progress; 0 if there is none yet.
    pub progress_version: Revision,
}

impl Job {
    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.progress.done.contains(index)
    }
    /// Tasks that are not done.
    pub fn remaining(&self) -> u32 {
        self.spec.task_count.saturating_sub(self.progress.done.len())
    }
}

/// What a batch of changes brought, for those who wait for it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplicaChanges {
    /// New jobs came.
    pub jobs: bool,
    /// Jobs ended or made progress.
    pub progress: bool,
    /// Jobs that are known to be cancelled from now on.
    pub cancelled: Vec<JobId>,
    /// The leader changed.
    pub leader: bool,
    /// A message for this node came.
    pub peer_messages: bool,
}

/// The replica.
#[derive(Debug, Default)]
pub struct Replica {
    me: String,
    /// Everything up to this revision is in here.
    pub revision: Revision,
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that have ended, with the number of tasks done.
    pub ended: HashMap<JobId, (JobState, u32)>,
    /// The same in the order in which their ends became known.
    ended_order: VecDeque<JobId>,
    progress_without_job: HashMap<JobId, (Progress, Revision)>,
    /// Controllers that are up.
    pub members: BTreeMap<NodeId, (MemberRecord, Revision)>,
    /// What each controller said last that it understands, whether it is up or not.
    last_capabilities: BTreeMap<NodeId, u32>,
    /// How often each controller's key came or went, so that no absence is taken for a
    /// longer one than it was.
    pub membership_changes: BTreeMap<NodeId, u64>,
    /// The leader.
    pub leader: Option<(LeaderRecord, Revision)>,
    /// The highest term, and the version of its key.
    pub term: Term,
    /// Version of the term's key.
    pub term_version: Revision,
    /// Machines that tasks may be on, and those lately gone.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    groups: BTreeMap<u32, (MachineGroup, Revision)>,
    /// The keys that name a machine: one, or more where a version of the program with larger values
    /// wrote it again beside a further key.
    keys_by_machine: HashMap<MachineId, Vec<u32>>,
    /// Jobs cancelled last.
    pub residual_usage: BTreeMap<JobId, ResidualUsage>,
    residual_usage_order: VecDeque<JobId>,
    /// Whether some of those cancelled lately are not in there.
    pub residual_usage_truncated: bool,
    /// Granted ranges by key number.
    pub epochs: BTreeMap<u32, (EpochRecord, Revision)>,
    /// What the load was, as the last leader wrote it.
    pub load: Option<(OfferedLoad, Revision)>,
    /// Machine types, as the last leader that asked the cloud wrote them.
    pub catalog: Option<(wire::MachineTypes, Revision)>,
    /// Those that did not fit into the first value.
    further_machine_types: BTreeMap<u32, wire::MachineTypes>,
    /// Messages for this node, by sender and part.
    pub peer_messages: BTreeMap<(u8, u32), (String, Revision)>,
}

/// The key of an accepted job.
pub fn job_key(job: JobId) -> String {
    format!("j/{job}")
}
/// The key of a job's progress.
pub fn progress_key(job: JobId) -> String {
    format!("d/{job}")
}
/// The key of a group of machines.
pub fn machine_key(group: u32) -> String {
    format!("m/{group:05}")
}
/// The group of a machine: those rented together are mostly written together.
pub fn machine_group(machine: &MachineId) -> u32 {
    let text = &*machine.0;
    let digits = text.len() - text.bytes().rev().take_while(u8::is_ascii_digit).count();
    let number: u64 = text[digits..].parse().unwrap_or(0);
    (number / MACHINES_IN_GROUP % 100_000) as u32
}
/// The key of a controller.
pub fn member_key(node: NodeId) -> String {
    format!("n/{}", node.0)
}
/// The key of a part of the granted ranges.
pub fn epoch_key(n: u32) -> String {
    format!("e/{n:04}")
}
/// The key of a part of a relayed message.
pub fn peer_message_key(to: NodeId, from: NodeId, chunk: u32) -> String {
    format!("x/{}/{}/{chunk}", to.0, from.0)
}
/// The leader's key.
pub const LEADER_KEY: &str = "lead";
/// The key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "flavors";
/// The key of what the load was.
pub const LOAD_KEY: &str = "load";
/// The term's key.
pub const TERM_KEY: &str = "term";

/// Prefixes that together cover all keys, each once. Keys of a kind have values of about the same size, so they are
/// read kind by kind: a page that is right for many small ones would hold too much of the next kind.
pub const KEY_PREFIXES: [&str; 9] =
    ["d/", "e/", MACHINE_TYPES_KEY, "j/", "l", "m/", "n/", TERM_KEY, "x/"];

/// Machine types as values of up to so many bytes; the first key is the one that all versions read.
pub fn machine_type_changes(catalog: &wire::MachineTypes, bytes: usize) -> Vec<wire::Change> {
    let mut pieces: Vec<wire::MachineTypes> =
        vec![wire::MachineTypes { machine_types: Vec::new() }];
    for machine_type in &catalog.machine_types {
        if let Some(last) = pieces.last_mut() {
            last.machine_types.push(machine_type.clone());
            if last.machine_types.len() > 1 && wire::stored_bytes(last) > bytes {
                let next = last.machine_types.pop();
                pieces.push(wire::MachineTypes { machine_types: next.into_iter().collect() });
            }
        }
    }
    let key = |n: usize| match n {
        0 => MACHINE_TYPES_KEY.to_string(),
        _ => format!("{MACHINE_TYPES_KEY}/{n:04}"),
    };
    let set =
        |(n, piece)| wire::Change::Put { key: key(n), value: wire::to_value(&piece), lease: None };
    pieces.into_iter().enumerate().map(set).collect()
}

/// A job's description as it is kept: if it is too large for a value, without the machine types that
/// there are none of. They are the only part without a bound, and the job is none the wider.
pub fn kept_spec(spec: &JobSpec, catalog: &MachineCatalog, bytes: usize) -> JobSpec {
    let mut kept = spec.clone();
    if wire::stored_bytes(&Accepted { spec: kept.clone(), at: WallTime(u64::MAX) }) > bytes
        && let Some(machine_types) = &mut kept.machine_types
    {
        machine_types.retain(|h| catalog.contains_key(h));
        machine_types.sort();
        machine_types.dedup();
    }
    kept
}

impl Replica {
    /// An empty replica for that node.
    pub fn new(me: NodeId) -> Self {
        Replica { me: format!("{}/", me.0), ..Replica::default() }
    }

    /// Takes a replica that was read anew, keeping what can never change.
    pub fn replace(&mut self, read: Replica) {
        let before = std::mem::replace(self, read);
        for id in before.ended_order {
            if let Some(end) = before.ended.get(&id) {
                self.remember_end(id, *end);
            }
        }
        // What came and went while the changes were not followed is not known.
        for (node, moves) in before.membership_changes {
            *self.membership_changes.entry(node).or_default() += moves + 1;
        }
        for (node, capabilities) in before.last_capabilities {
            self.last_capabilities.entry(node).or_insert(capabilities);
        }
    }

    /// Remembers that a job has ended; false if that was known. The oldest go first: tasks of jobs
    /// that ended lately may still be on machines, and are killed there because their end is known.
    fn remember_end(&mut self, id: JobId, end: (JobState, u32)) -> bool {
        if self.ended.insert(id, end).is_some() {
            return false;
        }
        self.ended_order.push_back(id);
        if self.ended.len() > ENDED_KEPT
            && let Some(old) = self.ended_order.pop_front()
        {
            self.ended.remove(&old);
        }
        true
    }

    /// Takes an item that was read.
    pub fn load(&mut self, item: &KeyValue, replica_changes: &mut ReplicaChanges) {
        self.put(&item.key, &item.value, item.version, replica_changes);
    }

    /// Takes a watch's answer. Answers that cover nothing new are ignored, so the order in
    /// which overlapping watches come back does not matter.
    pub fn apply(&mut self, changes: &WatchResponse) -> ReplicaChanges {
        let mut replica_changes = ReplicaChanges::default();
        for news in &changes.events {
            if news.version <= self.revision {
                continue;
            }
            match (&news.put_key, &news.deleted_key, &news.value) {
                (Some(key), _, Some(value)) => {
                    self.put(key, value, news.version, &mut replica_changes)
                }
                (_, Some(key), _) => self.delete(key, news.version, &mut replica_changes),
                _ => {}
            }
        }
        self.revision = self.revision.max(changes.revision);
        replica_changes
    }

    fn put(
        &mut self,
        key: &str,
        value: &Value,
        version: Revision,
        replica_changes: &mut ReplicaChanges,
    ) {
        if key == LEADER_KEY {
            if self.leader.as_ref().is_none_or(|l| l.1 < version) {
                self.leader = wire::from_value(value).map(|r| (r, version));
                replica_changes.leader = true;
            }
            return;
        }
        if key == TERM_KEY {
            if let Some(r) = wire::from_value::<TermRecord>(value)
                && self.term_version < version
            {
                self.term = r.term;
                self.term_version = version;
                replica_changes.leader = true;
            }
            return;
        }
        if key == MACHINE_TYPES_KEY {
            if self.catalog.as_ref().is_none_or(|f| f.1 < version) {
                self.catalog = wire::from_value(value).map(|f| (f, version));
            }
            return;
        }
        if key == LOAD_KEY {
            if self.load.as_ref().is_none_or(|l| l.1 < version) {
                self.load = wire::from_value(value).map(|l| (l, version));
            }
            return;
        }
        let Some((kind, rest)) = key.split_once('/') else {
            return;
        };
        match kind {
            "j" => self.put_job(rest, value, replica_changes),
            "d" => self.put_progress(rest, value, version, replica_changes),
            "m" => {
                if let (Ok(group), Some(r)) = (rest.parse(), wire::from_value(value)) {
                    self.put_group(group, r, version);
                }
            }
            "n" => {
                if let (Ok(n), Some(r)) = (rest.parse(), wire::from_value::<MemberRecord>(value))
                    && self.members.get(&NodeId(n)).is_none_or(|m| m.1 < version)
                {
                    self.last_capabilities.insert(NodeId(n), r.capabilities);
                    self.members.insert(NodeId(n), (r, version));
                    *self.membership_changes.entry(NodeId(n)).or_default() += 1;
                }
            }
            "e" => {
                if let (Ok(n), Some(r)) = (rest.parse(), wire::from_value(value))
                    && self.epochs.get(&n).is_none_or(|e| e.1 < version)
                {
                    self.epochs.insert(n, (r, version));
                }
            }
            "flavors" => {
                if let (Ok(n), Some(f)) = (rest.parse(), wire::from_value(value)) {
                    self.further_machine_types.insert(n, f);
                }
            }
            "x" => {
                if let Some((from, chunk)) = self.parse_chunk_key(rest)
                    && let Some(text) = value.as_text()
                {
                    self.peer_messages.insert((from, chunk), (text.to_string(), version));
                    replica_changes.peer_messages = true;
                }
            }
            _ => {}
        }
    }

    /// Takes a group of machines in place of what it held before.
    fn put_group(&mut self, group: u32, record: MachineGroup, version: Revision) {
        if self.groups.get(&group).is_some_and(|g| g.1 >= version) {
            return;
        }
        let mut ids: Vec<MachineId> = record.machines.iter().map(|(id, _)| id.clone()).collect();
        for id in &ids {
            let keys_by_machine = self.keys_by_machine.entry(id.clone()).or_default();
            if !keys_by_machine.contains(&group) {
                keys_by_machine.push(group);
            }
        }
        if let Some((old, _)) = self.groups.insert(group, (record, version)) {
            for (id, _) in old.machines {
                if !ids.contains(&id)
                    && let Some(keys_by_machine) = self.keys_by_machine.get_mut(&id)
                {
                    keys_by_machine.retain(|g| *g != group);
                    ids.push(id);
                }
            }
        }
        for id in ids {
            self.merge_machine(id);
        }
    }

    /// Takes what all keys tell of a machine. That it is gone stays true; a key that does not know it
    /// yet was written before.
    fn merge_machine(&mut self, id: MachineId) {
        let keys_by_machine = self.keys_by_machine.get(&id).map_or(&[][..], Vec::as_slice);
        let groups = keys_by_machine.iter().filter_map(|g| self.groups.get(g));
        let told = groups.flat_map(|(g, _)| &g.machines).filter(|(i, _)| *i == id).map(|(_, r)| r);
        match told.max_by_key(|r| (r.gone.is_some(), r.up)).cloned() {
            Some(record) => {
                self.machines.insert(id, record);
            }
            None => {
                self.keys_by_machine.remove(&id);
                self.machines.remove(&id);
            }
        }
    }

    /// The machines in a group's key, as the store has them.
    pub fn group(&self, group: u32) -> &[(MachineId, MachineRecord)] {
        self.groups.get(&group).map_or(&[], |g| &g.0.machines)
    }

    /// The groups that name a machine.
    pub fn keys_by_machine(&self, id: &MachineId) -> &[u32] {
        self.keys_by_machine.get(id).map_or(&[], Vec::as_slice)
    }

    fn remember_residual_usage(&mut self, id: JobId, w: ResidualUsage) {
        if self.residual_usage.insert(id, w).is_none() {
            self.residual_usage_order.push_back(id);
        }
        if self.residual_usage_order.len() > RESIDUAL_USAGE_KEPT
            && let Some(old) = self.residual_usage_order.pop_front()
        {
            self.residual_usage.remove(&old);
            // Its tasks may still be on machines that have not settled: those then count in full.
            self.residual_usage_truncated = true;
        }
    }

    fn parse_chunk_key(&self, rest: &str) -> Option<(u8, u32)> {
        let (from, chunk) = rest.strip_prefix(&self.me)?.split_once('/')?;
        Some((from.parse().ok()?, chunk.parse().ok()?))
    }

    fn put_job(&mut self, rest: &str, value: &Value, replica_changes: &mut ReplicaChanges) {
        let Some(id) = JobId::parse(rest) else { return };
        let end = self.ended.get(&id).copied();
        let over =
            matches!(end, Some((JobState::Done, _))) || self.residual_usage.contains_key(&id);
        if over || self.jobs.contains_key(&id) {
            return;
        }
        let Some(accepted) = wire::from_value::<Accepted>(value) else {
            tracing::error!(job = %id, "accepted job cannot be read from the store");
            return;
        };
        if let Some((_, done)) = end {
            self.remember_residual_usage(id, ResidualUsage::of(&accepted.spec, done));
            return;
        }
        let (progress, progress_version) =
            self.progress_without_job.remove(&id).unwrap_or_default();
        self.jobs
            .insert(id, Job { spec: accepted.spec, at: accepted.at, progress, progress_version });
        replica_changes.jobs = true;
    }

    fn put_progress(
        &mut self,
        rest: &str,
        value: &Value,
        version: Revision,
        b: &mut ReplicaChanges,
    ) {
        let Some(id) = JobId::parse(rest) else { return };
        let Some(progress) = wire::from_value::<Progress>(value) else {
            return;
        };
        if !progress.done.is_sound() {
            return;
        }
        b.progress = true;
        if let Some(end) = progress.end {
            let job = self.jobs.remove(&id);
            if end == JobState::Cancelled {
                if let Some(job) = job {
                    let left = ResidualUsage::of(&job.spec, progress.done.len());
                    self.remember_residual_usage(id, left);
                }
            } else if let Some(left) = progress.gang {
                self.remember_residual_usage(id, left);
            }
            self.progress_without_job.remove(&id);
            if self.remember_end(id, (end, progress.done.len())) && end == JobState::Cancelled {
                b.cancelled.push(id);
            }
        } else if let Some(job) = self.jobs.get_mut(&id) {
            if job.progress_version < version {
                job.progress = progress;
                job.progress_version = version;
            }
        } else if !self.ended.contains_key(&id) {
            self.progress_without_job.insert(id, (progress, version));
        }
    }

    fn delete(&mut self, key: &str, version: Revision, replica_changes: &mut ReplicaChanges) {
        if key == LEADER_KEY {
            if self.leader.as_ref().is_some_and(|l| l.1 < version) {
                self.leader = None;
                replica_changes.leader = true;
            }
            return;
        }
        let Some((kind, rest)) = key.split_once('/') else {
            return;
        };
        match kind {
            "m" => {
                if let Ok(group) = rest.parse() {
                    self.put_group(group, MachineGroup::default(), version);
                }
            }
            "n" => {
                if let Ok(n) = rest.parse().map(NodeId)
                    && self.members.get(&n).is_some_and(|m| m.1 < version)
                {
                    self.members.remove(&n);
                    *self.membership_changes.entry(n).or_default() += 1;
                }
            }
            "e" => {
                if let Ok(n) = rest.parse::<u32>()
                    && self.epochs.get(&n).is_some_and(|e| e.1 < version)
                {
                    self.epochs.remove(&n);
                }
            }
            "x" => {
                if let Some(at) = self.parse_chunk_key(rest) {
                    self.peer_messages.remove(&at);
                }
            }
            _ => {}
        }
    }

    /// All machine types on record.
    pub fn all_machine_types(&self) -> Option<wire::MachineTypes> {
        let (first, _) = self.catalog.as_ref()?;
        let more = self.further_machine_types.values().flat_map(|f| &f.machine_types);
        Some(wire::MachineTypes {
            machine_types: first.machine_types.iter().chain(more).cloned().collect(),
        })
    }

    /// Whether a controller that is up knows gangs.
    pub fn knows_gangs(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|(m, _)| m.capabilities >= CAPABILITY_GANGS)
    }

    /// Whether a controller starts what is granted ahead.
    pub fn starts_ahead(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|(m, _)| m.capabilities >= CAPABILITY_GRANTS_AHEAD)
    }

    /// Whether a controller can be told of cancellations directly. One that the store refuses is
    /// no member for a while, and needs it most.
    pub fn reads_cancellation_notices(&self, node: NodeId) -> bool {
        self.last_capabilities.get(&node).is_some_and(|s| *s >= CAPABILITY_CANCELLATION_NOTICE)
    }

    /// Whether a controller can be asked when it heard the leader.
    pub fn knows_standby(&self, node: NodeId) -> bool {
        self.last_capabilities.get(&node).is_some_and(|s| *s >= CAPABILITY_STANDBY)
    }

    /// Whether a task may be started as far as its job is concerned.
    pub fn may_run(&self, task: TaskId) -> bool {
        self.jobs
            .get(&task.job)
            .is_some_and(|j| task.index < j.spec.task_count && !j.is_done(task.index))
    }

    /// Whether a task's outcome no longer matters: its job has ended or it is durably done.
    pub fn is_outcome_recorded(&self, task: TaskId) -> bool {
        self.ended.contains_key(&task.job)
            || self.jobs.get(&task.job).is_some_and(|j| j.is_done(task.index))
    }

    /// Whether a machine may be given tasks: it is durably known to be up and not gone.
    pub fn machine_known(&self, id: &MachineId) -> bool {
        self.machines.get(id).is_some_and(|m| m.up && m.gone.is_none())
    }

    /// Whether a machine is known to be gone.
    pub fn machine_gone(&self, id: &MachineId) -> bool {
        self.machines.get(id).is_some_and(|m| m.gone.is_some())
    }

    /// The condition that a node still leads as it did.
    pub fn leader_condition(&self) -> Option<Condition> {
        let (_, version) = self.leader.as_ref()?;
        Some(Condition { key: LEADER_KEY.into(), version: *version })
    }

    /// The condition that a key which the leader writes is as it is known here: so a transaction
    /// that is carried out late, or once more, never puts an older value back.
    pub fn unchanged(&self, key: &str) -> Condition {
        let number = |kind: &str| key.strip_prefix(kind).and_then(|n| n.parse::<u32>().ok());
        let version = match key {
            LOAD_KEY => self.load.as_ref().map(|l| l.1),
            MACHINE_TYPES_KEY => self.catalog.as_ref().map(|f| f.1),
            _ => number("m/")
                .and_then(|n| self.groups.get(&n).map(|g| g.1))
                .or_else(|| number("e/").and_then(|n| self.epochs.get(&n).map(|e| e.1))),
        };
        Condition { key: key.into(), version: version.unwrap_or_default() }
    }

    /// Tasks that any earlier epoch granted and that are not done: they may be running.
    pub fn granted_before(&self) -> FxHashSet<TaskId> {
        let mut tasks = FxHashSet::default();
        for (record, _) in self.epochs.values() {
            for (job, ranges) in &record.granted {
                let ids = ranges.iter().map(|index| TaskId { job: *job, index });
                tasks.extend(ids.filter(|t| self.may_run(*t)));
            }
        }
        tasks
    }

    /// Adds finished tasks to a job's progress: the new value, or `None` if nothing changes. What
    /// does not fit into `bytes` yet, as the tasks lie too far apart, is left for later: its workers
    /// keep it until then, and a task that completed once completes at once if it is started again.
    pub fn with_done(
        job: &Job,
        tasks: impl IntoIterator<Item = u32>,
        bytes: usize,
    ) -> Option<Progress> {
        let mut progress =
            Progress { done: job.progress.done.fitting(bytes), ..Progress::default() };
        let most = Ranges::spans_in(bytes);
        let mut any = false;
        let mut apart = Vec::new();
        for index in tasks {
            if index >= job.spec.task_count {
            } else if progress.done.spans().len() < most || progress.done.touches(index) {
                any |= progress.done.insert(index);
            } else {
                apart.push(index);
            }
        }
        for index in apart {
            if progress.done.spans().len() < most || progress.done.touches(index) {
                any |= progress.done.insert(index);
            }
        }
        if !any {
            return None;
        }
        let all = progress.done.len() == job.spec.task_count;
        if all && job.spec.kind != wire::JobKind::Service {
            progress.end = Some(JobState::Done);
            if job.spec.kind == wire::JobKind::Gang {
                progress.gang = Some(ResidualUsage::of(&job.spec, 0));
            }
        }
        Some(progress)
    }
}

#[cfg(test)]
pub(crate) mod tests;
