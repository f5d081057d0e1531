//! The leader's decisions as its standbys mirror them, and the state that a new leader takes over
//! from them.

use std::collections::{BTreeMap, BTreeSet};

use willowshore_standby::decisions::{
    Admission, DecisionState, DecisionTarget, GangStep, JobNumber, MachineOfferRecord,
    MachineSpeed, RunTimeRatio, TaskNumber,
};
use willowshore_standby::status::VerificationCounts;

use super::machine_speed::{ClassRunTimes, MachineSlowdown};
use super::{ClusterView, Leader};
use crate::autoscaler::MachineOffer;
use crate::model::{JobId, MachineId, NodeId, TaskId, WallTime};

/// Times of day are computed from the monotonic clock each time, and the results differ slightly. A
/// time that moved by less than these milliseconds counts as unchanged.
const TIME_TOLERANCE_MS: u64 = 2_000;
/// Largest ratio of actual to expected run times that is accepted from another controller.
const MAX_RUN_TIME_RATIO: f64 = 100.0;
/// Largest sum of a class's estimated run times, in seconds, that is accepted from another
/// controller as the weight of the class's ratio.
const MAX_RUN_TIME_WEIGHT_S: f64 = 1_000.0;

impl From<&MachineOffer> for MachineOfferRecord {
    fn from(offer: &MachineOffer) -> Self {
        MachineOfferRecord {
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        }
    }
}

impl From<&MachineOfferRecord> for MachineOffer {
    fn from(offer: &MachineOfferRecord) -> Self {
        MachineOffer {
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        }
    }
}

/// Returns the recorded time of day, `known`, if the computed one differs from it by less than
/// [`TIME_TOLERANCE_MS`], else the computed one.
fn stable_time(known: Option<WallTime>, computed: u64) -> WallTime {
    known.filter(|w| w.0.abs_diff(computed) < TIME_TOLERANCE_MS).unwrap_or(WallTime(computed))
}

/// Counts a decision as confirmed or as dropped, and returns whether it is confirmed.
fn count_verified(counts: &mut VerificationCounts, confirmed: bool) -> bool {
    let total = if confirmed { &mut counts.confirmed } else { &mut counts.dropped };
    *total += 1;
    confirmed
}

impl Leader {
    /// Returns the state that this leader's decisions amount to. `known` is the state that was
    /// recorded last.
    pub fn decision_target(
        &self,
        cluster: &ClusterView<'_>,
        known: &DecisionState,
    ) -> DecisionTarget {
        DecisionTarget {
            admissions: self.admissions(),
            grants: self.granted_controllers(),
            gangs: self.gang_steps(),
            provisioning: self.provisioning_machines(),
            returning: self.draining_machines(),
            run_times: self.run_time_ratios(),
            speeds: self.measured_speeds(),
            refusals: self.refusal_times(cluster, known),
            waiting: self.waiting_times(cluster, known),
            reserved: self.gangs.reserved.iter().cloned().collect(),
        }
    }

    /// Returns the number of admitted tasks of each job.
    fn admissions(&self) -> BTreeMap<JobNumber, Admission> {
        let shares = self.jobs.shares.iter();
        shares.map(|(job, share)| ((*job).into(), Admission { share: *share })).collect()
    }

    /// Returns the controller that each granted task is granted to.
    fn granted_controllers(&self) -> BTreeMap<TaskNumber, NodeId> {
        let granted = self.task_grants.granted.iter();
        granted.map(|(task, grant)| ((*task).into(), grant.node)).collect()
    }

    /// Returns the machines that were requested and are not up yet.
    fn provisioning_machines(&self) -> BTreeMap<MachineId, MachineOfferRecord> {
        let machines = self.fleet.machines.iter();
        let provisioning = machines.filter(|(_, machine)| !machine.up && !machine.failed);
        provisioning.map(|(id, machine)| (id.clone(), (&machine.offer).into())).collect()
    }

    /// Returns the machines that are being drained for their return to the cloud.
    fn draining_machines(&self) -> BTreeSet<MachineId> {
        let machines = self.fleet.machines.iter();
        let draining = machines.filter(|(_, machine)| machine.draining.is_some());
        draining.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the run times of each class of jobs, relative to the estimates.
    fn run_time_ratios(&self) -> BTreeMap<String, RunTimeRatio> {
        let classes = self.retained.class_run_times.iter();
        let ratios = classes.map(|(class, times)| {
            let ClassRunTimes { actual_s: sum, estimated_s: weight } = *times;
            (class.clone(), RunTimeRatio { sum, weight })
        });
        ratios.collect()
    }

    /// Returns the measured speeds of machines.
    fn measured_speeds(&self) -> BTreeMap<MachineId, MachineSpeed> {
        let speeds = self.retained.machine_slowdowns.iter();
        let measured = speeds.map(|(id, speed)| {
            let MachineSlowdown { ratio, tasks } = *speed;
            (id.clone(), MachineSpeed { ratio, tasks })
        });
        measured.collect()
    }

    /// Returns the offers that the cloud refused, with the time of day until which they are not
    /// requested.
    fn refusal_times(
        &self,
        cluster: &ClusterView<'_>,
        known: &DecisionState,
    ) -> BTreeMap<MachineOfferRecord, WallTime> {
        let refusals = self.retained.market.refusals(cluster.now);
        let times = refusals.map(|(offer, until)| {
            let offer = MachineOfferRecord::from(offer);
            let computed = cluster.wall.0 + until.since(cluster.now);
            let until = stable_time(known.refusals.entries().get(&offer).copied(), computed);
            (offer, until)
        });
        times.collect()
    }

    /// Returns the open jobs that hold no task, neither on a machine nor granted, with the time of day
    /// since when.
    fn waiting_times(
        &self,
        cluster: &ClusterView<'_>,
        known: &DecisionState,
    ) -> BTreeMap<JobNumber, WallTime> {
        let idle_since = self.jobs.idle_since.iter();
        let times = idle_since.map(|(job, since)| {
            let computed = cluster.wall.0.saturating_sub(cluster.now.since(*since));
            let known = known.waiting.entries().get(&(*job).into()).copied();
            ((*job).into(), stable_time(known, computed))
        });
        times.collect()
    }

    /// Applies the decisions of the last leader as far as the replica confirms them or says nothing
    /// about them. They are hints: none is needed, and none says where a task is.
    pub fn apply_hints(
        &mut self,
        cluster: &ClusterView<'_>,
        state: &DecisionState,
    ) -> VerificationCounts {
        let mut counts = VerificationCounts::default();
        self.verify_decisions(cluster, state, &mut counts);
        self.apply_waiting_times(cluster, state, &mut counts);
        self.apply_speeds(cluster, state, &mut counts);
        counts.hints += self.apply_unrecorded(cluster, state);
        counts
    }

    /// Counts the decisions that are only compared with the state service's records and not
    /// applied.
    fn verify_decisions(
        &self,
        cluster: &ClusterView<'_>,
        state: &DecisionState,
        counts: &mut VerificationCounts,
    ) {
        let recorded = &self.task_grants.recorded;
        for task in state.grants.entries().keys().map(|t: &TaskNumber| TaskId::from(*t)) {
            count_verified(counts, recorded.get(&task.job).is_some_and(|r| r.contains(task.index)));
        }
        for job in state.admissions.entries().keys().chain(state.gangs.entries().keys()) {
            count_verified(counts, cluster.replica.jobs.contains_key(&(*job).into()));
        }
        for id in state.returning.entries().keys().chain(state.reserved.entries().keys()) {
            count_verified(counts, cluster.replica.is_machine_up(id));
        }
    }

    /// Takes over since when open jobs have held no task, neither on a machine nor granted.
    fn apply_waiting_times(
        &mut self,
        cluster: &ClusterView<'_>,
        state: &DecisionState,
        counts: &mut VerificationCounts,
    ) {
        for (job, since) in state.waiting.entries() {
            let job = JobId::from(*job);
            if count_verified(counts, cluster.replica.jobs.contains_key(&job)) {
                let waited_ms = cluster.wall.0.saturating_sub(since.0);
                self.jobs.idle_since.insert(job, cluster.now.saturating_sub(waited_ms));
            }
        }
    }

    /// Takes over the speeds of machines that are up.
    fn apply_speeds(
        &mut self,
        cluster: &ClusterView<'_>,
        state: &DecisionState,
        counts: &mut VerificationCounts,
    ) {
        for (id, speed) in state.speeds.entries() {
            let in_bounds = (0.0..=MAX_RUN_TIME_RATIO).contains(&speed.ratio);
            if count_verified(counts, cluster.replica.is_machine_up(id) && in_bounds) {
                let speed = MachineSlowdown { ratio: speed.ratio, tasks: speed.tasks };
                self.retained.machine_slowdowns.insert(id.clone(), speed);
            }
        }
    }

    /// Takes over hints that the state service has no record of, and returns how many.
    fn apply_unrecorded(&mut self, cluster: &ClusterView<'_>, state: &DecisionState) -> u64 {
        let mut hints = 0;
        for (class, ratio) in state.run_times.entries() {
            let in_bounds = (0.0..=MAX_RUN_TIME_WEIGHT_S).contains(&ratio.weight)
                && (0.0..=MAX_RUN_TIME_RATIO * MAX_RUN_TIME_WEIGHT_S).contains(&ratio.sum);
            if in_bounds {
                let times = ClassRunTimes { actual_s: ratio.sum, estimated_s: ratio.weight };
                self.retained.class_run_times.insert(class.clone(), times);
                hints += 1;
            }
        }
        for (offer, until) in state.refusals.entries() {
            let remaining_ms = until.0.saturating_sub(cluster.wall.0);
            if remaining_ms > 0 {
                self.retained.market.merge_refusal(
                    &MachineOffer::from(offer),
                    cluster.now,
                    remaining_ms,
                );
                hints += 1;
            }
        }
        for (id, offer) in state.provisioning.entries() {
            let known = cluster.replica.machines.contains_key(id);
            if !known && cluster.catalog.contains_key(&offer.machine_type) {
                self.fleet.add_provisioned(
                    cluster.now,
                    std::slice::from_ref(id),
                    &MachineOffer::from(offer),
                );
                hints += 1;
            }
        }
        hints
    }

    /// Returns the gangs that are granted or being stopped.
    fn gang_steps(&self) -> BTreeMap<JobNumber, GangStep> {
        let granted = self
            .gangs
            .granted
            .iter()
            .map(|(job, gang)| ((*job).into(), GangStep::Granted(gang.attempt())));
        let stopping = self
            .gangs
            .pending_stops
            .iter()
            .map(|(job, pending)| ((*job).into(), GangStep::Stopping(pending.stop.before)));
        granted.chain(stopping).collect()
    }
}
