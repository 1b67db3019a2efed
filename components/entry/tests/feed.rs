//! Distribution of accepted settings to every entry.

mod support;

use bytes::Bytes;
use entry::tracker::Tracker;
use site::{
    id::Home,
    unit::{Revision, Time},
};
use std::collections::BTreeMap;
use support::{Deployment, Entry, OPERATOR, until};

async fn revision(entry: &Entry) -> Option<u64> {
    let reply = entry.send_as(OPERATOR, "GET", "/v1/admin/show/config", &[], "").await?;
    reply.json()["revision"].as_u64()
}

async fn has(entry: &Entry, wanted: u64) {
    until("the settings are in force", || async {
        (revision(entry).await? == wanted).then_some(())
    })
    .await;
}

#[test]
fn a_change_reaches_watchers_and_others() {
    let deployment = Deployment::new([1, 0]);
    let entries: Vec<Entry> =
        (1..=4).map(|n| deployment.entry(&format!("cut-entry-{n}"), "cutting")).collect();
    smol::block_on(async {
        for entry in &entries {
            entry.ready(3).await;
        }
        let mut files = deployment.files();
        let change = r#"{ "services": { "templating": { "deadline": "12s" } } }"#;
        files.insert("90-change.json".into(), Bytes::from(change));
        assert_eq!(deployment.apply(Revision(1), &files).await, Revision(2));
        for entry in &entries {
            has(entry, 2).await;
        }
    });
}

#[test]
fn watchers_that_die_are_replaced() {
    let deployment = Deployment::new([1, 0]);
    let entries = (1..=4).map(|n| deployment.entry(&format!("cut-entry-{n}"), "cutting"));
    let entries: Vec<Entry> = entries.collect();
    smol::block_on(async {
        let mut alive = BTreeMap::new();
        for entry in entries {
            entry.ready(3).await;
            alive.insert(entry.home().await, entry);
        }
        for watcher in watchers(alive.keys().copied()) {
            // Dropping an entry kills its process.
            assert!(alive.remove(&watcher).is_some());
        }
        assert_eq!(alive.len(), 2);
        let files = deployment.files();
        assert_eq!(deployment.apply(Revision(1), &files).await, Revision(2));
        for entry in alive.values() {
            has(entry, 2).await;
        }
    });
}

/// Returns the watchers among live entries.
fn watchers(homes: impl Iterator<Item = Home>) -> Vec<Home> {
    let homes: Vec<Home> = homes.collect();
    let mut tracker = Tracker::new(homes[0], Revision(1));
    for peer in &homes[1..] {
        assert!(!tracker.handle_heartbeat(Time(0), *peer, Revision(1), false));
    }
    tracker.watchers(Time(0))
}

#[test]
fn a_new_entry_gets_settings_from_peers_while_the_platform_is_unavailable() {
    let deployment = Deployment::new([1, 0]);
    let old = deployment.entry("cut-entry-1", "cutting");
    smol::block_on(old.ready(0));
    deployment.platform.down(true);
    let new = deployment.entry_with("cut-entry-2", "cutting", &[("cut-entry-1", &old)]);
    smol::block_on(async {
        new.ready(1).await;
        has(&new, 1).await;
        let body = r#"{"ms": 1, "echo": "sink"}"#;
        let reply = new.send("POST", "/v1/requests/templating", &[], body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    });
}
