//! Key claims. The first claim of a caller's idempotency key determines, for all entries, which
//! submission the key identifies, and thereby its home.
//!
//! Claims are stored in one document per shard, which is changed by compare-and-swap. A claim is
//! kept until it expires by the clocks of the entries. It must expire later than the last time at
//! which its key may be sent again, by more than the difference between those clocks.

mod document;
mod rate_limiter;

pub use rate_limiter::RateLimiter;

use self::document::Document;
use crate::{
    Store, path,
    store::{Compare, Consistency, Key, KeyValue, Listing, Op, Put, Range, Revision, Txn},
};
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use site::{
    id::{FirmId, SubmissionId},
    unit::{Span, Time},
};
use std::{
    collections::BTreeMap,
    time::{SystemTime, UNIX_EPOCH},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of writes of one commit.
const MAX_ATTEMPTS: usize = 5;

/// Maximum size of a document, in bytes. Well below the maximum value size of the store.
pub const DOCUMENT_LIMIT: usize = 512 << 10;

/// Wall-clock time, in seconds since 1970.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl From<SystemTime> for Timestamp {
    fn from(time: SystemTime) -> Timestamp {
        Timestamp(time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs()))
    }
}

/// Number of a claim document.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:02x}")]
pub struct Shard(pub u8);

impl Shard {
    /// Returns the shard of a firm's key.
    pub fn of(firm: FirmId, key: &str) -> Shard {
        Shard(xxh3_64_with_seed(key.as_bytes(), firm.0) as u8)
    }

    /// Returns the store key of the shard's document.
    pub fn key(self) -> Key {
        Key::from(path::CLAIMS).join(self)
    }
}

/// A request to make an idempotency key identify a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The firm that the key belongs to. Equal keys of different firms are unrelated.
    pub firm: FirmId,
    /// The idempotency key.
    pub key: CompactString,
    /// The submission that the key identifies from now on, if it has no claim yet.
    pub id: SubmissionId,
    /// An existing claim for this submission is replaced; `None` replaces no claim.
    pub replaces: Option<SubmissionId>,
    /// Time after which the claim may be dropped.
    pub expires: Timestamp,
}

/// Why claims were not committed.
#[derive(Clone, Copy, Debug, Display, Error, Eq, From, PartialEq)]
pub enum Error {
    /// The store failed.
    #[from]
    Store(crate::Error),
    /// The document has no space for further claims until others expire.
    #[display("claim document {shard} is full")]
    Full {
        /// Shard of the document.
        shard: Shard,
    },
    /// The document can't be parsed.
    #[display("claim document {shard} is malformed")]
    Malformed {
        /// Shard of the document.
        shard: Shard,
    },
    /// The rate limit of writes is reached.
    #[display("the rate limit of claim writes is reached; retry after {retry_after}")]
    RateLimited {
        /// Time until the next write is allowed.
        retry_after: Span,
    },
    /// Every attempt failed because another writer had changed the document.
    #[display("claim document {shard} has too many concurrent writers")]
    Contended {
        /// Shard of the document.
        shard: Shard,
    },
}

/// The current time of two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time, for the rate limit.
    pub time: Time,
    /// Wall-clock time, for the expiry of claims.
    pub calendar: Timestamp,
}

/// Claims of one shard that are committed together.
#[derive(Clone, Debug)]
pub struct Batch {
    shard: Shard,
    claims: Vec<Claim>,
}

/// Commits one claim. Returns the submission that the key identifies, which contains its home.
///
/// # Errors
///
/// See [`Batch::commit`].
pub async fn claim(
    store: &dyn Store,
    limiter: &RateLimiter,
    now: Now,
    claim: Claim,
) -> Result<SubmissionId, Error> {
    let shard = Shard::of(claim.firm, &claim.key);
    let own = claim.id;
    let winners = Batch { shard, claims: vec![claim] }.commit(store, limiter, now).await?;
    Ok(winners.first().copied().unwrap_or(own))
}

impl Batch {
    /// Groups claims by shard and preserves their order.
    pub fn split(claims: impl IntoIterator<Item = Claim>) -> Vec<Batch> {
        let mut shards: BTreeMap<Shard, Vec<Claim>> = BTreeMap::new();
        for claim in claims {
            shards.entry(Shard::of(claim.firm, &claim.key)).or_default().push(claim);
        }
        shards.into_iter().map(|(shard, claims)| Batch { shard, claims }).collect()
    }

    /// Returns the shard of all claims.
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// Returns the claims, in order.
    pub fn claims(&self) -> &[Claim] {
        &self.claims
    }

    /// Commits the claims with one read and one write, and with more under contention or after lost
    /// responses. Writes nothing if all keys are already claimed. Returns the submission that each
    /// key identifies, in the order of the claims.
    ///
    /// # Errors
    ///
    /// The result of no claim of the batch is known. A write may still take effect later, which is
    /// harmless, since only the home that made the claim may admit its submission.
    pub async fn commit(
        &self,
        store: &dyn Store,
        limiter: &RateLimiter,
        now: Now,
    ) -> Result<Vec<SubmissionId>, Error> {
        let mut current = self.read(store).await?;
        let mut failure = Error::Contended { shard: self.shard };
        for _ in 0..MAX_ATTEMPTS {
            let (mut document, revision) = self.parse(current)?;
            let merged = document.merge(&self.claims, now.calendar);
            if !merged.changed {
                return Ok(merged.winners);
            }
            let value = document.encode().ok_or(Error::Full { shard: self.shard })?;
            limiter.acquire(now.time).map_err(|retry_after| Error::RateLimited { retry_after })?;
            current = match store.txn(self.swap(revision, value)).await {
                Ok(outcome) if outcome.succeeded => return Ok(merged.winners),
                Ok(outcome) => first(outcome.listings),
                Err(error) if error.is_indeterminate() => {
                    failure = error.into();
                    self.read(store).await?
                }
                Err(error) => return Err(error.into()),
            };
        }
        Err(failure)
    }

    async fn read(&self, store: &dyn Store) -> Result<Option<KeyValue>, crate::Error> {
        let range = Range::Key(self.shard.key());
        let listing = store.range(range, Consistency::Linearizable).await?;
        Ok(first(vec![listing]))
    }

    fn parse(&self, stored: Option<KeyValue>) -> Result<(Document, Revision), Error> {
        let Some(stored) = stored else { return Ok((Document::default(), Revision::NONE)) };
        let document = Document::parse(&stored.value);
        let document = document.ok_or(Error::Malformed { shard: self.shard })?;
        Ok((document, stored.mod_revision))
    }

    fn swap(&self, revision: Revision, value: Vec<u8>) -> Txn {
        let key = self.shard.key();
        Txn {
            compares: vec![Compare::unchanged(key.clone(), revision)],
            success: vec![Op::Put(Put { key: key.clone(), value: value.into(), lease: None })],
            failure: vec![Op::Get(Range::Key(key))],
        }
    }
}

fn first(listings: Vec<Listing>) -> Option<KeyValue> {
    listings.into_iter().flat_map(|listing| listing.values).next()
}
