//! Generates HTTP requests, most of them valid except for a few details.

use super::fake::{KEY, OPERATOR, SERVICE};
use crate::{
    Random, bytes,
    http::{Framing, Message},
    json,
};
use rand::{Rng, seq::IndexedRandom};
use serde_json::{Value, json};

const ID: &str = "0-0-0-0.6f2c7b0e-5a4d-4f55-9a3c-3e2f6f0a1b2c";
const IDS: [&str; 8] = [
    ID,
    "0-0-0-1.6f2c7b0e-5a4d-4f55-9a3c-3e2f6f0a1b2c",
    "0-0-0-ffffffffff.6f2c7b0e-5a4d-4f55-9a3c-3e2f6f0a1b2c",
    "ffffffffffffffffff-0-0-0.x",
    "0-0-0.6f2c7b0e5a4d4f559a3c3e2f6f0a1b2c",
    "-",
    ".",
    "%30",
];
const SPANS: [&str; 10] = [
    "5s",
    "0ms",
    "1us",
    "-5s",
    "18446744073709551615us",
    "18446744073709551615min",
    "5",
    "s",
    "٣s",
    "",
];
/// Number of tasks that exceeds the limit of a job by one.
const TOO_MANY_TASKS: usize = 781;

/// Returns an item of a list, the first one in most calls.
fn pick(list: &'static [&'static str], rng: &mut Random) -> &'static str {
    let first = rng.random_ratio(2, 3);
    let one = if first { list.first() } else { list.choose(rng) };
    one.copied().unwrap_or_default()
}

/// Returns the bytes of a request.
pub(super) fn request(rng: &mut Random) -> Vec<u8> {
    let (method, path, body) = request_line(rng);
    let version = if rng.random_ratio(1, 20) { "HTTP/1.0" } else { "HTTP/1.1" };
    let framing = match body.is_empty() && rng.random_ratio(4, 5) {
        true => Framing::None,
        false => Framing::random(rng),
    };
    let headers = headers(&path, rng);
    let start = format!("{method} {path} {version}");
    let mut message = Message { start, headers, body, framing };
    message.corrupt(rng);
    message.write(rng)
}

fn request_line(rng: &mut Random) -> (&'static str, String, Vec<u8>) {
    const VIEWS: [&str; 7] = ["config", "executors", "firms", "jobs", "peers", "", "x/y"];
    const PLAIN: [&str; 8] =
        ["/v1/home", "/metrics", "/livez", "/readyz", "/", "//", "/v1/requests/", "*"];
    const METHODS: [&str; 7] = ["GET", "POST", "PUT", "HEAD", "OPTIONS", "CONNECT", "BREW"];
    let id = pick(&IDS, rng);
    let (method, path, body) = match rng.random_range(0..9) {
        0 | 1 => {
            let service = if rng.random_ratio(1, 8) { "none" } else { SERVICE };
            ("POST", format!("/v1/requests/{service}"), single(rng))
        }
        2..=4 => {
            let query = pick(&["", "?wait=true", "?wait=false", "?wait", "?a=b&c"], rng);
            ("POST", format!("/v1/jobs{query}"), job(rng))
        }
        5 => {
            let wait = pick(&SPANS, rng);
            ("GET", format!("/v1/jobs/{id}/answer?wait={wait}"), Vec::new())
        }
        6 => (["GET", "DELETE"][rng.random_range(0..2)], format!("/v1/jobs/{id}"), Vec::new()),
        7 => ("GET", format!("/v1/admin/show/{}", VIEWS.choose(rng).unwrap_or(&"")), Vec::new()),
        _ => ("GET", (*PLAIN.choose(rng).unwrap_or(&"/")).into(), Vec::new()),
    };
    let method = match rng.random_ratio(1, 15) {
        true => METHODS.choose(rng).copied().unwrap_or(method),
        false => method,
    };
    (method, path, body)
}

fn headers(path: &str, rng: &mut Random) -> Vec<(String, String)> {
    const FLAGS: [&str; 4] = ["true", "false", "yes", ""];
    const KEYS: [&str; 5] = ["k", "", "with space", "\u{7f}", "\u{1f600}"];
    let key = match rng.random_range(0..10) {
        0 => "nobody",
        _ if path.contains("admin") => OPERATOR,
        _ => KEY,
    };
    let mut headers: Vec<(&str, String)> =
        vec![("Host", "entry".into()), ("Authorization", format!("Bearer {key}"))];
    let mut maybe = |name, value: String, rng: &mut Random| {
        if rng.random_ratio(1, 12) {
            headers.push((name, value));
        }
    };
    maybe("Primrosestep-Id", pick(&IDS, rng).into(), rng);
    maybe("Idempotency-Key", pick(&KEYS, rng).into(), rng);
    maybe("Idempotency-Key", "k".repeat(rng.random_range(120..140)), rng);
    maybe("Primrosestep-First", pick(&FLAGS, rng).into(), rng);
    maybe("Primrosestep-Repeatable", pick(&FLAGS, rng).into(), rng);
    maybe("Primrosestep-Deadline", pick(&SPANS, rng).into(), rng);
    maybe("Primrosestep-Crew", pick(&["fitters", "none", ""], rng).into(), rng);
    maybe("Content-Type", pick(&["application/json", "a+json", "\u{e9}", ";"], rng).into(), rng);
    maybe("Expect", "100-continue".into(), rng);
    headers.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

fn single(rng: &mut Random) -> Vec<u8> {
    let max_len = if rng.random_ratio(1, 20) { 6 << 10 } else { 100 };
    bytes::arbitrary(rng, max_len)
}

fn job(rng: &mut Random) -> Vec<u8> {
    let count = match rng.random_range(0..40) {
        0 => TOO_MANY_TASKS,
        1 => 0,
        2 => TOO_MANY_TASKS - 1,
        _ => rng.random_range(1..5),
    };
    // An invalid task would be reported before the excess of tasks.
    let all_valid = count > 10;
    let make = |_| if all_valid { json!({ "body": 1 }) } else { task(rng) };
    let tasks: Vec<Value> = (0..count).map(make).collect();
    let mut job = json!({ "service": SERVICE, "tasks": tasks });
    if rng.random_ratio(1, 4) {
        job["id"] = json!(pick(&IDS, rng));
    }
    if rng.random_ratio(1, 4) {
        job["deadline"] = json!(pick(&SPANS, rng));
    }
    if rng.random_ratio(1, 4) {
        job["crew"] = json!("fitters");
        job["repeatable"] = json!(rng.random::<bool>());
    }
    if all_valid {
        serde_json::to_vec(&job).unwrap_or_default()
    } else {
        json::mutated_text(job, rng)
    }
}

fn task(rng: &mut Random) -> Value {
    match rng.random_range(0..200) {
        0 => json!({ "body": "long ".repeat(1_000) }),
        1 => json!({ "body": "text", "needs": { "slots": bytes::number(rng) } }),
        2 => json!({ "body": "AP8", "encoding": "base64" }),
        3..50 => json!({ "body": "AP8=", "encoding": "base64", "content_type": "model/step" }),
        50..100 => json!({
            "body": "text",
            "needs": { "cores": "500m", "memory": "256MiB", "slots": 1 },
            "run_time": "300ms",
        }),
        _ => json!({ "body": json::any_value(rng) }),
    }
}
