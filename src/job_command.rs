//! The command-line client for users: `willowshore job submit|show|abort`.
//!
//! Exit codes: 0 if the controller accepted the request, 1 if it refused the request or did not respond, 2 if the job
//! description cannot be read or the program cannot start.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use thiserror::Error;
use willowshore::http::{Client, ClientResponse};
use willowshore::wire::{self, JobAnswer, JobState, Value};

use super::StartError;

/// Time limit for the controller's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `job`.
#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Args)]
struct Target {
    /// A controller's public address.
    #[arg(long, value_name = "IP:PORT")]
    addr: SocketAddr,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum Action {
    /// Submit a job, described by a JSON file in the protocol's form.
    Submit {
        #[command(flatten)]
        target: Target,
        /// The job's description; `-` reads standard input.
        file: String,
    },
    /// Show a job's state.
    Show {
        #[command(flatten)]
        target: Target,
        /// The job's id, such as wk-000412.
        id: String,
    },
    /// Cancel a job.
    Abort {
        #[command(flatten)]
        target: Target,
        /// The job's id.
        id: String,
    },
}

/// Why a job description could not be read.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// The file or standard input cannot be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// Path of the file; `-` for standard input.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content is not valid JSON.
    #[error("{file} is not valid JSON: {source}")]
    NotJson {
        /// Path of the file; `-` for standard input.
        file: String,
        /// Error of the parser, with its position.
        source: serde_json::Error,
    },
}

/// Runs a job command.
pub fn run(arguments: Arguments) -> Result<ExitCode, StartError> {
    let (target, method, path, body) = match arguments.action {
        Action::Submit { target, file } => {
            (target, "POST", "/api/jobs".to_string(), read_job_spec(&file)?)
        }
        Action::Show { target, id } => (target, "GET", format!("/api/jobs/{id}"), Vec::new()),
        Action::Abort { target, id } => {
            (target, "POST", format!("/api/jobs/{id}/abort"), Vec::new())
        }
    };
    let client = Client::new(target.addr, wire::MAX_BODY_BYTES);
    let answer = super::runtime()?.block_on(client.call(method, &path, &body, RESPONSE_TIMEOUT));
    Ok(match answer {
        Ok(answer) => print_response(&target, &answer),
        Err(error) => {
            eprintln!("willowshore: {}: {error}", target.addr);
            ExitCode::FAILURE
        }
    })
}

/// Reads a job description, which is JSON with the protocol's field names, and encodes it as CBOR.
fn read_job_spec(file: &str) -> Result<Vec<u8>, JobFileError> {
    let text = if file == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|source| JobFileError::Read { file: file.to_string(), source })?;
    let value: serde_json::Value = serde_json::from_str(&text)
        .map_err(|source| JobFileError::NotJson { file: file.to_string(), source })?;
    Ok(wire::encode(&value))
}

/// Prints a response and returns the exit code. Accepted jobs go to standard output and refusals to standard error;
/// with `--json`, both go to standard output as JSON.
fn print_response(target: &Target, answer: &ClientResponse) -> ExitCode {
    let value: Option<Value> = wire::decode(&answer.body).ok();
    let accepted = matches!(answer.status, 200 | 201);
    if target.json {
        let output = serde_json::json!({
            "status": answer.status,
            "retry_after_s": answer.retry_after_s,
            "body": value,
        });
        println!("{output}");
    } else if let Some(job) = wire::decode::<JobAnswer>(&answer.body).ok().filter(|_| accepted) {
        println!("{}", format_job(&job));
    } else {
        let why = value.as_ref().and_then(error_text).unwrap_or(default_reason(answer.status));
        let retry_hint = answer
            .retry_after_s
            .map_or(String::new(), |seconds| format!(", retry after {seconds} s"));
        eprintln!("willowshore: {why} (status {}{retry_hint})", answer.status);
    }
    if accepted { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns the text of the `error` field of a response body, if there is one.
fn error_text(body: &Value) -> Option<&str> {
    let fields = body.as_map()?;
    let (_, error) = fields.iter().find(|(name, _)| name.as_text() == Some("error"))?;
    error.as_text()
}

/// Returns the message for a status whose response carries no `error` text.
fn default_reason(status: u16) -> &'static str {
    match status {
        404 => "no such job",
        422 => "the job can never run",
        400 => "malformed request",
        429 | 503 => "temporarily unavailable",
        _ => "request refused",
    }
}

/// Formats the state of a job on one line.
fn format_job(job: &JobAnswer) -> String {
    let state = match job.state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    };
    let reason = job.reason.as_ref().map_or(String::new(), |reason| format!(" ({reason})"));
    format!("{}: {state}, {} done, {} running{reason}", job.job, job.done, job.running)
}
