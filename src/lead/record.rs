//! What an epoch puts on record before it holds: granted tasks, machines, and the load.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashSet;

use super::{Context, Epoch, Lead};
use crate::ledger::{self, EpochRecord, MachineGroup, MachineRecord};
use crate::model::{JobId, MachineId, Ranges, TaskId};
use crate::wire::{self, Change, Guard, Txn};

/// Tasks of a job that are put on record before they are granted, so that
/// a job whose tasks are granted one by one is not written each time.
const RECORD_AHEAD: u32 = 8;
/// Most keys of machines that an epoch writes.
const MACHINE_KEYS: usize = 4;
/// Least time between two writes of machines.
const MACHINES_MS: u64 = 400;
/// How long a machine that is gone stays known, against late reports.
const TOMBSTONE_MS: u64 = 600_000;
/// Time between two records of the load.
const LOAD_MS: u64 = 8_000;
/// Keys over which granted ranges are spread by job, so that an epoch rewrites few of them.
const GRANT_KEYS: u32 = 16;

impl Lead {
    /// Writes the transaction that has to be carried out before the epoch holds.
    pub(super) fn compose(&mut self, ctx: &Context<'_>, epoch: &mut Epoch) {
        let ops = ctx.settings.params.state.txn_ops;
        let mut apply = Vec::new();
        self.record_grants(ctx, epoch, &mut apply);
        if ctx.now.since(self.machines_written) >= MACHINES_MS || !apply.is_empty() {
            let before = apply.len();
            self.machine_changes(ctx, ops, &mut apply);
            if apply.len() > before {
                self.machines_written = ctx.now;
            }
        }
        if ctx.now.since(self.load_written) >= LOAD_MS && apply.len() + 1 < ops {
            self.load_written = ctx.now;
            apply.push(Change::Set {
                path: ledger::LOAD_KEY.into(),
                value: wire::to_value(&self.market.load),
                lease: None,
            });
        }
        if !apply.is_empty() {
            let mut guards: Vec<Guard> = ctx.ledger.lead_guard().into_iter().collect();
            guards.extend(apply.iter().map(|c| ctx.ledger.unchanged(c.path())));
            epoch.txn = Some(Txn { guards, apply });
        }
    }

    /// Puts granted tasks on record that are not there yet, some of each job ahead of time.
    /// What does not fit into the transaction or a key is granted later.
    fn record_grants(&mut self, ctx: &Context<'_>, epoch: &mut Epoch, apply: &mut Vec<Change>) {
        let limits = &ctx.settings.params.state;
        let fill = (limits.value_kb * 1024.0 * 0.8) as usize;
        let most = limits.txn_ops.saturating_sub(1 + MACHINE_KEYS).max(1);
        let mut wider: BTreeMap<JobId, Ranges> = BTreeMap::new();
        for (t, _) in &epoch.grants {
            let known = self.recorded.get(&t.job);
            let wide = wider.get(&t.job).or(known).is_some_and(|r| r.contains(t.index));
            if wide {
                continue;
            }
            let pieces = ctx.ledger.jobs.get(&t.job).map_or(t.index + 1, |j| j.spec.pieces);
            let ranges = wider.entry(t.job).or_insert_with(|| known.cloned().unwrap_or_default());
            // Tasks are granted from the first on, so what comes next is known.
            let until = (t.index + 1 + RECORD_AHEAD).min(pieces);
            ranges.extend(t.index..until);
        }
        let mut keys: BTreeSet<u32> = BTreeSet::new();
        let mut refused: FxHashSet<JobId> = FxHashSet::default();
        for job in wider.keys() {
            let key = grant_key(*job);
            if !keys.contains(&key) && keys.len() >= most {
                refused.insert(*job);
            } else {
                keys.insert(key);
            }
        }
        for key in keys {
            let mut granted: Vec<(JobId, Ranges)> = Vec::new();
            let mut size = 64;
            let known = self.recorded.iter().filter(|(job, _)| !wider.contains_key(job));
            let all = known.chain(wider.iter()).filter(|(job, _)| grant_key(**job) == key);
            for (job, ranges) in all {
                size += 24 + ranges.spans().len() * 12;
                let is_new = wider.contains_key(job);
                if size > fill && is_new {
                    refused.insert(*job);
                    if let Some(old) = self.recorded.get(job) {
                        granted.push((*job, old.clone()));
                    }
                    continue;
                }
                granted.push((*job, ranges.clone()));
            }
            let record = EpochRecord { term: self.term, granted };
            apply.push(Change::Set {
                path: ledger::epoch_key(key),
                value: wire::to_value(&record),
                lease: None,
            });
        }
        if !refused.is_empty() {
            tracing::info!(jobs = refused.len(), "grants wait for room in the record");
            let known = &self.recorded;
            epoch.grants.retain(|(t, _)| {
                !refused.contains(&t.job) || known.get(&t.job).is_some_and(|r| r.contains(t.index))
            });
        }
        let granting: FxHashSet<TaskId> = epoch.grants.iter().map(|g| g.0).collect();
        for (job, ranges) in wider.into_iter().filter(|(job, _)| !refused.contains(job)) {
            let known = self.recorded.get(&job);
            let added = ranges.iter().filter(|i| known.is_none_or(|r| !r.contains(*i)));
            let added = added.map(|index| TaskId { job, index });
            epoch.ahead.extend(added.filter(|t| !granting.contains(t)));
            epoch.recorded.push((job, ranges));
        }
    }

    /// Machines become durable before anything can start on them, and stay as tombstones for
    /// a while once they are gone. They are written in groups.
    fn machine_changes(&self, ctx: &Context<'_>, ops: usize, apply: &mut Vec<Change>) {
        let known = &ctx.ledger.machines;
        let mut groups: BTreeSet<u32> = BTreeSet::new();
        let mut note = |id: &MachineId| {
            if groups.len() < MACHINE_KEYS {
                groups.insert(ledger::machine_group(id));
            }
        };
        let up = |m: &crate::fleet::FleetMachine, id: &MachineId| {
            m.up && known.get(id).is_none_or(|k| !k.up && k.gone.is_none())
        };
        let fleet = &self.fleet;
        fleet.machines.iter().filter(|(id, m)| up(m, id)).for_each(|(id, _)| note(id));
        let died = |id: &MachineId, m: &MachineRecord| m.gone.is_none() && fleet.gone.contains(id);
        let over = |m: &MachineRecord| {
            m.gone.is_some_and(|at| ctx.wall.0.saturating_sub(at.0) > TOMBSTONE_MS)
        };
        known.iter().filter(|(id, m)| died(id, m) || over(m)).for_each(|(id, _)| note(id));
        for group in groups {
            if apply.len() + 1 >= ops {
                return;
            }
            let mut machines: BTreeMap<MachineId, MachineRecord> = BTreeMap::new();
            for (id, m) in
                known.iter().filter(|(id, m)| ledger::machine_group(id) == group && !over(m))
            {
                let gone = m.gone.or_else(|| died(id, m).then_some(ctx.wall));
                machines.insert(id.clone(), MachineRecord { gone, ..m.clone() });
            }
            for (id, m) in &fleet.machines {
                if ledger::machine_group(id) == group && up(m, id) {
                    let record = MachineRecord {
                        hull: m.offer.hull.clone(),
                        zone: m.offer.zone.clone(),
                        spot: m.offer.spot,
                        up: true,
                        gone: None,
                        endpoint: m.endpoint.to_string(),
                    };
                    machines.insert(id.clone(), record);
                }
            }
            // An empty group stays: the version of its key tells late writes from new ones.
            let path = ledger::machine_key(group);
            let machines = machines.into_iter().collect();
            let value = wire::to_value(&MachineGroup { machines });
            apply.push(Change::Set { path, value, lease: None });
        }
    }
}

/// The key that holds a job's granted ranges.
fn grant_key(job: JobId) -> u32 {
    (job.0 % u64::from(GRANT_KEYS)) as u32
}
