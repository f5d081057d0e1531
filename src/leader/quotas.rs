//! Upper bounds of the teams' usage: tasks on machines, granted tasks, and tasks on machines that are not
//! reconciled yet. A team is never granted tasks beyond its limit, even if some of its tasks may still be
//! running unseen.

use std::collections::{BTreeSet, HashSet};

use rustc_hash::FxHashMap;

use super::allocation::EpochAllocation;
use super::inputs::EpochInputs;
use super::team_usage::{TeamUsage, Usage};
use super::{ClusterView, Leader};
use crate::config::Team;
use crate::fleet::TasksOnMachines;
use crate::model::{Cores, JobId, MachineId};
use crate::replica::Replica;
use crate::resources::Resources;

/// Upper bounds of the usage of all teams.
struct TeamUsageTable<'a> {
    /// Index of each team in the settings, by name.
    team_numbers: FxHashMap<&'a str, usize>,
    /// Usage by the team's index in the settings.
    usage: Vec<TeamUsage>,
}

impl<'a> TeamUsageTable<'a> {
    /// Creates a table without any usage.
    fn empty(teams: &'a [Team]) -> Self {
        let team_numbers =
            teams.iter().enumerate().map(|(i, team)| (team.name.as_str(), i)).collect();
        TeamUsageTable { team_numbers, usage: vec![TeamUsage::default(); teams.len()] }
    }

    /// Returns the usage of the team called `name`; `None` if the settings have no such team.
    fn team(&mut self, name: &str) -> Option<&mut TeamUsage> {
        self.usage.get_mut(*self.team_numbers.get(name)?)
    }

    /// Adds tasks on reconciled machines. Tasks of jobs that have ended count until the tasks have ended, too.
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

    /// Adds everything that machines with tasks of unknown jobs offer to the usage of every team, as the tasks
    /// may belong to any team.
    fn count_unidentified(&mut self, inputs: &EpochInputs<'_>) {
        for id in machines_with_unknown_tasks(inputs) {
            let max_usage = max_usage_on_machine(inputs, id);
            self.usage
                .iter_mut()
                .for_each(|team| team.unidentified = team.unidentified.plus(max_usage));
        }
    }
}

impl Leader {
    /// Returns an upper bound of the usage of each team, by the team's index in the settings.
    pub(super) fn team_usage(&self, inputs: &EpochInputs<'_>) -> Vec<TeamUsage> {
        let EpochInputs { cluster, on_machines, .. } = inputs;
        let mut used = TeamUsageTable::empty(&cluster.settings.params.teams);
        used.count_on_machines(cluster.replica, on_machines);
        self.task_grants.count_not_on_machines(on_machines, &mut used.usage);
        used.count_unidentified(inputs);
        self.count_unreconciled(inputs, &mut used);
        used.usage
    }

    /// Adds the usage of tasks that may be on unreconciled machines. For each team it is at most what these
    /// machines offer, and at most what the team's tasks need that may be on them: its unresolved tasks, and
    /// tasks that may still run after their jobs have ended.
    fn count_unreconciled(&self, inputs: &EpochInputs<'_>, used: &mut TeamUsageTable<'_>) {
        let replica = inputs.cluster.replica;
        let unreconciled = inputs.fleet.unreconciled.iter();
        let max_usage = unreconciled
            .map(|id| max_usage_on_machine(inputs, id))
            .fold(Usage::default(), Usage::plus);
        if max_usage == Usage::default() {
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
        for team in &mut used.usage {
            // The record of residual usage is incomplete, and the missing part may belong to any team.
            let count_all = replica.residual_usage_truncated;
            team.unreconciled =
                if count_all { max_usage } else { team.unreconciled.min(max_usage) };
        }
    }

    /// Logs each team whose tasks on machines newly exceed its limit. Grants are meant to rule this out.
    pub(super) fn log_teams_over_limit(&mut self, cluster: &ClusterView<'_>, usage: &[TeamUsage]) {
        let teams = cluster.settings.params.teams.iter().zip(usage);
        let over_limit = teams.filter(|(team, used)| used.on_machines.exceeds_limit(team));
        let over_limit: Vec<(&Team, &TeamUsage)> = over_limit.collect();
        let logged = &self.jobs.teams_over_limit;
        for (team, used) in over_limit.iter().filter(|(team, _)| !logged.contains(&team.name)) {
            let (term, limit) = (self.term, team.max_vcpus);
            tracing::error!(team = %team.name, limit, %used, %term, "team usage exceeds its limit");
        }
        let names = over_limit.into_iter().map(|(team, _)| team.name.clone());
        self.jobs.teams_over_limit = names.collect::<HashSet<String>>();
    }

    /// Returns how many more tasks that need `need` each the limit of a team allows. `team` is the team's index
    /// in the settings.
    pub(super) fn tasks_within_limit(
        &self,
        cluster: &ClusterView<'_>,
        team: usize,
        need: &Resources,
        allocation: &EpochAllocation,
    ) -> usize {
        let Some(limits) = cluster.settings.params.teams.get(team) else { return usize::MAX };
        let used = allocation.team_usage.get(team).map(TeamUsage::total).unwrap_or_default();
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

/// Returns the machines that show tasks of unknown jobs: neither open nor ended with residual usage on record.
fn machines_with_unknown_tasks<'a>(inputs: &EpochInputs<'a>) -> BTreeSet<&'a MachineId> {
    let replica = inputs.cluster.replica;
    let unknown =
        |job: &JobId| !replica.jobs.contains_key(job) && !replica.residual_usage.contains_key(job);
    let on_machines = inputs.on_machines.iter();
    on_machines.filter(|(task, _)| unknown(&task.job)).map(|(_, seen)| &seen.machine.id).collect()
}

/// Returns an upper bound of what tasks on a machine use: all that its type offers, or no bound if the cloud no
/// longer lists the type.
fn max_usage_on_machine(inputs: &EpochInputs<'_>, machine: &MachineId) -> Usage {
    let machine = inputs.fleet.machines.get(machine);
    let machine_type =
        machine.and_then(|machine| inputs.cluster.catalog.get(&machine.offer.machine_type));
    machine_type.map_or(Usage::UNBOUNDED, |offered| Usage::of_machine(&Resources::offered(offered)))
}
