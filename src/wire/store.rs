//! Messages of the state store: keys with versions, compare-and-swap transactions, watches and leases.
//!
//! The version of a key is the revision of the store at the last change of the key, so versions are comparable across
//! keys. [`replica`](crate::replica) defines the keys in use and the records stored under them.

use serde::{Deserialize, Serialize};

use super::encoding::Value;
use crate::model::{Revision, StoreLease};

/// A key of the state store, with its value and version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// The value.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of the store at the last change of the key.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A page of keys and their values.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValuePage {
    /// Keys on this page, with their values.
    pub items: Vec<KeyValue>,
    /// Whether further pages follow.
    #[serde(default)]
    pub truncated: bool,
    /// Current revision of the store.
    #[serde(rename = "Epoch")]
    pub revision: Revision,
}

/// A condition of a transaction on the version of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Condition {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Version that the key must have; 0 if the key must not exist.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A change of one key in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Creates or overwrites a key.
    #[serde(rename = "Set")]
    Put {
        /// The key.
        #[serde(rename = "Set")]
        key: String,
        /// The value.
        #[serde(rename = "V")]
        value: Value,
        /// Lease of the store with which the key expires, if any.
        #[serde(rename = "Tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<StoreLease>,
    },
    /// Deletes a key.
    #[serde(rename = "Drop")]
    Delete {
        /// The key.
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Change {
    /// Returns the changed key.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A compare-and-swap transaction: the changes are applied if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Txn {
    /// Conditions, all of which must hold.
    #[serde(rename = "Guards")]
    pub conditions: Vec<Condition>,
    /// Changes to apply.
    #[serde(rename = "Apply")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Removes the changes of these keys and the conditions on them.
    pub fn remove_changes(&mut self, keys: &[String]) {
        self.conditions.retain(|condition| !keys.contains(&condition.key));
        self.changes.retain(|change| !keys.iter().any(|key| key == change.key()));
    }
}

/// The response to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Current revision of the store.
    #[serde(rename = "Epoch", default)]
    pub revision: Revision,
    /// Keys whose conditions failed; empty if the transaction was committed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// One change returned by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchEvent {
    /// Key that was created or overwritten, if the change is a put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Set")]
    pub put_key: Option<String>,
    /// Key that was deleted, if the change is a deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Drop")]
    pub deleted_key: Option<String>,
    /// New value, if the change is a put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "V")]
    pub value: Option<Value>,
    /// Revision of the store at the change.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// The response to a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchResponse {
    /// Current revision of the store.
    #[serde(rename = "Epoch")]
    pub revision: Revision,
    /// Changes since the requested revision.
    #[serde(default)]
    #[serde(rename = "News")]
    pub events: Vec<WatchEvent>,
}

/// A request for a lease of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseRequest {
    /// Time in milliseconds after which the lease expires unless it is renewed.
    pub ttl_ms: u64,
}

/// The response to a request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseGrant {
    /// The granted lease.
    #[serde(rename = "Tenancy")]
    pub lease: StoreLease,
}
