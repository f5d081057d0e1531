//! The right to answer and to lead, counted from when a confirmed request was sent.

use crate::model::{Attempt, MonotonicTime, NodeId, StoreLease, Term};

/// Steady clocks drift apart by at most 0.05%; twice that is taken off every right.
pub fn less_drift(ms: u64) -> u64 {
    ms - ms / 1000
}

/// The same added to every wait for somebody else's right to end.
pub fn plus_drift(ms: u64) -> u64 {
    ms + ms / 1000 + 1
}

/// Time to live of a controller's lease in the state service. Leadership ends with it.
pub const LEASE_MS: u64 = 3_000;

/// How fresh the proof of being current has to be for a start. A watch that brings nothing is
/// answered after a second, and the next one proves something after another; what is left is for
/// a slow store.
const START_MS: u64 = 3_500;

/// A time without the store's service after which it counts as having begun anew.
const BREAK_MS: u64 = 3_000;

/// What this node may do, as its own clock says.
#[derive(Clone, Debug, Default)]
pub struct LeaseRights {
    keep_alive_ms: u64,
    /// The lease that this node's key hangs on.
    pub lease: Option<StoreLease>,
    renewed: Option<MonotonicTime>,
    synced: Option<MonotonicTime>,
    /// Since when the store has served this node without a longer break.
    served_since: MonotonicTime,
}

impl LeaseRights {
    /// No rights yet; `keep_alive_ms` is how long a proof of being current lasts.
    pub fn new(keep_alive_ms: u64) -> Self {
        LeaseRights { keep_alive_ms, ..LeaseRights::default() }
    }

    /// A renewal of the lease that holds this node's key was confirmed; it was sent then.
    pub fn confirm_renewal(&mut self, sent: MonotonicTime) {
        self.note_served(sent);
        self.renewed = self.renewed.max(Some(sent));
    }

    /// The replica was confirmed to be current; the request was sent then.
    pub fn confirm_sync(&mut self, sent: MonotonicTime) {
        self.note_served(sent);
        self.synced = self.synced.max(Some(sent));
    }

    /// The lease is gone: whatever hung on it is, too. Being current still holds for a while.
    pub fn lose_lease(&mut self) {
        self.lease = None;
    }

    /// Whether reports may be answered with 200. Both proofs count: without news of
    /// cancellations a worker must not be kept alive beyond `cancel_s` less its lease, and a
    /// leader takes an absent node's last renewal for the start of its last right.
    pub fn may_answer(&self, now: MonotonicTime) -> bool {
        match (self.renewed, self.synced) {
            (Some(r), Some(s)) => now < r.min(s).plus(less_drift(self.keep_alive_ms)),
            _ => false,
        }
    }

    /// Whether tasks may be started. A node that has not heard from the store for a while may have
    /// missed cancellations that others confirmed. Keeping workers alive is bounded by `cancel_s`,
    /// starting what nobody wants any more is not wanted at all.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        self.may_answer(now)
            && self
                .synced
                .is_some_and(|s| now < s.plus(less_drift(START_MS.min(self.keep_alive_ms))))
    }

    /// Whether this node may still take itself for the leader, if it was elected.
    pub fn may_lead(&self, now: MonotonicTime) -> bool {
        self.lease.is_some()
            && self.renewed.is_some_and(|r| now < r.plus(less_drift(LEASE_MS).saturating_sub(100)))
    }

    /// Milliseconds since the replica was known to be current.
    pub fn sync_age(&self, now: MonotonicTime) -> Option<u64> {
        self.synced.map(|s| now.since(s))
    }

    fn note_served(&mut self, sent: MonotonicTime) {
        if self.served_age(sent) > BREAK_MS {
            self.served_since = sent;
        }
    }

    /// Milliseconds for which the store has served this node without a longer break.
    pub fn served_for(&self, now: MonotonicTime) -> u64 {
        now.since(self.served_since)
    }

    /// Milliseconds since the store last served this node, in any way.
    pub fn served_age(&self, now: MonotonicTime) -> u64 {
        now.since(self.synced.max(self.renewed).unwrap_or_default())
    }

    /// When the replica was last known to be current.
    pub fn synced_at(&self) -> Option<MonotonicTime> {
        self.synced
    }
}

/// The latest moment, by the leader's clock, at which a node whose key is absent since
/// `absent` can have answered a report: its last renewal was a whole lease earlier.
pub fn last_right(absent: MonotonicTime, keep_alive_ms: u64) -> MonotonicTime {
    absent.less(less_drift(LEASE_MS)).plus(plus_drift(keep_alive_ms))
}

/// Gives out attempts of a node within a term.
#[derive(Clone, Debug)]
pub struct AttemptAllocator {
    term: Term,
    node: NodeId,
    n: u32,
}

impl AttemptAllocator {
    /// Starts counting for a term.
    pub fn new(term: Term, node: NodeId) -> Self {
        AttemptAllocator { term, node, n: 0 }
    }
    /// A new attempt.
    pub fn give(&mut self) -> Attempt {
        self.n += 1;
        Attempt::of(self.term, self.node, self.n)
    }
}

#[cfg(test)]
mod tests;
