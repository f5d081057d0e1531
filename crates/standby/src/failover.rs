//! The way of a standby from following the leader to leading, as a state machine without I/O.
//!
//! [`FailoverMachine`] takes a [`FailoverEvent`] with the time and returns the [`FailoverCommand`] that the caller is
//! to carry out. It owns the phase, the suspicion's evidence and the times of the failover; it never leads by itself:
//! leadership is taken by the transaction that [`FailoverCommand::Fence`] asks for, and held once the replica shows it.
//!
//! ```text
//!                                 LeaseExpired
//!          +-------------------------------------------------------+
//!          |                                                       v
//!     Following --> Suspecting ---------------------------------> Fencing --> CatchingUp
//!      ^   |  Tick      |       majority silent, probe failed;      |   Done      |
//!      |   |            |       or LeaseExpired                     |             |
//!      |   |            |                                           |             |
//!      |   +------------+------ ReplicaShows, own term -------------+-------------+
//!      |                                     |
//!      |                                     v        Verified
//!      |                                 Verifying ------------> Active
//!      |                                     |                     |
//!      +--- a StandDownReason, from every other phase -------------+
//! ```
//!
//! | phase | event | next phase | command |
//! | --- | --- | --- | --- |
//! | `Following` | `Tick`: suspected, with a rank, after the back-off | `Suspecting` | `ProbeLeader` |
//! | `Suspecting` | `Tick`: the rank's delay and the query period are over | | `QueryPeers` |
//! | `Suspecting` | `PeerObserved`, `ProbeCompleted`: a majority is silent and the probe failed | `Fencing` | `Fence` |
//! | `Following`, `Suspecting` | `LeaseExpired` | `Fencing` | `Fence` |
//! | `Fencing` | `FenceCompleted`: done | `CatchingUp` | |
//! | all but `Active` | `ReplicaShows`: this process leads the term | `Verifying` | `Verify` |
//! | `Verifying` | `Verified` | `Active` | |
//!
//! And back to `Following`:
//!
//! | phase | event | reason |
//! | --- | --- | --- |
//! | `Suspecting` | `Tick`: no longer suspected; `ProbeCompleted`: the leader responded | [`StandDownReason::LeaderResponds`] |
//! | `Suspecting` | `PeerObserved`: a short silence, once the leader's last messages are out of the way | [`StandDownReason::HeardByOther`] |
//! | `Suspecting` | `Tick` after the time limit | [`StandDownReason::NoMajority`] |
//! | `Fencing` | `FenceCompleted`: conflict | [`StandDownReason::Conflict`] |
//! | `Fencing` | `FenceCompleted`: outcome unknown | [`StandDownReason::StoreUnavailable`] |
//! | `Fencing`, `CatchingUp` | `Tick` after the time limit | [`StandDownReason::StoreUnavailable`] |
//! | `Suspecting` to `Verifying` | `ReplicaShows`: another leader | [`StandDownReason::TermTakenByOther`] |
//! | `Active` | `ReplicaShows`: another leader | [`StandDownReason::Replaced`] |
//!
//! An event that a phase does not name is ignored there.
//!
//! # Why a suspicion alone changes nothing
//!
//! The leader itself is probed once more, with more time than a heartbeat has: a loaded leader is slow, and replacing
//! it would add to its load. It is fenced, by a transaction that takes the next term and is guarded by the leader's
//! key, only if it does not respond and a majority of all controllers, this one included, receives nothing from it. So
//! a controller that is partitioned from the others never replaces a leader that serves them, and two controllers that
//! do not reach each other do not replace each other in turn. Where no such majority can be had, the leader's lease in
//! the state service decides, as it does without a standby. The argument is in `docs/safety.md`, "Replacing a leader
//! that is not heard"; nothing that this machine assumes can break a rule, as the transaction's conditions decide.

mod command;
mod event;
mod machine;
mod outcome;
mod phase;

pub use command::FailoverCommand;
pub use event::{FailoverEvent, FenceOutcome, PeerObservation, ProbeOutcome};
pub use machine::FailoverMachine;
pub use outcome::{Failover, FailoverCause, FailoverTimeline, StandDownReason};
pub use phase::Phase;

#[cfg(test)]
mod tests;
