//! Messages between controllers through the store, cut into chunks of the size of its values.
//!
//! The store takes no binary values, so a message travels as text. Each chunk names the message that it belongs to by a
//! checksum, so chunks of different messages never mix: a receiver gets a message whole or not at all.
//!
//! A chunk reads `<checksum>:<index>:<count>:<payload>`: the message's checksum in 16 hexadecimal digits, the chunk's
//! index and the number of chunks in decimal, and a piece of the message in base 64. This form is on the wire between
//! versions.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use thiserror::Error;

/// Bytes of a chunk that are set aside for its header, which takes 16 digits, two numbers and three colons.
const HEADER_BYTES: usize = 64;
/// Least bytes of payload in a chunk, however small the store's values are.
const MIN_PAYLOAD_BYTES: usize = 64;

/// Why chunks do not make up a message. While a message is being replaced by the next one, that is usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// There are no chunks, or fewer than the message has.
    #[error("chunks of the message are missing")]
    Incomplete,
    /// A chunk is not of the form that this module writes.
    #[error("chunk {index} is malformed")]
    Malformed {
        /// Its place among the chunks.
        index: usize,
    },
    /// A chunk belongs to another message, or stands in another place of it.
    #[error("chunk {index} belongs elsewhere")]
    Foreign {
        /// Its place among the chunks.
        index: usize,
    },
    /// The payloads together are not base 64.
    #[error("the payload is not base 64")]
    Encoding,
    /// The message is not the one that the checksum was made of.
    #[error("the checksum does not match")]
    Checksum,
}

/// The header of a chunk. The checksum stays as it was written, since it is only compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChunkHeader<'a> {
    checksum: &'a str,
    index: usize,
    count: usize,
}

impl<'a> ChunkHeader<'a> {
    /// Parses a chunk into its header and payload; `None` if it is malformed.
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

/// Bytes of a chunk of up to `limit` bytes that are left for its payload.
fn payload_bytes(limit: usize) -> usize {
    limit.saturating_sub(HEADER_BYTES).max(MIN_PAYLOAD_BYTES)
}

/// The largest message, in bytes, that fits into so many chunks of up to `limit` bytes: base 64 writes three bytes as
/// four.
pub fn capacity(limit: usize, chunks: usize) -> usize {
    payload_bytes(limit) * chunks / 4 * 3
}

/// Cuts a message into chunks of up to `limit` bytes.
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

/// Puts a message together from its chunks in order. Chunks after its last one are left over from a longer message and
/// are ignored.
pub fn join<'a>(chunks: impl Iterator<Item = &'a str>) -> Result<Vec<u8>, ChunkError> {
    let mut expected_checksum: Option<&str> = None;
    let mut text = String::new();
    for (index, chunk) in chunks.enumerate() {
        let (header, payload) = ChunkHeader::parse(chunk).ok_or(ChunkError::Malformed { index })?;
        let same_message = expected_checksum.is_none_or(|checksum| checksum == header.checksum);
        // A count that is passed already cannot be reached any more.
        if header.index != index || !same_message || header.count <= index {
            return Err(ChunkError::Foreign { index });
        }
        expected_checksum = Some(header.checksum);
        text.push_str(payload);
        if index + 1 == header.count {
            return decode(&text, header.checksum);
        }
    }
    Err(ChunkError::Incomplete)
}

/// Decodes the payloads of a whole message and checks it.
fn decode(text: &str, checksum: &str) -> Result<Vec<u8>, ChunkError> {
    let message = BASE64.decode(text).map_err(|_| ChunkError::Encoding)?;
    if checksum_text(&message) == checksum { Ok(message) } else { Err(ChunkError::Checksum) }
}

fn checksum_text(message: &[u8]) -> String {
    format!("{:016x}", checksum(message))
}

/// The 64-bit FNV-1a hash. It detects mixed and torn messages; nobody forges them in the store.
fn checksum(message: &[u8]) -> u64 {
    message.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

#[cfg(test)]
mod tests;
