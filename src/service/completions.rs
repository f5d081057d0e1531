//! The loop that writes completed tasks to the store, many jobs at a time.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use tracing::debug;

use super::Service;
use crate::store_client::TxnOutcome;
use crate::wire::Txn;

/// Longest wait between two looks at what is to be written; completions bring them forward.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Pause before each write, so that completions that come together share a transaction.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Attempts of one transaction, each without the jobs that somebody else wrote before it.
const COMMIT_ATTEMPTS: usize = 3;

impl Service {
    /// Writes completed tasks as they become due.
    pub(super) async fn write_completions(self: Rc<Self>) {
        loop {
            let _ = timeout(MAX_WAIT, self.wake_ups.completions.notified()).await;
            sleep(BATCH_PAUSE).await;
            let now = self.now();
            self.store.set_leading(self.controller.borrow().leader.is_some());
            let next = self.controller.borrow_mut().completions_txn(now);
            if let Some(txn) = next {
                self.commit_completions(txn).await;
            }
        }
    }

    /// Commits completions. Jobs that somebody else wrote meanwhile come next time, the others go now.
    async fn commit_completions(&self, mut txn: Txn) {
        for _ in 0..COMMIT_ATTEMPTS {
            match self.store.commit(&txn).await {
                Ok(TxnOutcome::Committed(version)) => {
                    self.apply_committed(&txn, version);
                    return;
                }
                Ok(TxnOutcome::ConditionsFailed(failed)) => txn.remove_changes(&failed),
                Err(e) => {
                    debug!(error = %e, "completions not written");
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
