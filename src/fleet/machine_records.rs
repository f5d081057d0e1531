//! The leader's record of each machine besides its heartbeats, from provisioning or the cloud's
//! list until the cloud confirms the machine's termination.

use std::collections::HashSet;
use std::rc::Rc;

use super::{Fleet, RemovedMachine};
use crate::autoscaler::MachineOffer;
use crate::cluster_view::ClusterView;
use crate::model::{AgentEpoch, MachineId, MonotonicTime, PlanSeq};
use crate::wire::{self, MachineListPage};

/// Milliseconds within which a machine must lose its agent epoch twice to count as unreliable and
/// be returned.
const EPOCH_LOSS_WINDOW_MS: u64 = 60_000;
/// Milliseconds beyond twice the lag of the cloud's list before an unlisted machine counts as
/// missing.
const LIST_LAG_MARGIN_MS: u64 = 2_000;
/// Maximum number of removed machines kept for incremental plans. A controller that missed more
/// removals receives the full list of owners.
pub(super) const MAX_REMOVED_MACHINES: usize = 400;

/// Leader's record of a machine besides its heartbeats.
#[derive(Clone, Debug)]
pub struct FleetMachine {
    /// Offer that the machine was provisioned from.
    pub offer: MachineOffer,
    /// Time of provisioning, as far as known.
    pub provisioned_at: MonotonicTime,
    /// Whether the machine has sent a heartbeat.
    pub up: bool,
    /// Address of the machine's worker; empty until the machine is up.
    pub endpoint: Rc<str>,
    /// Time at which the machine last held a task or came up.
    pub last_busy: MonotonicTime,
    /// First plan from which on the machine accepts no new tasks.
    pub draining: Option<PlanSeq>,
    /// Whether the cloud listed the machine as failed.
    pub failed: bool,
    /// Newest agent epoch in the machine's heartbeats.
    agent_epoch: AgentEpoch,
    /// Time at which the machine last lost its agent epoch.
    epoch_lost_at: Option<MonotonicTime>,
    /// Whether the machine lost its agent epoch twice within `EPOCH_LOSS_WINDOW_MS`.
    pub repeatedly_lost_epoch: bool,
    /// Time at which the cloud first listed the machine.
    first_listed: Option<MonotonicTime>,
    /// Whether a later list of the cloud lacks the machine.
    pub missing: bool,
}

impl FleetMachine {
    fn new(now: MonotonicTime, offer: MachineOffer) -> Self {
        FleetMachine {
            offer,
            provisioned_at: now,
            up: false,
            endpoint: "".into(),
            last_busy: now,
            draining: None,
            failed: false,
            agent_epoch: AgentEpoch(0),
            epoch_lost_at: None,
            repeatedly_lost_epoch: false,
            first_listed: None,
            missing: false,
        }
    }

    /// Records the agent epoch from a heartbeat. A newer epoch means that the previous one ended.
    fn follow_agent_epoch(&mut self, now: MonotonicTime, reported: AgentEpoch) {
        if reported <= self.agent_epoch {
            return;
        }
        if self.agent_epoch > AgentEpoch(0) {
            self.repeatedly_lost_epoch |=
                self.epoch_lost_at.is_some_and(|at| now.since(at) < EPOCH_LOSS_WINDOW_MS);
            self.epoch_lost_at = Some(now);
        }
        self.agent_epoch = reported;
    }
}

impl Fleet {
    /// Whether the cloud confirmed a machine's termination, in this term or in the stored record.
    pub(super) fn is_gone(&self, cluster: &ClusterView<'_>, id: &MachineId) -> bool {
        self.terminated.contains(id) || cluster.replica.is_machine_gone(id)
    }

    /// Adds a machine unless it is known.
    pub(super) fn add_machine(&mut self, now: MonotonicTime, id: &MachineId, offer: MachineOffer) {
        if !self.machines.contains_key(id) {
            self.machines.insert(id.clone(), FleetMachine::new(now, offer));
        }
    }

    /// Adds the machines from the response to a scale-out request.
    pub fn add_provisioned(&mut self, now: MonotonicTime, ids: &[MachineId], offer: &MachineOffer) {
        for id in ids {
            if !self.terminated.contains(id) {
                self.add_machine(now, id, offer.clone());
            }
        }
    }

    /// Applies one entry of the cloud's list. The list lags behind, so an entry only adds a machine
    /// or marks a machine as failed.
    fn apply_listed(&mut self, cluster: &ClusterView<'_>, listed: &wire::ListedMachine) {
        if self.is_gone(cluster, &listed.id) {
            return;
        }
        let offer = MachineOffer {
            machine_type: listed.machine_type.clone(),
            zone: listed.zone.clone(),
            spot: listed.spot,
        };
        let age_ms = (listed.age_s.max(0.0) * 1000.0) as u64;
        self.add_machine(cluster.now, &listed.id, offer);
        if let Some(machine) = self.machines.get_mut(&listed.id) {
            machine.provisioned_at = machine.provisioned_at.min(cluster.now.less(age_ms));
            machine.first_listed.get_or_insert(cluster.now);
            machine.missing = false;
            machine.failed |= listed.state == wire::CloudMachineState::Failed;
        }
    }

    /// Applies a page of the cloud's list as a whole. The page covers the machines after `after` up
    /// to its last entry, or to the end if it is the last page. A machine that was listed once
    /// stays listed until it is terminated, but a list may be older than the previous one by up to
    /// twice the lag. A missing entry does not prove termination; it is only a reason to return the
    /// machine.
    pub fn apply_list_page(
        &mut self,
        cluster: &ClusterView<'_>,
        after: Option<&MachineId>,
        page: &MachineListPage,
    ) {
        page.machines.iter().for_each(|listed| self.apply_listed(cluster, listed));
        let listed_ids: HashSet<&MachineId> =
            page.machines.iter().map(|listed| &listed.id).collect();
        let last = page.machines.last().map(|listed| &listed.id).filter(|_| page.truncated);
        let min_listed_ms =
            (cluster.settings.params.cloud.list_lag_s * 2_000.0) as u64 + LIST_LAG_MARGIN_MS;
        for (id, machine) in &mut self.machines {
            let in_page_range =
                after.is_none_or(|after| id > after) && last.is_none_or(|last| id <= last);
            let listed_long_enough =
                machine.first_listed.is_some_and(|at| cluster.now.since(at) > min_listed_ms);
            machine.missing |= in_page_range && listed_long_enough && !listed_ids.contains(id);
        }
    }

    /// Removes machines whose termination the cloud confirmed; `next_plan` is the first plan that
    /// reports the removal.
    pub fn remove_machines(&mut self, ids: &[MachineId], next_plan: PlanSeq) {
        for id in ids {
            self.terminated.insert(id.clone());
            if self.owners.remove(id).is_some() {
                self.removed.push(RemovedMachine { id: id.clone(), since: next_plan });
            }
            if self.removed.len() > MAX_REMOVED_MACHINES {
                self.removed.remove(0);
            }
            self.unreconciled.remove(id);
            self.machines.remove(id);
            self.last_answers.remove(id);
            self.expired_leases.remove(id);
        }
    }

    /// Records from the owners' views whether machines are up, busy, and able to keep their agent
    /// epochs.
    pub fn record_heartbeats(&mut self, now: MonotonicTime) {
        let mut machines = std::mem::take(&mut self.machines);
        for view in self.views() {
            let Some(machine) = machines.get_mut(&view.id) else { continue };
            if !machine.up || !view.tasks.is_empty() {
                machine.last_busy = now;
            }
            machine.up = true;
            if machine.endpoint.is_empty() {
                machine.endpoint = view.endpoint.clone();
            }
            machine.follow_agent_epoch(now, view.agent_epoch);
        }
        self.machines = machines;
    }
}
