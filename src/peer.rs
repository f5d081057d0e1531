//! Messages between controllers: shard summaries to the leader, plans back, and requests
//! handed over to a controller that can reach the store. Encoded with `rmp-serde`.
//!
//! Controllers of two versions understand each other by one rule: messages are maps by field
//! name, so what a reader does not know it ignores, and a field that came later has a default.
//! What comes in numbers ([`MachineView`], [`ForeignMachine`], [`Grant`], [`JobStatus`], [`TaskView`]) is
//! written as a list of its first fields and never grows; what is to be sent besides gets a field in
//! the message around it. No enum gets a variant that a version without it has to read. The
//! version before this rule wrote lists throughout, which are read as well.

mod lists;
mod messages;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

pub use lists::{ForeignMachine, Grant, JobStatus, MachineView, TaskView};
pub use messages::{
    GangStop, OwnershipChanges, PeerRequest, PeerResponse, Plan, PlanBody, StoreMessage, Summary,
    WaitReason,
};

/// A message that cannot be read: not MessagePack, or of the wrong shape, such as a variant of a later
/// version.
#[derive(Debug, Error)]
#[error("unreadable message of a controller: {0}")]
pub struct DecodeError(#[from] rmp_serde::decode::Error);

/// Whether a request may be forwarded to another controller. A forwarded one is not forwarded again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Forwarding {
    /// It came from a user.
    Allowed,
    /// It came from another controller.
    Forbidden,
}

/// Encodes a message.
///
/// This cannot fail: writing to memory does not, and MessagePack expresses all that our messages are made of.
/// A type that broke this would fail the debug assertion in the tests; a release build would send an empty
/// body, which every reader refuses.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_else(|error| {
        debug_assert!(false, "a message that MessagePack cannot express: {error}");
        Vec::new()
    })
}

/// Decodes a message.
///
/// # Errors
/// [`DecodeError`] with what the decoder says.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

#[cfg(test)]
mod tests;
