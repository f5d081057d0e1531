//! Failover of a standby from following the leader to leading, as a state machine without I/O.
//!
//! [`FailoverStateMachine`] takes a [`FailoverEvent`] with the time and returns the [`FailoverCommand`] that the caller
//! has to carry out. It holds the phase, the evidence for the suspicion and the timeline of the failover. It does not
//! take leadership itself: the transaction requested by [`FailoverCommand::Fence`] takes the next term, and the
//! controller leads once the replica of the state service shows that term.
//!
//! ```text
//!                                 LeaseExpired
//!          +-------------------------------------------------------+
//!          |                                                       v
//!     Following --> Suspecting ---------------------------------> Fencing --> CatchingUp
//!      ^   |  Tick      |       majority silent, probe failed;      |  Committed  |
//!      |   |            |       or LeaseExpired                     |             |
//!      |   |            |                                           |             |
//!      |   +------------+------ TermRecorded, own term -------------+-------------+
//!      |                                     |
//!      |                                     v        Verified
//!      |                                 Verifying ------------> Active
//!      |                                     |                     |
//!      +--- a StandDownReason, from every other phase -------------+
//! ```
//!
//! | phase | event | next phase | command |
//! | --- | --- | --- | --- |
//! | `Following` | `Tick`: leader suspected, this controller ranked, back-off over | `Suspecting` | `ProbeLeader` |
//! | `Suspecting` | `Tick`: delay of the rank and query period over | | `QueryPeers` |
//! | `Suspecting` | `PeerObserved`, `ProbeCompleted`: a majority receives nothing and the probe failed | `Fencing` | `Fence` |
//! | `Following`, `Suspecting` | `LeaseExpired` | `Fencing` | `Fence` |
//! | `Fencing` | `FenceCompleted`: committed | `CatchingUp` | |
//! | all but `Active` | `TermRecorded`: this process leads the term | `Verifying` | `Verify` |
//! | `Verifying` | `Verified` | `Active` | |
//!
//! Transitions back to `Following`:
//!
//! | phase | event | reason |
//! | --- | --- | --- |
//! | `Suspecting` | `Tick`: no longer suspected; `ProbeCompleted`: the leader responded | [`StandDownReason::LeaderResponds`] |
//! | `Suspecting` | `PeerObserved`: a short silence, reported after the minimum silence has passed in this phase | [`StandDownReason::PeerReceivesFromLeader`] |
//! | `Suspecting` | `Tick` after the time limit | [`StandDownReason::NoMajority`] |
//! | `Fencing` | `FenceCompleted`: conditions failed | [`StandDownReason::ConditionsFailed`] |
//! | `Fencing` | `FenceCompleted`: outcome unknown | [`StandDownReason::StoreUnavailable`] |
//! | `Fencing`, `CatchingUp` | `Tick` after the time limit | [`StandDownReason::StoreUnavailable`] |
//! | `Suspecting` to `Verifying` | `TermRecorded`: another leader | [`StandDownReason::TermTakenByPeer`] |
//! | `Active` | `TermRecorded`: another leader | [`StandDownReason::Replaced`] |
//!
//! Events that are not listed for a phase are ignored in it.
//!
//! # Why a suspicion alone does not replace the leader
//!
//! A suspected leader is first probed directly, with a longer time-out than a heartbeat has: an overloaded leader is
//! slow, and replacing it would add load. It is fenced only if it does not respond to the probe and a majority of all
//! controllers, this one included, receives nothing from it. Fencing is a transaction that takes the next term on the
//! condition that the leader's key is unchanged.
//!
//! The majority prevents two faults. A controller that is partitioned from the others never replaces a leader that
//! still serves them, and two controllers that do not reach each other do not replace each other in turn. If there is
//! no such majority, the expiry of the leader's lease in the state service decides, as it does without a standby.
//!
//! Wrong assumptions of this state machine cannot violate a safety rule, as the conditions of the transaction decide.
//! The argument is in `docs/safety.md`, "Replacing a leader that is not heard".

mod command;
mod event;
mod outcome;
mod phase;
mod state_machine;

pub use command::FailoverCommand;
pub use event::{FailoverEvent, FenceOutcome, PeerObservation, ProbeOutcome};
pub use outcome::{Failover, FailoverCause, FailoverTimeline, StandDownReason};
pub use phase::Phase;
pub use state_machine::FailoverStateMachine;

#[cfg(test)]
mod tests;
