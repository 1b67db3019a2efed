//! Replication of the settings files between entries. Does no I/O.
//!
//! * A watcher relays each change as a delta to the peers that are known to hold its base.
//! * An entry that learns of a newer revision, or receives a delta whose base it does not hold,
//!   sends a request with the revision that it holds. The response is a delta, or a snapshot of all
//!   files if that revision is too old for one.

use crate::{
    folder::Folder,
    parts::{Reassembled, Reassembly, split},
    tracker::Tracker,
};
use dispatch::{Message, message::Settings};
use settings::Files;
use site::{
    id::Home,
    unit::{Revision, Span, Time},
};
use std::collections::BTreeMap;

/// Time until a snapshot is sent again to a peer that repeats its request with an unchanged
/// revision. Until then the parts of the first snapshot may still be in transit.
pub const SNAPSHOT_RESEND_INTERVAL: Span = Span::from_secs(5);

/// Result of handling a message with settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A newer revision is held now.
    Updated,
    /// The message was accepted, but its delta is not complete yet.
    Incomplete,
    /// The message was dropped: it is outdated or out of order, or its base is missing and was
    /// already requested.
    Ignored,
    /// The base of the delta is missing; this request must be sent to the sender.
    Request(Message),
}

/// State of replication to a peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    /// Highest revision that the peer reported, sent or was sent; replaced by the one in its
    /// requests.
    held: Revision,
    /// When the last snapshot was sent to the peer, and the revision that it held then.
    snapshot: Option<(Time, Revision)>,
}

/// The settings files that an entry holds and the state of their replication. All times are of the
/// entry's own clock.
#[derive(Debug)]
pub struct Replica {
    /// Holds the same revision as `folder`.
    tracker: Tracker,
    folder: Folder,
    reassembly: Reassembly,
    /// State of each connected peer.
    peers: BTreeMap<Home, PeerState>,
}

impl Replica {
    /// Creates a replica that holds `files` of `revision`, which is 0 for files that the platform
    /// never accepted.
    pub fn new(me: Home, revision: Revision, files: Files) -> Replica {
        Replica {
            tracker: Tracker::new(me, revision),
            folder: Folder::new(revision, files),
            reassembly: Reassembly::default(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the held files and their revision.
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// Returns the state of the peers and the election of watchers.
    pub fn tracker(&self) -> &Tracker {
        &self.tracker
    }

    /// Handles a peer's heartbeat, which contains its revision. Returns a request for the peer if
    /// that revision is newer.
    pub fn handle_heartbeat(
        &mut self,
        now: Time,
        peer: Home,
        revision: Revision,
        draining: bool,
    ) -> Option<Message> {
        let peer_state = self.peers.entry(peer).or_default();
        peer_state.held = peer_state.held.max(revision);
        let ask = self.tracker.handle_heartbeat(now, peer, revision, draining);
        ask.then(|| self.request())
    }

    /// Handles the loss of the connection to a peer, and with it of messages in transit.
    pub fn remove_peer(&mut self, peer: Home) {
        self.tracker.remove_peer(peer);
        self.reassembly.remove_peer(peer);
        self.peers.remove(&peer);
    }

    /// Handles a peer's request for revisions newer than `have`. Returns the parts to send to it,
    /// in order.
    pub fn handle_request(&mut self, now: Time, peer: Home, have: Revision) -> Vec<Settings> {
        let peer_state = self.peers.entry(peer).or_default();
        peer_state.held = have;
        let Some(delta) = self.folder.delta_since(have) else { return Vec::new() };
        if delta.is_snapshot() {
            let same =
                |&(at, had): &(Time, Revision)| had == have && now < at + SNAPSHOT_RESEND_INTERVAL;
            if peer_state.snapshot.as_ref().is_some_and(same) {
                return Vec::new();
            }
            peer_state.snapshot = Some((now, have));
        }
        peer_state.held = delta.revision;
        split(delta)
    }

    /// Handles a part of a settings delta from a peer.
    pub fn handle_part(&mut self, now: Time, from: Home, part: Settings) -> Received {
        let (base, revision) = (part.base, part.revision);
        let peer_state = self.peers.entry(from).or_default();
        peer_state.held = peer_state.held.max(revision);
        if revision <= self.folder.revision() {
            return Received::Ignored;
        }
        if base != Revision(0) && base != self.folder.revision() {
            return match self.tracker.should_request(now, revision) {
                true => Received::Request(self.request()),
                false => Received::Ignored,
            };
        }
        match self.reassembly.push(from, part) {
            Reassembled::Complete(delta) => match self.folder.apply(delta) {
                true => self.accept_folder(),
                false => Received::Ignored,
            },
            Reassembled::Partial => {
                self.tracker.extend_request(now);
                Received::Incomplete
            }
            Reassembled::Dropped => Received::Ignored,
        }
    }

    /// Installs settings that were read from the platform. Returns whether they are newer than the
    /// held ones.
    pub fn install(&mut self, revision: Revision, files: Files) -> bool {
        self.folder.replace(revision, files) && self.accept_folder() == Received::Updated
    }

    /// Returns the deltas to relay after settings were installed, with their recipients. Peers
    /// whose revision is too old for a delta are left out; they request the settings themselves.
    pub fn relay_messages(&mut self, now: Time) -> Vec<(Home, Settings)> {
        let peers = self.tracker.relay_targets(now);
        peers.into_iter().filter_map(|peer| Some((peer, self.relay_message(peer)?))).collect()
    }

    fn relay_message(&mut self, peer: Home) -> Option<Settings> {
        let peer_state = self.peers.get_mut(&peer)?;
        let delta =
            self.folder.delta_since(peer_state.held).filter(|delta| !delta.is_snapshot())?;
        let mut parts = split(delta);
        let part = parts.pop().filter(|_| parts.is_empty())?;
        peer_state.held = part.revision;
        Some(part)
    }

    /// Marks a revision as unusable by this entry. Its files stay held, since other entries may use
    /// them and later deltas build on them.
    pub fn reject(&mut self, revision: Revision) {
        self.tracker.reject(revision);
    }

    fn accept_folder(&mut self) -> Received {
        match self.tracker.accept(self.folder.revision()) {
            true => Received::Updated,
            false => Received::Incomplete,
        }
    }

    fn request(&self) -> Message {
        Message::SettingsWanted { have: self.folder.revision() }
    }
}
