//! The state that the stand-ins for executors and workers have in common.

use crate::{
    fault::{Faults, Silence},
    ledger::{Ledger, Step},
    protocol,
};
use event_listener::Event;
use parking_lot::Mutex;
use std::{collections::HashSet, net::SocketAddr};
use trillium::Conn;

/// The name, ledger, faults and connections of one endpoint's stand-in.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) name: String,
    pub(crate) ledger: Ledger,
    state: Mutex<State>,
    /// Notified when all connections are cut.
    cut: Event,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    /// Peer addresses of all connections that carried a request.
    peers: HashSet<SocketAddr>,
    /// Peer addresses of the connections that lose their traffic.
    silent: HashSet<SocketAddr>,
    /// Number of cuts, so that a request detects one that happened before it waited for `cut`.
    cuts: u64,
}

/// The task and attempt ids in the headers of a request; empty if absent.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) task: String,
    pub(crate) id: String,
}

impl Attempt {
    pub(crate) fn of(conn: &Conn) -> Attempt {
        let header = |name: &'static str| conn.request_headers().get_str(name).unwrap_or_default();
        Attempt {
            task: header(protocol::TASK).to_owned(),
            id: header(protocol::ATTEMPT).to_owned(),
        }
    }
}

impl EndpointState {
    pub(crate) fn new(name: &str, ledger: Ledger) -> EndpointState {
        let name = name.to_owned();
        EndpointState { name, ledger, state: Mutex::default(), cut: Event::new() }
    }

    pub(crate) fn record(&self, attempt: &Attempt, step: Step) {
        self.ledger.add(&self.name, &attempt.task, &attempt.id, step);
    }

    pub(crate) fn faults(&self) -> Faults {
        self.state.lock().faults
    }

    /// Replaces all faults.
    pub(crate) fn set_faults(&self, faults: Faults) {
        let mut state = self.state.lock();
        let was_silent = state.faults.silent.is_some();
        state.faults = faults;
        match faults.silent {
            Some(_) if !was_silent => state.silent = state.peers.clone(),
            Some(_) => {}
            None => state.silent.clear(),
        }
    }

    /// Whether this task fails. Decrements the number of tasks to fail.
    pub(crate) fn consume_failure(&self) -> bool {
        let faults = &mut self.state.lock().faults;
        let fails = faults.fail_everything || faults.fail_next > 0;
        faults.fail_next = faults.fail_next.saturating_sub(1);
        fails
    }

    /// Records the connection of a request. Returns which half of its traffic is lost, if any.
    pub(crate) fn register_connection(&self, peer: SocketAddr) -> Option<Silence> {
        let mut state = self.state.lock();
        state.peers.insert(peer);
        state.silent.contains(&peer).then_some(state.faults.silent).flatten()
    }

    /// Whether the connection loses its responses by now; the fault may have been set after the
    /// request arrived.
    pub(crate) fn loses_answer(&self, peer: SocketAddr) -> bool {
        let state = self.state.lock();
        state.faults.silent.is_some() && state.silent.contains(&peer)
    }

    /// Returns the number of cuts so far.
    pub(crate) fn cuts(&self) -> u64 {
        self.state.lock().cuts
    }

    /// Aborts all requests and forgets their connections.
    pub(crate) fn cut(&self) {
        let mut state = self.state.lock();
        state.cuts += 1;
        state.peers.clear();
        state.silent.clear();
        drop(state);
        self.cut.notify(usize::MAX);
    }

    /// Waits until there have been more than `seen` cuts.
    pub(crate) async fn until_cut(&self, seen: u64) {
        loop {
            let cut = self.cut.listen();
            if self.cuts() > seen {
                return;
            }
            cut.await;
        }
    }
}
