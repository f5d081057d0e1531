//! Warm standby: a controller that follows the decisions of the leader and replaces it within seconds.
//!
//! The package holds state machines without I/O: each takes events and the time, and returns commands. The
//! controller's loops carry messages and transactions for them (`willowshore::standby`).
//!
//! - [`detector`]: suspects the leader by the distribution of its heartbeats (phi accrual).
//! - [`failover_order`]: ranks the controllers that may replace it.
//! - [`failover`]: from following to leading, by a majority of controllers that receive nothing from the leader.
//! - [`decisions`]: the leader's decisions as typed records, and the state that they add up to.
//! - [`decision_log`]: the leader's numbered log of them, bounded, with compressed snapshots.
//! - [`payload`]: how decisions are encoded and compressed on their way.
//! - [`mirror`]: the standby's copy, checked against the leader's digests.
//! - [`settings`]: the file that enables all of it.
//! - [`status`]: what operators are shown.
//!
//! # Hints and proofs
//!
//! Nothing here proves anything. Suspicions, probes and observations of peers decide only whether a failover is tried;
//! a standby leads by the same guarded transaction as any other controller, once its replica shows the term. Mirrored
//! decisions are hints that the new leader confirms by its replica or drops. The argument is in `docs/safety.md`,
//! "Replacing a leader that is not heard".

pub mod decision_log;
pub mod decisions;
pub mod detector;
pub mod failover;
pub mod failover_order;
pub mod mirror;
pub mod payload;
pub mod settings;
pub mod status;
