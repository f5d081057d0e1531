//! Client of the state store: reads, transactions, leases and watches, kept within this
//! controller's share of the budgets.
//!
//! Retries: the client repeats nothing by itself but for the second request of a hedged transaction. An error
//! says whether the request may have been carried out ([`StoreError`]), and callers repeat it or look the
//! keys up. That is safe as each transaction is a compare-and-swap: a late or second execution fails on its
//! conditions. `docs/safety.md` rests on that.

mod token_bucket;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::config::StoreLimits;
use crate::http::{CallError, Client, ClientResponse};
use crate::model::{Revision, StoreLease};
use crate::wire::{
    self, KeyValue, KeyValuePage, LeaseGrant, LeaseRequest, Txn, TxnResponse, WatchResponse,
};

pub use token_bucket::TokenBucket;

/// Why the state store gave no answer that can be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The request was certainly not carried out; 0 if no connection was made, else the status.
    #[error("refused ({0})")]
    Refused(u16),
    /// The request may have been carried out, or may still be.
    #[error("no answer")]
    Unknown,
    /// The lease named in the request has ended.
    #[error("no such lease")]
    NoLease,
    /// The store no longer retains the changes asked for.
    #[error("changes too old")]
    TooOld,
    /// The request is wrong, which is a defect here.
    #[error("malformed ({0})")]
    Malformed(u16),
}

/// Outcome of a transaction that the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// It was carried out at this revision.
    Committed(Revision),
    /// Nothing was carried out, as these keys did not have the version that their conditions name.
    ConditionsFailed(Vec<String>),
}

/// Items in the first page of the store as it is read whole.
const FIRST_PAGE_ITEMS: usize = 64;
/// Most items of a page, as the store has it.
const MAX_PAGE_ITEMS: usize = 1_000;
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
        PageSize(fitting.clamp(1, self.0 * 2).min(MAX_PAGE_ITEMS))
    }

    /// Items to ask for.
    pub fn items(self) -> usize {
        self.0
    }
}

/// The client.
pub struct StoreClient {
    http: Client,
    /// Of its own for watches that wait, whose answers may be large.
    watch: Client,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    /// Changes a second that all controllers together use.
    write_rps: f64,
    /// Number of controllers.
    nodes: f64,
}

/// Time for a request.
const REQUEST_LIMIT: Duration = Duration::from_millis(1500);
/// Time for the renewal of a lease; shorter, as the lease runs and renewals are repeated.
const RENEW_LIMIT: Duration = Duration::from_millis(900);
/// Most bytes of an answer but to a watch that waits.
const ANSWER_LIMIT: usize = 4 << 20;
/// Most bytes of an answer to a watch that waits.
const WATCH_ANSWER_LIMIT: usize = 8 << 20;

/// Share of the budgets that all controllers together use: each counts for itself, so some is left unused.
const USED_SHARE: f64 = 0.85;
/// Share of the budget of changes that the leader takes; the others share the rest.
const LEADER_SHARE: f64 = 0.65;

/// Changes a second that the leader may write.
pub fn leaders_writes_per_s(limits: &StoreLimits) -> f64 {
    limits.write_rps * USED_SHARE * LEADER_SHARE
}

impl StoreClient {
    /// A client that uses one `nodes`th of the budgets.
    pub fn new(addr: SocketAddr, limits: &StoreLimits, nodes: u32) -> Self {
        let share = USED_SHARE / f64::from(nodes.max(1));
        let now = Instant::now();
        let (rps, write_rps) = (limits.rps * share, limits.write_rps * share);
        StoreClient {
            http: Client::new(addr, ANSWER_LIMIT),
            watch: Client::new(addr, WATCH_ANSWER_LIMIT),
            requests: RefCell::new(TokenBucket::new(rps, rps, now)),
            writes: RefCell::new(TokenBucket::new(write_rps, write_rps, now)),
            write_rps: limits.write_rps * USED_SHARE,
            nodes: f64::from(nodes.max(1)),
        }
    }

    /// Uses the leader's share of the budget of changes from now on, or another controller's.
    pub fn set_leading(&self, leads: bool) {
        let others = (1.0 - LEADER_SHARE) / (self.nodes - 1.0).max(1.0);
        let share = if leads { LEADER_SHARE } else { others };
        self.writes.borrow_mut().set_rate(self.write_rps * share);
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ClientResponse, StoreError> {
        self.wait_for_budget(0).await;
        Self::checked(self.http.call(method, path, body, REQUEST_LIMIT).await)
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

    /// Takes from the budgets, and waits until they allow that.
    async fn wait_for_budget(&self, changes: usize) {
        let wait = self.charge(changes);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Sorts answers into those that callers read and errors by what they say about the request.
    fn checked(answer: Result<ClientResponse, CallError>) -> Result<ClientResponse, StoreError> {
        match answer {
            Ok(answer) if matches!(answer.status, 200 | 404 | 409) => Ok(answer),
            Ok(answer) if answer.status == 410 => Err(StoreError::TooOld),
            Ok(answer) if answer.status == 400 => {
                if String::from_utf8_lossy(&answer.body).contains("no such lease") {
                    Err(StoreError::NoLease)
                } else {
                    Err(StoreError::Malformed(400))
                }
            }
            Ok(answer) => Err(StoreError::Refused(answer.status)),
            Err(CallError::Connect) => Err(StoreError::Refused(0)),
            Err(_) => Err(StoreError::Unknown),
        }
    }

    fn body<T: serde::de::DeserializeOwned>(answer: &ClientResponse) -> Result<T, StoreError> {
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

    /// Carries out a transaction. Every caller gives it conditions, so that a late or second
    /// execution changes nothing.
    ///
    /// # Errors
    /// After [`StoreError::Unknown`] it may have been carried out, or may be later.
    pub async fn commit(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        self.wait_for_budget(txn.changes.len()).await;
        self.send(txn).await
    }

    async fn send(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let body = wire::encode(txn);
        let answer = Self::checked(self.http.call("POST", "/multi", &body, REQUEST_LIMIT).await)?;
        let response: TxnResponse = Self::body(&answer)?;
        Ok(if answer.status == 200 {
            TxnOutcome::Committed(response.revision)
        } else {
            TxnOutcome::ConditionsFailed(response.failed)
        })
    }

    /// Like [`commit`](Self::commit), but asks a second time on another connection when the
    /// first answer takes longer than `after`. The answer that comes first counts, an error only
    /// if the other request brings one too. As both carry the same conditions, at most one is carried
    /// out. [`TxnOutcome::ConditionsFailed`] may then mean that the other one was: the caller looks the
    /// keys up to know which.
    pub async fn commit_hedged(
        &self,
        txn: &Txn,
        after: Duration,
    ) -> Result<TxnOutcome, StoreError> {
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
            outcome = &mut first => match outcome { Err(_) => second.await, answered => answered },
            outcome = &mut second => match outcome { Err(_) => first.await, answered => answered },
        }
    }

    /// Waits for changes after a revision.
    pub async fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        self.wait_for_budget(0).await;
        let path = format!("/changes?Starts=&After={after}&WaitMs={}", wait.as_millis());
        let limit = wait + REQUEST_LIMIT;
        let client = if wait.is_zero() { &self.http } else { &self.watch };
        Self::body(&Self::checked(client.call("GET", &path, &[], limit).await)?)
    }

    /// Asks for a new lease.
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
        let answer = Self::checked(self.http.call("POST", &path, &[], RENEW_LIMIT).await)?;
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
