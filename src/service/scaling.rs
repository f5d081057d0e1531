//! The leader's dealings with the cloud: prices, rentals, returns and the list of machines.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{debug, error, info, warn};

use super::Service;
use crate::autoscaler::MachineOffer;
use crate::cloud::CloudError;
use crate::leader::Leader;
use crate::model::{MonotonicTime, Term};
use crate::replica;
use crate::wire::{ScaleOutRequest, Txn};

/// Most machines in one rental, as the cloud has it.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

impl Service {
    pub(super) async fn scale_out_and_in(self: Rc<Self>) {
        let mut priced: Option<MonotonicTime> = None;
        let mut listed = MonotonicTime(0);
        let mut open: VecDeque<(ScaleOutRequest, MachineOffer)> = VecDeque::new();
        let mut unknown: HashSet<String> = HashSet::new();
        let mut counter = 0u32;
        loop {
            sleep(Duration::from_millis(if open.is_empty() { 400 } else { 50 })).await;
            let leading = {
                let controller = self.controller.borrow();
                controller
                    .leader
                    .as_ref()
                    .filter(|_| controller.rights.may_lead(self.now()))
                    .map(|l| l.term)
            };
            let known = !self.controller.borrow().catalog.is_empty();
            let due = priced.is_none_or(|at| self.now().since(at) > 30_000);
            if !known || (leading.is_some() && due) {
                if self.read_machine_types(leading.is_some()).await {
                    priced = Some(self.now());
                } else {
                    sleep(Duration::from_millis(600)).await;
                }
            }
            let Some(term) = leading else {
                // A rental that is still open shows up in the list for the next leader.
                open.clear();
                continue;
            };
            self.return_machines().await;
            if open.is_empty() {
                open = self.next_scale_out_requests(term, &mut counter);
            }
            // A rental whose outcome is not known is repeated under its name, after the others.
            if let Some((request, offer)) = open.pop_front() {
                if !self.rent(&request, &offer).await {
                    unknown.insert(request.idempotency_key.clone());
                    open.push_back((request, offer));
                } else if self.is_refused(&offer) {
                    // Nor would the rest of what was wanted of it be had. What went out already
                    // has to go out again until its outcome is known.
                    open.retain(|(r, o)| *o != offer || unknown.contains(&r.idempotency_key));
                }
            }
            if open.is_empty() {
                unknown.clear();
            }
            if open.is_empty()
                && let Some(leader) = &mut self.controller.borrow_mut().leader
            {
                leader.decide_anew();
            }
            let lag = (self.settings.params.cloud.list_lag_s * 1000.0) as u64;
            if self.now().since(listed) > lag.clamp(2_000, 10_000) {
                listed = self.now();
                self.read_list().await;
            }
        }
    }

    async fn read_machine_types(&self, leading: bool) -> bool {
        let Ok(got) = self.cloud.catalog().await else {
            return false;
        };
        // The types are kept in the store for controllers that start while the cloud is down.
        let condition = {
            let mut controller = self.controller.borrow_mut();
            controller.set_machine_types(&got);
            controller
                .replica
                .leader_condition()
                .filter(|_| leading && controller.replica.catalog.is_none())
        };
        if let Some(condition) = condition {
            let unchanged =
                self.controller.borrow().replica.unchanged_condition(replica::MACHINE_TYPES_KEY);
            let limits = &self.settings.params.state;
            let mut pieces = replica::machine_type_changes(&got, limits.value_bytes());
            if pieces.len() > limits.txn_ops {
                warn!(pieces = pieces.len(), "not all machine types fit into a transaction");
                pieces.truncate(limits.txn_ops);
            }
            let txn = Txn { conditions: vec![condition, unchanged], changes: pieces };
            let _ = self.store.commit(&txn).await;
        }
        true
    }

    fn next_scale_out_requests(
        &self,
        term: Term,
        counter: &mut u32,
    ) -> VecDeque<(ScaleOutRequest, MachineOffer)> {
        let mut controller = self.controller.borrow_mut();
        let incarnation = controller.incarnation;
        let wanted = controller.leader.as_mut().map(Leader::take_scale_out).unwrap_or_default();
        let mut out = VecDeque::new();
        for (offer, mut left) in wanted {
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                left -= count;
                *counter += 1;
                let request = ScaleOutRequest {
                    idempotency_key: format!("r-{term}-{incarnation}-{counter}"),
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    count,
                };
                out.push_back((request, offer.clone()));
            }
        }
        out
    }

    fn is_refused(&self, offer: &MachineOffer) -> bool {
        let controller = self.controller.borrow();
        controller.leader.as_ref().is_some_and(|l| !l.market.open(offer, self.now()))
    }

    /// Makes a rental; true once its outcome is known.
    async fn rent(&self, request: &ScaleOutRequest, offer: &MachineOffer) -> bool {
        if !self.still_leads().await {
            return false;
        }
        let result = self.cloud.rent(request).await;
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let Some(leader) = &mut controller.leader else {
            return !matches!(result, Err(CloudError::Unknown | CloudError::Refused(_)));
        };
        match result {
            Ok(ids) => {
                info!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, asked = request.count, got = ids.len(), "rented");
                if (ids.len() as u32) < request.count {
                    leader.market.refused(offer, now);
                }
                leader.fleet.add_provisioned(now, &ids, offer);
                true
            }
            Err(CloudError::NoCapacity) => {
                debug!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, "none to be had");
                leader.market.refused(offer, now);
                true
            }
            Err(CloudError::Refused(400)) => {
                error!(?request, "rental refused as malformed");
                leader.market.refused(offer, now);
                true
            }
            Err(_) => false,
        }
    }

    async fn return_machines(&self) {
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
        if self.cloud.return_machines(&ids).await.is_ok() {
            info!(machines = ?ids.iter().map(|i| i.to_string()).collect::<Vec<_>>(), "returned");
            if let Some(leader) = &mut self.controller.borrow_mut().leader {
                leader.machines_gone(&ids);
            }
            self.wake_epoch.notify_one();
        }
    }

    async fn read_list(&self) {
        let mut after = None;
        loop {
            let Ok(page) = self.cloud.list(after.as_ref()).await else {
                return;
            };
            self.controller.borrow_mut().with_leader(self.moment(), |leader, cluster| {
                leader.fleet.listed_page(cluster, after.as_ref(), &page);
            });
            after = page.machines.last().map(|h| h.id.clone());
            if !page.truncated || after.is_none() {
                return;
            }
        }
    }
}
