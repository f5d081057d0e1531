//! Messages through the store, for controllers that cannot reach each other.

use tracing::{debug, warn};

use super::{MAX_TXNS_PER_MESSAGE, Service, message_chunk_bytes};
use crate::message_chunks;
use crate::model::NodeId;
use crate::peer::{self, PeerResponse, StoreMessage, Summary};
use crate::replica;
use crate::store_client::Committed;
use crate::wire::{self, Change, Condition, Txn};

impl Service {
    pub(super) async fn send_summary_through_store(&self, leader: NodeId, summary: &Summary) {
        let condition = {
            let controller = self.controller.borrow();
            controller
                .replica
                .members
                .get(&self.me)
                .map(|m| Condition { key: replica::member_key(self.me), version: m.version })
        };
        let Some(condition) = condition else { return };
        self.send_through_store(
            leader,
            condition,
            &peer::encode(&StoreMessage::Summary(Box::new(summary.clone()))),
        )
        .await;
    }

    async fn send_through_store(&self, to: NodeId, condition: Condition, message: &[u8]) {
        let limits = &self.settings.params.state;
        let chunks = message_chunks::split(message, message_chunk_bytes(limits));
        if chunks.len() > MAX_TXNS_PER_MESSAGE * limits.txn_ops {
            warn!(chunks = chunks.len(), "message too large for the store");
            return;
        }
        let mut puts = chunks.into_iter().enumerate().map(|(i, text)| Change::Put {
            key: replica::peer_message_key(to, self.me, i as u32),
            value: wire::Value::Text(text),
            lease: None,
        });
        // What does not fit into one transaction follows in others. The receiver takes the message
        // once it has all its parts; while some are of another one, it waits.
        loop {
            let changes: Vec<Change> = puts.by_ref().take(limits.txn_ops).collect();
            if changes.is_empty() {
                return;
            }
            let txn = Txn { conditions: vec![condition.clone()], changes };
            match self.store.commit(&txn).await {
                Ok(Committed::Yes(_)) => {}
                Ok(Committed::No(_)) => return,
                Err(e) => {
                    debug!(error = %e, "message through the store failed");
                    return;
                }
            }
        }
    }

    /// Takes messages that came through the store.
    pub(super) fn receive_store_messages(&self) {
        let senders: Vec<NodeId> =
            self.controller.borrow().replica.peer_messages.keys().copied().collect();
        for from in senders {
            let message = {
                let controller = self.controller.borrow();
                let chunks = controller.replica.peer_messages.get(&from).into_iter().flatten();
                message_chunks::join(chunks.map(|(_, text)| text.as_str()))
            };
            let Some(message) = message else { continue };
            match peer::decode::<StoreMessage>(&message) {
                Some(StoreMessage::Summary(summary))
                    if summary.node == from && self.controller.borrow().leader.is_some() =>
                {
                    let response = self.take_summary(*summary);
                    self.responses_through_store.borrow_mut().insert(from, (self.now(), response));
                }
                Some(StoreMessage::PeerResponse(response)) => {
                    self.controller.borrow_mut().heard_leader_through_store(self.now(), &response);
                    self.controller.borrow_mut().take_answer(response);
                }
                None => self.unread(self.name_of(from)),
                _ => {}
            }
        }
    }

    /// As the leader, sends plans through the store to those that sent their summaries so.
    pub(super) async fn send_plans_through_store(&self) {
        let now = self.now();
        let to: Vec<(NodeId, bool)> = {
            let mut responses_through_store = self.responses_through_store.borrow_mut();
            responses_through_store.retain(|_, (at, _)| now.since(*at) < 5_000);
            responses_through_store
                .iter()
                .map(|(n, (_, t))| (*n, matches!(t, PeerResponse::SendWhole)))
                .collect()
        };
        for (node, whole) in to {
            let message = self.controller.borrow().plan_for(node, now);
            if let Some((plan, condition)) = message {
                let response = if whole {
                    PeerResponse::SendWhole
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
