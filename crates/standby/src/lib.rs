//! Warm standby: a controller that follows the leader's decisions and replaces the leader within seconds if it fails.
//!
//! The crate consists of state machines without I/O: they take events and the time, and return commands. The
//! controller's loops send the messages and the transactions (`willowshore::standby`).
//!
//! - [`detector`]: suspects the leader by the intervals between its heartbeats (phi accrual).
//! - [`failover_order`]: ranks the controllers that may replace the leader.
//! - [`failover`]: takes a controller from following to leading, once a majority of the controllers receives nothing
//!   from the leader.
//! - [`decisions`]: the leader's decisions as typed records, and the state that results from them.
//! - [`decision_log`]: the leader's bounded log of numbered decisions, with compressed snapshots.
//! - [`payload`]: encoding and compression of decisions for sending.
//! - [`mirror`]: the standby's copy of the decisions, checked against the leader's digests.
//! - [`settings`]: the settings of the standby and their checks.
//! - [`status`]: the status for operators.
//!
//! # Hints and proofs
//!
//! Nothing in this crate proves who leads. Suspicions, probes and observations of peers only decide whether a failover
//! is attempted. A standby becomes leader by the same conditional transaction as any other controller, once its replica
//! of the state service shows the term. Mirrored decisions are hints that the new leader confirms by its replica or
//! drops. The argument is in `docs/safety.md`, "Replacing a leader that is not heard".

pub mod decision_log;
pub mod decisions;
pub mod detector;
pub mod failover;
pub mod failover_order;
pub mod mirror;
pub mod payload;
pub mod settings;
pub mod status;
