//! Section of the page on what each role of an entry costs.

use super::{
    budgets::capacity_request_rate,
    model::{MEAN_JOB_TASKS, MEAN_RUN_TIME_SECS, Model},
    text::{Table, bytes, core, number, rate, time},
};
use crate::{
    Error,
    slope::{Probe, Quantity},
};

type Figure = Result<String, Error>;

pub(super) fn render(today: &Model<'_>, full: &Model<'_>) -> Result<String, Error> {
    let heads = ["state or message", "mechanism", "today", "full size", "breaks first"];
    let section = |title: &str, rows: &[Row]| -> Result<String, Error> {
        let mut table = Table::new(heads);
        for row in rows {
            let (at_today, at_full) = ((row.cost)(today)?, (row.cost)(full)?);
            table.row([row.what.into(), row.mechanism.into(), at_today, at_full, row.limit.into()]);
        }
        Ok(format!("### {title}\n\n{table}"))
    };
    let parts = [
        section("Entry as home: work", &HOME)?,
        section("Entry as forwarder: work", &FORWARDER)?,
        section("Entry as keeper of endpoint slots", &KEEPER)?,
        section("Entry as configuration watcher", &WATCHER)?,
        section("Every entry as a member: control", &MEMBER)?,
        section("The operators' command", &OPERATOR)?,
    ];
    Ok(format!("## Roles\n\nOf one entry, at the peak.\n\n{}", parts.join("\n")))
}

/// Row of a table of the section; its cost is computed for both sizes.
struct Row {
    what: &'static str,
    mechanism: &'static str,
    cost: fn(&Model<'_>) -> Figure,
    /// What breaks first as the size grows.
    limit: &'static str,
}

const fn row(
    what: &'static str,
    mechanism: &'static str,
    cost: fn(&Model<'_>) -> Figure,
    limit: &'static str,
) -> Row {
    Row { what, mechanism, cost, limit }
}

const HOME: [Row; 7] = [
    row(
        "open tasks",
        "`ledger::Table` in 16 shards, `fairness::Queue` under its pool's lock",
        |m| {
            let tasks = m.starts() * MEAN_RUN_TIME_SECS;
            let each = m.at(Probe::OpenTask, Quantity::HeapBytes, MEAN_JOB_TASKS)?;
            Ok(format!("{} running, {} each: {}", number(tasks), bytes(each), bytes(tasks * each)))
        },
        "500,000 queued tasks of a pool (`MAX_QUEUED`), then refused",
    ),
    row(
        "finished submissions",
        "kept for 8 epochs of 15 s; answers to 64 MiB, then only that they ended",
        |m| {
            let each = m.at(Probe::FinishedAnswer, Quantity::HeapBytes, MEAN_JOB_TASKS)?;
            let kept = m.records() * each;
            Ok(format!("{} of {}: {}", number(m.records()), bytes(each), bytes(kept)))
        },
        "answers with bodies: kept for less than 120 s, then `expired`",
    ),
    row(
        "both together, without bodies",
        "a VM's memory; not control",
        |m| Ok(bytes(m.data_heap()?)),
        "bodies of open tasks: 256 MiB of an entry's callers (`body-memory`), then refused",
    ),
    row(
        "finished, if all were single requests",
        "one record for each identifier, which may not be forgotten sooner",
        |m| {
            let records = m.starts() * m.retention_secs();
            let each = m.at(Probe::FinishedAnswer, Quantity::HeapBytes, 1.0)?;
            let kept = records * each;
            Ok(format!("{}: {}", number(records), bytes(kept)))
        },
        "memory of the VM: the records themselves have no bound",
    ),
    row(
        "a task: decision",
        "`dispatch::Entry::handle`, one lock a pool",
        |m| {
            let each =
                m.at(Probe::StartByEndpoints, Quantity::CpuNs, m.kept_endpoints().max(50.0))?;
            Ok(format!("{}: {} of a core", time(each), core(each * m.starts())))
        },
        "the pool's lock: its share of a core, far from one",
    ),
    row(
        "a task: call and log line",
        "`endpoint::http`, `telemetry::Log`",
        |m| {
            let call = m.at(Probe::Call, Quantity::CpuNs, 64.0)?;
            let line = m.log_line_cpu()?;
            let both = m.starts() * (call + line);
            Ok(format!("{} and {}: {} of a core", time(call), time(line), core(both)))
        },
        "the log's one writer thread, then lines are dropped and counted",
    ),
    row(
        "a submission: caller's interface",
        "`server`, at the entry that the balancer chose",
        |m| {
            let each = m.at(Probe::Request, Quantity::CpuNs, MEAN_JOB_TASKS)?;
            Ok(format!("{}: {} of a core", time(each), core(each * m.submissions())))
        },
        "8,192 waiting callers of an entry (`waiters`), then refused",
    ),
];

const FORWARDER: [Row; 2] = [
    row(
        "a submission sent on",
        "`Message::Submit` and `Answered`; the token names an entry that places tasks",
        |m| {
            let part = 1.0 - 1.0 / m.size.entries;
            let each = m.at(Probe::Forward, Quantity::WireBytes, MEAN_JOB_TASKS)?;
            let forwarded = m.submissions() * part;
            Ok(format!("{}/s, {} each without bodies", number(forwarded), bytes(each)))
        },
        "bodies: they cross the link once each way; 16 MiB queued for a peer",
    ),
    row(
        "processor time of it, both ends",
        "`entry::route`, postcard by `wire`",
        |m| {
            let each = m.forward_cpu()?;
            Ok(format!("{}: {} of a core", time(each), core(each * m.submissions())))
        },
        "nothing near",
    ),
];

const KEEPER: [Row; 4] = [
    row(
        "endpoints kept",
        "rendezvous hashing over the entries that place tasks",
        |m| {
            let each = m.at(Probe::Endpoint, Quantity::HeapBytes, 5_700.0)?;
            Ok(format!("{} of {}", number(m.kept_endpoints()), bytes(each)))
        },
        "nothing near; every entry knows all endpoints",
    ),
    row(
        "capacity lent and returned, one endpoint",
        "`Lend` and `Return`, gathered for 5 or 25 ms",
        |m| {
            let cpu = m.at(Probe::Lend, Quantity::CpuNs, m.kept_endpoints().max(50.0))?;
            let size = m.at(Probe::Lend, Quantity::WireBytes, m.kept_endpoints().max(50.0))?;
            Ok(format!("{}, {}", time(cpu), bytes(size)))
        },
        "nothing near",
    ),
    row(
        "wishes while tasks wait everywhere",
        "`Want` every 500 ms to all that place tasks in the region",
        |m| Ok(format!("at most {} sent", rate(capacity_request_rate(m)?))),
        "firms: only 64 are named, the rest counts for nothing",
    ),
    row(
        "a change of members",
        "`Pool::rekey` over the endpoints of the region",
        |m| {
            let region_endpoints = (m.size.workers + m.size.executors) * 3.0 / m.size.data_centres;
            Ok(time(m.at(Probe::Endpoint, Quantity::RekeyNs, region_endpoints)?))
        },
        "nothing near: 636 a day, a few for each",
    ),
];

const WATCHER: [Row; 6] = [
    row(
        "a change: parse, index, pools",
        "`settings::parse` of the whole folder, at every entry",
        |m| {
            let each = m.change_cpu()?;
            Ok(format!("{}: {} of a core", time(each), core(each * m.changes())))
        },
        "changes a day: the whole folder is parsed for each",
    ),
    row(
        "a change: read from the platform",
        "two watchers a data centre follow the last eight changes and read the changed files",
        |m| {
            let changes = m.settings(Quantity::ChangesBytes)?;
            Ok(format!("{} of changes: {}", bytes(changes), rate(m.watch_bytes()?)))
        },
        "more than eight changes missed: the whole manifest",
    ),
    row(
        "the manifest, at a start or after a gap",
        "names all files",
        |m| Ok(bytes(m.settings(Quantity::ManifestBytes)?)),
        "files: about 9,000 fit into the largest value",
    ),
    row(
        "a change: passed on",
        "the first watcher sends the files that changed to the others of its data centre",
        |m| {
            let each = m.settings(Quantity::DeltaBytes)?;
            let sent = m.relay_targets() * m.relay_bytes()?;
            Ok(format!("{} each: {} sent", bytes(each), rate(sent)))
        },
        "a peer more than 64 changes behind gets the whole folder",
    ),
    row(
        "the whole folder, to an entry that starts",
        "in parts of 256 KiB, 25 ms apart",
        |m| {
            let plain = m.settings(Quantity::WireBytes)?;
            let written_out = m.at(Probe::WrittenOut, Quantity::WireBytes, m.size.workers)?;
            Ok(format!("{}; {} with every worker written out", bytes(plain), bytes(written_out)))
        },
        "the folder's limit of 16 MiB",
    ),
    row(
        "the folder in memory",
        "files and `site::Site`",
        |m| Ok(bytes(m.settings(Quantity::HeapBytes)?)),
        "nothing near",
    ),
];

const MEMBER: [Row; 3] = [
    row(
        "heartbeats",
        "every 500 ms to all of the region (of the data centre, for entries that don't place) and \
         two of each other data centre",
        |m| {
            let connections = m.connections()?;
            Ok(format!("{} peers: {} sent", number(connections), rate(m.heartbeat_bytes()?)))
        },
        "entries of a region, see the table above",
    ),
    row(
        "connections",
        "one QUIC connection a peer",
        |m| {
            let each = m.at(Probe::Connection, Quantity::HeapBytes, 16.0)?;
            Ok(format!("{} of {}", number(m.connections()?), bytes(each)))
        },
        "nothing near",
    ),
    row(
        "usage of firms with a quota",
        "`Message::Usage` to all live entries, by tenths of the quota",
        |m| {
            let (sent, size) = (m.usage_messages()?, m.usage_bytes()?);
            Ok(format!("{}/s: {} sent", number(sent), rate(size)))
        },
        "entries times task starts",
    ),
];

const OPERATOR: [Row; 2] = [
    row(
        "`apply`: check and compare",
        "`settings::parse` and `settings::diff` of the whole folder",
        |m| {
            let parse = m.settings(Quantity::ParseNs)?;
            let diff = m.settings(Quantity::DiffNs)?;
            Ok(format!("{} and {}", time(parse), time(diff)))
        },
        "nothing near",
    ),
    row(
        "`apply`: write",
        "changed files by their digests, then one compare-and-swap of the manifest",
        |m| {
            let manifest = m.settings(Quantity::ManifestBytes)?;
            let calls = m.settings(Quantity::Calls)?;
            Ok(format!("{} calls, {} read and written", number(calls), bytes(2.0 * manifest)))
        },
        "operators that race: one wins each round, the others start again",
    ),
];
