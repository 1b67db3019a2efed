//! Measures entries as processes of their own, on loopback, with stand-ins for the platform and
//! the executors.
//!
//! `cargo bench -p benches --bench real -- --help` lists the arguments. docs/SPEED.md holds the
//! results.

mod caller;
mod child;
mod latency;
mod role;
mod starts;
mod waiting;
mod world;

use crate::role::Role;
use clap::{Parser, ValueEnum};
use std::{path::PathBuf, time::Duration};

/// Measures entries as processes of their own.
#[derive(Debug, Parser)]
struct Arguments {
    /// One case instead of all.
    #[arg(long)]
    case: Option<Case>,
    /// How often each case is measured.
    #[arg(long, default_value = "3")]
    repeat: usize,
    /// Requests on each path of the latency case.
    #[arg(long, default_value = "4000")]
    requests: usize,
    /// Time during which starts are counted, in seconds.
    #[arg(long, default_value = "8")]
    seconds: u64,
    /// Callers that submit jobs concurrently.
    #[arg(long, default_value = "12")]
    callers: usize,
    /// Tasks of a job.
    #[arg(long, default_value = "200")]
    tasks: usize,
    /// Callers that wait in the memory case.
    #[arg(long, default_value = "2000")]
    waiters: usize,
    /// Runs one of the child processes of the measurement.
    #[arg(long, hide = true)]
    role: Option<Role>,
    /// Settings of the role `entry`.
    #[arg(long, hide = true)]
    settings: Option<PathBuf>,
    /// Executors of the role `executors`.
    #[arg(long, hide = true, default_value = "1")]
    executors: usize,
    /// Address to which the role `hop` forwards.
    #[arg(long, hide = true)]
    target: Option<std::net::SocketAddr>,
    /// Set by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

/// A measured case.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Case {
    /// Single requests, one at a time, on several paths in turn.
    Latency,
    /// Task starts per second, from jobs.
    Starts,
    /// Memory for callers that wait.
    Waiting,
}

fn main() {
    let arguments = Arguments::parse();
    match arguments.role {
        Some(role) => role::run(role, &arguments),
        None => smol::block_on(measure(&arguments)),
    }
}

async fn measure(arguments: &Arguments) {
    let is_wanted = |case| arguments.case.is_none_or(|wanted| wanted == case);
    for run in 1..=arguments.repeat {
        println!("run {run}");
        if is_wanted(Case::Latency) {
            latency::measure(arguments.requests).await;
        }
        if is_wanted(Case::Starts) {
            let time = Duration::from_secs(arguments.seconds);
            starts::measure(arguments.callers, arguments.tasks, time).await;
        }
        if is_wanted(Case::Waiting) {
            waiting::measure(arguments.waiters).await;
        }
    }
}
