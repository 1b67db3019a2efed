//! Changes of the settings: acceptance, conflicts, watching and pruning.

mod common;

use bytes::Bytes;
use common::{client, spawn};
use platform::{
    Error, Store,
    gateway::Client,
    manifest,
    manifest::{Acceptance, Feed, Settings, accept, fetch, prune},
    path,
    store::{Key, Range},
};
use settings::{Files, digest};
use site::unit::Revision;
use smol::{block_on, future::zip};
use std::sync::Arc;
use uuid::Uuid;

fn files(named: &[(&str, &'static str)]) -> Files {
    named.iter().map(|(name, body)| ((*name).into(), Bytes::from(*body))).collect()
}

async fn current(store: &Client) -> Settings {
    fetch(store, &Files::new()).await.unwrap().unwrap()
}

async fn change(store: &Client, base: u64, files: &Files) -> Acceptance {
    accept(store, Revision(base), files, Uuid::new_v4()).await.unwrap()
}

fn accepted(revision: u64) -> Acceptance {
    Acceptance::Accepted { revision: Revision(revision) }
}

#[test]
fn accepted_settings_are_fetched() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        assert_eq!(fetch(&store, &Files::new()).await, Ok(None));
        let first = files(&[("10-firms.json", "{}"), ("20-site.json", r#"{"a":1}"#)]);
        assert_eq!(change(&store, 0, &first).await, accepted(1));
        assert_eq!(current(&store).await.files, first);
        let second = files(&[("10-firms.json", "{}"), ("30-same.json", "{}")]);
        assert_eq!(change(&store, 1, &second).await, accepted(2));
        let settings = current(&store).await;
        assert_eq!((settings.manifest.revision, settings.files), (Revision(2), second.clone()));
        let writes = platform.calls().writes;
        fetch(&store, &second).await.unwrap();
        assert_eq!(platform.calls().writes, writes, "known bodies are not read again");
    });
}

#[test]
fn one_of_two_concurrent_changes_wins_and_the_other_gets_a_conflict() {
    block_on(async {
        let platform = spawn();
        let (here, there) = (client(&platform), client(&platform));
        let (ours, theirs) = (files(&[("a.json", "1")]), files(&[("a.json", "2")]));
        for base in 0..10 {
            let result = zip(change(&here, base, &ours), change(&there, base, &theirs)).await;
            let (won, current) = match result {
                (Acceptance::Accepted { revision }, Acceptance::Conflict { current }) => {
                    (revision, (current, &ours))
                }
                (Acceptance::Conflict { current }, Acceptance::Accepted { revision }) => {
                    (revision, (current, &theirs))
                }
                both => panic!("expected one winner: {both:?}"),
            };
            assert_eq!(won, Revision(base + 1));
            assert_eq!(current.0.revision, won);
            assert_eq!(current.0.files["a.json"].digest, digest(&current.1["a.json"]));
        }
    });
}

#[test]
fn a_change_is_resolved_after_lost_responses() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let id = Uuid::new_v4();
        let wanted = files(&[("a.json", "1")]);
        platform.lose_answers(3);
        assert_eq!(accept(&store, Revision(0), &wanted, id).await, Ok(accepted(1)));
        assert_eq!(change(&store, 1, &files(&[("a.json", "2")])).await, accepted(2));
        let again = accept(&store, Revision(0), &wanted, id).await;
        assert_eq!(again, Ok(accepted(1)), "known to have been accepted before others");
        assert_eq!(current(&store).await.manifest.revision, Revision(2));
    });
}

#[test]
fn a_delayed_change_is_found() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        change(&store, 0, &files(&[("a.json", "1")])).await;
        let renamed = files(&[("b.json", "1")]);
        let id = Uuid::new_v4();
        platform.hold_changes(u32::MAX);
        let unknown = accept(&store, Revision(1), &renamed, id).await;
        assert_eq!(unknown, Err(manifest::Error::Store(Error::Unknown)));
        platform.hold_changes(0);
        platform.release();
        assert_eq!(current(&store).await.files, renamed);
        assert_eq!(accept(&store, Revision(1), &renamed, id).await, Ok(accepted(2)));
    });
}

#[test]
fn a_delayed_change_does_not_take_effect_after_a_conflict() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        change(&store, 0, &files(&[("a.json", "1")])).await;
        let (late, winner) = (files(&[("b.json", "1")]), files(&[("c.json", "1")]));
        let id = Uuid::new_v4();
        platform.hold_changes(u32::MAX);
        assert!(accept(&store, Revision(1), &late, id).await.is_err());
        platform.hold_changes(0);
        assert_eq!(change(&store, 1, &winner).await, accepted(2));
        platform.release();
        let again = accept(&store, Revision(1), &late, id).await;
        assert!(matches!(again, Ok(Acceptance::Conflict { .. })));
        assert_eq!(current(&store).await.files, winner);
    });
}

#[test]
fn an_outage_changes_nothing() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        platform.down(true);
        let out = Err(manifest::Error::Store(Error::Unreachable));
        let refused = accept(&store, Revision(0), &files(&[]), Uuid::new_v4()).await;
        assert_eq!(refused, out);
        platform.down(false);
        assert_eq!(fetch(&store, &Files::new()).await, Ok(None));
    });
}

#[test]
fn the_feed_reports_increasing_revisions_despite_cuts_and_compaction() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mut feed = Feed::new(Arc::new(store.clone()), Revision(1));
        for base in 0..4 {
            change(&store, base, &files(&[("a.json", "1")])).await;
        }
        assert_eq!(feed.next().await.unwrap().revision, Revision(4));
        change(&store, 4, &files(&[("a.json", "2")])).await;
        assert_eq!(feed.next().await.unwrap().revision, Revision(5));
        platform.cut_watches();
        assert_eq!(feed.next().await.err(), Some(Error::Unknown));
        change(&store, 5, &files(&[("a.json", "3")])).await;
        assert_eq!(feed.next().await.unwrap().revision, Revision(6));
        platform.cut_watches();
        assert!(feed.next().await.is_err());
        change(&store, 6, &files(&[("a.json", "4")])).await;
        platform.compact();
        assert!(feed.next().await.is_err());
        assert_eq!(feed.next().await.unwrap().revision, Revision(7));
    });
}

#[test]
fn the_feed_reads_the_manifest_only_after_a_gap() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mut feed = Feed::new(Arc::new(store.clone()), Revision(0));
        change(&store, 0, &files(&[("a.json", "0"), ("b.json", "0")])).await;
        feed.next().await.unwrap();
        let before = platform.calls().reads;
        let steps: [&[(&str, &str)]; 3] = [
            &[("a.json", "1"), ("b.json", "0")],
            &[("a.json", "1")],
            &[("a.json", "2"), ("c", "")],
        ];
        for (base, step) in (1..).zip(steps) {
            change(&store, base, &files(step)).await;
            let manifest = feed.next().await.unwrap();
            assert_eq!(manifest, current(&store).await.manifest);
        }
        // Each change and each read of the manifest is one call.
        assert_eq!(platform.calls().reads - before, 6);
        for base in 4..24 {
            change(&store, base, &files(&[("a.json", ["3", "4"][base as usize % 2])])).await;
        }
        while feed.next().await.unwrap().revision < Revision(24) {}
        change(&store, 24, &files(&[])).await;
        assert_eq!(feed.next().await.unwrap(), current(&store).await.manifest);
    });
}

#[test]
fn pruning_keeps_referenced_bodies_and_those_of_changes_in_progress() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        for (base, body) in ["1", "2", "3"].into_iter().enumerate() {
            change(&store, base as u64, &files(&[("a.json", body)])).await;
        }
        let under_way = digest(b"under way");
        let put = platform::store::Put {
            key: manifest::body_key(under_way),
            value: "under way".into(),
            lease: None,
        };
        store.put(put).await.unwrap();
        assert_eq!(prune(&store).await, Ok(2));
        assert_eq!(prune(&store).await, Ok(0));
        assert_eq!(current(&store).await.files, files(&[("a.json", "3")]));
        let left = store.keys(Range::Prefix(Key::from(path::FILES))).await.unwrap();
        assert_eq!(left.values.len(), 2);
    });
}

#[test]
fn large_settings_are_written_in_parts_and_oversized_files_are_rejected() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let body = |n: usize| Bytes::from(vec![n as u8; 100_000]);
        let many: Files = (0..40).map(|n| (format!("{n:02}.json").into(), body(n))).collect();
        assert_eq!(change(&store, 0, &many).await, accepted(1));
        assert_eq!(current(&store).await.files, many);
        let size = manifest::VALUE_LIMIT + 1;
        let large: Files = [("big.json".into(), vec![0; size].into())].into();
        let refused = accept(&store, Revision(1), &large, Uuid::new_v4()).await;
        let expected = manifest::Error::FileTooLarge { name: "big.json".into(), size };
        assert_eq!(refused, Err(expected));
    });
}
