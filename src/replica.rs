//! A controller's replica of the state service: all records, as of one revision.
//!
//! The replica is read whole once ([`Replica::load`]) and follows the watch from then on
//! ([`Replica::apply`]). It holds what is durable and nothing else; what a controller may do by it is
//! for [`crate::lease`] to say. [`StoreKey`] lists the keys and the records under them.
//!
//! Invariants:
//! - A key's record is only ever replaced by one of a higher version, in whatever order reads and
//!   watches come back.
//! - A job that has ended stays so: its end is written once, and neither an older record nor a read
//!   from the start takes it back. `docs/safety.md` relies on it for cancelled jobs.
//! - A machine that is known to be terminated stays so for as long as any key names it.

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
    Accepted, CAPABILITIES, CAPABILITY_CANCELLATION_NOTICE, CAPABILITY_GANGS,
    CAPABILITY_GRANTS_AHEAD, CAPABILITY_STANDBY, EpochRecord, LeaderRecord, MachineGroup,
    MachineRecord, MemberRecord, Progress, ResidualUsage, TermRecord,
};
pub use versioned::{RecordError, Versioned};

/// How many ended jobs are kept in memory, which bounds its size; older ones are read from the store
/// when asked for.
const ENDED_KEPT: usize = 100_000;
/// For how many jobs the usage that may outlast them is remembered, which bounds memory; the machines
/// of those beyond are counted in full, see [`Replica::residual_usage_truncated`].
const RESIDUAL_USAGE_KEPT: usize = 4_096;

/// What a batch of changes brought, for those who wait for it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplicaChanges {
    /// Jobs were accepted.
    pub new_jobs: bool,
    /// Jobs ended or made progress.
    pub job_progress: bool,
    /// Jobs that are known to be cancelled from now on.
    pub cancelled_jobs: Vec<JobId>,
    /// The leader or the term changed.
    pub leader: bool,
    /// A chunk of a message for this controller came.
    pub peer_messages: bool,
}

/// The records of the state service as this controller knows them.
#[derive(Debug)]
pub struct Replica {
    /// This controller, the receiver of the peer messages that are held.
    me: NodeId,
    /// Everything up to this revision is in here.
    pub revision: Revision,
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that have ended, the last `ENDED_KEPT` of them.
    pub ended: HashMap<JobId, EndedJob>,
    /// The same in the order in which their ends became known.
    ended_order: VecDeque<JobId>,
    /// Progress that was read before its job.
    progress_without_job: HashMap<JobId, Versioned<Progress>>,
    /// Controllers that are up.
    pub members: BTreeMap<NodeId, Versioned<MemberRecord>>,
    /// The capabilities that each controller had last, whether it is up or not.
    last_capabilities: BTreeMap<NodeId, u32>,
    /// How often each controller's key came or went, so that no absence is taken for a
    /// longer one than it was.
    pub membership_changes: BTreeMap<NodeId, u64>,
    /// The leader; `None` if no controller leads.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The highest term.
    pub term: Term,
    /// Version of the term's key; 0 if there is none yet.
    pub term_version: Revision,
    /// Machines that tasks may be on, and those lately terminated.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// The keys that [`Replica::machines`] is merged from.
    machine_groups: MachineGroups,
    /// What tasks of jobs that were cancelled, and of gangs that are done, may still use.
    pub residual_usage: BTreeMap<JobId, ResidualUsage>,
    /// The same in the order in which they became known.
    residual_usage_order: VecDeque<JobId>,
    /// Whether some of it was forgotten, as there were more than `RESIDUAL_USAGE_KEPT`.
    pub residual_usage_truncated: bool,
    /// Granted ranges by the number of their key.
    pub epochs: BTreeMap<u32, Versioned<EpochRecord>>,
    /// The offered load, as the last leader wrote it.
    pub load: Option<Versioned<OfferedLoad>>,
    /// Machine types, as the last leader that asked the cloud wrote them; those of the first value.
    pub catalog: Option<Versioned<MachineTypes>>,
    /// Those that did not fit into the first value, by the number of their key.
    further_machine_types: BTreeMap<u32, MachineTypes>,
    /// Chunks of messages for this controller, by sender and number. No sender has an empty map.
    pub peer_messages: BTreeMap<NodeId, BTreeMap<u32, String>>,
}

impl Replica {
    /// An empty replica for a controller.
    pub fn new(me: NodeId) -> Self {
        Replica {
            me,
            revision: Revision::default(),
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

    /// Replaces the replica by one that was read from the start, keeping what can never change.
    pub fn replace(&mut self, read: Replica) {
        let before = std::mem::replace(self, read);
        for id in before.ended_order {
            if let Some(end) = before.ended.get(&id) {
                self.record_end(id, *end);
            }
        }
        // How often members came and went while the changes were not followed is not known: once counts.
        for (node, changes) in before.membership_changes {
            *self.membership_changes.entry(node).or_default() += changes + 1;
        }
        for (node, capabilities) in before.last_capabilities {
            self.last_capabilities.entry(node).or_insert(capabilities);
        }
    }

    /// Records an item that was read, adding to `changes` what it brought.
    pub fn load(&mut self, item: &KeyValue, changes: &mut ReplicaChanges) {
        self.put(&item.key, &item.value, item.version, changes);
    }

    /// Applies a watch's response. Changes up to the replica's revision are passed over, so the order in
    /// which overlapping watches come back does not matter.
    pub fn apply(&mut self, response: &WatchResponse) -> ReplicaChanges {
        let mut changes = ReplicaChanges::default();
        let known = self.revision;
        for event in response.events.iter().filter(|event| event.version > known) {
            match (&event.put_key, &event.deleted_key, &event.value) {
                (Some(key), _, Some(value)) => self.put(key, value, event.version, &mut changes),
                (_, Some(key), _) => self.delete(key, event.version, &mut changes),
                _ => {}
            }
        }
        self.revision = self.revision.max(response.revision);
        changes
    }

    /// Records a key's new value; one that cannot be used is logged here and nowhere else.
    fn put(&mut self, key: &str, value: &Value, version: Revision, changes: &mut ReplicaChanges) {
        let Some(store_key) = StoreKey::parse(key) else { return };
        match (self.try_put(store_key, value, version, changes), store_key) {
            (Ok(()), _) => {}
            (Err(error), StoreKey::Job(job)) => {
                tracing::error!(%job, %error, "accepted job cannot be read from the store");
            }
            (Err(error), _) => tracing::error!(key, %error, "record cannot be read from the store"),
        }
    }

    /// Records a key's new value, or says why it cannot be used. Values as old as the known one, and messages for
    /// other controllers, are passed over.
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
            StoreKey::PeerMessage { to, from, chunk } if to == self.me => {
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
        // Also if the value cannot be read: who led before does so no longer.
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

    /// Records that a key was deleted. Jobs, their progress, the term, the load and machine types never are.
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
            Some(StoreKey::PeerMessage { to, from, chunk }) if to == self.me => {
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
