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

/// Longest wait between two epochs; submissions, progress and summaries bring them forward.
const MAX_EPOCH_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest pause between two epochs, so that changes that come together share one.
const MIN_EPOCH_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after an epoch that cost much.
const MAX_EPOCH_PAUSE: Duration = Duration::from_millis(250);
/// Pause after an epoch, in multiples of the time that working it out took, so that the leader always has time for its
/// workers and users. Bounded by [`MIN_EPOCH_PAUSE`] and [`MAX_EPOCH_PAUSE`].
const PAUSE_PER_EPOCH_TIME: u64 = 80;
/// Pause after a new term could not be taken: the outcome may be unknown, and the replica shows it soon.
const TERM_RETRY: Duration = Duration::from_millis(500);
/// Time between two lines of measurements in the log.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(10);
/// Status by which the store calls a write malformed, which it does as well when a write exceeds its limits.
const MALFORMED_STATUS: u16 = 400;

impl Service {
    /// As the leader, runs epochs, and sends plans through the store to those that are not reached otherwise.
    pub(super) async fn run_epochs(self: Rc<Self>) {
        let mut sent_through_store = self.now();
        loop {
            let _ = timeout(MAX_EPOCH_WAIT, self.wake_ups.epoch.notified()).await;
            self.run_epoch().await;
            let now = self.now();
            if now.since(sent_through_store) >= STORE_MESSAGE_PERIOD.as_millis() as u64 {
                sent_through_store = now;
                self.send_plans_through_store().await;
            }
            let pause = Duration::from_micros(self.epoch_us.get() * PAUSE_PER_EPOCH_TIME);
            sleep(pause.clamp(MIN_EPOCH_PAUSE, MAX_EPOCH_PAUSE)).await;
        }
    }

    /// Logs from time to time what is done and how long it takes.
    pub(super) async fn log_measurements(self: Rc<Self>) {
        loop {
            sleep(MEASUREMENT_PERIOD).await;
            let refused_starts = self.controller.borrow().shard.refused_starts();
            info!(work = %self.metrics.take_line(), refused_starts, "measured");
            self.controller.borrow_mut().with_leader(self.moment(), |leader, cluster| {
                info!(term = %leader.term, state = %leader.describe(cluster), "epoch");
            });
        }
    }

    /// Works out one epoch, writes it, and publishes it once it is durable.
    async fn run_epoch(&self) {
        let moment = self.moment();
        let (result, took_us) = {
            let mut controller = self.controller.borrow_mut();
            self.metrics.time_and_measure(Operation::Epoch, || controller.epoch(moment))
        };
        self.epoch_us.set(took_us);
        let Some((epoch, term)) = result else { return };
        let renewal = {
            let controller = self.controller.borrow();
            controller.leader.as_ref().and_then(|leader| leader.renew_term)
        };
        if let Some(reason) = renewal {
            // As a string, which the log quotes.
            info!(%term, reason = reason.as_str(), "taking a new term");
            if let Err(e) = self.acquire_leadership().await {
                debug!(error = %e, "new term undecided");
                sleep(TERM_RETRY).await;
            }
            return;
        }
        if let Some(txn) = &epoch.txn
            && !self.commit_epoch(txn).await
        {
            return;
        }
        let granted = !epoch.is_empty();
        let moment = self.moment();
        let mut controller = self.controller.borrow_mut();
        self.metrics.time(Operation::Publish, || controller.publish(moment, epoch, term));
        drop(controller);
        if granted {
            self.wake_ups.summary.notify_one();
        }
    }

    /// Writes an epoch to the store; false if it did not become durable, as far as is known.
    async fn commit_epoch(&self, txn: &Txn) -> bool {
        match self.store.commit(txn).await {
            Ok(TxnOutcome::Committed(version)) => {
                self.apply_committed(txn, version);
                true
            }
            Ok(TxnOutcome::ConditionsFailed(failed)) => {
                debug!(?failed, "epoch not written");
                let _ = self.sync_replica(Duration::ZERO).await;
                false
            }
            Err(e) => {
                debug!(error = %e, "epoch not written");
                self.lower_limits_if_malformed(&e);
                false
            }
        }
    }

    /// Lowers the limits that writes keep to when the store calls a write malformed.
    pub(super) fn lower_limits_if_malformed(&self, error: &StoreError) {
        if matches!(error, StoreError::Malformed(MALFORMED_STATUS)) {
            self.controller.borrow_mut().lower_store_limits();
        }
    }

    /// Applies a transaction of this controller that was just committed.
    pub(super) fn apply_committed(&self, txn: &Txn, version: Revision) {
        let replica_changes = self.controller.borrow_mut().apply_committed(txn, version);
        self.follow_changes(&replica_changes);
    }
}
