//! Messages between controllers through the store, cut into values of its size.
//!
//! The store takes no binary values, so a message travels as text. Each part names the
//! message that it belongs to; parts of different messages never mix.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;

/// Bytes of a text that are left for its part of the message.
fn payload_bytes(limit: usize) -> usize {
    limit.saturating_sub(64).max(64)
}

/// The largest message that fits into so many texts of up to `limit` bytes.
pub fn capacity(limit: usize, texts: usize) -> usize {
    payload_bytes(limit) * texts / 4 * 3
}

/// Cuts a message into texts of up to `limit` bytes.
pub fn split(message: &[u8], limit: usize) -> Vec<String> {
    let text = BASE64.encode(message);
    let payload_bytes = payload_bytes(limit);
    let id = checksum(message);
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(payload_bytes).collect();
    let count = pieces.len();
    pieces
        .into_iter()
        .enumerate()
        .map(|(i, p)| format!("{id:016x}:{i}:{count}:{}", String::from_utf8_lossy(p)))
        .collect()
}

/// Puts a message together from its parts in order; `None` while some belong to another one.
pub fn join<'a>(chunks: impl Iterator<Item = &'a str>) -> Option<Vec<u8>> {
    let mut id: Option<&str> = None;
    let mut text = String::new();
    let mut expected = 1;
    for (n, chunk) in chunks.enumerate() {
        if n >= expected {
            break; // Left over from a longer message.
        }
        let mut fields = chunk.splitn(4, ':');
        let (this, i, count, body) =
            (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        if i.parse::<usize>().ok()? != n || id.is_some_and(|id| id != this) {
            return None;
        }
        id = Some(this);
        expected = count.parse().ok()?;
        text.push_str(body);
        if n + 1 == expected {
            let message = BASE64.decode(&text).ok()?;
            return (format!("{:016x}", checksum(&message)) == this).then_some(message);
        }
    }
    None
}

fn checksum(message: &[u8]) -> u64 {
    message.iter().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

#[cfg(test)]
mod tests;
