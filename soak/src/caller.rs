//! Simulated callers: each submits one job after the other, and retries at another entry after a
//! lost connection.

use crate::{
    document::{self, BRIEF_JOB, HOST, JOB_KINDS, JobKind, LASTING_JOB},
    history::{self, History, Outcome},
    plan,
};
use endpoint::http::{Options, RawClient as Transport, RawRequest, RawResponse, RequestError};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use smol::{Timer, future::FutureExt};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
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

/// Longest pause between two jobs of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_200;

/// The same in a surge.
const MAX_SURGE_PAUSE_MS: u64 = 200;

/// Number of attempts to submit a job for which a caller waits briefly.
const BRIEF_ATTEMPTS: usize = 2;

/// One attempt in this many may be abandoned before its answer.
const LEAVE_ONE_IN: u32 = 12;

/// Index of the entry that gets most jobs of long tasks and of callers that wait briefly.
pub const BUSY_ENTRY: usize = 0;

/// Part of the jobs of long tasks that are submitted to that entry first.
const BUSY_ENTRY_PERCENT: u32 = 60;

/// State that all callers of a play share.
#[derive(Debug)]
pub struct Shared {
    /// Address of each entry, by index.
    pub entries: Vec<SocketAddr>,
    /// Log of the play, which attempts are recorded in.
    pub history: Arc<History>,
    /// Set when the callers should end.
    pub stop: AtomicBool,
    /// Seed of the play.
    pub seed: u64,
    /// Number of the next caller; starts at 1.
    pub next_number: AtomicU64,
}

/// Which jobs a caller submits, and how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    /// Jobs of all kinds until `Shared::stop` is set.
    Usual,
    /// Jobs of long tasks until `Shared::stop` is set, most of them to one entry, so that its own
    /// executors can't run all of them.
    Lasting,
    /// Jobs for which they wait briefly, until `Shared::stop` is set. They leave as soon as they no longer
    /// wait, and submit the job once more.
    Brief,
    /// Jobs of one kind until a time.
    Surge {
        /// Index of the kind.
        kind: usize,
        /// When the surge ends.
        until: Instant,
    },
}

impl Load {
    fn max_pause_ms(self) -> u64 {
        match self {
            Load::Usual | Load::Lasting => MAX_PAUSE_MS,
            Load::Surge { .. } | Load::Brief => MAX_SURGE_PAUSE_MS,
        }
    }

    fn has_ended(self, shared: &Shared) -> bool {
        match self {
            Load::Usual | Load::Lasting | Load::Brief => shared.stop.load(Ordering::Relaxed),
            Load::Surge { until, .. } => Instant::now() >= until,
        }
    }

    /// Draws the entry that a job is submitted to first.
    fn draw_entry(self, random: &mut ChaCha8Rng, entries: usize) -> usize {
        match self {
            Load::Lasting | Load::Brief if random.random_ratio(BUSY_ENTRY_PERCENT, 100) => {
                BUSY_ENTRY
            }
            Load::Usual | Load::Lasting | Load::Brief | Load::Surge { .. } => {
                random.random_range(0..entries)
            }
        }
    }

    /// Returns how long the caller of a job still waits, `elapsed` after it first submitted the job. One
    /// that waits briefly takes the whole time again for its second attempt.
    fn left(self, kind: &JobKind, elapsed: Duration, attempts: usize) -> Duration {
        let timeout = Duration::from_millis(kind.timeout_ms);
        match self {
            Load::Brief if attempts < BRIEF_ATTEMPTS => timeout,
            Load::Brief => Duration::ZERO,
            Load::Usual | Load::Lasting | Load::Surge { .. } => timeout.saturating_sub(elapsed),
        }
    }

    /// Draws when the caller leaves without an answer, if it does. In plays with brief jobs none leaves
    /// before its wait is over: entries can't know of it while the ends of connections are held up.
    fn draw_leave(self, random: &mut ChaCha8Rng, left: Duration, seed: u64) -> Option<Duration> {
        let leaves = random.random_ratio(1, LEAVE_ONE_IN);
        let early = leaves.then(|| Duration::from_millis(random.random_range(1..400)));
        match self {
            Load::Brief => Some(left),
            Load::Usual | Load::Lasting | Load::Surge { .. } => {
                early.filter(|_| !plan::has_brief_jobs(seed))
            }
        }
    }

    fn draw_kind(self, random: &mut ChaCha8Rng) -> &'static JobKind {
        match self {
            Load::Usual => JOB_KINDS
                .choose_weighted(random, |kind| kind.weight)
                .expect("the weights are constants above 0"),
            Load::Lasting => &LASTING_JOB,
            Load::Brief => &BRIEF_JOB,
            Load::Surge { kind, .. } => &JOB_KINDS[kind],
        }
    }
}

/// Submits jobs while its load lasts. `number` identifies the caller.
pub async fn run(shared: Arc<Shared>, number: u64, load: Load) {
    let mut random = ChaCha8Rng::seed_from_u64(shared.seed ^ number << 32);
    let transport = Transport::new(1, Options::default());
    for job in 1.. {
        Timer::after(Duration::from_millis(random.random_range(0..load.max_pause_ms()))).await;
        if load.has_ended(&shared) {
            return;
        }
        let name = document::name(number << 32 | job);
        submit(&shared, &transport, &mut random, &name, load).await;
    }
}

async fn submit(
    shared: &Shared,
    transport: &Transport,
    random: &mut ChaCha8Rng,
    name: &str,
    load: Load,
) {
    let kind = load.draw_kind(random);
    let body = kind.job().to_string();
    let begun = Instant::now();
    let mut entry = load.draw_entry(random, shared.entries.len());
    for attempts in 0.. {
        let left = load.left(kind, begun.elapsed(), attempts);
        if left.is_zero() {
            return;
        }
        let attempt = shared.history.begin(name, kind.tasks, entry);
        let request = build_request(kind.path, name, attempt, &body, left);
        let leaves_after = load.draw_leave(random, left, shared.seed);
        let leave = async {
            match leaves_after {
                Some(after) => Timer::after(after).await,
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
            Outcome::Left if load == Load::Brief => drop(Timer::after(RESEND_DELAY).await),
            Outcome::Completed
            | Outcome::Failed
            | Outcome::Refused { .. }
            | Outcome::TimedOut
            | Outcome::Left => return,
        }
        entry =
            (entry + random.random_range(1..shared.entries.len().max(2))) % shared.entries.len();
    }
}

fn build_request(
    prefix: &str,
    name: &str,
    attempt: usize,
    body: &str,
    left: Duration,
) -> RawRequest {
    let headers = vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", history::request(name, attempt)),
        ("X-Remaining-Milliseconds", left.as_millis().to_string()),
    ];
    let path = format!("{prefix}{name}");
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
            (429 | 503, _) => Outcome::Refused { has_retry_after: reply.retry_after.is_some() },
            (504, _) => Outcome::GivenUp,
            (status, _) => Outcome::Unexpected(status),
        },
        Err(RequestError::Lost | RequestError::TooLarge) => Outcome::Disconnected,
        Err(RequestError::TimedOut) => Outcome::TimedOut,
        Err(RequestError::Unsent(_) | RequestError::Invalid) => Outcome::Unsent,
    }
}
