//! The leader's requests to the cloud: machine types and prices, scaling out and in, and the list of machines.
//!
//! A scale-out request is idempotent by its key. One whose outcome is not known is sent again under the same key until it
//! is, or until another controller leads: what came of it then shows up in the cloud's list of machines.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{debug, error, info, warn};

use super::Service;
use crate::autoscaler::{MachineOffer, RequestedMachines};
use crate::cloud::CloudError;
use crate::leader::Leader;
use crate::model::{Incarnation, MonotonicTime, Term};
use crate::replica;
use crate::wire::{ScaleOutRequest, Txn};

/// Most machines in one scale-out request, a limit of the cloud.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Pause of the loop while scale-out requests are open, and while there are none. Requests go out one at a time, and the
/// cloud's rate limit is observed by its client.
const BUSY_PERIOD: Duration = Duration::from_millis(50);
const IDLE_PERIOD: Duration = Duration::from_millis(400);
/// Time, in milliseconds, for which machine types and prices are used before they are read again.
const MACHINE_TYPES_MAX_AGE_MS: u64 = 30_000;
/// Pause after machine types could not be read.
const MACHINE_TYPES_RETRY: Duration = Duration::from_millis(600);
/// Bounds, in milliseconds, of the time between two readings of the cloud's list, which shows changes late by its lag.
const LIST_PERIOD_MS: (u64, u64) = (2_000, 10_000);
/// Status by which the cloud calls a request malformed.
const MALFORMED_STATUS: u16 = 400;

/// Whether the outcome of a scale-out request is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ScaleOutOutcome {
    /// Machines came, or the cloud refused for good.
    Known,
    /// The request may have been carried out, or was not sent; it has to be sent again.
    Unknown,
}

/// Scale-out requests that are on their way.
#[derive(Default)]
struct ScaleOutQueue {
    open: VecDeque<(ScaleOutRequest, MachineOffer)>,
    /// Keys of open requests that were sent without a known outcome.
    unknown: HashSet<String>,
    /// Numbers the idempotency keys of this process.
    counter: u32,
}

impl ScaleOutQueue {
    /// Queues requests for so many machines of an offer.
    fn push(&mut self, term: Term, incarnation: Incarnation, offer: &MachineOffer, count: u32) {
        let mut remaining = count;
        while remaining > 0 {
            let count = remaining.min(MAX_MACHINES_PER_REQUEST);
            remaining -= count;
            self.counter += 1;
            let request = ScaleOutRequest {
                idempotency_key: format!("r-{term}-{incarnation}-{}", self.counter),
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count,
            };
            self.open.push_back((request, offer.clone()));
        }
    }

    /// Puts a request without a known outcome behind the others.
    fn repeat(&mut self, request: ScaleOutRequest, offer: MachineOffer) {
        self.unknown.insert(request.idempotency_key.clone());
        self.open.push_back((request, offer));
    }

    /// Drops requests for an offer that is out of capacity, but for those that were sent without a known outcome.
    fn drop_unsent(&mut self, offer: &MachineOffer) {
        let unknown = &self.unknown;
        self.open.retain(|(r, o)| o != offer || unknown.contains(&r.idempotency_key));
    }
}

impl Service {
    /// As the leader, scales out and in; any controller reads the machine types until it knows them.
    pub(super) async fn run_scaling(self: Rc<Self>) {
        let mut types_read: Option<MonotonicTime> = None;
        let mut list_read = MonotonicTime(0);
        let mut queue = ScaleOutQueue::default();
        loop {
            sleep(if queue.open.is_empty() { IDLE_PERIOD } else { BUSY_PERIOD }).await;
            let leading = self.leading_term();
            self.refresh_machine_types(leading.is_some(), &mut types_read).await;
            let Some(term) = leading else {
                // What came of open requests shows up in the list for the next leader.
                queue.open.clear();
                continue;
            };
            self.scale_in().await;
            self.advance_scale_out(term, &mut queue).await;
            let lag_ms = (self.settings.params.cloud.list_lag_s * 1000.0) as u64;
            let (least_ms, most_ms) = LIST_PERIOD_MS;
            if self.now().since(list_read) > lag_ms.clamp(least_ms, most_ms) {
                list_read = self.now();
                self.read_machine_list().await;
            }
        }
    }

    /// The term in which this process may act as leader now.
    fn leading_term(&self) -> Option<Term> {
        let controller = self.controller.borrow();
        let leader = controller.leader.as_ref();
        leader.filter(|_| controller.rights.may_lead(self.now())).map(|leader| leader.term)
    }

    /// Reads the machine types if they are not known, or, as the leader, if they are old.
    async fn refresh_machine_types(&self, leading: bool, read_at: &mut Option<MonotonicTime>) {
        let known = !self.controller.borrow().catalog.is_empty();
        let old = read_at.is_none_or(|at| self.now().since(at) > MACHINE_TYPES_MAX_AGE_MS);
        if known && !(leading && old) {
            return;
        }
        match self.read_machine_types(leading).await {
            Ok(()) => *read_at = Some(self.now()),
            Err(_) => sleep(MACHINE_TYPES_RETRY).await,
        }
    }

    /// Sends one open scale-out request; has the leader decide anew once none is open.
    async fn advance_scale_out(&self, term: Term, queue: &mut ScaleOutQueue) {
        if queue.open.is_empty() {
            self.queue_wanted_machines(term, queue);
        }
        if let Some((request, offer)) = queue.open.pop_front() {
            match self.scale_out(&request, &offer).await {
                ScaleOutOutcome::Unknown => queue.repeat(request, offer),
                // Nor would the rest of what was wanted of it be had.
                ScaleOutOutcome::Known if self.is_out_of_capacity(&offer) => {
                    queue.drop_unsent(&offer);
                }
                ScaleOutOutcome::Known => {}
            }
        }
        if queue.open.is_empty() {
            queue.unknown.clear();
            if let Some(leader) = &mut self.controller.borrow_mut().leader {
                leader.discard_scale_out();
            }
        }
    }

    /// Queues the leader's scale-out requests.
    fn queue_wanted_machines(&self, term: Term, queue: &mut ScaleOutQueue) {
        let mut controller = self.controller.borrow_mut();
        let incarnation = controller.incarnation;
        let wanted = controller.leader.as_mut().map(Leader::take_scale_out).unwrap_or_default();
        for RequestedMachines { offer, count } in wanted {
            queue.push(term, incarnation, &offer, count);
        }
    }

    /// Reads the machine types and their prices from the cloud; the leader also keeps them in the store.
    async fn read_machine_types(&self, leading: bool) -> Result<(), CloudError> {
        let catalog = self.cloud.catalog().await?;
        // The store keeps the types for controllers that start while the cloud is down.
        let condition = {
            let mut controller = self.controller.borrow_mut();
            controller.set_machine_types(&catalog);
            controller
                .replica
                .leader_condition()
                .filter(|_| leading && controller.replica.catalog.is_none())
        };
        if let Some(condition) = condition {
            let unchanged =
                self.controller.borrow().replica.unchanged_condition(replica::MACHINE_TYPES_KEY);
            let limits = &self.settings.params.store;
            let mut chunks = replica::machine_type_changes(&catalog, limits.value_bytes());
            if chunks.len() > limits.txn_ops {
                warn!(chunks = chunks.len(), "not all machine types fit into a transaction");
                chunks.truncate(limits.txn_ops);
            }
            let txn = Txn { conditions: vec![condition, unchanged], changes: chunks };
            let _ = self.store.commit(&txn).await;
        }
        Ok(())
    }

    /// Whether an offer was refused lately and is not asked for again yet.
    fn is_out_of_capacity(&self, offer: &MachineOffer) -> bool {
        let controller = self.controller.borrow();
        controller
            .leader
            .as_ref()
            .is_some_and(|leader| !leader.retained.market.may_request(offer, self.now()))
    }

    /// Sends a scale-out request and records what came of it.
    async fn scale_out(&self, request: &ScaleOutRequest, offer: &MachineOffer) -> ScaleOutOutcome {
        if !self.still_leads().await {
            return ScaleOutOutcome::Unknown;
        }
        let result = self.cloud.scale_out(request).await;
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let Some(leader) = &mut controller.leader else {
            return match result {
                Err(CloudError::Unknown | CloudError::Refused(_)) => ScaleOutOutcome::Unknown,
                Ok(_) | Err(CloudError::NoCapacity) => ScaleOutOutcome::Known,
            };
        };
        match result {
            Ok(ids) => {
                info!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, asked = request.count, got = ids.len(), "rented");
                if (ids.len() as u32) < request.count {
                    leader.retained.market.record_refusal(offer, now);
                }
                leader.fleet.add_provisioned(now, &ids, offer);
                ScaleOutOutcome::Known
            }
            Err(CloudError::NoCapacity) => {
                debug!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, "none to be had");
                leader.retained.market.record_refusal(offer, now);
                ScaleOutOutcome::Known
            }
            Err(CloudError::Refused(MALFORMED_STATUS)) => {
                error!(?request, "rental refused as malformed");
                leader.retained.market.record_refusal(offer, now);
                ScaleOutOutcome::Known
            }
            Err(_) => ScaleOutOutcome::Unknown,
        }
    }

    /// Returns the machines that are no longer needed.
    async fn scale_in(&self) {
        let ids = self
            .controller
            .borrow_mut()
            .with_leader(self.moment(), |leader, cluster| {
                leader.fleet.machines_to_scale_in(cluster)
            })
            .unwrap_or_default();
        if ids.is_empty() || !self.still_leads().await {
            return;
        }
        if self.cloud.scale_in(&ids).await.is_ok() {
            info!(machines = ?ids.iter().map(|id| id.to_string()).collect::<Vec<_>>(), "returned");
            if let Some(leader) = &mut self.controller.borrow_mut().leader {
                leader.remove_terminated_machines(&ids);
            }
            self.wake_ups.epoch.notify_one();
        }
    }

    /// Reads the cloud's list of machines, page by page, and compares the fleet with it.
    async fn read_machine_list(&self) {
        let mut after = None;
        loop {
            let Ok(page) = self.cloud.list(after.as_ref()).await else {
                return;
            };
            self.controller.borrow_mut().with_leader(self.moment(), |leader, cluster| {
                leader.fleet.apply_list_page(cluster, after.as_ref(), &page);
            });
            after = page.machines.last().map(|machine| machine.id.clone());
            if !page.truncated || after.is_none() {
                return;
            }
        }
    }
}
