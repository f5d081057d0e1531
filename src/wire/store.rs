//! Messages of the state store: keys with versions, compare-and-swap transactions, watches and leases.
//!
//! A key's version is the store's revision at its last change, so versions grow over all keys. The keys and
//! the records in them are those of [`replica`](crate::replica).

use serde::{Deserialize, Serialize};

use super::encoding::Value;
use crate::model::{Revision, StoreLease};

/// A key of the state store with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Value.
    #[serde(rename = "V")]
    pub value: Value,
    /// The store's revision at its last change.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A page of items.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValuePage {
    /// The items.
    pub items: Vec<KeyValue>,
    /// Whether there are more.
    #[serde(default)]
    pub truncated: bool,
    /// The store's revision.
    #[serde(rename = "Epoch")]
    pub revision: Revision,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Condition {
    /// Key.
    #[serde(rename = "Path")]
    pub key: String,
    /// The version it must have; 0: it must not exist.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A change in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Puts a value.
    #[serde(rename = "Set")]
    Put {
        /// Key.
        #[serde(rename = "Set")]
        key: String,
        /// Value.
        #[serde(rename = "V")]
        value: Value,
        /// The store lease with which the key expires.
        #[serde(rename = "Tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<StoreLease>,
    },
    /// Deletes a key.
    #[serde(rename = "Drop")]
    Delete {
        /// Key.
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Change {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "Guards")]
    pub conditions: Vec<Condition>,
    /// Changes.
    #[serde(rename = "Apply")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Leaves out the changes of these keys, with their conditions.
    pub fn leave_out(&mut self, keys: &[String]) {
        self.conditions.retain(|condition| !keys.contains(&condition.key));
        self.changes.retain(|change| !keys.iter().any(|key| key == change.key()));
    }
}

/// The answer to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The store's revision.
    #[serde(rename = "Epoch", default)]
    pub revision: Revision,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// One change in a watch's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchEvent {
    /// The key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Set")]
    pub put_key: Option<String>,
    /// The key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Drop")]
    pub deleted_key: Option<String>,
    /// The value put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "V")]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A watch's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchResponse {
    /// The store's revision.
    #[serde(rename = "Epoch")]
    pub revision: Revision,
    /// The changes.
    #[serde(default)]
    #[serde(rename = "News")]
    pub events: Vec<WatchEvent>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseRequest {
    /// Milliseconds until it expires unless renewed.
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseGrant {
    /// The lease.
    #[serde(rename = "Tenancy")]
    pub lease: StoreLease,
}
