//! The replica of the store: read whole, then kept current by watches.

use std::time::Duration;

use tokio::time::sleep;
use tracing::{debug, info};

use super::Service;
use crate::metrics::Operation;
use crate::model::Revision;
use crate::replica::{self, Replica, ReplicaChanges};
use crate::store_client::{PageSize, StoreError};

/// Pause before the store is read again after that failed.
const LOAD_RETRY: Duration = Duration::from_millis(200);
/// Pause between two watches, so that changes that come together share an answer.
const WATCH_PAUSE: Duration = Duration::from_millis(40);
/// Pause after a watch that failed.
const WATCH_RETRY: Duration = Duration::from_millis(150);
/// Bounds, in milliseconds, of how long a watch waits for changes: the store is not asked more often than ten times a
/// second, and its answer proves something at least once a second.
const WATCH_WAIT_MS: (u64, u64) = (100, 1_000);

impl Service {
    /// Keeps the replica current.
    pub(super) async fn follow_store(&self) {
        loop {
            if !self.controller.borrow().loaded {
                if let Err(e) = self.load().await {
                    debug!(error = %e, "the store cannot be read yet");
                    sleep(LOAD_RETRY).await;
                    continue;
                }
                info!("the store has been read");
            }
            match self.sync_replica(self.watch_wait()).await {
                Ok(()) => sleep(WATCH_PAUSE).await,
                Err(StoreError::ChangesTooOld) => self.controller.borrow_mut().loaded = false,
                Err(e) => {
                    debug!(error = %e, "cannot follow the store");
                    sleep(WATCH_RETRY).await;
                }
            }
        }
    }

    /// How long a watch waits for changes. Its answer proves that the replica was current when it was
    /// asked for, so the wait has to be well within what such a proof is good for.
    fn watch_wait(&self) -> Duration {
        let (least_ms, most_ms) = WATCH_WAIT_MS;
        Duration::from_millis((self.settings.keep_alive_ms() / 4).clamp(least_ms, most_ms))
    }

    /// Reads the whole store.
    pub(super) async fn load(&self) -> Result<(), StoreError> {
        let sent = self.now();
        let mut first: Option<Revision> = None;
        // Pages take many times the memory that the replica needs for them, so each is loaded as it arrives.
        let mut replica = Replica::new(self.me);
        let mut items = 0;
        for prefix in replica::KEY_PREFIXES {
            let mut after: Option<String> = None;
            let mut size = PageSize::default();
            loop {
                let (page, next) = self.store.page(prefix, after.as_deref(), size).await?;
                size = next;
                first.get_or_insert(page.revision);
                after = page.items.last().map(|i| i.key.clone());
                items += page.items.len();
                page.items
                    .iter()
                    .for_each(|item| replica.load(item, &mut ReplicaChanges::default()));
                if !page.truncated || after.is_none() {
                    break;
                }
            }
        }
        self.controller.borrow_mut().install_replica(replica, first.unwrap_or_default());
        debug!(items, sent = sent.0, "loaded");
        self.sync_replica(Duration::ZERO).await?;
        let all = ReplicaChanges {
            new_jobs: true,
            job_progress: true,
            leader: true,
            peer_messages: true,
            ..ReplicaChanges::default()
        };
        self.follow_changes(&all);
        Ok(())
    }

    /// Applies the changes since the last ones, waiting for some for up to `wait`. Its success proves that the replica was
    /// current when this was called.
    pub(super) async fn sync_replica(&self, wait: Duration) -> Result<(), StoreError> {
        let sent = self.now();
        let after = self.controller.borrow().watch_start_revision().ok_or(StoreError::Unknown)?;
        let got = self.store.changes(after, wait).await;
        let replica_changes = {
            let mut controller = self.controller.borrow_mut();
            controller.store_ok = got.is_ok();
            let got = got?;
            self.metrics
                .time(Operation::Watch, || controller.apply_watch_response(&got, sent))
                .ok_or(StoreError::ChangesTooOld)?
        };
        self.follow_changes(&replica_changes);
        Ok(())
    }

    /// Acts on changes in the replica and wakes the loops that they concern.
    pub(super) fn follow_changes(&self, replica_changes: &ReplicaChanges) {
        self.controller.borrow_mut().on_replica_changes(self.moment(), replica_changes);
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
