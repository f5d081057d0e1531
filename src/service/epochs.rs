//! The leader's loop: an epoch is worked out, written, and only then published.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use super::{STORE_MESSAGE_PERIOD, Service};
use crate::metrics::Operation;
use crate::model::Revision;
use crate::store_client::{StoreError, TxnOutcome};
use crate::wire::Txn;

/// Longest wait between two epochs; arrivals and reports bring them sooner.
const EPOCH: Duration = Duration::from_millis(1_000);
/// Shortest time between two epochs.
const EPOCH_LEAST: Duration = Duration::from_millis(60);
/// Longest rest after an epoch that cost much.
const EPOCH_REST: Duration = Duration::from_millis(250);

impl Service {
    pub(super) async fn run_epochs(self: Rc<Self>) {
        let mut sent_through_store = self.now();
        loop {
            let _ = timeout(EPOCH, self.wake_epoch.notified()).await;
            self.run_epoch().await;
            let now = self.now();
            if now.since(sent_through_store) >= STORE_MESSAGE_PERIOD.as_millis() as u64 {
                sent_through_store = now;
                self.send_plans_through_store().await;
            }
            // The leader always has time for its workers and users: an epoch that costs much
            // makes the next one wait.
            let pause = Duration::from_micros(self.epoch_us.get() * 80);
            sleep(pause.clamp(EPOCH_LEAST, EPOCH_REST)).await;
        }
    }

    /// Tells operators now and then what is done and how long it takes.
    pub(super) async fn describe(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(10)).await;
            let refused_starts = self.controller.borrow().shard.refused_starts();
            info!(work = %self.metrics.line(), refused_starts, "measured");
            self.controller.borrow_mut().with_leader(self.moment(), |leader, cluster| {
                info!(term = %leader.term, state = %leader.describe(cluster), "epoch");
            });
        }
    }

    async fn run_epoch(&self) {
        let moment = self.moment();
        let (found, took) = {
            let mut controller = self.controller.borrow_mut();
            self.metrics.timed(Operation::Epoch, || controller.epoch(moment))
        };
        self.epoch_us.set(took);
        let Some((epoch, term)) = found else { return };
        let renew = {
            let controller = self.controller.borrow();
            controller.leader.as_ref().and_then(|l| l.renew_term)
        };
        if let Some(reason) = renew {
            info!(%term, reason, "taking a new term");
            if let Err(e) = self.acquire_leadership().await {
                debug!(error = %e, "new term undecided");
                sleep(Duration::from_millis(500)).await;
            }
            return;
        }
        if let Some(txn) = &epoch.txn {
            match self.store.commit(txn).await {
                Ok(TxnOutcome::Committed(version)) => self.apply_own(txn, version),
                Ok(TxnOutcome::ConditionsFailed(failed)) => {
                    debug!(?failed, "epoch not written");
                    let _ = self.pull(Duration::ZERO).await;
                    return;
                }
                Err(e) => {
                    debug!(error = %e, "epoch not written");
                    self.note_refused_write(&e);
                    return;
                }
            }
        }
        let granted = !epoch.is_empty();
        let moment = self.moment();
        let mut controller = self.controller.borrow_mut();
        self.metrics.time(Operation::Publish, || controller.publish(moment, epoch, term));
        drop(controller);
        if granted {
            self.wake_shard_report.notify_one();
        }
    }

    /// Writes less at once when the store calls a write malformed.
    pub(super) fn note_refused_write(&self, e: &StoreError) {
        if matches!(e, StoreError::Malformed(400)) {
            self.controller.borrow_mut().tighten();
        }
    }

    /// Takes over what a transaction of this node just made durable.
    pub(super) fn apply_own(&self, txn: &Txn, version: Revision) {
        let replica_changes = self.controller.borrow_mut().apply_own(txn, version);
        self.note(&replica_changes);
    }
}
