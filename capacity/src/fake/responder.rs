//! HTTP endpoint that responds to every request at once.

use crate::measure;
use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";

/// Endpoint on loopback that runs until the process ends.
#[derive(Debug)]
pub struct Responder {
    address: SocketAddr,
    /// Processor time of its threads, in nanoseconds.
    cpu_time: Arc<AtomicU64>,
}

impl Responder {
    /// Starts a responder on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn spawn() -> io::Result<Responder> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let cpu_time = Arc::new(AtomicU64::new(0));
        let counter = cpu_time.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = counter.clone();
                // An error closes the connection, which the caller notices.
                thread::spawn(move || drop(serve(stream, &counter)));
            }
        });
        Ok(Responder { address, cpu_time })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the processor time that it has used, in nanoseconds.
    pub fn cpu_time(&self) -> u64 {
        self.cpu_time.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, cpu_time: &AtomicU64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut before = 0;
    loop {
        let mut body = vec![0; read_head(&mut reader)?];
        reader.read_exact(&mut body)?;
        stream.write_all(RESPONSE)?;
        let now = measure::thread_time();
        cpu_time.fetch_add(now - before, Ordering::Relaxed);
        before = now;
    }
}

/// Reads the head of a request and returns the length of the body.
fn read_head(reader: &mut impl BufRead) -> io::Result<usize> {
    let mut length = 0;
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.split_once(':') else {
            if line.trim().is_empty() {
                return Ok(length);
            }
            continue;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
}
