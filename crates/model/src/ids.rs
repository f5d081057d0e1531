//! Ids of jobs, tasks, machines and controllers, and the counters that order terms, attempts, epochs and revisions.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A job's id, chosen by its user: `wk-` followed by at least six digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the canonical form; `None` for any text that `Display` would not reproduce, such as one with extra
    /// leading zeros.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("wk-")?;
        if digits.len() < 6 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let id = JobId(digits.parse().ok()?);
        (id.to_string() == text).then_some(id)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "wk-{:06}", self.0)
    }
}

/// A task of a job, written as `wk-000412/3` on the wire and in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's number within its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the wire form; `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        Some(TaskId { job: JobId::parse(job)?, index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Implements serialization of a type as its `Display` text, and deserialization by its `parse` function.
macro_rules! serialize_as_text {
    ($name:ident, $what:literal) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                $name::parse(&text).ok_or_else(|| de::Error::custom(concat!("not ", $what)))
            }
        }
    };
}
serialize_as_text!(JobId, "a job id");
serialize_as_text!(TaskId, "a task id");

/// A machine's name as assigned by the cloud. Names sort in creation order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineId(pub Rc<str>);

impl MachineId {
    /// Creates the id of the machine with this name.
    pub fn new(name: &str) -> Self {
        MachineId(Rc::from(name))
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

u64_newtype!(
    /// A leadership term, from 1; 0 before the first term. It is the fencing token, named `Baton` in the
    /// worker protocol.
    Term
);
u64_newtype!(
    /// The number of an attempt to run a task, unique across all terms and controllers; see [`Attempt::from_parts`].
    Attempt
);
u64_newtype!(
    /// A revision of the state service. The version of a key is the revision at which the key was last put; 0 for
    /// a key that does not exist.
    Revision
);
u64_newtype!(
    /// The epoch of a machine's agent, `Tenure` on the wire: starts at 1 and is incremented each time the agent's
    /// lease expires.
    AgentEpoch
);
u64_newtype!(
    /// Identifies one run of a controller's process among all its runs.
    Incarnation
);
u64_newtype!(
    /// The sequence number within a term of a plan, the leader's response to a controller's summary, from 1; 0 before
    /// the first plan.
    PlanSeq
);
u64_newtype!(
    /// The id of a lease of the state service, assigned by the service.
    StoreLease
);

impl Attempt {
    /// Composes the attempt that a controller allocates as its `sequence`th of a term: 32 bits of term, 6 of
    /// controller, 26 of sequence. The attempts are unique without a write to the store, as only the incarnation
    /// of the controller that the term's leader recognizes allocates attempts in the term.
    pub fn from_parts(term: Term, node: NodeId, sequence: u32) -> Self {
        Attempt((term.0 << 32) | (u64::from(node.0) << 26) | u64::from(sequence & 0x03ff_ffff))
    }
}

/// The node id in the attempts that the leader allocates itself, which keeps them distinct from the attempts that
/// the same controller allocates for its shard. No controller has this id.
pub const LEADER_ATTEMPTS_NODE: NodeId = NodeId(32);

/// A controller's index in the sorted list of all controllers' names, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u8);
