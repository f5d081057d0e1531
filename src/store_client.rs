//! Client of the state service: reads, transactions, leases and watches, kept within this
//! controller's part of the budgets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::config::StoreLimits;
use crate::http::{Answer, CallError, Client};
use crate::model::{Revision, StoreLease};
use crate::wire::{
    self, KeyValue, KeyValuePage, LeaseGrant, LeaseRequest, Txn, TxnResponse, WatchResponse,
};

/// Why the state service gave no answer that can be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The request was certainly not carried out.
    #[error("refused ({0})")]
    Refused(u16),
    /// The request may have been carried out, or may still be.
    #[error("no answer")]
    Unknown,
    /// The lease named in the request has ended.
    #[error("no such lease")]
    NoLease,
    /// The changes asked for are no longer kept.
    #[error("changes too old")]
    TooOld,
    /// The request is wrong, which is a defect here.
    #[error("malformed ({0})")]
    Malformed(u16),
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Committed {
    /// Carried out at this revision.
    Yes(Revision),
    /// These keys did not have the version they should have.
    No(Vec<String>),
}

/// Items in the first page of the store as it is read whole.
const FIRST_PAGE_ITEMS: usize = 64;
/// Most items of a page, as the store has it.
const MOST_PAGE_ITEMS: usize = 1_000;
/// Bytes that a page is to hold. A page takes some forty times its bytes while it is decoded, and a controller
/// that starts reads all pages with little memory.
const PAGE_BYTES: usize = 64 * 1024;

/// How many items the next page of keys of a kind is asked for. Small items are read in few requests, as requests
/// are budgeted; large items come in small pages, as memory is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageSize(usize);

impl Default for PageSize {
    fn default() -> Self {
        PageSize(FIRST_PAGE_ITEMS)
    }
}

impl PageSize {
    /// The size after a page of so many items and bytes. It at most doubles, as the items to come may be larger.
    pub fn after(self, items: usize, bytes: usize) -> Self {
        let fitting = PAGE_BYTES * items.max(1) / bytes.max(1);
        PageSize(fitting.clamp(1, self.0 * 2).min(MOST_PAGE_ITEMS))
    }

    /// Items to ask for.
    pub fn items(self) -> usize {
        self.0
    }
}

/// Most seconds of its rate that a bucket is in debt. What users wait for takes without waiting, and what
/// has to wait then, such as an election, must not wait for all of that.
const MOST_DEBT_S: f64 = 1.5;

/// A bucket of allowances that refills steadily.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket { rate, burst: burst.max(1.0), level: burst.max(1.0), at: now }
    }
    /// Refills at another rate from now on.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(0.1);
        self.burst = self.rate.max(1.0);
    }
    /// Takes `n`, going into debt if need be, and says how long to wait for that.
    pub fn take(&mut self, n: f64, now: Instant) -> Duration {
        let gone = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + gone * self.rate).min(self.burst);
        self.at = now;
        self.level = (self.level - n).max(-self.rate * MOST_DEBT_S);
        if self.level >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-self.level / self.rate)
        }
    }
}

/// The client.
pub struct StoreClient {
    http: Client,
    watch: Client,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    limit: Duration,
    write_rps: f64,
    nodes: f64,
}

/// Part of the budgets that all controllers together use, as each counts for itself.
const USED_PART: f64 = 0.85;
/// Part of the budget of changes that the leader takes; the others share what is left.
const LEADERS_PART: f64 = 0.65;

/// Changes a second that the leader may write.
pub fn leaders_writes_per_s(limits: &StoreLimits) -> f64 {
    limits.write_rps * USED_PART * LEADERS_PART
}

impl StoreClient {
    /// A client that uses one `nodes`th of the budgets.
    pub fn new(addr: SocketAddr, limits: &StoreLimits, nodes: u32) -> Self {
        let share = USED_PART / f64::from(nodes.max(1));
        let now = Instant::now();
        let (r, w) = (limits.rps * share, limits.write_rps * share);
        StoreClient {
            http: Client::new(addr, 4 << 20),
            watch: Client::new(addr, 8 << 20),
            requests: RefCell::new(TokenBucket::new(r, r, now)),
            writes: RefCell::new(TokenBucket::new(w, w, now)),
            limit: Duration::from_millis(1500),
            write_rps: limits.write_rps * USED_PART,
            nodes: f64::from(nodes.max(1)),
        }
    }

    /// Takes the leader's part of the budget of changes, or another node's.
    pub fn set_leading(&self, leads: bool) {
        let others = (1.0 - LEADERS_PART) / (self.nodes - 1.0).max(1.0);
        let part = if leads { LEADERS_PART } else { others };
        self.writes.borrow_mut().set_rate(self.write_rps * part);
    }

    async fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Answer, StoreError> {
        self.timing(0).await;
        Self::checked(self.http.call(method, path, body, self.limit).await)
    }

    /// Takes from the budgets and says how long to wait for that.
    fn charge(&self, changes: usize) -> Duration {
        let now = Instant::now();
        let wait = self.requests.borrow_mut().take(1.0, now);
        if changes == 0 {
            return wait;
        }
        wait.max(self.writes.borrow_mut().take(changes as f64, now))
    }

    async fn timing(&self, changes: usize) {
        let wait = self.charge(changes);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn checked(answer: Result<Answer, CallError>) -> Result<Answer, StoreError> {
        match answer {
            Ok(a) if matches!(a.status, 200 | 404 | 409) => Ok(a),
            Ok(a) if a.status == 410 => Err(StoreError::TooOld),
            Ok(a) if a.status == 400 => {
                if String::from_utf8_lossy(&a.body).contains("no such lease") {
                    Err(StoreError::NoLease)
                } else {
                    Err(StoreError::Malformed(400))
                }
            }
            Ok(a) => Err(StoreError::Refused(a.status)),
            Err(CallError::Connect) => Err(StoreError::Refused(0)),
            Err(_) => Err(StoreError::Unknown),
        }
    }

    fn body<T: serde::de::DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
        wire::decode(&answer.body).map_err(|_| StoreError::Malformed(answer.status))
    }

    /// Reads one key; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let answer = self.call("GET", &format!("/keys/{key}"), &[]).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        Self::body(&answer).map(Some)
    }

    /// Reads a page of the keys with a prefix, and says how large the next one is to be.
    pub async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        size: PageSize,
    ) -> Result<(KeyValuePage, PageSize), StoreError> {
        let answer = self.call("GET", &page_path(prefix, after, size), &[]).await?;
        let page: KeyValuePage = Self::body(&answer)?;
        let next = size.after(page.items.len(), answer.body.len());
        Ok((page, next))
    }

    /// Carries out a transaction. Every caller guards it, so that a late or second
    /// execution changes nothing.
    pub async fn commit(&self, txn: &Txn) -> Result<Committed, StoreError> {
        self.timing(txn.changes.len()).await;
        self.send(txn).await
    }

    async fn send(&self, txn: &Txn) -> Result<Committed, StoreError> {
        let body = wire::encode(txn);
        let answer = Self::checked(self.http.call("POST", "/multi", &body, self.limit).await)?;
        let told: TxnResponse = Self::body(&answer)?;
        Ok(if answer.status == 200 {
            Committed::Yes(told.revision)
        } else {
            Committed::No(told.failed)
        })
    }

    /// Like [`commit`](Self::commit), but asks a second time on another connection when the
    /// first answer is slow. The answer that comes first counts, unless it is a conflict
    /// while the other request is still out: that may have been this very transaction, and
    /// the caller looks the keys up to learn which.
    pub async fn commit_hedged(&self, txn: &Txn, after: Duration) -> Result<Committed, StoreError> {
        // What users wait for goes before bulk: it takes from the budgets without queueing behind
        // them, and what comes after makes up for it.
        self.charge(txn.changes.len());
        let first = self.send(txn);
        tokio::pin!(first);
        if let Ok(done) = tokio::time::timeout(after, &mut first).await {
            return done;
        }
        self.charge(txn.changes.len());
        let second = self.send(txn);
        tokio::pin!(second);
        tokio::select! {
            r = &mut first => match r { Err(_) => second.await, ok => ok },
            r = &mut second => match r { Err(_) => first.await, ok => ok },
        }
    }

    /// Waits for changes after a revision.
    pub async fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        self.timing(0).await;
        let path = format!("/changes?Starts=&After={after}&WaitMs={}", wait.as_millis());
        let limit = wait + self.limit;
        let client = if wait.is_zero() { &self.http } else { &self.watch };
        Self::body(&Self::checked(client.call("GET", &path, &[], limit).await)?)
    }

    /// Takes a new lease.
    pub async fn grant(&self, ttl_ms: u64) -> Result<StoreLease, StoreError> {
        let body = wire::encode(&LeaseRequest { ttl_ms });
        let answer = self.call("POST", "/leases", &body).await?;
        Ok(Self::body::<LeaseGrant>(&answer)?.lease)
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: StoreLease) -> Result<(), StoreError> {
        // A renewal in the queue behind others is worth less than none: it is sent at once.
        self.requests.borrow_mut().take(1.0, Instant::now());
        let path = format!("/leases/{lease}/renew");
        let limit = Duration::from_millis(900);
        let answer = Self::checked(self.http.call("POST", &path, &[], limit).await)?;
        if answer.status == 404 {
            return Err(StoreError::NoLease);
        }
        Ok(())
    }
}

/// The path that asks for a page.
fn page_path(prefix: &str, after: Option<&str>, size: PageSize) -> String {
    let after = after.map(|key| format!("&After={key}")).unwrap_or_default();
    format!("/keys?Starts={prefix}&Limit={}{after}", size.items())
}

#[cfg(test)]
mod tests;
