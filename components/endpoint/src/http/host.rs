//! Connection pools, one per endpoint.

use crate::{
    http::{Options, connection::Connection},
    reply::Unsent,
};
use event_listener::Event;
use parking_lot::{Mutex, RwLock};
use rustc_hash::FxHashMap;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// The connection pools of all endpoints, by address.
#[derive(Debug, Default)]
pub(crate) struct Hosts(RwLock<FxHashMap<SocketAddr, Arc<Host>>>);

impl Hosts {
    /// Returns the pool for `address`, and creates it if there is none.
    pub(crate) fn get(&self, address: SocketAddr) -> Arc<Host> {
        if let Some(host) = self.0.read().get(&address) {
            return Arc::clone(host);
        }
        let mut hosts = self.0.write();
        let host = hosts.entry(address).or_insert_with(|| Host::new(address));
        Arc::clone(host)
    }

    /// Closes connections that were idle for `limit`, and removes pools without connections.
    pub(crate) fn sweep(&self, limit: Duration) {
        let hosts: Vec<_> = self.0.read().values().cloned().collect();
        let unused = |host: &Arc<Host>| !host.sweep(limit);
        let unused: Vec<_> = hosts.into_iter().filter(unused).collect();
        if unused.is_empty() {
            return;
        }
        let mut hosts = self.0.write();
        for host in unused {
            // Only this list and the map have references, so no request is about to use it.
            if Arc::strong_count(&host) == 2 {
                hosts.remove(&host.address);
            }
        }
    }
}

impl Drop for Hosts {
    /// Breaks reference cycles: idle connections have a reference to their host.
    fn drop(&mut self) {
        self.0.get_mut().values().for_each(|host| host.retire());
    }
}

/// The connection pool of one endpoint.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    state: Mutex<State>,
    /// Notified when a permit is released or a connection becomes idle.
    freed: Event,
    /// Connection for control requests, which is not part of the pool. Locked for one request at a
    /// time.
    pub(crate) control: smol::lock::Mutex<Option<Connection>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of permits held by connections that are in use, idle or being opened.
    permits: u32,
    /// Connections without a request, the most recently used one last.
    idle: Vec<Connection>,
    /// Connections opened before this time are not used for further requests.
    retired_at: Option<Instant>,
}

/// Permit for one connection to an endpoint. Dropping it releases the permit.
#[derive(Debug)]
pub(crate) struct Permit(Arc<Host>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.state.lock().permits -= 1;
        self.0.freed.notify(1);
    }
}

enum Acquired {
    Idle(Box<Connection>),
    New(Permit),
}

impl Host {
    pub(crate) fn new(address: SocketAddr) -> Arc<Host> {
        Arc::new(Host {
            address,
            state: Mutex::default(),
            freed: Event::new(),
            control: smol::lock::Mutex::new(None),
        })
    }

    /// Returns an idle or new connection; waits if `limit` connections are open. Calls
    /// `on_acquired` when it has obtained a connection or a permit, before it connects.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        limit: u32,
        options: &Options,
        on_acquired: impl Fn(),
    ) -> Result<Connection, Unsent> {
        loop {
            let acquired = self.acquire_permit(limit).await;
            on_acquired();
            match acquired {
                Acquired::New(permit) => {
                    return Connection::open(self.address, Some(permit), options).await;
                }
                Acquired::Idle(connection) => {
                    if !connection.is_stale() {
                        return Ok(*connection);
                    }
                }
            }
        }
    }

    async fn acquire_permit(self: &Arc<Self>, limit: u32) -> Acquired {
        loop {
            if let Some(acquired) = self.try_acquire(limit) {
                return acquired;
            }
            let freed = self.freed.listen();
            if let Some(acquired) = self.try_acquire(limit) {
                return acquired;
            }
            freed.await;
        }
    }

    fn try_acquire(self: &Arc<Self>, limit: u32) -> Option<Acquired> {
        let mut state = self.state.lock();
        if let Some(connection) = state.idle.pop() {
            return Some(Acquired::Idle(Box::new(connection)));
        }
        (state.permits < limit.max(1)).then(|| {
            state.permits += 1;
            Acquired::New(Permit(Arc::clone(self)))
        })
    }

    /// Returns a connection to the pool, or closes it if more than `limit` are open.
    pub(crate) fn release(&self, connection: Connection, limit: u32) {
        let mut state = self.state.lock();
        let retired = state.retired_at.is_some_and(|moment| connection.opened <= moment);
        if retired || state.permits > limit.max(1) {
            drop(state);
            return;
        }
        state.idle.push(connection);
        drop(state);
        self.freed.notify(1);
    }

    /// Retires all open connections: they are not used for further requests.
    pub(crate) fn retire(&self) {
        let mut state = self.state.lock();
        state.retired_at = Some(Instant::now());
        let idle = std::mem::take(&mut state.idle);
        drop(state);
        drop(idle);
    }

    /// Closes connections that were idle for `limit`. Returns whether any are left.
    pub(crate) fn sweep(&self, limit: Duration) -> bool {
        let mut state = self.state.lock();
        let is_fresh = |connection: &mut Connection| connection.idle_since.elapsed() < limit;
        let old: Vec<_> = state.idle.extract_if(.., |connection| !is_fresh(connection)).collect();
        let any = state.permits > old.len() as u32;
        drop(state);
        drop(old);
        any || self.sweep_control(limit)
    }

    fn sweep_control(&self, limit: Duration) -> bool {
        let Some(mut control) = self.control.try_lock() else { return true };
        if control.as_ref().is_some_and(|connection| connection.idle_since.elapsed() >= limit) {
            *control = None;
        }
        control.is_some()
    }
}
