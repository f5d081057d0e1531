//! The program: a controller, a check of its settings, and small clients for users and operators.
//!
//! Exit codes: 0, done; 1, a job command reached its controller and was refused, or reached none; 2, wrong
//! arguments or settings, or the program cannot start, and any error of a standby command. What is wrong
//! goes to standard error in one line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, Subcommand};
use thiserror::Error;
use willowshore::config::{ConfigError, Settings};
use willowshore::feature_flags::FeatureFlags;
use willowshore::service::Service;

mod job_command;
mod standby_command;

/// A cluster scheduler: rank-legal admission, importance-maximizing shares, hashed shards.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Arguments {
    /// Enable what this file names, such as deploy/standby.toml; may be given more than once.
    #[arg(long, value_name = "FILE", global = true)]
    enable: Vec<PathBuf>,
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
    Job(job_command::Arguments),
    /// Look at the warm standby.
    Standby(standby_command::Arguments),
}

/// Exit code for wrong arguments or settings, and for a program that cannot start.
const EXIT_UNUSABLE: u8 = 2;

/// Why the program ends with [`EXIT_UNUSABLE`].
#[derive(Debug, Error)]
enum StartError {
    /// Neither a settings file nor a command was given.
    #[error("--config FILE or a command is needed, see --help")]
    NothingToDo,
    /// `LOG_LEVEL` is none that is known.
    #[error("LOG_LEVEL is {0:?}; allowed are error, info and debug")]
    LogLevel(String),
    /// The settings, or what is enabled, cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The runtime did not start.
    #[error("cannot start: {0}")]
    Runtime(#[source] std::io::Error),
    /// The controller's addresses cannot be served.
    #[error("cannot serve: {0}")]
    Serve(#[source] std::io::Error),
    /// A job command cannot be carried out.
    #[error(transparent)]
    Job(#[from] job_command::JobFileError),
    /// A standby command failed.
    #[error(transparent)]
    Standby(#[from] standby_command::StatusError),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let enable = &arguments.enable;
    let ended = match (arguments.command, arguments.config) {
        (Some(Command::Check { file }), _) => check(&file, enable),
        (Some(Command::Standby(arguments)), _) => standby_command::run(arguments),
        (Some(Command::Job(arguments)), _) => job_command::run(arguments),
        (None, Some(file)) => serve(&file, enable),
        (None, None) => Err(StartError::NothingToDo),
    };
    ended.unwrap_or_else(|error| {
        eprintln!("willowshore: {error}");
        ExitCode::from(EXIT_UNUSABLE)
    })
}

/// A runtime on this thread: a controller has less than a core.
fn runtime() -> Result<tokio::runtime::Runtime, StartError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)
}

/// Reads the settings and what is enabled, and checks them.
fn load(file: &Path, enable: &[PathBuf]) -> Result<(Settings, FeatureFlags), ConfigError> {
    let settings = Settings::load(file)?;
    let feature_flags = FeatureFlags::load(enable.iter().map(PathBuf::as_path))?;
    feature_flags.check(&settings)?;
    Ok((settings, feature_flags))
}

fn check(file: &Path, enable: &[PathBuf]) -> Result<ExitCode, StartError> {
    let (settings, _) = load(file, enable)?;
    println!("{}: settings of {} are sound", file.display(), settings.node_name);
    Ok(ExitCode::SUCCESS)
}

/// The level that `LOG_LEVEL` sets.
fn log_level() -> Result<tracing::Level, StartError> {
    match std::env::var("LOG_LEVEL").as_deref() {
        Err(_) | Ok("" | "info") => Ok(tracing::Level::INFO),
        Ok("error") => Ok(tracing::Level::ERROR),
        Ok("debug") => Ok(tracing::Level::DEBUG),
        Ok(other) => Err(StartError::LogLevel(other.to_string())),
    }
}

/// Serves as a controller until the process is killed.
fn serve(file: &Path, enable: &[PathBuf]) -> Result<ExitCode, StartError> {
    let level = log_level()?;
    let (settings, feature_flags) = load(file, enable)?;
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    let runtime = runtime()?;
    let service = Rc::new(Service::new(settings, feature_flags));
    tokio::task::LocalSet::new().block_on(&runtime, service.run()).map_err(StartError::Serve)?;
    Ok(ExitCode::SUCCESS)
}
