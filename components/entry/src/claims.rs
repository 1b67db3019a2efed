//! Key claims: writes claims on callers' idempotency keys to the platform, in batches and at a
//! limited rate.

use crate::{Engine, failpoint::failpoint};
use async_channel::Receiver;
use compact_str::CompactString;
use dispatch::{Event, event};
use futures_lite::FutureExt;
use platform::{
    Store,
    claim::{Batch, Claim, Error, Now, RateLimiter, Timestamp},
};
use site::{
    id::{FirmId, SubmissionId, WaiterId},
    unit::{Span, Time},
};
use smol::Timer;
use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

/// Maximum number of claims in one round of batches.
const MAX_ROUND_CLAIMS: usize = 256;

/// Time during which claims are collected for a round.
const ROUND_DELAY: Duration = Duration::from_millis(2);

/// Sustained rate of claim writes of one entry, per second.
const WRITES_PER_SECOND: u32 = 20;

/// Maximum burst of claim writes of one entry.
const WRITE_BURST: u32 = 20;

/// Time to live of a claimed key. Callers must not resubmit a key after this time, less the
/// difference between the entries' clocks.
pub const KEY_TTL: Span = Span::from_secs(24 * 3600);

/// A key claim requested by the decision logic.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The caller that waits for the result.
    pub waiter: WaiterId,
    /// The firm whose key it is.
    pub firm: FirmId,
    /// The idempotency key.
    pub key: CompactString,
    /// Submission that the key is to be bound to.
    pub id: SubmissionId,
    /// An existing claim for this submission is replaced; `None` replaces no claim.
    pub replaces: Option<SubmissionId>,
    /// Deadline after which the result is [`event::ClaimResult::Unavailable`].
    pub until: Time,
}

/// Commits the claims that an engine requests. Returns once the engine is dropped.
pub(crate) async fn run(engine: Arc<Engine>, store: Arc<dyn Store>) {
    let requests = engine.claims();
    let limiter = Arc::new(RateLimiter::new(WRITES_PER_SECOND, WRITE_BURST));
    while let Ok(first) = requests.recv().await {
        Timer::after(ROUND_DELAY).await;
        let round = collect_round(first, &requests);
        for (batch, requests) in batches(round) {
            let commit = Commit { engine: engine.clone(), store: store.clone(), batch, requests };
            crate::spawn::spawn(commit.run(limiter.clone()));
        }
    }
}

fn collect_round(first: ClaimRequest, more: &Receiver<ClaimRequest>) -> Vec<ClaimRequest> {
    let more = std::iter::from_fn(|| more.try_recv().ok());
    std::iter::once(first).chain(more).take(MAX_ROUND_CLAIMS).collect()
}

/// Groups the claims by document, each batch with its requests in the same order.
fn batches(round: Vec<ClaimRequest>) -> Vec<(Batch, Vec<ClaimRequest>)> {
    let expires = Timestamp(Timestamp::from(SystemTime::now()).0 + KEY_TTL.as_secs_ceil());
    let claim = |request: &ClaimRequest| Claim {
        firm: request.firm,
        key: request.key.clone(),
        id: request.id,
        replaces: request.replaces,
        expires,
    };
    let batches = Batch::split(round.iter().map(claim));
    let with_waiters = |batch: Batch| {
        let of_batch = |request: &&ClaimRequest| {
            platform::claim::Shard::of(request.firm, &request.key) == batch.shard()
        };
        let requests = round.iter().filter(of_batch).cloned().collect();
        (batch, requests)
    };
    batches.into_iter().map(with_waiters).collect()
}

/// The commit of one document's claims.
struct Commit {
    engine: Arc<Engine>,
    store: Arc<dyn Store>,
    batch: Batch,
    /// One request for each claim of the batch, in the same order.
    requests: Vec<ClaimRequest>,
}

impl Commit {
    async fn run(self, limiter: Arc<RateLimiter>) {
        let late = async {
            Timer::after(Duration::from_micros(self.time_left().0)).await;
            tracing::warn!(claims = self.requests.len(), "claims not settled in time");
            self.fail();
        };
        self.commit(limiter).or(late).await;
    }

    async fn commit(&self, limiter: Arc<RateLimiter>) {
        loop {
            failpoint!("before-claim");
            let committed = self.batch.commit(&*self.store, &limiter, self.now()).await;
            failpoint!("after-claim");
            match committed {
                Ok(winners) => return self.settle(&winners),
                Err(Error::RateLimited { retry_after }) if self.time_left() > retry_after => {
                    Timer::after(Duration::from_micros(retry_after.0)).await;
                }
                Err(error) => {
                    tracing::warn!(%error, claims = self.requests.len(), "claims not settled");
                    return self.fail();
                }
            }
        }
    }

    fn now(&self) -> Now {
        let calendar = Timestamp::from(SystemTime::now());
        Now { time: self.engine.clock().now(), calendar }
    }

    /// Returns the time left until the earliest deadline of the claims.
    fn time_left(&self) -> Span {
        let until = self.requests.iter().map(|request| request.until).min();
        until.unwrap_or(Time::NEVER).since(self.engine.clock().now())
    }

    fn settle(&self, winners: &[SubmissionId]) {
        self.engine.metrics().record_platform_call("claim", true);
        for (request, winner) in self.requests.iter().zip(winners) {
            let result = match *winner == request.id {
                true => event::ClaimResult::Won(*winner),
                false => event::ClaimResult::Taken(*winner),
            };
            self.engine.post(Event::Claimed { waiter: request.waiter, result });
        }
    }

    fn fail(&self) {
        self.engine.metrics().record_platform_call("claim", false);
        for request in &self.requests {
            let result = event::ClaimResult::Unavailable;
            self.engine.post(Event::Claimed { waiter: request.waiter, result });
        }
    }
}
