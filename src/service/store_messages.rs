//! Messages through the store between controllers without a direct connection.

use tracing::{debug, warn};

use super::{Service, message_chunk_bytes};
use crate::message_chunks;
use crate::model::NodeId;
use crate::peer::{self, PeerResponse, StoreMessage, Summary};
use crate::replica;
use crate::store_client::TxnOutcome;
use crate::wire::{self, Change, Condition, Txn};

/// Maximum number of transactions for one message through the store.
const MAX_TXNS_PER_STORE_MESSAGE: usize = 16;
/// Time in milliseconds after a controller's last summary through the store during which the
/// controller is sent plans through the store.
const STORE_PLANS_EXPIRY_MS: u64 = 5_000;

impl Service {
    /// Sends a summary to the leader through the store, on condition that this process is still the
    /// registered member.
    pub(super) async fn send_summary_through_store(&self, leader: NodeId, summary: &Summary) {
        let condition = {
            let controller = self.controller.borrow();
            controller.replica.members.get(&self.node_id).map(|member| Condition {
                key: replica::member_key(self.node_id),
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

    /// Writes a message for another controller to the store in chunks, subject to the condition.
    async fn send_through_store(&self, to: NodeId, condition: Condition, message: &[u8]) {
        let limits = &self.settings.params.store;
        let chunks = message_chunks::split(message, message_chunk_bytes(limits));
        if chunks.len() > MAX_TXNS_PER_STORE_MESSAGE * limits.txn_ops {
            warn!(
                chunks = chunks.len(),
                "message exceeded the maximum number of chunks; not sent through the store"
            );
            return;
        }
        let mut puts = chunks.into_iter().enumerate().map(|(i, text)| Change::Put {
            key: replica::peer_message_key(to, self.node_id, i as u32),
            value: wire::Value::Text(text),
            lease: None,
        });
        // Chunks beyond the first transaction are written by further transactions. The receiver
        // waits while chunks are missing or belong to another message.
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
                    debug!(error = %e, "writing a message to the store failed");
                    return;
                }
            }
        }
    }

    /// Handles messages received through the store.
    pub(super) fn receive_store_messages(&self) {
        let senders: Vec<NodeId> =
            self.controller.borrow().replica.peer_messages.keys().copied().collect();
        for from in senders {
            let message = {
                let controller = self.controller.borrow();
                let chunks = controller.replica.peer_messages.get(&from).into_iter().flatten();
                message_chunks::join(chunks.map(|(_, text)| text.as_str()))
            };
            // A message is incomplete while its sender is writing it. It is read again when more
            // chunks arrive.
            let Ok(message) = message else { continue };
            match peer::decode::<StoreMessage>(&message) {
                Ok(StoreMessage::Summary(summary))
                    if summary.node == from && self.controller.borrow().leader.is_some() =>
                {
                    let response = self.receive_summary(*summary);
                    self.store_summary_responses.borrow_mut().insert(from, (self.now(), response));
                }
                Ok(StoreMessage::PeerResponse(response)) => {
                    self.controller
                        .borrow_mut()
                        .record_leader_message_from_store(self.now(), &response);
                    self.controller.borrow_mut().apply_leader_response(response);
                }
                Err(_) => self.warn_unreadable_message(self.node_name(from)),
                _ => {}
            }
        }
    }

    /// On the leader, sends plans through the store to controllers that sent their summaries this
    /// way.
    pub(super) async fn send_plans_through_store(&self) {
        let now = self.now();
        let receivers: Vec<(NodeId, bool)> = {
            let mut responses = self.store_summary_responses.borrow_mut();
            responses.retain(|_, (received_at, _)| now.since(*received_at) < STORE_PLANS_EXPIRY_MS);
            responses
                .iter()
                .map(|(node, (_, response))| {
                    (*node, matches!(response, PeerResponse::SendFullSummary))
                })
                .collect()
        };
        for (node, needs_full_summary) in receivers {
            let plan_and_condition = self.controller.borrow().plan_for(node, now);
            if let Some((plan, condition)) = plan_and_condition {
                let response = if needs_full_summary {
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
