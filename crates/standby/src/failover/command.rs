//! What the failover's state machine asks its caller to do.

use willowshore_model::Term;

/// An action for the caller. Its outcome comes back as a [`super::FailoverEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCommand {
    /// Probe the leader of this term: [`super::FailoverEvent::ProbeCompleted`].
    ProbeLeader(Term),
    /// Query the other controllers when they last received from the leader of this term:
    /// [`super::FailoverEvent::PeerObserved`] for each that responds.
    QueryPeers(Term),
    /// Take the term after this one by the guarded transaction: [`super::FailoverEvent::FenceCompleted`].
    Fence(Term),
    /// Compare the mirrored decisions with the replica, which shows this term: [`super::FailoverEvent::Verified`].
    Verify(Term),
}
