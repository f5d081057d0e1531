//! The loop of the warm standby: watches the leader, asks the other controllers, and replaces it.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::{debug, warn};
use willowshore_standby::failover::{Command, PeerAnswer, ProbeOutcome};

use super::Service;
use crate::http::{CallError, Response};
use crate::model::{NodeId, Term};
use crate::peer::{self, PeerRequest, PeerResponse};
use crate::store_client::Committed;

/// Time between two looks at the leader.
const WATCH: Duration = Duration::from_millis(100);
/// How long another controller has to answer when it heard the leader.
const ASK_LIMIT_MS: u64 = 300;
/// How long the leader itself has to answer once it is suspected.
const PROBE_LIMIT: Duration = Duration::from_millis(700);
/// After that long without an answer, the transaction that takes a term is sent once more.
pub(super) const FENCE_AGAIN: Duration = Duration::from_millis(150);

impl Service {
    /// Watches the leader while the warm standby is enabled.
    pub(super) async fn watch_leader(self: Rc<Self>) {
        loop {
            sleep(WATCH).await;
            let command = self.controller.borrow_mut().standby_tick(self.now());
            self.carry_out(command).await;
        }
    }

    async fn carry_out(self: &Rc<Self>, command: Option<Command>) {
        match command {
            Some(Command::ProbeLeader(term)) => self.probe_leader(term),
            Some(Command::AskPeers(term)) => self.ask_when_leader_was_heard(term),
            Some(Command::Fence(term)) => self.replace_leader(term).await,
            // The replica is compared where it shows the new term.
            Some(Command::Verify(_)) | None => {}
        }
    }

    /// Asks the leader itself, with more time than a summary has.
    fn probe_leader(self: &Rc<Self>, term: Term) {
        let leader =
            self.controller.borrow().replica.leader.as_ref().map(|leader| leader.value.node);
        let Some(client) = leader.and_then(|node| self.peers.get(usize::from(node.0))) else {
            return;
        };
        let call = client.clone();
        let service = self.clone();
        spawn_local(async move {
            let body = peer::encode(&PeerRequest::LeaderSilence(term));
            let answer = call.call("POST", "/peer", &body, PROBE_LIMIT).await;
            let outcome = match answer.map(|answer| peer::decode::<PeerResponse>(&answer.body)) {
                // The process there is another one than the leader's.
                Ok(Some(PeerResponse::LeaderSilence(None))) => ProbeOutcome::Refused,
                // Whatever it says: a version that does not know the question is there as well.
                Ok(_) => ProbeOutcome::Answered,
                Err(CallError::Connect) => ProbeOutcome::Refused,
                Err(_) => ProbeOutcome::Silent,
            };
            let command = service.controller.borrow_mut().leader_probed(service.now(), outcome);
            service.carry_out(command).await;
        });
    }

    /// Asks all others but the leader at once, as one that is gone must not hold up the rest.
    fn ask_when_leader_was_heard(self: &Rc<Self>, term: Term) {
        let leader = self.controller.borrow().leader();
        let knows = |node: &NodeId| self.controller.borrow().replica.supports_standby(*node);
        for node in self.others().filter(|node| Some(*node) != leader).filter(knows) {
            let service = self.clone();
            spawn_local(async move {
                let response =
                    service.call_peer(node, &PeerRequest::LeaderSilence(term), ASK_LIMIT_MS).await;
                let Some(PeerResponse::LeaderSilence(silence_ms)) = response else { return };
                let answer = PeerAnswer { node, silence_ms };
                let command = service.controller.borrow_mut().peer_answered(service.now(), answer);
                service.carry_out(command).await;
            });
        }
    }

    /// Takes the term after that one, whose leader a majority does not hear.
    async fn replace_leader(&self, term: Term) {
        if self.controller.borrow().replica.term != term {
            self.controller
                .borrow_mut()
                .fence_answered(self.now(), Some(&Committed::No(Vec::new())));
            return;
        }
        warn!(%term, "replacing the leader, as a majority of the controllers does not hear it");
        if let Err(e) = self.acquire_leadership().await {
            debug!(error = %e, "replacing the leader is undecided");
        }
    }

    /// Whether this process still leads, as the store says now. Asked right before what cannot be guarded.
    pub(super) async fn still_leads(&self) -> bool {
        if self.controller.borrow().standby.is_none() {
            return true;
        }
        let Some(check) = self.controller.borrow().leadership_check() else { return false };
        match self.store.commit(&check).await {
            Ok(Committed::Yes(_)) => true,
            Ok(Committed::No(_)) => {
                warn!("an action as leader is given up: another controller leads");
                if let Some(standby) = &mut self.controller.borrow_mut().standby {
                    standby.note_refused_action();
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
