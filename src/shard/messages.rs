//! What a heartbeat is answered with, and what is sent to a machine without waiting for one.

use std::rc::Rc;

use crate::model::{AgentEpoch, MachineId, Term};
use crate::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with commands. It renews the worker's lease.
    Respond(HeartbeatResponse),
    /// 421: the worker is to send its heartbeats to the controller of that name.
    Redirect(String),
    /// 503: this node may not respond, or the heartbeat is a late copy.
    Refuse,
}

/// The place of a heartbeat among those of its machine. The derived order is the order of sending, unless the machine
/// was restarted: the epoch counts before the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatOrder {
    /// The agent epoch of the worker.
    pub agent_epoch: AgentEpoch,
    /// The number of the heartbeat in that epoch.
    pub sequence: u64,
}

impl HeartbeatOrder {
    /// The place of that heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        HeartbeatOrder { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }
}

/// A message that a machine gets without having sent a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectMessage {
    /// The receiver.
    pub machine: MachineId,
    /// Where its worker listens.
    pub endpoint: Rc<str>,
    /// The fencing token.
    pub term: Term,
    /// The agent epoch of its worker, as far as known.
    pub agent_epoch: AgentEpoch,
    /// In a restart check, the newest heartbeat known when the message was made: a worker whose answer is not newer was
    /// restarted. `None` in all other messages.
    pub newest_known: Option<HeartbeatOrder>,
    /// Kills only: a start could run late.
    pub commands: Vec<WorkerCommand>,
}
