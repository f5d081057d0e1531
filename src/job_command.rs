//! The client for users: `willowshore job submit|show|abort`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use willowshore::http::Client;
use willowshore::wire::{self, JobAnswer, JobState, Value};

/// Arguments of `job`.
#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Args)]
struct Where {
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
        at: Where,
        /// The job's description; `-` reads standard input.
        file: String,
    },
    /// Show a job's state.
    Show {
        #[command(flatten)]
        at: Where,
        /// The job's id, such as wk-000412.
        id: String,
    },
    /// Cancel a job.
    Abort {
        #[command(flatten)]
        at: Where,
        /// The job's id.
        id: String,
    },
}

/// Runs the client.
pub fn run(arguments: Arguments) -> ExitCode {
    let (at, method, path, body) = match arguments.action {
        Action::Submit { at, file } => match read_job(&file) {
            Ok(body) => (at, "POST", "/api/jobs".to_string(), body),
            Err(line) => return super::fail(&line),
        },
        Action::Show { at, id } => (at, "GET", format!("/api/jobs/{id}"), Vec::new()),
        Action::Abort { at, id } => (at, "POST", format!("/api/jobs/{id}/abort"), Vec::new()),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return super::fail(&format!("cannot start: {e}")),
    };
    let client = Client::new(at.addr, wire::BODY_LIMIT);
    let answer = runtime.block_on(client.call(method, &path, &body, Duration::from_secs(5)));
    match answer {
        Ok(answer) => print(&at, answer.status, &answer.body, answer.retry_after),
        Err(e) => {
            eprintln!("willowshore: {}: {e}", at.addr);
            ExitCode::FAILURE
        }
    }
}

fn read_job(file: &str) -> Result<Vec<u8>, String> {
    let text = if file == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|e| format!("cannot read {file}: {e}"))?;
    let value: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| format!("{file} is not JSON: {e}"))?;
    Ok(wire::encode(&value))
}

fn print(at: &Where, status: u16, body: &[u8], retry_after: Option<u32>) -> ExitCode {
    let value: Option<Value> = wire::decode(body).ok();
    let good = matches!(status, 200 | 201);
    if at.json {
        let shown = serde_json::json!({
            "status": status,
            "retry_after_s": retry_after,
            "body": value,
        });
        println!("{shown}");
    } else if let Some(job) = wire::decode::<JobAnswer>(body).ok().filter(|_| good) {
        println!("{}", line(&job));
    } else {
        let why = value
            .as_ref()
            .and_then(|v| v.as_map())
            .and_then(|m| m.iter().find(|(k, _)| k.as_text() == Some("error")))
            .and_then(|(_, v)| v.as_text())
            .unwrap_or(match status {
                404 => "no such job",
                422 => "can never run",
                400 => "malformed",
                429 | 503 => "not now",
                _ => "refused",
            });
        let again = retry_after.map_or(String::new(), |s| format!(", come back in {s} s"));
        eprintln!("willowshore: {why} (status {status}{again})");
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn line(job: &JobAnswer) -> String {
    let state = match job.state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    };
    let reason = job.reason.as_ref().map_or(String::new(), |r| format!(" ({r})"));
    format!("{}: {state}, {} done, {} running{reason}", job.job, job.done, job.running)
}
