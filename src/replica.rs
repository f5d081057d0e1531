//! The durable facts as this controller knows them: a replica of the state service.
//!
//! Keys: `j/<job>` the job as accepted (never changed), `d/<job>` its finished ranges and its
//! end (cancelled or done), `leader` and `n/<node>` (on leases), `term`, `m/<group>` every
//! machine that may be given tasks, `e/<n>` the task ranges that the last epochs granted,
//! `catalog` the machine types, `load` what brief work would use,
//! `x/<to>/<from>/<n>` messages between controllers that cannot reach each other.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::autoscaler::OfferedLoad;
use crate::model::{JobId, MachineId, NodeId, Revision, Term};
use crate::wire::{self, JobState, KeyValue, Value, WatchResponse};

mod jobs;
mod keys;
mod machine_groups;
mod machine_types;
mod queries;
mod records;

pub use jobs::*;
pub use keys::*;
pub use machine_types::machine_type_changes;
pub use records::*;

/// How many ended jobs are kept in memory; older ones are read from the store when asked for.
const ENDED_KEPT: usize = 100_000;
/// How many cancelled jobs are remembered for what their tasks may still use.
const RESIDUAL_USAGE_KEPT: usize = 4_096;

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
}

#[cfg(test)]
pub(crate) mod tests;
