//! Client of the cloud's interface, kept within its rate.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::http::{Answer, CallError, Client};
use crate::model::MachineId;
use crate::store_client::TokenBucket;
use crate::wire::{self, MachineListPage, MachineNames, MachineTypes, ScaleOutRequest};

/// Why the cloud gave no answer that can be used.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// None of that kind is to be had now.
    #[error("no capacity")]
    NoCapacity,
    /// The request was certainly not carried out.
    #[error("refused ({0})")]
    Refused(u16),
    /// The request may have been carried out, or may still be.
    #[error("no answer")]
    Unknown,
}

/// The client.
pub struct CloudClient {
    http: Client,
    calls: RefCell<TokenBucket>,
}

const LIMIT: Duration = Duration::from_millis(2_500);

impl CloudClient {
    /// A client for that address; `rps` is for all controllers together, and only the leader
    /// makes more than a few calls.
    pub fn new(addr: SocketAddr, rps: f64) -> Self {
        CloudClient {
            http: Client::new(addr, 4 << 20),
            calls: RefCell::new(TokenBucket::new(rps * 0.7, rps * 0.7, Instant::now())),
        }
    }

    async fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Answer, CloudError> {
        let wait = self.calls.borrow_mut().take(1.0, Instant::now());
        tokio::time::sleep(wait).await;
        Self::checked(self.http.call(method, path, body, LIMIT).await)
    }

    fn checked(answer: Result<Answer, CallError>) -> Result<Answer, CloudError> {
        match answer {
            Ok(a) if a.status == 200 => Ok(a),
            Ok(a) if a.status == 503 && a.body.windows(11).any(|w| w == b"no capacity") => {
                Err(CloudError::NoCapacity)
            }
            Ok(a) => Err(CloudError::Refused(a.status)),
            Err(CallError::Connect) => Err(CloudError::Refused(0)),
            Err(_) => Err(CloudError::Unknown),
        }
    }

    fn body<T: serde::de::DeserializeOwned>(answer: &Answer) -> Result<T, CloudError> {
        wire::decode(&answer.body).map_err(|_| CloudError::Unknown)
    }

    /// Machine types with current prices.
    pub async fn catalog(&self) -> Result<MachineTypes, CloudError> {
        Self::body(&self.call("GET", "/flavors", &[]).await?)
    }

    /// Rents machines. After anything but a definite answer the same request has to be
    /// repeated under the same name.
    pub async fn rent(&self, rental: &ScaleOutRequest) -> Result<Vec<MachineId>, CloudError> {
        let answer = self.call("POST", "/machines", &wire::encode(rental)).await?;
        Ok(Self::body::<MachineNames>(&answer)?.machines)
    }

    /// Returns machines; once this is `Ok`, they and all on them are gone.
    pub async fn return_machines(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = wire::encode(&MachineNames { machines: machines.to_vec() });
        self.call("POST", "/machines/return", &body).await.map(|_| ())
    }

    /// A page of the list of machines, which is old.
    pub async fn list(&self, after: Option<&MachineId>) -> Result<MachineListPage, CloudError> {
        let path = match after {
            Some(id) => format!("/machines?After={id}&Limit=500"),
            None => "/machines?Limit=500".to_string(),
        };
        Self::body(&self.call("GET", &path, &[]).await?)
    }
}

#[cfg(test)]
mod tests;
