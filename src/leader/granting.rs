//! Admission of jobs, and the grants that follow from their shares.
//!
//! Admission ([`admission::admit`]) chooses a waterline, which is a rank: jobs of better ranks are admitted, jobs
//! of worse ranks wait, and at the waterline itself the most important jobs are admitted while cores last.
//! Shares maximize the summed importance of the admitted jobs (`docs/design.md`). Grants take effect only once
//! the epoch is on record.

use std::collections::HashSet;

use super::Leader;
use super::allocation::{EpochAllocation, GrantRequest};
use super::importance::AdmissionContext;
use super::inputs::EpochInputs;
use super::starvation::STARVED_WEIGHT;
use super::task_grants::JobTaskCounts;
use super::team_usage::TeamUsage;
use crate::admission::{self, Admission, CoreLimits, Demand};
use crate::cluster_view::ClusterView;
use crate::fleet::Fleet;
use crate::model::{Cores, JobId};
use crate::peer::WaitReason;
use crate::resources::Resources;
use crate::wire::JobKind;

/// Share of its limit from which a team counts as being at the limit.
const AT_LIMIT: f64 = 0.5;

/// Returns the jobs that at least one controller reports as failing wherever they are tried.
fn failing_jobs(fleet: &Fleet) -> HashSet<JobId> {
    fleet.controllers.values().flat_map(|node| node.failing.iter().map(|job| JobId(*job))).collect()
}

/// Returns whether each team is at its limit, by the team's index in the settings.
fn teams_at_limit(cluster: &ClusterView<'_>, team_usage: &[TeamUsage]) -> Vec<bool> {
    let teams = cluster.settings.params.teams.iter().zip(team_usage);
    let at_limit =
        |limit: Cores, used: &TeamUsage| used.total().cores.amount() >= limit.amount() * AT_LIMIT;
    teams.map(|(team, used)| team.core_limit().is_some_and(|limit| at_limit(limit, used))).collect()
}

/// Returns the bounds of admission: the cores of open machines, and the limits of the teams.
fn bounds(cluster: &ClusterView<'_>, allocation: &EpochAllocation) -> CoreLimits {
    // Granted tasks that wait for an expected release count as held by their jobs. The cores of expected
    // releases are therefore added twice: once for these tasks, and once so that urgent work finds as many
    // cores beside them.
    let awaited = Cores(allocation.expected_cores.0 * 2);
    let open = allocation.targets.iter().filter(|target| target.schedulable);
    let total = open.fold(awaited, |sum, target| {
        let machine_type = cluster.catalog.get(&*target.machine_type);
        Cores(sum.0 + machine_type.map_or(0, |offered| Cores::round_down(offered.vcpus).0))
    });
    let teams = cluster.settings.params.teams.iter().map(|team| team.core_limit()).collect();
    CoreLimits { total, teams }
}

/// Returns the admitted demands in the order in which they are granted.
fn granting_order<'a>(demands: &'a [Demand], admission: &Admission) -> Vec<&'a Demand> {
    let mut order: Vec<&Demand> =
        demands.iter().filter(|demand| admission.shares.contains_key(&demand.job)).collect();
    order.sort_by(|a, b| {
        (a.rank, !a.required)
            .cmp(&(b.rank, !b.required))
            .then(b.weight.total_cmp(&a.weight))
            .then(a.job.cmp(&b.job))
    });
    order
}

impl Leader {
    /// Admits jobs and grants tasks up to their shares.
    pub(super) fn grant(&mut self, inputs: &EpochInputs<'_>, allocation: &mut EpochAllocation) {
        let cluster = inputs.cluster;
        let counts = self.task_grants.counts(inputs.on_machines);
        let failing = failing_jobs(inputs.fleet);
        self.record_idle_jobs(cluster, &counts);
        let at_limit = teams_at_limit(cluster, &allocation.team_usage);
        let context = AdmissionContext { counts: &counts, failing: &failing, at_limit: &at_limit };
        let demands = self.demands(cluster, &context);
        let admission = admission::admit(&demands, &bounds(cluster, allocation));
        self.jobs.wait_reasons.clear();
        for job in &admission.waiting {
            self.jobs.wait_reasons.insert(*job, WaitReason::BelowWaterline);
        }
        self.hold_back_for_starved(cluster, &demands, &counts, allocation);
        for demand in granting_order(&demands, &admission) {
            let share = admission.shares.get(&demand.job).copied().unwrap_or(0);
            if cluster.replica.jobs.contains_key(&demand.job) {
                self.record_wait_reasons(demand, share, &context);
                self.grant_share(inputs, demand, share, &counts, allocation);
            }
        }
        self.jobs.shares = admission.shares;
    }

    /// Records why an admitted job may still wait.
    fn record_wait_reasons(&mut self, demand: &Demand, share: u32, context: &AdmissionContext<'_>) {
        let wait_reasons = &mut self.jobs.wait_reasons;
        if context.counts.get(&demand.job).is_some_and(|counts| counts.unresolved > 0) {
            wait_reasons.insert(demand.job, WaitReason::TasksPossiblyRunning);
        }
        if context.failing.contains(&demand.job) {
            wait_reasons.insert(demand.job, WaitReason::Failing);
        }
        if share < demand.max_tasks {
            wait_reasons.entry(demand.job).or_insert(WaitReason::NoFreeMachines);
        }
    }

    /// Grants the tasks that a job lacks of its share.
    fn grant_share(
        &mut self,
        inputs: &EpochInputs<'_>,
        demand: &Demand,
        share: u32,
        counts: &JobTaskCounts,
        allocation: &mut EpochAllocation,
    ) {
        let Some(job) = inputs.cluster.replica.jobs.get(&demand.job) else { return };
        let held = counts.get(&demand.job).map_or(0, |counts| counts.held);
        let request = GrantRequest {
            job,
            need: Resources::of(&job.spec),
            team: demand.team,
            held,
            count: share.saturating_sub(held) as usize,
            // A starved job needs room on a machine, as expected releases may never be large enough for it.
            may_await_release: demand.weight < STARVED_WEIGHT,
        };
        match job.spec.kind {
            JobKind::Gang => self.grant_gang(inputs, &request, allocation),
            JobKind::Array | JobKind::Service => self.grant_tasks(inputs, &request, allocation),
        }
    }
}
