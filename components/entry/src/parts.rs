//! Splits settings deltas into parts that fit into a frame, and reassembles them. Does no I/O.

use crate::folder::Delta;
use bytes::Bytes;
use compact_str::CompactString;
use dispatch::message::Settings;
use settings::limit::{MAX_FILES, MAX_FOLDER_BYTES};
use site::id::Home;
use std::mem;

/// Maximum bytes of file names and contents in one part. A part that consists of one larger file
/// exceeds this and still fits into a frame.
pub const MAX_PART_BYTES: usize = 256 << 10;

/// Upper bound of the encoding overhead of a file or name, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 16;

/// Splits a delta into one or more parts, in the order in which they must be sent.
pub fn split(delta: Delta) -> Vec<Settings> {
    let mut splitter = Splitter::default();
    for (name, text) in delta.files {
        splitter.make_room(name.len() + text.len() + ITEM_OVERHEAD_BYTES);
        splitter.open.files.push((name.into(), text.into()));
    }
    for name in delta.removed {
        splitter.make_room(name.len() + ITEM_OVERHEAD_BYTES);
        splitter.open.removed.push(name.into());
    }
    let mut parts = splitter.full;
    parts.push(splitter.open);
    let last = parts.len() - 1;
    for (index, part) in parts.iter_mut().enumerate() {
        part.revision = delta.revision;
        part.base = delta.base;
        part.part = index as u32;
        part.last = index == last;
    }
    parts
}

#[derive(Default)]
struct Splitter {
    full: Vec<Settings>,
    open: Settings,
    /// Size of `open` so far.
    bytes: usize,
}

impl Splitter {
    /// Completes the open part if `bytes` more would exceed [`MAX_PART_BYTES`].
    fn make_room(&mut self, bytes: usize) {
        if self.bytes > 0 && self.bytes + bytes > MAX_PART_BYTES {
            self.full.push(mem::take(&mut self.open));
            self.bytes = 0;
        }
        self.bytes += bytes;
    }
}

/// Result of adding a part to a [`Reassembly`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reassembled {
    /// The part completes the delta.
    Complete(Delta),
    /// More parts of the delta are missing.
    Partial,
    /// The part was dropped: it does not follow the previous one, or the delta is too large.
    Dropped,
}

/// Collects the parts of a delta. Holds one delta at a time, which bounds its memory.
#[derive(Clone, Debug, Default)]
pub struct Reassembly {
    partial: Option<Partial>,
}

#[derive(Clone, Debug)]
struct Partial {
    from: Home,
    next: u32,
    bytes: usize,
    delta: Delta,
}

impl Reassembly {
    /// Adds a part. The first part of a delta replaces an incomplete delta from another peer unless
    /// that one has the same or a higher revision.
    pub fn push(&mut self, from: Home, part: Settings) -> Reassembled {
        if part.part == 0 && part.last {
            return Reassembled::Complete(delta(part));
        }
        if part.part == 0 && !self.has_newer(from, &part) {
            let (base, revision) = (part.base, part.revision);
            let delta = Delta { base, revision, ..Delta::default() };
            self.partial = Some(Partial { from, next: 0, bytes: 0, delta });
        }
        let Some(partial) = self.partial.as_mut().filter(|found| found.precedes(from, &part))
        else {
            return Reassembled::Dropped;
        };
        let last = part.last;
        partial.add(part);
        if partial.is_too_large() {
            self.partial = None;
            return Reassembled::Dropped;
        }
        match self.partial.take_if(|_| last) {
            Some(complete) => Reassembled::Complete(complete.delta),
            None => Reassembled::Partial,
        }
    }

    /// Discards the incomplete delta of a peer.
    pub fn remove_peer(&mut self, peer: Home) {
        self.partial.take_if(|partial| partial.from == peer);
    }

    fn has_newer(&self, from: Home, part: &Settings) -> bool {
        let newer = |found: &Partial| found.from != from && found.delta.revision >= part.revision;
        self.partial.as_ref().is_some_and(newer)
    }
}

impl Partial {
    fn precedes(&self, from: Home, part: &Settings) -> bool {
        let delta = &self.delta;
        let same = delta.revision == part.revision && delta.base == part.base;
        same && self.from == from && self.next == part.part
    }

    fn add(&mut self, part: Settings) {
        let part = delta(part);
        self.next += 1;
        self.bytes += part.files.values().map(Bytes::len).sum::<usize>();
        self.delta.files.extend(part.files);
        self.delta.removed.extend(part.removed);
    }

    fn is_too_large(&self) -> bool {
        let names = self.delta.files.len().max(self.delta.removed.len());
        self.bytes > MAX_FOLDER_BYTES || names > MAX_FILES
    }
}

fn delta(part: Settings) -> Delta {
    let file = |(name, text): (String, Vec<u8>)| (CompactString::from(name), Bytes::from(text));
    Delta {
        base: part.base,
        revision: part.revision,
        files: part.files.into_iter().map(file).collect(),
        removed: part.removed.into_iter().map(CompactString::from).collect(),
    }
}
