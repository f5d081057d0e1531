//! The controller's lease in the store, and elections.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::Service;
use super::failover::FENCE_HEDGE_AFTER;
use crate::controller::Candidacy;
use crate::lease::CONTROLLER_LEASE_MS;
use crate::peer::{PeerRequest, PeerResponse};
use crate::store_client::{StoreError, TxnOutcome};

/// Time between two renewals of the lease: four fit into its 3 s, so one that fails or is late does not end it.
const RENEWAL_PERIOD: Duration = Duration::from_millis(700);
/// Pause after a renewal that failed.
const RENEWAL_RETRY: Duration = Duration::from_millis(200);
/// Longest wait between two looks at whether anybody leads; changes of the leader's key bring them forward.
const MAX_ELECTION_WAIT: Duration = Duration::from_millis(500);
/// Upper bound, in milliseconds, of the random wait before an election, so that controllers seldom conflict.
const ELECTION_JITTER_MS: u64 = 120;
/// Pause after an election without a known outcome.
const ELECTION_RETRY: Duration = Duration::from_millis(100);
/// Time between two requests to peers while the store does not serve this controller.
const PEER_REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// Age, in milliseconds, of the proof that the replica is current from which on peers are asked. A watch that brings
/// nothing is answered after at most a second.
const PEER_REQUEST_AFTER_MS: u64 = 1_500;
/// How long a peer has to answer who leads.
const PEER_ANSWER_LIMIT: Duration = Duration::from_millis(300);

impl Service {
    /// Keeps this controller's lease in the store, and the member record that hangs on it.
    pub(super) async fn keep_lease(self: Rc<Self>) {
        loop {
            let pause = match self.renew_lease().await {
                Ok(()) => RENEWAL_PERIOD,
                Err(e) => {
                    debug!(error = %e, "lease not renewed");
                    RENEWAL_RETRY
                }
            };
            sleep(pause).await;
        }
    }

    /// Renews the lease, or takes a new one and registers this process under it.
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
                        warn!("the lease in the store has ended");
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
                let mut controller = self.controller.borrow_mut();
                controller.rights.lease = Some(lease);
                controller.rights.confirm_renewal(sent);
                drop(controller);
                self.wake_ups.election.notify_one();
                Ok(())
            }
            TxnOutcome::ConditionsFailed(_) => {
                self.sync_replica(Duration::ZERO).await?;
                Err(StoreError::Unknown)
            }
        }
    }

    /// Runs for leader whenever nobody leads.
    pub(super) async fn run_elections(self: Rc<Self>) {
        loop {
            let _ = timeout(MAX_ELECTION_WAIT, self.wake_ups.election.notified()).await;
            let candidacy = self.controller.borrow().candidacy(self.now());
            match candidacy {
                Candidacy::NotEligible | Candidacy::LeaderExists => continue,
                Candidacy::OwnPredecessor => {}
                Candidacy::Vacant => {
                    let wait_ms = rand::rng().random_range(0..ELECTION_JITTER_MS);
                    sleep(Duration::from_millis(wait_ms)).await;
                    if !self.controller.borrow().candidacy(self.now()).may_run() {
                        continue;
                    }
                }
            }
            self.controller.borrow_mut().on_leader_lease_expired(self.now());
            if let Err(e) = self.acquire_leadership().await {
                debug!(error = %e, "election undecided");
                sleep(ELECTION_RETRY).await;
            }
        }
    }

    /// While the store does not serve this controller, asks peers whether there is a new term.
    pub(super) async fn learn_term_from_peers(self: Rc<Self>) {
        loop {
            sleep(PEER_REQUEST_PERIOD).await;
            let age = self.controller.borrow().rights.sync_age(self.now());
            if age.is_none_or(|age_ms| age_ms < PEER_REQUEST_AFTER_MS) {
                continue;
            }
            for node in self.others() {
                if let Ok(PeerResponse::Leader(Some(leader))) =
                    self.call_peer(node, &PeerRequest::Leader, PEER_ANSWER_LIMIT).await
                {
                    self.controller.borrow_mut().adopt_leader_from_peer(leader);
                    self.wake_ups.summary.notify_one();
                    break;
                }
            }
        }
    }

    /// Writes the transaction that takes the next term, and brings the replica up to date. Without an error the replica
    /// shows who leads, which may be another controller.
    pub(super) async fn acquire_leadership(&self) -> Result<(), StoreError> {
        let txn = self.controller.borrow().election_txn().ok_or(StoreError::LeaseNotFound)?;
        let has_standby = self.controller.borrow().standby.is_some();
        let outcome = match has_standby {
            true => self.store.commit_hedged(&txn, FENCE_HEDGE_AFTER).await,
            false => self.store.commit(&txn).await,
        };
        debug!(?outcome, "election");
        self.controller.borrow_mut().on_fence_completed(self.now(), outcome.as_ref().ok());
        outcome?;
        self.sync_replica(Duration::ZERO).await
    }
}
