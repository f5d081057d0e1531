//! Writes completed tasks to the store, many jobs per transaction.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use tracing::debug;

use super::Service;
use crate::store_client::TxnOutcome;
use crate::wire::Txn;

/// Maximum time between two checks for completions to write. A completion triggers a check earlier.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Pause before each write, so that several completions share a transaction.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of attempts for one transaction. Each attempt leaves out the jobs whose records
/// another writer changed.
const MAX_COMMIT_ATTEMPTS: usize = 3;

impl Service {
    /// Writes completed tasks to the store when a write is due. Before each check, sets this
    /// controller's share of the store's write rate, which is larger on the leader.
    pub(super) async fn write_completions(self: Rc<Self>) {
        loop {
            let _ = timeout(CHECK_PERIOD, self.wake_ups.completions.notified()).await;
            sleep(BATCH_PAUSE).await;
            let now = self.now();
            self.store.set_leading(self.controller.borrow().leader.is_some());
            let due_txn = self.controller.borrow_mut().completions_txn(now);
            if let Some(txn) = due_txn {
                self.commit_completions(txn).await;
            }
        }
    }

    /// Commits completions. A job whose record another writer changed in the meantime is left out
    /// and is written by a later transaction.
    async fn commit_completions(&self, mut txn: Txn) {
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.store.commit(&txn).await {
                Ok(TxnOutcome::Committed(version)) => {
                    self.apply_committed(&txn, version);
                    return;
                }
                Ok(TxnOutcome::ConditionsFailed(failed)) => txn.remove_changes(&failed),
                Err(e) => {
                    debug!(error = %e, "commit of completed tasks failed");
                    self.lower_limits_if_malformed(&e);
                    let _ = self.sync_replica(Duration::ZERO).await;
                    return;
                }
            }
            if txn.changes.is_empty() {
                return;
            }
        }
    }
}
