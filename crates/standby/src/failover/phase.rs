//! The phases of a failover.

use std::fmt;

/// The phase of a controller's failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The controller follows the leader's decisions, or waits for a leader.
    Following,
    /// The failure detector suspects the leader; the leader is probed and the other controllers are queried.
    Suspecting,
    /// The fencing transaction, which takes the next term, is in flight.
    Fencing,
    /// The fencing transaction is committed; the replica does not show the new term yet.
    CatchingUp,
    /// The mirrored decisions are being compared with the replica.
    Verifying,
    /// The controller leads.
    Active,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Following => "following",
            Phase::Suspecting => "suspecting",
            Phase::Fencing => "fencing",
            Phase::CatchingUp => "catching up",
            Phase::Verifying => "verifying",
            Phase::Active => "active",
        })
    }
}
