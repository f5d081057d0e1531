//! Durable cancellations, and notices of them to other controllers.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use super::Service;
use crate::model::{JobId, Revision};
use crate::peer::PeerRequest;
use crate::replica;
use crate::store_client::{StoreError, TxnOutcome};

/// Time without a response from the store after which the same transaction is sent again. A user is
/// waiting for its outcome.
const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Time limit for another controller's response to a cancellation notice. Notices are not repeated.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Outcome of a cancellation that the store responded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancellationOutcome {
    /// The cancellation is durable.
    Cancelled,
    /// The replica has no such open job: it has ended in the meantime.
    NotOpen,
    /// The job's progress record changed in the meantime. The caller has to try again.
    Conflict,
}

impl Service {
    /// Cancels a job durably.
    ///
    /// # Errors
    /// Returns the store's error. The cancellation may have been committed nevertheless.
    pub(crate) async fn write_cancellation(
        self: &Rc<Self>,
        id: JobId,
    ) -> Result<CancellationOutcome, StoreError> {
        let Some((txn, progress)) = self.controller.borrow().cancel_txn(id) else {
            return Ok(CancellationOutcome::NotOpen);
        };
        match self.store.commit_hedged(&txn, HEDGE_DELAY).await? {
            TxnOutcome::Committed(version) => {
                self.apply_committed(&txn, version);
                self.send_cancellation_notices(id, progress, version);
                Ok(CancellationOutcome::Cancelled)
            }
            TxnOutcome::ConditionsFailed(_) => Ok(CancellationOutcome::Conflict),
        }
    }

    /// Notifies the other controllers of a cancellation. The store may refuse service to one of
    /// them, which would otherwise start tasks of the job until its right to start tasks expires.
    /// The response to the user does not wait for the notices.
    fn send_cancellation_notices(
        self: &Rc<Self>,
        id: JobId,
        progress: replica::Progress,
        version: Revision,
    ) {
        let request = Rc::new(PeerRequest::JobCancelled(id, progress, version));
        for node in self
            .other_nodes()
            .filter(|node| self.controller.borrow().replica.supports_cancellation_notices(*node))
        {
            let (service, request) = (self.clone(), request.clone());
            spawn_local(async move { service.call_peer(node, &request, NOTICE_TIMEOUT).await });
        }
    }
}
