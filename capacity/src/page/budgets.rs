//! Sections of the page on the control budgets and on what misses them at full size, with remedies.

use super::{
    model::{
        ANSWER_LIMIT_BYTES, CLAIM_WRITES_PER_SEC, CPU_BUDGET_NS_PER_SEC, HEAP_BUDGET_BYTES, Model,
        NETWORK_BUDGET_BYTES_PER_SEC,
    },
    text::{Table, bytes, core, number, rate},
};
use crate::{
    Error,
    slope::{Probe, Quantity},
};

pub(super) fn render(today: &Model<'_>, full: &Model<'_>) -> Result<String, Error> {
    let mut table = Table::new(["control of one entry", "today", "full size", "budget", "met?"]);
    let mut row = |what: &str,
                   value: &dyn Fn(&Model<'_>) -> Result<f64, Error>,
                   show: &dyn Fn(f64) -> String,
                   budget: f64|
     -> Result<(), Error> {
        let found = value(full)?;
        let met = match found / budget {
            ratio if ratio <= 1.0 => "yes".into(),
            ratio => format!("**no**, {} times", number(ratio)),
        };
        table.row([what.into(), show(value(today)?), show(found), show(budget), met]);
        Ok(())
    };
    row("heartbeats, processor time", &|m| m.heartbeat_cpu(), &core, CPU_BUDGET_NS_PER_SEC)?;
    row(
        "settings, processor time",
        &|m| Ok(m.changes() * m.change_cpu()?),
        &core,
        CPU_BUDGET_NS_PER_SEC,
    )?;
    row(
        "settings, if all changes fall into 8 hours",
        &|m| Ok(3.0 * m.changes() * m.change_cpu()?),
        &core,
        CPU_BUDGET_NS_PER_SEC,
    )?;
    row("usage of firms, processor time", &|m| m.usage_cpu(), &core, CPU_BUDGET_NS_PER_SEC)?;
    row("processor time together", &|m| m.control_cpu(), &core, CPU_BUDGET_NS_PER_SEC)?;
    row("memory", &|m| m.control_heap(), &bytes, HEAP_BUDGET_BYTES)?;
    row("heartbeats, sent", &|m| m.heartbeat_bytes(), &rate, NETWORK_BUDGET_BYTES_PER_SEC)?;
    row(
        "heartbeats, sent and received",
        &|m| Ok(2.0 * m.heartbeat_bytes()?),
        &rate,
        NETWORK_BUDGET_BYTES_PER_SEC,
    )?;
    row("settings read by a watcher", &|m| m.watch_bytes(), &rate, NETWORK_BUDGET_BYTES_PER_SEC)?;
    row(
        "settings passed on to an entry",
        &|m| m.relay_bytes(),
        &rate,
        NETWORK_BUDGET_BYTES_PER_SEC,
    )?;
    row("usage of firms, sent", &|m| m.usage_bytes(), &rate, NETWORK_BUDGET_BYTES_PER_SEC)?;
    row(
        "wishes for capacity in overload, sent",
        &|m| capacity_request_rate(m),
        &rate,
        NETWORK_BUDGET_BYTES_PER_SEC,
    )?;
    row(
        "sent together but for wishes, by the entry that passes settings on",
        &|m| m.control_bytes(),
        &rate,
        NETWORK_BUDGET_BYTES_PER_SEC,
    )?;
    Ok(format!(
        "## Budgets

Control is what an entry does without any task: heartbeats, settings, and what entries tell each
other of firms and capacity. Usage of firms is counted here although it grows with the tasks. Work
itself is below, apart.

{table}
What does not meet its budget stands under \"Where today's code does not carry full size\", with the
remedy. Memory that is taken only while settings are parsed or a table is handed over is not in it.
"
    ))
}

pub(super) fn shortfalls(full: &Model<'_>) -> Result<String, Error> {
    let mut table = Table::new([
        "what",
        "at full size",
        "mechanism that carries it",
        "interface shaped for it",
    ]);
    let mut row = |what: &str, cost: String, remedy: &str, shape: &str| {
        table.row([what.into(), cost, remedy.into(), shape.into()]);
    };
    row(
        "usage of firms",
        format!("{} sent, {} of a core", rate(full.usage_bytes()?), core(full.usage_cpu()?)),
        &format!(
            "since 1abc99a it goes only to the entries that place tasks, not to all as counted here; \
             then lend a firm's quota as slots are lent, by one keeper a firm, so that messages follow \
             submissions and not starts times entries; one grant and its return for each \
             submission would be {}",
            rate(full.submissions() * full.at(Probe::Lend, Quantity::WireBytes, 633.0)?)
        ),
        "`fairness::Queue::set_quota` takes any part of a quota; `Want`, `Lend` and `Return` carry \
         counts of slots",
    );
    row(
        "wishes in overload",
        format!("{} sent while tasks wait everywhere", rate(capacity_request_rate(full)?)),
        &format!(
            "measured with 64 firms in a wish; since 1abc99a 16 are named: about {}",
            rate(capacity_request_rate(full)? / 4.0)
        ),
        "`MAX_DEMAND`; firms that are not named count for nothing already",
    );
    let parse_cpu = 3.0 * full.changes() * full.change_cpu()?;
    row(
        "settings, if all changes fall into 8 hours",
        format!("{} of a core in these hours", core(parse_cpu)),
        "keep each file's parsed form by its digest, so that a change parses one file and merges; \
         more than one change a second is put in force together already",
        "`settings::Files` holds files by name, the manifest their digests",
    );
    let sent = full.heartbeat_bytes()?;
    row(
        "heartbeats, if received bytes count",
        rate(2.0 * sent),
        &format!(
            "every second instead of 500 ms to peers outside the data centre, with silence of 2.5 s \
             allowed to them: about {}; and none to a peer that was sent something meanwhile",
            rate(2.0 * sent * remaining_heartbeat_ratio(full)?)
        ),
        "`membership::Options::interval`; any message counts as a sign of life already",
    );
    row(
        "claims of keys, writes",
        format!("{}/s allowed", number(CLAIM_WRITES_PER_SEC * full.size.entries)),
        "divide one budget for the site by the live entries",
        "`claim::Budget` takes any rate; the live entries are known",
    );
    row(
        "claims of keys, size",
        format!("{} new keys/s in the mean of a day, then refused", number(full.max_new_keys()?)),
        "4,096 documents instead of 256 and a key life of one hour: 384 times as many, in documents \
         that are 16 times smaller",
        "`claim::Shard` is the only place that knows the number; documents are found by the key",
    );
    row(
        "handover of a table",
        format!("{} and the bodies", bytes(full.handover_bytes()?)),
        "since 1abc99a one part is under way at a time; before, all were queued at once, against the \
         16 MiB of the connection",
        "`HandoverStored` answers each part by its number",
    );
    row(
        "log lines",
        format!(
            "{}/s, {}, {} of a core",
            number(full.starts()),
            rate(full.starts() * full.at(Probe::LogLine, Quantity::WireBytes, 4_000.0)?),
            core(full.starts() * full.log_line_cpu()?)
        ),
        "write the line's fields directly, not by way of a JSON value",
        "`telemetry::line::render` is one function",
    );
    let single_records = full.starts() * full.retention_secs();
    row(
        "single requests only",
        format!("{} records in an entry", number(single_records)),
        "more entries, or shorter epochs; or a record without its map's overhead",
        "`EPOCH` and `EPOCHS`; `ledger::Table` hides its maps",
    );
    Ok(format!(
        "## Where today's code does not carry full size

Nothing of this is built yet. Answers to {limit} are kept by each entry; with bodies of 200 bytes
that is the answers of the last {kept} s at the peak, and a caller that asks later is told `expired`.

{table}",
        limit = bytes(ANSWER_LIMIT_BYTES),
        kept = number((ANSWER_LIMIT_BYTES / (full.starts() * 264.0)).min(full.retention_secs())),
    ))
}

/// Ratio of heartbeats left if peers outside the own data centre get half as many.
fn remaining_heartbeat_ratio(model: &Model<'_>) -> Result<f64, Error> {
    let own = (model.entries_per_data_centre() - 1.0) / model.connections()?;
    Ok(own + (1.0 - own) / 2.0)
}

/// Bytes per second of capacity requests that an entry sends while tasks are queued at all entries
/// of the region.
pub(super) fn capacity_request_rate(model: &Model<'_>) -> Result<f64, Error> {
    let size = model.at(Probe::Lend, Quantity::WishBytes, 633.0)?;
    let region_peers = 3.0 * model.entries_per_data_centre() - 1.0;
    let firms = (model.size.firms / 64.0).min(1.0);
    Ok(2.0 * region_peers * size * firms)
}
