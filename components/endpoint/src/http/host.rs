//! The connections to one endpoint.

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

/// All endpoints that connections were opened to.
#[derive(Debug, Default)]
pub(crate) struct Hosts(RwLock<FxHashMap<SocketAddr, Arc<Host>>>);

impl Hosts {
    /// The endpoint at `address`.
    pub(crate) fn get(&self, address: SocketAddr) -> Arc<Host> {
        if let Some(host) = self.0.read().get(&address) {
            return Arc::clone(host);
        }
        let mut hosts = self.0.write();
        let host = hosts.entry(address).or_insert_with(|| Host::new(address));
        Arc::clone(host)
    }

    /// Closes connections that were not used for `limit` and forgets hosts without any.
    pub(crate) fn sweep(&self, limit: Duration) {
        let hosts: Vec<_> = self.0.read().values().cloned().collect();
        let unused = |host: &Arc<Host>| !host.sweep(limit);
        let unused: Vec<_> = hosts.into_iter().filter(unused).collect();
        if unused.is_empty() {
            return;
        }
        let mut hosts = self.0.write();
        for host in unused {
            // One reference here and one in the map: nobody is about to use it.
            if Arc::strong_count(&host) == 2 {
                hosts.remove(&host.address);
            }
        }
    }
}

impl Drop for Hosts {
    /// Idle connections refer back to their host.
    fn drop(&mut self) {
        self.0.get_mut().values().for_each(|host| host.condemn());
    }
}

/// The connections to one endpoint.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    state: Mutex<State>,
    /// Notified when a seat becomes free or a connection idle.
    freed: Event,
    /// Renews leases and stops attempts, beside the connections that carry tasks. Locked for one
    /// request at a time.
    pub(crate) control: smol::lock::Mutex<Option<Connection>>,
}

#[derive(Debug, Default)]
struct State {
    /// Seats taken, by connections in use, idle or being opened.
    seats: u32,
    /// Connections without a request, the latest used last.
    idle: Vec<Connection>,
    /// Connections opened before this moment carry no further request.
    condemned: Option<Instant>,
}

/// The right to hold one connection to an endpoint. Dropping it gives the right back.
#[derive(Debug)]
pub(crate) struct Seat(Arc<Host>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.state.lock().seats -= 1;
        self.0.freed.notify(1);
    }
}

enum Place {
    Idle(Box<Connection>),
    Free(Seat),
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

    /// An open connection without a request, waiting for one if `limit` are open.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        limit: u32,
        options: &Options,
        on_place: impl Fn(),
    ) -> Result<Connection, Unsent> {
        loop {
            let place = self.place(limit).await;
            on_place();
            match place {
                Place::Free(seat) => {
                    return Connection::open(self.address, Some(seat), options).await;
                }
                Place::Idle(connection) => {
                    if !connection.is_stale() {
                        return Ok(*connection);
                    }
                }
            }
        }
    }

    async fn place(self: &Arc<Self>, limit: u32) -> Place {
        loop {
            if let Some(place) = self.try_place(limit) {
                return place;
            }
            let freed = self.freed.listen();
            if let Some(place) = self.try_place(limit) {
                return place;
            }
            freed.await;
        }
    }

    fn try_place(self: &Arc<Self>, limit: u32) -> Option<Place> {
        let mut state = self.state.lock();
        if let Some(connection) = state.idle.pop() {
            return Some(Place::Idle(Box::new(connection)));
        }
        (state.seats < limit.max(1)).then(|| {
            state.seats += 1;
            Place::Free(Seat(Arc::clone(self)))
        })
    }

    /// Keeps a connection for the next request, unless more than `limit` are open.
    pub(crate) fn release(&self, connection: Connection, limit: u32) {
        let mut state = self.state.lock();
        let condemned = state.condemned.is_some_and(|moment| connection.opened <= moment);
        if condemned || state.seats > limit.max(1) {
            drop(state);
            return;
        }
        state.idle.push(connection);
        drop(state);
        self.freed.notify(1);
    }

    /// Lets no connection that is open now carry a further request.
    pub(crate) fn condemn(&self) {
        let mut state = self.state.lock();
        state.condemned = Some(Instant::now());
        let idle = std::mem::take(&mut state.idle);
        drop(state);
        drop(idle);
    }

    /// Closes connections that were not used for `limit`. Returns whether any are left.
    pub(crate) fn sweep(&self, limit: Duration) -> bool {
        let mut state = self.state.lock();
        let is_fresh = |connection: &mut Connection| connection.idle_since.elapsed() < limit;
        let old: Vec<_> = state.idle.extract_if(.., |connection| !is_fresh(connection)).collect();
        let any = state.seats > old.len() as u32;
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
