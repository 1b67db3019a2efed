//! A stand-in for a worker: runs tasks under leases, in what it has of cores, memory and
//! accelerators. `docs/WORKERS.md` describes the interface; the body of a task is that of the
//! [executor](crate::executor)'s.

mod lease;
mod serve;
mod task;
mod usage;

use crate::{
    Ledger,
    serve::{Control, Host, Node},
};
use parking_lot::Mutex;
use site::unit::{Accelerators, Cores, Memory, Resources};
use std::{io, net::SocketAddr, ops::Deref, sync::Arc, time::Duration};
use trillium::Conn;

/// What a worker offers.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the ledger.
    pub name: String,
    /// Processor capacity.
    pub cores: Cores,
    /// Main memory.
    pub memory: Memory,
    /// Accelerators.
    pub accelerators: Accelerators,
    /// Connections that it accepts at one time.
    pub connections: usize,
    /// Run time of a task whose body gives none.
    pub run_time: Duration,
    /// Time between measurements of usage.
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
    node: Arc<Node>,
    control: Control,
    options: Options,
    tasks: Mutex<task::Tasks>,
    sample: Mutex<usage::Sample>,
}

impl Worker {
    /// Starts to serve on `address`; the system chooses a port if it gives none.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn spawn(address: SocketAddr, options: Options, ledger: Ledger) -> io::Result<Worker> {
        let node = Arc::new(Node::new(&options.name, ledger));
        let control = Control::new(Arc::clone(&node));
        let connections = options.connections;
        let state = Arc::new(State {
            node: Arc::clone(&node),
            control: control.clone(),
            options,
            tasks: Mutex::default(),
            sample: Mutex::default(),
        });
        let _sampler = smol::spawn(usage::sample(Arc::downgrade(&state)));
        let handler = move |conn: Conn| serve::handle(Arc::clone(&state), conn);
        let host = Host::spawn(address, connections, node, control, handler)?;
        Ok(Worker { host, _sampler })
    }
}

impl Deref for Worker {
    type Target = Host;

    fn deref(&self) -> &Host {
        &self.host
    }
}
