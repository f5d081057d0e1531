//! The `willowshore` program: runs a controller, checks its settings, and provides command-line clients for users and
//! operators.
//!
//! Exit codes: 0 on success; 1 if a job command was refused by the controller or got no response; 2 for invalid
//! arguments or settings, a failed start, or any error of a standby command. Errors are printed to standard error, on
//! one line.

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

/// A cluster scheduler: admits jobs in rank order, maximizes total importance, and shards machines by hashing.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Arguments {
    /// Enable the features in this file, such as deploy/standby.toml; may be given more than once.
    #[arg(long, value_name = "FILE", global = true)]
    enable: Vec<PathBuf>,
    /// Run a controller with this settings file until the process is killed.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and report the first invalid field.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Submit, show or abort jobs.
    Job(job_command::Arguments),
    /// Inspect the warm standby of a controller.
    Standby(standby_command::Arguments),
}

/// Exit code for invalid arguments or settings, a failed start, and errors of standby commands.
const EXIT_UNUSABLE: u8 = 2;

/// Why the program ends with [`EXIT_UNUSABLE`].
#[derive(Debug, Error)]
enum StartError {
    /// Neither a settings file nor a command was given.
    #[error("--config FILE or a command is needed, see --help")]
    MissingCommand,
    /// `LOG_LEVEL` has an unknown value.
    #[error("LOG_LEVEL is {0:?}; allowed are error, info and debug")]
    LogLevel(String),
    /// The settings or the enabled features are invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The async runtime could not be created.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The controller could not listen on its public address or on its address for the other controllers.
    #[error("cannot listen on api_addr or back: {0}")]
    Serve(#[source] std::io::Error),
    /// The job description for a job command could not be read.
    #[error(transparent)]
    Job(#[from] job_command::JobFileError),
    /// A standby command failed.
    #[error(transparent)]
    Standby(#[from] standby_command::StatusError),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let enable = &arguments.enable;
    let result = match (arguments.command, arguments.config) {
        (Some(Command::Check { file }), _) => check_settings(&file, enable),
        (Some(Command::Standby(arguments)), _) => standby_command::run(arguments),
        (Some(Command::Job(arguments)), _) => job_command::run(arguments),
        (None, Some(file)) => serve(&file, enable),
        (None, None) => Err(StartError::MissingCommand),
    };
    result.unwrap_or_else(|error| {
        eprintln!("willowshore: {error}");
        ExitCode::from(EXIT_UNUSABLE)
    })
}

/// Creates a single-threaded runtime, as a controller is given less than one core.
fn runtime() -> Result<tokio::runtime::Runtime, StartError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)
}

/// Reads and checks the settings and the files that enable features.
fn load_settings(file: &Path, enable: &[PathBuf]) -> Result<(Settings, FeatureFlags), ConfigError> {
    let settings = Settings::load(file)?;
    let feature_flags = FeatureFlags::load(enable.iter().map(PathBuf::as_path))?;
    feature_flags.check(&settings)?;
    Ok((settings, feature_flags))
}

/// Checks the settings and the files that enable features.
fn check_settings(file: &Path, enable: &[PathBuf]) -> Result<ExitCode, StartError> {
    let (settings, _) = load_settings(file, enable)?;
    println!("{}: settings of {} are sound", file.display(), settings.node_name);
    Ok(ExitCode::SUCCESS)
}

/// Returns the log level set by `LOG_LEVEL`; `info` if the variable is unset or empty.
fn log_level() -> Result<tracing::Level, StartError> {
    match std::env::var("LOG_LEVEL").as_deref() {
        Err(_) | Ok("" | "info") => Ok(tracing::Level::INFO),
        Ok("error") => Ok(tracing::Level::ERROR),
        Ok("debug") => Ok(tracing::Level::DEBUG),
        Ok(other) => Err(StartError::LogLevel(other.to_string())),
    }
}

/// Runs a controller until the process is killed.
fn serve(file: &Path, enable: &[PathBuf]) -> Result<ExitCode, StartError> {
    let level = log_level()?;
    let (settings, feature_flags) = load_settings(file, enable)?;
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
