//! Newtypes for ids, versions, times and amounts.
//!
//! Values that modules exchange have these types, so that the compiler rejects a term in place of an attempt, or a
//! wall-clock time in place of a monotonic one.

/// Defines a newtype of `u64` that serializes as the number.
macro_rules! u64_newtype {
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
