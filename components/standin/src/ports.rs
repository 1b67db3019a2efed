//! Ports for processes that listen where their settings say.

use parking_lot::Mutex;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process::{self, Child, Command},
    sync::atomic::{AtomicU16, Ordering},
};

/// First port that is handed out. Linux takes the ports of outgoing connections from 32,768 up
/// (`ip_local_port_range`), so that none of these is taken between its choice and its use.
const FIRST: u16 = 20_000;

/// Ports that are handed out before the first comes again.
const COUNT: u16 = 12_000;

/// Distance between the first ports of processes with following ids.
const STRIDE: u32 = 97;

/// Ports that this process has tried.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Held while a port is tried, and while a process is started: until it runs its program, a new
/// process has a copy of each open socket, which keeps the port in use. Without this, 25 of 20,000
/// ports were still in use 2 ms after their choice beside six threads that start processes.
static TRYING: Mutex<()> = Mutex::new(());

/// A loopback address that is free for TCP and UDP, and that this process gets once.
///
/// # Errors
///
/// An error of the kind `AddrInUse` when all ports are taken.
pub fn reserve() -> io::Result<SocketAddr> {
    let start = (process::id().wrapping_mul(STRIDE) % u32::from(COUNT)) as u16;
    for _ in 0..COUNT {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start + tried % COUNT) % COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _trying = TRYING.lock();
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Starts a process beside threads that [`reserve`] ports.
///
/// # Errors
///
/// As [`Command::spawn`].
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    // The call returns once the program runs.
    let _trying = TRYING.lock();
    command.spawn()
}
