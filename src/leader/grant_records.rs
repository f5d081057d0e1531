//! Which tasks are on record as granted. An epoch's grants are put there before any plan goes
//! out, so whoever leads next knows every task that may be running.
//!
//! Changes in the state service are scarce, and an epoch has to wait for them. Jobs are therefore
//! gathered in few keys: those that get grants at the same time mostly stand together, and one
//! change records the grants of all of them.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashSet;

use super::task_grants::NewGrant;
use super::{ClusterView, Epoch, Leader};
use crate::model::{JobId, TaskId, TaskRanges};
use crate::replica::{self, EpochRecord};
use crate::wire::{self, Change};

/// Tasks of a job that are put on record before they are granted, so that
/// a job whose tasks are granted one by one is not written each time.
const RECORD_AHEAD: u32 = 8;
/// Bytes of a key besides its jobs.
const KEY_BYTES: usize = 64;
/// Bytes of a job besides its ranges, and of each range.
const JOB_BYTES: usize = 24;
const SPAN_BYTES: usize = 16;
/// Most ranges of a job on record.
const MOST_SPANS: usize = 32;
/// The first keys are those of version 0.1, in which a job's place follows from its number. When it
/// leads, it rewrites them without the jobs that do not belong there, so what is
/// gathered stands in the keys behind them, which it only reads.
const FIRST_KEY: u32 = 16;
/// Bound on the search for a key with room.
const LAST_KEY: u32 = 10_000;

/// The keys that an epoch may write.
struct GrantKeys<'a> {
    cluster: &'a ClusterView<'a>,
    /// Bytes up to which a key is filled.
    fill: usize,
    /// Most keys that the transaction has room for.
    most: usize,
    /// Contents without jobs that have ended, of the keys looked at so far.
    contents: BTreeMap<u32, BTreeMap<JobId, TaskRanges>>,
    /// The keys that are written.
    written: BTreeSet<u32>,
    /// The key that holds each job.
    keys_by_job: BTreeMap<JobId, u32>,
}

impl<'a> GrantKeys<'a> {
    fn new(cluster: &'a ClusterView<'a>, most: usize) -> Self {
        let stored = cluster.replica.epochs.iter();
        let keys_by_job =
            stored.flat_map(|(key, epoch)| epoch.value.granted.iter().map(|(job, _)| (*job, *key)));
        GrantKeys {
            cluster,
            fill: cluster.limits.value_bytes() * 4 / 5,
            most,
            contents: BTreeMap::new(),
            written: BTreeSet::new(),
            keys_by_job: keys_by_job.collect(),
        }
    }

    fn content(&mut self, key: u32) -> &mut BTreeMap<JobId, TaskRanges> {
        let replica = self.cluster.replica;
        self.contents.entry(key).or_insert_with(|| {
            let stored = replica.epochs.get(&key).map(|epoch| &epoch.value.granted);
            let open =
                stored.into_iter().flatten().filter(|(job, _)| replica.jobs.contains_key(job));
            open.cloned().collect()
        })
    }

    /// Whether a key has room for a job's ranges and may be written.
    fn takes(&mut self, key: u32, job: JobId, ranges: &TaskRanges) -> bool {
        if !self.written.contains(&key) && self.written.len() >= self.most {
            return false;
        }
        let others = self.content(key).iter().filter(|(other, _)| **other != job);
        let bytes = KEY_BYTES + others.map(|(_, r)| ranges_bytes(r)).sum::<usize>();
        bytes + ranges_bytes(ranges) <= self.fill
    }

    /// The key for a job's ranges: the one that holds the job, else one that is written anyway,
    /// else the first with room. `None` if the transaction is full.
    fn key_for(&mut self, job: JobId, ranges: &TaskRanges) -> Option<u32> {
        let home = self.keys_by_job.get(&job).copied();
        if let Some(key) = home.filter(|key| self.takes(*key, job, ranges)) {
            return Some(key);
        }
        let written: Vec<u32> = self.written.range(FIRST_KEY..).copied().collect();
        if let Some(key) = written.into_iter().find(|key| self.takes(*key, job, ranges)) {
            return Some(key);
        }
        if self.written.len() >= self.most {
            return None;
        }
        (FIRST_KEY..LAST_KEY).find(|key| self.takes(*key, job, ranges))
    }

    /// Puts a job's ranges on record; false if that has to wait for the next epoch.
    fn put(&mut self, job: JobId, ranges: &TaskRanges) -> bool {
        let Some(key) = self.key_for(job, ranges) else { return false };
        self.content(key).insert(job, ranges.clone());
        self.written.insert(key);
        true
    }

    /// The changes that write these keys.
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
    /// Puts granted tasks on record that are not there yet, some of each job ahead of time, with
    /// `most` changes. What does not fit into the transaction is granted later.
    pub(super) fn record_grants(
        &self,
        cluster: &ClusterView<'_>,
        epoch: &mut Epoch,
        most: usize,
        changes: &mut Vec<Change>,
    ) {
        let wider = self.wider_ranges(cluster, epoch);
        if wider.is_empty() {
            return;
        }
        let mut keys = GrantKeys::new(cluster, most);
        let mut refused: FxHashSet<JobId> = FxHashSet::default();
        // Jobs in keys that hold them come first: others may then stand beside them.
        let (held, new): (Vec<_>, Vec<_>) =
            wider.iter().partition(|(job, _)| keys.keys_by_job.contains_key(job));
        for (job, ranges) in held.into_iter().chain(new) {
            if !keys.put(*job, ranges) {
                refused.insert(*job);
            }
        }
        changes.extend(keys.changes(self.term));
        if !refused.is_empty() {
            tracing::info!(jobs = refused.len(), "grants wait for room in the record");
            self.withdraw_unrecorded(epoch, &refused);
        }
        let granting: FxHashSet<TaskId> = epoch.grants.iter().map(|new| new.task).collect();
        for (job, ranges) in wider.into_iter().filter(|(job, _)| !refused.contains(job)) {
            let known = self.task_grants.recorded.get(&job);
            let added = ranges.iter().filter(|i| known.is_none_or(|r| !r.contains(*i)));
            let added = added.map(|index| TaskId { job, index });
            epoch.recorded_ahead.extend(added.filter(|task| !granting.contains(task)));
            epoch.recorded.push((job, ranges));
        }
    }

    /// What is to be on record of the jobs of which the epoch grants something that is not.
    fn wider_ranges(
        &self,
        cluster: &ClusterView<'_>,
        epoch: &Epoch,
    ) -> BTreeMap<JobId, TaskRanges> {
        let mut wider: BTreeMap<JobId, TaskRanges> = BTreeMap::new();
        for NewGrant { task, .. } in &epoch.grants {
            let known = self.task_grants.recorded.get(&task.job);
            let ranges = wider.get(&task.job).or(known);
            if ranges.is_some_and(|ranges| ranges.contains(task.index)) {
                continue;
            }
            let job = cluster.replica.jobs.get(&task.job);
            let task_count = job.map_or(task.index + 1, |job| job.spec.task_count);
            let ranges =
                wider.entry(task.job).or_insert_with(|| known.cloned().unwrap_or_default());
            // Tasks are granted from the first on, so what comes next is known.
            let until = (task.index + 1 + RECORD_AHEAD).min(task_count);
            ranges.extend(task.index..until);
        }
        // To have more on record than may run is safe, and what lies far apart has to fit.
        for ranges in wider.values_mut().filter(|r| r.ranges().len() > MOST_SPANS) {
            *ranges = ranges.merged_to(MOST_SPANS);
        }
        wider
    }

    /// Takes grants out of an epoch that are not on record, of these jobs.
    fn withdraw_unrecorded(&self, epoch: &mut Epoch, refused: &FxHashSet<JobId>) {
        let known = &self.task_grants.recorded;
        let waits = |task: &TaskId| {
            refused.contains(&task.job)
                && known.get(&task.job).is_none_or(|ranges| !ranges.contains(task.index))
        };
        // A gang is granted whole or not at all.
        let gangs: FxHashSet<JobId> = epoch
            .grants
            .iter()
            .filter(|new| new.grant.attempt.is_some() && waits(&new.task))
            .map(|new| new.task.job)
            .collect();
        epoch.grants.retain(|new| !waits(&new.task) && !gangs.contains(&new.task.job));
    }
}

/// Bytes that a job's granted ranges take at most.
fn ranges_bytes(ranges: &TaskRanges) -> usize {
    JOB_BYTES + ranges.ranges().len() * SPAN_BYTES
}
