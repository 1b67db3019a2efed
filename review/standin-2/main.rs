//! The cases of the review that are scripts: `case NAME FOLDER`, run in the root of the repository.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cancel;
mod crowd;
mod deployment;
mod drain;
mod executor;
mod freeze;
mod http;
mod json;
mod record;
mod site;
mod store;

use record::Record;
use std::{env, io, path::Path, process::ExitCode};

/// Whether a rule held in a case.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(name, Path::new(folder), has_trouble) {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(how)) => {
            println!("the rule was broken: {how}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
    let verdict = match name {
        "freeze" => freeze::run(&record, has_trouble),
        "drain" => drain::run(&record, has_trouble),
        "crowd" => crowd::run(&record, has_trouble),
        "cancel" => cancel::run(&record, has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match &verdict {
        Ok(Verdict::Held) => record.line("the rule held"),
        Ok(Verdict::Broken(how)) => record.line(format!("the rule was broken: {how}")),
        Err(error) => record.line(format!("the case could not run: {error}")),
    }
    verdict
}
