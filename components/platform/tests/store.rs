//! The gateway client with the stand-in of the platform.

mod common;

use bytes::Bytes;
use common::{client, client_with_short_timeout, closed, key, one, prefix, put, spawn};
use platform::{
    Code, Error, Store,
    gateway::{Client, Options},
    store::{Change, Compare, Consistency, LeaseId, Op, Put, Range, Revision, Seconds, Test, Txn},
};
use site::unit::{Memory, Span};
use smol::block_on;
use std::time::Duration;

async fn values(store: &Client, range: Range) -> Vec<(String, Bytes)> {
    let listing = store.range(range, Consistency::Linearizable).await.unwrap();
    listing.values.into_iter().map(|value| (value.key.to_string(), value.value)).collect()
}

#[test]
fn keys_are_read_written_and_removed() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let first = store.put(put("/a/1", "one")).await.unwrap();
        let second = store.put(put("/a/2", "two")).await.unwrap();
        store.put(put("/b", "other")).await.unwrap();
        assert_eq!(second, first.next());
        assert_eq!(
            values(&store, prefix("/a/")).await,
            [("/a/1".to_owned(), "one".into()), ("/a/2".to_owned(), "two".into())]
        );
        let listing = store.range(one("/a/1"), Consistency::Serializable).await.unwrap();
        assert_eq!(listing.values[0].create_revision, first);
        assert_eq!(listing.values[0].mod_revision, first);
        assert_eq!(listing.revision, second.next());
        assert_eq!(store.delete(prefix("/a/")).await, Ok(2));
        assert_eq!(store.delete(prefix("/a/")).await, Ok(0));
        assert_eq!(values(&store, prefix("/")).await, [("/b".to_owned(), "other".into())]);
        assert_eq!(store.calls().reads, 3);
        assert_eq!(store.calls().writes, 5);
        assert_eq!(platform.calls().writes, 5);
    });
}

#[test]
fn transactions_compare_before_they_write() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let create = Txn {
            compares: vec![Compare::absent(key("/x"))],
            success: vec![Op::Put(put("/x", "first"))],
            failure: vec![Op::Get(one("/x"))],
        };
        let created = store.txn(create.clone()).await.unwrap();
        assert!(created.succeeded);
        let again = store.txn(create).await.unwrap();
        assert!(!again.succeeded);
        assert_eq!(again.listings[0].values[0].value, "first");
        assert_eq!(again.revision, created.revision);

        let change = |compare| Txn {
            compares: vec![compare],
            success: vec![Op::Put(put("/x", "second")), Op::Delete(one("/y"))],
            failure: vec![],
        };
        let wrong = Compare { key: key("/x"), test: Test::Value("other".into()) };
        assert!(!store.txn(change(wrong)).await.unwrap().succeeded);
        let right = Compare::unchanged(key("/x"), created.revision);
        assert!(store.txn(change(right.clone())).await.unwrap().succeeded);
        assert!(!store.txn(change(right)).await.unwrap().succeeded);
    });
}

#[test]
fn an_outage_before_the_request_is_sent_is_unreachable() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        platform.down(true);
        assert_eq!(store.put(put("/x", "v")).await, Err(Error::Unreachable));
        let read = store.range(one("/x"), Consistency::Linearizable).await;
        assert_eq!(read, Err(Error::Unreachable));
        assert_eq!(store.watch(one("/x"), Revision(1)).await.err(), Some(Error::Unreachable));
        assert_eq!(store.calls().total(), 0);
        platform.down(false);
        assert_eq!(values(&store, prefix("/")).await, []);
        let nowhere = Client::new(Options::new(vec![closed()]));
        assert_eq!(nowhere.put(put("/x", "v")).await, Err(Error::Unreachable));
    });
}

#[test]
fn a_request_with_a_lost_response_has_taken_effect() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        platform.lose_answers(1);
        assert_eq!(store.put(put("/x", "v")).await, Err(Error::Unknown));
        assert_eq!(values(&store, one("/x")).await, [("/x".to_owned(), "v".into())]);
        assert_eq!(platform.faults().lose_answers, 0);
    });
}

#[test]
fn a_request_with_a_late_response_takes_effect_later() {
    block_on(async {
        let platform = spawn();
        platform.slow(Duration::from_millis(600));
        assert_eq!(
            client_with_short_timeout(&platform).put(put("/x", "v")).await,
            Err(Error::Unknown)
        );
        platform.slow(Duration::ZERO);
        let store = client(&platform);
        let watch = store.watch(one("/x"), Revision(1)).await.unwrap();
        let changes = watch.next().await.unwrap();
        assert_eq!(changes.changes.len(), 1);
    });
}

#[test]
fn other_addresses_are_tried_unless_the_effect_is_unknown() {
    block_on(async {
        let platform = spawn();
        let other = spawn();
        let addresses = vec![closed(), platform.address(), other.address()];
        let store = Client::new(Options::new(addresses));
        store.put(put("/x", "v")).await.unwrap();
        assert_eq!(platform.calls().writes, 1);
        platform.lose_answers(1);
        assert_eq!(store.put(put("/x", "w")).await, Err(Error::Unknown));
        assert_eq!(other.calls().writes, 0);
        platform.down(true);
        store.put(put("/x", "v")).await.unwrap();
        assert_eq!(other.calls().writes, 1);
    });
}

#[test]
fn rejections_have_their_status_code() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let large = Put { value: vec![0; (1 << 20) + 1].into(), ..put("/x", "") };
        let invalid = Err(Error::Refused { code: Code::InvalidArgument });
        assert_eq!(store.put(large).await, invalid);
        let leased = Put { lease: Some(LeaseId(5)), ..put("/x", "") };
        assert_eq!(store.put(leased).await, Err(Error::Refused { code: Code::NotFound }));
        let twice = Txn {
            success: vec![Op::Put(put("/x", "a")), Op::Put(put("/x", "b"))],
            ..Txn::default()
        };
        assert_eq!(store.txn(twice).await.map(drop), invalid.map(drop));
        assert_eq!(values(&store, prefix("/")).await, []);
    });
}

#[test]
fn responses_above_the_limit_are_malformed() {
    block_on(async {
        let platform = spawn();
        let options = Options::new(vec![platform.address()]);
        let store = Client::new(Options { answer_limit: Memory(1 << 10), ..options });
        store.put(Put { value: vec![7; 4 << 10].into(), ..put("/x", "") }).await.unwrap();
        let read = store.range(one("/x"), Consistency::Linearizable).await;
        assert_eq!(read, Err(Error::Malformed));
    });
}

#[test]
fn large_values_are_complete() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let value: Bytes = (0..1 << 20).map(|n: u32| (n * 31) as u8).collect::<Vec<_>>().into();
        let watch = store.watch(one("/x"), Revision(1)).await.unwrap();
        store.put(Put { value: value.clone(), ..put("/x", "") }).await.unwrap();
        assert!(values(&store, one("/x")).await[0].1 == value);
        let changes = watch.next().await.unwrap();
        let Change::Put(seen) = &changes.changes[0] else { panic!("expected a write") };
        assert!(seen.value == value);
    });
}

#[test]
fn keys_are_removed_when_their_lease_expires() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let lease = LeaseId::random();
        store.grant(lease, Seconds(1)).await.unwrap();
        let taken = store.grant(lease, Seconds(1)).await;
        assert_eq!(taken, Err(Error::Refused { code: Code::FailedPrecondition }));
        let written = store.put(Put { lease: Some(lease), ..put("/x", "v") }).await.unwrap();
        assert_eq!(store.keep_alive(lease).await, Ok(Some(Seconds(1))));
        let watch = store.watch(prefix("/"), written.next()).await.unwrap();
        let ended = watch.next().await.unwrap();
        assert_eq!(ended.changes, [Change::Delete(key("/x"))]);
        assert_eq!(store.keep_alive(lease).await, Ok(None));

        store.grant(lease, Seconds(600)).await.unwrap();
        store.put(Put { lease: Some(lease), ..put("/x", "v") }).await.unwrap();
        store.revoke(lease).await.unwrap();
        assert_eq!(values(&store, prefix("/")).await, []);
        assert_eq!(store.revoke(lease).await, Err(Error::Refused { code: Code::NotFound }));
    });
}

#[test]
fn a_watch_resumes_after_a_cut_without_missing_changes() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let watch = store.watch(prefix("/w/"), Revision(1)).await.unwrap();
        let first = store.put(put("/w/1", "a")).await.unwrap();
        let seen = watch.next().await.unwrap();
        assert_eq!(seen.revision, first);
        platform.cut_watches();
        assert_eq!(watch.next().await, Err(Error::Unknown));
        store.put(put("/w/2", "b")).await.unwrap();
        store.put(put("/other", "c")).await.unwrap();
        store.delete(one("/w/1")).await.unwrap();
        let watch = store.watch(prefix("/w/"), seen.revision.next()).await.unwrap();
        let missed = watch.next().await.unwrap();
        assert!(matches!(&missed.changes[..], [Change::Put(_), Change::Delete(_)]));
        assert_eq!(platform.calls().watches, 2);
    });
}

#[test]
fn an_idle_watch_is_opened_again() {
    block_on(async {
        let platform = spawn();
        let options = Options::new(vec![platform.address()]);
        let store = Client::new(Options { watch_silence: Span::from_millis(20), ..options });
        let watch = store.watch(one("/x"), Revision(1)).await.unwrap();
        while platform.calls().watches < 3 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        store.put(put("/x", "v")).await.unwrap();
        assert_eq!(watch.next().await.unwrap().changes.len(), 1);
    });
}
