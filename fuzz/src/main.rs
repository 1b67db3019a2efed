//! Runs generated cases against one target: `cargo run --release -p fuzz -- --target peers`.

use clap::Parser;
use fuzz::{
    Target, cases,
    run::{self, Run},
    shrink,
    target::Name,
};
use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Instant,
};

/// Runs generated cases. Stores the first case of each finding, minimised, in fuzz/cases/.
#[derive(Debug, Parser)]
struct Cli {
    /// The target to run.
    #[arg(long)]
    target: Name,
    /// Number of cases.
    #[arg(long, default_value_t = 100_000)]
    cases: u64,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run only the case in this file, and print it and its result.
    #[arg(long)]
    show: Option<PathBuf>,
    /// Continue after a finding.
    #[arg(long)]
    keep_going: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let mut target = cli.target.open();
    if let Some(path) = cli.show {
        return show(target.as_mut(), &path);
    }
    let started = Instant::now();
    let run = Run::generate(target.as_mut(), cli.cases, cli.seed, cli.keep_going);
    println!(
        "{}: {} cases, {} bytes, seed {}, {:.0?}, heap grew by at most {} bytes a case",
        target.name(),
        run.cases,
        run.bytes,
        cli.seed,
        started.elapsed(),
        run.peak,
    );
    run.outcomes.iter().for_each(|(outcome, count)| println!("{count:>10}  {outcome}"));
    for (count, case, finding) in run.findings.values() {
        let minimised = shrink::minimise(target.as_mut(), case, finding);
        let path = cases::save(target.name(), finding.name(), &minimised);
        println!("{count:>10}  FINDING {finding}\n            kept as {path:?}");
    }
    if run.findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn show(target: &mut dyn Target, path: &Path) -> ExitCode {
    match fs::read(path) {
        Ok(case) => {
            println!("{}\n{:?}", target.show(&case), run::check(target, &case).0);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("fuzz: {}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}
