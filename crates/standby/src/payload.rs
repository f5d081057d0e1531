//! The payload of a batch: decisions encoded as MessagePack and compressed with LZ4.

use serde::Serialize;
use serde_bytes::ByteBuf;
use thiserror::Error;

use crate::decisions::Decision;

/// Maximum encoded size of a snapshot chunk's decisions, in bytes before compression; a larger snapshot is sent in
/// several chunks. Even an incompressible chunk leaves room for the plan in the same response between controllers, whose
/// limit is 4 MiB.
pub(crate) const MAX_CHUNK_BYTES: usize = 512 * 1024;

/// Maximum decompressed size of a received payload, in bytes. Batches of records are limited by the number of records
/// and not by size, so the maximum leaves room above [`MAX_CHUNK_BYTES`].
const MAX_DECOMPRESSED_BYTES: usize = 4 * MAX_CHUNK_BYTES;

/// Why a payload cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PayloadError {
    /// The payload is too short for the size header.
    #[error("the payload is too short for its size header")]
    MissingSize,
    /// The size in the payload's header, in bytes, exceeds the limit.
    #[error("the payload's size of {0} bytes exceeds the limit of {MAX_DECOMPRESSED_BYTES}")]
    TooLarge(usize),
    /// The payload cannot be decompressed to the size in its header.
    #[error("the payload is not valid LZ4, or does not match its size header")]
    Compression,
    /// The decompressed bytes are not an encoded list of decisions.
    #[error("the payload is not a MessagePack list of decisions")]
    Encoding,
}

/// Encodes and compresses decisions.
pub(crate) fn pack(decisions: &[Decision]) -> ByteBuf {
    ByteBuf::from(lz4_flex::compress_prepend_size(&encode(decisions)))
}

/// The size of a decision's encoding, in bytes.
pub(crate) fn encoded_len(decision: &Decision) -> usize {
    encode(decision).len()
}

/// Encodes decisions, or parts of a decision, as MessagePack.
///
/// The encoding cannot fail: writing to memory does not fail, and MessagePack represents every type that decisions
/// consist of (numbers, strings, options, enums, and lists of known length). A type that violated this would fail the
/// debug assertion in the tests. A release build would send an empty payload, which receivers reject.
pub(crate) fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap_or_else(|error| {
        debug_assert!(false, "a decision could not be encoded as MessagePack: {error}");
        Vec::new()
    })
}

/// Decompresses and decodes the decisions of a payload.
pub(crate) fn unpack(payload: &[u8]) -> Result<Vec<Decision>, PayloadError> {
    // The size header is set by the sender, so it is checked before memory is allocated.
    let (size, _) =
        lz4_flex::block::uncompressed_size(payload).map_err(|_| PayloadError::MissingSize)?;
    if size > MAX_DECOMPRESSED_BYTES {
        return Err(PayloadError::TooLarge(size));
    }
    let bytes =
        lz4_flex::decompress_size_prepended(payload).map_err(|_| PayloadError::Compression)?;
    rmp_serde::from_slice(&bytes).map_err(|_| PayloadError::Encoding)
}

#[cfg(test)]
mod tests;
