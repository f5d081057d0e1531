//! Time-limited rights of a controller to answer heartbeats, start tasks and lead without asking
//! first.
//!
//! The rights rest on two proofs: that the controller's store lease was renewed, and that its
//! replica was current. Each proof counts from the time at which the request confirmed by the state
//! service was *sent*, by this process's monotonic clock, so that every right ends before any other
//! process may conclude that it has ended. [`last_possible_answer`] bounds what other controllers
//! may conclude from an absent key. The argument is in `docs/safety.md`, "Who may answer workers"
//! and "Who may start".

use crate::model::{MonotonicTime, StoreLease};

/// Time to live of a controller's lease in the state service, in milliseconds. Leadership ends with
/// the lease: a shorter lease would be lost to a slow store, a longer one would delay every
/// failover.
pub const CONTROLLER_LEASE_MS: u64 = 3_000;

/// Milliseconds before the earliest possible end of its lease at which a leader stops leading, to
/// allow for messages being sent at that time.
const LEADERSHIP_MARGIN_MS: u64 = 100;

/// Maximum age in milliseconds of the proof of a current replica for starting a task. A watch
/// without changes is answered after 1 s, and the proof by the next watch takes another second; the
/// remainder allows for a slow store.
const MAX_SYNC_AGE_FOR_START_MS: u64 = 3_500;

/// Milliseconds without any response after which the store counts as having been unavailable, and
/// its service as having started anew. This is a whole lease, after which keys bound to leases may
/// be lost.
const STORE_OUTAGE_MS: u64 = CONTROLLER_LEASE_MS;

/// Maximum age in milliseconds of the last confirmed renewal for starting a task. The store removes
/// a controller's member key no earlier than this time after the renewal was sent, so a controller
/// whose key is absent may not start tasks.
const MAX_RENEWAL_AGE_FOR_START_MS: u64 = CONTROLLER_LEASE_MS;

/// Shortens a duration in milliseconds by the clock drift, for the rights of this process.
/// Monotonic clocks drift apart by at most 0.05%; twice this drift is subtracted.
pub fn minus_drift(ms: u64) -> u64 {
    ms - ms / 1000
}

/// Extends a duration in milliseconds by the clock drift, for waiting until the right of another
/// process has ended.
pub fn plus_drift(ms: u64) -> u64 {
    ms + ms / 1000 + 1
}

/// Rights of this controller, measured by its own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct LeaseRights {
    /// Milliseconds for which a proof allows the controller to keep workers alive.
    keep_alive_ms: u64,
    /// Store lease that this controller's key is bound to; `None` without a lease.
    pub lease: Option<StoreLease>,
    /// Time at which the last confirmed renewal of the lease was sent.
    renewal_sent: Option<MonotonicTime>,
    /// Time at which this controller learned that its member key, bound to `lease`, was written;
    /// `None` without a lease.
    registered_at: Option<MonotonicTime>,
    /// Time at which the last request was sent whose response proved the replica current.
    sync_sent: Option<MonotonicTime>,
    /// Start of the period in which the store has served this controller without a break.
    served_since: MonotonicTime,
}

impl LeaseRights {
    /// Creates the state without any rights. `keep_alive_ms` is the time in milliseconds for which
    /// a proof allows a controller to keep workers alive, see
    /// [`crate::config::Settings::keep_alive_ms`].
    pub fn new(keep_alive_ms: u64) -> Self {
        LeaseRights { keep_alive_ms, ..LeaseRights::default() }
    }

    /// Records that this controller's member key was written, bound to a new lease, by a request
    /// sent at `sent` whose response arrived at `now`.
    pub fn register(&mut self, lease: StoreLease, sent: MonotonicTime, now: MonotonicTime) {
        self.lease = Some(lease);
        self.registered_at = Some(now);
        self.confirm_renewal(sent);
    }

    /// Records that a renewal of the lease that holds this controller's key, sent at `sent`, was
    /// confirmed.
    pub fn confirm_renewal(&mut self, sent: MonotonicTime) {
        self.record_service(sent);
        self.renewal_sent = self.renewal_sent.max(Some(sent));
    }

    /// Records that a request sent at `sent` proved the replica to be current.
    pub fn confirm_sync(&mut self, sent: MonotonicTime) {
        self.record_service(sent);
        self.sync_sent = self.sync_sent.max(Some(sent));
    }

    /// Records the loss of the lease and of all keys bound to it. The proof of a current replica
    /// remains valid for its duration.
    pub fn lose_lease(&mut self) {
        self.lease = None;
        self.registered_at = None;
    }

    /// Whether heartbeats may be answered, which renews the workers' leases. Both proofs are
    /// required. Without current cancellations, a worker must not be kept alive for longer than the
    /// setting `cancel_s` less its lease. Without renewals, the right must end: a leader counts an
    /// absent controller's last right from the controller's last renewal.
    pub fn may_answer(&self, now: MonotonicTime) -> bool {
        match (self.renewal_sent, self.sync_sent) {
            (Some(renewal_sent), Some(sync_sent)) => {
                now < renewal_sent.min(sync_sent).plus(minus_drift(self.keep_alive_ms))
            }
            _ => false,
        }
    }

    /// Whether tasks may be started. A controller without a recent response from the store may have
    /// missed cancellations that other controllers confirmed. Keeping workers alive is bounded by
    /// `cancel_s`; a cancelled task must not be started at all.
    ///
    /// A controller whose member key is absent may not start tasks either, and after it has written
    /// the key again, its replica has to be proven current first. Other controllers rely on this
    /// when they confirm a cancellation without its acknowledgement.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        let max_sync_age_ms = minus_drift(start_right_ms(self.keep_alive_ms));
        let is_registered = self.registered_at.is_some()
            && self
                .renewal_sent
                .is_some_and(|sent| now < sent.plus(minus_drift(MAX_RENEWAL_AGE_FOR_START_MS)));
        let is_synced = self.sync_sent.is_some_and(|sent| now < sent.plus(max_sync_age_ms));
        is_registered && is_synced && self.sync_sent > self.registered_at && self.may_answer(now)
    }

    /// Whether this controller, if elected, may still act as the leader.
    pub fn may_lead(&self, now: MonotonicTime) -> bool {
        let leading_ms = minus_drift(CONTROLLER_LEASE_MS).saturating_sub(LEADERSHIP_MARGIN_MS);
        self.lease.is_some()
            && self.renewal_sent.is_some_and(|renewal_sent| now < renewal_sent.plus(leading_ms))
    }

    /// Returns the time at which the replica was last known to be current; `None` if it never was.
    pub fn synced_at(&self) -> Option<MonotonicTime> {
        self.sync_sent
    }

    /// Returns the milliseconds since the replica was last known to be current; `None` if it never
    /// was.
    pub fn sync_age(&self, now: MonotonicTime) -> Option<u64> {
        self.sync_sent.map(|sync_sent| now.since(sync_sent))
    }

    /// Returns the milliseconds for which the store has served this controller without a break.
    pub fn served_for(&self, now: MonotonicTime) -> u64 {
        now.since(self.served_since)
    }

    /// Returns the milliseconds since this controller sent the last request that the store
    /// confirmed.
    pub fn since_served_ms(&self, now: MonotonicTime) -> u64 {
        now.since(self.sync_sent.max(self.renewal_sent).unwrap_or_default())
    }

    /// Records that the store served a request sent at `sent`.
    fn record_service(&mut self, sent: MonotonicTime) {
        if self.since_served_ms(sent) > STORE_OUTAGE_MS {
            self.served_since = sent;
        }
    }
}

/// Milliseconds for which a proof of a current replica allows a controller to start tasks, if it
/// allows the controller to keep workers alive for `keep_alive_ms`.
fn start_right_ms(keep_alive_ms: u64) -> u64 {
    MAX_SYNC_AGE_FOR_START_MS.min(keep_alive_ms)
}

/// Milliseconds after a change of the store from which a controller that does not know of the
/// change may not start tasks, by the clock of any other process.
pub fn start_right_expiry_ms(keep_alive_ms: u64) -> u64 {
    plus_drift(start_right_ms(keep_alive_ms))
}

/// Returns the latest time, by the leader's clock, at which a controller whose key has been absent
/// since `absent_since` can have answered a heartbeat. The controller's last renewal was sent a
/// whole lease earlier at the latest, and its right to answer lasted `keep_alive_ms` milliseconds
/// from the renewal.
pub fn last_possible_answer(absent_since: MonotonicTime, keep_alive_ms: u64) -> MonotonicTime {
    absent_since.saturating_sub(minus_drift(CONTROLLER_LEASE_MS)).plus(plus_drift(keep_alive_ms))
}

#[cfg(test)]
mod tests;
