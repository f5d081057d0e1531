//! A simulated state service: versioned keys, transactions, leases and a watch. Times are in milliseconds.

use std::collections::BTreeMap;

use willowshore::model::{Revision, StoreLease};
use willowshore::replica::TermRecord;
use willowshore::store_client::TxnOutcome;
use willowshore::wire::{Change, KeyValue, Txn, Value, WatchEvent, WatchResponse};

#[derive(Default)]
pub struct Store {
    /// Value, version and lease of each key.
    entries: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// All changes, oldest first.
    events: Vec<WatchEvent>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (u64, u64)>,
    revision: u64,
    last_lease: u64,
    unavailable_until: u64,
    /// Largest value in bytes of JSON, and most changes of a transaction, if they are limited. A transaction may have
    /// four times as many conditions.
    pub limits: Option<(usize, usize)>,
    /// What exceeded `limits` and was refused: the keys of values, or `a transaction`.
    pub too_large: Vec<String>,
}

impl Store {
    /// Whether no outage is in progress.
    pub fn is_up(&self, now: u64) -> bool {
        now >= self.unavailable_until
    }

    /// Begins or extends an outage. All leases run for their full time from its end.
    pub fn begin_outage(&mut self, now: u64, ms: u64) {
        self.unavailable_until = self.unavailable_until.max(now + ms);
        let until = self.unavailable_until;
        for (ttl, end) in self.leases.values_mut() {
            *end = until + *ttl;
        }
    }

    /// Deletes the expired leases and their keys. During an outage, no lease expires.
    pub fn expire_leases(&mut self, now: u64) {
        if !self.is_up(now) {
            return;
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .entries
                .iter()
                .filter(|(_, entry)| entry.2 == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.delete_key(&key);
            }
        }
    }

    fn delete_key(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let version = Revision(self.revision);
            self.events.push(WatchEvent {
                put_key: None,
                deleted_key: Some(key.into()),
                value: None,
                version,
            });
        }
    }

    /// Grants a lease with a time to live in milliseconds.
    pub fn grant(&mut self, now: u64, ttl: u64) -> StoreLease {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (ttl, now + ttl));
        StoreLease(self.last_lease)
    }

    /// Renews a lease. Returns false if the lease has ended.
    pub fn renew(&mut self, now: u64, lease: StoreLease) -> bool {
        match self.leases.get_mut(&lease.0) {
            Some(l) => {
                l.1 = now + l.0;
                true
            }
            None => false,
        }
    }

    /// Commits a transaction if its conditions hold. Returns `None` if it names a lease that has ended or exceeds
    /// the limits.
    pub fn commit(&mut self, txn: &Txn) -> Option<TxnOutcome> {
        let ended = |c: &Change| match c {
            Change::Put { lease: Some(l), .. } => !self.leases.contains_key(&l.0),
            _ => false,
        };
        if txn.changes.iter().any(ended) {
            return None;
        }
        if let Some((bytes, ops)) = self.limits {
            let size = |c: &Change| match c {
                Change::Put { value, .. } => serde_json::to_vec(value).map_or(0, |json| json.len()),
                Change::Delete { .. } => 0,
            };
            let large = txn.changes.iter().find(|c| size(c) > bytes);
            if large.is_some() || txn.changes.len() > ops || txn.conditions.len() > 4 * ops {
                let refused = large.map_or("a transaction", |c| c.key());
                self.too_large.push(refused.to_string());
                return None;
            }
        }
        let version = |key: &str| self.entries.get(key).map_or(0, |entry| entry.1);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version.0)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Some(TxnOutcome::ConditionsFailed(failed));
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let item = (value.clone(), self.revision, lease.map(|l| l.0));
                    self.entries.insert(key.clone(), item);
                    self.events.push(WatchEvent {
                        put_key: Some(key.clone()),
                        deleted_key: None,
                        value: Some(value.clone()),
                        version: Revision(self.revision),
                    });
                }
                Change::Delete { key } => self.delete_key(key),
            }
        }
        Some(TxnOutcome::Committed(Revision(self.revision)))
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    /// The term in the term record; 0 without a record.
    pub fn recorded_term(&self) -> u64 {
        let value = self.entries.get(willowshore::replica::TERM_KEY).map(|item| &item.0);
        let record: Option<TermRecord> = value.and_then(|value| value.deserialized().ok());
        record.map_or(0, |r| r.term.0)
    }

    /// Whether a key exists.
    pub fn has_key(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// The changes after a revision, as a watch returns them.
    pub fn changes_after(&self, after: Revision) -> WatchResponse {
        let first = self.events.partition_point(|event| event.version <= after);
        WatchResponse { revision: Revision(self.revision), events: self.events[first..].to_vec() }
    }

    /// All keys in order, and the current revision.
    pub fn entries(&self) -> (Vec<KeyValue>, Revision) {
        let items = self.entries.iter().map(|(key, (v, version, _))| KeyValue {
            key: key.clone(),
            value: v.clone(),
            version: Revision(*version),
        });
        (items.collect(), Revision(self.revision))
    }
}
