//! The events that the failover's state machine receives.

use willowshore_model::{NodeId, Revision, Term};

/// The outcome of the transaction that takes the next term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It was committed at this revision.
    Done(Revision),
    /// Its conditions failed.
    Conflict,
    /// It was refused, or there was no response; it may have been committed or may still be.
    Unknown,
}

/// When another controller last received from the leader, by its own account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// The controller.
    pub node: NodeId,
    /// Milliseconds since it received from the leader; `None` if it never did, which says nothing about the leader.
    pub silence_ms: Option<u64>,
}

/// The outcome of probing the leader itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It responded.
    Answered,
    /// Its connection was refused: there is no process, or it has no sockets left.
    Refused,
    /// It did not respond in time.
    Silent,
}

/// An event of the failover. Only [`FailoverEvent::ReplicaShows`] and the transaction's conditions prove who leads; the
/// rest is a hint that decides whether a transaction is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// Time passes.
    Tick {
        /// Whether the failure detector suspects the leader.
        suspected: bool,
        /// The rank among those that may replace the leader, from 0; `None` if this controller may not, or has no
        /// right to lead.
        rank: Option<u64>,
    },
    /// Another controller responded to a query.
    PeerObserved(PeerObservation),
    /// The probe of the leader has an outcome.
    ProbeCompleted(ProbeOutcome),
    /// The leader's key expired with its lease, and this controller takes the next term.
    LeaseExpired,
    /// The transaction that takes the next term has an outcome.
    FenceCompleted(FenceOutcome),
    /// The replica shows a leader and its term.
    ReplicaShows {
        /// The term.
        term: Term,
        /// Whether this process leads it.
        mine: bool,
    },
    /// The mirrored decisions have been compared with the replica.
    Verified,
}
