//! A TCP server that sends given bytes in response to each request.

use parking_lot::Mutex;
use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Longest wait for more bytes of a request.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Limit on the size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How the server responds to requests.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Bytes sent after each request.
    pub response: Vec<u8>,
    /// Whether a request with `Expect: 100-continue` gets a `100 Continue` before its body is read.
    /// If not, its body is not read.
    pub sends_continue: bool,
    /// Whether the connection stays open for further requests.
    pub keep_alive: bool,
}

/// A server on loopback. Stops when dropped.
#[derive(Debug)]
pub struct Responder {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    stopped: Arc<AtomicBool>,
}

impl Responder {
    /// Listens on a free port.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub fn start() -> io::Result<Responder> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let (script, stopped) = (Arc::<Mutex<Script>>::default(), Arc::<AtomicBool>::default());
        let responder = Responder { address, script: script.clone(), stopped: stopped.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let script = script.clone();
                // Errors are ignored: the client may have closed the connection.
                thread::spawn(move || drop(serve(stream, &script)));
            }
        });
        Ok(responder)
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the response to all later requests.
    pub fn set_script(&self, script: Script) {
        *self.script.lock() = script;
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Unblocks the thread that accepts connections.
        drop(TcpStream::connect(self.address));
    }
}

fn serve(mut stream: TcpStream, script: &Mutex<Script>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    loop {
        let mut request = Vec::new();
        let head = read_until(&mut stream, &mut request, |request| {
            request.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
        })?;
        let script = script.lock().clone();
        let text = String::from_utf8_lossy(&request[..head]).to_ascii_lowercase();
        if script.sends_continue && text.contains("expect: 100-continue") {
            stream.write_all(CONTINUE)?;
        }
        if script.sends_continue || !text.contains("expect: 100-continue") {
            let end = head + content_length(&text);
            let arrived = |request: &[u8]| (request.len() >= end).then_some(end);
            read_until(&mut stream, &mut request, arrived)?;
        }
        stream.write_all(&script.response)?;
        if !script.keep_alive {
            return Ok(());
        }
    }
}

fn read_until(
    stream: &mut TcpStream,
    request: &mut Vec<u8>,
    find_end: impl Fn(&[u8]) -> Option<usize>,
) -> io::Result<usize> {
    let mut chunk = [0; 4 << 10];
    loop {
        if let Some(end) = find_end(request) {
            return Ok(end);
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ if request.len() > MAX_REQUEST_BYTES => return Err(io::ErrorKind::InvalidData.into()),
            count => request.extend_from_slice(&chunk[..count]),
        }
    }
}

fn content_length(head: &str) -> usize {
    let value = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    value.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
}
