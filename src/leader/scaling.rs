//! What the leader tells `capacity` of machines and of work that waits, and what it does with the answer.

use std::collections::HashMap;

use rustc_hash::{FxHashMap, FxHashSet};

use super::starvation::waiting_ms;
use super::{ClusterView, Epoch, Leader};
use crate::autoscaler;
use crate::autoscaler::{MachineOffer, MachineUsage, PendingWork};
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{Cores, JobId, MachineId, PlanSeq, TaskId};
use crate::offered_load::{GangSample, LoadSample};
use crate::placement::PlacementTarget;
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::{JobKind, Priority};

/// Time between two decisions on what to rent and return.
pub(super) const SCALING_PERIOD_MS: u64 = 1_000;

impl Leader {
    pub(super) fn decide_scaling(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        targets: &[PlacementTarget],
        epoch: &Epoch,
    ) {
        let now = cluster.now;
        let granting: FxHashSet<TaskId> = epoch.grants.iter().map(|g| g.0).collect();
        let mut wants: Vec<PendingWork<'_>> = Vec::new();
        let mut load = LoadSample::default();
        // Gangs that may not use spot machines, and those that may: all, and the largest.
        let mut gangs = [GangSample::default(); 2];
        let mut team_headroom: HashMap<&str, u64> = HashMap::new();
        for t in &cluster.settings.params.teams {
            let limit = t.core_limit().map_or(u64::MAX, |c| c.0);
            team_headroom.insert(&t.name, limit);
        }
        let mut held: FxHashMap<JobId, u32> = FxHashMap::default();
        let others = self.granted.keys().chain(granting.iter());
        for t in on_machines.keys().chain(others.filter(|t| !on_machines.contains_key(t))) {
            *held.entry(t.job).or_default() += 1;
        }
        let mut jobs: Vec<&Job> = cluster.replica.jobs.values().collect();
        jobs.sort_by_key(|j| (j.spec.priority, j.at, j.spec.id));
        for job in jobs {
            let need = Resources::of(&job.spec);
            let room = team_headroom.get_mut(job.spec.team.as_str());
            let can = room.as_ref().map_or(0, |r| **r / need.cores.0.max(1));
            let wanted = u64::from(job.remaining()).min(can) as u32;
            if let Some(r) = room {
                *r = r.saturating_sub(need.cores.0 * u64::from(wanted));
            }
            let run_s = self.run_s(job);
            let short_running = autoscaler::is_short_running(cluster.catalog, &job.spec, run_s);
            let age_ms = waiting_ms(cluster, job) as f64;
            let gang = job.spec.kind == JobKind::Gang;
            if gang {
                let cores = Cores(need.cores.0 * u64::from(job.spec.task_count));
                let sample = &mut gangs[usize::from(job.spec.allows_spot)];
                // It counts from its arrival for as long as it runs, wherever it is.
                if age_ms < run_s * 1000.0 {
                    sample.total.0 += cores.0;
                }
                sample.largest = cores.max(sample.largest);
            }
            if short_running && !gang && age_ms < run_s * 1000.0 {
                let cores = need.cores.0 * u64::from(job.spec.task_count).min(can);
                load.short_running.0 += cores;
                load.urgent.0 += if job.spec.priority <= Priority::High { cores } else { 0 };
            }
            let running = held.get(&job.spec.id).copied().unwrap_or(0);
            if !short_running {
                load.long_running.0 += need.cores.0 * u64::from(running);
            }
            wants.push(PendingWork {
                spec: &job.spec,
                tasks: wanted.saturating_sub(running),
                running,
                run_s,
                short_running,
            });
        }
        self.market.record_load(now, load);
        self.market.record_gangs(now, gangs[0], gangs[1]);
        let free: HashMap<&MachineId, &PlacementTarget> =
            targets.iter().map(|r| (&r.id, r)).collect();
        let machines: Vec<MachineUsage> = fleet
            .machines
            .iter()
            .map(|(id, m)| {
                let offered = cluster
                    .catalog
                    .get(&m.offer.machine_type)
                    .map(Resources::offered)
                    .unwrap_or_default();
                let room = free.get(id);
                MachineUsage {
                    id: id.clone(),
                    offer: m.offer.clone(),
                    booting: !m.up,
                    age_s: now.since(m.rented_at) as f64 / 1000.0,
                    free: room.map_or(offered, |r| r.free),
                    idle_s: now.since(m.last_busy) as f64 / 1000.0,
                    reserved: self.reserved.binary_search(id).is_ok(),
                    leaving: m.draining.is_some()
                        || m.failed
                        || (m.up && room.is_none_or(|r| !r.open)),
                }
            })
            .collect();
        self.decision = autoscaler::decide(now, cluster.catalog, &machines, &wants, &self.market);
        self.market.record_surplus(now, self.decision.has_surplus);
    }

    /// Drains the machines that are to be returned.
    pub(super) fn drain_for_scale_in(&mut self) {
        let next = PlanSeq(self.seq.0 + 1);
        for id in &self.decision.scale_in {
            if let Some(m) = self.fleet.machines.get_mut(id).filter(|m| m.draining.is_none()) {
                tracing::info!(machine = %id, "draining an idle machine");
                m.draining = Some(next);
            }
        }
    }

    /// What to rent now. Asked once per decision, so that nothing is rented twice.
    pub fn take_scale_out(&mut self) -> Vec<(MachineOffer, u32)> {
        std::mem::take(&mut self.decision.scale_out)
    }

    /// Forgets what was decided to be rented before the last rentals were known.
    pub fn decide_anew(&mut self) {
        if !self.decision.scale_out.is_empty() {
            self.decision.scale_out.clear();
            self.decided = None;
        }
    }
}
