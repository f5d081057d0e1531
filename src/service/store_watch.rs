//! Keeps the replica of the store current: one full read, followed by watches.

use std::time::Duration;

use tokio::time::sleep;
use tracing::{debug, info};

use super::Service;
use crate::metrics::Operation;
use crate::model::Revision;
use crate::replica::{self, Replica, ReplicaChanges};
use crate::store_client::{PageSize, StoreError};

/// Pause after a failed full read of the store.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two watches, so that several changes share one response.
const WATCH_PAUSE: Duration = Duration::from_millis(40);
/// Pause after a failed watch.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Lower and upper bound in milliseconds of a watch's wait for changes. The lower bound limits idle
/// watches to ten per second. The upper bound makes each watch prove a current replica at least
/// once per second.
const WATCH_WAIT_RANGE_MS: (u64, u64) = (100, 1_000);

impl Service {
    /// Reads the store in full once, and again if its changes are no longer retained; keeps the
    /// replica current by watches in between.
    pub(super) async fn follow_store(&self) {
        loop {
            if !self.controller.borrow().loaded {
                if let Err(e) = self.load_replica().await {
                    debug!(error = %e, "reading the store in full failed");
                    sleep(LOAD_RETRY_PAUSE).await;
                    continue;
                }
                info!("replica loaded from the store");
            }
            match self.sync_replica(self.watch_wait()).await {
                Ok(()) => sleep(WATCH_PAUSE).await,
                Err(StoreError::ChangesTooOld) => self.controller.borrow_mut().loaded = false,
                Err(e) => {
                    debug!(error = %e, "watch of the store failed");
                    sleep(WATCH_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns a watch's maximum wait for changes. The response proves that the replica was current
    /// when the watch was sent, so the wait has to be far shorter than the validity of this proof,
    /// `keep_alive_ms`.
    fn watch_wait(&self) -> Duration {
        let (min_ms, max_ms) = WATCH_WAIT_RANGE_MS;
        Duration::from_millis((self.settings.keep_alive_ms() / 4).clamp(min_ms, max_ms))
    }

    /// Reads the store in full and installs the new replica.
    ///
    /// # Errors
    /// Returns the store's error. If a page could not be read, the old replica remains.
    pub(super) async fn load_replica(&self) -> Result<(), StoreError> {
        let sent = self.now();
        let mut start_revision: Option<Revision> = None;
        // A decoded page takes many times the memory of its records in the replica, so each page is
        // loaded as soon as it arrives.
        let mut replica = Replica::new(self.node_id);
        let mut items = 0;
        for prefix in replica::KEY_PREFIXES {
            let mut after: Option<String> = None;
            let mut page_size = PageSize::default();
            loop {
                let (page, next_page_size) =
                    self.store.page(prefix, after.as_deref(), page_size).await?;
                page_size = next_page_size;
                start_revision.get_or_insert(page.revision);
                after = page.items.last().map(|item| item.key.clone());
                items += page.items.len();
                page.items
                    .iter()
                    .for_each(|item| replica.load(item, &mut ReplicaChanges::default()));
                if !page.truncated || after.is_none() {
                    break;
                }
            }
        }
        self.controller.borrow_mut().install_replica(replica, start_revision.unwrap_or_default());
        debug!(items, sent = sent.0, "all pages of the store loaded");
        self.sync_replica(Duration::ZERO).await?;
        let all_changes = ReplicaChanges {
            new_jobs: true,
            job_progress: true,
            leader: true,
            peer_messages: true,
            ..ReplicaChanges::default()
        };
        self.on_replica_changes(&all_changes);
        Ok(())
    }

    /// Requests the changes since the replica's revision, waits up to `wait` for the first one, and
    /// applies them. Success proves that the replica was current when this function was called.
    pub(super) async fn sync_replica(&self, wait: Duration) -> Result<(), StoreError> {
        let sent = self.now();
        let after = self.controller.borrow().watch_start_revision().ok_or(StoreError::Unknown)?;
        let response = self.store.changes(after, wait).await;
        let replica_changes = {
            let mut controller = self.controller.borrow_mut();
            controller.store_ok = response.is_ok();
            let response = response?;
            self.metrics
                .time(Operation::Watch, || controller.apply_watch_response(&response, sent))
                .ok_or(StoreError::ChangesTooOld)?
        };
        self.on_replica_changes(&replica_changes);
        Ok(())
    }

    /// Reacts to changes in the replica and wakes the loops that depend on them.
    pub(super) fn on_replica_changes(&self, replica_changes: &ReplicaChanges) {
        self.controller.borrow_mut().on_replica_changes(self.clock_reading(), replica_changes);
        if replica_changes.leader {
            self.wake_ups.election.notify_one();
            self.wake_ups.summary.notify_one();
        }
        if replica_changes.leader || replica_changes.new_jobs || replica_changes.job_progress {
            self.wake_ups.epoch.notify_one();
        }
        if replica_changes.peer_messages {
            self.receive_store_messages();
        }
    }
}
