//! Messages between controllers: shard summaries to the leader, plans in response, and requests
//! forwarded to a controller that can reach the store. Encoded as MessagePack with `rmp-serde`.
//!
//! Compatibility between versions: messages are maps by field name, a reader ignores unknown
//! fields, and a field that was added later has a default. Types of which a message holds many
//! ([`MachineView`], [`ForeignMachine`], [`Grant`], [`JobStatus`], [`TaskView`]) are arrays of a
//! fixed set of fields and never change; new data goes into a new field of the enclosing message.
//! No enum gets a variant that a version without it has to read. The version before this rule wrote
//! arrays throughout; they can still be read.

mod lists;
mod messages;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

pub use lists::{ForeignMachine, Grant, JobStatus, MachineView, TaskView};
pub use messages::{
    CancellationNotice, GangStop, OwnershipChanges, PeerRequest, PeerResponse, Plan, PlanBody,
    StoreMessage, Summary, WaitReason,
};

/// Error for a message that is not MessagePack or has an unexpected shape, such as an enum variant
/// of a later version.
#[derive(Debug, Error)]
#[error("invalid message from a controller: {0}")]
pub struct DecodeError(#[from] rmp_serde::decode::Error);

/// Whether a request may be forwarded to another controller. A request is forwarded at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Forwarding {
    /// The request came from a user and may be forwarded.
    Allowed,
    /// The request came from another controller and must not be forwarded again.
    Forbidden,
}

/// Encodes a message.
///
/// Encoding does not fail: writes to memory succeed, and MessagePack can represent all types in
/// these messages. A type that breaks this rule fails the debug assertion in tests. A release build
/// then sends an empty body, which every reader rejects.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_else(|error| {
        debug_assert!(false, "cannot encode message as MessagePack: {error}");
        Vec::new()
    })
}

/// Decodes a message.
///
/// # Errors
/// [`DecodeError`] with the decoder's message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

#[cfg(test)]
mod tests;
