//! The replica of the store: read whole, kept current by watches, and confirmed on request.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use super::Service;
use crate::metrics::Operation;
use crate::model::Revision;
use crate::replica::{self, Replica, ReplicaChanges};
use crate::store_client::{PageSize, StoreError};

impl Service {
    /// Keeps the replica current.
    pub(super) async fn follow_store(&self) {
        loop {
            if !self.controller.borrow().loaded {
                if let Err(e) = self.load().await {
                    debug!(error = %e, "the store cannot be read yet");
                    sleep(Duration::from_millis(200)).await;
                    continue;
                }
                info!("the store has been read");
            }
            match self.pull(self.watch_for()).await {
                Ok(()) => sleep(Duration::from_millis(40)).await,
                Err(StoreError::TooOld) => self.controller.borrow_mut().loaded = false,
                Err(e) => {
                    debug!(error = %e, "cannot follow the store");
                    sleep(Duration::from_millis(150)).await;
                }
            }
        }
    }

    /// How long a watch waits for changes. Its answer proves that the replica was current when it was
    /// asked for, so the wait has to be well within what such a proof is good for.
    fn watch_for(&self) -> Duration {
        Duration::from_millis((self.settings.keep_alive_ms() / 4).clamp(100, 1_000))
    }

    /// Reads the whole store.
    pub(super) async fn load(&self) -> Result<(), StoreError> {
        let sent = self.now();
        let mut first: Option<Revision> = None;
        // Pages as they were read take many times what the replica keeps of them, so each is taken at once.
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
        self.controller.borrow_mut().take_replica(replica, first.unwrap_or_default());
        debug!(items, sent = sent.0, "loaded");
        self.pull(Duration::ZERO).await?;
        let all = ReplicaChanges {
            new_jobs: true,
            job_progress: true,
            leader: true,
            peer_messages: true,
            ..ReplicaChanges::default()
        };
        self.note(&all);
        Ok(())
    }

    /// Takes changes, waiting for some for up to `wait`.
    pub(super) async fn pull(&self, wait: Duration) -> Result<(), StoreError> {
        let sent = self.now();
        let after = self.controller.borrow().changes_from().ok_or(StoreError::Unknown)?;
        let got = self.store.changes(after, wait).await;
        let replica_changes = {
            let mut controller = self.controller.borrow_mut();
            controller.store_ok = got.is_ok();
            let got = got?;
            self.metrics
                .time(Operation::Watch, || controller.apply(&got, sent))
                .ok_or(StoreError::TooOld)?
        };
        self.note(&replica_changes);
        Ok(())
    }

    /// Follows a change and wakes the loops that it concerns.
    pub(super) fn note(&self, replica_changes: &ReplicaChanges) {
        self.controller.borrow_mut().follow(self.moment(), replica_changes);
        if replica_changes.leader {
            self.wake_election.notify_one();
            self.wake_shard_report.notify_one();
        }
        if replica_changes.leader || replica_changes.new_jobs || replica_changes.job_progress {
            self.wake_epoch.notify_one();
        }
        if replica_changes.peer_messages {
            self.receive_store_messages();
        }
    }

    /// Waits until the replica is known to be as current as this moment; false if the store
    /// does not say so. Callers that come together share one request.
    pub async fn confirm(&self) -> bool {
        if !self.controller.borrow().loaded {
            return false;
        }
        let (tx, rx) = oneshot::channel();
        self.confirms.borrow_mut().push(tx);
        self.wake_confirm.notify_one();
        matches!(timeout(Duration::from_millis(900), rx).await, Ok(Ok(true)))
    }

    pub(super) async fn serve_confirms(self: Rc<Self>) {
        loop {
            self.wake_confirm.notified().await;
            loop {
                let waiting = std::mem::take(&mut *self.confirms.borrow_mut());
                if waiting.is_empty() {
                    break;
                }
                let ok = self.pull(Duration::ZERO).await.is_ok();
                for w in waiting {
                    let _ = w.send(ok);
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}
