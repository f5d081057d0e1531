//! Rate-limited client of the cloud's API.
//!
//! [`CloudError`] tells whether a failed request may have been carried out. A scale-out request
//! with an unknown outcome is repeated with the same idempotency key, so that no machine is rented
//! twice.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::http::{CallError, Client, ClientResponse};
use crate::model::MachineId;
use crate::store_client::TokenBucket;
use crate::wire::{self, MachineListPage, MachineNames, MachineTypes, ScaleOutRequest};

/// Error of a request to the cloud.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// The cloud has no machine of the requested type now.
    #[error("the cloud has no capacity for the requested machines")]
    NoCapacity,
    /// The request was certainly not carried out. Contains the HTTP status, or 0 if no connection
    /// was made.
    #[error("request not carried out (HTTP status {0}, or 0 without a connection)")]
    Refused(u16),
    /// The request may have been carried out, or may be carried out later.
    #[error("no valid response; the request may have been carried out")]
    Unknown,
}

/// Timeout of a request. It is longer than the store client's, because the cloud is slower and no
/// user waits for its response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Share of the rate limit that one controller uses. The rest is for the few calls of the other
/// controllers.
const RATE_SHARE: f64 = 0.7;
/// Number of machines requested per page of the machine list.
const MACHINES_PER_PAGE: usize = 500;

/// Client of the cloud's API.
pub struct CloudClient {
    http: Client,
    call_bucket: RefCell<TokenBucket>,
}

impl CloudClient {
    /// Creates a client for the address. `rps` is the rate limit of all controllers together; only
    /// the leader makes more than a few calls.
    pub fn new(addr: SocketAddr, rps: f64) -> Self {
        let used_rps = rps * RATE_SHARE;
        CloudClient {
            http: Client::new(addr, MAX_RESPONSE_BYTES),
            call_bucket: RefCell::new(TokenBucket::new(used_rps, used_rps, Instant::now())),
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ClientResponse, CloudError> {
        let wait = self.call_bucket.borrow_mut().take(1.0, Instant::now());
        tokio::time::sleep(wait).await;
        Self::map_errors(self.http.call(method, path, body, REQUEST_TIMEOUT).await)
    }

    fn map_errors(answer: Result<ClientResponse, CallError>) -> Result<ClientResponse, CloudError> {
        match answer {
            Ok(answer) if answer.status == 200 => Ok(answer),
            Ok(answer) if answer.status == 503 && says_no_capacity(&answer.body) => {
                Err(CloudError::NoCapacity)
            }
            Ok(answer) => Err(CloudError::Refused(answer.status)),
            Err(CallError::Connect) => Err(CloudError::Refused(0)),
            Err(_) => Err(CloudError::Unknown),
        }
    }

    fn decode_body<T: serde::de::DeserializeOwned>(
        answer: &ClientResponse,
    ) -> Result<T, CloudError> {
        wire::decode(&answer.body).map_err(|_| CloudError::Unknown)
    }

    /// Returns the machine types with current prices.
    pub async fn catalog(&self) -> Result<MachineTypes, CloudError> {
        Self::decode_body(&self.call("GET", "/flavors", &[]).await?)
    }

    /// Requests machines, and returns the ids of the machines that the cloud provides.
    ///
    /// # Errors
    /// After [`CloudError::Unknown`] the caller has to repeat the request with the same idempotency
    /// key.
    pub async fn scale_out(&self, request: &ScaleOutRequest) -> Result<Vec<MachineId>, CloudError> {
        let answer = self.call("POST", "/machines", &wire::encode(request)).await?;
        Ok(Self::decode_body::<MachineNames>(&answer)?.machines)
    }

    /// Returns machines to the cloud. On success, the machines and all tasks on them are
    /// terminated.
    pub async fn scale_in(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = wire::encode(&MachineNames { machines: machines.to_vec() });
        self.call("POST", "/machines/return", &body).await.map(|_| ())
    }

    /// Returns a page of the machine list, beginning after the machine `after`. The list may be
    /// outdated by up to `cloud.list_lag_s` of the settings.
    pub async fn list(&self, after: Option<&MachineId>) -> Result<MachineListPage, CloudError> {
        let path = match after {
            Some(id) => format!("/machines?After={id}&Limit={MACHINES_PER_PAGE}"),
            None => format!("/machines?Limit={MACHINES_PER_PAGE}"),
        };
        Self::decode_body(&self.call("GET", &path, &[]).await?)
    }
}

/// Whether the body of a 503 response reports a lack of machines, and not a failure of the cloud.
fn says_no_capacity(body: &[u8]) -> bool {
    const NO_CAPACITY: &[u8] = b"no capacity";
    body.windows(NO_CAPACITY.len()).any(|window| window == NO_CAPACITY)
}

#[cfg(test)]
mod tests;
