//! CBOR encoding and decoding of messages and decimal amounts, and the size of a value against the store's limit.

use std::fmt;

use serde::de::{self, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum size of a request body, and of a response to workers and users, as the protocol defines it.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why a body or a stored value could not be decoded. Users are shown the text in 400 responses.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are not valid CBOR, are truncated, or are nested deeper than `MAX_NESTING`.
    #[error("not CBOR")]
    NotCbor,
    /// Further bytes follow the message.
    #[error("more than one message in the body")]
    TrailingData,
    /// A field is missing or has the wrong type. Holds the decoder's message, which names the field.
    #[error("{0}")]
    InvalidStructure(String),
    /// The value of a field is out of range. Holds the protocol's name of the field.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

/// Maximum nesting depth of a message. Deeper nesting could exhaust the stack.
const MAX_NESTING: usize = 32;
/// Initial capacity of the buffer for an encoded message. Most messages are smaller.
const INITIAL_ENCODE_CAPACITY: usize = 256;

/// Encodes a message as CBOR.
///
/// Encoding cannot fail: writing to memory does not fail, and messages consist of maps, lists, numbers and strings,
/// all of which CBOR can represent. A message type that violates this fails the debug assertion in tests. A release
/// build would send an empty body, which every receiver rejects as invalid CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(INITIAL_ENCODE_CAPACITY);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        debug_assert!(false, "message cannot be encoded as CBOR: {error}");
        bytes.clear();
    }
    bytes
}

/// Decodes one CBOR message.
///
/// # Errors
/// Returns an error if the bytes are not valid CBOR, do not match the message type, or continue after the message.
pub fn decode<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut rest = body;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING).map_err(
        |error| match error {
            ciborium::de::Error::Semantic(_, why) => DecodeError::InvalidStructure(why),
            _ => DecodeError::NotCbor,
        },
    )?;
    if rest.is_empty() { Ok(message) } else { Err(DecodeError::TrailingData) }
}

/// Deserializes a finite decimal, which may be encoded as an integer.
pub(super) fn amount<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    struct AmountVisitor;
    impl Visitor<'_> for AmountVisitor {
        type Value = f64;
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("an amount")
        }
        fn visit_f64<E: de::Error>(self, value: f64) -> Result<f64, E> {
            if value.is_finite() { Ok(value) } else { Err(E::custom("an amount must be finite")) }
        }
        fn visit_u64<E: de::Error>(self, value: u64) -> Result<f64, E> {
            Ok(value as f64)
        }
        fn visit_i64<E: de::Error>(self, value: i64) -> Result<f64, E> {
            Ok(value as f64)
        }
    }
    d.deserialize_any(AmountVisitor)
}

/// Deserializes a finite decimal as [`amount`] does, or null as `None`.
pub(super) fn amount_or_null<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Wrapped(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Wrapped>::deserialize(d)?.map(|wrapped| wrapped.0))
}

/// A value in the state store, decoded from CBOR.
pub type Value = ciborium::Value;

/// Whether a body is exactly one well-formed CBOR map, regardless of its content.
pub fn is_map(body: &[u8]) -> bool {
    struct MapVisitor;
    impl<'de> Visitor<'de> for MapVisitor {
        type Value = bool;
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a map")
        }
        fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<bool, A::Error> {
            while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            Ok(true)
        }
        fn visit_seq<A: SeqAccess<'de>>(self, _: A) -> Result<bool, A::Error> {
            Ok(false)
        }
    }
    struct Probe;
    impl<'de> Deserialize<'de> for Probe {
        fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
            d.deserialize_any(MapVisitor)
                .and_then(|m| m.then_some(Probe).ok_or_else(|| de::Error::custom("not a map")))
        }
    }
    decode::<Probe>(body).is_ok()
}

/// A writer that counts the bytes written to it and discards them.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the size of a message as a value in the state store, in bytes. The protocol defines the size by the JSON
/// form in which its documentation shows messages, while values are sent as CBOR. The larger of both sizes is used.
///
/// A message that cannot be encoded counts as larger than any limit, so that it is never written.
pub fn stored_bytes<T: Serialize>(message: &T) -> usize {
    let mut json = ByteCounter(0);
    if serde_json::to_writer(&mut json, message).is_err() {
        return usize::MAX;
    }
    let mut cbor = ByteCounter(0);
    // CBOR can represent every message that JSON can.
    let _ = ciborium::into_writer(message, &mut cbor);
    json.0.max(cbor.0)
}

/// Converts a record to a value of the state store.
///
/// The conversion cannot fail, for the reason given at [`encode`]. A release build that violated this would write
/// null, which every reader of records rejects.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    match Value::serialized(record) {
        Ok(value) => value,
        Err(error) => {
            debug_assert!(false, "record cannot be encoded as CBOR: {error}");
            Value::Null
        }
    }
}
