//! The loop of the warm standby: watches the leader, asks the other controllers, and replaces it.

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

/// Time between two steps of the failure detector.
const LEADER_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long another controller has to answer when it last heard from the leader.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the leader itself has to answer once it is suspected: more than for a summary, as it may only be slow.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without the store's answer after which the transaction that takes a term is sent a second time.
pub(super) const FENCE_HEDGE_AFTER: Duration = Duration::from_millis(150);

impl Service {
    /// Watches the leader while the warm standby is enabled.
    pub(super) async fn watch_leader(self: Rc<Self>) {
        loop {
            sleep(LEADER_CHECK_PERIOD).await;
            let command = self.controller.borrow_mut().standby_tick(self.now());
            self.carry_out(command).await;
        }
    }

    /// Carries out what the failover's state machine commands.
    async fn carry_out(self: &Rc<Self>, command: Option<FailoverCommand>) {
        match command {
            Some(FailoverCommand::ProbeLeader(term)) => self.probe_leader(term),
            Some(FailoverCommand::QueryPeers(term)) => self.ask_peers_for_leader_silence(term),
            Some(FailoverCommand::Fence(term)) => self.replace_leader(term).await,
            // The replica is compared where it shows the new term.
            Some(FailoverCommand::Verify(_)) | None => {}
        }
    }

    /// Asks the leader itself whether it is alive.
    fn probe_leader(self: &Rc<Self>, term: Term) {
        let leader =
            self.controller.borrow().replica.leader.as_ref().map(|leader| leader.value.node);
        let Some(client) = leader.and_then(|node| self.peers.client(node)) else {
            return;
        };
        let service = self.clone();
        spawn_local(async move {
            let body = peer::encode(&PeerRequest::LeaderSilence(term));
            let answer = client.call("POST", "/peer", &body, PROBE_TIMEOUT).await;
            let outcome = match answer.map(|answer| peer::decode::<PeerResponse>(&answer.body)) {
                // Another process than the leader's answers there.
                Ok(Ok(PeerResponse::LeaderSilence(None))) => ProbeOutcome::Refused,
                // Whatever it answers: a version that does not know the request is alive as well.
                Ok(_) => ProbeOutcome::Answered,
                Err(CallError::Connect) => ProbeOutcome::Refused,
                Err(_) => ProbeOutcome::Silent,
            };
            let command =
                service.controller.borrow_mut().on_probe_completed(service.now(), outcome);
            service.carry_out(command).await;
        });
    }

    /// Asks all others but the leader at once, as one that is down must not delay the rest.
    fn ask_peers_for_leader_silence(self: &Rc<Self>, term: Term) {
        let leader = self.controller.borrow().leader();
        let knows = |node: &NodeId| self.controller.borrow().replica.supports_standby(*node);
        for node in self.others().filter(|node| Some(*node) != leader).filter(knows) {
            let service = self.clone();
            spawn_local(async move {
                let response = service
                    .call_peer(node, &PeerRequest::LeaderSilence(term), PEER_QUERY_TIMEOUT)
                    .await;
                let Ok(PeerResponse::LeaderSilence(silence_ms)) = response else { return };
                let answer = PeerObservation { node, silence_ms };
                let command =
                    service.controller.borrow_mut().on_peer_observation(service.now(), answer);
                service.carry_out(command).await;
            });
        }
    }

    /// Takes the term after that one, whose leader a majority no longer hears.
    async fn replace_leader(&self, term: Term) {
        if self.controller.borrow().replica.term != term {
            self.controller
                .borrow_mut()
                .on_fence_outcome(self.now(), Some(&TxnOutcome::ConditionsFailed(Vec::new())));
            return;
        }
        warn!(%term, "replacing the leader, as a majority of the controllers does not hear it");
        if let Err(e) = self.acquire_leadership().await {
            debug!(error = %e, "replacing the leader is undecided");
        }
    }

    /// Whether this process still leads, as the store says now. Asked right before actions on the cloud, which cannot be
    /// fenced by a condition in the store. False as well if the store does not say.
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

    /// What operators are shown of the standby.
    pub(super) fn answer_status(&self) -> Response {
        let status = self.controller.borrow().standby_status(self.moment());
        match status.and_then(|status| serde_json::to_vec(&status).ok()) {
            Some(body) => Response::new(200, body),
            None => Response::empty(404),
        }
    }
}
