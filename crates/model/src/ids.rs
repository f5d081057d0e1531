//! Ids of jobs, tasks, machines and controllers, and the numbers that order their doings.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A job's id as users choose it. Always `wk-` followed by at least six digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the only accepted form; anything that would not print back identically is refused.
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

/// One task of a job, `wk-000412/3` on the wire and in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job it belongs to.
    pub job: JobId,
    /// Its number, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the wire form; `None` for anything else.
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

macro_rules! text_serde {
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
text_serde!(JobId, "a job id");
text_serde!(TaskId, "a task id");

/// A machine's name as the cloud gave it. Names sort in creation order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineId(pub Rc<str>);

impl MachineId {
    /// The id of that name.
    pub fn new(text: &str) -> Self {
        MachineId(Rc::from(text))
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

count_type!(
    /// A leadership term, from 1; 0 before the first. It is the fencing token, which workers show as `Baton`.
    Term
);
count_type!(
    /// The number of one try at running a task, unique over all terms and controllers; see [`Attempt::of`].
    Attempt
);
count_type!(
    /// A revision of the state service, and the version of a key: the revision that put it last, 0 for
    /// a key that does not exist.
    Revision
);
count_type!(
    /// An agent's epoch, `Tenure` on the wire: from 1, one more each time its lease expires.
    AgentEpoch
);
count_type!(
    /// One run of a controller's process, told apart from those before and after.
    Incarnation
);
count_type!(
    /// The number of a plan within a term, from 1; 0 before the first.
    PlanSeq
);
count_type!(
    /// A lease of the state service, by the number that the service gave it.
    StoreLease
);

impl Attempt {
    /// The attempt that a controller allocates as its `n`th of a term: 32 bits of term, 6 of controller,
    /// 26 of `n`. A controller allocates attempts in a term only in the incarnation that the term's leader
    /// counts with, so no write is needed to keep them apart.
    pub fn of(term: Term, node: NodeId, n: u32) -> Self {
        Attempt((term.0 << 32) | (u64::from(node.0) << 26) | u64::from(n & 0x03ff_ffff))
    }
}

/// The place under which the leader numbers the attempts that it allocates itself, apart from those that
/// its controller allocates for its shard. It is beyond all controllers.
pub const LEADER_ATTEMPTS_NODE: NodeId = NodeId(32);

/// A controller, by its place in the sorted list of all controllers' names, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u8);
