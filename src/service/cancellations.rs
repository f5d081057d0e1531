//! Durable cancellations, notices of them to other controllers, and waits until they are effective.
//!
//! A user is told that a job is cancelled once the cancellation is effective, see
//! [`crate::controller::EndedAnswer`]. While all controllers reach each other, this takes one
//! exchange of messages. Requests wait for it for a bounded time and in a bounded number; further
//! requests are refused with `Retry-After`.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::debug;

use super::{Service, public_server_limits};
use crate::controller::EndedAnswer;
use crate::model::{JobId, NodeId, Revision};
use crate::peer::{Forwarding, PeerRequest, PeerResponse};
use crate::replica;
use crate::request_count::RequestCount;
use crate::store_client::{StoreError, TxnOutcome};
use crate::wire::JobAnswer;

/// Time without a response from the store after which the same transaction is sent again. A user is
/// waiting for its outcome.
const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Time limit for another controller's response to cancellation notices.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after notices that were not acknowledged, before they are sent again.
const NOTICE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum time between two checks whether a cancellation is effective. Acknowledgements trigger a
/// check at once.
const EFFECT_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Divisor of the maximum number of user connections: the share of them that may wait for
/// cancellations to become effective.
const WAITING_CONNECTIONS_DIVISOR: usize = 4;
/// Upper bound on the number of requests that wait for cancellations to become effective.
const MAX_WAITING_REQUESTS: usize = 64;
/// Upper bound on the number of forwarded requests that wait. Each occupies one of the few
/// connections between controllers.
const MAX_WAITING_FORWARDED_REQUESTS: usize = 8;

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

/// What a user may be told about a job that has ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EndedJobStatus {
    /// The job's final state.
    Final(JobAnswer),
    /// The job is cancelled, but the cancellation did not become effective within the time limit.
    NotEffective {
        /// Seconds after which the cancellation is effective at the latest.
        retry_after_s: u32,
    },
}

/// Requests that wait until cancellations are effective, and the wake-ups of the loops that send
/// notices.
pub(super) struct CancellationQueue {
    /// Waiting requests.
    waiting: RequestCount,
    /// Wakes the waiting requests: a controller acknowledged cancellations.
    acknowledged: Notify,
    /// Wakes [`Service::send_cancellation_notices`] for each controller, by index.
    notices_due: Vec<Notify>,
}

impl CancellationQueue {
    pub(super) fn new(controller_count: usize) -> Self {
        CancellationQueue {
            waiting: RequestCount::default(),
            acknowledged: Notify::new(),
            notices_due: (0..controller_count).map(|_| Notify::new()).collect(),
        }
    }

    fn wake_senders(&self) {
        self.notices_due.iter().for_each(Notify::notify_one);
    }
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
                self.collect_acknowledgements(id);
                self.notify_earlier_versions(id, progress, version);
                Ok(CancellationOutcome::Cancelled)
            }
            TxnOutcome::ConditionsFailed(_) => Ok(CancellationOutcome::Conflict),
        }
    }

    /// Returns what a user may be told about a job that has ended, after waiting up to `max_wait`
    /// for a cancellation to become effective; `None` if the job is not known to have ended. The
    /// wait is left out if too many requests wait already.
    pub(crate) async fn ended_status(
        &self,
        id: JobId,
        forwarding: Forwarding,
        max_wait: Duration,
    ) -> Option<EndedJobStatus> {
        let arrived_at = Instant::now();
        let deadline = arrived_at + max_wait;
        let mut guard = None;
        loop {
            // Created before the check, so that no acknowledgement after the check is missed.
            let acknowledged = self.cancellations.acknowledged.notified();
            let effective_within_ms = match self.ended_answer(id)? {
                EndedAnswer::Final(answer) => {
                    if guard.is_some() {
                        let waited_ms = arrived_at.elapsed().as_millis() as u64;
                        debug!(job = %id, waited_ms, "cancellation became effective");
                    }
                    return Some(EndedJobStatus::Final(answer));
                }
                EndedAnswer::NotEffective { effective_within_ms } => effective_within_ms,
            };
            if guard.is_none() {
                self.collect_acknowledgements(id);
                let limit = self.max_waiting_requests(forwarding);
                guard = self.cancellations.waiting.try_begin(limit);
            }
            if guard.is_none() || Instant::now() >= deadline {
                debug!(job = %id, effective_within_ms, "cancellation not effective yet, refused");
                let retry_after_s = effective_within_ms.div_ceil(1_000).max(1) as u32;
                return Some(EndedJobStatus::NotEffective { retry_after_s });
            }
            let next_check = deadline.min(Instant::now() + EFFECT_CHECK_PERIOD);
            let _ = timeout_at(next_check, acknowledged).await;
        }
    }

    /// Returns the answer for an ended job; `None` if the job has not ended or is unknown.
    pub(crate) fn ended_answer(&self, id: JobId) -> Option<EndedAnswer> {
        self.controller.borrow().ended_answer(self.now(), id)
    }

    /// Returns the maximum number of requests that wait for cancellations to become effective. The
    /// other user connections remain for requests that are answered at once.
    fn max_waiting_requests(&self, forwarding: Forwarding) -> usize {
        let limits = public_server_limits(self.settings.params.limits.sockets);
        let max_waiting = (limits.max_user_connections / WAITING_CONNECTIONS_DIVISOR)
            .clamp(1, MAX_WAITING_REQUESTS);
        match forwarding {
            Forwarding::Allowed => max_waiting,
            Forwarding::Forbidden => max_waiting.min(MAX_WAITING_FORWARDED_REQUESTS),
        }
    }

    /// Begins to collect the other controllers' acknowledgements of a cancellation.
    fn collect_acknowledgements(&self, id: JobId) {
        let now = self.now();
        if self.controller.borrow_mut().collect_acknowledgements(now, id) {
            self.cancellations.wake_senders();
        }
    }

    /// Sends cancellation notices to one controller, and repeats them until they are acknowledged or
    /// not needed any more. One message at a time carries all of them, so a controller that does not
    /// respond costs one connection.
    pub(super) async fn send_cancellation_notices(self: Rc<Self>, node: NodeId) {
        let Some(due) = self.cancellations.notices_due.get(usize::from(node.0)) else { return };
        loop {
            let notices = self.controller.borrow_mut().unacknowledged_notices(self.now(), node);
            if notices.is_empty() {
                due.notified().await;
                continue;
            }
            let request = PeerRequest::CancellationNotices(notices);
            match self.call_peer(node, &request, NOTICE_TIMEOUT).await {
                Ok(PeerResponse::CancellationsKnown(jobs)) if !jobs.is_empty() => {
                    self.controller.borrow_mut().record_acknowledgements(node, &jobs);
                    self.cancellations.acknowledged.notify_waiters();
                }
                _ => sleep(NOTICE_RETRY_PAUSE).await,
            }
        }
    }

    /// Notifies controllers of versions that do not acknowledge cancellations. They apply the notice,
    /// but the response does not prove it.
    fn notify_earlier_versions(
        self: &Rc<Self>,
        id: JobId,
        progress: replica::Progress,
        version: Revision,
    ) {
        let request = Rc::new(PeerRequest::JobCancelled(id, progress, version));
        let is_earlier_version = |node: &NodeId| {
            let replica = &self.controller.borrow().replica;
            replica.supports_cancellation_notices(*node)
                && !replica.supports_cancellation_acknowledgements(*node)
        };
        for node in self.other_nodes().filter(is_earlier_version) {
            let (service, request) = (self.clone(), request.clone());
            spawn_local(async move { service.call_peer(node, &request, NOTICE_TIMEOUT).await });
        }
    }
}
