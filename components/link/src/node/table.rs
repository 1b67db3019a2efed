//! The established sessions, at most one per peer.

use super::session::Session;
use crate::Code;
use event_listener::Event;
use parking_lot::RwLock;
use rustc_hash::FxHashMap;
use site::id::{EntryId, Home};
use std::{sync::Arc, time::Duration};

/// Two connections count as simultaneous if the second was established within this time after the
/// first. Longer than the difference between the times at which both ends see a connection
/// established.
const SIMULTANEOUS_CONNECT_WINDOW: Duration = Duration::from_millis(200);

/// The established sessions, at most one per peer.
#[derive(Debug)]
pub(super) struct Table {
    own: Home,
    sessions: RwLock<FxHashMap<Home, Arc<Session>>>,
    /// Notified when a session is added.
    inserted: Event,
}

/// Result of an attempt to add a session.
#[derive(Debug)]
enum Insertion {
    Inserted,
    Rejected,
    /// The existing session is ending; try again after it has ended.
    Wait(Arc<Session>),
}

impl Table {
    pub(super) fn new(own: Home) -> Self {
        Self { own, sessions: RwLock::default(), inserted: Event::new() }
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

    /// Waits until there is a session with a process of `entry`.
    pub(super) async fn wait_for(&self, entry: EntryId) -> Arc<Session> {
        loop {
            let inserted = self.inserted.listen();
            if let Some(session) = self.of_entry(entry).into_iter().next() {
                return session;
            }
            inserted.await;
        }
    }

    pub(super) fn remove(&self, peer: Home) {
        self.sessions.write().remove(&peer);
    }

    /// Adds `new`, after the end of a session that it supersedes. Returns false if an existing
    /// session is kept instead.
    pub(super) async fn insert(&self, new: &Arc<Session>) -> bool {
        loop {
            match self.try_insert(new) {
                Insertion::Inserted => return true,
                Insertion::Rejected => return false,
                Insertion::Wait(old) => old.finished().await,
            }
        }
    }

    fn try_insert(&self, new: &Arc<Session>) -> Insertion {
        let mut sessions = self.sessions.write();
        let Some(old) = sessions.get(&new.peer()) else {
            sessions.insert(new.peer(), new.clone());
            drop(sessions);
            self.inserted.notify(usize::MAX);
            return Insertion::Inserted;
        };
        if old.is_open() && !supersedes(self.own, new, old) {
            return Insertion::Rejected;
        }
        old.close(Code::Duplicate);
        Insertion::Wait(old.clone())
    }
}

/// Whether `new` replaces `old`, another connection between the same processes. Both ends decide
/// the same. Of two connections that the same end established, the later one is kept, since that
/// end would not have established it while it had the other. Of two simultaneous ones, that of the
/// smaller home is kept; otherwise the one that is already in use.
fn supersedes(own: Home, new: &Session, old: &Session) -> bool {
    if new.dialled() == old.dialled() {
        return true;
    }
    old.age() < SIMULTANEOUS_CONNECT_WINDOW && new.dialled() == (own < new.peer())
}
