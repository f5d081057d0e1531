//! What teams may be using: on machines, granted, and on machines that are not reconciled yet. A team is
//! never granted tasks beyond its limit, whatever of it may still be running unseen.

use std::collections::{BTreeSet, HashSet};

use rustc_hash::FxHashMap;

use super::allocation::EpochAllocation;
use super::inputs::EpochInputs;
use super::team_use::{TeamUse, Usage};
use super::{ClusterView, Leader};
use crate::config::Team;
use crate::fleet::TasksOnMachines;
use crate::model::{Cores, JobId, MachineId};
use crate::replica::Replica;
use crate::resources::Resources;

/// What each team may be using, by its number.
struct TeamUses<'a> {
    index: FxHashMap<&'a str, usize>,
    uses: Vec<TeamUse>,
}

impl<'a> TeamUses<'a> {
    fn none(teams: &'a [Team]) -> Self {
        let index = teams.iter().enumerate().map(|(i, team)| (team.name.as_str(), i)).collect();
        TeamUses { index, uses: vec![TeamUse::default(); teams.len()] }
    }

    /// The team of that name; `None` if it is unknown.
    fn team(&mut self, name: &str) -> Option<&mut TeamUse> {
        self.uses.get_mut(*self.index.get(name)?)
    }

    /// Counts tasks on reconciled machines in. Those of jobs that have ended use cores until they end, too.
    fn count_on_machines(&mut self, replica: &Replica, on_machines: &TasksOnMachines<'_>) {
        let mut tasks_by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for task in on_machines.keys() {
            *tasks_by_job.entry(task.job).or_default() += 1;
        }
        for (id, tasks) in tasks_by_job {
            if let Some(job) = replica.jobs.get(&id) {
                if let Some(team) = self.team(&job.spec.team) {
                    team.on_machines.add(&Resources::of(&job.spec), tasks);
                }
            } else if let Some(residual) = replica.residual_usage.get(&id)
                && let Some(team) = self.team(&residual.owner)
            {
                team.on_machines.add(&residual.need, tasks);
            }
        }
    }

    /// Counts machines whose tasks belong to nobody known in full for every team.
    fn count_unidentified(&mut self, inputs: &EpochInputs<'_>) {
        for id in machines_with_unknown_tasks(inputs) {
            let held = held_at_most(inputs, id);
            self.uses.iter_mut().for_each(|team| team.unidentified = team.unidentified.plus(held));
        }
    }
}

impl Leader {
    /// What each team may be using.
    pub(super) fn team_use(&self, inputs: &EpochInputs<'_>) -> Vec<TeamUse> {
        let EpochInputs { cluster, on_machines, .. } = inputs;
        let mut used = TeamUses::none(&cluster.settings.params.teams);
        used.count_on_machines(cluster.replica, on_machines);
        self.task_grants.count_under_way(on_machines, &mut used.uses);
        used.count_unidentified(inputs);
        self.count_unreconciled(inputs, &mut used);
        used.uses
    }

    /// Counts what may be on machines that have not reported in this term: no more than they
    /// hold, and of a team no more than the tasks it may have there, which are the unresolved ones
    /// and those of its cancelled jobs.
    fn count_unreconciled(&self, inputs: &EpochInputs<'_>, used: &mut TeamUses<'_>) {
        let replica = inputs.cluster.replica;
        let unreconciled = inputs.fleet.unreconciled.iter();
        let held =
            unreconciled.map(|id| held_at_most(inputs, id)).fold(Usage::default(), Usage::plus);
        if held == Usage::default() {
            return;
        }
        let mut unresolved_by_job: FxHashMap<JobId, u64> = FxHashMap::default();
        for task in &self.task_grants.unresolved {
            *unresolved_by_job.entry(task.job).or_default() += 1;
        }
        for (id, tasks) in unresolved_by_job {
            if let Some(job) = replica.jobs.get(&id)
                && let Some(team) = used.team(&job.spec.team)
            {
                team.unreconciled.add(&Resources::of(&job.spec), tasks);
            }
        }
        for residual in replica.residual_usage.values() {
            if let Some(team) = used.team(&residual.owner) {
                team.unreconciled.add(&residual.need, u64::from(residual.unfinished_tasks));
            }
        }
        for team in &mut used.uses {
            // Of what residual usage was left out of the record, nobody knows whose it is.
            let count_all = replica.residual_usage_truncated;
            team.unreconciled = if count_all { held } else { team.unreconciled.min(held) };
        }
    }

    /// Logs teams whose tasks on machines are more than their limit, once each: a rule is broken.
    pub(super) fn log_teams_over_limit(&mut self, cluster: &ClusterView<'_>, uses: &[TeamUse]) {
        let teams = cluster.settings.params.teams.iter().zip(uses);
        let over_limit = teams.filter(|(team, used)| used.on_machines.exceeds_limit(team));
        let over_limit: Vec<(&Team, &TeamUse)> = over_limit.collect();
        let logged = &self.jobs.teams_over_limit;
        for (team, used) in over_limit.iter().filter(|(team, _)| !logged.contains(&team.name)) {
            let (term, limit) = (self.term, team.max_vcpus);
            tracing::error!(team = %team.name, limit, %used, %term, "a team is over its limit");
        }
        let names = over_limit.into_iter().map(|(team, _)| team.name.clone());
        self.jobs.teams_over_limit = names.collect::<HashSet<String>>();
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
        let used = allocation.team_use.get(team).map(TeamUse::total).unwrap_or_default();
        let tasks_left = |limit: Option<Cores>, used: Cores, each: Cores| {
            let tasks = limit.map(|limit| limit.saturating_sub(used).0.checked_div(each.0));
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

/// The most that tasks on a machine use: what it offers, or no bound if the cloud no longer lists its type.
fn held_at_most(inputs: &EpochInputs<'_>, machine: &MachineId) -> Usage {
    let machine = inputs.fleet.machines.get(machine);
    let machine_type =
        machine.and_then(|machine| inputs.cluster.catalog.get(&machine.offer.machine_type));
    machine_type.map_or(Usage::UNBOUNDED, |offered| Usage::of_machine(&Resources::offered(offered)))
}
