//! The operators' command: `willowshore standby status`. It ends with 0 or, after any error, with 2.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use thiserror::Error;
use willowshore::http::{CallError, Client};
use willowshore::service::STATUS_PATH;
use willowshore_standby::status::Status;

use super::StartError;

/// Most bytes of an answer.
const ANSWER_LIMIT: usize = 64 * 1024;
/// How long the controller has to answer.
const LIMIT: Duration = Duration::from_secs(5);

/// Arguments of `standby`.
#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Show a controller's part in the warm standby.
    Status {
        /// The controller's address for the other controllers (`back` in its settings).
        #[arg(long, value_name = "IP:PORT")]
        addr: SocketAddr,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Why there is no status to show.
#[derive(Debug, Error)]
pub enum StatusError {
    /// That controller does not have the standby enabled.
    #[error("{0}: the warm standby is not enabled there")]
    NotEnabled(SocketAddr),
    /// The controller refused.
    #[error("{addr}: status {status}")]
    Refused {
        /// The controller's address.
        addr: SocketAddr,
        /// The status that it answered.
        status: u16,
    },
    /// No answer came.
    #[error("{addr}: {source}")]
    NoAnswer {
        /// The controller's address.
        addr: SocketAddr,
        /// What became of the call.
        source: CallError,
    },
    /// The answer is no status.
    #[error("{addr}: an answer that cannot be read: {source}")]
    Unreadable {
        /// The controller's address.
        addr: SocketAddr,
        /// What the decoder says.
        source: serde_json::Error,
    },
}

/// Runs the command.
pub fn run(arguments: Arguments) -> Result<ExitCode, StartError> {
    let Action::Status { addr, json } = arguments.action;
    let body = super::runtime()?.block_on(fetch(addr))?;
    let status: Status =
        serde_json::from_slice(&body).map_err(|source| StatusError::Unreadable { addr, source })?;
    if json {
        println!("{}", String::from_utf8_lossy(&body));
    } else {
        status.lines().iter().for_each(|line| println!("{line}"));
    }
    Ok(ExitCode::SUCCESS)
}

/// Asks a controller for its status, and gives the JSON that it answers.
async fn fetch(addr: SocketAddr) -> Result<Vec<u8>, StatusError> {
    let answer = Client::new(addr, ANSWER_LIMIT)
        .call("GET", STATUS_PATH, &[], LIMIT)
        .await
        .map_err(|source| StatusError::NoAnswer { addr, source })?;
    match answer.status {
        200 => Ok(answer.body),
        404 => Err(StatusError::NotEnabled(addr)),
        status => Err(StatusError::Refused { addr, status }),
    }
}
