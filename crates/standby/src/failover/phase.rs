//! The phases of a failover.

use std::fmt;

/// The phase that a controller is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It follows the leader's decisions, or waits for a leader.
    Following,
    /// It receives nothing from the leader, probes it and queries the other controllers.
    Suspecting,
    /// The transaction that takes the next term is under way.
    Fencing,
    /// The term is on record; the replica does not show it yet.
    CatchingUp,
    /// The mirrored decisions are compared with the replica.
    Verifying,
    /// It leads.
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
