//! A planned stop of a node while requests wait there for tasks that take longer than estimated.
//!
//! Rule LOST ("Draining and shutdown"): around a SIGTERM, a channel may not end without a complete
//! answer once its request has been passed on to an executor.

use crate::{
    http::{Channel, Outcome},
    record::Record,
    site::{HOST, PREFIX, Queue, Site},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// Time budget of each request, as on the sheet.
const BUDGET: Duration = Duration::from_millis(1_500);

/// When the requests are sent, in milliseconds after the SIGTERM. Until 4,200 they are ones that
/// overlap, as in steady traffic, so that the node always has one to answer; the tasks of
/// the last three fail twice each, of four attempts that they have.
const SEND_AT_MS: [i64; 18] = [
    -300, 0, 300, 600, 900, 1_200, 1_500, 1_800, 2_100, 2_400, 2_700, 3_000, 3_300, 3_600, 3_900,
    4_290, 4_315, 4_340,
];

/// Number of the first request whose task fails.
const FIRST_FAILING: usize = 15;

const GRACE_MS: i64 = 6_000;

/// Requests sent up to this time after the SIGTERM are excused in the last sixth of the grace.
const EXCUSED_UNTIL_MS: i64 = 3_000;

struct Sent {
    name: String,
    at: i64,
    ended: i64,
    outcome: Outcome,
}

/// A task of 140 ms whose data lies on another rack, where it takes three times as long (`far_x`).
fn job(fails: usize) -> String {
    format!(
        "{{\"spec\":\"work=140 data=r9 far=3 cpu=27000 fails={fails}\",\"best_effort\":true,\
         \"steps\":[{{\"count\":1,\"cpu\":27000,\"mem_mb\":64,\"estimated_ms\":170,\
         \"affinity\":\"r9\"}}]}}"
    )
}

pub fn run(trouble: bool, record: &Record) -> io::Result<Option<bool>> {
    let queue = Queue { timeout_ms: 1_500, target_duration_ms: 60, max_attempts: 4 };
    let zones = ["hala-rez", "hala-lestenie", "kancelaria"];
    let mut site = Site::start(&zones, &["r1", "r2", "r3", "r4"], &queue, record)?;
    if !site.wait_until_ready(Duration::from_secs(20)) || !site.is_known() {
        record.note("the system is not ready");
        return Ok(None);
    }
    let node = site.nodes[0].callers;
    // Kept-alive channels of clients, each opened with a request before the stop.
    let mut channels = Vec::new();
    for number in 0..SEND_AT_MS.len() {
        let mut channel = Channel::open(node)?;
        let name = format!("{number:016x}");
        let body = job(0).replace("work=140 data=r9 far=3", "work=140");
        channel.send("POST", &format!("{PREFIX}{name}"), HOST, 1_500, &body)?;
        let outcome = channel.receive(Instant::now() + BUDGET);
        record.note(format!("answer {name} {outcome:?}"));
        if !matches!(outcome, Outcome::Answered(200, _, false)) {
            return Ok(None);
        }
        channels.push(channel);
    }
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now() + Duration::from_millis(500);
    let clients: Vec<_> = channels
        .into_iter()
        .zip(SEND_AT_MS)
        .enumerate()
        .map(|(number, (mut channel, at))| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(moment(began, at).saturating_duration_since(Instant::now()));
                let name = format!("{:016x}", 0x100 + number);
                record.note(format!("send   {name}"));
                let sent = since(began);
                let path = format!("{PREFIX}{name}");
                let outcome = match channel.send(
                    "POST",
                    &path,
                    HOST,
                    1_500,
                    &job(if number >= FIRST_FAILING { 2 } else { 0 }),
                ) {
                    Ok(()) => channel.receive(Instant::now() + BUDGET),
                    Err(_) => Outcome::Broken,
                };
                record.note(format!("answer {name} {outcome:?}"));
                Sent { name, at: sent, ended: since(began), outcome }
            })
        })
        .collect();
    thread::sleep(began.saturating_duration_since(Instant::now()));
    if trouble {
        record.note(format!("SIGTERM {}", site.nodes[0].name));
        site.nodes[0].signal("TERM");
    }
    let sent: Vec<Sent> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let starts = record.lines();
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|sent| {
            let passed_on =
                starts.iter().any(|line| line.contains("start") && line.contains(&sent.name));
            let is_excused = sent.at <= EXCUSED_UNTIL_MS && sent.ended >= GRACE_MS * 5 / 6;
            let in_time = sent.ended < sent.at + BUDGET.as_millis() as i64;
            sent.outcome == Outcome::Broken && passed_on && in_time && !is_excused
        })
        .collect();
    for sent in &lost {
        record.note(format!(
            "LOST   {}: sent {} ms after the SIGTERM, cut without an answer {} ms later",
            sent.name,
            sent.at,
            sent.ended - sent.at
        ));
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        let end = site.nodes[0].ended();
        record.note(format!("the stopped process has ended: {end:?}"));
        for line in site.nodes[0].log().lines().filter(|line| line.contains("stop")) {
            record.note(format!("log    {line}"));
        }
    }
    Ok(Some(lost.is_empty()))
}

fn moment(began: Instant, at: i64) -> Instant {
    match at < 0 {
        true => began - Duration::from_millis(at.unsigned_abs()),
        false => began + Duration::from_millis(at.unsigned_abs()),
    }
}

/// Milliseconds since `began`; negative before it.
fn since(began: Instant) -> i64 {
    let now = Instant::now();
    match now < began {
        true => -((began - now).as_millis() as i64),
        false => (now - began).as_millis() as i64,
    }
}
