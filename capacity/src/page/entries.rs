//! Section of the page on how many entries a site of full size needs.

use super::{
    model::{FULL, Model, NETWORK_BUDGET_BYTES_PER_SEC, Size},
    text::{Table, core, number, rate},
};
use crate::{Error, Slopes};

/// Numbers of entries that the table compares.
const COUNTS: [f64; 5] = [9.0, 18.0, 27.0, 36.0, 54.0];

pub(super) fn render(slopes: &Slopes) -> Result<String, Error> {
    let mut table = Table::new([
        "entries",
        "in a data centre",
        "work at the peak, of a core",
        "with a data centre lost",
        "connections",
        "heartbeats sent",
        "processor time for heartbeats",
        "work that fails with one entry",
    ]);
    for entries in COUNTS {
        let model = Model::new(slopes, Size { entries, ..FULL });
        let lost = entries * (1.0 - 1.0 / FULL.data_centres);
        let reduced = Model::new(slopes, Size { entries: lost, ..FULL });
        table.row([
            number(entries),
            number(model.entries_per_data_centre()),
            core(model.data_cpu()?),
            core(reduced.data_cpu()?),
            number(model.connections()?),
            rate(model.heartbeat_bytes()?),
            core(model.heartbeat_cpu()?),
            format!("{:.1}%", 100.0 / entries),
        ]);
    }
    let full = Model::new(slopes, FULL);
    let all = full.data_cpu()? * FULL.entries / 1e9;
    Ok(format!(
        "## Entries

The work at the peak takes {all} cores on the whole site ({task} for a task, of which the log line is
{line}; {submission} for a submission). So processor time does not set the number of entries; two
other things do:

* A data centre that is cut off has to go on serving. With one entry of it restarting and another
  failing, one must be left: three in each, in different racks.
* Entries that place tasks send heartbeats to every other entry of their region, and to a few of the
  other regions. {budget} a node bounds that.

{table}
**Full size takes 27 entries, three in each data centre.** With fewer a data centre can be without
any. With 36 heartbeats leave next to nothing of the budget for the rest, with 54 they pass it. By
capacity (one for {slots} slots) all nine of a region place tasks: 1,900 workers of 64 cores would
allow 61, workers of 16 cores 16. Two cores a VM suffice: less than half of one carries the work
with a data centre lost, and the rest is for bursts, for the kernel's part in receiving, and for the
copies of bodies, which are not in these figures.
",
        all = number(all),
        task = super::text::time(full.task_cpu()?),
        line = super::text::time(full.log_line_cpu()?),
        submission = super::text::time(full.submission_cpu()?),
        budget = rate(NETWORK_BUDGET_BYTES_PER_SEC),
        slots = number(f64::from(dispatch::entry::DEFAULT_SLOTS_PER_LEAD)),
    ))
}
