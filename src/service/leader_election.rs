//! The controller's lease in the store, and elections.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::Service;
use super::failover::FENCE_HEDGE_DELAY;
use crate::controller::Candidacy;
use crate::lease::CONTROLLER_LEASE_MS;
use crate::peer::{PeerRequest, PeerResponse};
use crate::store_client::{StoreError, TxnOutcome};

/// Time between two renewals of the store lease. Four renewals fit into the lease of 3 s, so a
/// failed or late one does not end it.
const LEASE_RENEWAL_PERIOD: Duration = Duration::from_millis(700);
/// Pause after a failed renewal or registration.
const LEASE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum time between two checks whether there is a leader. A change of the leader's key or of
/// this controller's lease triggers a check at once.
const ELECTION_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Upper bound in milliseconds of the random delay before an election, which makes conflicts
/// between controllers rare.
const MAX_ELECTION_DELAY_MS: u64 = 120;
/// Pause after an election that failed or whose outcome is unknown.
const ELECTION_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two requests to peers for the current leader, while the store does not serve this
/// controller.
const LEADER_REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// Minimum age in milliseconds of the last proof of a current replica for requesting the leader
/// from peers. A watch without changes is answered after 1 s at most, so an older proof means that
/// the store does not serve this controller.
const LEADER_REQUEST_MIN_SYNC_AGE_MS: u64 = 1_500;
/// Time limit for a peer's response about the leader.
const LEADER_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

impl Service {
    /// Keeps this controller's store lease alive, and with it the member record bound to the lease.
    pub(super) async fn maintain_lease(self: Rc<Self>) {
        loop {
            let pause = match self.renew_lease().await {
                Ok(()) => LEASE_RENEWAL_PERIOD,
                Err(e) => {
                    debug!(error = %e, "lease renewal failed");
                    LEASE_RETRY_PAUSE
                }
            };
            sleep(pause).await;
        }
    }

    /// Renews the lease, or acquires a new lease and registers this process as a member under it.
    async fn renew_lease(&self) -> Result<(), StoreError> {
        if !self.controller.borrow().loaded {
            return Err(StoreError::Unknown);
        }
        let lease = self.controller.borrow().rights.lease;
        if let Some(lease) = lease {
            let sent = self.now();
            return match self.store.renew_lease(lease).await {
                Ok(()) => {
                    self.controller.borrow_mut().rights.confirm_renewal(sent);
                    Ok(())
                }
                Err(e) => {
                    if e == StoreError::LeaseNotFound {
                        warn!("store lease expired");
                        self.controller.borrow_mut().rights.lose_lease();
                    }
                    Err(e)
                }
            };
        }
        let lease = self.store.grant_lease(CONTROLLER_LEASE_MS).await?;
        let txn = self.controller.borrow().member_txn(lease);
        let sent = self.now();
        match self.store.commit(&txn).await? {
            TxnOutcome::Committed(_) => {
                self.controller.borrow_mut().rights.register(lease, sent, self.now());
                // Tasks may be started once the replica is proven current after the registration.
                self.confirmations.request_without_waiting();
                self.wake_ups.election.notify_one();
                Ok(())
            }
            TxnOutcome::ConditionsFailed(_) => {
                self.sync_replica(Duration::ZERO).await?;
                Err(StoreError::Unknown)
            }
        }
    }

    /// Stands for election whenever there is no leader.
    pub(super) async fn run_elections(self: Rc<Self>) {
        loop {
            let _ = timeout(ELECTION_CHECK_PERIOD, self.wake_ups.election.notified()).await;
            let candidacy = self.controller.borrow().candidacy(self.now());
            match candidacy {
                Candidacy::NotEligible | Candidacy::LeaderExists => continue,
                Candidacy::OwnPredecessor => {}
                Candidacy::Vacant => {
                    let delay_ms = rand::rng().random_range(0..MAX_ELECTION_DELAY_MS);
                    sleep(Duration::from_millis(delay_ms)).await;
                    if !self.controller.borrow().candidacy(self.now()).may_run() {
                        continue;
                    }
                }
            }
            self.controller.borrow_mut().on_leader_lease_expired(self.now());
            if let Err(e) = self.acquire_leadership().await {
                debug!(error = %e, "election failed or its outcome is unknown");
                sleep(ELECTION_RETRY_PAUSE).await;
            }
        }
    }

    /// Requests the leader and its term from peers while the store does not serve this controller.
    pub(super) async fn learn_term_from_peers(self: Rc<Self>) {
        loop {
            sleep(LEADER_REQUEST_PERIOD).await;
            let sync_age_ms = self.controller.borrow().rights.sync_age(self.now());
            if sync_age_ms.is_none_or(|age_ms| age_ms < LEADER_REQUEST_MIN_SYNC_AGE_MS) {
                continue;
            }
            for node in self.other_nodes() {
                if let Ok(PeerResponse::Leader(Some(leader))) =
                    self.call_peer(node, &PeerRequest::Leader, LEADER_REQUEST_TIMEOUT).await
                {
                    self.controller.borrow_mut().adopt_leader_from_peer(leader);
                    self.wake_ups.summary.notify_one();
                    break;
                }
            }
        }
    }

    /// Commits the transaction that acquires the next term, and brings the replica up to date. On
    /// success the replica shows the leader, which may be another controller.
    pub(super) async fn acquire_leadership(&self) -> Result<(), StoreError> {
        let txn = self.controller.borrow().election_txn().ok_or(StoreError::LeaseNotFound)?;
        let has_standby = self.controller.borrow().standby.is_some();
        let outcome = match has_standby {
            true => self.store.commit_hedged(&txn, FENCE_HEDGE_DELAY).await,
            false => self.store.commit(&txn).await,
        };
        debug!(?outcome, "election transaction finished");
        self.controller.borrow_mut().on_fence_completed(self.now(), outcome.as_ref().ok());
        outcome?;
        self.sync_replica(Duration::ZERO).await
    }
}
