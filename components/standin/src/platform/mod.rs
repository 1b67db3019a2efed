//! A stand-in for the platform's key-value service, for tests.
//!
//! Keeps everything in memory and speaks the subset of the published etcd v3 JSON gateway that
//! the project uses: ranges, writes, transactions, leases and watches. Faults are switched on with
//! the methods of [`Platform`] or by `POST /faults`; `GET /faults` reports them with the number of
//! calls.

pub mod fault;
pub mod message;

mod gateway;
mod lease;
mod store;
mod watch;

pub use self::{
    fault::{Calls, Change, Faults, Report},
    store::StoreError,
};

use self::{
    gateway::{CallKind, HeldChange},
    store::Store,
    watch::Watches,
};
use parking_lot::Mutex;
use smol::{Task, Timer};
use std::{
    io, mem,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};
use trillium::Conn;
use trillium_smol::Stopper;

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The store, watches, faults and counters behind the gateway.
#[derive(Debug, Default)]
struct State {
    store: Store,
    watches: Watches,
    faults: Faults,
    calls: Calls,
    held: Vec<HeldChange>,
}

impl State {
    fn publish(&mut self) {
        self.watches.publish(&self.store);
    }

    fn expire(&mut self, now: Instant) {
        self.store.expire(now);
        self.publish();
    }

    /// Counts a call. Returns whether the service is down, and the delay in milliseconds.
    fn count_call(&mut self, kind: CallKind) -> (bool, u64) {
        let counter = match kind {
            CallKind::Read => &mut self.calls.reads,
            CallKind::Write => &mut self.calls.writes,
            CallKind::Watch => &mut self.calls.watches,
        };
        *counter += 1;
        (self.faults.down, self.faults.slow)
    }

    /// Whether the response to a change is lost. Decrements the number of responses to lose.
    fn consume_lost_answer(&mut self) -> bool {
        let is_lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        is_lost
    }

    /// Whether a change is held back. Decrements the number of changes to hold.
    fn consume_held_change(&mut self) -> bool {
        let is_held = self.faults.hold_changes > 0;
        self.faults.hold_changes = self.faults.hold_changes.saturating_sub(1);
        is_held
    }

    fn change_faults(&mut self, change: Change) {
        let faults = &mut self.faults;
        faults.down = change.down.unwrap_or(faults.down);
        faults.slow = change.slow.unwrap_or(faults.slow);
        faults.lose_answers = change.lose_answers.unwrap_or(faults.lose_answers);
        faults.hold_changes = change.hold_changes.unwrap_or(faults.hold_changes);
        if let Some(lag) = change.lag {
            self.store.lag((!lag.is_empty()).then_some(&lag));
            faults.lag = lag;
        }
        if change.release {
            mem::take(&mut self.held).into_iter().for_each(|held| held.release(self));
        }
        if change.expire_leases {
            self.store.expire_all();
        }
        self.publish();
        if change.cut_watches || self.faults.down {
            self.watches.cut();
        }
    }
}

/// A running stand-in. Stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stopper: Stopper,
    _expiry: Task<()>,
}

impl Platform {
    /// Starts to serve on `address`; the operating system chooses the port if it is 0.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn spawn(address: SocketAddr) -> io::Result<Platform> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let stopper = Stopper::new();
        let shared = state.clone();
        trillium_smol::config()
            .with_prebound_server(trillium_smol::async_net::TcpListener::try_from(listener)?)
            .without_signals()
            .with_nodelay()
            .with_stopper(stopper.clone())
            .spawn(move |conn: Conn| gateway::serve(conn, shared.clone()));
        let _expiry = smol::spawn(expire(state.clone()));
        Ok(Platform { address, state, stopper, _expiry })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and closes all watches.
    pub fn stop(&self) {
        self.stopper.stop();
        self.state.lock().watches.cut();
    }

    /// Changes the active faults.
    pub fn change(&self, change: Change) {
        self.state.lock().change_faults(change);
    }

    /// Sets [`Faults::down`].
    pub fn down(&self, down: bool) {
        self.change(Change { down: Some(down), ..Change::default() });
    }

    /// Sets [`Faults::slow`].
    pub fn slow(&self, delay: Duration) {
        self.change(Change { slow: Some(delay.as_millis() as u64), ..Change::default() });
    }

    /// Sets [`Faults::lose_answers`].
    pub fn lose_answers(&self, count: u32) {
        self.change(Change { lose_answers: Some(count), ..Change::default() });
    }

    /// Sets [`Faults::hold_changes`].
    pub fn hold_changes(&self, count: u32) {
        self.change(Change { hold_changes: Some(count), ..Change::default() });
    }

    /// Applies the changes that are held back.
    pub fn release(&self) {
        self.change(Change { release: true, ..Change::default() });
    }

    /// Sets [`Faults::lag`]; an empty prefix switches it off.
    pub fn lag(&self, prefix: &str) {
        self.change(Change { lag: Some(prefix.to_owned()), ..Change::default() });
    }

    /// Expires all leases.
    pub fn expire_leases(&self) {
        self.change(Change { expire_leases: true, ..Change::default() });
    }

    /// Closes all open watches.
    pub fn cut_watches(&self) {
        self.change(Change { cut_watches: true, ..Change::default() });
    }

    /// Discards the history of changes up to now, so that a watch from an earlier revision is
    /// rejected.
    pub fn compact(&self) {
        let store = &mut self.state.lock().store;
        // Fails only if there is nothing to discard.
        let _ = store.compact(store.revision);
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.state.lock().faults.clone()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> Calls {
        self.state.lock().calls
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn expire(state: Arc<Mutex<State>>) {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        state.lock().expire(Instant::now());
    }
}
