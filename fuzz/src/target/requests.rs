//! Target for HTTP requests of callers.

mod fake;
mod generate;

use super::Target;
use crate::{Finding, Outcome, Random, bytes, http::Response};
use fake::FakeBackend;
use rand::Rng;
use serde_json::Value;
use server::{Options, Server};
use site::unit::{Memory, Span};
use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

/// Largest growth of the heap for one connection, in bytes.
const HEAP_BOUND: usize = 2 << 20;

/// Number of cases that share a server.
const CASES_PER_SERVER: u32 = 4_000;

/// Time that a caller waits for the first bytes of a response before it shuts down its side of the
/// connection, so that the server does not abandon complete requests.
const HALF_CLOSE_DELAY: Duration = Duration::from_millis(2);

/// Longest wait for the server to close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests of callers. A case holds the bytes of one connection.
#[derive(Debug, Default)]
pub struct Requests {
    /// The server and the number of cases that it may still run.
    server: Option<(Server, u32)>,
}

fn start() -> Server {
    let options = Options {
        receive_limit: Span::from_secs(2),
        idle_limit: Span::from_secs(2),
        job_limit: Memory(256 << 10),
        body_memory: Memory(1 << 20),
        ..Options::default()
    };
    let address = ([127, 0, 0, 1], 0).into();
    let server = Server::start(address, Arc::new(FakeBackend::new()), options);
    smol::block_on(server).expect("loopback has a free port")
}

impl Requests {
    fn address(&mut self) -> SocketAddr {
        if let Some((server, _)) = self.server.take_if(|(_, left)| *left == 0) {
            smol::block_on(server.stop());
        }
        let (server, left) = self.server.get_or_insert_with(|| (start(), CASES_PER_SERVER));
        *left -= 1;
        server.address()
    }
}

impl Target for Requests {
    fn name(&self) -> &'static str {
        "requests"
    }

    fn heap_bound(&self) -> usize {
        HEAP_BOUND
    }

    fn generate(&mut self, rng: &mut Random) -> Vec<u8> {
        if rng.random_ratio(1, 30) {
            return bytes::arbitrary(rng, 400);
        }
        let mut case = generate::request(rng);
        if rng.random_ratio(1, 4) {
            bytes::mutate(&mut case, rng);
        }
        while rng.random_ratio(1, 6) {
            case.extend(generate::request(rng));
        }
        case
    }

    fn run(&mut self, case: &[u8]) -> Outcome {
        let address = self.address();
        let violation = |property, detail| Err(Finding::Broken { property, detail });
        let received = match exchange(address, case) {
            Ok(received) => received,
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                return Ok("reset".into());
            }
            Err(error) => return violation("a connection ends", error.to_string()),
        };
        let mut rest = &received[..];
        let mut first = None;
        while !rest.is_empty() {
            let Some(response) = Response::parse(&mut rest) else {
                let text = String::from_utf8_lossy(rest).into_owned();
                return violation("every response is complete", text);
            };
            check(&response)?;
            first.get_or_insert_with(|| outcome(&response));
        }
        match first {
            Some(first) => Ok(first.into()),
            None if case.iter().all(|byte| b"\r\n".contains(byte)) => Ok("no request".into()),
            None => violation("a request has a response", "none received".into()),
        }
    }
}

/// Sends `case` and returns all bytes that the server sends.
fn exchange(address: SocketAddr, case: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    // The server may close before it has read all; its response is checked all the same.
    let _ = stream.write_all(case);
    let mut received = vec![0; 64 << 10];
    stream.set_read_timeout(Some(HALF_CLOSE_DELAY))?;
    let read = stream.read(&mut received).unwrap_or(0);
    received.truncate(read);
    let _ = stream.shutdown(Shutdown::Write);
    stream.set_read_timeout(Some(CLOSE_TIMEOUT))?;
    match stream.read_to_end(&mut received) {
        Err(error) if received.is_empty() => Err(error),
        Err(error) if error.kind() != io::ErrorKind::ConnectionReset => Err(error),
        _ => Ok(received),
    }
}

/// Checks a response against docs/HTTP.md: a failure has a problem as its body.
fn check(response: &Response) -> Result<(), Finding> {
    let from_endpoint = response.header("primrosestep-outcome") == Some("complete");
    if response.status < 400 || from_endpoint || response.body.is_empty() {
        return Ok(());
    }
    let violation = |detail: &str| {
        let body = String::from_utf8_lossy(&response.body);
        let detail = format!("{detail}: {} {body}", response.status);
        Err(Finding::Broken { property: "every failure is a problem", detail })
    };
    if response.header("content-type") != Some("application/problem+json") {
        return violation("unexpected content type");
    }
    let Ok(problem) = serde_json::from_slice::<Value>(&response.body) else {
        return violation("not JSON");
    };
    let text = |name: &str| problem[name].as_str();
    let outcome = text("outcome");
    let known = matches!(outcome, Some("not-run" | "may-have-run" | "ran-and-failed"));
    let reason = text("reason").map(|reason| format!("urn:primrosestep:problem:{reason}"));
    if !known || reason.as_deref() != text("type") || problem["status"] != response.status {
        return violation("not as documented");
    }
    Ok(())
}

/// Returns the status with the reason of the problem, or with the outcome if there is none.
fn outcome(response: &Response) -> String {
    let outcome = response.header("primrosestep-outcome").unwrap_or("shown");
    let problem = serde_json::from_slice::<Value>(&response.body).unwrap_or_default();
    let reason = problem["reason"].as_str().unwrap_or(outcome);
    format!("{} {reason}", response.status)
}
