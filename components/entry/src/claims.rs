//! Claims on callers' keys, sent to the platform in batches within a budget of writes.

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

/// Most claims that are gathered before they are written.
const MAX_GATHERED: usize = 256;

/// Time in which claims are gathered.
const GATHERING: Duration = Duration::from_millis(2);

/// Writes of claims that one entry makes in a second.
const WRITES: u32 = 20;

/// Writes of claims that one entry makes at one time.
const BURST: u32 = 20;

/// How long a key is remembered. Callers must not send a key again later than this, less the
/// difference of the entries' clocks.
pub const KEY_LIFE: Span = Span::from_secs(24 * 3600);

/// A claim that is wanted.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Who waits for the outcome.
    pub waiter: WaiterId,
    /// The key's firm.
    pub firm: FirmId,
    /// The key.
    pub key: CompactString,
    /// What the key shall stand for.
    pub id: SubmissionId,
    /// A claim for this identifier gives way.
    pub replaces: Option<SubmissionId>,
    /// The outcome is [`event::Claim::Out`] when it is not known by then.
    pub until: Time,
}

/// Settles an engine's claims. Returns when the engine is gone.
pub(crate) async fn run(engine: Arc<Engine>, store: Arc<dyn Store>) {
    let wanted = engine.claims();
    let budget = Arc::new(RateLimiter::new(WRITES, BURST));
    while let Ok(first) = wanted.recv().await {
        Timer::after(GATHERING).await;
        let gathered = gather(first, &wanted);
        for (batch, waiters) in batches(gathered) {
            let commit = Commit { engine: engine.clone(), store: store.clone(), batch, waiters };
            crate::spawn::spawn(commit.run(budget.clone()));
        }
    }
}

fn gather(first: Wanted, more: &Receiver<Wanted>) -> Vec<Wanted> {
    let more = std::iter::from_fn(|| more.try_recv().ok());
    std::iter::once(first).chain(more).take(MAX_GATHERED).collect()
}

/// The claims by document, each with those that wait, in the same order.
fn batches(gathered: Vec<Wanted>) -> Vec<(Batch, Vec<Wanted>)> {
    let expires = Timestamp(Timestamp::from(SystemTime::now()).0 + KEY_LIFE.as_secs());
    let claim = |wanted: &Wanted| Claim {
        firm: wanted.firm,
        key: wanted.key.clone(),
        id: wanted.id,
        replaces: wanted.replaces,
        expires,
    };
    let batches = Batch::split(gathered.iter().map(claim));
    let with_waiters = |batch: Batch| {
        let of_batch = |wanted: &&Wanted| {
            platform::claim::Shard::of(wanted.firm, &wanted.key) == batch.shard()
        };
        let waiters = gathered.iter().filter(of_batch).cloned().collect();
        (batch, waiters)
    };
    batches.into_iter().map(with_waiters).collect()
}

/// The claims of one document on their way.
struct Commit {
    engine: Arc<Engine>,
    store: Arc<dyn Store>,
    batch: Batch,
    /// In the order of the batch's claims.
    waiters: Vec<Wanted>,
}

impl Commit {
    async fn run(self, budget: Arc<RateLimiter>) {
        let late = async {
            Timer::after(Duration::from_micros(self.patience().0)).await;
            tracing::warn!(claims = self.waiters.len(), "claims not settled in time");
            self.fail();
        };
        self.commit(budget).or(late).await;
    }

    async fn commit(&self, budget: Arc<RateLimiter>) {
        loop {
            failpoint!("before-claim");
            let committed = self.batch.commit(&*self.store, &budget, self.now()).await;
            failpoint!("after-claim");
            match committed {
                Ok(winners) => return self.settle(&winners),
                Err(Error::RateLimited { retry_after }) if self.patience() > retry_after => {
                    Timer::after(Duration::from_micros(retry_after.0)).await;
                }
                Err(error) => {
                    tracing::warn!(%error, claims = self.waiters.len(), "claims not settled");
                    return self.fail();
                }
            }
        }
    }

    fn now(&self) -> Now {
        let calendar = Timestamp::from(SystemTime::now());
        Now { time: self.engine.clock().now(), calendar }
    }

    /// Time until the first of the claims must be settled.
    fn patience(&self) -> Span {
        let until = self.waiters.iter().map(|wanted| wanted.until).min();
        until.unwrap_or(Time::NEVER).since(self.engine.clock().now())
    }

    fn settle(&self, winners: &[SubmissionId]) {
        self.engine.metrics().called("claim", true);
        for (wanted, winner) in self.waiters.iter().zip(winners) {
            let result = match *winner == wanted.id {
                true => event::Claim::Won(*winner),
                false => event::Claim::Taken(*winner),
            };
            self.engine.post(Event::Claimed { waiter: wanted.waiter, result });
        }
    }

    fn fail(&self) {
        self.engine.metrics().called("claim", false);
        for wanted in &self.waiters {
            let result = event::Claim::Out;
            self.engine.post(Event::Claimed { waiter: wanted.waiter, result });
        }
    }
}
