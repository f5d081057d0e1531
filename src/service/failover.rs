//! The loop of the warm standby: ticks the failover's state machine and executes its commands, each as a message or a
//! transaction whose outcome goes back to the controller.
//!
//! Responses of the leader and of peers are hints. Two things here prove something: the commit of the election's
//! transaction, whose effect the replica then shows, and that of [`Service::still_leads`]. The argument is in
//! `docs/safety.md`, "Replacing a leader that is not heard".

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

/// Time between two ticks of the failure detector: short beside the least silence that it suspects.
const LEADER_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long another controller has to respond when it last received from the leader; it is queried again after that.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the leader has to respond to the probe: longer than to a summary, as it may only be slow.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without the store's response after which the transaction that takes a term is sent a second time; its
/// conditions let only one of the two commit.
pub(super) const FENCE_HEDGE_AFTER: Duration = Duration::from_millis(150);

impl Service {
    /// Ticks the failover; runs only while the warm standby is enabled.
    pub(super) async fn watch_leader(self: Rc<Self>) {
        loop {
            sleep(LEADER_CHECK_PERIOD).await;
            let command = self.controller.borrow_mut().standby_tick(self.now());
            self.execute(command).await;
        }
    }

    /// Executes a command of the failover's state machine.
    async fn execute(self: &Rc<Self>, command: Option<FailoverCommand>) {
        match command {
            Some(FailoverCommand::ProbeLeader(term)) => self.probe_leader(term),
            Some(FailoverCommand::QueryPeers(term)) => self.query_peers(term),
            Some(FailoverCommand::Fence(term)) => self.fence_leader(term).await,
            // The replica is compared where it shows the new term.
            Some(FailoverCommand::Verify(_)) | None => {}
        }
    }

    /// Probes the leader. Any response shows that the process lives, which is all that is asked.
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
                    // Another process than the leader's responds at its address.
                    Ok(Ok(PeerResponse::LeaderSilence(None))) => ProbeOutcome::Refused,
                    // Whatever the response is: a version that does not know the request is alive as well.
                    Ok(_) => ProbeOutcome::Responded,
                    Err(CallError::Connect) => ProbeOutcome::Refused,
                    Err(_) => ProbeOutcome::NoResponse,
                };
            let command =
                service.controller.borrow_mut().on_probe_completed(service.now(), outcome);
            service.execute(command).await;
        });
    }

    /// Queries all others but the leader concurrently, as one that is down must not delay the rest. Versions that don't
    /// know the query are left out.
    fn query_peers(self: &Rc<Self>, term: Term) {
        let leader = self.controller.borrow().leader();
        let supports = |node: &NodeId| self.controller.borrow().replica.supports_standby(*node);
        for node in self.others().filter(|node| Some(*node) != leader).filter(supports) {
            let service = self.clone();
            spawn_local(async move {
                let response = service
                    .call_peer(node, &PeerRequest::LeaderSilence(term), PEER_QUERY_TIMEOUT)
                    .await;
                let Ok(PeerResponse::LeaderSilence(silence_ms)) = response else { return };
                let observation = PeerObservation { node, silence_ms };
                let command =
                    service.controller.borrow_mut().on_peer_observation(service.now(), observation);
                service.execute(command).await;
            });
        }
    }

    /// Takes the term after that one, from whose leader a majority receives nothing, by the guarded transaction of an
    /// election.
    async fn fence_leader(&self, term: Term) {
        if self.controller.borrow().replica.term != term {
            self.controller
                .borrow_mut()
                .on_fence_completed(self.now(), Some(&TxnOutcome::ConditionsFailed(Vec::new())));
            return;
        }
        warn!(%term, "replacing the leader, as a majority of the controllers does not hear it");
        if let Err(e) = self.acquire_leadership().await {
            debug!(error = %e, "replacing the leader is undecided");
        }
    }

    /// Whether this process still leads, proven by a transaction of the store. Called right before actions on the
    /// cloud, which no condition in the store can fence. False as well if the store does not respond.
    pub(super) async fn still_leads(&self) -> bool {
        if self.controller.borrow().standby.is_none() {
            return true;
        }
        let Some(check) = self.controller.borrow().leadership_check() else { return false };
        match self.store.commit(&check).await {
            Ok(TxnOutcome::Committed(_)) => true,
            Ok(TxnOutcome::ConditionsFailed(_)) => {
                warn!("an action as leader is given up: another controller leads");
                if let Some(standby) = &mut self.controller.borrow_mut().standby {
                    standby.record_refused_action();
                }
                false
            }
            Err(e) => {
                debug!(error = %e, "whether this controller still leads is not known");
                false
            }
        }
    }

    /// The standby's status as JSON.
    pub(super) fn answer_status(&self) -> Response {
        let status = self.controller.borrow().standby_status(self.moment());
        match status.and_then(|status| serde_json::to_vec(&status).ok()) {
            Some(body) => Response::new(200, body),
            None => Response::empty(404),
        }
    }
}
