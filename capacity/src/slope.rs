//! Measurements at several sizes, and linear interpolation between them.

use crate::{Error, Machine};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, io::BufRead};

/// Kind of measurement. Each comment says what is measured and what `size` counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Probe {
    /// Queued tasks; size: tasks of each job.
    OpenTask,
    /// Finished submissions in the table; size: tasks of each submission.
    FinishedAnswer,
    /// Tasks from submission to answer, by job size; size: tasks of each job.
    Start,
    /// Tasks from submission to answer; size: endpoints that the entry keeps.
    StartByEndpoints,
    /// Tasks from submission to answer; size: firms.
    StartByFirms,
    /// Submissions forwarded to their home; size: tasks of each.
    Forward,
    /// Capacity lent and returned; size: endpoints of the keeper.
    Lend,
    /// Endpoints in an entry; size: endpoints.
    Endpoint,
    /// Firms with a quota in an entry; size: firms.
    Firm,
    /// Heartbeats of a lead entry; size: entries of the site.
    Lead,
    /// Heartbeats of an entry that places no tasks; size: entries of the site.
    Other,
    /// Exchange of usage of firms with quotas; size: live entries that receive it.
    Usage,
    /// Settings with numbered names; size: workers.
    Settings,
    /// Settings with every worker listed by itself; size: workers.
    WrittenOut,
    /// One key claim; size: claims that its document holds.
    Claim,
    /// Handover of a table; size: tasks of each submission in it.
    Handover,
    /// Connections between entries that carry heartbeats; size: connections.
    Connection,
    /// Calls of endpoints; size: concurrent calls.
    Call,
    /// Submissions over the callers' interface; size: tasks of each submission.
    Request,
    /// Lines of the decision log; size: lines logged in one burst.
    LogLine,
}

/// Quantity of a measurement. "Per item" means for one of what the probe measures, such as a task,
/// a key claim or a settings folder.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Processor time per item, in nanoseconds.
    CpuNs,
    /// Processor time of parsing the settings folder, in nanoseconds.
    ParseNs,
    /// Processor time of comparing two settings folders, in nanoseconds.
    DiffNs,
    /// Processor time of putting parsed settings into force, in nanoseconds.
    AdoptNs,
    /// Processor time of reassigning endpoints after a change of members, in nanoseconds.
    RekeyNs,
    /// Processor time of encoding and decoding, in nanoseconds.
    CodecNs,
    /// Processor time of a small message over a connection, both ends together, in nanoseconds.
    MessageNs,
    /// Memory per item, in bytes.
    HeapBytes,
    /// Encoded messages per item, in bytes.
    WireBytes,
    /// Encoded messages per second, in bytes.
    WireBytesPerSecond,
    /// UDP payload that one end sends per second, in bytes.
    UdpBytesPerSecond,
    /// Processor time per second, in nanoseconds.
    CpuNsPerSecond,
    /// Encoded bytes of a capacity request that names 64 firms.
    WishBytes,
    /// Messages per item.
    Messages,
    /// Heartbeats sent per second.
    BeatsPerSecond,
    /// Calls to the platform's service per item.
    Calls,
    /// Files in the settings folder.
    Files,
    /// Bytes of the settings folder.
    FolderBytes,
    /// Bytes of the settings manifest.
    ManifestBytes,
    /// Bytes of the document with the last changes.
    ChangesBytes,
    /// Bytes of one changed file.
    ChangeBytes,
    /// Encoded bytes of a change of one file.
    DeltaBytes,
    /// Bytes of a claim document.
    DocumentBytes,
}

/// Measurement of one probe at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Probe that took the measurement.
    pub probe: Probe,
    /// Size at which it was taken; see [`Probe`] for the unit.
    pub size: u64,
    /// Measured values by quantity.
    pub values: BTreeMap<Quantity, f64>,
}

impl Point {
    /// Creates a measurement of `values`.
    pub fn new(
        probe: Probe,
        size: usize,
        values: impl IntoIterator<Item = (Quantity, f64)>,
    ) -> Point {
        Point { probe, size: size as u64, values: values.into_iter().collect() }
    }
}

/// Line of the output of `capacity slopes`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum Line {
    /// Machine that the measurements were taken on.
    Machine(Machine),
    /// One measurement.
    Point(Point),
}

/// All measurements of one run.
#[derive(Clone, Debug)]
pub struct Slopes {
    /// Machine that they were taken on.
    pub machine: Machine,
    /// Measurements in the order of the run.
    pub points: Vec<Point>,
}

impl Slopes {
    /// Reads the output of `capacity slopes`.
    ///
    /// # Errors
    ///
    /// Returns an error if a line can't be read or parsed, or if none describes the machine.
    pub fn read(lines: impl BufRead) -> Result<Slopes, Error> {
        let (mut machine, mut points) = (None, Vec::new());
        for line in lines.lines() {
            match serde_json::from_str(&line?)? {
                Line::Machine(found) => machine = Some(found),
                Line::Point(point) => points.push(point),
            }
        }
        Ok(Slopes { machine: machine.ok_or(Error::NoMachine)?, points })
    }

    /// Returns the value at `size`, interpolated linearly between the measured sizes and
    /// extrapolated from the outermost two beyond them.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] when fewer than two sizes were measured.
    pub fn at(&self, probe: Probe, quantity: Quantity, size: f64) -> Result<f64, Error> {
        let points = self.points.iter().filter(|point| point.probe == probe);
        let value = |point: &Point| Some((point.size as f64, *point.values.get(&quantity)?));
        let mut known: Vec<(f64, f64)> = points.filter_map(value).collect();
        known.sort_by(|a, b| a.0.total_cmp(&b.0));
        let last = known.len().checked_sub(2).ok_or(Error::Missing { probe, quantity })?;
        let left = known.iter().rposition(|(at, _)| *at <= size).unwrap_or(0).min(last);
        let ((x0, y0), (x1, y1)) = (known[left], known[left + 1]);
        Ok(y0 + (y1 - y0) * (size - x0) / (x1 - x0))
    }
}
