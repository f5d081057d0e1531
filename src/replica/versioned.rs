//! Stored values with the version of their key, and decoding errors.

use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::model::Revision;
use crate::wire::Value;

/// Why a record of the state service cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value does not have the structure expected for its key.
    #[error("value has an unexpected structure: {0}")]
    Malformed(#[from] ciborium::value::Error),
    /// The completed tasks of a job's progress are not non-empty, sorted, disjoint ranges.
    #[error("completed task ranges are empty, overlapping or out of order")]
    InvalidRanges,
    /// A chunk of a message between controllers is not text.
    #[error("peer message chunk is not text")]
    NotText,
}

/// Decodes a record from a value.
///
/// # Errors
/// [`RecordError::Malformed`] if the value has another structure.
pub(super) fn decode<T: DeserializeOwned>(value: &Value) -> Result<T, RecordError> {
    Ok(value.deserialized()?)
}

/// Record of the state service at a version of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Decoded record.
    pub value: T,
    /// Version of the key that holds the record, for use in compare-and-swap conditions.
    pub version: Revision,
}

impl<T: DeserializeOwned> Versioned<T> {
    /// Decodes a record that its key has held since `version`.
    ///
    /// # Errors
    /// [`RecordError::Malformed`] if the value has another structure.
    pub(super) fn decode(value: &Value, version: Revision) -> Result<Self, RecordError> {
        Ok(Versioned { value: decode(value)?, version })
    }
}

/// Whether a change at `version` is newer than the known record of its key.
pub(super) fn is_newer<T>(known: Option<&Versioned<T>>, version: Revision) -> bool {
    known.is_none_or(|known| known.version < version)
}

/// Whether a deletion at `version` applies to the known record of its key. A late deletion does not
/// remove a value that was put afterwards.
pub(super) fn is_deleted_by<T>(known: Option<&Versioned<T>>, version: Revision) -> bool {
    known.is_some_and(|known| known.version < version)
}

/// Replaces the known record of a key with a newer value. A newer value that cannot be read also
/// removes the known record, which is no longer valid once overwritten.
///
/// # Errors
/// [`RecordError::Malformed`] if a newer value has another structure.
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
