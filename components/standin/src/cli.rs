//! The command line.

use clap::{Args, Parser, Subcommand};
use site::unit::{Accelerators, Cores, Memory, Span};
use std::net::SocketAddr;

/// Small servers that replace external systems in tests.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Cli {
    /// The stand-in to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The stand-ins.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// The platform's key-value service.
    Platform(Platform),
    /// An executor.
    Executor(Executor),
    /// A worker.
    Worker(Worker),
}

/// The platform's key-value service.
#[derive(Debug, Args)]
pub(crate) struct Platform {
    /// Address to listen on; with port 0 the operating system chooses the port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub(crate) address: SocketAddr,
}

/// An executor.
#[derive(Debug, Args)]
pub(crate) struct Executor {
    /// Address to listen on; with port 0 the operating system chooses the port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub(crate) address: SocketAddr,
    /// Name in the ledger.
    #[arg(long, default_value = "executor")]
    pub(crate) name: String,
    /// Maximum number of concurrent tasks.
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: usize,
    /// Maximum number of open connections.
    #[arg(long, default_value_t = 64)]
    pub(crate) connections: usize,
    /// Run time of a task whose body doesn't set one.
    #[arg(long, default_value = "50ms")]
    pub(crate) run_time: Span,
}

/// A worker.
#[derive(Debug, Args)]
pub(crate) struct Worker {
    /// Address to listen on; with port 0 the operating system chooses the port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub(crate) address: SocketAddr,
    /// Name in the ledger.
    #[arg(long, default_value = "worker")]
    pub(crate) name: String,
    /// Processor cores for tasks.
    #[arg(long, default_value = "16")]
    pub(crate) cores: Cores,
    /// Memory for tasks.
    #[arg(long, default_value = "32GiB")]
    pub(crate) memory: Memory,
    /// Accelerators for tasks.
    #[arg(long, default_value = "0")]
    pub(crate) accelerators: Accelerators,
    /// Maximum number of open connections.
    #[arg(long, default_value_t = 256)]
    pub(crate) connections: usize,
    /// Run time of a task whose body doesn't set one.
    #[arg(long, default_value = "50ms")]
    pub(crate) run_time: Span,
    /// Interval between measurements of usage.
    #[arg(long, default_value = "1s")]
    pub(crate) usage_interval: Span,
}
