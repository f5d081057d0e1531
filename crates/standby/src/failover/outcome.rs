//! The outcome of a failover: completed, or abandoned for a reason.

use std::fmt;

use willowshore_model::{MonotonicTime, NodeId, Term};

/// Why a controller returned to [`super::Phase::Following`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandDownReason {
    /// The leader responded to the probe, or sends heartbeats again.
    LeaderResponds,
    /// This other controller still receives messages from the leader.
    PeerReceivesFromLeader(NodeId),
    /// No majority of the controllers confirmed the suspicion in time. Without a majority, the leader is replaced only
    /// once its lease in the state service expires.
    NoMajority,
    /// Another controller took this term.
    TermTakenByPeer(Term),
    /// The conditions of the fencing transaction failed, as the leader's key had changed.
    ConditionsFailed,
    /// The state service refused or did not respond to the fencing transaction, or its outcome did not reach the
    /// replica in time.
    StoreUnavailable,
    /// This controller led and was replaced by the leader of this term.
    Replaced(Term),
}

impl fmt::Display for StandDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StandDownReason::LeaderResponds => write!(f, "the leader answers again"),
            StandDownReason::PeerReceivesFromLeader(node) => {
                write!(f, "controller {} hears the leader", node.0)
            }
            StandDownReason::NoMajority => write!(f, "no majority of the controllers answered"),
            StandDownReason::TermTakenByPeer(term) => {
                write!(f, "another controller took term {term}")
            }
            StandDownReason::ConditionsFailed => write!(f, "the leader's key had changed"),
            StandDownReason::StoreUnavailable => write!(f, "the state service did not answer"),
            StandDownReason::Replaced(term) => write!(f, "replaced by the leader of term {term}"),
        }
    }
}

/// What started a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCause {
    /// The leader's probe failed and a majority of the controllers received nothing from the leader.
    Suspicion,
    /// The leader's key had expired with its lease.
    LeaseExpired,
}

impl fmt::Display for FailoverCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FailoverCause::Suspicion => "a majority did not hear the leader",
            FailoverCause::LeaseExpired => "the leader's lease ended",
        })
    }
}

/// The times at which the phases of a failover began and ended, by this controller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverTimeline {
    /// When the leader was suspected, or its lease was found expired.
    pub suspected: MonotonicTime,
    /// When the fencing transaction was sent.
    pub fencing: MonotonicTime,
    /// When the response to the fencing transaction was received, or the replica showed the term, whichever was
    /// first.
    pub fenced: MonotonicTime,
    /// When the replica showed the term.
    pub caught_up: MonotonicTime,
    /// When the mirrored decisions had been compared with the replica.
    pub verified: MonotonicTime,
}

impl FailoverTimeline {
    /// Creates the timeline of a failover that begins now.
    pub(super) fn starting_at(now: MonotonicTime) -> Self {
        FailoverTimeline { suspected: now, ..FailoverTimeline::default() }
    }
}

/// A failover that this controller completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failover {
    /// The term that this controller took.
    pub term: Term,
    /// What started the failover.
    pub cause: FailoverCause,
    /// When its phases began and ended.
    pub timeline: FailoverTimeline,
}
