//! Tracks the settings revisions that peers report, and elects the entries that watch the platform
//! for changes. Does no I/O.
//!
//! * The held revision never decreases.
//! * At most [`MAX_WATCHERS`] entries of a data centre watch the platform: those that rendezvous
//!   hashing chooses among the live ones. The first of them relays changes to the other entries of
//!   its data centre.
//! * Every heartbeat contains its sender's revision. An entry that receives a newer one requests
//!   the settings from that peer.

use membership::rendezvous;
use site::{
    id::{EndpointId, Home},
    unit::{Revision, Span, Time},
};
use std::collections::BTreeMap;

/// Maximum number of entries of a data centre that watch the platform's settings.
pub const MAX_WATCHERS: usize = 2;

/// Time after its last heartbeat when a peer no longer counts as live.
pub const PEER_LIVENESS_TIMEOUT: Span = Span::from_secs(2);

/// Time until an unanswered request for settings is repeated.
pub const REQUEST_RETRY_INTERVAL: Span = Span::from_millis(500);

/// Label under which rendezvous hashing elects the watchers.
const ELECTION: &str = "settings watcher";

#[derive(Clone, Copy, Debug)]
struct Peer {
    last_heartbeat: Time,
    draining: bool,
}

/// Revision state of one entry and its peers.
#[derive(Debug)]
pub struct Tracker {
    me: Home,
    /// Revision held by this entry. Never decreases.
    revision: Revision,
    /// Highest revision that turned out to be unusable by this entry.
    rejected: Revision,
    peers: BTreeMap<Home, Peer>,
    /// The last request to a peer: the time it was sent, or of the last part received in response,
    /// and the revision that was requested.
    requested: Option<(Time, Revision)>,
}

impl Tracker {
    /// Creates the state of entry `me`, which holds `revision`; 0 if it has no accepted settings.
    pub fn new(me: Home, revision: Revision) -> Tracker {
        Tracker { me, revision, rejected: Revision(0), peers: BTreeMap::new(), requested: None }
    }

    /// Returns the held revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets the held revision if `revision` is newer. Returns false if it must be dropped.
    #[must_use]
    pub fn accept(&mut self, revision: Revision) -> bool {
        let newer = revision > self.revision;
        if newer {
            self.revision = revision;
            self.requested = None;
        }
        newer
    }

    /// Marks a revision as unusable by this entry, so that it is not requested again.
    pub fn reject(&mut self, revision: Revision) {
        self.rejected = self.rejected.max(revision);
    }

    /// Handles a peer's heartbeat. Returns whether to request the settings from the peer.
    pub fn handle_heartbeat(
        &mut self,
        now: Time,
        peer: Home,
        revision: Revision,
        draining: bool,
    ) -> bool {
        self.peers.insert(peer, Peer { last_heartbeat: now, draining });
        self.should_request(now, revision)
    }

    /// Returns whether to request `revision` now from a peer that holds it, and if so records the
    /// request.
    pub fn should_request(&mut self, now: Time, revision: Revision) -> bool {
        if revision <= self.revision.max(self.rejected) {
            return false;
        }
        let pending = self
            .requested
            .is_some_and(|(at, of)| revision <= of && now < at + REQUEST_RETRY_INTERVAL);
        if !pending {
            self.requested = Some((now, revision));
        }
        !pending
    }

    /// Restarts the retry time of the open request, because a part of its response has arrived.
    pub fn extend_request(&mut self, now: Time) {
        if let Some((at, _)) = &mut self.requested {
            *at = now;
        }
    }

    /// Removes a peer whose connection is lost.
    pub fn remove_peer(&mut self, peer: Home) {
        self.peers.remove(&peer);
    }

    /// Returns whether this entry is one of the watchers.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.watchers(now).contains(&self.me)
    }

    /// Returns the peers that this entry relays settings from the platform to; none unless it is
    /// the first watcher.
    pub fn relay_targets(&self, now: Time) -> Vec<Home> {
        let watchers = self.watchers(now);
        if watchers.first() != Some(&self.me) {
            return Vec::new();
        }
        let mut others = self.live(now);
        others.retain(|home| !watchers.contains(home));
        others
    }

    /// Returns the watchers of this data centre in order of preference.
    pub fn watchers(&self, now: Time) -> Vec<Home> {
        let mut live = self.live(now);
        let mut chosen = Vec::new();
        while chosen.len() < MAX_WATCHERS {
            let Some(next) = rendezvous::keeper(&live, EndpointId::of(ELECTION)) else { break };
            live.retain(|home| *home != next);
            chosen.push(next);
        }
        chosen
    }

    /// Returns the live entries of this data centre that are not draining, and always this one.
    fn live(&self, now: Time) -> Vec<Home> {
        let here = |home: &Home| home.data_centre == self.me.data_centre && *home != self.me;
        let fresh =
            |peer: &Peer| !peer.draining && now < peer.last_heartbeat + PEER_LIVENESS_TIMEOUT;
        let peers = self.peers.iter().filter(|(home, peer)| here(home) && fresh(peer));
        peers.map(|(home, _)| *home).chain([self.me]).collect()
    }
}
