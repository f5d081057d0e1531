//! The command `willowshore standby status` for operators. Its exit code is 0, or 2 after an error.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use thiserror::Error;
use willowshore::http::{CallError, Client};
use willowshore::service::STATUS_PATH;
use willowshore_standby::status::Status;

use super::StartError;

/// Maximum size of the controller's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// How long the command waits for the controller's response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `standby`.
#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Show the status of a controller's warm standby.
    Status {
        /// The controller's address for the other controllers (`back` in the settings).
        #[arg(long, value_name = "IP:PORT")]
        addr: SocketAddr,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Why the status could not be fetched.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The warm standby is not enabled on the controller at this address.
    #[error("{0}: the warm standby is not enabled on this controller")]
    NotEnabled(SocketAddr),
    /// The controller responded with an unexpected status code.
    #[error("{addr}: expected HTTP status 200, got {status}")]
    UnexpectedStatus {
        /// The controller's address.
        addr: SocketAddr,
        /// The HTTP status code of the response.
        status: u16,
    },
    /// No response was received.
    #[error("{addr}: {source}")]
    NoResponse {
        /// The controller's address.
        addr: SocketAddr,
        /// Why the call failed.
        source: CallError,
    },
    /// The response is not a valid status.
    #[error("{addr}: malformed status in the response: {source}")]
    MalformedResponse {
        /// The controller's address.
        addr: SocketAddr,
        /// The decoding error.
        source: serde_json::Error,
    },
}

/// Runs the command.
pub fn run(arguments: Arguments) -> Result<ExitCode, StartError> {
    let Action::Status { addr, json } = arguments.action;
    let body = super::runtime()?.block_on(fetch(addr))?;
    let status: Status = serde_json::from_slice(&body)
        .map_err(|source| StatusError::MalformedResponse { addr, source })?;
    if json {
        println!("{}", String::from_utf8_lossy(&body));
    } else {
        status.lines().iter().for_each(|line| println!("{line}"));
    }
    Ok(ExitCode::SUCCESS)
}

/// Fetches a controller's status as JSON.
async fn fetch(addr: SocketAddr) -> Result<Vec<u8>, StatusError> {
    let response = Client::new(addr, MAX_RESPONSE_BYTES)
        .call("GET", STATUS_PATH, &[], REQUEST_TIMEOUT)
        .await
        .map_err(|source| StatusError::NoResponse { addr, source })?;
    match response.status {
        200 => Ok(response.body),
        404 => Err(StatusError::NotEnabled(addr)),
        status => Err(StatusError::UnexpectedStatus { addr, status }),
    }
}
