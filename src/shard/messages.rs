//! What a heartbeat is answered with, and what is sent to a machine without one.

use std::rc::Rc;

use crate::model::{AgentEpoch, MachineId, Term};
use crate::wire::{HeartbeatResponse, WorkerCommand};

/// How a report is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with orders.
    Respond(HeartbeatResponse),
    /// 421: report to that controller.
    Redirect(String),
    /// 503: this node may not act, or the report is a late one.
    Refuse,
}

/// A machine that is to be asked or told something straight away.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectMessage {
    /// The machine.
    pub machine: MachineId,
    /// Where its worker listens.
    pub endpoint: Rc<str>,
    /// The term.
    pub term: Term,
    /// Its session, as far as known.
    pub agent_epoch: AgentEpoch,
    /// The newest report known when this goes out, if an older one came since: a worker that
    /// answers with nothing newer counts from the start again.
    pub newest_known: Option<(AgentEpoch, u64)>,
    /// What it is to do. Only kills: a start could run late.
    pub commands: Vec<WorkerCommand>,
}
