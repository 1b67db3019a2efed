//! Measures a change of the settings.

use super::{Sink, encode};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{self, Folder, Style},
        load::{entry, home},
        peers,
        store::MemoryStore,
    },
    measure::{min_time, timed, with_heap_growth},
};
use bytes::Bytes;
use dispatch::{Entry, Event, Message, message::Settings};
use platform::{manifest, path};
use settings::Files;
use site::unit::{Revision, Time};
use smol::block_on;
use std::sync::Arc;
use uuid::Uuid;
use wire::{Frame, frame::PREFIX_BYTES};

/// Numbers of data centres, workers and firms.
const SIZES: [(usize, usize, usize); 3] = [(3, 50, 4), (9, 570, 63), (9, 5_700, 630)];

/// Live entries in each data centre.
const ENTRIES_PER_DATA_CENTRE: usize = 3;

/// Number of accepted changes: as many as a manifest remembers.
const ACCEPTED_CHANGES: u64 = 64;

const RUNS: usize = 5;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    for (probe, style) in
        [(Probe::Settings, Style::Numbered), (Probe::WrittenOut, Style::WrittenOut)]
    {
        for (data_centres, workers, firms) in SIZES {
            let quota = Some(240);
            let folder = Folder { data_centres, executors: 50, workers, firms, quota, style };
            sink(point(probe, &folder)?)?;
        }
    }
    Ok(())
}

fn point(probe: Probe, folder: &Folder) -> Result<Point, Error> {
    let (files, stored) = with_heap_growth(|| folder.files());
    let (checked, described) = with_heap_growth(|| settings::parse(&files));
    let site = Arc::new(checked?.site);
    let parse = min_time(RUNS, || settings::parse(&files).is_ok());
    let (changed, change) = change_weight(&files);
    let diff = min_time(RUNS, || settings::diff(&files, &changed).len());
    let entry = entry(home(0, 0), site.clone(), 1);
    let homes = peers::homes(folder.data_centres, ENTRIES_PER_DATA_CENTRE);
    peers::connect(&entry, Time(1), &homes, &mut Vec::new());
    let message = settings_message(&files, Revision(0));
    let delta = settings_message(&changed_file(&changed), Revision(1_000_000));
    let frame = encode(&message)?;
    let codec = min_time(RUNS, || -> Result<Frame, Error> {
        Ok(Frame::decode(&encode(&message)?[PREFIX_BYTES..])?)
    });
    let values = [
        (Quantity::ParseNs, parse),
        (Quantity::DiffNs, diff),
        (Quantity::AdoptNs, adopt(&entry, &site)),
        (Quantity::CodecNs, codec),
        (Quantity::WireBytes, frame.len() as f64),
        (Quantity::DeltaBytes, encode(&delta)?.len() as f64),
        (Quantity::Files, files.len() as f64),
        (Quantity::FolderBytes, files.values().map(Bytes::len).sum::<usize>() as f64),
        (Quantity::ChangeBytes, change as f64),
        (Quantity::HeapBytes, stored + described),
    ];
    let accepted = accept(&files, &changed)?;
    Ok(Point::new(probe, folder.workers, values.into_iter().chain(accepted)))
}

/// Returns the files with another weight for one firm, and the length of that firm's file.
fn change_weight(files: &Files) -> (Files, usize) {
    let mut changed = files.clone();
    let name = changed_file_name();
    let before = changed.get(name.as_str()).cloned().unwrap_or_default();
    let text = String::from_utf8_lossy(&before).replacen("\"weight\": 2", "\"weight\": 3", 1);
    let length = text.len();
    changed.insert(name.into(), Bytes::from(text));
    (changed, length)
}

/// Returns the message that an entry sends to a peer with revision `base`, which is 0 for a peer
/// without settings.
fn settings_message(files: &Files, base: Revision) -> Message {
    let files = files.iter().map(|(name, text)| (name.to_string(), text.to_vec())).collect();
    let revision = Revision(1_000_001);
    Message::Settings(Settings { revision, base, part: 0, last: true, files, removed: vec![] })
}

/// Returns only the file that [`change_weight`] changes.
fn changed_file(files: &Files) -> Files {
    files
        .iter()
        .filter(|(name, _)| **name == changed_file_name())
        .map(|(n, t)| (n.clone(), t.clone()))
        .collect()
}

fn changed_file_name() -> String {
    format!("50-{}.json", folder::firm(1))
}

/// Returns the least processor time, in nanoseconds, of putting parsed settings into force: index,
/// pools and keepers.
fn adopt(entry: &Entry, site: &Arc<site::Site>) -> f64 {
    let mut least = f64::INFINITY;
    let mut out = Vec::new();
    for revision in 0..RUNS as u64 {
        let event = Event::Settings { revision: Revision(10 + revision), site: site.clone() };
        let ((), time) = timed(|| entry.handle(Time(2 + revision), event, &mut out));
        least = least.min(time);
    }
    least
}

/// Writes `files` to the store, then alternates between `changed` and `files`, and returns the
/// sizes and calls of the last change.
fn accept(files: &Files, changed: &Files) -> Result<[(Quantity, f64); 3], Error> {
    let store = MemoryStore::default();
    let mut before = 0;
    for revision in 0..ACCEPTED_CHANGES {
        before = store.calls();
        let files = if revision % 2 == 0 { files } else { changed };
        let change = Uuid::from_u64_pair(revision, u64::MAX);
        let accepted = manifest::accept(&store, Revision(revision), files, change);
        block_on(accepted)?;
    }
    Ok([
        (Quantity::ManifestBytes, store.size(path::MANIFEST) as f64),
        (Quantity::ChangesBytes, store.size(path::CHANGES) as f64),
        (Quantity::Calls, (store.calls() - before) as f64),
    ])
}
