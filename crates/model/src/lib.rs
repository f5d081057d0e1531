//! Small types for ids, versions, times and amounts.
//!
//! Everything that travels between modules is one of these, so that a term cannot be
//! passed for an attempt or a wall time for a monotonic one.

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

mod amounts;
mod ids;
mod task_ranges;
mod time;

pub use amounts::Cores;
pub use ids::{
    AgentEpoch, Attempt, Incarnation, JobId, LEADER_ATTEMPTS_NODE, MachineId, NodeId, PlanSeq,
    Revision, StoreLease, TaskId, Term,
};
pub use task_ranges::TaskRanges;
pub use time::{ClockReading, MonotonicTime, WallTime};

#[cfg(test)]
mod tests;
