//! What teams may be using: on machines, granted, and on machines that are not reconciled yet. A team is
//! never granted tasks beyond its limit, whatever of it may still be running unseen.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::allocation::{EpochAllocation, TeamUse};
use super::inputs::EpochInputs;
use super::task_grants::TaskUse;
use super::{ClusterView, Leader};
use crate::model::{Cores, JobId, MachineId};
use crate::resources::Resources;

/// The number of each team by its name.
type TeamIndex<'a> = FxHashMap<&'a str, usize>;

/// What each team may be using.
struct TeamUses<'a> {
    index: &'a TeamIndex<'a>,
    uses: Vec<TeamUse>,
}

impl<'a> TeamUses<'a> {
    fn none(index: &'a TeamIndex<'a>, teams: usize) -> Self {
        TeamUses { index, uses: vec![TeamUse::default(); teams] }
    }

    /// Counts tasks of a team in; those of a team that is unknown count for nobody.
    fn add(&mut self, team: &str, need: &Resources, tasks: u64) {
        if let Some(team_use) = self.index.get(team).and_then(|i| self.uses.get_mut(*i)) {
            team_use.add(need, tasks);
        }
    }
}

impl Leader {
    /// What each team may be using.
    pub(super) fn team_use(&self, inputs: &EpochInputs<'_>) -> Vec<TeamUse> {
        let EpochInputs { cluster, on_machines, .. } = inputs;
        let teams = &cluster.settings.params.teams;
        let index: TeamIndex<'_> =
            teams.iter().enumerate().map(|(i, team)| (team.name.as_str(), i)).collect();
        let mut used = TeamUses::none(&index, teams.len());
        let mut tasks_by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for (_, TaskUse { team, need }) in self.task_grants.not_on_machines(on_machines) {
            if let Some(team_use) = used.uses.get_mut(*team) {
                team_use.add(need, 1);
            }
        }
        for task in on_machines.keys() {
            *tasks_by_job.entry(task.job).or_default() += 1;
        }
        for (id, tasks) in tasks_by_job {
            if let Some(job) = cluster.replica.jobs.get(&id) {
                used.add(&job.spec.team, &Resources::of(&job.spec), tasks);
            } else if let Some(residual) = cluster.replica.residual_usage.get(&id) {
                // Tasks of jobs that have ended still use cores until they end.
                used.add(&residual.owner, &residual.need, tasks);
            }
        }
        // Machines whose tasks belong to nobody known count in full for every team.
        for id in machines_with_unknown_tasks(inputs) {
            if let Some(offered) = offered_by(inputs, id) {
                used.uses.iter_mut().for_each(|team_use| team_use.add(&offered, 1));
            }
        }
        self.add_unreconciled(inputs, &mut used);
        used.uses
    }

    /// Adds what may be on machines that have not reported in this term: no more than they
    /// hold, and of a team no more than the tasks it may have there, which are the unresolved ones
    /// and those of its cancelled jobs.
    fn add_unreconciled(&self, inputs: &EpochInputs<'_>, used: &mut TeamUses<'_>) {
        let replica = inputs.cluster.replica;
        let mut held = TeamUse::default();
        for id in &inputs.fleet.unreconciled {
            if let Some(offered) = offered_by(inputs, id) {
                held.add(&offered, 1);
            }
        }
        if held.cores.0 == 0 && held.accelerators.0 == 0 {
            return;
        }
        let mut possible = TeamUses::none(used.index, used.uses.len());
        let mut unresolved_by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for task in &self.task_grants.unresolved {
            *unresolved_by_job.entry(task.job).or_default() += 1;
        }
        for (id, tasks) in unresolved_by_job {
            if let Some(job) = replica.jobs.get(&id) {
                possible.add(&job.spec.team, &Resources::of(&job.spec), tasks);
            }
        }
        for residual in replica.residual_usage.values() {
            possible.add(&residual.owner, &residual.need, u64::from(residual.unfinished_tasks));
        }
        // Of what residual usage was left out of the record, nobody knows whose it is.
        let count_all = replica.residual_usage_truncated;
        for (team_use, possible) in used.uses.iter_mut().zip(possible.uses) {
            let bound = |held: Cores, possible: Cores| {
                if count_all { held.0 } else { held.0.min(possible.0) }
            };
            team_use.cores.0 += bound(held.cores, possible.cores);
            team_use.accelerators.0 += bound(held.accelerators, possible.accelerators);
        }
    }

    /// How many more such tasks a team's limit allows.
    pub(super) fn within_limit(
        &self,
        cluster: &ClusterView<'_>,
        team: usize,
        need: &Resources,
        allocation: &EpochAllocation,
    ) -> usize {
        let Some(limits) = cluster.settings.params.teams.get(team) else { return usize::MAX };
        let used = allocation.team_use.get(team).copied().unwrap_or_default();
        let tasks_left = |limit: Option<Cores>, used: Cores, each: Cores| {
            let tasks = limit.map(|limit| limit.less(used).0.checked_div(each.0));
            tasks.map_or(u64::MAX, |tasks| tasks.unwrap_or(u64::MAX))
        };
        let cores = tasks_left(limits.core_limit(), used.cores, need.cores);
        let accelerators =
            tasks_left(limits.accelerator_limit(), used.accelerators, need.accelerators);
        cores.min(accelerators).try_into().unwrap_or(usize::MAX)
    }
}

/// Machines that show tasks of which no job is known, neither an open one nor one that ended lately.
fn machines_with_unknown_tasks<'a>(inputs: &EpochInputs<'a>) -> BTreeSet<&'a MachineId> {
    let replica = inputs.cluster.replica;
    let unknown =
        |job: &JobId| !replica.jobs.contains_key(job) && !replica.residual_usage.contains_key(job);
    let on_machines = inputs.on_machines.iter();
    on_machines.filter(|(task, _)| unknown(&task.job)).map(|(_, seen)| &seen.machine.id).collect()
}

/// What a machine offers, if that is known.
fn offered_by(inputs: &EpochInputs<'_>, machine: &MachineId) -> Option<Resources> {
    let machine_type = &inputs.fleet.machines.get(machine)?.offer.machine_type;
    inputs.cluster.catalog.get(machine_type).map(Resources::offered)
}
