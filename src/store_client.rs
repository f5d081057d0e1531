//! Client of the state service: reads, transactions, leases and watches, limited to this
//! controller's share of the rate limits.
//!
//! The client does not retry, apart from the second request of a hedged transaction. [`StoreError`]
//! tells whether a failed request may have been carried out, and callers retry it or look up its
//! keys. Retries are safe because every transaction is a compare-and-swap: the conditions of a late
//! or repeated execution fail. `docs/safety.md` relies on this.

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

/// Error of a request to the state service.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The request was certainly not carried out. Contains the HTTP status, or 0 if no connection
    /// was made.
    #[error("request not carried out (HTTP status {0}, or 0 without a connection)")]
    Refused(u16),
    /// The request may have been carried out, or may be carried out later.
    #[error("no valid response; the request may have been carried out")]
    Unknown,
    /// The lease in the request does not exist or has expired.
    #[error("the lease does not exist or has expired")]
    LeaseNotFound,
    /// The store no longer retains the requested changes.
    #[error("the store no longer retains the requested changes")]
    ChangesTooOld,
    /// The store rejected the request as malformed, or sent a response that cannot be decoded. A
    /// rejection is a defect here, unless a write exceeded the store's limits. Contains the HTTP
    /// status.
    #[error("malformed request or response (HTTP status {0})")]
    Malformed(u16),
}

/// Outcome of a transaction that the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// The transaction was committed at this revision.
    Committed(Revision),
    /// Nothing was changed, because these keys did not have the versions required by the
    /// conditions.
    ConditionsFailed(Vec<String>),
}

/// Number of items in the first page of a full read.
const FIRST_PAGE_ITEMS: usize = 64;
/// Maximum number of items in a page, a limit of the store.
const MAX_PAGE_ITEMS: usize = 1_000;
/// Target size of a page. Decoding a page takes about forty times its size in memory, and a
/// starting controller reads all pages with little memory.
const TARGET_PAGE_BYTES: usize = 64 * 1024;

/// Number of items to request in the next page. Small items are read in large pages, because
/// requests are rate-limited. Large items are read in small pages, because memory is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageSize(usize);

impl Default for PageSize {
    fn default() -> Self {
        PageSize(FIRST_PAGE_ITEMS)
    }
}

impl PageSize {
    /// Returns the size of the next page after a page with this number of items and bytes. The size
    /// at most doubles, as later items may be larger.
    pub fn after(self, items: usize, bytes: usize) -> Self {
        let fitting = TARGET_PAGE_BYTES * items.max(1) / bytes.max(1);
        PageSize(fitting.clamp(1, self.0 * 2).min(MAX_PAGE_ITEMS))
    }

    /// Number of items to request.
    pub fn items(self) -> usize {
        self.0
    }
}

/// Client of the state service.
pub struct StoreClient {
    http: Client,
    /// Client with connections of its own for waiting watches, whose responses may be large.
    watch_http: Client,
    request_bucket: RefCell<TokenBucket>,
    write_bucket: RefCell<TokenBucket>,
    /// Changes per second that all controllers together may write.
    write_rps: f64,
    /// Number of controllers.
    nodes: f64,
}

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a lease renewal. It is shorter, because the lease keeps running and renewals are
/// retried.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of a response, except to a waiting watch.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum size of a response to a waiting watch.
const MAX_WATCH_RESPONSE_BYTES: usize = 8 << 20;

/// Share of the rate limits that all controllers together use. Each controller limits itself
/// without knowledge of the others, so the rest is kept as a margin.
const RATE_SHARE: f64 = 0.85;
/// Share of the write rate that the leader uses. The other controllers share the rest.
const LEADER_WRITE_SHARE: f64 = 0.65;

/// Changes per second that the leader may write.
pub fn leader_writes_per_s(limits: &StoreLimits) -> f64 {
    limits.write_rps * RATE_SHARE * LEADER_WRITE_SHARE
}

impl StoreClient {
    /// Creates a client that uses a share of 1 / `nodes` of the rate limits.
    pub fn new(addr: SocketAddr, limits: &StoreLimits, nodes: u32) -> Self {
        let share = RATE_SHARE / f64::from(nodes.max(1));
        let now = Instant::now();
        let (rps, write_rps) = (limits.rps * share, limits.write_rps * share);
        StoreClient {
            http: Client::new(addr, MAX_RESPONSE_BYTES),
            watch_http: Client::new(addr, MAX_WATCH_RESPONSE_BYTES),
            request_bucket: RefCell::new(TokenBucket::new(rps, rps, now)),
            write_bucket: RefCell::new(TokenBucket::new(write_rps, write_rps, now)),
            write_rps: limits.write_rps * RATE_SHARE,
            nodes: f64::from(nodes.max(1)),
        }
    }

    /// Sets the write rate to the share of the leader or of another controller.
    pub fn set_leading(&self, leads: bool) {
        let others = (1.0 - LEADER_WRITE_SHARE) / (self.nodes - 1.0).max(1.0);
        let share = if leads { LEADER_WRITE_SHARE } else { others };
        self.write_bucket.borrow_mut().set_rate(self.write_rps * share);
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ClientResponse, StoreError> {
        self.wait_for_rate_limit(0).await;
        Self::map_errors(self.http.call(method, path, body, REQUEST_TIMEOUT).await)
    }

    /// Charges a request with `changes` changes to the rate limits, and returns the time to wait
    /// until they permit it.
    fn charge(&self, changes: usize) -> Duration {
        let now = Instant::now();
        let wait = self.request_bucket.borrow_mut().take(1.0, now);
        if changes == 0 {
            return wait;
        }
        wait.max(self.write_bucket.borrow_mut().take(changes as f64, now))
    }

    /// Charges a request to the rate limits and waits until they permit it.
    async fn wait_for_rate_limit(&self, changes: usize) {
        let wait = self.charge(changes);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Passes on responses that callers handle, and maps all others to errors.
    fn map_errors(answer: Result<ClientResponse, CallError>) -> Result<ClientResponse, StoreError> {
        match answer {
            Ok(answer) if matches!(answer.status, 200 | 404 | 409) => Ok(answer),
            Ok(answer) if answer.status == 410 => Err(StoreError::ChangesTooOld),
            Ok(answer) if answer.status == 400 => {
                if String::from_utf8_lossy(&answer.body).contains("no such lease") {
                    Err(StoreError::LeaseNotFound)
                } else {
                    Err(StoreError::Malformed(400))
                }
            }
            Ok(answer) => Err(StoreError::Refused(answer.status)),
            Err(CallError::Connect) => Err(StoreError::Refused(0)),
            Err(_) => Err(StoreError::Unknown),
        }
    }

    fn decode_body<T: serde::de::DeserializeOwned>(
        answer: &ClientResponse,
    ) -> Result<T, StoreError> {
        wire::decode(&answer.body).map_err(|_| StoreError::Malformed(answer.status))
    }

    /// Reads one key; `None` if the key does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let answer = self.call("GET", &format!("/keys/{key}"), &[]).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        Self::decode_body(&answer).map(Some)
    }

    /// Reads a page of the keys with a prefix, beginning after the key `after`. Also returns the
    /// size to request for the next page.
    pub async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        size: PageSize,
    ) -> Result<(KeyValuePage, PageSize), StoreError> {
        let answer = self.call("GET", &page_path(prefix, after, size), &[]).await?;
        let page: KeyValuePage = Self::decode_body(&answer)?;
        let next = size.after(page.items.len(), answer.body.len());
        Ok((page, next))
    }

    /// Executes a transaction. Callers include conditions in every transaction, so that a late or
    /// repeated execution changes nothing.
    ///
    /// # Errors
    /// After [`StoreError::Unknown`] the transaction may have been committed, or may be committed
    /// later.
    pub async fn commit(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        self.wait_for_rate_limit(txn.changes.len()).await;
        self.send(txn).await
    }

    async fn send(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let body = wire::encode(txn);
        let answer =
            Self::map_errors(self.http.call("POST", "/multi", &body, REQUEST_TIMEOUT).await)?;
        let response: TxnResponse = Self::decode_body(&answer)?;
        Ok(if answer.status == 200 {
            TxnOutcome::Committed(response.revision)
        } else {
            TxnOutcome::ConditionsFailed(response.failed)
        })
    }

    /// Like [`commit`](Self::commit), but sends the transaction again on another connection if the
    /// first response takes longer than `after`. The first successful response counts. Once the
    /// second request is sent, an error is returned only if both fail. Both carry the same
    /// conditions, so at most one is committed. [`TxnOutcome::ConditionsFailed`] may therefore mean
    /// that the other request was committed; the caller looks up the keys to find out.
    pub async fn commit_hedged(
        &self,
        txn: &Txn,
        after: Duration,
    ) -> Result<TxnOutcome, StoreError> {
        // Hedged transactions are urgent, such as writes that users wait for. They are charged
        // without waiting behind bulk requests, and later requests wait longer instead.
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

    /// Waits up to `wait` for changes after a revision.
    pub async fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        self.wait_for_rate_limit(0).await;
        let path = format!("/changes?Starts=&After={after}&WaitMs={}", wait.as_millis());
        let limit = wait + REQUEST_TIMEOUT;
        let client = if wait.is_zero() { &self.http } else { &self.watch_http };
        Self::decode_body(&Self::map_errors(client.call("GET", &path, &[], limit).await)?)
    }

    /// Requests a new lease.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<StoreLease, StoreError> {
        let body = wire::encode(&LeaseRequest { ttl_ms });
        let answer = self.call("POST", "/leases", &body).await?;
        Ok(Self::decode_body::<LeaseGrant>(&answer)?.lease)
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, lease: StoreLease) -> Result<(), StoreError> {
        // The renewal is sent without waiting for the rate limit: in a queue behind other requests
        // it would come too late.
        self.request_bucket.borrow_mut().take(1.0, Instant::now());
        let path = format!("/leases/{lease}/renew");
        let answer = Self::map_errors(self.http.call("POST", &path, &[], RENEWAL_TIMEOUT).await)?;
        if answer.status == 404 {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }
}

/// Returns the path of a page request.
fn page_path(prefix: &str, after: Option<&str>, size: PageSize) -> String {
    let after = after.map(|key| format!("&After={key}")).unwrap_or_default();
    format!("/keys?Starts={prefix}&Limit={}{after}", size.items())
}

#[cfg(test)]
mod tests;
