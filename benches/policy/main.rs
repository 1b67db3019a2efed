//! Measures the decision logic under load and faults in virtual time, and prints a row for
//! each case.
//!
//! `cargo bench -p benches --bench policy -- --help` lists the arguments.

#[path = "../baselines/mod.rs"]
mod baselines;
mod case;
#[path = "../report/mod.rs"]
mod report;
#[path = "../workload/mod.rs"]
mod workload;
mod world;

use crate::{
    baselines::Policy,
    case::{Case, Fault},
    report::{list, page, row},
    workload::model::{Model, Name},
};
use clap::Parser;
use site::{service::Place, unit::Span};

/// Measures the decision logic in virtual time.
#[derive(Debug, Parser)]
struct Arguments {
    /// One site instead of both.
    #[arg(long)]
    site: Option<Name>,
    /// Load in percent of the capacity.
    #[arg(long)]
    load: Option<u32>,
    /// One fault, or several joined by a plus sign.
    #[arg(long, value_delimiter = '+')]
    fault: Vec<Fault>,
    /// One policy, or several joined by commas.
    #[arg(long, value_delimiter = ',', default_value = "chosen")]
    policy: Vec<Policy>,
    /// Tasks run on `executors` or `workers`.
    #[arg(long, default_value = "executors", value_parser = ["executors", "workers"])]
    place: String,
    /// Time during which jobs arrive, in seconds.
    #[arg(long, default_value = "120")]
    seconds: u64,
    #[arg(long, default_value = "1")]
    seed: u64,
    /// Slots for each entry that places tasks.
    #[arg(long)]
    slots_per_lead: Option<u32>,
    /// Runs everything and prints docs/MEASUREMENTS.md; the value states date, machine and revision.
    #[arg(long)]
    page: Option<String>,
    /// Set by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() {
    let arguments = Arguments::parse();
    if let Some(run) = &arguments.page {
        return page::print(run);
    }
    println!("{}", row::HEAD);
    for row in row::measure(&cases(&arguments)) {
        println!("{row}");
    }
}

/// All sites and policies with the given load and fault, or with all of them.
fn cases(arguments: &Arguments) -> Vec<Case> {
    let place = match arguments.place.as_str() {
        "workers" => Place::Workers,
        _ => Place::Executors,
    };
    let mut cases = Vec::new();
    for site in [Name::Kovacik, Name::Clydeside] {
        if arguments.site.is_some_and(|wanted| wanted != site) {
            continue;
        }
        for (load, faults) in list::listed(arguments.load, &arguments.fault) {
            for policy in &arguments.policy {
                let mut model = Model::new(site, place, &faults);
                if let Some(slots) = arguments.slots_per_lead {
                    model.slots_per_lead = slots;
                }
                let length = Span::from_secs(arguments.seconds);
                let (faults, policy, seed) = (faults.clone(), *policy, arguments.seed);
                cases.push(Case { model, load, faults, policy, length, seed });
            }
        }
    }
    cases
}
