//! A stand-in for the state service.

use std::collections::BTreeMap;

use willowshore::model::{Revision, StoreLease};
use willowshore::replica::TermRecord;
use willowshore::store_client::TxnOutcome;
use willowshore::wire::{Change, KeyValue, Txn, Value, WatchEvent, WatchResponse};

#[derive(Default)]
pub struct Store {
    items: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<WatchEvent>,
    leases: BTreeMap<u64, (u64, u64)>, // ttl, end
    revision: u64,
    next_lease: u64,
    down_until: u64,
    /// Most bytes of a value and changes of a transaction, if they are limited.
    pub limits: Option<(usize, usize)>,
    /// What was refused for its size.
    pub too_large: Vec<String>,
}

impl Store {
    pub fn up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    /// An outage gives all leases their full time again.
    pub fn outage(&mut self, now: u64, ms: u64) {
        self.down_until = self.down_until.max(now + ms);
        let until = self.down_until;
        for (ttl, end) in self.leases.values_mut() {
            *end = until + *ttl;
        }
    }

    pub fn tick(&mut self, now: u64) {
        if !self.up(now) {
            return;
        }
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, i)| i.2 == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.drop_key(&key);
            }
        }
    }

    fn drop_key(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let version = Revision(self.revision);
            self.log.push(WatchEvent {
                put_key: None,
                deleted_key: Some(key.into()),
                value: None,
                version,
            });
        }
    }

    pub fn grant(&mut self, now: u64, ttl: u64) -> StoreLease {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (ttl, now + ttl));
        StoreLease(self.next_lease)
    }

    pub fn renew(&mut self, now: u64, lease: StoreLease) -> bool {
        match self.leases.get_mut(&lease.0) {
            Some(l) => {
                l.1 = now + l.0;
                true
            }
            None => false,
        }
    }

    /// `None` for a lease that has ended.
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
                let what = large.map_or("a transaction", |c| c.key());
                self.too_large.push(what.to_string());
                return None;
            }
        }
        let version = |key: &str| self.items.get(key).map_or(0, |i| i.1);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|g| version(&g.key) != g.version.0)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Some(TxnOutcome::ConditionsFailed(failed));
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let item = (value.clone(), self.revision, lease.map(|l| l.0));
                    self.items.insert(key.clone(), item);
                    self.log.push(WatchEvent {
                        put_key: Some(key.clone()),
                        deleted_key: None,
                        value: Some(value.clone()),
                        version: Revision(self.revision),
                    });
                }
                Change::Delete { key } => self.drop_key(key),
            }
        }
        Some(TxnOutcome::Committed(Revision(self.revision)))
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// The term on record.
    pub fn term(&self) -> u64 {
        let value = self.items.get(willowshore::replica::TERM_KEY).map(|item| &item.0);
        let record: Option<TermRecord> = value.and_then(|value| value.deserialized().ok());
        record.map_or(0, |r| r.term.0)
    }

    pub fn has(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    pub fn changes(&self, after: Revision) -> WatchResponse {
        let first = self.log.partition_point(|n| n.version <= after);
        WatchResponse { revision: Revision(self.revision), events: self.log[first..].to_vec() }
    }

    pub fn all(&self) -> (Vec<KeyValue>, Revision) {
        let items = self.items.iter().map(|(key, (v, version, _))| KeyValue {
            key: key.clone(),
            value: v.clone(),
            version: Revision(*version),
        });
        (items.collect(), Revision(self.revision))
    }
}
