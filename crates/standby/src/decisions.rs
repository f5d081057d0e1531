//! The leader's decisions as typed records, and the state that they add up to.
//!
//! The leader and its standbys hold the same [`DecisionState`] and change it by the same code. The leader compares its
//! state with what it is to be and gets the records that lead there ([`DecisionState::changes_to`]), so no place where
//! it decides can forget to record that; the standby applies them. A digest tells whether both hold the same.
//!
//! Invariant: a state and its digest depend only on the entries, not on the order in which decisions were applied. What
//! the records say is a hint to the next leader (`docs/safety.md`, "Replacing a leader that is not heard").

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use willowshore_model::{Attempt, JobId, MachineId, NodeId, TaskId, WallTime};

use crate::payload::encode;

/// A job by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobNumber(pub u64);

impl From<JobId> for JobNumber {
    fn from(job: JobId) -> Self {
        JobNumber(job.0)
    }
}

impl From<JobNumber> for JobId {
    fn from(job: JobNumber) -> Self {
        JobId(job.0)
    }
}

/// A task by its job's number and its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskNumber(pub u64, pub u32);

impl From<TaskId> for TaskNumber {
    fn from(task: TaskId) -> Self {
        TaskNumber(task.job.0, task.index)
    }
}

impl From<TaskNumber> for TaskId {
    fn from(task: TaskNumber) -> Self {
        TaskId { job: JobId(task.0), index: task.1 }
    }
}

/// What the leader decided about a job in its last epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// Tasks that it may run at a time; 0 while it waits below the admission threshold.
    pub share: u32,
}

/// A kind of machine that the cloud offers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MachineOfferRecord {
    /// The machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// How long a class's tasks run, relative to their users' estimates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunTimeRatio {
    /// Weighted sum of the ratios; older ones weigh less.
    pub sum: f64,
    /// Sum of the weights.
    pub weight: f64,
}

/// How long tasks run on a machine, relative to others of their jobs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineSpeed {
    /// Run time here divided by that elsewhere.
    pub ratio: f64,
    /// Tasks that were compared.
    pub tasks: u32,
}

/// A step of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GangStep {
    /// It was granted as a whole with this attempt.
    Granted(Attempt),
    /// Attempts below this one are being stopped.
    Stopping(Attempt),
}

/// That something holds for a machine. Not `()`, of which an encoded `Some` cannot be told from `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    /// It holds.
    Set,
}

/// One decision: what it is about, and what holds from now on; `None` if it holds no longer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// A job was admitted with a share, or waits.
    Admitted(JobNumber, Option<Admission>),
    /// A task was granted to a controller's shard; the grant was used up or revoked.
    Granted(TaskNumber, Option<NodeId>),
    /// A gang took a step, or is over.
    Gang(JobNumber, Option<GangStep>),
    /// A machine was added by scaling out and is not up yet; `None` once it is up, or removed.
    #[serde(rename = "Rented")]
    ScaledOut(MachineId, Option<MachineOfferRecord>),
    /// A machine is cordoned and returned once it is empty; `None` once it is removed, or stays.
    Returning(MachineId, Option<Mark>),
    /// A class's run times were measured.
    RunTime(String, Option<RunTimeRatio>),
    /// A machine's speed was measured.
    Speed(MachineId, Option<MachineSpeed>),
    /// The cloud refused an offer, which is not tried again before this time of day.
    Refused(MachineOfferRecord, Option<WallTime>),
    /// A job has had no running task since this time of day.
    Waiting(JobNumber, Option<WallTime>),
    /// A machine is reserved for gangs.
    #[serde(rename = "Kept")]
    Reserved(MachineId, Option<Mark>),
}

/// A table of decisions of one kind, with a digest that follows each change.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<K: Ord, V> {
    entries: BTreeMap<K, V>,
    digest: u64,
}

impl<K: Ord, V> Default for Table<K, V> {
    fn default() -> Self {
        Table { entries: BTreeMap::new(), digest: 0 }
    }
}

impl<K: Ord + Clone + Serialize, V: Clone + PartialEq + Serialize> Table<K, V> {
    fn set(&mut self, key: K, value: Option<V>) {
        let added = value.as_ref().map_or(0, |value| entry_digest(&key, value));
        let removed = match value {
            Some(value) => self.entries.insert(key.clone(), value),
            None => self.entries.remove(&key),
        };
        let removed = removed.map_or(0, |value| entry_digest(&key, &value));
        // A sum does not depend on the order in which entries came.
        self.digest = self.digest.wrapping_add(added).wrapping_sub(removed);
    }

    fn changes_to(&self, target: &BTreeMap<K, V>) -> Vec<(K, Option<V>)> {
        let removed = self.entries.keys().filter(|key| !target.contains_key(*key));
        let mut changes: Vec<(K, Option<V>)> = removed.map(|key| (key.clone(), None)).collect();
        let updated = target.iter().filter(|(key, value)| self.entries.get(*key) != Some(*value));
        changes.extend(updated.map(|(key, value)| (key.clone(), Some(value.clone()))));
        changes
    }

    /// The entries.
    pub fn entries(&self) -> &BTreeMap<K, V> {
        &self.entries
    }
}

/// A digest of an entry that is the same on every machine: FNV-1a over its encoding.
fn entry_digest<K: Serialize, V: Serialize>(key: &K, value: &V) -> u64 {
    encode(&(key, value)).iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// The state that the leader's decisions are to lead to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionTarget {
    /// Shares of jobs.
    pub admissions: BTreeMap<JobNumber, Admission>,
    /// Tasks that are granted, and to which controller's shard.
    pub grants: BTreeMap<TaskNumber, NodeId>,
    /// Gangs under way.
    pub gangs: BTreeMap<JobNumber, GangStep>,
    /// Machines that were added and are not up yet.
    pub provisioning: BTreeMap<MachineId, MachineOfferRecord>,
    /// Machines that are returned once they are empty.
    pub returning: BTreeSet<MachineId>,
    /// Run times by class.
    pub run_times: BTreeMap<String, RunTimeRatio>,
    /// Speeds of machines.
    pub speeds: BTreeMap<MachineId, MachineSpeed>,
    /// Offers that the cloud refused, and until when they are not tried again.
    pub refusals: BTreeMap<MachineOfferRecord, WallTime>,
    /// Jobs without a running task, and since when.
    pub waiting: BTreeMap<JobNumber, WallTime>,
    /// Machines reserved for gangs.
    pub reserved: BTreeSet<MachineId>,
}

/// The state that decisions add up to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionState {
    /// Shares of jobs.
    pub admissions: Table<JobNumber, Admission>,
    /// Tasks that are granted, and to which controller's shard.
    pub grants: Table<TaskNumber, NodeId>,
    /// Gangs under way.
    pub gangs: Table<JobNumber, GangStep>,
    /// Machines that were added and are not up yet.
    pub provisioning: Table<MachineId, MachineOfferRecord>,
    /// Machines that are returned once they are empty.
    pub returning: Table<MachineId, Mark>,
    /// Run times by class.
    pub run_times: Table<String, RunTimeRatio>,
    /// Speeds of machines.
    pub speeds: Table<MachineId, MachineSpeed>,
    /// Offers that the cloud refused, and until when they are not tried again.
    pub refusals: Table<MachineOfferRecord, WallTime>,
    /// Jobs without a running task, and since when.
    pub waiting: Table<JobNumber, WallTime>,
    /// Machines reserved for gangs.
    pub reserved: Table<MachineId, Mark>,
}

impl DecisionState {
    /// Applies a decision.
    pub fn apply(&mut self, decision: Decision) {
        match decision {
            Decision::Admitted(job, admission) => self.admissions.set(job, admission),
            Decision::Granted(task, node) => self.grants.set(task, node),
            Decision::Gang(job, step) => self.gangs.set(job, step),
            Decision::ScaledOut(machine, offer) => self.provisioning.set(machine, offer),
            Decision::Returning(machine, set) => self.returning.set(machine, set),
            Decision::RunTime(class, ratio) => self.run_times.set(class, ratio),
            Decision::Speed(machine, speed) => self.speeds.set(machine, speed),
            Decision::Refused(offer, until) => self.refusals.set(offer, until),
            Decision::Waiting(job, since) => self.waiting.set(job, since),
            Decision::Reserved(machine, set) => self.reserved.set(machine, set),
        }
    }

    /// The decisions that lead from this state to another one.
    pub fn changes_to(&self, target: &DecisionTarget) -> Vec<Decision> {
        fn of<K, V>(
            changes: Vec<(K, Option<V>)>,
            decision: fn(K, Option<V>) -> Decision,
        ) -> impl Iterator<Item = Decision> {
            changes.into_iter().map(move |(key, value)| decision(key, value))
        }
        let set = |machines: &BTreeSet<MachineId>| -> BTreeMap<MachineId, Mark> {
            machines.iter().map(|id| (id.clone(), Mark::Set)).collect()
        };
        let mut changes = Vec::new();
        changes.extend(of(self.admissions.changes_to(&target.admissions), Decision::Admitted));
        changes.extend(of(self.grants.changes_to(&target.grants), Decision::Granted));
        changes.extend(of(self.gangs.changes_to(&target.gangs), Decision::Gang));
        changes.extend(of(self.provisioning.changes_to(&target.provisioning), Decision::ScaledOut));
        changes.extend(of(self.returning.changes_to(&set(&target.returning)), Decision::Returning));
        changes.extend(of(self.run_times.changes_to(&target.run_times), Decision::RunTime));
        changes.extend(of(self.speeds.changes_to(&target.speeds), Decision::Speed));
        changes.extend(of(self.refusals.changes_to(&target.refusals), Decision::Refused));
        changes.extend(of(self.waiting.changes_to(&target.waiting), Decision::Waiting));
        changes.extend(of(self.reserved.changes_to(&set(&target.reserved)), Decision::Reserved));
        changes
    }

    /// The state as decisions, in an order that only depends on its entries.
    pub fn decisions(&self) -> Vec<Decision> {
        DecisionState::default().changes_to(&self.target())
    }

    /// This state as a target.
    pub fn target(&self) -> DecisionTarget {
        DecisionTarget {
            admissions: self.admissions.entries.clone(),
            grants: self.grants.entries.clone(),
            gangs: self.gangs.entries.clone(),
            provisioning: self.provisioning.entries.clone(),
            returning: self.returning.entries.keys().cloned().collect(),
            run_times: self.run_times.entries.clone(),
            speeds: self.speeds.entries.clone(),
            refusals: self.refusals.entries.clone(),
            waiting: self.waiting.entries.clone(),
            reserved: self.reserved.entries.keys().cloned().collect(),
        }
    }

    /// A digest of the state. Each table's digest is rotated by another amount, so that entries of two kinds don't
    /// cancel out.
    pub fn digest(&self) -> u64 {
        let digests = [
            self.admissions.digest,
            self.grants.digest,
            self.gangs.digest,
            self.provisioning.digest,
            self.returning.digest,
            self.run_times.digest,
            self.speeds.digest,
            self.refusals.digest,
            self.waiting.digest,
            self.reserved.digest,
        ];
        let rotated = digests.iter().zip((1..).step_by(5));
        rotated.fold(0, |sum: u64, (digest, by)| sum ^ digest.rotate_left(by))
    }

    /// How many entries it holds.
    pub fn len(&self) -> usize {
        self.admissions.entries.len()
            + self.grants.entries.len()
            + self.gangs.entries.len()
            + self.provisioning.entries.len()
            + self.returning.entries.len()
            + self.run_times.entries.len()
            + self.speeds.entries.len()
            + self.refusals.entries.len()
            + self.waiting.entries.len()
            + self.reserved.entries.len()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
pub(crate) mod tests;
