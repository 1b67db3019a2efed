//! Measures the heartbeats between entries.

use super::{Sink, encode, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{folder::Folder, load::entry, peers},
    measure::{heap, timed},
};
use dispatch::{Action, Entry, Event, Message};
use site::{
    id::Home,
    unit::{Span, Time},
};

/// Numbers of data centres and of entries of the whole site: today's first, then several numbers of
/// entries with the data centres of full size.
const LAYOUTS: [(usize, usize); 5] = [(3, 8), (9, 9), (9, 27), (9, 54), (9, 108)];

/// Data centres in each region.
const DATA_CENTRES_PER_REGION: usize = 3;

/// Cores of each worker.
const CORES_PER_WORKER: usize = 64;

/// Entries per lead entry, where not all place tasks.
const ENTRIES_PER_LEAD: usize = 3;

/// Heartbeats that each peer sends during the measurement.
const HEARTBEATS_PER_PEER: u64 = 20;

const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    for probe in [Probe::Lead, Probe::Other] {
        for (data_centres, entries) in LAYOUTS {
            let region_entries = entries * DATA_CENTRES_PER_REGION / data_centres;
            let leads = if probe == Probe::Lead {
                region_entries
            } else {
                region_entries.div_ceil(ENTRIES_PER_LEAD)
            };
            sink(min_of_runs(|| point(probe, data_centres, entries, leads))?)?;
        }
    }
    Ok(())
}

fn point(probe: Probe, data_centres: usize, entries: usize, leads: usize) -> Result<Point, Error> {
    let workers = 633 * data_centres;
    let site = Folder { data_centres, workers, ..Folder::default() }.site()?;
    let slots_per_lead =
        ((633 * DATA_CENTRES_PER_REGION * CORES_PER_WORKER) as u32).div_ceil(leads as u32);
    let mut homes = peers::homes(data_centres, entries.div_ceil(data_centres));
    homes.truncate(entries);
    let region: Vec<_> = (0..DATA_CENTRES_PER_REGION).map(peers::data_centre).collect();
    let candidates = homes.iter().copied().filter(|home| region.contains(&home.data_centre));
    for own in candidates {
        let entry = entry(own, site.clone(), slots_per_lead);
        let before = heap();
        peers::connect(&entry, Time(1), &homes, &mut Vec::new());
        let grown = (heap() - before) / (homes.len() - 1) as f64;
        if entry.leads().contains(&own) == (probe == Probe::Lead) {
            return measure_beats(probe, &entry, &homes, grown);
        }
    }
    Err(Error::Unexpected { probe, expected: 1, found: 0 })
}

/// Advances virtual time while all peers send heartbeats.
fn measure_beats(probe: Probe, entry: &Entry, homes: &[Home], grown: f64) -> Result<Point, Error> {
    let mut out = Vec::new();
    let ((), time) = timed(|| {
        for beat in 1..=HEARTBEATS_PER_PEER {
            let now = Time(1) + Span(HEARTBEAT_INTERVAL.0 * beat);
            for from in homes.iter().filter(|home| **home != entry.home()) {
                let message = peers::heartbeat(0);
                entry.handle(now, Event::Message { from: *from, message }, &mut out);
            }
            entry.handle(now, Event::Tick, &mut out);
        }
    });
    let sent: Vec<&Message> = out
        .iter()
        .filter_map(|action| match action {
            Action::Send { message: message @ Message::Heartbeat(_), .. } => Some(message),
            _ => None,
        })
        .collect();
    let seconds = (HEARTBEATS_PER_PEER * HEARTBEAT_INTERVAL.0) as f64 / 1e6;
    let bytes: f64 =
        sent.iter().map(|beat| Ok(encode(beat)?.len() as f64)).sum::<Result<_, Error>>()?;
    let values = [
        (Quantity::BeatsPerSecond, sent.len() as f64 / seconds),
        (Quantity::WireBytesPerSecond, bytes / seconds),
        (Quantity::CpuNsPerSecond, time / seconds),
        (Quantity::HeapBytes, grown),
    ];
    Ok(Point::new(probe, homes.len(), values))
}
