//! The controller's lease in the store, and elections.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::Service;
use super::failover::FENCE_AGAIN;
use crate::lease::CONTROLLER_LEASE_MS;
use crate::peer::{PeerRequest, PeerResponse};
use crate::store_client::{Committed, StoreError};

impl Service {
    pub(super) async fn keep_lease(self: Rc<Self>) {
        loop {
            let pause = match self.renew_lease().await {
                Ok(()) => 700,
                Err(e) => {
                    debug!(error = %e, "lease not renewed");
                    200
                }
            };
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn renew_lease(&self) -> Result<(), StoreError> {
        if !self.controller.borrow().loaded {
            return Err(StoreError::Unknown);
        }
        let lease = self.controller.borrow().rights.lease;
        if let Some(lease) = lease {
            let sent = self.now();
            return match self.store.renew(lease).await {
                Ok(()) => {
                    self.controller.borrow_mut().rights.confirm_renewal(sent);
                    Ok(())
                }
                Err(e) => {
                    if e == StoreError::NoLease {
                        warn!("the lease in the store has ended");
                        self.controller.borrow_mut().rights.lose_lease();
                    }
                    Err(e)
                }
            };
        }
        let lease = self.store.grant(CONTROLLER_LEASE_MS).await?;
        let txn = self.controller.borrow().member_txn(lease);
        let sent = self.now();
        match self.store.commit(&txn).await? {
            Committed::Yes(_) => {
                let mut controller = self.controller.borrow_mut();
                controller.rights.lease = Some(lease);
                controller.rights.confirm_renewal(sent);
                drop(controller);
                self.wake_election.notify_one();
                Ok(())
            }
            Committed::No(_) => {
                self.pull(Duration::ZERO).await?;
                Err(StoreError::Unknown)
            }
        }
    }

    pub(super) async fn elect(self: Rc<Self>) {
        loop {
            let _ = timeout(Duration::from_millis(500), self.wake_election.notified()).await;
            let Some(own) = self.controller.borrow().may_run_for_leader(self.now()) else {
                continue;
            };
            if !own {
                let wait = rand::rng().random_range(0..120);
                sleep(Duration::from_millis(wait)).await;
                if self.controller.borrow().may_run_for_leader(self.now()).is_none() {
                    continue;
                }
            }
            self.controller.borrow_mut().lease_of_leader_ended(self.now());
            if let Err(e) = self.acquire_leadership().await {
                debug!(error = %e, "election undecided");
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// While the store does not tell, asks peers whether there is a new term.
    pub(super) async fn ask_who_leads(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(500)).await;
            let age = self.controller.borrow().rights.sync_age(self.now());
            if age.is_none_or(|a| a < 1_500) {
                continue;
            }
            for node in self.others() {
                if let Some(PeerResponse::Leader(Some(leader))) =
                    self.call_peer(node, &PeerRequest::Leader, 300).await
                {
                    self.controller.borrow_mut().learn_leader_from_peer(leader);
                    self.wake_shard_report.notify_one();
                    break;
                }
            }
        }
    }

    /// Takes the next term.
    pub(super) async fn acquire_leadership(&self) -> Result<(), StoreError> {
        let txn = self.controller.borrow().election_txn().ok_or(StoreError::NoLease)?;
        let standby = self.controller.borrow().standby.is_some();
        let outcome = match standby {
            true => self.store.commit_hedged(&txn, FENCE_AGAIN).await,
            false => self.store.commit(&txn).await,
        };
        debug!(?outcome, "election");
        self.controller.borrow_mut().fence_answered(self.now(), outcome.as_ref().ok());
        outcome?;
        self.pull(Duration::ZERO).await
    }
}
