//! Ports that are handed out can be listened at, whatever processes start meanwhile.

use standin::ports;
use std::{
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

/// Threads that start processes.
const STARTERS: usize = 4;

/// Ports that are asked for.
const PORTS: usize = 5_000;

/// Starts processes until it is told to stop.
fn start_processes(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let child = ports::spawn(Command::new("true").stdout(Stdio::null()));
        child.and_then(|mut child| child.wait()).expect("a process");
    }
}

#[test]
fn a_port_is_free_although_processes_start_while_it_is_chosen() {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| start_processes(&stop));
        }
        let taken = |_: &usize| {
            let address = ports::reserve().expect("a port");
            TcpListener::bind(address).is_err()
        };
        let taken = (0..PORTS).filter(taken).count();
        stop.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "ports in use");
    });
}
