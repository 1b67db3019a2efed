//! Key claims: the first claim wins, also with lost responses, delayed writes and rate limits.

mod common;

use common::{client, home, key, put, spawn};
use platform::{
    Error, Store, claim,
    claim::{Batch, Claim, Now, RateLimiter, Shard, Timestamp},
    store::{Consistency, Range},
};
use site::{
    id::{FirmId, SubmissionId, Token},
    unit::{Span, Time},
};
use smol::{block_on, future::zip};
use uuid::Uuid;

const FIRM: FirmId = FirmId(7);
const SOON: Timestamp = Timestamp(2_000);

fn now() -> Now {
    Now { time: Time(1), calendar: Timestamp(1_000) }
}

fn unlimited() -> RateLimiter {
    RateLimiter::new(1_000_000, 1_000)
}

fn new_claim(entry: u64, key: &str) -> Claim {
    Claim {
        firm: FIRM,
        key: key.into(),
        id: SubmissionId {
            token: Token { home: home(entry, 1), epoch: 0 },
            unique: Uuid::new_v4(),
        },
        replaces: None,
        expires: SOON,
    }
}

/// Returns keys of the same shard.
fn keys_of_one_shard(count: usize) -> Vec<String> {
    let shard = Shard::of(FIRM, "0");
    let keys = (0..).map(|n| n.to_string());
    keys.filter(|key| Shard::of(FIRM, key) == shard).take(count).collect()
}

#[test]
fn the_first_claim_of_a_key_wins() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let (first, second) = (new_claim(1, "k"), new_claim(2, "k"));
        let limiter = unlimited();
        let winner = claim::claim(&store, &limiter, now(), first.clone()).await;
        assert_eq!(winner, Ok(first.id));
        let writes = platform.calls().writes;
        assert_eq!(claim::claim(&store, &limiter, now(), second.clone()).await, Ok(first.id));
        assert_eq!(platform.calls().writes, writes);

        let other = Claim { firm: FirmId(8), ..second.clone() };
        assert_eq!(claim::claim(&store, &limiter, now(), other).await, Ok(second.id));
        let replacing = Claim { replaces: Some(first.id), ..second.clone() };
        assert_eq!(claim::claim(&store, &limiter, now(), replacing.clone()).await, Ok(second.id));
        assert_eq!(claim::claim(&store, &limiter, now(), first).await, Ok(second.id));
        assert_eq!(claim::claim(&store, &limiter, now(), replacing).await, Ok(second.id));
    });
}

#[test]
fn one_of_two_concurrent_claims_wins() {
    block_on(async {
        let platform = spawn();
        let (here, there) = (client(&platform), client(&platform));
        for round in 0..30 {
            let key = round.to_string();
            let (first, second) = (new_claim(1, &key), new_claim(2, &key));
            let ids = [first.id, second.id];
            let (limiter, other_limiter) = (unlimited(), unlimited());
            let (one, two) = zip(
                claim::claim(&here, &limiter, now(), first),
                claim::claim(&there, &other_limiter, now(), second),
            )
            .await;
            assert_eq!(one, two);
            assert!(ids.contains(&one.unwrap()));
        }
    });
}

#[test]
fn a_batch_takes_one_read_and_one_write() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let keys = keys_of_one_shard(20);
        let claims: Vec<_> = keys.iter().map(|key| new_claim(1, key)).collect();
        let again = Claim { id: new_claim(2, "").id, ..claims[3].clone() };
        let batches = Batch::split(claims.iter().cloned().chain([again]));
        assert_eq!(batches.len(), 1);
        let winners = batches[0].commit(&store, &unlimited(), now()).await.unwrap();
        let expected: Vec<_> = claims.iter().chain([&claims[3]]).map(|claim| claim.id).collect();
        assert_eq!(winners, expected);
        assert_eq!((platform.calls().reads, platform.calls().writes), (1, 1));
    });
}

#[test]
fn a_claim_succeeds_after_a_lost_response() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mine = new_claim(1, "k");
        platform.lose_answers(1);
        assert_eq!(claim::claim(&store, &unlimited(), now(), mine.clone()).await, Ok(mine.id));
        assert_eq!(platform.calls().writes, 1);
        assert_eq!(claim::claim(&store, &unlimited(), now(), new_claim(2, "k")).await, Ok(mine.id));
    });
}

#[test]
fn a_delayed_write_does_not_change_a_committed_claim() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mine = new_claim(1, "k");
        platform.hold_changes(1);
        assert_eq!(claim::claim(&store, &unlimited(), now(), mine.clone()).await, Ok(mine.id));
        platform.release();
        assert_eq!(claim::claim(&store, &unlimited(), now(), new_claim(2, "k")).await, Ok(mine.id));

        platform.hold_changes(u32::MAX);
        let (other, third) = (new_claim(1, "l"), new_claim(3, "l"));
        let unknown = claim::claim(&store, &unlimited(), now(), other.clone()).await;
        assert_eq!(unknown, Err(claim::Error::Store(Error::Unknown)));
        platform.hold_changes(0);
        assert_eq!(claim::claim(&store, &unlimited(), now(), third.clone()).await, Ok(third.id));
        platform.release();
        assert_eq!(claim::claim(&store, &unlimited(), now(), other).await, Ok(third.id));
    });
}

#[test]
fn a_delayed_claim_wins_if_no_other_came_before() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mine = new_claim(1, "k");
        platform.hold_changes(u32::MAX);
        let unknown = claim::claim(&store, &unlimited(), now(), mine.clone()).await;
        assert_eq!(unknown, Err(claim::Error::Store(Error::Unknown)));
        platform.hold_changes(0);
        platform.release();
        assert_eq!(claim::claim(&store, &unlimited(), now(), new_claim(2, "k")).await, Ok(mine.id));
    });
}

#[test]
fn no_claim_is_committed_during_an_outage() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        platform.down(true);
        let refused = claim::claim(&store, &unlimited(), now(), new_claim(1, "k")).await;
        assert_eq!(refused, Err(claim::Error::Store(Error::Unreachable)));
        platform.down(false);
        let other = new_claim(2, "k");
        assert_eq!(claim::claim(&store, &unlimited(), now(), other.clone()).await, Ok(other.id));
    });
}

#[test]
fn expired_claims_are_dropped_when_the_document_is_written() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let keys = keys_of_one_shard(2);
        let (old, new) = (new_claim(1, &keys[0]), new_claim(2, &keys[0]));
        claim::claim(&store, &unlimited(), now(), old.clone()).await.unwrap();
        let last = Now { calendar: Timestamp(SOON.0 - 1), ..now() };
        assert_eq!(claim::claim(&store, &unlimited(), last, new.clone()).await, Ok(old.id));
        let later = Now { calendar: SOON, ..now() };
        let other = Claim { expires: Timestamp(9_000), ..new_claim(3, &keys[1]) };
        claim::claim(&store, &unlimited(), later, other).await.unwrap();
        let document = Range::Key(Shard::of(FIRM, &keys[0]).key());
        let listing = store.range(document, Consistency::Linearizable).await.unwrap();
        let text = String::from_utf8(listing.values[0].value.to_vec()).unwrap();
        assert!(!text.contains(&old.id.to_string()), "{text}");
    });
}

#[test]
fn a_full_or_malformed_document_is_an_error() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let shard = Shard::of(FIRM, "0");
        // Each claim takes more than 100 bytes.
        let many = keys_of_one_shard(claim::DOCUMENT_LIMIT / 100);
        let batch = Batch::split(many.iter().map(|key| new_claim(1, key))).remove(0);
        let full = batch.commit(&store, &unlimited(), now()).await;
        assert_eq!(full.map(drop), Err(claim::Error::Full { shard }));
        assert_eq!(platform.calls().writes, 0);

        store.put(put(&shard.key().0, "{")).await.unwrap();
        let broken = claim::claim(&store, &unlimited(), now(), new_claim(1, "0")).await;
        assert_eq!(broken, Err(claim::Error::Malformed { shard }));
        assert_eq!(shard.key(), key(&format!("/primrosestep/claims/{shard}")));
    });
}

#[test]
fn writes_are_rate_limited() {
    let limiter = RateLimiter::new(10, 2);
    let second = Time(1_000_000);
    assert_eq!(limiter.acquire(second), Ok(()));
    assert_eq!(limiter.acquire(second), Ok(()));
    assert_eq!(limiter.acquire(second), Err(Span::from_millis(100)));
    assert_eq!(limiter.acquire(second + Span::from_millis(99)), Err(Span::from_millis(1)));
    assert_eq!(limiter.acquire(second + Span::from_millis(100)), Ok(()));
    let at = |ms| second + Span::from_millis(ms);
    let taken = (100..10_100).filter(|ms| limiter.acquire(at(*ms)).is_ok()).count();
    assert_eq!(taken, 99);

    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let limiter = RateLimiter::new(10, 1);
        claim::claim(&store, &limiter, now(), new_claim(1, "a")).await.unwrap();
        let limited = claim::claim(&store, &limiter, now(), new_claim(1, "b")).await;
        assert_eq!(limited, Err(claim::Error::RateLimited { retry_after: Span::from_millis(100) }));
        assert_eq!(platform.calls().writes, 1);
    });
}
