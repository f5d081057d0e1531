//! Loop of the warm standby: advances the failover's state machine and executes its commands.
//!
//! Each command is a request or a transaction, whose outcome is reported back to the controller.
//! Responses of the leader and of peers are only hints. Proofs come from two transactions: the
//! election's, whose effect the replica shows, and the one in [`Service::verify_leadership`]. The
//! argument is in `docs/safety.md`, "Replacing a leader that is not heard".

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::{debug, warn};
use willowshore_standby::failover::{FailoverCommand, PeerObservation, ProbeOutcome};

use super::Service;
use crate::http::{CallError, Response};
use crate::model::{NodeId, Term};
use crate::peer::{self, PeerRequest, PeerResponse};
use crate::store_client::TxnOutcome;

/// Time between two checks by the failure detector, short compared with the shortest silence that
/// makes it suspect the leader.
const LEADER_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time limit for another controller's response about when it last received from the leader. The
/// controller is queried again after the limit.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the leader's response to a probe. It is longer than the limit for a summary, as
/// the leader may only be slow.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a response from the store after which the transaction that acquires a term is sent
/// again. Its conditions allow only one of the two requests to commit.
pub(super) const FENCE_HEDGE_DELAY: Duration = Duration::from_millis(150);

impl Service {
    /// Advances the failover's state machine periodically. Runs only if the warm standby is
    /// enabled.
    pub(super) async fn watch_leader(self: Rc<Self>) {
        loop {
            sleep(LEADER_CHECK_PERIOD).await;
            let command = self.controller.borrow_mut().standby_tick(self.now());
            self.execute_failover_command(command).await;
        }
    }

    /// Executes a command of the failover's state machine.
    async fn execute_failover_command(self: &Rc<Self>, command: Option<FailoverCommand>) {
        match command {
            Some(FailoverCommand::ProbeLeader(term)) => self.probe_leader(term),
            Some(FailoverCommand::QueryPeers(term)) => self.query_peers(term),
            Some(FailoverCommand::Fence(term)) => self.fence_leader(term).await,
            // The controller verifies the mirrored decisions itself, once the replica shows the new
            // term.
            Some(FailoverCommand::Verify(_)) | None => {}
        }
    }

    /// Probes the leader. Any response proves that its process runs; the content does not matter.
    fn probe_leader(self: &Rc<Self>, term: Term) {
        let leader =
            self.controller.borrow().replica.leader.as_ref().map(|leader| leader.value.node);
        let Some(client) = leader.and_then(|node| self.peers.client(node)) else {
            return;
        };
        let service = self.clone();
        spawn_local(async move {
            let body = peer::encode(&PeerRequest::LeaderSilence(term));
            let response = client.call("POST", "/peer", &body, PROBE_TIMEOUT).await;
            let outcome =
                match response.map(|response| peer::decode::<PeerResponse>(&response.body)) {
                    // Another process than the leader responded at the leader's address.
                    Ok(Ok(PeerResponse::LeaderSilence(None))) => ProbeOutcome::Refused,
                    // Any other response counts, even an error: a version that does not know this
                    // request is alive as well.
                    Ok(_) => ProbeOutcome::Responded,
                    Err(CallError::Connect) => ProbeOutcome::Refused,
                    Err(_) => ProbeOutcome::NoResponse,
                };
            let command =
                service.controller.borrow_mut().on_probe_completed(service.now(), outcome);
            service.execute_failover_command(command).await;
        });
    }

    /// Asks all other controllers except the leader when they last received from it. The queries
    /// run concurrently, so that an unavailable controller does not delay the others. Controllers
    /// of versions that do not support this query are left out.
    fn query_peers(self: &Rc<Self>, term: Term) {
        let leader = self.controller.borrow().leader();
        let supports = |node: &NodeId| self.controller.borrow().replica.supports_standby(*node);
        for node in self.other_nodes().filter(|node| Some(*node) != leader).filter(supports) {
            let service = self.clone();
            spawn_local(async move {
                let response = service
                    .call_peer(node, &PeerRequest::LeaderSilence(term), PEER_QUERY_TIMEOUT)
                    .await;
                let Ok(PeerResponse::LeaderSilence(silence_ms)) = response else { return };
                let observation = PeerObservation { node, silence_ms };
                let command =
                    service.controller.borrow_mut().on_peer_observation(service.now(), observation);
                service.execute_failover_command(command).await;
            });
        }
    }

    /// Acquires the term after `term` with the conditional transaction of an election. Called once a
    /// majority of the controllers receives nothing from the leader of `term`. If the replica shows
    /// another term already, nothing is sent to the store and failed conditions are reported.
    async fn fence_leader(&self, term: Term) {
        if self.controller.borrow().replica.term != term {
            self.controller
                .borrow_mut()
                .on_fence_completed(self.now(), Some(&TxnOutcome::ConditionsFailed(Vec::new())));
            return;
        }
        warn!(%term, "replacing the leader, as a majority of the controllers does not hear it");
        if let Err(e) = self.acquire_leadership().await {
            debug!(error = %e, "replacement of the leader failed or its outcome is unknown");
        }
    }

    /// Verifies by a transaction of the store that this process still leads. Called directly before
    /// actions on the cloud, which conditions in the store cannot fence. Returns `false` also if
    /// the store does not respond, and `true` without a check if the warm standby is disabled.
    pub(super) async fn verify_leadership(&self) -> bool {
        if self.controller.borrow().standby.is_none() {
            return true;
        }
        let Some(check) = self.controller.borrow().leadership_check_txn() else { return false };
        match self.store.commit(&check).await {
            Ok(TxnOutcome::Committed(_)) => true,
            Ok(TxnOutcome::ConditionsFailed(_)) => {
                warn!("leader action cancelled: another controller leads");
                if let Some(standby) = &mut self.controller.borrow_mut().standby {
                    standby.record_refused_action();
                }
                false
            }
            Err(e) => {
                debug!(error = %e, "leadership could not be verified");
                false
            }
        }
    }

    /// Returns the warm standby's status as JSON, or status 404 if the standby is disabled.
    pub(super) fn status_response(&self) -> Response {
        let status = self.controller.borrow().standby_status(self.clock_reading());
        match status.and_then(|status| serde_json::to_vec(&status).ok()) {
            Some(body) => Response::new(200, body),
            None => Response::empty(404),
        }
    }
}
