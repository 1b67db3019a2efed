//! The page of measurements, in Markdown.

use super::{
    list::{FAULTS, LOADS},
    row::{HEAD, Row, measure},
    targets,
};
use crate::{
    baselines::Policy,
    case::{Case, Fault},
    workload::model::{Model, Name},
};
use clap::ValueEnum;
use site::{service::Place, unit::Span};

const TEMPLATE: &str = include_str!("page.md");
/// Time during which jobs arrive, in seconds.
const RUN_SECONDS: u64 = 300;
/// Time during which jobs arrive in the case of a platform outage, in seconds.
const OUTAGE_RUN_SECONDS: u64 = 600;

/// The rows of the page's tables.
pub(crate) struct Tables {
    pub(crate) healthy: Vec<Row>,
    pub(crate) seeds: Vec<Row>,
    pub(crate) faults: Vec<Row>,
    others: Vec<Row>,
    pub(crate) special: Vec<Row>,
    workers: Vec<Row>,
}

/// Runs everything and prints the page.
pub(crate) fn print(run: &str) {
    let tables = Tables::measure();
    let policies: Vec<_> =
        Policy::value_variants().iter().filter_map(|p| p.to_possible_value()).collect();
    let policies: Vec<_> = policies.iter().map(|policy| policy.get_name()).collect();
    let page = TEMPLATE
        .replace("{run}", run)
        .replace("{bars}", &targets::table(&tables))
        .replace("{seconds}", &RUN_SECONDS.to_string())
        .replace("{policies}", &policies.join(","))
        .replace("{healthy}", &table(&tables.healthy))
        .replace("{seeds}", &table(&tables.seeds))
        .replace("{faults}", &table(&tables.faults))
        .replace("{others}", &matrix(&tables.others))
        .replace("{special}", &table(&tables.special))
        .replace("{workers}", &table(&tables.workers));
    print!("{page}");
}

impl Tables {
    fn measure() -> Tables {
        let all = Policy::value_variants();
        let chosen = [Policy::Chosen];
        let none = [Fault::None].as_slice();
        let on = Place::Executors;
        let healthy = LOADS.map(|load| plan(on, load, none, RUN_SECONDS, 1, all)).concat();
        let seeds = [2, 3].map(|seed| plan(on, 80, none, RUN_SECONDS, seed, all)).concat();
        let faults = FAULTS.map(|faults| plan(on, 80, faults, RUN_SECONDS, 1, &chosen)).concat();
        let others = FAULTS.map(|faults| plan(on, 80, faults, RUN_SECONDS, 1, &all[1..])).concat();
        let special = [
            plan(on, 120, &[Fault::Fair], RUN_SECONDS, 1, &chosen),
            plan(on, 80, &[Fault::Leaving], RUN_SECONDS, 1, &chosen),
            plan(on, 80, &[Fault::Platform], OUTAGE_RUN_SECONDS, 1, &chosen),
        ];
        let workers =
            [(50, Fault::None), (50, Fault::Hints), (80, Fault::None), (80, Fault::Hints)]
                .map(|(load, fault)| plan(Place::Workers, load, &[fault], RUN_SECONDS, 1, &chosen));
        Tables {
            healthy: measure(&healthy),
            seeds: measure(&seeds),
            faults: measure(&faults),
            others: measure(&others),
            special: measure(&special.concat()),
            workers: measure(&workers.concat()),
        }
    }
}

/// Returns the cases of both sites with each policy.
fn plan(
    place: Place,
    load: u32,
    faults: &[Fault],
    seconds: u64,
    seed: u64,
    policies: &[Policy],
) -> Vec<Case> {
    let sites = [Name::Kovacik, Name::Clydeside];
    let pairs = sites.into_iter().flat_map(|site| policies.iter().map(move |of| (site, *of)));
    let case = |(site, policy)| Case {
        model: Model::new(site, place, faults),
        load,
        faults: faults.to_vec(),
        policy,
        length: Span::from_secs(seconds),
        seed,
    };
    pairs.map(case).collect()
}

fn table(rows: &[Row]) -> String {
    let rows: Vec<_> = rows.iter().map(Row::to_string).collect();
    format!("{HEAD}\n{}", rows.join("\n"))
}

/// Returns a table with a line for each site and fault and a column for each policy.
fn matrix(rows: &[Row]) -> String {
    let policies = &Policy::value_variants()[1..];
    let names: Vec<_> = policies.iter().map(|of| format!("{of:?}").to_lowercase()).collect();
    let mut lines = vec![format!("| site | fault | {} |", names.join(" | "))];
    lines.push(format!("|---|---|{}", "---|".repeat(names.len())));
    for line in rows.chunks(policies.len()) {
        let cells: Vec<_> = line.iter().map(cell).collect();
        let (site, fault) = (line[0].case.site_label(), line[0].case.fault_label());
        lines.push(format!("| {site} | {fault} | {} |", cells.join(" | ")));
    }
    lines.join("\n")
}

fn cell(row: &Row) -> String {
    let lost = row.jobs - row.tally.responses.len() as u64 - row.tally.cancelled_jobs;
    let lost = 100.0 * lost as f64 / row.jobs as f64;
    format!("{:.2}, {:.3}, {lost:.1}%", row.to_one_queue[1], row.tally.wasted())
}
