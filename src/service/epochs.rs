//! The leader's loop: computes an epoch, commits it to the store and only afterwards publishes it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use super::{STORE_MESSAGE_PERIOD, Service};
use crate::metrics::Operation;
use crate::model::Revision;
use crate::store_client::{StoreError, TxnOutcome};
use crate::wire::Txn;

/// Maximum wait before an epoch. Submissions, progress and summaries trigger one earlier.
const MAX_EPOCH_WAIT: Duration = Duration::from_millis(1_000);
/// Minimum pause between two epochs, so that several changes share one epoch.
const MIN_EPOCH_PAUSE: Duration = Duration::from_millis(60);
/// Maximum pause after an epoch, reached when the computation is expensive.
const MAX_EPOCH_PAUSE: Duration = Duration::from_millis(250);
/// Pause after an epoch as a multiple of its computation time, which leaves the leader time for
/// workers and users. [`MIN_EPOCH_PAUSE`] and [`MAX_EPOCH_PAUSE`] bound the pause.
const PAUSE_PER_COMPUTATION_TIME: u64 = 80;
/// Pause after a failed attempt to acquire a new term. The outcome may be unknown, and the replica
/// shows it soon.
const TERM_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time between two log lines with measurements.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(10);
/// HTTP status with which the store rejects a malformed write, including a write that exceeds its
/// limits.
const MALFORMED_WRITE_STATUS: u16 = 400;

impl Service {
    /// On the leader, runs epochs, and sends plans through the store to controllers that are not
    /// reached directly.
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
            let pause =
                Duration::from_micros(self.last_epoch_us.get() * PAUSE_PER_COMPUTATION_TIME);
            sleep(pause.clamp(MIN_EPOCH_PAUSE, MAX_EPOCH_PAUSE)).await;
        }
    }

    /// Logs operation counts and latencies periodically and, on the leader, a description of its
    /// state.
    pub(super) async fn log_measurements(self: Rc<Self>) {
        loop {
            sleep(MEASUREMENT_PERIOD).await;
            let refused_starts = self.controller.borrow().shard.refused_starts();
            info!(work = %self.metrics.take_line(), refused_starts, "measured");
            self.controller.borrow_mut().with_leader(self.clock_reading(), |leader, cluster| {
                info!(term = %leader.term, state = %leader.describe(cluster), "epoch");
            });
        }
    }

    /// Computes one epoch, commits it, and publishes it once it is durable.
    async fn run_epoch(&self) {
        let now = self.clock_reading();
        let (result, took_us) = {
            let mut controller = self.controller.borrow_mut();
            self.metrics.time_and_measure(Operation::Epoch, || controller.epoch(now))
        };
        self.last_epoch_us.set(took_us);
        let Some((epoch, term)) = result else { return };
        let renewal_reason = {
            let controller = self.controller.borrow();
            controller.leader.as_ref().and_then(|leader| leader.renew_term)
        };
        if let Some(reason) = renewal_reason {
            // Logged as a string and not with `%`, so that the value is quoted.
            info!(%term, reason = reason.as_str(), "taking a new term");
            if let Err(e) = self.acquire_leadership().await {
                debug!(error = %e, "taking a new term failed or its outcome is unknown");
                sleep(TERM_RETRY_PAUSE).await;
            }
            return;
        }
        if let Some(txn) = &epoch.txn
            && !self.commit_epoch(txn).await
        {
            return;
        }
        let granted = !epoch.is_empty();
        let now = self.clock_reading();
        let mut controller = self.controller.borrow_mut();
        self.metrics.time(Operation::Publish, || controller.publish(now, epoch, term));
        drop(controller);
        if granted {
            self.wake_ups.summary.notify_one();
        }
    }

    /// Commits an epoch to the store. Returns `false` if the commit failed or its outcome is
    /// unknown.
    async fn commit_epoch(&self, txn: &Txn) -> bool {
        match self.store.commit(txn).await {
            Ok(TxnOutcome::Committed(version)) => {
                self.apply_committed(txn, version);
                true
            }
            Ok(TxnOutcome::ConditionsFailed(failed)) => {
                debug!(?failed, "epoch not committed: conditions failed");
                let _ = self.sync_replica(Duration::ZERO).await;
                false
            }
            Err(e) => {
                debug!(error = %e, "commit of an epoch failed");
                self.lower_limits_if_malformed(&e);
                false
            }
        }
    }

    /// Lowers the size limits of writes if the store rejected a write as malformed.
    pub(super) fn lower_limits_if_malformed(&self, error: &StoreError) {
        if matches!(error, StoreError::Malformed(MALFORMED_WRITE_STATUS)) {
            self.controller.borrow_mut().lower_store_limits();
        }
    }

    /// Applies a transaction that this controller has just committed to the replica.
    pub(super) fn apply_committed(&self, txn: &Txn, version: Revision) {
        let replica_changes = self.controller.borrow_mut().apply_committed(txn, version);
        self.on_replica_changes(&replica_changes);
    }
}
