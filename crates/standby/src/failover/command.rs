//! The commands that the failover state machine issues.

use willowshore_model::Term;

/// An action for the caller to carry out. Its outcome is reported back as a [`super::FailoverEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCommand {
    /// Probe the leader of this term; reported as [`super::FailoverEvent::ProbeCompleted`].
    ProbeLeader(Term),
    /// Ask the other controllers how long they have received nothing from the leader of this term; each response is
    /// reported as [`super::FailoverEvent::PeerObserved`].
    QueryPeers(Term),
    /// Take the term after this one by the conditional transaction; reported as
    /// [`super::FailoverEvent::FenceCompleted`].
    Fence(Term),
    /// Compare the mirrored decisions with the replica, which shows this term; reported as
    /// [`super::FailoverEvent::Verified`].
    Verify(Term),
}
