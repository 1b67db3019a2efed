//! Plays seeds and tells what was broken.

use clap::Parser;
use smol::lock::Semaphore;
use soak::{
    Error,
    plan::{self, Size},
    play::{self, Verdict},
    sabotage::Sabotage,
};
use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

/// Plays seeds against real entries and checks what callers, executors and operators see.
///
/// Exit codes: 0 nothing was broken; 1 something was; 2 the command line is wrong; 3 a play could
/// not go on.
#[derive(Debug, Parser)]
#[command(name = "soak", version)]
struct Args {
    /// The program of an entry; without it, the one beside this program.
    #[arg(long)]
    node: Option<PathBuf>,
    /// The first seed; without it, one is drawn.
    #[arg(long)]
    seed: Option<u64>,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Play the seeds that ever failed, which are kept in `soak/seeds.txt`.
    #[arg(long, conflicts_with_all = ["seed", "seeds"])]
    kept: bool,
    /// How many are played at a time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Entries, each a process.
    #[arg(long, default_value_t = Size::default().entries)]
    entries: usize,
    /// Executors.
    #[arg(long, default_value_t = Size::default().executors)]
    executors: usize,
    /// Callers, each with one request at a time.
    #[arg(long, default_value_t = Size::default().callers)]
    callers: usize,
    /// Seconds during which faults begin.
    #[arg(long, default_value_t = Size::default().faults_for.as_secs())]
    seconds: u64,
    /// Break this promise on purpose instead of playing a seed's faults.
    #[arg(long)]
    sabotage: Option<Sabotage>,
    /// Print the steps of the seeds and play nothing.
    #[arg(long)]
    plan: bool,
}

/// Seeds that ever failed, and why.
const KEPT: &str = include_str!("../seeds.txt");

const BROKEN: u8 = 1;
const NOT_PLAYED: u8 = 3;

fn main() -> ExitCode {
    let args = Args::parse();
    match smol::block_on(run(args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(NOT_PLAYED)
        }
    }
}

/// Returns whether all promises were kept.
async fn run(args: Args) -> Result<bool, Error> {
    let size = Size {
        entries: args.entries.max(1),
        executors: args.executors.max(1),
        callers: args.callers,
        faults_for: Duration::from_secs(args.seconds.max(1)),
    };
    let seeds = match args.kept {
        true => kept().collect(),
        false => drawn(args.seed, args.seeds),
    };
    if args.plan {
        for seed in seeds {
            println!("seed {seed}");
            plan::plan(seed, &size).iter().for_each(|step| println!("  {step}"));
        }
        return Ok(true);
    }
    let node = program(args.node)?;
    let places = Arc::new(Semaphore::new(args.jobs.max(1)));
    let plays: Vec<_> = seeds
        .into_iter()
        .map(|seed| {
            let (node, places, sabotage) = (node.clone(), places.clone(), args.sabotage);
            smol::spawn(async move {
                let _place = places.acquire().await;
                let verdict = play::play(&node, seed, &size, sabotage).await;
                verdict.inspect(print)
            })
        })
        .collect();
    let mut kept = true;
    for play in plays {
        kept &= play.await?.violations.is_empty();
    }
    Ok(kept)
}

/// The seeds that ever failed; each stands at the beginning of a line.
fn kept() -> impl Iterator<Item = u64> {
    KEPT.lines().filter_map(|line| line.split_whitespace().next()?.parse().ok())
}

/// Seeds one after the other.
fn drawn(first: Option<u64>, count: u64) -> Vec<u64> {
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

fn program(given: Option<PathBuf>) -> Result<PathBuf, Error> {
    let path = match given {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("primrosestep-node"),
    };
    match path.is_file() {
        true => Ok(path),
        false => Err(Error::NoProgram { path }),
    }
}
