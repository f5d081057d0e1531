//! Messages through the store, for controllers that cannot reach each other.

use tracing::{debug, warn};

use super::{Service, message_chunk_bytes};
use crate::message_chunks;
use crate::model::NodeId;
use crate::peer::{self, PeerResponse, StoreMessage, Summary};
use crate::replica;
use crate::store_client::TxnOutcome;
use crate::wire::{self, Change, Condition, Txn};

/// Most transactions that a message through the store takes.
const MAX_TXNS_PER_STORE_MESSAGE: usize = 16;
/// Milliseconds after its last summary through the store for which a controller is still sent plans this way.
const SEND_PLANS_FOR_MS: u64 = 5_000;

impl Service {
    /// Sends a summary to the leader through the store, under the condition that this process is still the member.
    pub(super) async fn send_summary_through_store(&self, leader: NodeId, summary: &Summary) {
        let condition = {
            let controller = self.controller.borrow();
            controller.replica.members.get(&self.me).map(|member| Condition {
                key: replica::member_key(self.me),
                version: member.version,
            })
        };
        let Some(condition) = condition else { return };
        self.send_through_store(
            leader,
            condition,
            &peer::encode(&StoreMessage::Summary(Box::new(summary.clone()))),
        )
        .await;
    }

    /// Writes a message for another controller in chunks, each under the condition.
    async fn send_through_store(&self, to: NodeId, condition: Condition, message: &[u8]) {
        let limits = &self.settings.params.store;
        let chunks = message_chunks::split(message, message_chunk_bytes(limits));
        if chunks.len() > MAX_TXNS_PER_STORE_MESSAGE * limits.txn_ops {
            warn!(chunks = chunks.len(), "message too large for the store");
            return;
        }
        let mut puts = chunks.into_iter().enumerate().map(|(i, text)| Change::Put {
            key: replica::peer_message_key(to, self.me, i as u32),
            value: wire::Value::Text(text),
            lease: None,
        });
        // What does not fit into one transaction follows in others. The receiver reads the message once it has all of its
        // chunks; while some belong to another message, it waits.
        loop {
            let changes: Vec<Change> = puts.by_ref().take(limits.txn_ops).collect();
            if changes.is_empty() {
                return;
            }
            let txn = Txn { conditions: vec![condition.clone()], changes };
            match self.store.commit(&txn).await {
                Ok(TxnOutcome::Committed(_)) => {}
                Ok(TxnOutcome::ConditionsFailed(_)) => return,
                Err(e) => {
                    debug!(error = %e, "message through the store failed");
                    return;
                }
            }
        }
    }

    /// Handles messages that came through the store.
    pub(super) fn receive_store_messages(&self) {
        let senders: Vec<NodeId> =
            self.controller.borrow().replica.peer_messages.keys().copied().collect();
        for from in senders {
            let message = {
                let controller = self.controller.borrow();
                let chunks = controller.replica.peer_messages.get(&from).into_iter().flatten();
                message_chunks::join(chunks.map(|(_, text)| text.as_str()))
            };
            // Chunks of a message that is still being written are not one yet; they are looked at again when more come.
            let Ok(message) = message else { continue };
            match peer::decode::<StoreMessage>(&message) {
                Ok(StoreMessage::Summary(summary))
                    if summary.node == from && self.controller.borrow().leader.is_some() =>
                {
                    let response = self.receive_summary(*summary);
                    self.responses_through_store.borrow_mut().insert(from, (self.now(), response));
                }
                Ok(StoreMessage::PeerResponse(response)) => {
                    self.controller
                        .borrow_mut()
                        .record_leader_message_from_store(self.now(), &response);
                    self.controller.borrow_mut().apply_leader_response(response);
                }
                Err(_) => self.warn_unreadable(self.name_of(from)),
                _ => {}
            }
        }
    }

    /// As the leader, sends plans through the store to the controllers that sent their summaries this way.
    pub(super) async fn send_plans_through_store(&self) {
        let now = self.now();
        let receivers: Vec<(NodeId, bool)> = {
            let mut responses_through_store = self.responses_through_store.borrow_mut();
            responses_through_store.retain(|_, (at, _)| now.since(*at) < SEND_PLANS_FOR_MS);
            responses_through_store
                .iter()
                .map(|(node, (_, response))| {
                    (*node, matches!(response, PeerResponse::SendFullSummary))
                })
                .collect()
        };
        for (node, whole) in receivers {
            let message = self.controller.borrow().plan_for(node, now);
            if let Some((plan, condition)) = message {
                let response = if whole {
                    PeerResponse::SendFullSummary
                } else {
                    PeerResponse::Plan(Box::new(plan))
                };
                self.send_through_store(
                    node,
                    condition,
                    &peer::encode(&StoreMessage::PeerResponse(response)),
                )
                .await;
            }
        }
    }
}
