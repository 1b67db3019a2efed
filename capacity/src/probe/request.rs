//! Measures submissions over the callers' interface, from the first byte of the request to the last
//! of the answer.

use super::{Sink, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        backend::ImmediateBackend,
        folder::{CHECK, Folder},
    },
    measure::{process_time, thread_time},
};
use serde_json::json;
use server::{Options, Server};
use smol::block_on;
use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
    sync::Arc,
};

const TASKS: [usize; 4] = [1, 25, 125, 780];

/// Total tasks of one measurement, if that makes [`MIN_SUBMISSIONS`] submissions or more.
const TOTAL_TASKS: usize = 20_000;

/// Least number of submissions of one measurement.
const MIN_SUBMISSIONS: usize = 200;

/// Submissions before the measurement.
const WARM_UP_SUBMISSIONS: usize = 50;

const KEY: &str = "the key of a caller";

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    TASKS.into_iter().try_for_each(|tasks| sink(min_of_runs(|| point(tasks))?))
}

/// Measures the server. The caller runs on this thread, whose time is not counted.
fn point(tasks: usize) -> Result<Point, Error> {
    let server = block_on(start())?;
    let request = request(tasks);
    let mut stream = TcpStream::connect(server.address())?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut submit = |count: usize| -> Result<u64, Error> {
        let mut done = 0;
        for _ in 0..count {
            stream.write_all(&request)?;
            done += u64::from(is_answered(&mut reader)?);
        }
        Ok(done)
    };
    submit(WARM_UP_SUBMISSIONS)?;
    let count = (TOTAL_TASKS / tasks).max(MIN_SUBMISSIONS);
    let before = process_time() - thread_time();
    let found = submit(count)?;
    let spent = process_time() - thread_time() - before;
    block_on(server.stop());
    let expected = count as u64;
    if found != expected {
        return Err(Error::Unexpected { probe: Probe::Request, expected, found });
    }
    let values = [(Quantity::CpuNs, spent as f64 / count as f64)];
    Ok(Point::new(Probe::Request, tasks, values))
}

async fn start() -> Result<Server, Error> {
    let mut files = Folder { executors: 1, ..Folder::default() }.files();
    let digest = settings::digest(KEY.as_bytes()).to_string();
    let caller = json!({
        "firms": { "caller": { "key-digests": { "first": digest } } },
        "contracts": { "caller-check": { "firm": "caller", "service": CHECK } },
    });
    files.insert("60-caller.json".into(), caller.to_string().into());
    let site = Arc::new(settings::parse(&files)?.site);
    let address = ([127, 0, 0, 1], 0).into();
    Ok(Server::start(address, Arc::new(ImmediateBackend { site }), Options::default()).await?)
}

fn request(tasks: usize) -> Vec<u8> {
    let task = json!({ "body": { "width": 600, "depth": 480 } });
    let body = json!({ "service": CHECK, "tasks": vec![task; tasks] }).to_string();
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nConnection: keep-alive\r\n\
         Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.into_bytes(), body.into_bytes()].concat()
}

/// Reads an answer and returns whether it is complete.
fn is_answered(reader: &mut impl BufRead) -> Result<bool, Error> {
    let (mut length, mut complete) = (0, false);
    let mut line = String::new();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.split_once(':') else {
            if line.trim().is_empty() {
                break;
            }
            continue;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
        complete |= name.eq_ignore_ascii_case("primrosestep-outcome") && value.trim() == "complete";
    }
    reader.read_exact(&mut vec![0; length])?;
    Ok(complete)
}
