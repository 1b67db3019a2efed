//! Target for HTTP responses of executors and workers.

use super::Target;
use crate::{
    Finding, Outcome, Random, bytes,
    http::{Framing, Message},
    json,
    responder::{Responder, Script},
};
use endpoint::{
    Call, Reply, Report, Transport,
    http::{Client, Options},
};
use rand::{Rng, seq::IndexedRandom};
use serde_json::json;
use site::{
    id::{AttemptId, Incarnation, TaskId},
    service::Place,
    unit::{Memory, Resources, Span},
};

/// Largest growth of the heap for one response, in bytes.
const HEAP_BOUND: usize = 2 << 20;

/// Limit on the body of a response.
const BODY_LIMIT: Memory = Memory(4 << 10);

/// Number of cases that share a client and a server.
const CASES_PER_SERVER: u32 = 4_000;

const ATTEMPT: AttemptId = AttemptId(0x2a);
const INCARNATION: Incarnation = Incarnation(7);

/// Number of kinds of calls to the endpoint.
const CALLS: u8 = 5;

/// Responses to calls. The first byte of a case selects the call, the second whether the connection
/// stays open; the rest is the response.
#[derive(Debug, Default)]
pub struct Endpoint {
    harness: Option<Harness>,
}

#[derive(Debug)]
struct Harness {
    responder: Responder,
    client: Client,
    cases_left: u32,
}

impl Harness {
    fn start() -> Harness {
        let timeout = Span::from_millis(500);
        let options = Options {
            control_timeout: timeout,
            idle_limit: Span::from_millis(80),
            ..Options::default()
        };
        let responder = Responder::start().expect("loopback has a free port");
        Harness {
            responder,
            client: Client::new(INCARNATION, options),
            cases_left: CASES_PER_SERVER,
        }
    }

    fn call(&self, place: Place) -> Report {
        let call = Call {
            attempt: ATTEMPT,
            task: TaskId::default(),
            address: self.responder.address(),
            place,
            service: "cutout".into(),
            content_type: "text/plain".into(),
            body: "body".into(),
            needs: Resources::default(),
            time_limit: Span::from_millis(500),
            body_limit: BODY_LIMIT,
            connections: 2,
        };
        smol::block_on(self.client.call(call))
    }
}

impl Target for Endpoint {
    fn name(&self) -> &'static str {
        "endpoint"
    }

    fn heap_bound(&self) -> usize {
        HEAP_BOUND
    }

    fn generate(&mut self, rng: &mut Random) -> Vec<u8> {
        let call = rng.random_range(0..CALLS);
        let mut response = message(call, rng).write(rng);
        if rng.random_ratio(1, 20) {
            response = bytes::arbitrary(rng, 300);
        }
        if rng.random_ratio(2, 5) {
            bytes::mutate(&mut response, rng);
        }
        if rng.random_ratio(1, 10) {
            let second = message(call, rng).write(rng);
            response.extend(second);
        }
        [&[call, rng.random_range(0..2)], &response[..]].concat()
    }

    fn run(&mut self, case: &[u8]) -> Outcome {
        let [call, keep_alive, response @ ..] = case else { return Ok("no case".into()) };
        if self.harness.as_ref().is_none_or(|harness| harness.cases_left == 0) {
            self.harness = Some(Harness::start());
        }
        let harness = self.harness.get_or_insert_with(Harness::start);
        harness.cases_left = harness.cases_left.saturating_sub(1);
        let keep_alive = *keep_alive == 1;
        harness.responder.set_script(Script {
            response: response.to_vec(),
            sends_continue: true,
            keep_alive,
        });
        let address = harness.responder.address();
        match call % CALLS {
            0 => check_reply(&harness.call(Place::Executors).reply, response),
            1 => check_reply(&harness.call(Place::Workers).reply, response),
            2 => {
                let stop = smol::block_on(harness.client.stop(address, ATTEMPT));
                Ok(if stop == endpoint::Stop::Unknown { "no stop" } else { "stop" }.into())
            }
            3 => match smol::block_on(harness.client.probe(address)) {
                endpoint::Probe::Alive { .. } => Ok("probe alive".into()),
                endpoint::Probe::Unreachable(_) => Ok("probe unreachable".into()),
                endpoint::Probe::Silent => Ok("probe silent".into()),
            },
            _ => {
                let usage = smol::block_on(harness.client.usage(address));
                Ok(usage.map_or("no usage", |_| "usage").into())
            }
        }
    }
}

/// Checks the reply. It may say that nothing ran only where the endpoint said so, since the
/// endpoint received the whole request. A body must not exceed the limit.
fn check_reply(reply: &Reply, response: &[u8]) -> Outcome {
    let text = String::from_utf8_lossy(response);
    let violation = |property| Err(Finding::Broken { property, detail: format!("{reply:?}") });
    if !reply.may_have_run() && !text.contains("not-run") {
        return violation("a received request counts as not run only if the response says so");
    }
    match reply {
        Reply::Done(output) | Reply::Failed(output) if output.body.len() as u64 > BODY_LIMIT.0 => {
            violation("no body is over the limit")
        }
        _ => Ok(reply.name().into()),
    }
}

fn message(call: u8, rng: &mut Random) -> Message {
    const STATUSES: [&str; 14] = [
        "200 OK",
        "201 Created",
        "204 No Content",
        "304 Not Modified",
        "409 Conflict",
        "410 Gone",
        "429 Busy",
        "500 Oops",
        "503 Unavailable",
        "100 Continue",
        "299 Odd",
        "999 Odd",
        "000 Odd",
        "199 Odd",
    ];
    const HEADERS: [(&str, &str); 16] = [
        ("Primrosestep-Outcome", "not-run"),
        ("Primrosestep-Outcome", "stopped"),
        ("Primrosestep-Outcome", "repeated"),
        ("Primrosestep-Refusal", "busy"),
        ("Primrosestep-Refusal", "leaving"),
        ("Primrosestep-Leaving", "1"),
        ("Primrosestep-Attempt", "7-2a"),
        ("Primrosestep-Attempt", "7-2b"),
        ("Primrosestep-Attempt", "ffffffffffffffffff-0"),
        ("Primrosestep-Attempt-State", "running"),
        ("Retry-After", "1"),
        ("Retry-After", "4294967296"),
        ("Content-Type", "image/png"),
        ("Content-Type", "\u{1f600}"),
        ("Connection", "close"),
        ("Connection", "upgrade"),
    ];
    let version = if rng.random_ratio(1, 12) { "HTTP/1.0" } else { "HTTP/1.1" };
    let status = STATUSES.choose(rng).copied().unwrap_or_default();
    let count = rng.random_range(0..4);
    let headers = HEADERS.choose_multiple(rng, count);
    let mut message = Message {
        start: format!("{version} {status}"),
        headers: headers.map(|(name, value)| ((*name).into(), (*value).into())).collect(),
        body: body(call, rng),
        framing: Framing::random(rng),
    };
    message.corrupt(rng);
    message
}

fn body(call: u8, rng: &mut Random) -> Vec<u8> {
    let used = json!({ "slots": 0, "cores": "500m", "memory": "1GiB", "accelerators": 0 });
    match call {
        2 => json::mutated_text(json!({ "state": "never" }), rng),
        4 => {
            let tasks = json!([{ "attempt": "7-2a", "used": used }]);
            json::mutated_text(json!({ "age": "100ms", "tasks": tasks }), rng)
        }
        _ => {
            let max_len = if rng.random_ratio(1, 10) { 8 << 10 } else { 200 };
            bytes::arbitrary(rng, max_len)
        }
    }
}
