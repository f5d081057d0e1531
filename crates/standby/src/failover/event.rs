//! The events that the failover state machine handles.

use willowshore_model::{NodeId, Revision, Term};

/// The outcome of the transaction that takes the next term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It was committed at this revision of the state service.
    Committed(Revision),
    /// Its conditions failed, so nothing was written.
    ConditionsFailed,
    /// It was refused, or no response was received. It may have been committed, or may still be committed later.
    Unknown,
}

/// Another controller's report of how long it has received nothing from the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// The reporting controller.
    pub node: NodeId,
    /// Milliseconds since the reporting controller last received a message from the leader; `None` if it never
    /// received one, which is no evidence about the leader.
    pub silence_ms: Option<u64>,
}

/// The outcome of probing the leader directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The leader responded.
    Responded,
    /// The connection was refused: the process is not running, or it has no sockets left.
    Refused,
    /// The leader did not respond in time.
    NoResponse,
}

/// An event of the failover.
///
/// Only [`FailoverEvent::TermRecorded`] and the conditions of the fencing transaction prove who leads. The other events
/// are hints that decide whether the transaction is attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// The periodic timer fired.
    Tick {
        /// Whether the failure detector suspects the leader.
        suspected: bool,
        /// This controller's rank among the controllers that may replace the leader, from 0; `None` if the settings
        /// do not allow this controller to replace the leader, or it has no right to lead at present.
        rank: Option<u64>,
    },
    /// Another controller responded to a query about the leader.
    PeerObserved(PeerObservation),
    /// The probe of the leader has completed.
    ProbeCompleted(ProbeOutcome),
    /// The leader's key expired with its lease, and this controller is about to take the next term.
    LeaseExpired,
    /// The fencing transaction, which takes the next term, has completed.
    FenceCompleted(FenceOutcome),
    /// The replica of the state service shows a leader's record with its term.
    TermRecorded {
        /// The recorded term.
        term: Term,
        /// Whether this process leads the term.
        is_own: bool,
    },
    /// The mirrored decisions have been compared with the replica.
    Verified,
}
