//! Confirmations on request that the replica is current, shared by callers that come together.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::Service;

/// How long a caller waits for a confirmation: a user's request is answered within a second.
const CONFIRMATION_LIMIT: Duration = Duration::from_millis(900);
/// Pause between two confirmations, so that callers that come meanwhile share the next one.
const BATCH_PAUSE: Duration = Duration::from_millis(20);

/// Why the replica could not be confirmed to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfirmError {
    /// The store has not been read yet.
    #[error("the store has not been read yet")]
    NotLoaded,
    /// The store did not answer the request for changes, or refused it.
    #[error("the store does not confirm that the replica is current")]
    Refused,
    /// The confirmation did not come in time.
    #[error("the store has not confirmed in time that the replica is current")]
    TimedOut,
}

/// Callers that wait for the next confirmation.
#[derive(Default)]
pub(super) struct ConfirmationQueue {
    waiting: RefCell<Vec<oneshot::Sender<bool>>>,
    wake: Notify,
}

impl ConfirmationQueue {
    fn push(&self) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        self.wake.notify_one();
        receiver
    }

    /// Brings the replica up to date soon, for a caller that does not wait for it.
    pub(super) fn request_without_waiting(&self) {
        drop(self.push());
    }

    fn take_all(&self) -> Vec<oneshot::Sender<bool>> {
        std::mem::take(&mut *self.waiting.borrow_mut())
    }
}

impl Service {
    /// Waits until the replica is known to be as current as this moment.
    pub async fn confirm_replica(&self) -> Result<(), ConfirmError> {
        if !self.controller.borrow().loaded {
            return Err(ConfirmError::NotLoaded);
        }
        match timeout(CONFIRMATION_LIMIT, self.confirmations.push()).await {
            Ok(Ok(true)) => Ok(()),
            Ok(_) => Err(ConfirmError::Refused),
            Err(_) => Err(ConfirmError::TimedOut),
        }
    }

    /// Serves those that wait for confirmations, all with one request.
    pub(super) async fn serve_confirmations(self: Rc<Self>) {
        loop {
            self.confirmations.wake.notified().await;
            loop {
                let waiting = self.confirmations.take_all();
                if waiting.is_empty() {
                    break;
                }
                let confirmed = self.sync_replica(Duration::ZERO).await.is_ok();
                for sender in waiting {
                    let _ = sender.send(confirmed);
                }
                sleep(BATCH_PAUSE).await;
            }
        }
    }
}
