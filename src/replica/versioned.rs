//! Values of the state service together with the version of their key, and the errors of reading them.

use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::model::Revision;
use crate::wire::Value;

/// Why a record of the state service cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value is not of the shape that its key calls for.
    #[error("value of the wrong shape: {0}")]
    Malformed(#[from] ciborium::value::Error),
    /// The completed tasks of a job's progress are no sorted, disjoint ranges.
    #[error("ranges of completed tasks are empty, overlap or are out of order")]
    UnsoundRanges,
    /// A chunk of a message between controllers is no text.
    #[error("chunk of a peer message is not text")]
    NotText,
}

/// Reads a record from a value.
///
/// # Errors
/// [`RecordError::Malformed`] if the value has another shape.
pub(super) fn decode<T: DeserializeOwned>(value: &Value) -> Result<T, RecordError> {
    Ok(value.deserialized()?)
}

/// A record as the state service had it at a version of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// Version of the key that holds it: what a compare-and-swap on it names.
    pub version: Revision,
}

impl<T: DeserializeOwned> Versioned<T> {
    /// Reads a record that its key holds since `version`.
    ///
    /// # Errors
    /// [`RecordError::Malformed`] if the value has another shape.
    pub(super) fn decode(value: &Value, version: Revision) -> Result<Self, RecordError> {
        Ok(Versioned { value: decode(value)?, version })
    }
}

/// Whether a change at `version` is newer than what is known of its key.
pub(super) fn is_newer<T>(known: Option<&Versioned<T>>, version: Revision) -> bool {
    known.is_none_or(|known| known.version < version)
}

/// Whether a deletion at `version` concerns what is known of its key: a late one does not delete
/// what was put afterwards.
pub(super) fn is_deleted_by<T>(known: Option<&Versioned<T>>, version: Revision) -> bool {
    known.is_some_and(|known| known.version < version)
}

/// Replaces what is known of a key by a newer value. One that cannot be read replaces it all the same: what it was
/// written over holds no longer.
///
/// # Errors
/// [`RecordError::Malformed`] if a newer value has another shape.
pub(super) fn replace_if_newer<T: DeserializeOwned>(
    known: &mut Option<Versioned<T>>,
    value: &Value,
    version: Revision,
) -> Result<(), RecordError> {
    if is_newer(known.as_ref(), version) {
        *known = None;
        *known = Some(Versioned::decode(value, version)?);
    }
    Ok(())
}
