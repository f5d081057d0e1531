//! What a controller may do without asking, and for how long: answer heartbeats, start tasks, lead.
//!
//! Two proofs give it these rights: that its store lease was renewed, and that its replica was current.
//! Both count from when the request was *sent* that the state service confirmed, by this process's
//! monotonic clock, so that every right ends before anybody else may take it for ended. What others
//! may conclude from an absent key is [`last_possible_answer`]. The argument stands in
//! `docs/safety.md`, "Who may answer workers" and "Who may start".

use crate::model::{MonotonicTime, StoreLease};

/// Time to live of a controller's lease in the state service, in milliseconds. Leadership ends with it:
/// shorter ones would be lost to a slow store, longer ones delay every failover.
pub const CONTROLLER_LEASE_MS: u64 = 3_000;

/// How long before its lease can end a leader stops to lead, in milliseconds: for what it is just then sending.
const LEADING_MARGIN_MS: u64 = 100;

/// How old the proof of a current replica may be for a start, in milliseconds. A watch that brings
/// nothing is answered after a second, and the next one proves something after another; the rest is for
/// a slow store.
const START_MS: u64 = 3_500;

/// After how many milliseconds without any answer the store counts as having been away, and its service
/// as having begun anew: a whole lease, after which what hung on leases may be lost.
const SERVICE_BREAK_MS: u64 = CONTROLLER_LEASE_MS;

/// A duration in milliseconds less the clocks' drift, for rights of one's own. Monotonic clocks drift
/// apart by at most 0.05%; twice that is taken off.
pub fn minus_drift(ms: u64) -> u64 {
    ms - ms / 1000
}

/// A duration in milliseconds plus the clocks' drift, for a wait for somebody else's right to end.
pub fn plus_drift(ms: u64) -> u64 {
    ms + ms / 1000 + 1
}

/// What this controller may do, as its own monotonic clock says.
#[derive(Clone, Debug, Default)]
pub struct LeaseRights {
    /// How long a proof lets it keep workers alive, in milliseconds.
    keep_alive_ms: u64,
    /// The store lease that this controller's key hangs on; `None` if it has none.
    pub lease: Option<StoreLease>,
    /// When the last confirmed renewal of the lease was sent.
    renewed: Option<MonotonicTime>,
    /// When the last request was sent whose response proved the replica current.
    synced: Option<MonotonicTime>,
    /// Since when the store has served this controller without a break.
    served_since: MonotonicTime,
}

impl LeaseRights {
    /// No rights yet; `keep_alive_ms` is for how many milliseconds a proof lets a controller keep workers
    /// alive, [`crate::config::Settings::keep_alive_ms`].
    pub fn new(keep_alive_ms: u64) -> Self {
        LeaseRights { keep_alive_ms, ..LeaseRights::default() }
    }

    /// Records that a renewal of the lease that holds this controller's key, sent then, was confirmed.
    pub fn confirm_renewal(&mut self, sent: MonotonicTime) {
        self.record_service(sent);
        self.renewed = self.renewed.max(Some(sent));
    }

    /// Records that a request, sent then, proved the replica to be current.
    pub fn confirm_sync(&mut self, sent: MonotonicTime) {
        self.record_service(sent);
        self.synced = self.synced.max(Some(sent));
    }

    /// Records that the lease is lost, and with it all keys that hung on it. The proof of a current
    /// replica still holds for its time.
    pub fn lose_lease(&mut self) {
        self.lease = None;
    }

    /// Whether heartbeats may be answered, which renews the workers' leases. Both proofs count: without
    /// news of cancellations a worker must not be kept alive beyond `cancel_s` less its lease, and a
    /// leader takes an absent controller's last renewal for the start of its last right.
    pub fn may_answer(&self, now: MonotonicTime) -> bool {
        match (self.renewed, self.synced) {
            (Some(renewed), Some(synced)) => {
                now < renewed.min(synced).plus(minus_drift(self.keep_alive_ms))
            }
            _ => false,
        }
    }

    /// Whether tasks may be started. A controller that has not heard from the store for a while may have
    /// missed cancellations that others confirmed. Keeping workers alive is bounded by `cancel_s`,
    /// starting what nobody wants any more is not wanted at all.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        let fresh_ms = minus_drift(START_MS.min(self.keep_alive_ms));
        self.may_answer(now) && self.synced.is_some_and(|synced| now < synced.plus(fresh_ms))
    }

    /// Whether this controller may still take itself for the leader, if it was elected.
    pub fn may_lead(&self, now: MonotonicTime) -> bool {
        let leading_ms = minus_drift(CONTROLLER_LEASE_MS).saturating_sub(LEADING_MARGIN_MS);
        self.lease.is_some() && self.renewed.is_some_and(|renewed| now < renewed.plus(leading_ms))
    }

    /// When the replica was last known to be current; `None` if it never was.
    pub fn synced_at(&self) -> Option<MonotonicTime> {
        self.synced
    }

    /// Milliseconds since the replica was last known to be current; `None` if it never was.
    pub fn sync_age(&self, now: MonotonicTime) -> Option<u64> {
        self.synced.map(|synced| now.since(synced))
    }

    /// Milliseconds for which the store has served this controller without a break.
    pub fn served_for(&self, now: MonotonicTime) -> u64 {
        now.since(self.served_since)
    }

    /// Milliseconds since the store last served this controller, in any way.
    pub fn served_age(&self, now: MonotonicTime) -> u64 {
        now.since(self.synced.max(self.renewed).unwrap_or_default())
    }

    fn record_service(&mut self, sent: MonotonicTime) {
        if self.served_age(sent) > SERVICE_BREAK_MS {
            self.served_since = sent;
        }
    }
}

/// The latest moment, by the leader's clock, at which a controller whose key is absent since `absent`
/// can have answered a heartbeat: its last renewal was a whole lease earlier, and the right to answer
/// lasted `keep_alive_ms` milliseconds from there.
pub fn last_possible_answer(absent: MonotonicTime, keep_alive_ms: u64) -> MonotonicTime {
    absent.saturating_sub(minus_drift(CONTROLLER_LEASE_MS)).plus(plus_drift(keep_alive_ms))
}

#[cfg(test)]
mod tests;
