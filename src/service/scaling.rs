//! The leader's requests to the cloud: machine types and prices, scaling out and in, and the list
//! of machines.
//!
//! A scale-out request is idempotent by its key. A request with unknown outcome is sent again under
//! the same key until its outcome is known or another controller leads. The next leader finds any
//! machines that the request provisioned in the cloud's list.

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

/// Maximum number of machines per scale-out request, set by the cloud.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Pause between two runs of the loop while scale-out requests are pending. Requests are sent one
/// at a time, and the cloud client enforces the rate limit.
const BUSY_PERIOD: Duration = Duration::from_millis(50);
/// Pause between two runs of the loop while no scale-out request is pending.
const IDLE_PERIOD: Duration = Duration::from_millis(400);
/// Age in milliseconds beyond which the leader reads machine types and prices again.
const MACHINE_TYPES_MAX_AGE_MS: u64 = 30_000;
/// Pause after machine types could not be read.
const MACHINE_TYPES_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Lower and upper bound in milliseconds of the time between two reads of the cloud's list. Within
/// the bounds the time equals the list's lag, `cloud.list_lag_s`, after which the list shows a
/// change.
const LIST_PERIOD_RANGE_MS: (u64, u64) = (2_000, 10_000);
/// HTTP status with which the cloud rejects a malformed request.
const MALFORMED_REQUEST_STATUS: u16 = 400;

/// Whether the outcome of a scale-out request is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ScaleOutOutcome {
    /// The cloud provisioned machines, or rejected the request for good.
    Known,
    /// The request may have been carried out, or was not sent. It has to be sent again.
    Unknown,
}

/// Pending scale-out requests.
#[derive(Default)]
struct ScaleOutQueue {
    pending: VecDeque<(ScaleOutRequest, MachineOffer)>,
    /// Idempotency keys of pending requests that were sent and have an unknown outcome.
    unknown_outcomes: HashSet<String>,
    /// Number in the last idempotency key that this process assigned.
    key_counter: u32,
}

impl ScaleOutQueue {
    /// Queues requests for `count` machines of an offer.
    fn push(&mut self, term: Term, incarnation: Incarnation, offer: &MachineOffer, count: u32) {
        let mut remaining = count;
        while remaining > 0 {
            let count = remaining.min(MAX_MACHINES_PER_REQUEST);
            remaining -= count;
            self.key_counter += 1;
            let request = ScaleOutRequest {
                idempotency_key: format!("r-{term}-{incarnation}-{}", self.key_counter),
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count,
            };
            self.pending.push_back((request, offer.clone()));
        }
    }

    /// Queues a request with unknown outcome again, behind the others.
    fn requeue(&mut self, request: ScaleOutRequest, offer: MachineOffer) {
        self.unknown_outcomes.insert(request.idempotency_key.clone());
        self.pending.push_back((request, offer));
    }

    /// Drops the requests for an offer that is out of capacity, except those that were sent and
    /// have an unknown outcome.
    fn drop_unsent(&mut self, offer: &MachineOffer) {
        let unknown_outcomes = &self.unknown_outcomes;
        self.pending.retain(|(r, o)| o != offer || unknown_outcomes.contains(&r.idempotency_key));
    }
}

impl Service {
    /// On the leader, scales the fleet out and in. Any controller reads the machine types if it has
    /// none.
    pub(super) async fn run_scaling(self: Rc<Self>) {
        let mut types_read_at: Option<MonotonicTime> = None;
        let mut list_read_at = MonotonicTime(0);
        let mut queue = ScaleOutQueue::default();
        loop {
            sleep(if queue.pending.is_empty() { IDLE_PERIOD } else { BUSY_PERIOD }).await;
            let leading_term = self.leading_term();
            self.refresh_machine_types(leading_term.is_some(), &mut types_read_at).await;
            let Some(term) = leading_term else {
                // The next leader finds the machines of pending requests in the cloud's list.
                queue.pending.clear();
                continue;
            };
            self.scale_in().await;
            self.advance_scale_out(term, &mut queue).await;
            let lag_ms = (self.settings.params.cloud.list_lag_s * 1000.0) as u64;
            let (min_ms, max_ms) = LIST_PERIOD_RANGE_MS;
            if self.now().since(list_read_at) > lag_ms.clamp(min_ms, max_ms) {
                list_read_at = self.now();
                self.read_machine_list().await;
            }
        }
    }

    /// Returns the term in which this process may act as the leader now; `None` if it may not.
    fn leading_term(&self) -> Option<Term> {
        let controller = self.controller.borrow();
        let leader = controller.leader.as_ref();
        leader.filter(|_| controller.rights.may_lead(self.now())).map(|leader| leader.term)
    }

    /// Reads the machine types if there are none yet or, on the leader, if they are outdated.
    async fn refresh_machine_types(&self, is_leader: bool, read_at: &mut Option<MonotonicTime>) {
        let is_known = !self.controller.borrow().catalog.is_empty();
        let is_outdated = read_at.is_none_or(|at| self.now().since(at) > MACHINE_TYPES_MAX_AGE_MS);
        if is_known && !(is_leader && is_outdated) {
            return;
        }
        match self.read_machine_types(is_leader).await {
            Ok(()) => *read_at = Some(self.now()),
            Err(_) => sleep(MACHINE_TYPES_RETRY_PAUSE).await,
        }
    }

    /// Sends one pending scale-out request. If none is left, has the leader make a new scale-out
    /// decision.
    async fn advance_scale_out(&self, term: Term, queue: &mut ScaleOutQueue) {
        if queue.pending.is_empty() {
            self.enqueue_scale_out_requests(term, queue);
        }
        if let Some((request, offer)) = queue.pending.pop_front() {
            match self.scale_out(&request, &offer).await {
                ScaleOutOutcome::Unknown => queue.requeue(request, offer),
                // Further requests for this offer would fail as well.
                ScaleOutOutcome::Known if self.is_out_of_capacity(&offer) => {
                    queue.drop_unsent(&offer);
                }
                ScaleOutOutcome::Known => {}
            }
        }
        if queue.pending.is_empty() {
            queue.unknown_outcomes.clear();
            if let Some(leader) = &mut self.controller.borrow_mut().leader {
                leader.discard_scale_out();
            }
        }
    }

    /// Queues requests for the machines that the leader decided to add.
    fn enqueue_scale_out_requests(&self, term: Term, queue: &mut ScaleOutQueue) {
        let mut controller = self.controller.borrow_mut();
        let incarnation = controller.incarnation;
        let requested = controller.leader.as_mut().map(Leader::take_scale_out).unwrap_or_default();
        for RequestedMachines { offer, count } in requested {
            queue.push(term, incarnation, &offer, count);
        }
    }

    /// Reads the machine types and their prices from the cloud. The leader also writes them to the
    /// store if the store has none.
    async fn read_machine_types(&self, is_leader: bool) -> Result<(), CloudError> {
        let catalog = self.cloud.catalog().await?;
        // The copy in the store serves controllers that start while the cloud is unavailable.
        let condition = {
            let mut controller = self.controller.borrow_mut();
            controller.set_machine_types(&catalog);
            controller
                .replica
                .leader_condition()
                .filter(|_| is_leader && controller.replica.catalog.is_none())
        };
        if let Some(condition) = condition {
            let unchanged =
                self.controller.borrow().replica.unchanged_condition(replica::MACHINE_TYPES_KEY);
            let limits = &self.settings.params.store;
            let mut type_changes = replica::machine_type_changes(&catalog, limits.value_bytes());
            if type_changes.len() > limits.txn_ops {
                warn!(
                    chunks = type_changes.len(),
                    "machine types exceeded one transaction; the excess was not stored"
                );
                type_changes.truncate(limits.txn_ops);
            }
            let txn = Txn { conditions: vec![condition, unchanged], changes: type_changes };
            let _ = self.store.commit(&txn).await;
        }
        Ok(())
    }

    /// Whether the leader currently makes no requests for an offer because the cloud lately had no
    /// capacity for it.
    fn is_out_of_capacity(&self, offer: &MachineOffer) -> bool {
        let controller = self.controller.borrow();
        controller
            .leader
            .as_ref()
            .is_some_and(|leader| !leader.retained.market.may_request(offer, self.now()))
    }

    /// Sends a scale-out request and records its outcome.
    async fn scale_out(&self, request: &ScaleOutRequest, offer: &MachineOffer) -> ScaleOutOutcome {
        if !self.verify_leadership().await {
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
                debug!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, "cloud had no capacity for the offer");
                leader.retained.market.record_refusal(offer, now);
                ScaleOutOutcome::Known
            }
            Err(CloudError::Refused(MALFORMED_REQUEST_STATUS)) => {
                error!(?request, "cloud rejected the scale-out request as malformed");
                leader.retained.market.record_refusal(offer, now);
                ScaleOutOutcome::Known
            }
            Err(_) => ScaleOutOutcome::Unknown,
        }
    }

    /// Returns the machines that are no longer needed to the cloud.
    async fn scale_in(&self) {
        let ids = self
            .controller
            .borrow_mut()
            .with_leader(self.clock_reading(), |leader, cluster| {
                leader.fleet.machines_to_scale_in(cluster)
            })
            .unwrap_or_default();
        if ids.is_empty() || !self.verify_leadership().await {
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

    /// Reads the cloud's list of machines page by page and compares the fleet with it.
    async fn read_machine_list(&self) {
        let mut after = None;
        loop {
            let Ok(page) = self.cloud.list(after.as_ref()).await else {
                return;
            };
            self.controller.borrow_mut().with_leader(self.clock_reading(), |leader, cluster| {
                leader.fleet.apply_list_page(cluster, after.as_ref(), &page);
            });
            after = page.machines.last().map(|machine| machine.id.clone());
            if !page.truncated || after.is_none() {
                return;
            }
        }
    }
}
