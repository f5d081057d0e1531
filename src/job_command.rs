//! The client for users: `willowshore job submit|show|abort`.
//!
//! Exit codes: 0 if the controller accepted the request, 1 if it refused it or gave no answer, 2 if the job's
//! description cannot be read or the program cannot start.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use thiserror::Error;
use willowshore::http::{Answer, Client};
use willowshore::wire::{self, JobAnswer, JobState, Value};

use super::StartError;

/// How long the controller has to answer.
const LIMIT: Duration = Duration::from_secs(5);

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

/// Why a job's description cannot be sent.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// The file, or standard input, cannot be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// The file as it was named.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is not JSON.
    #[error("{file} is not JSON: {source}")]
    NotJson {
        /// The file as it was named.
        file: String,
        /// Where and why.
        source: serde_json::Error,
    },
}

/// Runs the client.
pub fn run(arguments: Arguments) -> Result<ExitCode, StartError> {
    let (target, method, path, body) = match arguments.action {
        Action::Submit { target, file } => {
            (target, "POST", "/api/jobs".to_string(), read_job(&file)?)
        }
        Action::Show { target, id } => (target, "GET", format!("/api/jobs/{id}"), Vec::new()),
        Action::Abort { target, id } => {
            (target, "POST", format!("/api/jobs/{id}/abort"), Vec::new())
        }
    };
    let client = Client::new(target.addr, wire::BODY_LIMIT);
    let answer = super::runtime()?.block_on(client.call(method, &path, &body, LIMIT));
    Ok(match answer {
        Ok(answer) => print(&target, &answer),
        Err(error) => {
            eprintln!("willowshore: {}: {error}", target.addr);
            ExitCode::FAILURE
        }
    })
}

/// Reads a job's description, JSON in the protocol's form, and gives it as CBOR.
fn read_job(file: &str) -> Result<Vec<u8>, JobFileError> {
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

/// Prints an answer: accepted jobs to standard output, refusals to standard error, and all as JSON to standard
/// output if that was asked for.
fn print(target: &Target, answer: &Answer) -> ExitCode {
    let value: Option<Value> = wire::decode(&answer.body).ok();
    let accepted = matches!(answer.status, 200 | 201);
    if target.json {
        let shown = serde_json::json!({
            "status": answer.status,
            "retry_after_s": answer.retry_after,
            "body": value,
        });
        println!("{shown}");
    } else if let Some(job) = wire::decode::<JobAnswer>(&answer.body).ok().filter(|_| accepted) {
        println!("{}", line(&job));
    } else {
        let why = value.as_ref().and_then(error_text).unwrap_or(usual_reason(answer.status));
        let again = answer
            .retry_after
            .map_or(String::new(), |seconds| format!(", come back in {seconds} s"));
        eprintln!("willowshore: {why} (status {}{again})", answer.status);
    }
    if accepted { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The text of the `error` field, if an answer has one.
fn error_text(body: &Value) -> Option<&str> {
    let fields = body.as_map()?;
    let (_, error) = fields.iter().find(|(name, _)| name.as_text() == Some("error"))?;
    error.as_text()
}

/// What a status says where the answer has no text.
fn usual_reason(status: u16) -> &'static str {
    match status {
        404 => "no such job",
        422 => "can never run",
        400 => "malformed",
        429 | 503 => "not now",
        _ => "refused",
    }
}

/// A job as one line.
fn line(job: &JobAnswer) -> String {
    let state = match job.state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    };
    let reason = job.reason.as_ref().map_or(String::new(), |reason| format!(" ({reason})"));
    format!("{}: {state}, {} done, {} running{reason}", job.job, job.done, job.running)
}
