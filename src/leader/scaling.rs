//! The autoscaler's inputs, which are the machines and the pending work, and how its decision is
//! applied.

use std::collections::HashMap;

use rustc_hash::{FxHashMap, FxHashSet};

use super::inputs::EpochInputs;
use super::starvation::since_accepted_ms;
use super::{Epoch, Leader};
use crate::autoscaler::{self, MachineUsage, PendingWork, RequestedMachines};
use crate::cluster_view::ClusterView;
use crate::model::{Cores, JobId, MachineId, TaskId};
use crate::offered_load::{GangSample, LoadSample};
use crate::placement::PlacementTarget;
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::{JobKind, Priority};

/// Milliseconds between two scaling decisions.
pub(super) const SCALING_PERIOD_MS: u64 = 1_000;

/// The load that open jobs offer.
#[derive(Default)]
struct OpenLoad {
    /// All work except short-running gangs.
    work: LoadSample,
    /// Gangs that may not use spot machines, and gangs that may.
    gangs: [GangSample; 2],
}

/// The load of one open job.
struct JobLoad<'a> {
    job: &'a Job,
    need: Resources,
    /// Expected run time of a task, in seconds.
    run_s: f64,
    /// Whether `run_s` is short in comparison with the boot time of machines.
    short_running: bool,
    /// Number of tasks of the job's size that fit within the team's limit beside the team's more
    /// urgent jobs.
    allowed: u64,
    /// Tasks that are on machines, granted or being granted.
    running: u32,
}

impl OpenLoad {
    /// Adds a job to the samples. Gangs and short-running work count in full from their arrival for
    /// one run time, whether their tasks run or wait. Long-running work counts while its tasks run,
    /// and the largest gang while its job is open.
    fn add(&mut self, cluster: &ClusterView<'_>, load: &JobLoad<'_>) {
        let spec = &load.job.spec;
        let within_first_run_time =
            (since_accepted_ms(cluster, load.job) as f64) < load.run_s * 1000.0;
        let cores = load.need.cores.0;
        if spec.kind == JobKind::Gang {
            let total_cores = Cores(cores * u64::from(spec.task_count));
            let gangs = &mut self.gangs[usize::from(spec.allows_spot)];
            if within_first_run_time {
                gangs.total.0 += total_cores.0;
            }
            gangs.largest = total_cores.max(gangs.largest);
        } else if load.short_running && within_first_run_time {
            let total_cores = cores * u64::from(spec.task_count).min(load.allowed);
            self.work.short_running.0 += total_cores;
            self.work.urgent.0 += if spec.priority <= Priority::High { total_cores } else { 0 };
        }
        if !load.short_running {
            self.work.long_running.0 += cores * u64::from(load.running);
        }
    }
}

impl Leader {
    /// Decides which machines to scale out and which to scale in.
    pub(super) fn decide_scaling(
        &mut self,
        inputs: &EpochInputs<'_>,
        targets: &[PlacementTarget],
        epoch: &Epoch,
    ) {
        let now = inputs.cluster.now;
        let (pending, load) = self.pending_work(inputs, epoch);
        let market = &mut self.retained.market;
        market.record_load(now, load.work);
        let [ordinary, spot] = load.gangs;
        market.record_gangs(now, ordinary, spot);
        let machines = self.machine_usage(inputs, targets);
        let market = &mut self.retained.market;
        self.scaling.decision =
            autoscaler::decide(now, inputs.cluster.catalog, &machines, &pending, market);
        market.record_surplus(now, self.scaling.decision.has_surplus);
    }

    /// Returns the number of tasks of each job that are on machines, granted or being granted.
    fn running_tasks(&self, inputs: &EpochInputs<'_>, epoch: &Epoch) -> FxHashMap<JobId, u32> {
        let on_machines = inputs.on_machines;
        let granting: FxHashSet<TaskId> = epoch.grants.iter().map(|new| new.task).collect();
        let granted = self.task_grants.granted.keys().chain(granting.iter());
        let granted = granted.filter(|task| !on_machines.contains_key(task));
        let mut running: FxHashMap<JobId, u32> = FxHashMap::default();
        for task in on_machines.keys().chain(granted) {
            *running.entry(task.job).or_default() += 1;
        }
        running
    }

    /// Returns the open jobs, most urgent first, with the number of their tasks to start that their
    /// teams' limits allow. Also returns the load that the open jobs offer.
    fn pending_work<'a>(
        &self,
        inputs: &EpochInputs<'a>,
        epoch: &Epoch,
    ) -> (Vec<PendingWork<'a>>, OpenLoad) {
        let cluster = inputs.cluster;
        let mut team_headroom: HashMap<&str, u64> = HashMap::new();
        for team in &cluster.settings.params.teams {
            let limit = team.core_limit().map_or(u64::MAX, |limit| limit.0);
            team_headroom.insert(&team.name, limit);
        }
        let running_tasks = self.running_tasks(inputs, epoch);
        let mut jobs: Vec<&Job> = cluster.replica.jobs.values().collect();
        jobs.sort_by_key(|job| (job.spec.priority, job.at, job.spec.id));
        let mut pending = Vec::new();
        let mut open_load = OpenLoad::default();
        for job in jobs {
            let need = Resources::of(&job.spec);
            let headroom = team_headroom.get_mut(job.spec.team.as_str());
            let allowed = headroom.as_ref().map_or(0, |cores| **cores / need.cores.0.max(1));
            let wanted = u64::from(job.remaining()).min(allowed) as u32;
            if let Some(cores) = headroom {
                *cores = cores.saturating_sub(need.cores.0 * u64::from(wanted));
            }
            let run_s = self.expected_run_s(job);
            let short_running = autoscaler::is_short_running(cluster.catalog, &job.spec, run_s);
            let running = running_tasks.get(&job.spec.id).copied().unwrap_or(0);
            open_load.add(cluster, &JobLoad { job, need, run_s, short_running, allowed, running });
            pending.push(PendingWork {
                spec: &job.spec,
                tasks: wanted.saturating_sub(running),
                running,
                run_s,
                short_running,
            });
        }
        (pending, open_load)
    }

    /// Returns the machines with their free resources and their states, as the autoscaler needs them.
    fn machine_usage(
        &self,
        inputs: &EpochInputs<'_>,
        targets: &[PlacementTarget],
    ) -> Vec<MachineUsage> {
        let now = inputs.cluster.now;
        let targets: HashMap<&MachineId, &PlacementTarget> =
            targets.iter().map(|target| (&target.id, target)).collect();
        let machines = inputs.fleet.machines.iter().map(|(id, machine)| {
            let machine_type = inputs.cluster.catalog.get(&machine.offer.machine_type);
            let offered = machine_type.map(Resources::offered).unwrap_or_default();
            let target = targets.get(id);
            let closed = target.is_none_or(|target| !target.schedulable);
            MachineUsage {
                id: id.clone(),
                offer: machine.offer.clone(),
                booting: !machine.up,
                age_s: now.since(machine.provisioned_at) as f64 / 1000.0,
                free: target.map_or(offered, |target| target.free),
                idle_s: now.since(machine.last_busy) as f64 / 1000.0,
                reserved: self.gangs.reserved.binary_search(id).is_ok(),
                unavailable: machine.draining.is_some() || machine.failed || (machine.up && closed),
            }
        });
        machines.collect()
    }

    /// Starts to drain the machines that are to be scaled in.
    pub(super) fn drain_for_scale_in(&mut self) {
        let next_plan = self.plans.next();
        for id in &self.scaling.decision.scale_in {
            let machine = self.fleet.machines.get_mut(id);
            if let Some(machine) = machine.filter(|machine| machine.draining.is_none()) {
                tracing::info!(machine = %id, "started to drain an idle machine");
                machine.draining = Some(next_plan);
            }
        }
    }

    /// Takes the machines to request now. Each decision is handed out once, so nothing is requested
    /// twice.
    pub fn take_scale_out(&mut self) -> Vec<RequestedMachines> {
        std::mem::take(&mut self.scaling.decision.scale_out)
    }

    /// Discards a scale-out that was decided before the cloud answered the previous request, and makes
    /// a new decision due.
    pub fn discard_scale_out(&mut self) {
        if !self.scaling.decision.scale_out.is_empty() {
            self.scaling.decision.scale_out.clear();
            self.scaling.decided_at = None;
        }
    }
}
