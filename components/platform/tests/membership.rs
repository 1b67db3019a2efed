//! Registrations of entries and the list of VMs.

mod common;

use common::{client, home, put, spawn};
use platform::{
    Error, Store, registry,
    registry::{Entry, register},
    store::Seconds,
    vms,
    vms::{State, Vm},
};
use settings::digest;
use smol::block_on;
use std::sync::Arc;

const TTL: Seconds = Seconds(600);

fn entry(number: u64, incarnation: u64) -> Entry {
    Entry {
        home: home(number, incarnation),
        data_centre: "office".into(),
        http: ([127, 0, 0, 1], 80).into(),
        quic: ([127, 0, 0, 1], 81).into(),
        certificate: digest(b"certificate"),
    }
}

#[test]
fn entries_register_and_leave() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mut seen = registry::watch(Arc::new(store.clone()));
        assert_eq!(seen.next().await.unwrap().len(), 0);
        let mut first = register(&store, entry(1, 1), TTL).await.unwrap();
        assert_eq!(seen.next().await.unwrap().values().collect::<Vec<_>>(), [&entry(1, 1)]);
        register(&store, entry(2, 1), TTL).await.unwrap();
        assert_eq!(seen.next().await.unwrap().len(), 2);
        first.renew(&store).await.unwrap();
        assert_eq!(registry::list(&store).await, Ok(vec![entry(1, 1), entry(2, 1)]));
        first.leave(&store).await.unwrap();
        first.leave(&store).await.unwrap();
        assert_eq!(seen.next().await.unwrap().values().collect::<Vec<_>>(), [&entry(2, 1)]);
    });
}

#[test]
fn registration_succeeds_after_lost_responses() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        platform.lose_answers(2);
        let mut registration = register(&store, entry(1, 1), TTL).await.unwrap();
        assert_eq!(platform.faults().lose_answers, 0);
        assert_eq!(registry::list(&store).await, Ok(vec![entry(1, 1)]));
        platform.expire_leases();
        platform.lose_answers(2);
        registration.renew(&store).await.unwrap();
        assert_eq!(registry::list(&store).await, Ok(vec![entry(1, 1)]));
        assert_eq!(registration.renew(&store).await, Ok(()));
    });
}

#[test]
fn an_expired_registration_is_written_again_unless_another_process_registered() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mut old = register(&store, entry(1, 1), TTL).await.unwrap();
        platform.expire_leases();
        assert_eq!(registry::list(&store).await, Ok(vec![]));
        old.renew(&store).await.unwrap();
        assert_eq!(registry::list(&store).await, Ok(vec![entry(1, 1)]));
        platform.expire_leases();
        register(&store, entry(1, 2), TTL).await.unwrap();
        let superseded = registry::Error::Superseded { home: home(1, 2) };
        assert_eq!(old.renew(&store).await, Err(superseded));
        assert_eq!(registry::list(&store).await, Ok(vec![entry(1, 2)]));
    });
}

#[test]
fn a_delayed_registration_does_not_overwrite_a_later_one() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mut old = register(&store, entry(1, 1), TTL).await.unwrap();
        platform.expire_leases();
        platform.hold_changes(u32::MAX);
        let unknown = registry::Error::Store(Error::Unknown);
        assert_eq!(old.renew(&store).await, Err(unknown));
        platform.hold_changes(0);
        register(&store, entry(1, 2), TTL).await.unwrap();
        platform.release();
        assert_eq!(registry::list(&store).await, Ok(vec![entry(1, 2)]));
    });
}

#[test]
fn an_outage_is_reported() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let mut registration = register(&store, entry(1, 1), TTL).await.unwrap();
        let mut seen = registry::watch(Arc::new(store.clone()));
        seen.next().await.unwrap();
        platform.down(true);
        let out = registry::Error::Store(Error::Unreachable);
        assert_eq!(register(&store, entry(2, 1), TTL).await.err(), Some(out));
        assert_eq!(registration.renew(&store).await, Err(out));
        assert_eq!(seen.next().await.err(), Some(Error::Unreachable));
        assert_eq!(seen.documents().len(), 1, "the copy is kept during the outage");
        platform.down(false);
        registration.renew(&store).await.unwrap();
        register(&store, entry(2, 1), TTL).await.unwrap();
        assert_eq!(seen.next().await.unwrap().len(), 2);
    });
}

#[test]
fn the_list_of_vms_lags_and_catches_up() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let document = |state| match state {
            State::Live => r#"{"address":"10.0.0.1","state":"live"}"#,
            State::Leaving => r#"{"address":"10.0.0.1","state":"leaving"}"#,
        };
        let vm = |state| Vm { address: [10, 0, 0, 1].into(), state };
        let key = vms::key("vm-1");
        store.put(put(&key.0, document(State::Live))).await.unwrap();
        store.put(put(&vms::key("vm-2").0, "nonsense")).await.unwrap();
        platform.lag(platform::path::VMS);
        store.put(put(&key.0, document(State::Leaving))).await.unwrap();
        let listed = vms::list(&store).await.unwrap();
        assert_eq!(listed.into_iter().collect::<Vec<_>>(), [("vm-1".into(), vm(State::Live))]);
        let mut seen = vms::watch(Arc::new(store.clone()));
        assert_eq!(seen.next().await.unwrap()[&key], vm(State::Live));
        platform.lag("");
        assert_eq!(seen.next().await.unwrap()[&key], vm(State::Leaving));
        assert_eq!(vms::name(&key), Some("vm-1".into()));
    });
}
