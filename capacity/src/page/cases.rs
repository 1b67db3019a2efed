//! Section of the page on worked failure cases at full size.

use super::{
    model::{DAY_SECS, MEAN_JOB_TASKS, MEAN_RUN_TIME_SECS, Model, Size},
    platform::start_calls,
    text::{bytes, core, number, rate, time},
};
use crate::{
    Error,
    slope::{Probe, Quantity},
};

/// VMs replaced while the platform's service is unavailable.
const REPLACED_VMS: f64 = 25.0;

/// Retried calls per second of an entry while the service is unavailable: two watches every second
/// and the registration every 5 s.
const ENTRY_RETRIES_PER_SEC: f64 = 2.0 + 0.2;

/// Retried calls per second of one watcher of the settings, of which each data centre has two: one
/// every half second.
const SETTINGS_RETRIES_PER_SEC: f64 = 2.0;

/// Duration of a region's network partition, in seconds.
const PARTITION_SECS: f64 = 300.0;

pub(super) fn render(full: &Model<'_>) -> Result<String, Error> {
    let parts = [outage(full)?, data_centre_loss(full)?, restarts(full)?, region_partition(full)?];
    Ok(format!("## Worked cases at full size\n\n{}", parts.join("\n")))
}

fn outage(full: &Model<'_>) -> Result<String, Error> {
    let size = &full.size;
    let changes = size.changes / 24.0;
    let settings = full.settings(Quantity::WireBytes)?;
    let tried =
        size.entries * ENTRY_RETRIES_PER_SEC + 2.0 * size.data_centres * SETTINGS_RETRIES_PER_SEC;
    let calls = start_calls(full)?;
    Ok(format!(
        "### The service out for an hour, {replaced} replacements in it

* *Goes on:* every submission under an identifier, heartbeats, placement, lending, cancellation.
  Registrations lapse after 15 s; nobody takes that for a death. Settings in force stay.
* *Refused:* new keys of callers, at once (`platform-out`, not run if the caller says that it is the
  first time); {changes} changes of the operators, whose command says that the service is out.
* *Replacements:* if all {replaced} were entries, nearly every entry would be new. A new one reaches
  others by the `seeds` of its daemon's settings only, becomes a member by its connections, and asks
  them for the settings: {settings} each, {all} together. Without seeds it stays unready. In a
  planned replacement the table is handed over first, so answers survive.
* *Old homes:* under the same name the old process counts as gone when the new one is heard 1.5 s
  after its last sign of life. Under a new name it is only unreachable, since the list of VMs stands
  still: its submissions are answered `home-unreachable` until their deadlines.
* *Load of retries:* {tried} calls a second in all besides claims, of about 2,000 that it takes.
* *Afterwards:* {entries} registrations and fetches at about {calls} calls, {burst} within a second
  or two, as retries are every second without jitter; then one change to the newest settings, whatever
  was written.
",
        replaced = number(REPLACED_VMS),
        changes = number(changes.round()),
        settings = bytes(settings),
        all = bytes(settings * REPLACED_VMS),
        tried = number(tried),
        entries = number(size.entries),
        calls = number(calls),
        burst = number(size.entries * calls),
    ))
}

fn data_centre_loss(full: &Model<'_>) -> Result<String, Error> {
    let size = full.size;
    let part = 1.0 / size.data_centres;
    let remaining =
        Size { entries: size.entries * (1.0 - part), workers: size.workers * (1.0 - part), ..size };
    let reduced = full.resized(remaining);
    let running = size.starts * MEAN_RUN_TIME_SECS;
    let region_workers = size.workers * 3.0 / size.data_centres;
    Ok(format!(
        "### A data centre lost at the peak

* *Lost at once:* {workers} workers with {running} running tasks, and {entries} entries, homes of
  {homes:.0}% of the open submissions. Those answer `failed, may have run`: {open} submissions if one
  is open for a second. Jobs of the other entries that had a task there which may not be repeated
  fail; repeatable tasks are tried elsewhere as far as the firm's budget of retries goes. Repeatable
  single requests of a lost home go to another entry within their deadline.
* *Noticed:* connections to workers after 4 s without an acknowledgement, 9 s where nothing was on
  its way; entries after 1.5 s of silence. Each of the six entries of the region rekeys three
  times, {rekey} each.
* *Capacity left:* {cores} cores for {needed} in use. Each of the {rest} entries goes from {before}
  to {after} of a core.
* *Balancer:* callers reach the others; a token of a lost home is refused with `home-gone` once the
  list of VMs says so, and `home-unreachable` before.
",
        workers = number(size.workers * part),
        running = number(running * part),
        entries = number(size.entries * part),
        homes = 100.0 * part,
        open = number(size.starts / MEAN_JOB_TASKS * part),
        rekey = time(full.at(Probe::Endpoint, Quantity::RekeyNs, region_workers)?),
        cores = number(remaining.workers * 64.0),
        needed = number(running),
        rest = number(remaining.entries),
        before = core(full.data_cpu()?),
        after = core(reduced.data_cpu()?),
    ))
}

fn restarts(full: &Model<'_>) -> Result<String, Error> {
    let size = &full.size;
    let share = size.entries / (size.entries + size.workers + size.executors);
    let table = full.handover_bytes()?;
    let cpu = full.records() * full.at(Probe::Handover, Quantity::CpuNs, MEAN_JOB_TASKS)?;
    let parts =
        (full.records() * full.at(Probe::Handover, Quantity::Messages, MEAN_JOB_TASKS)?).max(1.0);
    let all = size.restarts * table / DAY_SECS / size.entries;
    let lost = full.starts() * MEAN_RUN_TIME_SECS;
    Ok(format!(
        "### 600 restarts a day, as handovers

* *How many:* entries are {share:.1}% of the VMs, so {few} restarts a day are theirs. The figures
  below take all {restarts} as entries'.
* *One handover:* the entry admits nothing more, waits for what is open (most within a second, the
  longest tasks 5 s), then sends {records} records: {table} and the bodies of answers, in {parts}
  parts, {cpu} of processor time at both ends without encoding. The successor remembers them for 120
  s, at the peak twice as many as its own.
* *A day:* {all} for each entry in the mean if all restarts fell into the peak. That is work's state,
  not control; with the share that entries have it is {small}.
* *Breaks first:* one part is under way at a time; what has not arrived after 10 s is lost with the
  process, see above.
* *Unplanned:* {failures} failures a day, {deaths} of them entries'. One takes its open work with it:
  {lost} running tasks, {part:.1}% of the site's, which answer `failed, may have run`; and answers
  that nobody had fetched. In a day that is {ratio} of all tasks at the peak's rate.
",
        share = 100.0 * share,
        few = number(size.restarts * share),
        restarts = number(size.restarts),
        records = number(full.records()),
        table = bytes(table),
        parts = number(parts.ceil()),
        cpu = time(cpu),
        all = rate(all),
        small = rate(all * share),
        failures = number(size.failures),
        deaths = number(size.failures * share),
        lost = number(lost),
        part = 100.0 / size.entries,
        ratio = format_args!("{:.1e}", size.failures * share * lost / (size.starts * DAY_SECS)),
    ))
}

fn region_partition(full: &Model<'_>) -> Result<String, Error> {
    let size = &full.size;
    let third = size.entries / 3.0;
    let changes = full.changes() * PARTITION_SECS;
    let settings = full.settings(Quantity::WireBytes)?;
    Ok(format!(
        "### A region cut off for 5 minutes, and healed

* *Goes on* on both sides: the region's {entries} entries keep its {workers} workers, admit and
  answer what their callers submit under identifiers of homes that they reach.
* *Refused:* what names a home on the other side: `home-unreachable`, may have run, come back after
  1 s; the final answer at the deadline is `failed, may have run`. New keys of callers where the
  platform's service can't be reached. Tasks that ran on capacity lent across the cut are lost to
  their home.
* *Not kept:* quotas. Each side forgets what the other runs after 1.5 s, so a firm that submits on
  both sides can run up to twice its quota. Settings: {changes} changes are accepted meanwhile and
  not in force in the region.
* *Healing:* connections come back within 2 s (the longest pause between attempts), heartbeats with
  them. Members were not forgotten, that takes 10 minutes; an entry that fell silent several times is
  held for up to 30 s. Requests that wait for a home are sent again when it is back, under their
  identifiers, so nothing starts twice.
* *Settings:* the first heartbeat tells the newer revision. Up to 64 changes come as one delta; had
  there been more, the whole folder, {settings} for each entry that asks.
* *Registrations:* {entries} processes register again, {calls} calls in all.
* *Rekeying:* neither side moved endpoints of the other's region, as entries keep endpoints of their
  own region only; {rekey} for each change of distant members.
",
        entries = number(third),
        workers = number(size.workers / 3.0),
        changes = number(changes.round()),
        settings = bytes(settings),
        calls = number(3.0 * third),
        rekey = time(full.at(Probe::Endpoint, Quantity::RekeyNs, size.workers / 3.0)?),
    ))
}
