//! A stand-in for a worker: runs tasks under leases within its cores, memory and accelerators.
//! `docs/WORKERS.md` describes the API; the body of a task is that of the
//! [executor](crate::executor).

mod lease;
mod serve;
mod task;
mod usage;

use crate::{
    Ledger,
    serve::{Control, EndpointState, Host},
};
use parking_lot::Mutex;
use site::unit::{Accelerators, Cores, Memory, Resources};
use std::{io, net::SocketAddr, ops::Deref, sync::Arc, time::Duration};
use trillium::Conn;

/// Name, capacity and limits of a worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the worker in the ledger.
    pub name: String,
    /// Processor cores for tasks.
    pub cores: Cores,
    /// Memory for tasks.
    pub memory: Memory,
    /// Accelerators for tasks.
    pub accelerators: Accelerators,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Run time of a task whose body doesn't set one.
    pub run_time: Duration,
    /// Interval between measurements of usage.
    pub usage_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            name: "worker".to_owned(),
            cores: Cores(16_000),
            memory: Memory(32 << 30),
            accelerators: Accelerators(0),
            connections: 256,
            run_time: Duration::from_millis(50),
            usage_interval: Duration::from_secs(1),
        }
    }
}

impl Options {
    fn capacity(&self) -> Resources {
        Resources {
            cores: self.cores,
            memory: self.memory,
            accelerators: self.accelerators,
            ..Resources::default()
        }
    }
}

/// A running stand-in. Stops when it is dropped.
pub struct Worker {
    host: Host,
    _sampler: smol::Task<()>,
}

struct State {
    endpoint: Arc<EndpointState>,
    control: Control,
    options: Options,
    tasks: Mutex<task::Tasks>,
    sample: Mutex<usage::Sample>,
}

impl Worker {
    /// Starts to serve on `address`; the operating system chooses the port if it is 0.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn spawn(address: SocketAddr, options: Options, ledger: Ledger) -> io::Result<Worker> {
        let endpoint = Arc::new(EndpointState::new(&options.name, ledger));
        let control = Control::new(Arc::clone(&endpoint));
        let connections = options.connections;
        let state = Arc::new(State {
            endpoint: Arc::clone(&endpoint),
            control: control.clone(),
            options,
            tasks: Mutex::default(),
            sample: Mutex::default(),
        });
        let _sampler = smol::spawn(usage::sample(Arc::downgrade(&state)));
        let handler = move |conn: Conn| serve::handle(Arc::clone(&state), conn);
        let host = Host::spawn(address, connections, endpoint, control, handler)?;
        Ok(Worker { host, _sampler })
    }
}

impl Deref for Worker {
    type Target = Host;

    fn deref(&self) -> &Host {
        &self.host
    }
}
