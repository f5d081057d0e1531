//! The program: a controller, a check of its settings, and a small client for users.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, Subcommand};
use willowshore::config::{ConfigError, Settings};
use willowshore::feature_flags::FeatureFlags;
use willowshore::service::Service;

mod job_command;
mod standby_command;

/// A cluster scheduler: rank-legal admission, importance-maximizing shares, hashed parts.
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

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match (arguments.command, arguments.config) {
        (Some(Command::Check { file }), _) => check(&file, &arguments.enable),
        (Some(Command::Standby(arguments)), _) => standby_command::run(arguments),
        (Some(Command::Job(arguments)), _) => job_command::run(arguments),
        (None, Some(file)) => serve(&file, &arguments.enable),
        (None, None) => {
            eprintln!("willowshore: --config FILE or a command is needed, see --help");
            ExitCode::from(2)
        }
    }
}

/// Reads the settings and what is enabled, and checks them.
fn load(file: &Path, enable: &[PathBuf]) -> Result<(Settings, FeatureFlags), ConfigError> {
    let settings = Settings::load(file)?;
    let feature_flags = FeatureFlags::load(enable.iter().map(PathBuf::as_path))?;
    feature_flags.check(&settings)?;
    Ok((settings, feature_flags))
}

fn check(file: &Path, enable: &[PathBuf]) -> ExitCode {
    match load(file, enable) {
        Ok((settings, _)) => {
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

fn serve(file: &Path, enable: &[PathBuf]) -> ExitCode {
    let level = match log_level() {
        Ok(level) => level,
        Err(line) => return fail(&line),
    };
    let (settings, feature_flags) = match load(file, enable) {
        Ok(loaded) => loaded,
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
    match tasks.block_on(&runtime, Rc::new(Service::new(settings, feature_flags)).run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&format!("cannot serve: {e}")),
    }
}
