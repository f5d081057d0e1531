//! Admission, and the grants that follow from each job's share.

use std::collections::HashSet;

use super::starvation::STARVED_WEIGHT;
use super::{EpochAllocation, Leader};
use crate::admission::{self, Bounds, Demand};
use crate::cluster_view::ClusterView;
use crate::fleet::{Fleet, TasksOnMachines};
use crate::model::{Cores, JobId};
use crate::peer::WaitReason;
use crate::wire::JobKind;

/// Part of its limit from which on a team counts as being at it.
const AT_LIMIT: f64 = 0.5;

impl Leader {
    pub(super) fn grant(
        &mut self,
        cluster: &ClusterView<'_>,
        fleet: &Fleet,
        on_machines: &TasksOnMachines<'_>,
        mut allocation: EpochAllocation,
    ) -> EpochAllocation {
        let counts = std::mem::take(&mut allocation.counts);
        let failing: HashSet<JobId> =
            fleet.nodes.values().flat_map(|n| n.failing.iter().map(|j| JobId(*j))).collect();
        self.note_idle(cluster, &counts);
        let teams = cluster.settings.params.teams.iter().zip(&allocation.used);
        let at_limit: Vec<bool> = teams
            .map(|(t, used)| {
                t.core_limit().is_some_and(|l| used.0.amount() >= l.amount() * AT_LIMIT)
            })
            .collect();
        let demands = self.demands(cluster, &counts, &failing, &at_limit);
        // What waits for a place counts as held, so urgent work finds as much again beside it.
        let bounds = Bounds {
            held: allocation.targets.iter().fold(Cores(allocation.extra.0 * 2), |sum, r| {
                let total = cluster
                    .catalog
                    .get(&*r.machine_type)
                    .map_or(Cores(0), |f| Cores::offer(f.vcpus));
                Cores(sum.0 + if r.open { total.0 } else { 0 })
            }),
            teams: cluster.settings.params.teams.iter().map(|t| t.core_limit()).collect(),
        };
        let admission = admission::admit(&demands, &bounds);
        self.wait_reasons.clear();
        for job in &admission.waiting {
            self.wait_reasons.insert(*job, WaitReason::BelowWaterline);
        }
        let mut order: Vec<&Demand> =
            demands.iter().filter(|d| admission.shares.contains_key(&d.job)).collect();
        order.sort_by(|a, b| {
            (a.rank, !a.required)
                .cmp(&(b.rank, !b.required))
                .then(b.weight.total_cmp(&a.weight))
                .then(a.job.cmp(&b.job))
        });
        self.reserve_for_starved(cluster, &demands, &counts, &mut allocation);
        for d in order {
            let share = admission.shares.get(&d.job).copied().unwrap_or(0);
            let (held, unresolved) = counts.get(&d.job).copied().unwrap_or_default();
            let Some(job) = cluster.replica.jobs.get(&d.job) else {
                continue;
            };
            if unresolved > 0 {
                self.wait_reasons.insert(d.job, WaitReason::Unproven);
            }
            if failing.contains(&d.job) {
                self.wait_reasons.insert(d.job, WaitReason::Failing);
            }
            let more = share.saturating_sub(held) as usize;
            if share < d.max {
                self.wait_reasons.entry(d.job).or_insert(WaitReason::ForMachines);
            }
            if job.spec.kind == JobKind::Gang {
                self.grant_gang(
                    cluster,
                    fleet,
                    on_machines,
                    job,
                    d.team,
                    more,
                    held,
                    &mut allocation,
                );
            } else {
                // What has waited long needs a machine, as small places may never hold it.
                let ahead = d.weight < STARVED_WEIGHT;
                self.grant_job(
                    cluster,
                    fleet,
                    on_machines,
                    job,
                    d.team,
                    more,
                    ahead,
                    &mut allocation,
                );
            }
        }
        self.shares = admission.shares;
        allocation
    }
}
