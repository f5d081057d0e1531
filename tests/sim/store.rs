//! A stand-in for the state service.

use std::collections::BTreeMap;

use willowshore::model::{Revision, StoreLease};
use willowshore::replica::TermRecord;
use willowshore::store_client::Committed;
use willowshore::wire::{Change, Changes, Item, News, Txn, Value};

#[derive(Default)]
pub struct Store {
    items: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<News>,
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
            let stamp = Revision(self.revision);
            self.log.push(News { set: None, drop: Some(key.into()), v: None, stamp });
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
    pub fn commit(&mut self, txn: &Txn) -> Option<Committed> {
        let ended = |c: &Change| match c {
            Change::Set { lease: Some(l), .. } => !self.leases.contains_key(&l.0),
            _ => false,
        };
        if txn.apply.iter().any(ended) {
            return None;
        }
        if let Some((bytes, ops)) = self.limits {
            let size = |c: &Change| match c {
                Change::Set { value, .. } => serde_json::to_vec(value).map_or(0, |json| json.len()),
                Change::Drop { .. } => 0,
            };
            let large = txn.apply.iter().find(|c| size(c) > bytes);
            if large.is_some() || txn.apply.len() > ops || txn.guards.len() > 4 * ops {
                let what = large.map_or("a transaction", |c| c.path());
                self.too_large.push(what.to_string());
                return None;
            }
        }
        let stamp = |key: &str| self.items.get(key).map_or(0, |i| i.1);
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| stamp(&g.path) != g.stamp.0)
            .map(|g| g.path.clone())
            .collect();
        if !failed.is_empty() {
            return Some(Committed::No(failed));
        }
        self.revision += 1;
        for change in &txn.apply {
            match change {
                Change::Set { path, value, lease } => {
                    let item = (value.clone(), self.revision, lease.map(|l| l.0));
                    self.items.insert(path.clone(), item);
                    self.log.push(News {
                        set: Some(path.clone()),
                        drop: None,
                        v: Some(value.clone()),
                        stamp: Revision(self.revision),
                    });
                }
                Change::Drop { path } => self.drop_key(path),
            }
        }
        Some(Committed::Yes(Revision(self.revision)))
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// The term on record.
    pub fn term(&self) -> u64 {
        let value = self.items.get(willowshore::replica::TERM_KEY).map(|item| &item.0);
        let record: Option<TermRecord> = value.and_then(willowshore::wire::from_value);
        record.map_or(0, |r| r.term.0)
    }

    pub fn has(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    pub fn changes(&self, after: Revision) -> Changes {
        let first = self.log.partition_point(|n| n.stamp <= after);
        Changes { epoch: Revision(self.revision), news: self.log[first..].to_vec() }
    }

    pub fn all(&self) -> (Vec<Item>, Revision) {
        let items = self.items.iter().map(|(path, (v, stamp, _))| Item {
            path: path.clone(),
            v: v.clone(),
            stamp: Revision(*stamp),
        });
        (items.collect(), Revision(self.revision))
    }
}
