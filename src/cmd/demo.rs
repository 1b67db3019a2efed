//! `primrosestep demo`.

use crate::{
    cli::Demo,
    exit::{Error, Exit},
};
use console::Console;
use demo::{Deployment, Options, Refusal, Summary};
use derive_more::Display;
use serde::Serialize;
use site::submission::Outcome;
use std::{
    fs::File,
    io::{self, Write},
    num::NonZeroUsize,
    thread,
};
use telemetry::{Format, Guard, Level, Log};

/// Maximum number of threads of the demonstration.
const MAX_THREADS: usize = 4;

/// Printed results of a run.
#[derive(Debug, Display, Serialize)]
#[serde(transparent)]
#[display("{}", text(_0))]
struct Report(Summary);

/// Runs two data centres in this process.
pub(crate) fn run(args: &Demo, console: &Console) -> Result<Exit, Error> {
    let threads = thread::available_parallelism().map_or(1, NonZeroUsize::get).min(MAX_THREADS);
    entry::spawn::set_threads(NonZeroUsize::new(threads).unwrap_or(NonZeroUsize::MIN));
    let (log, _guard) = log(args)?;
    let tasks = usize::from(args.tasks);
    smol::block_on(async {
        console.note(&"starting two data centres with two entries each");
        let options = Options { executors: usize::from(args.executors) };
        let deployment = Deployment::start(options, &log).await?;
        let mut progress = console.progress(tasks as u64);
        let summary = demo::run(&deployment, tasks, |done| progress.update(done as u64)).await?;
        progress.update(tasks as u64);
        progress.finish();
        let exit = exit_code(&summary);
        console.print(&Report(summary));
        deployment.stop().await;
        Ok(exit)
    })
}

fn log(args: &Demo) -> Result<(Log, Guard), Error> {
    let output: Box<dyn Write + Send> = match &args.log {
        None => Box::new(io::sink()),
        Some(path) => Box::new(
            File::create(path)
                .map_err(|source| Error::File { path: path.to_string_lossy().into(), source })?,
        ),
    };
    let (log, guard) = telemetry::start(output, Level::Info)?;
    log.install(Format::Json)?;
    Ok((log, guard))
}

/// Returns whether the run kept all guarantees, as an exit code.
fn exit_code(summary: &Summary) -> Exit {
    let whole = summary.matching == summary.tasks;
    let once = summary.started_twice == 0 && summary.started_by_resubmission == 0;
    match whole && once && summary.refusal.started == 0 {
        true => Exit::Done,
        false => Exit::Failed,
    }
}

fn text(summary: &Summary) -> String {
    let Summary { tasks, matching, slots, response_ms, ideal_ms, refusal, .. } = summary;
    let ratio = response_ms / ideal_ms;
    let lines = [
        format!("job            {}", summary.id),
        format!("answer         complete, {matching} of {tasks} outputs match their tasks"),
        format!("response time  {response_ms:.1} ms"),
        format!("ideal          {ideal_ms:.1} ms (one queue over {slots} slots): {ratio:.2} times"),
        format!("started        {} tasks, {} twice", summary.started, summary.started_twice),
        format!("refused        {} attempts at executors", summary.refused_attempts),
        format!("resubmitted    same answer, {} tasks started", summary.started_by_resubmission),
        format!("infeasible job rejected: {}", describe(refusal)),
    ];
    lines.join("\n")
}

fn describe(refusal: &Refusal) -> String {
    let outcome = match refusal.outcome {
        Some(Outcome::NotRun) => "not run",
        Some(Outcome::MayHaveRun) => "may have run",
        Some(Outcome::RanAndFailed) => "ran and failed",
        None => "not known",
    };
    format!("{outcome} ({}); {} tasks started", refusal.detail, refusal.started)
}
