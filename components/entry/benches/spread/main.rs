//! Measures the time from accepting settings until they are in force at all entries, and the
//! traffic that this causes.
//!
//! `cargo bench -p entry --bench spread -- --help` lists the arguments. Results are in
//! docs/design/settings.md. All entries run in this process, with sockets between them. The
//! settings in force are polled every millisecond.

mod deployment;
mod folder;
mod usage;

use crate::{deployment::Deployment, folder::Folder, usage::Usage};
use clap::Parser;
use smol::Timer;
use std::time::{Duration, Instant};

/// Measures the distribution of accepted settings.
#[derive(Debug, Parser)]
struct Arguments {
    /// Entries in each of the two data centres.
    #[arg(long, default_value = "2")]
    entries: usize,
    /// Files in the folder.
    #[arg(long, default_value = "1600")]
    files: usize,
    /// Changes made one by one.
    #[arg(long, default_value = "200")]
    changes: usize,
    /// Changes made in a burst.
    #[arg(long, default_value = "50")]
    burst: usize,
    /// Time between two single changes, in milliseconds.
    #[arg(long, default_value = "1100")]
    gap: u64,
    /// Passed by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Time during which the idle cost is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);

fn main() {
    smol::block_on(measure(&Arguments::parse()));
}

async fn measure(arguments: &Arguments) {
    let mut folder = Folder::new(arguments.files);
    println!("{} entries, {folder}", 2 * arguments.entries);
    let mut deployment = Deployment::start(arguments.entries, &folder).await;
    let idle = idle(&deployment).await;
    let before = Usage::now(&deployment);
    let mut times = Vec::new();
    for _ in 0..arguments.changes {
        folder.change();
        times.push(deployment.spread(&folder).await);
        Timer::after(Duration::from_millis(arguments.gap)).await;
    }
    usage::print("one by one", &times);
    Usage::now(&deployment).since(&before).print(&idle, arguments.changes);
    let before = Usage::now(&deployment);
    let begun = Instant::now();
    let times = deployment.burst(&mut folder, arguments.burst).await;
    usage::print("burst", &times);
    println!("  burst accepted and in force after {} ms", begun.elapsed().as_millis());
    Usage::now(&deployment).since(&before).print(&idle, arguments.burst);
}

/// Measures the usage of idle entries during [`IDLE_TIME`].
async fn idle(deployment: &Deployment) -> Usage {
    let before = Usage::now(deployment);
    Timer::after(IDLE_TIME).await;
    Usage::now(deployment).since(&before)
}
