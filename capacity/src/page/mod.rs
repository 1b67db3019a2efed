//! Renders docs/CAPACITY.md from the measurements.

mod budgets;
mod cases;
mod entries;
mod model;
mod platform;
mod roles;
mod text;

use crate::{Error, Slopes};
use model::{FULL, Model, TODAY};
use text::{Table, number};

/// Results of the users' bench for `primrosestep-node` at three sizes, written by hand from its
/// report.
const SWEEP: &str = include_str!("../../sweep.md");

/// Renders the page.
///
/// # Errors
///
/// Returns [`Error::Missing`] when a measurement is missing.
pub fn render(slopes: &Slopes) -> Result<String, Error> {
    let (today, full) = (Model::new(slopes, TODAY), Model::new(slopes, FULL));
    let sections = [
        head(slopes),
        sizes(),
        SWEEP.to_owned(),
        entries::render(slopes)?,
        budgets::render(&today, &full)?,
        roles::render(&today, &full)?,
        platform::render(&today, &full)?,
        budgets::shortfalls(&full)?,
        cases::render(&full)?,
        measured(slopes),
    ];
    Ok(sections.join("\n"))
}

fn head(slopes: &Slopes) -> String {
    let machine = &slopes.machine;
    format!(
        "# Capacity

What each role costs today and at the size to design for, worked out from slopes measured on one
machine. This page is printed by a program; make it again instead of editing it:

```sh
cargo run --release -p capacity -- slopes > capacity/slopes.jsonl
cargo run --release -p capacity -- page < capacity/slopes.jsonl > docs/CAPACITY.md
```

Measured on {date}, {processor}, {threads} threads, shared with other work:
load {load} when the run began. A test holds the page to `capacity/slopes.jsonl`. Processor time is
that of the threads concerned, in most rows the least of three runs; memory is what was asked of the
allocator, without its own overhead. Endpoints, callers, other entries and the platform's service
are small fakes in one process, and connections go over loopback: no whole site of full size was
run, its figures are worked out. Processor times moved by up to a factor of two between runs on that
machine, with its load; bytes and memory hardly. 1 KB is 1,000 bytes.
",
        date = machine.date(),
        processor = machine.processor,
        threads = machine.threads,
        load = machine.load,
    )
}

fn sizes() -> String {
    let mut table = Table::new(["", "today", "full size"]);
    let mut row = |what: &str, value: fn(&model::Size) -> f64| {
        table.row([what.into(), number(value(&TODAY)), number(value(&FULL))]);
    };
    row("entries", |size| size.entries);
    row("data centres", |size| size.data_centres);
    row("executors", |size| size.executors);
    row("workers", |size| size.workers);
    row("firms (teams), with quotas at full size", |size| size.firms);
    row("task starts a second at the peak", |size| size.starts);
    row("tasks of a job, in the mean", |_| model::MEAN_JOB_TASKS);
    row("submissions a second at the peak", |size| size.starts / model::MEAN_JOB_TASKS);
    row("changes of settings a day", |size| size.changes);
    row("VMs that fail a day", |size| size.failures);
    row("VMs restarted or replaced a day", |size| size.restarts);
    format!(
        "## Sizes

{table}
Today's starts are what 400 executor slots allow at the bench's mean run time of 420 ms. Changes,
failures and restarts of today are those of full size in proportion to the VMs: 108 of 5,777. The
mix of jobs is that of `benches/policy`: two of five single requests, the others evenly over the
orders of magnitude from 5 to 780 tasks. Bodies of tasks and answers come on top of all bytes below.
"
    )
}

/// Renders the table of all measurements.
fn measured(slopes: &Slopes) -> String {
    let mut table = Table::new(["probe", "size", "values"]);
    for point in &slopes.points {
        let values = point.values.iter();
        let values: Vec<String> = values
            .map(|(quantity, value)| format!("{} {}", text::name(quantity), number(*value)))
            .collect();
        table.row([text::name(&point.probe), number(point.size as f64), values.join(", ")]);
    }
    format!(
        "## Measured

What the sizes count and the values mean stands in `capacity/src/slope.rs`. Between two sizes a
straight line is taken; beyond the last one, the last line goes on.

{table}
Not measured: the list of VMs at an entry (a change of any VM is taken in by each), renewals of
leases of workers' tasks (tasks that last longer than a few seconds), memory of waiting callers and
their connections, memory that is held for a moment only, packets lost or out of order, and anything
between real machines.
"
    )
}
