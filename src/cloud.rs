//! Client of the cloud's interface, limited to its rate.
//!
//! An error says whether a request may have been carried out. A scale-out request of which that is not known is
//! repeated under the same idempotency key, so that no machine is paid for twice.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::http::{CallError, Client, ClientResponse};
use crate::model::MachineId;
use crate::store_client::TokenBucket;
use crate::wire::{self, MachineListPage, MachineNames, MachineTypes, ScaleOutRequest};

/// Why the cloud gave no answer that can be used.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// None of that kind is to be had now.
    #[error("no capacity")]
    NoCapacity,
    /// The request was certainly not carried out; 0 if no connection was made, else the status.
    #[error("refused ({0})")]
    Refused(u16),
    /// The request may have been carried out, or may still be.
    #[error("no answer")]
    Unknown,
}

/// Time for a request. The cloud is slower than the store, and nobody waits for it.
const REQUEST_LIMIT: Duration = Duration::from_millis(2_500);
/// Most bytes of an answer.
const ANSWER_LIMIT: usize = 4 << 20;
/// Share of the budget that a controller uses: the rest is for the few calls of the others.
const USED_SHARE: f64 = 0.7;
/// Machines in a page of the list.
const PAGE_MACHINES: usize = 500;

/// The client.
pub struct CloudClient {
    http: Client,
    calls: RefCell<TokenBucket>,
}

impl CloudClient {
    /// A client for that address; `rps` is for all controllers together, and only the leader
    /// makes more than a few calls.
    pub fn new(addr: SocketAddr, rps: f64) -> Self {
        let used_rps = rps * USED_SHARE;
        CloudClient {
            http: Client::new(addr, ANSWER_LIMIT),
            calls: RefCell::new(TokenBucket::new(used_rps, used_rps, Instant::now())),
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<ClientResponse, CloudError> {
        let wait = self.calls.borrow_mut().take(1.0, Instant::now());
        tokio::time::sleep(wait).await;
        Self::checked(self.http.call(method, path, body, REQUEST_LIMIT).await)
    }

    fn checked(answer: Result<ClientResponse, CallError>) -> Result<ClientResponse, CloudError> {
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

    fn body<T: serde::de::DeserializeOwned>(answer: &ClientResponse) -> Result<T, CloudError> {
        wire::decode(&answer.body).map_err(|_| CloudError::Unknown)
    }

    /// Machine types with current prices.
    pub async fn catalog(&self) -> Result<MachineTypes, CloudError> {
        Self::body(&self.call("GET", "/flavors", &[]).await?)
    }

    /// Asks for machines, and gives the names of those that come.
    ///
    /// # Errors
    /// After [`CloudError::Unknown`] the same request has to be repeated under the same idempotency key.
    pub async fn scale_out(&self, request: &ScaleOutRequest) -> Result<Vec<MachineId>, CloudError> {
        let answer = self.call("POST", "/machines", &wire::encode(request)).await?;
        Ok(Self::body::<MachineNames>(&answer)?.machines)
    }

    /// Returns machines; once this is `Ok`, they and all tasks on them are terminated.
    pub async fn scale_in(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = wire::encode(&MachineNames { machines: machines.to_vec() });
        self.call("POST", "/machines/return", &body).await.map(|_| ())
    }

    /// A page of the list of machines, which lags behind by `list_lag_s` of the settings.
    pub async fn list(&self, after: Option<&MachineId>) -> Result<MachineListPage, CloudError> {
        let path = match after {
            Some(id) => format!("/machines?After={id}&Limit={PAGE_MACHINES}"),
            None => format!("/machines?Limit={PAGE_MACHINES}"),
        };
        Self::body(&self.call("GET", &path, &[]).await?)
    }
}

/// Whether a 503 is for want of machines, and not for some trouble of the cloud.
fn says_no_capacity(body: &[u8]) -> bool {
    const NO_CAPACITY: &[u8] = b"no capacity";
    body.windows(NO_CAPACITY.len()).any(|window| window == NO_CAPACITY)
}

#[cfg(test)]
mod tests;
