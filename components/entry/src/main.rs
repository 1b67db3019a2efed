//! The program `primrosestep-entry`: command line, signals and exit codes of the daemon.

use async_signal::{Signal, Signals};
use clap::Parser;
use derive_more::{Display, Error, From};
use entry::{Process, Setup, StartError, spawn};
use futures_lite::{FutureExt, StreamExt};
use link::tls::{Files, Identity};
use settings::daemon::{self, Daemon};
use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};
use telemetry::{Format, Level, Log, LogError};

/// Runs one entry until it receives SIGTERM or SIGINT, then finishes what it has admitted and
/// exits with 0.
///
/// Exit codes: 0 stopped as planned; 1 the stop took longer than its limit; 2 the command line is
/// wrong; 3 the settings or keys are wrong, or an address can't be used.
#[derive(Debug, Parser)]
#[command(name = "primrosestep-entry", version)]
struct Args {
    /// The daemon's settings, a JSON file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Exit code after a stop that exceeded the drain limit.
const EXIT_OVERDUE: u8 = 1;

/// Exit code of a process that failed to start.
const EXIT_NOT_STARTED: u8 = 3;

/// Error that prevents the daemon from running.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("{_0}")]
    Settings(settings::Report),
    #[display("{_0}")]
    Tls(link::tls::Error),
    #[display("{_0}")]
    Log(LogError),
    #[display("{_0}")]
    Start(StartError),
    #[display("cannot wait for signals: {_0}")]
    Signals(io::Error),
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    Read { path: PathBuf, source: io::Error },
}

fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args.settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_OVERDUE),
        Err(failure) => {
            eprintln!("error: {failure}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

/// Runs the daemon. Returns false if its stop exceeded the drain limit.
fn run(path: &Path) -> Result<bool, Failure> {
    let daemon = Daemon::load(path)?;
    spawn::set_threads(daemon.threads.workers);
    let (log, _guard) = telemetry::start(io::stderr(), level(daemon.log.level))?;
    log.install(format(daemon.log.format))?;
    let setup = prepare(daemon, log)?;
    let signals = Signals::new([Signal::Term, Signal::Int])?;
    smol::block_on(serve(setup, signals))
}

async fn serve(setup: Setup, mut signals: Signals) -> Result<bool, Failure> {
    let process = Process::start(setup).await?;
    let signalled = async {
        while let Some(signal) = signals.next().await {
            tracing::info!(?signal, "stop signal received");
            process.engine().drain();
        }
        std::future::pending().await
    };
    let in_time = process.exited().or(signalled).await;
    match in_time {
        true => {
            process.close().await;
            tracing::info!("stopped");
        }
        false => {
            tracing::error!("the stop took longer than its limit; unfinished requests are aborted")
        }
    }
    Ok(in_time)
}

/// Reads the files that the daemon's settings refer to.
fn prepare(daemon: Daemon, log: Log) -> Result<Setup, Failure> {
    let identity = Identity::load(&Files {
        authority: daemon.tls.authority.clone(),
        certificate: daemon.tls.certificate.clone(),
        key: daemon.tls.key.clone(),
    })?;
    let path = daemon.tls.certificate.clone();
    let certificate = fs::read(&path).map_err(|source| Failure::Read { path, source })?;
    let files = match &daemon.settings {
        Some(dir) => settings::load(dir)?.files,
        None => settings::Files::new(),
    };
    let certificate = settings::digest(&certificate);
    Ok(Setup { daemon, identity, certificate, files, log })
}

fn level(level: daemon::Level) -> Level {
    match level {
        daemon::Level::Error => Level::Error,
        daemon::Level::Warn => Level::Warn,
        daemon::Level::Info => Level::Info,
        daemon::Level::Debug => Level::Debug,
        daemon::Level::Trace => Level::Trace,
    }
}

fn format(format: daemon::Format) -> Format {
    match format {
        daemon::Format::Json => Format::Json,
        daemon::Format::Text => Format::Text,
    }
}
