//! Messages between controllers: part summaries to the leader, plans back, and requests
//! handed over to a controller that can reach the store. Encoded with `rmp-serde`.

use serde::{Deserialize, Serialize};

use crate::model::{
    Attempt, Incarnation, JobId, MachineId, NodeId, PlanSeq, Ranges, Session, TaskId, Term,
};
use crate::wire::{JobSpec, PieceStage};

/// A task as its machine's owner knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Its state; `Unknown` for a start that the worker has not shown yet.
    pub stage: PieceStage,
    /// Milliseconds since it is there.
    pub age_ms: u64,
}

/// A machine as its owner knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    /// The machine.
    pub id: MachineId,
    /// Type.
    pub hull: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Session.
    pub session: Session,
    /// Whether its last report carried the sender's term: it refuses orders of older ones,
    /// and its task list is the truth.
    pub settled: bool,
    /// Milliseconds since its last report.
    pub silent_ms: u64,
    /// Milliseconds until the cloud takes it, if it said so.
    pub warning_ms: Option<u64>,
    /// Whether it lately failed tasks or refused starts.
    pub shunned: bool,
    /// Tasks that failed here since the last one that completed.
    pub faults: u32,
    /// Tasks on it or on their way to it.
    pub tasks: Vec<TaskView>,
    /// Images it has, with their sizes in GB, most recently used last.
    pub images: Vec<(String, f64)>,
}

/// A machine that reports to a node that does not own it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stray {
    /// The machine.
    pub id: MachineId,
    /// Type.
    pub hull: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Milliseconds since its last report here.
    pub silent_ms: u64,
    /// Milliseconds since it began to report here without being able to reach its owner.
    pub since_ms: u64,
}

/// What a controller tells the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Sender.
    pub node: NodeId,
    /// Life of its process.
    pub life: Incarnation,
    /// Counts its summaries; late ones are dropped.
    pub number: u64,
    /// The term it knows.
    pub term: Term,
    /// The last plan of this term that it follows.
    pub followed: PlanSeq,
    /// The leader's clock as given in that plan: this summary was made after that.
    pub echo_ms: u64,
    /// Milliseconds since its process started.
    pub up_ms: u64,
    /// The machines of its part.
    pub machines: Vec<MachineView>,
    /// For every machine it answered in this life: milliseconds since the last answer.
    pub answered: Vec<(MachineId, u64)>,
    /// Machines that report to it without being of its part.
    pub strays: Vec<Stray>,
    /// Jobs that fail wherever they are tried.
    pub failing: Vec<JobId>,
}

/// Task ranges that a part may start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The job.
    pub job: JobId,
    /// The tasks.
    pub tasks: Ranges,
    /// The only zone in which they may start, for jobs whose tasks must be together or apart.
    pub zone: Option<String>,
    /// The attempt that all tasks of a gang share; others get their own from the part.
    pub attempt: Option<Attempt>,
}

/// Why a job does not run as wide as it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Waits {
    /// Nothing holds it back.
    No,
    /// Its rank is below the waterline.
    BelowWaterline,
    /// Its team's limit is used up.
    TeamLimit,
    /// Machines are full; more are being rented if they can be had.
    ForMachines,
    /// Its tasks keep failing; it is tried again after a pause.
    Failing,
    /// A controller or machine was lost and its tasks are not yet proven gone.
    Unproven,
}

/// How a job stands, for answers to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The job.
    pub job: JobId,
    /// Tasks running.
    pub running: u32,
    /// What holds it back.
    pub waits: Waits,
}

/// What the leader tells a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The term.
    pub term: Term,
    /// The life that it is meant for.
    pub life: Incarnation,
    /// Its number in the term.
    pub seq: PlanSeq,
    /// The leader's clock when it was sent, to be echoed.
    pub clock_ms: u64,
    /// Every machine's owner.
    pub owners: Vec<(MachineId, NodeId)>,
    /// What this part may start.
    pub grants: Vec<Grant>,
    /// Machines that are to take nothing new.
    pub drain: Vec<MachineId>,
    /// How jobs stand.
    pub standings: Vec<Standing>,
}

/// A request between controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// A part's summary to the leader.
    Summary(Summary),
    /// Whether the asked node reaches the store.
    Reach,
    /// A submission handed over.
    Submit(JobSpec),
    /// A query handed over.
    Query(JobId),
    /// A cancellation handed over.
    Abort(JobId),
}

/// An answer between controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Tell {
    /// The leader's plan.
    Plan(Box<Plan>),
    /// The asked node does not lead; this is the term it knows.
    NotLeading(Term),
    /// Whether the asked node reaches the store.
    Reach(bool),
    /// The answer to a handed-over request: status and CBOR body.
    Answer(u16, Vec<u8>),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Writing to memory fails only for types that MessagePack cannot express; ours all can.
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Decodes a message; `None` if it has the wrong shape.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn peer_messages_of_the_wrong_shape_are_refused() {
        let good = encode(&Ask::Query(JobId(3)));
        assert!(matches!(decode::<Ask>(&good), Some(Ask::Query(JobId(3)))));
        let cases: [&[u8]; 5] = [b"", b"\xc1", b"GET / HTTP/1.1", b"\x93\x01\x02", &[0xdf; 9]];
        for bytes in cases {
            assert!(decode::<Ask>(bytes).is_none(), "{bytes:?}");
        }
    }
}
