//! Splits messages between controllers into chunks that fit into values of the store.
//!
//! The store takes no binary values, so messages are encoded as text. Each chunk carries the
//! checksum of its message, so that chunks of different messages are never combined: a receiver
//! gets a message either whole or not at all.
//!
//! Format of a chunk: `<checksum>:<index>:<count>:<payload>`, with the message's checksum in 16
//! hexadecimal digits, the chunk's index and the number of chunks in decimal, and a part of the
//! base64-encoded message. Controllers of different versions exchange this format.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use thiserror::Error;

/// Bytes of a chunk reserved for its header: 16 digits, two numbers and three colons.
const HEADER_BYTES: usize = 64;
/// Minimum payload of a chunk in bytes, even if the store's values are smaller.
const MIN_PAYLOAD_BYTES: usize = 64;

/// Reason why chunks do not form a message. Errors are expected while a message is being replaced
/// by the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// No chunks, or fewer than the message has.
    #[error("chunks of the message are missing")]
    Incomplete,
    /// A chunk that does not have the format of this module.
    #[error("chunk {index} does not have the format <checksum>:<index>:<count>:<payload>")]
    Malformed {
        /// Index of the chunk.
        index: usize,
    },
    /// A chunk of another message, or a chunk with another index than its position.
    #[error("chunk {index} belongs to another message or position")]
    Mismatched {
        /// Position of the chunk.
        index: usize,
    },
    /// The combined payloads are not valid base64.
    #[error("the payload is not valid base64")]
    Encoding,
    /// The decoded message does not match its checksum.
    #[error("the checksum does not match the message")]
    Checksum,
}

/// Header of a chunk. The checksum is kept as text, because it is only compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChunkHeader<'a> {
    checksum: &'a str,
    index: usize,
    count: usize,
}

impl<'a> ChunkHeader<'a> {
    /// Parses a chunk into its header and payload; `None` if the chunk is malformed.
    fn parse(chunk: &'a str) -> Option<(Self, &'a str)> {
        let mut fields = chunk.splitn(4, ':');
        let checksum = fields.next()?;
        let index = fields.next()?.parse().ok()?;
        let count = fields.next()?.parse().ok()?;
        let payload = fields.next()?;
        Some((ChunkHeader { checksum, index, count }, payload))
    }
}

impl fmt::Display for ChunkHeader<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}:", self.checksum, self.index, self.count)
    }
}

/// Payload size of a chunk of up to `limit` bytes.
fn payload_bytes(limit: usize) -> usize {
    limit.saturating_sub(HEADER_BYTES).max(MIN_PAYLOAD_BYTES)
}

/// Size of the largest message, in bytes, that fits into `chunks` chunks of up to `limit` bytes
/// each. Base64 encodes three bytes as four.
pub fn max_message_bytes(limit: usize, chunks: usize) -> usize {
    payload_bytes(limit) * chunks / 4 * 3
}

/// Splits a message into chunks of up to `limit` bytes.
pub fn split(message: &[u8], limit: usize) -> Vec<String> {
    let text = BASE64.encode(message);
    let checksum = checksum_text(message);
    let payloads: Vec<&[u8]> = text.as_bytes().chunks(payload_bytes(limit)).collect();
    let count = payloads.len();
    let chunk = |(index, payload): (usize, &[u8])| {
        let header = ChunkHeader { checksum: &checksum, index, count };
        format!("{header}{}", String::from_utf8_lossy(payload))
    };
    payloads.into_iter().enumerate().map(chunk).collect()
}

/// Joins chunks, given in order, into a message. Chunks after the last one of the message are left
/// over from a longer message and are ignored.
pub fn join<'a>(chunks: impl Iterator<Item = &'a str>) -> Result<Vec<u8>, ChunkError> {
    let mut expected_checksum: Option<&str> = None;
    let mut text = String::new();
    for (index, chunk) in chunks.enumerate() {
        let (header, payload) = ChunkHeader::parse(chunk).ok_or(ChunkError::Malformed { index })?;
        let same_message = expected_checksum.is_none_or(|checksum| checksum == header.checksum);
        // A count up to the current index cannot be right, as the message would have ended earlier.
        if header.index != index || !same_message || header.count <= index {
            return Err(ChunkError::Mismatched { index });
        }
        expected_checksum = Some(header.checksum);
        text.push_str(payload);
        if index + 1 == header.count {
            return decode(&text, header.checksum);
        }
    }
    Err(ChunkError::Incomplete)
}

/// Decodes the combined payloads and verifies the checksum.
fn decode(text: &str, checksum: &str) -> Result<Vec<u8>, ChunkError> {
    let message = BASE64.decode(text).map_err(|_| ChunkError::Encoding)?;
    if checksum_text(&message) == checksum { Ok(message) } else { Err(ChunkError::Checksum) }
}

fn checksum_text(message: &[u8]) -> String {
    format!("{:016x}", checksum(message))
}

/// Computes the 64-bit FNV-1a hash. It detects mixed and torn messages. Protection against forged
/// messages is out of scope.
fn checksum(message: &[u8]) -> u64 {
    message.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

#[cfg(test)]
mod tests;
