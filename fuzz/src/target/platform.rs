//! Target for HTTP responses of the platform's gateway.

use super::Target;
use crate::{
    Finding, Outcome, Random, bytes,
    http::{Framing, Message},
    json,
    responder::{Responder, Script},
};
use platform::{
    Error, Store,
    gateway::{Client, Options},
    store::{Consistency, Key, LeaseId, Put, Range, Revision, Seconds, Txn},
};
use rand::{Rng, seq::IndexedRandom};
use serde_json::{Value, json};
use site::unit::{Memory, Span};

/// Largest growth of the heap for one response, in bytes.
const HEAP_BOUND: usize = 1 << 20;

/// Limit on a response of the gateway.
const RESPONSE_LIMIT: Memory = Memory(64 << 10);

/// Number of cases that share a client and a server.
const CASES_PER_SERVER: u32 = 4_000;

/// Limit on the messages read from one watch.
const MAX_WATCH_MESSAGES: usize = 100;

const CALLS: u8 = 8;
const WATCH: u8 = 7;

/// Responses to calls. The first byte of a case selects the call, the second whether the server
/// sends `100 Continue` where the client waits for it; the rest is the response.
#[derive(Debug, Default)]
pub struct Platform {
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
        let responder = Responder::start().expect("loopback has a free port");
        let options = Options {
            call_limit: Span::from_millis(500),
            answer_limit: RESPONSE_LIMIT,
            watch_silence: Span::from_millis(200),
            ..Options::new(vec![responder.address()])
        };
        Harness { responder, client: Client::new(options), cases_left: CASES_PER_SERVER }
    }
}

impl Target for Platform {
    fn name(&self) -> &'static str {
        "platform"
    }

    fn heap_bound(&self) -> usize {
        HEAP_BOUND
    }

    fn generate(&mut self, rng: &mut Random) -> Vec<u8> {
        let call = rng.random_range(0..CALLS);
        let sends_continue = u8::from(rng.random_ratio(4, 5));
        let mut response = message(call, rng).write(rng);
        if rng.random_ratio(1, 20) {
            response = bytes::arbitrary(rng, 300);
        }
        if rng.random_ratio(1, 3) {
            bytes::mutate(&mut response, rng);
        }
        [&[call, sends_continue], &response[..]].concat()
    }

    fn run(&mut self, case: &[u8]) -> Outcome {
        let [call, sends_continue, response @ ..] = case else { return Ok("no case".into()) };
        if self.harness.as_ref().is_none_or(|harness| harness.cases_left == 0) {
            self.harness = Some(Harness::start());
        }
        let harness = self.harness.get_or_insert_with(Harness::start);
        harness.cases_left = harness.cases_left.saturating_sub(1);
        harness.responder.set_script(Script {
            response: response.to_vec(),
            sends_continue: *sends_continue == 1,
            keep_alive: false,
        });
        match smol::block_on(send(&harness.client, call % CALLS)) {
            Ok(messages) if messages > MAX_WATCH_MESSAGES => Err(Finding::Steps {
                what: "a watch has too many messages",
                bound: MAX_WATCH_MESSAGES,
            }),
            Ok(_) => Ok("understood".into()),
            Err(Error::Unreachable) => Ok("unreachable".into()),
            Err(Error::Unknown) => Ok("unknown".into()),
            Err(Error::Refused { .. }) => Ok("refused".into()),
            Err(Error::Malformed) => Ok("malformed".into()),
        }
    }
}

/// Sends the call that `call` selects. Returns the number of messages of a watch, zero for other
/// calls.
async fn send(client: &Client, call: u8) -> Result<usize, Error> {
    let key = || Key::from("/primrosestep/a");
    let put = || Put { key: key(), value: "v".into(), lease: None };
    match call {
        0 => client.range(Range::Prefix(key()), Consistency::Linearizable).await.map(|_| 0),
        1 => client.txn(Txn::default()).await.map(|_| 0),
        2 => client.put(put()).await.map(|_| 0),
        3 => client.delete(Range::Key(key())).await.map(|_| 0),
        4 => client.grant(LeaseId(5), Seconds(10)).await.map(|()| 0),
        5 => client.keep_alive(LeaseId(5)).await.map(|_| 0),
        6 => client.revoke(LeaseId(5)).await.map(|()| 0),
        _ => {
            let watch = client.watch(Range::Prefix(key()), Revision(7)).await?;
            let mut messages = 0;
            while messages <= MAX_WATCH_MESSAGES && watch.next().await.is_ok() {
                messages += 1;
            }
            Ok(messages)
        }
    }
}

fn message(call: u8, rng: &mut Random) -> Message {
    const STATUSES: [&str; 14] = [
        "400 Bad Request",
        "401 Unauthorized",
        "404 Not Found",
        "409 Conflict",
        "429 Too Many",
        "500 Oops",
        "503 Unavailable",
        "100 Continue",
        "101 Switching",
        "204 No Content",
        "299 Odd",
        "999 Odd",
        "000 Odd",
        "199 Odd",
    ];
    let status = match rng.random_ratio(1, 4) {
        true => STATUSES.choose(rng).copied().unwrap_or_default(),
        false => "200 OK",
    };
    let error_body = json!({ "error": "text", "code": bytes::number(rng) % 20, "message": "text" });
    let body = match status {
        "200 OK" if call == WATCH => watch_messages(rng),
        "200 OK" => json::mutated_text(body(call, rng), rng),
        _ => json::mutated_text(error_body, rng),
    };
    let mut message = Message {
        start: format!("HTTP/1.1 {status}"),
        headers: vec![("Content-Type".into(), "application/json".into())],
        body,
        framing: Framing::random(rng),
    };
    message.corrupt(rng);
    message
}

fn key_value(rng: &mut Random) -> Value {
    json!({
        "key": "L3ByaW1yb3Nlc3RlcC9h",
        "value": "dg==",
        "create_revision": bytes::number(rng).to_string(),
        "mod_revision": bytes::number(rng).to_string(),
        "version": "1",
        "lease": bytes::number(rng).to_string(),
    })
}

fn listing(rng: &mut Random) -> Value {
    let count = rng.random_range(0..4);
    let values: Vec<Value> = (0..count).map(|_| key_value(rng)).collect();
    json!({ "header": header(rng), "kvs": values, "count": count.to_string() })
}

fn header(rng: &mut Random) -> Value {
    json!({ "cluster_id": "1", "revision": bytes::number(rng).to_string(), "raft_term": "2" })
}

fn body(call: u8, rng: &mut Random) -> Value {
    let number = bytes::number(rng).to_string();
    match call {
        0 => listing(rng),
        1 => json!({
            "header": header(rng),
            "succeeded": rng.random::<bool>(),
            "responses": [{ "response_range": listing(rng) }, { "response_put": {} }],
        }),
        3 => json!({ "header": header(rng), "deleted": number }),
        4 => json!({ "header": header(rng), "ID": "5", "TTL": number }),
        5 if rng.random_ratio(1, 4) => json!({ "error": { "grpc_code": bytes::number(rng) } }),
        5 => json!({ "result": { "header": header(rng), "ID": "5", "TTL": number } }),
        _ => json!({ "header": header(rng) }),
    }
}

/// Returns the messages of a watch, one a line. The first confirms the watch.
fn watch_messages(rng: &mut Random) -> Vec<u8> {
    let mut text = b"{\"result\":{\"created\":true}}\n".to_vec();
    for _ in 0..rng.random_range(0..4) {
        let kind = ["PUT", "DELETE", "ODD"].choose(rng).copied().unwrap_or_default();
        let event = json!({ "type": kind, "kv": key_value(rng) });
        let message = match rng.random_range(0..5) {
            0 => json!({ "error": { "grpc_code": bytes::number(rng) % 20, "message": "text" } }),
            1 => json!({ "result": { "canceled": true, "compact_revision": "9" } }),
            _ => json!({ "result": { "header": header(rng), "events": [event] } }),
        };
        text.extend(json::mutated_text(message, rng));
        text.push(b'\n');
    }
    text
}
