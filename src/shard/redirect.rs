//! Where the heartbeats of other shards' machines go: to their owner, or nowhere if they cannot reach it.

use crate::config::HeartbeatTiming;
use crate::model::MonotonicTime;

/// A machine that comes back from its owner sooner than this, in milliseconds, was refused there; later, its requests
/// timed out.
const REFUSED_MS: u64 = 3_500;

/// How often a machine is sent to an owner that refuses it.
const REDIRECTS: u32 = 3;

/// Least time between two redirects of a machine to the same owner, in milliseconds.
const REDIRECT_AGAIN_MS: u64 = 1_500;

/// Time for which a redirect counts, beyond the time after which a machine is out of its owner's reach.
const REDIRECT_MARGIN_MS: u64 = 5_000;

/// The same for a machine that was found not to reach its owner.
const UNREACHABLE_MARGIN_MS: u64 = 2_000;

/// What to do with the heartbeat of another shard's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// Redirect it to its owner.
    ToOwner,
    /// Keep the machine alive here until it is redirected again.
    KeepAlive,
    /// Keep the machine alive here: it cannot reach its owner.
    OwnerUnreachable,
}

/// The redirects of a machine to its owner.
#[derive(Clone, Debug)]
pub(super) struct Redirected {
    /// The last one.
    pub(super) at: MonotonicTime,
    pub(super) tries: u32,
    /// Whether a heartbeat came here since.
    pub(super) came_back: bool,
}

impl Redirected {
    /// The first redirect.
    pub(super) fn first(now: MonotonicTime) -> Self {
        Redirected { at: now, tries: 1, came_back: false }
    }

    /// Whether it still says something about the machine.
    pub(super) fn counts(&self, now: MonotonicTime, timing: &HeartbeatTiming) -> bool {
        now.since(self.at) < timing.foreign_machine_ms + REDIRECT_MARGIN_MS
    }

    /// What to do with a heartbeat that came in spite of the redirect.
    ///
    /// A machine that comes back late cannot reach its owner. One that comes back at once was refused, as by an owner
    /// that has just started: it gets one response here and is then sent there again, `REDIRECTS` times at most.
    pub(super) fn on_return(&mut self, now: MonotonicTime) -> Route {
        let away_ms = now.since(self.at);
        if (!self.came_back && away_ms >= REFUSED_MS) || self.tries >= REDIRECTS {
            return Route::OwnerUnreachable;
        }
        if !std::mem::replace(&mut self.came_back, true) || away_ms < REDIRECT_AGAIN_MS {
            return Route::KeepAlive;
        }
        *self = Redirected { at: now, tries: self.tries + 1, came_back: false };
        Route::ToOwner
    }
}

/// A machine of another shard, or of none that is known, that is kept alive here.
#[derive(Clone, Debug)]
pub(super) struct ForeignMachineRecord {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// When it was found not to reach its owner.
    pub(super) unreachable_since: Option<MonotonicTime>,
    pub(super) last_heartbeat: MonotonicTime,
    /// Whether it showed this term's token, which no late copy from an earlier term does. Only then is the leader told
    /// of it.
    pub(super) shows_token: bool,
}

impl ForeignMachineRecord {
    /// Whether it was found not to reach its owner, and has sent its heartbeats here since.
    pub(super) fn is_owner_unreachable(
        &self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
    ) -> bool {
        self.unreachable_since.is_some()
            && now.since(self.last_heartbeat) < timing.foreign_machine_ms + UNREACHABLE_MARGIN_MS
    }
}
