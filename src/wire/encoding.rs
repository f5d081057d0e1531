//! CBOR encoding and decoding of messages, decimal amounts, and the size that a value counts with.

use std::fmt;

use serde::de::{self, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most bytes of a request's body, and of a response to workers and users, as the protocol has it.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why a body or a stored value is not the message it should be. The text is what a user reads in a 400 answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are not CBOR, end too early, or are nested too deeply.
    #[error("not CBOR")]
    NotCbor,
    /// Bytes follow the message.
    #[error("more than one message in the body")]
    TrailingData,
    /// A field is missing or of the wrong type; says which, in the decoder's words.
    #[error("{0}")]
    WrongShape(String),
    /// This field, by its name in the protocol, has a value out of its range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

/// Deepest nesting of a message; what is nested more deeply could exhaust the stack.
const MAX_NESTING: usize = 32;
/// Room that a new message gets at once; most are smaller.
const ENCODE_CAPACITY: usize = 256;

/// Encodes a message as CBOR.
///
/// This cannot fail: writing to memory does not, and each of our messages is made of maps, lists, numbers and
/// texts, all of which CBOR expresses. A type that broke this would fail the debug assertion in the tests; a
/// release build would send an empty body, which every reader refuses as not being CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(ENCODE_CAPACITY);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        debug_assert!(false, "a message that CBOR cannot express: {error}");
        bytes.clear();
    }
    bytes
}

/// Decodes one CBOR message.
///
/// # Errors
/// Says whether the bytes are not CBOR, have the wrong shape, or go on after the message.
pub fn decode<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut rest = body;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING).map_err(
        |error| match error {
            ciborium::de::Error::Semantic(_, why) => DecodeError::WrongShape(why),
            _ => DecodeError::NotCbor,
        },
    )?;
    if rest.is_empty() { Ok(message) } else { Err(DecodeError::TrailingData) }
}

/// Reads an amount, which may come as an integer where a decimal is meant.
pub(super) fn amount<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    struct Amount;
    impl Visitor<'_> for Amount {
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
    d.deserialize_any(Amount)
}

/// Reads an amount, or null for none.
pub(super) fn amount_or_null<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Wrapped(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Wrapped>::deserialize(d)?.map(|wrapped| wrapped.0))
}

/// A value in the state store.
pub type Value = ciborium::Value;

/// Whether a body is one well-formed CBOR map, whatever is in it.
pub fn is_map(body: &[u8]) -> bool {
    struct AnyMap;
    impl<'de> Visitor<'de> for AnyMap {
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
            d.deserialize_any(AnyMap)
                .and_then(|m| m.then_some(Probe).ok_or_else(|| de::Error::custom("not a map")))
        }
    }
    decode::<Probe>(body).is_ok()
}

/// Counts the bytes that are written to it.
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

/// Bytes that a message takes as a value of the state store. The protocol counts the form in
/// which its page shows messages, JSON; what travels is CBOR, so neither may be larger.
///
/// What cannot be expressed counts as larger than any limit, so that it is never written.
pub fn stored_bytes<T: Serialize>(message: &T) -> usize {
    let mut json = ByteCounter(0);
    if serde_json::to_writer(&mut json, message).is_err() {
        return usize::MAX;
    }
    let mut cbor = ByteCounter(0);
    // A message that JSON expresses is expressed by CBOR too.
    let _ = ciborium::into_writer(message, &mut cbor);
    json.0.max(cbor.0)
}

/// Turns a record into a value of the state store.
///
/// This cannot fail, for the reason given at [`encode`]. A release build that broke it would write null, which
/// every reader of records refuses.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    match Value::serialized(record) {
        Ok(value) => value,
        Err(error) => {
            debug_assert!(false, "a record that CBOR cannot express: {error}");
            Value::Null
        }
    }
}
