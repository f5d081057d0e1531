//! Limits on how a request for a job is served.

use std::time::Duration;

use tokio::time::Instant;

use crate::peer::Forwarding;

/// Maximum time from the arrival of a cancellation request for which its response waits for the cancellation to become
/// effective. Users wait 5 s for the response.
const MAX_CANCELLATION_WAIT: Duration = Duration::from_millis(4_500);
/// Maximum wait of a query or a repeated submission, together with a confirmation of the replica. Users wait 2 s for
/// the response to a query.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(1_600);
/// Maximum wait of a forwarded request, shorter than the time limit for the peer's answer.
const MAX_FORWARDED_WAIT: Duration = Duration::from_millis(350);

/// How a request may be served: whether it may be forwarded, and how long it may wait for a cancellation to become
/// effective.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLimits {
    pub(super) forwarding: Forwarding,
    /// Time at which the wait for a cancellation ends.
    wait_until: Instant,
}

impl RequestLimits {
    /// Limits for a user's request to cancel a job.
    pub(super) fn for_cancellation() -> Self {
        Self::new(Forwarding::Allowed, MAX_CANCELLATION_WAIT)
    }

    /// Limits for a user's query or submission.
    pub(super) fn for_query() -> Self {
        Self::new(Forwarding::Allowed, MAX_QUERY_WAIT)
    }

    /// Limits for a request that another controller forwarded.
    pub(crate) fn for_forwarded() -> Self {
        Self::new(Forwarding::Forbidden, MAX_FORWARDED_WAIT)
    }

    /// Returns the remaining time for which the request may wait.
    pub(super) fn remaining_wait(self) -> Duration {
        self.wait_until.saturating_duration_since(Instant::now())
    }

    fn new(forwarding: Forwarding, max_wait: Duration) -> Self {
        RequestLimits { forwarding, wait_until: Instant::now() + max_wait }
    }
}
