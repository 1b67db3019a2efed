//! Entries of this data centre that are lost before their registrations lapse.
//!
//! Each entry reports which listed entries of its data centre it has lost. An entry is lost once
//! most of those that are still heard from report so. An entry that hears from half of its data
//! centre or less may be the one that is cut off, and considers nobody lost.

use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{EntryId, Home},
    unit::{Span, Time},
};

/// Maximum number of losses in a report, which bounds its size while a data centre fails. Further
/// entries are lost when their registrations lapse.
const MAX_REPORTED: usize = 16;

/// How long a disconnected entry is remembered after it was last heard from if the store no longer
/// lists it: its executors are taken over within that time.
const RETENTION: Span = Span::from_secs(4);

/// The entries of this data centre that this entry has lost, and what others report of losses.
#[derive(Debug, Default)]
pub(super) struct Lost {
    /// Entries whose connections were lost, each with the time when it was last heard from.
    silent: FxHashMap<Home, Time>,
    /// The losses that each connected entry reports.
    reported: FxHashMap<Home, Vec<Home>>,
    /// The highest fencing token that each connected or silent entry has reported.
    tokens: FxHashMap<Home, u64>,
    /// The losses that this entry reports, sorted.
    own: Vec<Home>,
    /// Entries that are considered lost, sorted.
    confirmed: Vec<Home>,
    /// When this process last resumed after a pause. The silence of others is counted from then.
    resumed: Time,
}

/// The entries of a data centre that a decision is based on.
pub(super) struct Known<'a> {
    /// Entries that the store lists.
    pub(super) listed: &'a [Home],
    /// Connected entries.
    pub(super) connected: &'a FxHashSet<Home>,
}

/// Numbers of entries of a data centre.
pub(super) struct Heard {
    /// Those that are heard from, this one included.
    pub(super) heard: usize,
    /// All that are known.
    pub(super) all: usize,
}

impl Known<'_> {
    /// Counts the entries of this entry's data centre.
    pub(super) fn count(&self, me: Home) -> Heard {
        let near = |home: &&Home| home.data_centre == me.data_centre;
        let connected = self.connected.iter().filter(near).map(|home| home.entry);
        let heard: FxHashSet<EntryId> = connected.chain([me.entry]).collect();
        let listed = self.listed.iter().filter(near).map(|home| home.entry);
        let all: FxHashSet<EntryId> = listed.chain(heard.iter().copied()).collect();
        Heard { heard: heard.len(), all: all.len() }
    }
}

impl Lost {
    /// Records a connection: no process of the entry is lost.
    pub(super) fn connect(&mut self, peer: Home) {
        self.silent.retain(|home, _| home.entry != peer.entry);
        self.own.retain(|home| home.entry != peer.entry);
        self.confirmed.retain(|home| home.entry != peer.entry);
    }

    /// Records the loss of a connection to an entry that was last heard from at `heard`.
    pub(super) fn disconnect(&mut self, peer: Home, heard: Time) {
        self.silent.insert(peer, heard);
    }

    /// Drops what an entry reported, once it is no longer connected.
    pub(super) fn forget_reports(&mut self, peer: Home) {
        self.reported.remove(&peer);
    }

    /// Records a report of a connected entry.
    pub(super) fn record_report(&mut self, from: Home, lost: Vec<Home>, token: u64) {
        match lost.is_empty() {
            true => self.reported.remove(&from),
            false => self.reported.insert(from, lost),
        };
        self.tokens.insert(from, token);
    }

    /// Records that this process resumes after a pause.
    pub(super) fn resume(&mut self, now: Time) {
        self.resumed = now;
    }

    /// Updates the losses that this entry reports; returns whether there are new ones.
    pub(super) fn update_own(&mut self, now: Time, silence: Span, known: &Known<'_>) -> bool {
        if self.silent.is_empty() {
            return false;
        }
        self.silent
            .retain(|home, heard| known.listed.contains(home) || now.since(*heard) < RETENTION);
        let (silent, connected) = (&self.silent, known.connected);
        self.tokens.retain(|home, _| connected.contains(home) || silent.contains_key(home));
        let is_lost = |(home, heard): &(&Home, &Time)| {
            known.listed.contains(home) && now.since((**heard).max(self.resumed)) >= silence
        };
        let mut own: Vec<_> = silent.iter().filter(is_lost).map(|(home, _)| *home).collect();
        own.sort_unstable();
        own.truncate(MAX_REPORTED);
        let has_new = own.iter().any(|home| !self.own.contains(home));
        self.own = own;
        has_new
    }

    /// Updates which entries are considered lost; returns whether that changed.
    pub(super) fn confirm(&mut self, me: Home, known: &Known<'_>) -> bool {
        if self.own.is_empty() && self.confirmed.is_empty() {
            return false;
        }
        let Heard { heard, all } = known.count(me);
        let hears_most = heard * 2 > all;
        let is_confirmed = |home: &&Home| hears_most && (1 + self.reports_of(home)) * 2 > heard;
        let confirmed: Vec<_> = self.own.iter().filter(is_confirmed).copied().collect();
        let changed = confirmed != self.confirmed;
        self.confirmed = confirmed;
        changed
    }

    /// Number of connected entries that report the loss of an entry.
    fn reports_of(&self, lost: &Home) -> usize {
        self.reported.values().filter(|reported| reported.contains(lost)).count()
    }

    /// The losses that this entry reports.
    pub(super) fn own(&self) -> &[Home] {
        &self.own
    }

    /// Whether an entry is considered lost.
    pub(super) fn contains(&self, home: &Home) -> bool {
        self.confirmed.binary_search(home).is_ok()
    }

    /// The disconnected entries and when each was last heard from, the latest first.
    pub(super) fn latest_silent(&self) -> Vec<(Home, Time)> {
        let mut silent: Vec<_> = self.silent.iter().map(|(home, heard)| (*home, *heard)).collect();
        silent.sort_unstable_by_key(|(home, heard)| (std::cmp::Reverse(*heard), *home));
        silent
    }

    /// The highest fencing token that a disconnected entry has reported.
    pub(super) fn highest_token(&self) -> u64 {
        let tokens = self.silent.keys().filter_map(|home| self.tokens.get(home));
        tokens.copied().max().unwrap_or_default()
    }
}
