//! Durable cancellations, and the notices of them to other controllers.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use super::Service;
use crate::model::{JobId, Revision};
use crate::peer::PeerRequest;
use crate::replica;
use crate::store_client::{StoreError, TxnOutcome};

/// Time without the store's answer after which the same transaction is sent a second time: a user waits for it.
const HEDGE_AFTER: Duration = Duration::from_millis(150);
/// How long another controller has to answer a cancellation notice, which is not sent again.
const NOTICE_LIMIT: Duration = Duration::from_millis(500);

/// What became of a cancellation that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancellationOutcome {
    /// The job is cancelled, durably.
    Cancelled,
    /// The replica shows no such open job any more: it has ended meanwhile.
    NotOpen,
    /// The job's progress changed meanwhile, and the caller has to look again.
    Conflict,
}

impl Service {
    /// Cancels a job durably. Errors are the store's; the cancellation may have been committed then.
    pub(crate) async fn write_cancellation(
        self: &Rc<Self>,
        id: JobId,
    ) -> Result<CancellationOutcome, StoreError> {
        let Some((txn, progress)) = self.controller.borrow().cancel_txn(id) else {
            return Ok(CancellationOutcome::NotOpen);
        };
        match self.store.commit_hedged(&txn, HEDGE_AFTER).await? {
            TxnOutcome::Committed(version) => {
                self.apply_committed(&txn, version);
                self.send_cancellation_notices(id, progress, version);
                Ok(CancellationOutcome::Cancelled)
            }
            TxnOutcome::ConditionsFailed(_) => Ok(CancellationOutcome::Conflict),
        }
    }

    /// Notifies the other controllers of a cancellation, as the store may refuse one of them alone: it would start tasks
    /// of the job until its right to start expires. The user's answer does not wait for this.
    fn send_cancellation_notices(
        self: &Rc<Self>,
        id: JobId,
        progress: replica::Progress,
        version: Revision,
    ) {
        let request = Rc::new(PeerRequest::JobCancelled(id, progress, version));
        for node in self
            .others()
            .filter(|node| self.controller.borrow().replica.supports_cancellation_notices(*node))
        {
            let (service, request) = (self.clone(), request.clone());
            spawn_local(async move { service.call_peer(node, &request, NOTICE_LIMIT).await });
        }
    }
}
