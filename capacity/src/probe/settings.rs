//! A change of the settings.

use super::{Sink, encode};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{self, Folder, Style},
        load::{entry, home},
        peers,
        store::Memory,
    },
    measure::{least, timed, weighed},
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

/// Data centres, workers, firms.
const SIZES: [(usize, usize, usize); 3] = [(3, 50, 4), (9, 570, 63), (9, 5_700, 630)];

/// Entries that are live.
const ENTRIES: usize = 3;

/// Accepted changes: as many as a manifest remembers.
const HISTORY: u64 = 64;

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
    let (files, stored) = weighed(|| folder.files());
    let (checked, described) = weighed(|| settings::parse(&files));
    let site = Arc::new(checked?.site);
    let parse = least(RUNS, || settings::parse(&files).is_ok());
    let (changed, change) = change(&files);
    let diff = least(RUNS, || settings::diff(&files, &changed).len());
    let entry = entry(home(0, 0), site.clone(), 1);
    let homes = peers::homes(folder.data_centres, ENTRIES);
    peers::meet(&entry, Time(1), &homes, &mut Vec::new());
    let message = passed_on(&files, Revision(0));
    let delta = passed_on(&changed_file(&changed), Revision(1_000_000));
    let frame = encode(&message)?;
    let codec = least(RUNS, || -> Result<Frame, Error> {
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

/// The same with another weight for one firm, and the length of its file.
fn change(files: &Files) -> (Files, usize) {
    let mut changed = files.clone();
    let name = changed_name();
    let before = changed.get(name.as_str()).cloned().unwrap_or_default();
    let text = String::from_utf8_lossy(&before).replacen("\"weight\": 2", "\"weight\": 3", 1);
    let length = text.len();
    changed.insert(name.into(), Bytes::from(text));
    (changed, length)
}

/// What an entry sends to one that has `base`; 0 for nothing.
fn passed_on(files: &Files, base: Revision) -> Message {
    let files = files.iter().map(|(name, text)| (name.to_string(), text.to_vec())).collect();
    let revision = Revision(1_000_001);
    Message::Settings(Settings { revision, base, part: 0, last: true, files, removed: vec![] })
}

/// The file that [`change`] changes.
fn changed_file(files: &Files) -> Files {
    files
        .iter()
        .filter(|(name, _)| **name == changed_name())
        .map(|(n, t)| (n.clone(), t.clone()))
        .collect()
}

fn changed_name() -> String {
    format!("50-{}.json", folder::firm(1))
}

/// Index, pools and keepers.
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

/// Has the store accept `files` and then changes between `files` and `changed`.
fn accept(files: &Files, changed: &Files) -> Result<[(Quantity, f64); 3], Error> {
    let store = Memory::default();
    let mut before = 0;
    for revision in 0..HISTORY {
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
