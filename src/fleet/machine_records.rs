//! What the leader records of each machine besides its heartbeats: from scale-out or the cloud's list until the
//! cloud confirms that it is gone.

use std::collections::HashSet;
use std::rc::Rc;

use super::{Fleet, RemovedMachine};
use crate::autoscaler::MachineOffer;
use crate::cluster_view::ClusterView;
use crate::model::{AgentEpoch, MachineId, MonotonicTime, PlanSeq};
use crate::wire::{self, MachineListPage};

/// Milliseconds within which a machine must lose its agent epoch twice to be taken for one that is not worth
/// keeping.
const LOSING_MS: u64 = 60_000;
/// Milliseconds beyond twice the lag of the cloud's list before a machine counts as missing in it.
const LIST_MARGIN_MS: u64 = 2_000;
/// Removed machines that are remembered so that plans can name them; a controller that missed more is sent all
/// owners anew.
pub(super) const REMOVED_KEPT: usize = 400;

/// What is known of a machine besides its heartbeats.
#[derive(Clone, Debug)]
pub struct FleetMachine {
    /// The offer that it is of.
    pub offer: MachineOffer,
    /// When it was scaled out, as far as known.
    pub rented_at: MonotonicTime,
    /// Whether it has sent a heartbeat.
    pub up: bool,
    /// Where its worker listens, once it is up.
    pub endpoint: Rc<str>,
    /// When something last ran on it.
    pub last_busy: MonotonicTime,
    /// The plan from which on it accepts nothing new.
    pub draining: Option<PlanSeq>,
    /// Whether the cloud says that it stopped by itself.
    pub failed: bool,
    agent_epoch: AgentEpoch,
    /// When it last lost an agent epoch.
    epoch_lost_at: Option<MonotonicTime>,
    /// Whether it lost its agent epoch twice in a short time.
    pub losing_epochs: bool,
    /// When the cloud first listed it.
    first_listed: Option<MonotonicTime>,
    /// Whether a later list does not have it any more.
    pub missing: bool,
}

impl FleetMachine {
    fn new(now: MonotonicTime, offer: MachineOffer) -> Self {
        FleetMachine {
            offer,
            rented_at: now,
            up: false,
            endpoint: "".into(),
            last_busy: now,
            draining: None,
            failed: false,
            agent_epoch: AgentEpoch(0),
            epoch_lost_at: None,
            losing_epochs: false,
            first_listed: None,
            missing: false,
        }
    }

    /// Follows the agent epoch that its heartbeats carry; a newer one ends the one before.
    fn follow_agent_epoch(&mut self, now: MonotonicTime, reported: AgentEpoch) {
        if reported <= self.agent_epoch {
            return;
        }
        if self.agent_epoch > AgentEpoch(0) {
            self.losing_epochs |= self.epoch_lost_at.is_some_and(|at| now.since(at) < LOSING_MS);
            self.epoch_lost_at = Some(now);
        }
        self.agent_epoch = reported;
    }
}

impl Fleet {
    /// Whether the cloud confirmed that a machine is gone, in this term or on record.
    pub(super) fn is_gone(&self, cluster: &ClusterView<'_>, id: &MachineId) -> bool {
        self.terminated.contains(id) || cluster.replica.is_machine_gone(id)
    }

    /// Adds a machine unless it is known.
    pub(super) fn add_machine(&mut self, now: MonotonicTime, id: &MachineId, offer: MachineOffer) {
        if !self.machines.contains_key(id) {
            self.machines.insert(id.clone(), FleetMachine::new(now, offer));
        }
    }

    /// Adds machines that a scale-out request brought.
    pub fn add_provisioned(&mut self, now: MonotonicTime, ids: &[MachineId], offer: &MachineOffer) {
        for id in ids {
            if !self.terminated.contains(id) {
                self.add_machine(now, id, offer.clone());
            }
        }
    }

    /// Applies what the cloud's list says of a machine. The list is old: it only adds machines and shows
    /// failed ones.
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
            machine.rented_at = machine.rented_at.min(cluster.now.saturating_sub(age_ms));
            machine.first_listed.get_or_insert(cluster.now);
            machine.missing = false;
            machine.failed |= listed.state == wire::CloudMachineState::Failed;
        }
    }

    /// Applies a page of the cloud's list as a whole: the machines after `after`, up to its last one unless it
    /// is the last page. A machine that was listed once stays listed until it is gone, but a list may be older
    /// than the one before, by twice the lag at most. A missing machine is no proof that it is gone, only a
    /// reason to return it.
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
        let sure_ms = (cluster.settings.params.cloud.list_lag_s * 2_000.0) as u64 + LIST_MARGIN_MS;
        for (id, machine) in &mut self.machines {
            let covered =
                after.is_none_or(|after| id > after) && last.is_none_or(|last| id <= last);
            let sure = machine.first_listed.is_some_and(|at| cluster.now.since(at) > sure_ms);
            machine.missing |= covered && sure && !listed_ids.contains(id);
        }
    }

    /// The cloud confirmed that these machines and all on them are gone; `next` is the plan that will say so.
    pub fn remove_machines(&mut self, ids: &[MachineId], next: PlanSeq) {
        for id in ids {
            self.terminated.insert(id.clone());
            if self.owners.remove(id).is_some() {
                self.removed.push(RemovedMachine { id: id.clone(), since: next });
            }
            if self.removed.len() > REMOVED_KEPT {
                self.removed.remove(0);
            }
            self.unreconciled.remove(id);
            self.machines.remove(id);
            self.last_answers.remove(id);
            self.expired_leases.remove(id);
        }
    }

    /// Records from the owners' views whether machines are up, busy, and able to keep their agent epochs.
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
