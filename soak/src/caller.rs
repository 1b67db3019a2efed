//! Callers: each hands in one job after the other, and again elsewhere after a break.

use crate::{
    document::{self, HOST, JOBS, PATIENCE_MS},
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

/// Callers hand a job in again this long after a break.
pub const RESEND: Duration = Duration::from_millis(1_300);

/// Pause before the next entry is tried when nothing was sent.
const UNSENT_PAUSE: Duration = Duration::from_millis(20);

/// Added to the time that a caller waits, for the answer's way back.
const ANSWER_WAY: Duration = Duration::from_millis(500);

/// Tasks and milliseconds a task of each kind of job, and how often it comes.
const KINDS: [(u16, u64, u32); 3] = [(8, 60, 3), (4, 450, 1), (2, 200, 6)];

/// Most milliseconds between two jobs of a caller.
const PAUSE_MS: u64 = 1_200;

/// One caller in this many leaves before its answer.
const LEAVES: u32 = 12;

/// What all callers of a play share.
#[derive(Debug)]
pub struct Shared {
    /// Where each entry is reached.
    pub entries: Vec<SocketAddr>,
    /// What is seen.
    pub history: Arc<History>,
    /// Whether they are to end.
    pub stop: AtomicBool,
}

/// Hands jobs in until it is told to end. `number` tells callers apart.
pub async fn run(shared: Arc<Shared>, seed: u64, number: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ number << 32);
    let transport = Transport::new(1, Options::default());
    for job in 1.. {
        Timer::after(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        let name = document::name(number << 32 | job);
        hand_in(&shared, &transport, &mut random, &name).await;
    }
}

async fn hand_in(shared: &Shared, transport: &Transport, random: &mut ChaCha8Rng, name: &str) {
    let Ok(&(tasks, ms, _)) = KINDS.choose_weighted(random, |(_, _, weight)| *weight) else {
        return;
    };
    let body = document::job(u32::from(tasks), ms).to_string();
    let begun = Instant::now();
    let mut entry = random.random_range(0..shared.entries.len());
    loop {
        let left = Duration::from_millis(PATIENCE_MS).saturating_sub(begun.elapsed());
        if left.is_zero() {
            return;
        }
        let attempt = shared.history.begin(name, tasks, entry);
        let ask = ask(name, attempt, &body, left);
        let leaves_after = random.random_ratio(1, LEAVES).then(|| random.random_range(1..400));
        let leave = async {
            match leaves_after {
                Some(ms) => Timer::after(Duration::from_millis(ms)).await,
                None => smol::future::pending().await,
            };
            None
        };
        let answer = async { Some(transport.send(shared.entries[entry], ask).await) };
        let outcome = answer.or(leave).await.map_or(Outcome::Left, outcome);
        shared.history.end(name, attempt, outcome);
        match outcome {
            Outcome::Unsent => drop(Timer::after(UNSENT_PAUSE).await),
            Outcome::Broken | Outcome::GivenUp | Outcome::Odd(_) => {
                Timer::after(RESEND).await;
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

fn ask(name: &str, attempt: usize, body: &str, left: Duration) -> RawRequest {
    let headers = vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", history::request(name, attempt)),
        ("X-Remaining-Milliseconds", left.as_millis().to_string()),
    ];
    let path = format!("{JOBS}{name}");
    let body = body.to_owned().into();
    RawRequest { method: Method::Post, path, headers, body, time_limit: left + ANSWER_WAY }
}

fn outcome(answer: Result<RawResponse, RequestError>) -> Outcome {
    match answer {
        Ok(reply) => match (reply.status, &reply.body[..]) {
            (200, br#"{"state":"completed"}"#) => Outcome::Completed,
            (200, br#"{"state":"failed"}"#) => Outcome::Failed,
            (429 | 503, _) => Outcome::Refused,
            (504, _) => Outcome::GivenUp,
            (status, _) => Outcome::Odd(status),
        },
        Err(RequestError::Lost) => Outcome::Broken,
        Err(RequestError::TimedOut) => Outcome::TimedOut,
        Err(RequestError::Unsent(_) | RequestError::Invalid) => Outcome::Unsent,
    }
}
