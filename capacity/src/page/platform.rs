//! Section of the page on the calls that entries make to the platform's service.

use super::{
    model::{CLAIM_WRITES_PER_SEC, DAY_SECS, Model, WATCHERS_PER_DATA_CENTRE},
    text::{Table, bytes, number},
};
use crate::{
    Error,
    slope::{Probe, Quantity},
};

/// Seconds between renewals of a registration.
const RENEWAL_INTERVAL_SECS: f64 = 5.0;

/// Calls of a new process besides those for its settings: lease, read and write of its
/// registration; lists and watches of entries and VMs.
const START_CALLS: f64 = 7.0;

/// Settings files read by one call; the manifest takes one call more.
const FILES_PER_CALL: f64 = 64.0;

pub(super) fn render(today: &Model<'_>, full: &Model<'_>) -> Result<String, Error> {
    let mut table = Table::new(["calls", "mechanism", "today", "full size", "grows with"]);
    let mut row = |what: &str,
                   mechanism: &str,
                   value: fn(&Model<'_>) -> Result<f64, Error>,
                   unit: &str,
                   grows: &str|
     -> Result<(), Error> {
        let show = |model| Ok::<_, Error>(format!("{}{unit}", number(value(model)?)));
        table.row([what.into(), mechanism.into(), show(today)?, show(full)?, grows.into()]);
        Ok(())
    };
    row(
        "waiting watches",
        "entries and VMs at each entry; settings at two of each data centre",
        |m| Ok(watches(m)),
        "",
        "entries",
    )?;
    row(
        "renewals, writes",
        "a lease of 15 s, renewed every 5 s",
        |m| Ok(renewals(m)),
        "/s",
        "entries",
    )?;
    row(
        "settings, writes",
        "`apply`: changed files, then the manifest",
        |m| Ok(2.0 * m.changes()),
        "/s",
        "changes",
    )?;
    row(
        "settings, reads",
        "one transaction of each watcher for a change, one of `apply`",
        |m| Ok(settings_reads(m)),
        "/s",
        "changes and data centres",
    )?;
    row(
        "starts of entries, calls",
        "register, list, watch, fetch; if every restart of the day were an entry's",
        start_calls_per_sec,
        "/s",
        "restarts, and files",
    )?;
    row(
        "claims, writes at most",
        "group commit within 2 ms, a budget of 20/s for each entry",
        |m| Ok(CLAIM_WRITES_PER_SEC * m.size.entries),
        "/s",
        "entries; is to be divided, see below",
    )?;
    row(
        "claims, reads at most",
        "one for each write",
        |m| Ok(CLAIM_WRITES_PER_SEC * m.size.entries),
        "/s",
        "the same",
    )?;
    row("writes without claims", "", |m| Ok(renewals(m) + 2.0 * m.changes()), "/s", "")?;
    row(
        "reads without claims",
        "watches counted as calls of one second",
        |m| Ok(watches(m) + settings_reads(m) + start_calls_per_sec(m)?),
        "/s",
        "",
    )?;
    let document = full.at(Probe::Claim, Quantity::HeapBytes, 2_000.0)?;
    let limit = platform::claim::DOCUMENT_LIMIT as f64;
    let commit = full.at(Probe::Claim, Quantity::CpuNs, limit / document)?;
    Ok(format!(
        "## The platform's service

It takes several hundred writes and about 2,000 reads a second; 300 writes are taken as the limit.
Without claims the entries use a small part of both, and that part grows with entries and changes,
not with workers, firms or tasks. Submissions under identifiers need no call at all.

{table}
A claim takes {calls} calls and {document} in its document. A document of {limit} costs the entry
{commit} of processor time for each commit, and twice its bytes. The {shards} documents hold {keys}
new keys a second in the mean of a day: at today's peak of {today} submissions a second not quite all
could use a key of their own, and at full size {share} of them.
",
        calls = number(full.at(Probe::Claim, Quantity::Calls, 2_000.0)?),
        document = bytes(document),
        limit = bytes(limit),
        commit = super::text::time(commit),
        shards = number(super::model::CLAIM_DOCUMENTS),
        keys = number(full.max_new_keys()?),
        today = number(today.size.starts / super::model::MEAN_JOB_TASKS),
        share = format_args!(
            "{:.1}%",
            100.0 * full.max_new_keys()? / (full.size.starts / super::model::MEAN_JOB_TASKS)
        ),
    ))
}

fn watches(model: &Model<'_>) -> f64 {
    let settings =
        WATCHERS_PER_DATA_CENTRE.min(model.entries_per_data_centre()) * model.size.data_centres;
    2.0 * model.size.entries + settings
}

fn renewals(model: &Model<'_>) -> f64 {
    model.size.entries / RENEWAL_INTERVAL_SECS
}

fn settings_reads(model: &Model<'_>) -> f64 {
    model.changes() * (WATCHERS_PER_DATA_CENTRE * model.size.data_centres + 1.0)
}

fn start_calls_per_sec(model: &Model<'_>) -> Result<f64, Error> {
    Ok((model.size.restarts + model.size.failures) / DAY_SECS * start_calls(model)?)
}

/// Calls of a process that starts, with those for the manifest and the files.
pub(super) fn start_calls(model: &Model<'_>) -> Result<f64, Error> {
    Ok(START_CALLS + 1.0 + (model.settings(Quantity::Files)? / FILES_PER_CALL).ceil())
}
