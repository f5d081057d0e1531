//! The leader's decisions as its standbys follow them, and what a successor takes over of them.

use std::collections::{BTreeMap, BTreeSet};

use willowshore_standby::decisions::{
    Admission, DecisionState, DecisionTarget, GangStep, JobNumber, MachineOfferRecord,
    MachineSpeed, RunTimeRatio, TaskNumber,
};
use willowshore_standby::status::VerificationCounts;

use super::machine_speed::{ClassRunTimes, Speed};
use super::{ClusterView, Leader};
use crate::autoscaler::MachineOffer;
use crate::model::{JobId, MachineId, TaskId, WallTime};

/// A time of day is computed anew from the steady clock each time and then differs by a little. One that moved by
/// less than this is the same.
const SAME_TIME_MS: u64 = 2_000;
/// Bounds of what is believed of another controller's learned run times.
const MOST_RATIO: f64 = 100.0;
const MOST_WEIGHT: f64 = 1_000.0;

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

/// The time of day of a moment, or the one that is known of it already.
fn steady_time(known: Option<WallTime>, computed: u64) -> WallTime {
    known.filter(|w| w.0.abs_diff(computed) < SAME_TIME_MS).unwrap_or(WallTime(computed))
}

impl Leader {
    /// What the decisions of this leader add up to. `known` is what was recorded before.
    pub fn decision_target(
        &self,
        cluster: &ClusterView<'_>,
        known: &DecisionState,
    ) -> DecisionTarget {
        let machines = &self.fleet.machines;
        let speed = |s: &Speed| MachineSpeed { ratio: s.ratio, tasks: s.tasks };
        DecisionTarget {
            admissions: self
                .jobs
                .shares
                .iter()
                .map(|(job, share)| ((*job).into(), Admission { share: *share }))
                .collect(),
            grants: self
                .task_grants
                .granted
                .iter()
                .map(|(task, g)| ((*task).into(), g.node))
                .collect(),
            gangs: self.gang_steps(),
            provisioning: machines
                .iter()
                .filter(|(_, m)| !m.up && !m.failed)
                .map(|(id, m)| (id.clone(), MachineOfferRecord::from(&m.offer)))
                .collect(),
            returning: machines
                .iter()
                .filter(|(_, m)| m.draining.is_some())
                .map(|(id, _)| id.clone())
                .collect(),
            run_times: self
                .remembered
                .class_run_times
                .iter()
                .map(|(class, times)| {
                    let ClassRunTimes { actual_s: sum, estimated_s: weight } = *times;
                    (class.clone(), RunTimeRatio { sum, weight })
                })
                .collect(),
            speeds: self
                .remembered
                .machine_speeds
                .iter()
                .map(|(id, s)| (id.clone(), speed(s)))
                .collect(),
            refusals: self.refusal_times(cluster, known),
            waiting: self.waiting_times(cluster, known),
            reserved: self.gangs.reserved.iter().cloned().collect::<BTreeSet<MachineId>>(),
        }
    }

    /// Until when offers are not asked for, by the time of day.
    fn refusal_times(
        &self,
        cluster: &ClusterView<'_>,
        known: &DecisionState,
    ) -> BTreeMap<MachineOfferRecord, WallTime> {
        let refusals = self.remembered.market.refusals(cluster.now);
        let times = refusals.map(|(offer, until)| {
            let offer = MachineOfferRecord::from(offer);
            let computed = cluster.wall.0 + until.since(cluster.now);
            let until = steady_time(known.refusals.entries().get(&offer).copied(), computed);
            (offer, until)
        });
        times.collect()
    }

    /// Since when jobs have had no task anywhere, by the time of day.
    fn waiting_times(
        &self,
        cluster: &ClusterView<'_>,
        known: &DecisionState,
    ) -> BTreeMap<JobNumber, WallTime> {
        let idle_since = self.jobs.idle_since.iter();
        let times = idle_since.map(|(job, since)| {
            let computed = cluster.wall.0.saturating_sub(cluster.now.since(*since));
            let known = known.waiting.entries().get(&(*job).into()).copied();
            ((*job).into(), steady_time(known, computed))
        });
        times.collect()
    }

    /// Applies what another leader's decisions are good for once the replica has been asked about them. None of it is
    /// needed, and nothing of it says where a task is.
    pub fn apply_hints(
        &mut self,
        cluster: &ClusterView<'_>,
        state: &DecisionState,
    ) -> VerificationCounts {
        let mut counts = VerificationCounts::default();
        let mut record = |confirmed: bool| {
            let count = if confirmed { &mut counts.confirmed } else { &mut counts.dropped };
            *count += 1;
            confirmed
        };
        let open = |job: JobId| cluster.replica.jobs.contains_key(&job);
        let recorded = &self.task_grants.recorded;
        for task in state.grants.entries().keys().map(|t: &TaskNumber| TaskId::from(*t)) {
            record(recorded.get(&task.job).is_some_and(|r| r.contains(task.index)));
        }
        for job in state.admissions.entries().keys() {
            record(open((*job).into()));
        }
        for job in state.gangs.entries().keys() {
            record(open((*job).into()));
        }
        for (job, since) in state.waiting.entries() {
            let job = JobId::from(*job);
            if record(open(job)) {
                self.jobs
                    .idle_since
                    .insert(job, cluster.now.less(cluster.wall.0.saturating_sub(since.0)));
            }
        }
        for (id, speed) in state.speeds.entries() {
            if record(
                cluster.replica.is_machine_up(id) && (0.0..=MOST_RATIO).contains(&speed.ratio),
            ) {
                self.remembered
                    .machine_speeds
                    .insert(id.clone(), Speed { ratio: speed.ratio, tasks: speed.tasks });
            }
        }
        for id in state.returning.entries().keys().chain(state.reserved.entries().keys()) {
            record(cluster.replica.is_machine_up(id));
        }
        counts.hints += self.apply_unrecorded(cluster, state);
        counts
    }

    /// Applies hints about what the store has no record of, and says how many.
    fn apply_unrecorded(&mut self, cluster: &ClusterView<'_>, state: &DecisionState) -> u64 {
        let mut hints = 0;
        for (class, ratio) in state.run_times.entries() {
            let sound = (0.0..=MOST_WEIGHT).contains(&ratio.weight)
                && (0.0..=MOST_RATIO * MOST_WEIGHT).contains(&ratio.sum);
            if sound {
                let times = ClassRunTimes { actual_s: ratio.sum, estimated_s: ratio.weight };
                self.remembered.class_run_times.insert(class.clone(), times);
                hints += 1;
            }
        }
        for (offer, until) in state.refusals.entries() {
            let left_ms = until.0.saturating_sub(cluster.wall.0);
            if left_ms > 0 {
                self.remembered.market.merge_refusal(
                    &MachineOffer::from(offer),
                    cluster.now,
                    left_ms,
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

    /// Where gangs under way are.
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
