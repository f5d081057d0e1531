//! The record of granted tasks in the state service. The grants of an epoch are recorded before any
//! plan carries them, so the next leader knows every task that may be running.
//!
//! The state service limits the rate of changes, and an epoch waits for its changes. Jobs therefore
//! share few keys: jobs that are granted tasks at the same time are mostly in one key, and one
//! change records the grants of all of them.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashSet;

use super::task_grants::NewGrant;
use super::{ClusterView, Epoch, Leader};
use crate::model::{JobId, TaskId, TaskRanges};
use crate::replica::{self, EpochRecord};
use crate::wire::{self, Change};

/// Tasks of a job that are recorded before they are granted, so that a job whose tasks are granted
/// one by one does not need a change for each.
const TASKS_RECORDED_AHEAD: u32 = 8;
/// Estimated bytes of a key's value besides its jobs.
const KEY_OVERHEAD_BYTES: usize = 64;
/// Estimated bytes of a job besides its ranges.
const JOB_OVERHEAD_BYTES: usize = 24;
/// Estimated bytes of one range of tasks.
const RANGE_BYTES: usize = 16;
/// Maximum number of ranges that are recorded of a job.
const MAX_RANGES_PER_JOB: usize = 32;
/// Number of the first key that jobs share. The keys below it have the layout of version 0.1, in
/// which a job's number determines its key. A leader of version 0.1 rewrites the keys below without
/// the jobs that do not belong there; it only reads the keys from this one on.
const FIRST_SHARED_KEY: u32 = 16;
/// Exclusive upper bound of the numbers that are searched for a key with room.
const KEYS_END: u32 = 10_000;

/// The keys that an epoch may write, with their new contents.
struct GrantKeys<'a> {
    cluster: &'a ClusterView<'a>,
    /// Bytes up to which a key is filled: four fifths of the largest value that the store takes.
    max_key_bytes: usize,
    /// Maximum number of keys that may be written; the transaction has no room for more.
    max_keys: usize,
    /// Contents of the keys that were looked at so far, by number, without jobs that have ended.
    contents: BTreeMap<u32, BTreeMap<JobId, TaskRanges>>,
    /// Numbers of the keys that are to be written.
    written: BTreeSet<u32>,
    /// Number of the key that holds each job.
    keys_by_job: BTreeMap<JobId, u32>,
}

impl<'a> GrantKeys<'a> {
    fn new(cluster: &'a ClusterView<'a>, max_keys: usize) -> Self {
        let stored = cluster.replica.epochs.iter();
        let keys_by_job =
            stored.flat_map(|(key, epoch)| epoch.value.granted.iter().map(|(job, _)| (*job, *key)));
        GrantKeys {
            cluster,
            max_key_bytes: cluster.limits.value_bytes() * 4 / 5,
            max_keys,
            contents: BTreeMap::new(),
            written: BTreeSet::new(),
            keys_by_job: keys_by_job.collect(),
        }
    }

    /// Returns the content of a key without jobs that have ended.
    fn content(&mut self, key: u32) -> &mut BTreeMap<JobId, TaskRanges> {
        let replica = self.cluster.replica;
        self.contents.entry(key).or_insert_with(|| {
            let stored = replica.epochs.get(&key).map(|epoch| &epoch.value.granted);
            let open =
                stored.into_iter().flatten().filter(|(job, _)| replica.jobs.contains_key(job));
            open.cloned().collect()
        })
    }

    /// Returns whether a key may be written and has room for a job's ranges.
    fn has_room(&mut self, key: u32, job: JobId, ranges: &TaskRanges) -> bool {
        if !self.written.contains(&key) && self.written.len() >= self.max_keys {
            return false;
        }
        let others = self.content(key).iter().filter(|(other, _)| **other != job);
        let bytes = KEY_OVERHEAD_BYTES + others.map(|(_, r)| ranges_bytes(r)).sum::<usize>();
        bytes + ranges_bytes(ranges) <= self.max_key_bytes
    }

    /// Returns the number of the key for a job's ranges: the key that holds the job; else a shared
    /// key that is to be written anyway; else the first shared key with room. `None` if there is
    /// none or the transaction is full.
    fn key_for(&mut self, job: JobId, ranges: &TaskRanges) -> Option<u32> {
        let current_key = self.keys_by_job.get(&job).copied();
        if let Some(key) = current_key.filter(|key| self.has_room(*key, job, ranges)) {
            return Some(key);
        }
        let written: Vec<u32> = self.written.range(FIRST_SHARED_KEY..).copied().collect();
        if let Some(key) = written.into_iter().find(|key| self.has_room(*key, job, ranges)) {
            return Some(key);
        }
        if self.written.len() >= self.max_keys {
            return None;
        }
        (FIRST_SHARED_KEY..KEYS_END).find(|key| self.has_room(*key, job, ranges))
    }

    /// Adds a job's ranges to a key. Returns false if no key takes them and the job has to wait for a
    /// later epoch.
    fn put(&mut self, job: JobId, ranges: &TaskRanges) -> bool {
        let Some(key) = self.key_for(job, ranges) else { return false };
        self.content(key).insert(job, ranges.clone());
        self.written.insert(key);
        true
    }

    /// Returns the changes that write the keys.
    fn changes(mut self, term: crate::model::Term) -> Vec<Change> {
        let written = std::mem::take(&mut self.written);
        let change = |key: u32| {
            let granted = self.contents.remove(&key).unwrap_or_default().into_iter().collect();
            let record = EpochRecord { term, granted };
            Change::Put {
                key: replica::epoch_key(key),
                value: wire::to_value(&record),
                lease: None,
            }
        };
        written.into_iter().map(change).collect()
    }
}

impl Leader {
    /// Adds the changes that record the epoch's grants, with some tasks of each job recorded ahead
    /// of time. At most `max_keys` keys are written. Grants that do not fit are removed from the epoch
    /// and left to a later one.
    pub(super) fn record_grants(
        &self,
        cluster: &ClusterView<'_>,
        epoch: &mut Epoch,
        max_keys: usize,
        changes: &mut Vec<Change>,
    ) {
        let extended = self.extended_ranges(cluster, epoch);
        if extended.is_empty() {
            return;
        }
        let mut keys = GrantKeys::new(cluster, max_keys);
        let mut deferred: FxHashSet<JobId> = FxHashSet::default();
        // Jobs that are in a key already go first, because new jobs may share the keys that have to
        // be written for them.
        let (held, new): (Vec<_>, Vec<_>) =
            extended.iter().partition(|(job, _)| keys.keys_by_job.contains_key(job));
        for (job, ranges) in held.into_iter().chain(new) {
            if !keys.put(*job, ranges) {
                deferred.insert(*job);
            }
        }
        changes.extend(keys.changes(self.term));
        if !deferred.is_empty() {
            tracing::info!(
                jobs = deferred.len(),
                "deferred grants: their jobs do not fit into the transaction"
            );
            self.withdraw_unrecorded(epoch, &deferred);
        }
        let granting: FxHashSet<TaskId> = epoch.grants.iter().map(|new| new.task).collect();
        for (job, ranges) in extended.into_iter().filter(|(job, _)| !deferred.contains(job)) {
            let recorded = self.task_grants.recorded.get(&job);
            let added = ranges.iter().filter(|i| recorded.is_none_or(|r| !r.contains(*i)));
            let added = added.map(|index| TaskId { job, index });
            epoch.recorded_ahead.extend(added.filter(|task| !granting.contains(task)));
            epoch.recorded.push((job, ranges));
        }
    }

    /// Returns the ranges to record for each job of which the epoch grants a task that is not on
    /// record.
    fn extended_ranges(
        &self,
        cluster: &ClusterView<'_>,
        epoch: &Epoch,
    ) -> BTreeMap<JobId, TaskRanges> {
        let mut extended: BTreeMap<JobId, TaskRanges> = BTreeMap::new();
        for NewGrant { task, .. } in &epoch.grants {
            let recorded = self.task_grants.recorded.get(&task.job);
            let ranges = extended.get(&task.job).or(recorded);
            if ranges.is_some_and(|ranges| ranges.contains(task.index)) {
                continue;
            }
            let job = cluster.replica.jobs.get(&task.job);
            let task_count = job.map_or(task.index + 1, |job| job.spec.task_count);
            let ranges =
                extended.entry(task.job).or_insert_with(|| recorded.cloned().unwrap_or_default());
            // Tasks are granted in ascending order, so the next ones are known.
            let until = (task.index + 1 + TASKS_RECORDED_AHEAD).min(task_count);
            ranges.extend(task.index..until);
        }
        // Recording tasks that were never granted is safe, and the ranges of a job whose tasks lie
        // far apart have to fit into a key.
        for ranges in extended.values_mut().filter(|r| r.ranges().len() > MAX_RANGES_PER_JOB) {
            *ranges = ranges.merged_to(MAX_RANGES_PER_JOB);
        }
        extended
    }

    /// Removes the grants of deferred jobs from an epoch, as far as they are not on record.
    fn withdraw_unrecorded(&self, epoch: &mut Epoch, deferred: &FxHashSet<JobId>) {
        let recorded = &self.task_grants.recorded;
        let is_deferred = |task: &TaskId| {
            deferred.contains(&task.job)
                && recorded.get(&task.job).is_none_or(|ranges| !ranges.contains(task.index))
        };
        // A gang is granted as a whole or not at all.
        let gangs: FxHashSet<JobId> = epoch
            .grants
            .iter()
            .filter(|new| new.grant.attempt.is_some() && is_deferred(&new.task))
            .map(|new| new.task.job)
            .collect();
        epoch.grants.retain(|new| !is_deferred(&new.task) && !gangs.contains(&new.task.job));
    }
}

/// Returns the estimated bytes that a job with these ranges takes, at most.
fn ranges_bytes(ranges: &TaskRanges) -> usize {
    JOB_OVERHEAD_BYTES + ranges.ranges().len() * RANGE_BYTES
}
