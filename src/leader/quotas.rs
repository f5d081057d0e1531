//! What teams may be using: on machines, granted, and on machines that have not settled.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::{ClusterView, EpochAllocation, Leader};
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{Cores, JobId, MachineId};
use crate::placement::Resources;

impl Leader {
    /// Cores that each team may be using.
    pub(super) fn team_use(
        &self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
    ) -> Vec<(Cores, Cores)> {
        let teams = &cluster.settings.params.teams;
        let mut used = vec![(Cores(0), Cores(0)); teams.len()];
        let index: FxHashMap<&str, usize> =
            teams.iter().enumerate().map(|(i, t)| (t.name.as_str(), i)).collect();
        let add = |used: &mut Vec<(Cores, Cores)>, owner: &str, need: &Resources, tasks: u64| {
            if let Some(u) = index.get(owner).and_then(|i| used.get_mut(*i)) {
                u.0.0 += need.cores.0 * tasks;
                u.1.0 += need.accelerators.0 * tasks;
            }
        };
        let mut strange: BTreeSet<&MachineId> = BTreeSet::new();
        let mut by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for (t, seen) in on_machines {
            // Tasks of jobs that have ended still use cores until they are gone.
            if !cluster.replica.jobs.contains_key(&t.job)
                && !cluster.replica.residual_usage.contains_key(&t.job)
            {
                strange.insert(&seen.machine.id);
            }
            *by_job.entry(t.job).or_default() += 1;
        }
        let others = self.granted.keys().chain(self.revoked.keys());
        for t in others.filter(|t| !on_machines.contains_key(t)) {
            *by_job.entry(t.job).or_default() += 1;
        }
        for (job, tasks) in by_job {
            if let Some(j) = cluster.replica.jobs.get(&job) {
                add(&mut used, &j.spec.team, &Resources::of(&j.spec), tasks);
            } else if let Some(w) = cluster.replica.residual_usage.get(&job) {
                add(&mut used, &w.owner, &w.need, tasks);
            }
        }
        // Machines whose tasks belong to nobody known count in full for every team.
        let offered = |id: &MachineId| {
            let machine_type = &fleet.machines.get(id)?.offer.machine_type;
            cluster.catalog.get(machine_type).map(Resources::offered)
        };
        for need in strange.into_iter().filter_map(offered) {
            for u in &mut used {
                u.0.0 += need.cores.0;
                u.1.0 += need.accelerators.0;
            }
        }
        self.add_unreconciled(cluster, fleet, &index, &mut used);
        used
    }

    /// Adds what may be on machines that have not reported in this term: no more than they
    /// hold, and of a team no more than the tasks it may have there, which are the unresolved ones
    /// and those of its cancelled jobs.
    fn add_unreconciled(
        &self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        index: &FxHashMap<&str, usize>,
        used: &mut [(Cores, Cores)],
    ) {
        let mut held = Resources::default();
        for id in &fleet.unreconciled {
            let machine_type = fleet.machines.get(id).map(|m| &m.offer.machine_type);
            if let Some(f) = machine_type.and_then(|h| cluster.catalog.get(h)) {
                let offered = Resources::offered(f);
                held.cores.0 += offered.cores.0;
                held.accelerators.0 += offered.accelerators.0;
            }
        }
        if held.cores.0 == 0 && held.accelerators.0 == 0 {
            return;
        }
        let mut may: Vec<Resources> = vec![Resources::default(); used.len()];
        let mut add = |owner: &str, need: &Resources, tasks: u64| {
            if let Some(m) = index.get(owner).and_then(|i| may.get_mut(*i)) {
                m.cores.0 += need.cores.0 * tasks;
                m.accelerators.0 += need.accelerators.0 * tasks;
            }
        };
        let mut by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for t in &self.unresolved {
            *by_job.entry(t.job).or_default() += 1;
        }
        for (job, tasks) in by_job {
            if let Some(j) = cluster.replica.jobs.get(&job) {
                add(&j.spec.team, &Resources::of(&j.spec), tasks);
            }
        }
        for w in cluster.replica.residual_usage.values() {
            add(&w.owner, &w.need, u64::from(w.unfinished_tasks));
        }
        let all = cluster.replica.residual_usage_truncated;
        for (u, m) in used.iter_mut().zip(may) {
            u.0.0 += if all { held.cores.0 } else { held.cores.0.min(m.cores.0) };
            u.1.0 +=
                if all { held.accelerators.0 } else { held.accelerators.0.min(m.accelerators.0) };
        }
    }

    /// How many more such tasks a team's limit allows.
    pub(super) fn within_limit(
        &self,
        cluster: &ClusterView<'_>,
        team: usize,
        need: &Resources,
        f: &EpochAllocation,
    ) -> usize {
        let Some(limits) = cluster.settings.params.teams.get(team) else { return usize::MAX };
        let used = f.used.get(team).copied().unwrap_or_default();
        let left = |limit: Option<Cores>, used: Cores, each: Cores| {
            let most = limit.map(|l| l.less(used).0.checked_div(each.0).unwrap_or(u64::MAX));
            most.unwrap_or(u64::MAX)
        };
        let cores = left(limits.core_limit(), used.0, need.cores);
        let accelerators = left(limits.accelerator_limit(), used.1, need.accelerators);
        cores.min(accelerators).try_into().unwrap_or(usize::MAX)
    }
}
