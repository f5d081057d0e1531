//! A controller's replica of the state service: all records as of one revision.
//!
//! The replica is read in full once ([`Replica::load`]) and follows the watch from then on
//! ([`Replica::apply`]). It holds only durable state; [`crate::lease`] decides which actions of a
//! controller a replica permits. [`StoreKey`] lists the keys and their records.
//!
//! Invariants:
//! - A key's record is only replaced by one of a higher version, in whatever order responses to
//!   reads and watches arrive.
//! - An ended job stays ended: its end is written once, and neither an older record nor a full read
//!   reverts it. `docs/safety.md` relies on this for cancelled jobs.
//! - A machine known to be terminated stays terminated for as long as any key names it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::model::{JobId, MachineId, NodeId, Revision, Term};
use crate::offered_load::OfferedLoad;
use crate::wire::{KeyValue, MachineTypes, Value, WatchResponse};

mod jobs;
mod keys;
mod machine_groups;
mod machine_types;
mod queries;
mod records;
mod versioned;

use machine_groups::MachineGroups;
use versioned::{decode, is_deleted_by, is_newer, replace_if_newer};

pub use jobs::{EndedJob, Job, stored_spec};
pub use keys::{
    KEY_PREFIXES, LEADER_KEY, LOAD_KEY, MACHINE_TYPES_KEY, StoreKey, TERM_KEY, epoch_key, job_key,
    machine_group, machine_key, member_key, peer_message_key, progress_key,
};
pub use machine_types::machine_type_changes;
pub use records::{
    Accepted, CAPABILITIES, CAPABILITY_CANCELLATION_ACKNOWLEDGEMENT,
    CAPABILITY_CANCELLATION_NOTICE, CAPABILITY_GANGS, CAPABILITY_GRANTS_AHEAD, CAPABILITY_STANDBY,
    EpochRecord, LeaderRecord, MachineGroup, MachineRecord, MemberRecord, Progress, ResidualUsage,
    TermRecord,
};
pub use versioned::{RecordError, Versioned};

/// Maximum number of ended jobs in memory, which bounds its size. Older ones are read from the
/// store on request.
const MAX_ENDED_JOBS: usize = 100_000;
/// Maximum number of jobs whose residual usage is kept, which bounds memory. Machines that may hold
/// tasks of further jobs are counted in full, see [`Replica::residual_usage_truncated`].
const MAX_RESIDUAL_USAGE_JOBS: usize = 4_096;

/// Effects of a batch of changes, for notifying the parts of the controller that wait for them.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplicaChanges {
    /// Whether jobs were accepted.
    pub new_jobs: bool,
    /// Whether jobs ended or made progress.
    pub job_progress: bool,
    /// Jobs whose cancellation became known.
    pub cancelled_jobs: Vec<JobId>,
    /// Whether the leader or the term changed.
    pub leader: bool,
    /// Whether a chunk of a message for this controller arrived.
    pub peer_messages: bool,
}

/// Records of the state service, as known to this controller.
#[derive(Debug)]
pub struct Replica {
    /// This controller. Only peer messages addressed to it are kept.
    local_node: NodeId,
    /// Revision up to which all changes are applied.
    pub revision: Revision,
    /// Highest revision that any record or response has shown. Not all changes up to it are applied.
    pub newest_revision: Revision,
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobId, Job>,
    /// Most recently ended jobs, at most `MAX_ENDED_JOBS`.
    pub ended: HashMap<JobId, EndedJob>,
    /// Keys of `ended`, in the order in which the ends became known.
    ended_order: VecDeque<JobId>,
    /// Progress that was read before its job.
    progress_without_job: HashMap<JobId, Versioned<Progress>>,
    /// Member records of the controllers that are up.
    pub members: BTreeMap<NodeId, Versioned<MemberRecord>>,
    /// Last known capabilities of each controller, whether up or not.
    last_capabilities: BTreeMap<NodeId, u32>,
    /// Number of times each controller's member key was put or deleted, so that a series of short
    /// absences is not taken for one long absence.
    pub membership_changes: BTreeMap<NodeId, u64>,
    /// Record of the leader; `None` if no controller leads.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// Highest term.
    pub term: Term,
    /// Version of the term's key; 0 if the key does not exist yet.
    pub term_version: Revision,
    /// Machines that may hold tasks, and recently terminated machines.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Machine groups by key, from which [`Replica::machines`] is merged.
    machine_groups: MachineGroups,
    /// Resources that tasks of cancelled jobs and of completed gangs may still use.
    pub residual_usage: BTreeMap<JobId, ResidualUsage>,
    /// Keys of `residual_usage`, in the order in which the usage became known.
    residual_usage_order: VecDeque<JobId>,
    /// Whether residual usage was discarded because more than `MAX_RESIDUAL_USAGE_JOBS` jobs had
    /// some.
    pub residual_usage_truncated: bool,
    /// Granted task ranges by the number of their key.
    pub epochs: BTreeMap<u32, Versioned<EpochRecord>>,
    /// Offered load, as written by the last leader.
    pub load: Option<Versioned<OfferedLoad>>,
    /// Machine types in the first value, as written by the last leader that queried the cloud.
    pub catalog: Option<Versioned<MachineTypes>>,
    /// Machine types that did not fit into the first value, by the number of their key.
    further_machine_types: BTreeMap<u32, MachineTypes>,
    /// Chunks of messages for this controller, by sender and chunk number. No sender has an empty
    /// map.
    pub peer_messages: BTreeMap<NodeId, BTreeMap<u32, String>>,
}

impl Replica {
    /// Creates an empty replica for a controller.
    pub fn new(local_node: NodeId) -> Self {
        Replica {
            local_node,
            revision: Revision::default(),
            newest_revision: Revision::default(),
            jobs: BTreeMap::new(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
            progress_without_job: HashMap::new(),
            members: BTreeMap::new(),
            last_capabilities: BTreeMap::new(),
            membership_changes: BTreeMap::new(),
            leader: None,
            term: Term::default(),
            term_version: Revision::default(),
            machines: BTreeMap::new(),
            machine_groups: MachineGroups::default(),
            residual_usage: BTreeMap::new(),
            residual_usage_order: VecDeque::new(),
            residual_usage_truncated: false,
            epochs: BTreeMap::new(),
            load: None,
            catalog: None,
            further_machine_types: BTreeMap::new(),
            peer_messages: BTreeMap::new(),
        }
    }

    /// Replaces the replica with one that was read in full, keeping the facts that never change.
    pub fn replace(&mut self, read: Replica) {
        let previous = std::mem::replace(self, read);
        self.newest_revision = self.newest_revision.max(previous.newest_revision);
        for id in previous.ended_order {
            if let Some(end) = previous.ended.get(&id) {
                self.record_end(id, *end);
            }
        }
        // The number of membership changes while the watch was not followed is unknown; it counts
        // as one.
        for (node, changes) in previous.membership_changes {
            *self.membership_changes.entry(node).or_default() += changes + 1;
        }
        for (node, capabilities) in previous.last_capabilities {
            self.last_capabilities.entry(node).or_insert(capabilities);
        }
    }

    /// Records an item that was read, and adds its effects to `changes`.
    pub fn load(&mut self, item: &KeyValue, changes: &mut ReplicaChanges) {
        self.put(&item.key, &item.value, item.version, changes);
    }

    /// Applies a watch response. Changes up to the replica's revision are skipped, so overlapping
    /// watches may be answered in any order.
    pub fn apply(&mut self, response: &WatchResponse) -> ReplicaChanges {
        let mut changes = ReplicaChanges::default();
        let known_revision = self.revision;
        for event in response.events.iter().filter(|event| event.version > known_revision) {
            match (&event.put_key, &event.deleted_key, &event.value) {
                (Some(key), _, Some(value)) => self.put(key, value, event.version, &mut changes),
                (_, Some(key), _) => self.delete(key, event.version, &mut changes),
                _ => {}
            }
        }
        self.revision = self.revision.max(response.revision);
        self.newest_revision = self.newest_revision.max(response.revision);
        changes
    }

    /// Records a key's new value. Only this function logs values that cannot be used.
    fn put(&mut self, key: &str, value: &Value, version: Revision, changes: &mut ReplicaChanges) {
        self.newest_revision = self.newest_revision.max(version);
        let Some(store_key) = StoreKey::parse(key) else { return };
        match (self.try_put(store_key, value, version, changes), store_key) {
            (Ok(()), _) => {}
            (Err(error), StoreKey::Job(job)) => {
                tracing::error!(%job, %error, "found an invalid stored record of an accepted job");
            }
            (Err(error), _) => tracing::error!(key, %error, "found an invalid stored record"),
        }
    }

    /// Records a key's new value, or returns why the value cannot be used. Skips values that are
    /// not newer than the known one, and messages for other controllers.
    fn try_put(
        &mut self,
        key: StoreKey,
        value: &Value,
        version: Revision,
        changes: &mut ReplicaChanges,
    ) -> Result<(), RecordError> {
        match key {
            StoreKey::Leader => self.put_leader(value, version, changes),
            StoreKey::Term => self.put_term(value, version, changes),
            StoreKey::MachineTypes => replace_if_newer(&mut self.catalog, value, version),
            StoreKey::FurtherMachineTypes(n) => {
                self.further_machine_types.insert(n, decode(value)?);
                Ok(())
            }
            StoreKey::Load => replace_if_newer(&mut self.load, value, version),
            StoreKey::Epoch(n) => self.put_epoch(n, value, version),
            StoreKey::Member(node) => self.put_member(node, value, version),
            StoreKey::Job(id) => self.put_job(id, value, changes),
            StoreKey::Progress(id) => {
                self.put_progress(id, Versioned::decode(value, version)?, changes)
            }
            StoreKey::MachineGroup(group) => {
                self.put_group(group, decode(value)?, version);
                Ok(())
            }
            StoreKey::PeerMessage { to, from, chunk } if to == self.local_node => {
                self.put_peer_message(from, chunk, value, changes)
            }
            StoreKey::PeerMessage { .. } => Ok(()),
        }
    }

    fn put_leader(
        &mut self,
        value: &Value,
        version: Revision,
        changes: &mut ReplicaChanges,
    ) -> Result<(), RecordError> {
        // Also applies if the value cannot be read: the previous leader no longer leads.
        changes.leader |= is_newer(self.leader.as_ref(), version);
        replace_if_newer(&mut self.leader, value, version)
    }

    fn put_term(
        &mut self,
        value: &Value,
        version: Revision,
        changes: &mut ReplicaChanges,
    ) -> Result<(), RecordError> {
        if self.term_version < version {
            let record: TermRecord = decode(value)?;
            (self.term, self.term_version) = (record.term, version);
            changes.leader = true;
        }
        Ok(())
    }

    fn put_epoch(&mut self, n: u32, value: &Value, version: Revision) -> Result<(), RecordError> {
        if is_newer(self.epochs.get(&n), version) {
            self.epochs.insert(n, Versioned::decode(value, version)?);
        }
        Ok(())
    }

    fn put_peer_message(
        &mut self,
        from: NodeId,
        chunk: u32,
        value: &Value,
        changes: &mut ReplicaChanges,
    ) -> Result<(), RecordError> {
        let text = value.as_text().ok_or(RecordError::NotText)?.to_string();
        self.peer_messages.entry(from).or_default().insert(chunk, text);
        changes.peer_messages = true;
        Ok(())
    }

    fn put_member(
        &mut self,
        node: NodeId,
        value: &Value,
        version: Revision,
    ) -> Result<(), RecordError> {
        if is_newer(self.members.get(&node), version) {
            let member: Versioned<MemberRecord> = Versioned::decode(value, version)?;
            self.last_capabilities.insert(node, member.value.capabilities);
            self.members.insert(node, member);
            *self.membership_changes.entry(node).or_default() += 1;
        }
        Ok(())
    }

    /// Records the deletion of a key. Jobs, their progress, the term, the load and machine types
    /// are never deleted.
    fn delete(&mut self, key: &str, version: Revision, changes: &mut ReplicaChanges) {
        match StoreKey::parse(key) {
            Some(StoreKey::Leader) if is_deleted_by(self.leader.as_ref(), version) => {
                self.leader = None;
                changes.leader = true;
            }
            Some(StoreKey::MachineGroup(group)) => {
                self.put_group(group, MachineGroup::default(), version);
            }
            Some(StoreKey::Member(node)) if is_deleted_by(self.members.get(&node), version) => {
                self.members.remove(&node);
                *self.membership_changes.entry(node).or_default() += 1;
            }
            Some(StoreKey::Epoch(n)) if is_deleted_by(self.epochs.get(&n), version) => {
                self.epochs.remove(&n);
            }
            Some(StoreKey::PeerMessage { to, from, chunk }) if to == self.local_node => {
                if let Some(chunks) = self.peer_messages.get_mut(&from) {
                    chunks.remove(&chunk);
                    if chunks.is_empty() {
                        self.peer_messages.remove(&from);
                    }
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
