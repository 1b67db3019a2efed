//! Command line of the soak test: plays seeds and prints the violations.

use clap::Parser;
use smol::lock::Semaphore;
use soak::{
    Error,
    plan::{self, Naming, Size, Speed},
    play::{self, Verdict},
    sabotage::Sabotage,
};
use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

/// Plays seeds against real entries and checks what callers, executors and operators see.
///
/// Exit codes: 0 no violation; 1 violations; 2 invalid command line; 3 a play could not be carried
/// out.
#[derive(Debug, Parser)]
#[command(name = "soak", version)]
struct Args {
    /// Executable of an entry; by default `primrosestep-node` in the folder of this program.
    #[arg(long)]
    node: Option<PathBuf>,
    /// First seed; random by default.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Play the seeds that have failed before, which are listed in `soak/seeds.txt`.
    #[arg(long, conflicts_with_all = ["seed", "seeds"])]
    kept: bool,
    /// Number of seeds that are played at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Number of entries, each a process.
    #[arg(long, default_value_t = Size::default().entries)]
    entries: usize,
    /// Number of executors.
    #[arg(long, default_value_t = Size::default().executors)]
    executors: usize,
    /// Number of callers, each with one request at a time.
    #[arg(long, default_value_t = Size::default().callers)]
    callers: usize,
    /// Length of the time in which faults begin, in seconds.
    #[arg(long, default_value_t = Size::default().faults_for.as_secs())]
    seconds: u64,
    /// Violate this guarantee on purpose instead of playing a seed's faults.
    #[arg(long)]
    sabotage: Option<Sabotage>,
    /// Print the faults of the seeds and play nothing.
    #[arg(long)]
    plan: bool,
}

/// Seeds that have failed before, each with the reason.
const KEPT_SEEDS: &str = include_str!("../seeds.txt");

/// Exit code when a guarantee was violated.
const EXIT_VIOLATION: u8 = 1;
/// Exit code when a play could not be carried out.
const EXIT_NOT_PLAYED: u8 = 3;

fn main() -> ExitCode {
    let args = Args::parse();
    match smol::block_on(run(args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATION),
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_NOT_PLAYED)
        }
    }
}

/// Returns whether no guarantee was violated.
async fn run(args: Args) -> Result<bool, Error> {
    let size = Size {
        entries: args.entries.max(1),
        executors: args.executors.max(1),
        callers: args.callers,
        faults_for: Duration::from_secs(args.seconds.max(1)),
    };
    let seeds = match args.kept {
        true => kept_seeds().collect(),
        false => consecutive_seeds(args.seed, args.seeds),
    };
    if args.plan {
        for seed in seeds {
            println!("seed {seed}");
            let fleet = plan::fleet(seed);
            if fleet.naming == Naming::Shared {
                println!("  incarnations of an executor share its name");
            }
            if fleet.speed == Speed::ByKind {
                println!("  executors differ in speed by kind");
            }
            plan::plan(seed, &size).iter().for_each(|step| println!("  {step}"));
        }
        return Ok(true);
    }
    let node = find_program(args.node)?;
    let permits = Arc::new(Semaphore::new(args.jobs.max(1)));
    let plays: Vec<_> = seeds
        .into_iter()
        .map(|seed| {
            let (node, permits, sabotage) = (node.clone(), permits.clone(), args.sabotage);
            smol::spawn(async move {
                let _permit = permits.acquire().await;
                let verdict = play::play(&node, seed, &size, sabotage).await;
                verdict.inspect(print)
            })
        })
        .collect();
    let mut is_clean = true;
    for play in plays {
        is_clean &= play.await?.violations.is_empty();
    }
    Ok(is_clean)
}

/// Returns the seeds of `seeds.txt`; each stands at the beginning of a line.
fn kept_seeds() -> impl Iterator<Item = u64> {
    KEPT_SEEDS.lines().filter_map(|line| line.split_whitespace().next()?.parse().ok())
}

/// Returns `count` seeds from `first` on, or from a random one.
fn consecutive_seeds(first: Option<u64>, count: u64) -> Vec<u64> {
    let first = first.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    (first..first + count).collect()
}

fn print(verdict: &Verdict) {
    println!("{verdict}");
    if verdict.violations.is_empty() {
        return;
    }
    verdict.violations.iter().for_each(|violation| println!("  BROKEN {violation}"));
    verdict.steps.iter().for_each(|step| println!("  {step}"));
    if let Some(logs) = &verdict.logs {
        println!("  logs: {}", logs.display());
    }
}

fn find_program(given: Option<PathBuf>) -> Result<PathBuf, Error> {
    let path = match given {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("primrosestep-node"),
    };
    match path.is_file() {
        true => Ok(path),
        false => Err(Error::NoProgram { path }),
    }
}
