//! Confirmations that the replica is current. Concurrent callers share one request to the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::Service;

/// Time limit for a confirmation. Users' requests are answered within 1 s.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a confirmation, so that callers arriving in the meantime share the next one.
const BATCH_PAUSE: Duration = Duration::from_millis(20);

/// Reason why the replica was not confirmed to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfirmError {
    /// The store has not been read in full yet.
    #[error("the store has not been read in full yet")]
    NotLoaded,
    /// The store did not answer the request for changes, or rejected it.
    #[error("the store did not confirm that the replica is current")]
    Refused,
    /// The confirmation did not arrive within the time limit.
    #[error("the store did not confirm within the time limit that the replica is current")]
    TimedOut,
}

/// Callers waiting for the next confirmation, each with the channel for its result.
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

    /// Triggers an update of the replica without waiting for it.
    pub(super) fn request_without_waiting(&self) {
        drop(self.push());
    }

    fn take_all(&self) -> Vec<oneshot::Sender<bool>> {
        std::mem::take(&mut *self.waiting.borrow_mut())
    }
}

impl Service {
    /// Waits for a proof that the replica was current at a time after the call.
    ///
    /// # Errors
    /// [`ConfirmError`] if the store does not give this proof within the time limit.
    pub async fn confirm_replica(&self) -> Result<(), ConfirmError> {
        if !self.controller.borrow().loaded {
            return Err(ConfirmError::NotLoaded);
        }
        match timeout(CONFIRMATION_TIMEOUT, self.confirmations.push()).await {
            Ok(Ok(true)) => Ok(()),
            Ok(_) => Err(ConfirmError::Refused),
            Err(_) => Err(ConfirmError::TimedOut),
        }
    }

    /// Confirms to waiting callers that the replica is current; one request serves all callers that
    /// wait.
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
