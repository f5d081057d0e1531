//! The leader's decisions as typed records, and the state that results from them.
//!
//! The leader and its standbys hold the same [`DecisionState`] and change it by the same code. The leader does not record
//! each decision where it is made, as a call site could miss one. Instead it compares its last recorded state with the
//! decisions that hold now, and records the differences ([`DecisionState::changes_to`]). The standbys apply the records.
//! A digest shows whether leader and standby hold the same state.
//!
//! Invariant: a state and its digest depend only on the entries, not on the order in which decisions were applied.
//!
//! The records are hints to the next leader (`docs/safety.md`, "Replacing a leader that is not heard").

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use willowshore_model::{Attempt, JobId, MachineId, NodeId, TaskId, WallTime};

use crate::payload::encode;

/// The number of a job. It serializes as a number, a [`JobId`] as text.
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

/// The number of a task's job, and the task's number within the job.
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

/// The leader's admission decision about a job in its last epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// The number of tasks that the job may run concurrently; 0 while the job waits below the admission threshold.
    pub share: u32,
}

/// A combination of machine type, zone and spot or on-demand that the cloud offers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MachineOfferRecord {
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether the machine is a spot machine, as opposed to an on-demand one.
    pub spot: bool,
}

/// The run times of a class's tasks relative to their users' estimates, as a weighted mean.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunTimeRatio {
    /// Weighted sum of the ratios; older ratios have a lower weight.
    pub sum: f64,
    /// Sum of the weights.
    pub weight: f64,
}

/// The run time of tasks on a machine relative to other tasks of the same jobs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineSpeed {
    /// Moving average of the run time on this machine divided by the run time on other machines; above 1 if this machine
    /// is slower.
    pub ratio: f64,
    /// The number of tasks that were compared.
    pub tasks: u32,
}

/// The scheduling step that a gang has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GangStep {
    /// All tasks of the gang were granted, with this attempt.
    Granted(Attempt),
    /// The gang's attempts below this one are being stopped.
    Stopping(Attempt),
}

/// The value of tables that only hold a set of machines. MessagePack does not distinguish `Some(())` from `None`, so `()`
/// is not usable here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    /// The machine is in the set.
    Set,
}

/// A decision: the subject, and the value that holds from now on; `None` if the previous value no longer holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// A job was admitted with a share of tasks, or waits with a share of 0.
    Admitted(JobNumber, Option<Admission>),
    /// A task was granted to the shard of this controller; `None` once the grant was used or revoked.
    Granted(TaskNumber, Option<NodeId>),
    /// A gang reached a step; `None` once the gang has ended.
    Gang(JobNumber, Option<GangStep>),
    /// A machine was added by scaling out and is not up yet; `None` once it is up or was removed.
    #[serde(rename = "Rented")]
    ScaledOut(MachineId, Option<MachineOfferRecord>),
    /// A machine is cordoned and will be returned to the cloud once it is empty; `None` once it was removed or is kept
    /// after all.
    Returning(MachineId, Option<Mark>),
    /// The run times of a class were measured.
    RunTime(String, Option<RunTimeRatio>),
    /// The speed of a machine was measured.
    Speed(MachineId, Option<MachineSpeed>),
    /// The cloud refused a request for an offer, which is not requested again before this wall-clock time.
    Refused(MachineOfferRecord, Option<WallTime>),
    /// A job has had no running task since this wall-clock time.
    Waiting(JobNumber, Option<WallTime>),
    /// A machine is reserved for gangs.
    #[serde(rename = "Kept")]
    Reserved(MachineId, Option<Mark>),
}

/// The entries of one kind of decision, with a digest that is updated with each change.
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
    /// Sets the value of a key, or removes the key if there is no value.
    fn set(&mut self, key: K, value: Option<V>) {
        let added = value.as_ref().map_or(0, |value| entry_digest(&key, value));
        let removed = match value {
            Some(value) => self.entries.insert(key.clone(), value),
            None => self.entries.remove(&key),
        };
        let removed = removed.map_or(0, |value| entry_digest(&key, &value));
        // The digest is a sum, so it does not depend on the order in which entries were set.
        self.digest = self.digest.wrapping_add(added).wrapping_sub(removed);
    }

    /// The changes that turn this table's entries into those of `target`; removals come first.
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

/// The digest of an entry: the 64-bit FNV-1a hash of its encoding, which is the same on every platform.
fn entry_digest<K: Serialize, V: Serialize>(key: &K, value: &V) -> u64 {
    encode(&(key, value)).iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// The decisions of the leader that hold at one time, to which a [`DecisionState`] has to be brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionTarget {
    /// The share of each job.
    pub admissions: BTreeMap<JobNumber, Admission>,
    /// The controller whose shard each granted task was granted to.
    pub grants: BTreeMap<TaskNumber, NodeId>,
    /// The step that each active gang has reached.
    pub gangs: BTreeMap<JobNumber, GangStep>,
    /// The offers of machines that were added by scaling out and are not up yet.
    pub provisioning: BTreeMap<MachineId, MachineOfferRecord>,
    /// Cordoned machines that will be returned to the cloud once they are empty.
    pub returning: BTreeSet<MachineId>,
    /// The relative run times of each class.
    pub run_times: BTreeMap<String, RunTimeRatio>,
    /// The relative speed of each machine.
    pub speeds: BTreeMap<MachineId, MachineSpeed>,
    /// For each offer that the cloud refused, the wall-clock time until which it is not requested again.
    pub refusals: BTreeMap<MachineOfferRecord, WallTime>,
    /// For each job without a running task, the wall-clock time since which it has had none.
    pub waiting: BTreeMap<JobNumber, WallTime>,
    /// Machines that are reserved for gangs.
    pub reserved: BTreeSet<MachineId>,
}

/// The state that results from the decisions applied so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionState {
    /// The share of each job.
    pub admissions: Table<JobNumber, Admission>,
    /// The controller whose shard each granted task was granted to.
    pub grants: Table<TaskNumber, NodeId>,
    /// The step that each active gang has reached.
    pub gangs: Table<JobNumber, GangStep>,
    /// The offers of machines that were added by scaling out and are not up yet.
    pub provisioning: Table<MachineId, MachineOfferRecord>,
    /// Cordoned machines that will be returned to the cloud once they are empty.
    pub returning: Table<MachineId, Mark>,
    /// The relative run times of each class.
    pub run_times: Table<String, RunTimeRatio>,
    /// The relative speed of each machine.
    pub speeds: Table<MachineId, MachineSpeed>,
    /// For each offer that the cloud refused, the wall-clock time until which it is not requested again.
    pub refusals: Table<MachineOfferRecord, WallTime>,
    /// For each job without a running task, the wall-clock time since which it has had none.
    pub waiting: Table<JobNumber, WallTime>,
    /// Machines that are reserved for gangs.
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

    /// The decisions that turn this state into the target.
    pub fn changes_to(&self, target: &DecisionTarget) -> Vec<Decision> {
        fn decisions_of<K, V>(
            changes: Vec<(K, Option<V>)>,
            decision: fn(K, Option<V>) -> Decision,
        ) -> impl Iterator<Item = Decision> {
            changes.into_iter().map(move |(key, value)| decision(key, value))
        }
        let as_map = |machines: &BTreeSet<MachineId>| -> BTreeMap<MachineId, Mark> {
            machines.iter().map(|id| (id.clone(), Mark::Set)).collect()
        };
        let mut changes = Vec::new();
        changes.extend(decisions_of(
            self.admissions.changes_to(&target.admissions),
            Decision::Admitted,
        ));
        changes.extend(decisions_of(self.grants.changes_to(&target.grants), Decision::Granted));
        changes.extend(decisions_of(self.gangs.changes_to(&target.gangs), Decision::Gang));
        changes.extend(decisions_of(
            self.provisioning.changes_to(&target.provisioning),
            Decision::ScaledOut,
        ));
        changes.extend(decisions_of(
            self.returning.changes_to(&as_map(&target.returning)),
            Decision::Returning,
        ));
        changes
            .extend(decisions_of(self.run_times.changes_to(&target.run_times), Decision::RunTime));
        changes.extend(decisions_of(self.speeds.changes_to(&target.speeds), Decision::Speed));
        changes.extend(decisions_of(self.refusals.changes_to(&target.refusals), Decision::Refused));
        changes.extend(decisions_of(self.waiting.changes_to(&target.waiting), Decision::Waiting));
        changes.extend(decisions_of(
            self.reserved.changes_to(&as_map(&target.reserved)),
            Decision::Reserved,
        ));
        changes
    }

    /// The decisions that build this state from an empty one, in an order that depends only on the entries.
    pub fn decisions(&self) -> Vec<Decision> {
        DecisionState::default().changes_to(&self.target())
    }

    /// The entries of this state as a target.
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

    /// The digest of the state. Each table's digest is rotated by a different amount, so that equal entries of two tables
    /// do not cancel each other out.
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

    /// The number of entries in all tables.
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

    /// Whether all tables are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
pub(crate) mod tests;
