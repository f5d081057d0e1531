//! Responses to heartbeats, and messages sent to machines without waiting for a heartbeat.

use std::rc::Rc;

use crate::model::{AgentEpoch, MachineId, Term};
use crate::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

/// The reaction to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Status 200 with commands. Renews the worker's lease.
    Respond(HeartbeatResponse),
    /// Status 421. The worker is to send its heartbeats to the controller of this name.
    Redirect(String),
    /// Status 503. This controller may not respond, or the heartbeat is stale.
    Refuse,
}

/// Position of a heartbeat among those of its machine. The derived order, epoch before sequence number, is
/// the sending order unless the machine was restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatOrder {
    /// Agent epoch of the worker.
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the heartbeat in its agent epoch.
    pub sequence: u64,
}

impl HeartbeatOrder {
    /// Returns the position of `heartbeat`.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        HeartbeatOrder { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }
}

/// A message sent to a machine without waiting for its heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectMessage {
    /// Receiving machine.
    pub machine: MachineId,
    /// Address at which the machine's worker listens.
    pub endpoint: Rc<str>,
    /// Term of the sender, which is the fencing token.
    pub term: Term,
    /// Last known agent epoch of the worker.
    pub agent_epoch: AgentEpoch,
    /// In a restart check, the newest heartbeat known when the message was made: a worker whose answer is not
    /// newer was restarted. `None` in all other messages.
    pub newest_known: Option<HeartbeatOrder>,
    /// Commands, which are kills only: a start in a direct message could be executed late.
    pub commands: Vec<WorkerCommand>,
}
