//! How a failover ended: completed, or stood down from.

use std::fmt;

use willowshore_model::{MonotonicTime, NodeId, Term};

/// Why a controller went back to following.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandDownReason {
    /// The leader responded again.
    LeaderResponds,
    /// Another controller receives the leader's messages.
    HeardByOther(NodeId),
    /// Too few controllers responded; the leader's lease decides.
    NoMajority,
    /// Another controller took the next term.
    TermTakenByOther(Term),
    /// The transaction's conditions failed, as the leader's key had changed.
    Conflict,
    /// The state service did not respond, or refused, in time.
    StoreUnavailable,
    /// It was replaced as leader.
    Replaced(Term),
}

impl fmt::Display for StandDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StandDownReason::LeaderResponds => write!(f, "the leader answers again"),
            StandDownReason::HeardByOther(node) => {
                write!(f, "controller {} hears the leader", node.0)
            }
            StandDownReason::NoMajority => write!(f, "no majority of the controllers answered"),
            StandDownReason::TermTakenByOther(term) => {
                write!(f, "another controller took term {term}")
            }
            StandDownReason::Conflict => write!(f, "the leader's key had changed"),
            StandDownReason::StoreUnavailable => write!(f, "the state service did not answer"),
            StandDownReason::Replaced(term) => write!(f, "replaced by the leader of term {term}"),
        }
    }
}

/// What started a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCause {
    /// A majority of the controllers received nothing from the leader.
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

/// When the phases of a failover were over, by this controller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverTimeline {
    /// The leader was suspected, or its lease was found expired.
    pub suspected: MonotonicTime,
    /// The transaction was sent.
    pub fencing: MonotonicTime,
    /// Its response came, or the replica showed the term before that.
    pub fenced: MonotonicTime,
    /// The replica showed the term.
    pub caught_up: MonotonicTime,
    /// The mirrored decisions had been compared.
    pub verified: MonotonicTime,
}

impl FailoverTimeline {
    /// The timeline of a failover that begins now.
    pub(super) fn starting_at(now: MonotonicTime) -> Self {
        FailoverTimeline { suspected: now, ..FailoverTimeline::default() }
    }
}

/// A failover that this controller completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failover {
    /// The term that was taken.
    pub term: Term,
    /// What started it.
    pub cause: FailoverCause,
    /// How long its phases took.
    pub timeline: FailoverTimeline,
}
