//! The program: a controller, a check of its settings, and a small client for users.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, Subcommand};
use willowshore::config::Settings;
use willowshore::service::Service;

mod job;

/// A cluster scheduler: rank-legal admission, importance-maximizing shares, hashed parts.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Arguments {
    /// Serve as a controller with this settings file, until killed.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and say which field is wrong.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Submit, show or abort jobs.
    Job(job::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match (arguments.command, arguments.config) {
        (Some(Command::Check { file }), _) => check(&file),
        (Some(Command::Job(arguments)), _) => job::run(arguments),
        (None, Some(file)) => serve(&file),
        (None, None) => {
            eprintln!("willowshore: --config FILE or a command is needed, see --help");
            ExitCode::from(2)
        }
    }
}

fn check(file: &std::path::Path) -> ExitCode {
    match Settings::load(file) {
        Ok(settings) => {
            println!("{}: settings of {} are sound", file.display(), settings.node_name);
            ExitCode::SUCCESS
        }
        Err(e) => fail(&e.to_string()),
    }
}

fn fail(line: &str) -> ExitCode {
    eprintln!("willowshore: {line}");
    ExitCode::from(2)
}

/// The level that `LOG_LEVEL` sets.
fn log_level() -> Result<tracing::Level, String> {
    match std::env::var("LOG_LEVEL").as_deref() {
        Err(_) | Ok("" | "info") => Ok(tracing::Level::INFO),
        Ok("error") => Ok(tracing::Level::ERROR),
        Ok("debug") => Ok(tracing::Level::DEBUG),
        Ok(other) => Err(format!("LOG_LEVEL is {other:?}; allowed are error, info and debug")),
    }
}

fn serve(file: &std::path::Path) -> ExitCode {
    let level = match log_level() {
        Ok(level) => level,
        Err(line) => return fail(&line),
    };
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(e) => return fail(&e.to_string()),
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&format!("cannot start: {e}")),
    };
    let tasks = tokio::task::LocalSet::new();
    match tasks.block_on(&runtime, Rc::new(Service::new(settings)).run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&format!("cannot serve: {e}")),
    }
}
