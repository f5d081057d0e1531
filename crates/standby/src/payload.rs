//! The payload of a batch: decisions, encoded as MessagePack and compressed with LZ4.

use serde::Serialize;
use serde_bytes::ByteBuf;
use thiserror::Error;

use crate::decisions::Decision;

/// Most bytes of a payload's decisions before they are compressed; a larger snapshot goes out in chunks. Even
/// uncompressed it leaves room for the plan in a response between controllers, which may have 4 MiB.
pub(crate) const MAX_CHUNK_BYTES: usize = 512 * 1024;

/// Most bytes that a received payload may have once it is decompressed. Batches of records are bounded by their number
/// instead of their size, so this leaves room over [`MAX_CHUNK_BYTES`].
const MAX_DECOMPRESSED_BYTES: usize = 4 * MAX_CHUNK_BYTES;

/// Why a payload cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PayloadError {
    /// It is too short for the size that it begins with.
    #[error("the payload has no size")]
    MissingSize,
    /// It claims to be larger than any payload may be.
    #[error("the payload claims {0} bytes, more than {MAX_DECOMPRESSED_BYTES}")]
    TooLarge(usize),
    /// It cannot be decompressed to the size that it claims.
    #[error("the payload cannot be decompressed")]
    Compression,
    /// What was compressed is no list of decisions.
    #[error("the payload holds no decisions")]
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

/// Encodes decisions, or parts of one.
///
/// This cannot fail: writing to memory does not, and MessagePack expresses all that decisions are made of (numbers,
/// strings, options, and enums and lists of known length). A type that broke this would fail the debug assertion in the
/// tests; a release build would send an empty payload, which every reader refuses.
pub(crate) fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap_or_else(|error| {
        debug_assert!(false, "a decision that MessagePack cannot express: {error}");
        Vec::new()
    })
}

/// The decisions of a payload.
pub(crate) fn unpack(payload: &[u8]) -> Result<Vec<Decision>, PayloadError> {
    // The size comes from the sender; it is checked before any memory is allocated for it.
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
