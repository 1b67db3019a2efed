//! Reserved ports can be bound while other threads spawn processes. A child holds copies of open
//! sockets until it executes its program, which would keep a port in use.

use standin::ports;
use std::{
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

/// Number of threads that spawn processes.
const SPAWNING_THREADS: usize = 4;

/// Number of ports that are reserved.
const PORT_COUNT: usize = 5_000;

/// Spawns processes until `stop` is set.
fn start_processes(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let child = ports::spawn(Command::new("true").stdout(Stdio::null()));
        child.and_then(|mut child| child.wait()).expect("a process");
    }
}

#[test]
fn a_reserved_port_is_free_while_processes_start() {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| start_processes(&stop));
        }
        let taken = |_: &usize| {
            let address = ports::reserve().expect("a port");
            TcpListener::bind(address).is_err()
        };
        let taken = (0..PORT_COUNT).filter(taken).count();
        stop.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "ports in use");
    });
}
