//! The connections that are up, at most one to a peer.

use super::session::Session;
use crate::Code;
use event_listener::Event;
use parking_lot::RwLock;
use rustc_hash::FxHashMap;
use site::id::{EntryId, Home};
use std::{sync::Arc, time::Duration};

/// Connections were made at once if no more time lies between them. Above the differences in time
/// between the two ends of one.
const AT_ONCE: Duration = Duration::from_millis(200);

/// The connections that are up, at most one to a peer.
#[derive(Debug)]
pub(super) struct Table {
    own: Home,
    sessions: RwLock<FxHashMap<Home, Arc<Session>>>,
    /// Notified when a connection gets its place.
    entered: Event,
}

/// What became of a connection that wants its place.
#[derive(Debug)]
enum Claim {
    Won,
    Lost,
    /// The one that has the place is ending; claim again after that.
    Wait(Arc<Session>),
}

impl Table {
    pub(super) fn new(own: Home) -> Self {
        Self { own, sessions: RwLock::default(), entered: Event::new() }
    }

    pub(super) fn get(&self, peer: Home) -> Option<Arc<Session>> {
        self.sessions.read().get(&peer).cloned()
    }

    pub(super) fn all(&self) -> Vec<Arc<Session>> {
        self.sessions.read().values().cloned().collect()
    }

    pub(super) fn of_entry(&self, entry: EntryId) -> Vec<Arc<Session>> {
        let sessions = self.sessions.read();
        sessions.values().filter(|session| session.peer().entry == entry).cloned().collect()
    }

    /// Waits until there is a connection to a process of `entry`.
    pub(super) async fn wait_for(&self, entry: EntryId) -> Arc<Session> {
        loop {
            let entered = self.entered.listen();
            if let Some(session) = self.of_entry(entry).into_iter().next() {
                return session;
            }
            entered.await;
        }
    }

    pub(super) fn remove(&self, peer: Home) {
        self.sessions.write().remove(&peer);
    }

    /// Gives `new` its place, after the end of one that it supersedes. Returns whether it got it.
    pub(super) async fn enter(&self, new: &Arc<Session>) -> bool {
        loop {
            match self.claim(new) {
                Claim::Won => return true,
                Claim::Lost => return false,
                Claim::Wait(old) => old.finished().await,
            }
        }
    }

    fn claim(&self, new: &Arc<Session>) -> Claim {
        let mut sessions = self.sessions.write();
        let Some(old) = sessions.get(&new.peer()) else {
            sessions.insert(new.peer(), new.clone());
            drop(sessions);
            self.entered.notify(usize::MAX);
            return Claim::Won;
        };
        if old.is_open() && !supersedes(self.own, new, old) {
            return Claim::Lost;
        }
        old.close(Code::Duplicate);
        Claim::Wait(old.clone())
    }
}

/// Which of two connections between the same processes survives. Both ends compute the same: of two
/// that the same end made the later one, since that end would not have made it while it had the other;
/// of two that were made at once the one of the smaller home; else the one that is in use.
fn supersedes(own: Home, new: &Session, old: &Session) -> bool {
    if new.dialled() == old.dialled() {
        return true;
    }
    old.age() < AT_ONCE && new.dialled() == (own < new.peer())
}
