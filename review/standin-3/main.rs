//! Cases of the third review: `case NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod executor;
mod http;
mod json;
mod record;
mod site;
mod store;
mod wake;

use record::Record;
use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let result = match name.as_str() {
        "wake" => wake::run(trouble, &record),
        _ => {
            eprintln!("no such case: {name}");
            return ExitCode::from(2);
        }
    };
    let code = match &result {
        Ok(Some(true)) => 0,
        Ok(Some(false)) => 1,
        Ok(None) | Err(_) => 2,
    };
    record.note(format!("exit {code} {result:?}"));
    record.write(&Path::new(folder).join("record.txt"));
    println!("{name}: exit {code}");
    ExitCode::from(code)
}
