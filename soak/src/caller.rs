//! Simulated callers: each submits one job after the other, and retries at another entry after a
//! lost connection.

use crate::{
    document::{self, CALLER_TIMEOUT_MS, HOST, JOBS_PATH},
    history::{self, History, Outcome},
};
use endpoint::http::{Options, RawClient as Transport, RawRequest, RawResponse, RequestError};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use smol::{Timer, future::FutureExt};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use trillium_client::Method;

/// Delay until callers submit a job again after a lost connection.
pub const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// Pause before the next entry is tried when a request could not be sent.
const UNSENT_PAUSE: Duration = Duration::from_millis(20);

/// Added to the caller's timeout, for the network delay of the answer.
const ANSWER_DELAY_ALLOWANCE: Duration = Duration::from_millis(500);

/// Number of tasks, milliseconds per task and relative frequency of each kind of job.
const JOB_KINDS: [(u16, u64, u32); 3] = [(8, 60, 3), (4, 450, 1), (2, 200, 6)];

/// Longest pause between two jobs of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_200;

/// One attempt in this many may be abandoned before its answer.
const LEAVE_ONE_IN: u32 = 12;

/// State that all callers of a play share.
#[derive(Debug)]
pub struct Shared {
    /// Address of each entry, by index.
    pub entries: Vec<SocketAddr>,
    /// Log of the play, which attempts are recorded in.
    pub history: Arc<History>,
    /// Set when the callers should end.
    pub stop: AtomicBool,
}

/// Submits jobs until `stop` is set. `number` identifies the caller.
pub async fn run(shared: Arc<Shared>, seed: u64, number: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ number << 32);
    let transport = Transport::new(1, Options::default());
    for job in 1.. {
        Timer::after(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        let name = document::name(number << 32 | job);
        submit(&shared, &transport, &mut random, &name).await;
    }
}

async fn submit(shared: &Shared, transport: &Transport, random: &mut ChaCha8Rng, name: &str) {
    let Ok(&(tasks, ms, _)) = JOB_KINDS.choose_weighted(random, |(_, _, weight)| *weight) else {
        return;
    };
    let body = document::job(u32::from(tasks), ms).to_string();
    let begun = Instant::now();
    let mut entry = random.random_range(0..shared.entries.len());
    loop {
        let left = Duration::from_millis(CALLER_TIMEOUT_MS).saturating_sub(begun.elapsed());
        if left.is_zero() {
            return;
        }
        let attempt = shared.history.begin(name, tasks, entry);
        let request = build_request(name, attempt, &body, left);
        let leaves_after =
            random.random_ratio(1, LEAVE_ONE_IN).then(|| random.random_range(1..400));
        let leave = async {
            match leaves_after {
                Some(ms) => Timer::after(Duration::from_millis(ms)).await,
                None => smol::future::pending().await,
            };
            None
        };
        let answer = async { Some(transport.send(shared.entries[entry], request).await) };
        let outcome = answer.or(leave).await.map_or(Outcome::Left, outcome);
        shared.history.end(name, attempt, outcome);
        match outcome {
            Outcome::Unsent => drop(Timer::after(UNSENT_PAUSE).await),
            Outcome::Disconnected | Outcome::GivenUp | Outcome::Unexpected(_) => {
                Timer::after(RESEND_DELAY).await;
            }
            Outcome::Completed
            | Outcome::Failed
            | Outcome::Refused
            | Outcome::TimedOut
            | Outcome::Left => return,
        }
        entry =
            (entry + random.random_range(1..shared.entries.len().max(2))) % shared.entries.len();
    }
}

fn build_request(name: &str, attempt: usize, body: &str, left: Duration) -> RawRequest {
    let headers = vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", history::request(name, attempt)),
        ("X-Remaining-Milliseconds", left.as_millis().to_string()),
    ];
    let path = format!("{JOBS_PATH}{name}");
    let body = body.to_owned().into();
    RawRequest {
        method: Method::Post,
        path,
        headers,
        body,
        time_limit: left + ANSWER_DELAY_ALLOWANCE,
    }
}

fn outcome(answer: Result<RawResponse, RequestError>) -> Outcome {
    match answer {
        Ok(reply) => match (reply.status, &reply.body[..]) {
            (200, br#"{"state":"completed"}"#) => Outcome::Completed,
            (200, br#"{"state":"failed"}"#) => Outcome::Failed,
            (429 | 503, _) => Outcome::Refused,
            (504, _) => Outcome::GivenUp,
            (status, _) => Outcome::Unexpected(status),
        },
        Err(RequestError::Lost) => Outcome::Disconnected,
        Err(RequestError::TimedOut) => Outcome::TimedOut,
        Err(RequestError::Unsent(_) | RequestError::Invalid) => Outcome::Unsent,
    }
}
