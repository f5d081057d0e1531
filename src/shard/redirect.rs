//! Routing of heartbeats of foreign machines: redirected to the owner, or handled here if the machine cannot
//! reach its owner.

use crate::config::HeartbeatTiming;
use crate::model::MonotonicTime;

/// A machine that returns from its owner within this time, in milliseconds, was refused there. A machine that
/// returns later had its requests time out.
const REFUSED_RETURN_MAX_MS: u64 = 3_500;

/// Maximum number of redirects to an owner that refuses the machine.
const REDIRECTS_MAX: u32 = 3;

/// Minimum time between two redirects of a machine to the same owner, in milliseconds.
const REDIRECT_INTERVAL_MIN_MS: u64 = 1_500;

/// Time in milliseconds for which a redirect is taken into account, in addition to
/// [`HeartbeatTiming::foreign_machine_ttl_ms`].
const REDIRECT_RETENTION_MARGIN_MS: u64 = 5_000;

/// Time in milliseconds for which a machine that cannot reach its owner counts as such after its last
/// heartbeat here, in addition to [`HeartbeatTiming::foreign_machine_ttl_ms`].
const UNREACHABLE_RETENTION_MARGIN_MS: u64 = 2_000;

/// Handling of the heartbeat of a machine that another controller owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// Redirect the heartbeat to the owner.
    ToOwner,
    /// Respond here, and keep the machine alive until the next redirect.
    KeepAlive,
    /// Respond here, as the machine cannot reach its owner.
    OwnerUnreachable,
}

/// The redirects of a machine to its owner.
#[derive(Clone, Debug)]
pub(super) struct RedirectState {
    /// Time of the last redirect.
    pub(super) last_at: MonotonicTime,
    /// Number of redirects.
    pub(super) count: u32,
    /// Whether a heartbeat was received here since the last redirect.
    pub(super) returned: bool,
}

impl RedirectState {
    /// Creates the record of a first redirect.
    pub(super) fn first(now: MonotonicTime) -> Self {
        RedirectState { last_at: now, count: 1, returned: false }
    }

    /// Whether the last redirect is recent enough to be taken into account.
    pub(super) fn is_current(&self, now: MonotonicTime, timing: &HeartbeatTiming) -> bool {
        now.since(self.last_at) < timing.foreign_machine_ttl_ms + REDIRECT_RETENTION_MARGIN_MS
    }

    /// Chooses how to handle a heartbeat that was received here despite the redirect.
    ///
    /// A machine that returns late cannot reach its owner. A machine that returns at once was refused, for
    /// example by an owner that has just started. Such a machine gets one response here and is redirected
    /// again, up to `REDIRECTS_MAX` times.
    pub(super) fn on_return(&mut self, now: MonotonicTime) -> Route {
        let away_ms = now.since(self.last_at);
        if (!self.returned && away_ms >= REFUSED_RETURN_MAX_MS) || self.count >= REDIRECTS_MAX {
            return Route::OwnerUnreachable;
        }
        if !std::mem::replace(&mut self.returned, true) || away_ms < REDIRECT_INTERVAL_MIN_MS {
            return Route::KeepAlive;
        }
        *self = RedirectState { last_at: now, count: self.count + 1, returned: false };
        Route::ToOwner
    }
}

/// A machine that another controller owns, or that has no known owner, and that is kept alive here.
#[derive(Clone, Debug)]
pub(super) struct ForeignMachineRecord {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Time at which the machine was first found not to reach its owner.
    pub(super) unreachable_since: Option<MonotonicTime>,
    pub(super) last_heartbeat_at: MonotonicTime,
    /// Whether its newest heartbeat showed this term's token, which a delayed heartbeat from an earlier term
    /// cannot. Only then is the machine reported to the leader.
    pub(super) shows_token: bool,
}

impl ForeignMachineRecord {
    /// Whether the machine was found not to reach its owner and has recently sent a heartbeat here.
    pub(super) fn is_owner_unreachable(
        &self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
    ) -> bool {
        self.unreachable_since.is_some()
            && now.since(self.last_heartbeat_at)
                < timing.foreign_machine_ttl_ms + UNREACHABLE_RETENTION_MARGIN_MS
    }
}
