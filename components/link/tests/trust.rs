//! Authentication of peers, and validation of certificates.

mod common;

use common::{Peer, home, identity, loopback, pair};
use dispatch::Message;
use link::{
    Code, Error, Node, Options,
    tls::{
        self, Files, Identity,
        issue::{Authority, ENTRY_LIFETIME},
    },
};
use site::id::EntryId;
use smol::block_on;
use std::{env, fs, path::PathBuf, process};

fn authority() -> Authority {
    Authority::create().expect("an authority")
}

#[test]
fn a_peer_of_another_authority_is_refused() {
    block_on(async {
        let (one, two) = (Peer::new(&authority(), 1), Peer::new(&authority(), 2));
        one.connect(&two);
        assert!(matches!(one.failed().await, Error::Untrusted { .. }));
        assert!(matches!(two.failed().await, Error::Untrusted { .. }));
        assert!(one.node.peers().is_empty() && two.node.peers().is_empty());
    });
}

#[test]
fn a_client_of_another_authority_is_refused() {
    block_on(async {
        let (ours, theirs) = (authority(), authority());
        let two = Peer::new(&ours, 2);
        let pair = theirs.issue(EntryId(1), ENTRY_LIFETIME).expect("a certificate");
        // The client trusts the other node, which must not trust the client.
        let intruder = Identity::from_pem(&ours.pair.certificate, &pair.certificate, &pair.key);
        let options = Options::new(home(1, 1), loopback(), intruder.expect("valid"));
        let one = Peer::start(options);
        one.connect(&two);
        assert!(matches!(two.failed().await, Error::Untrusted { .. }));
        assert!(matches!(one.failed().await, Error::Untrusted { .. }));
        assert!(two.node.peers().is_empty());
    });
}

#[test]
fn another_entry_at_the_address_is_refused() {
    block_on(async {
        let authority = authority();
        let (one, two) = (Peer::new(&authority, 1), Peer::new(&authority, 2));
        one.node.connect(EntryId(3), two.node.address());
        assert!(matches!(one.failed().await, Error::Untrusted { .. }));
    });
}

#[test]
fn a_node_does_not_start_with_the_certificate_of_another_entry() {
    let authority = authority();
    let options = Options::new(home(1, 1), loopback(), identity(&authority, 2));
    let refusal = Node::<Message>::start(options).map(|_| ());
    let expected = EntryId(1);
    assert!(matches!(refusal, Err(Error::Tls(tls::Error::Name { entry })) if entry == expected));
}

#[test]
fn a_node_does_not_start_with_the_key_of_another_certificate() {
    let authority = authority();
    let issue = || authority.issue(EntryId(1), ENTRY_LIFETIME).expect("a certificate");
    let (one, other) = (issue(), issue());
    let mixed = Identity::from_pem(&authority.pair.certificate, &one.certificate, &other.key);
    let refusal = Node::<Message>::start(Options::new(home(1, 1), loopback(), mixed.expect("PEM")));
    assert!(matches!(refusal.map(|_| ()), Err(Error::Tls(tls::Error::Pair(_)))));
}

#[test]
fn a_new_identity_is_used_for_new_connections_only() {
    block_on(async {
        let (old, new) = (authority(), authority());
        let (one, two) = pair(&old).await;
        one.node.set_identity(&identity(&new, 1)).expect("it is valid");
        one.send(&two, 1);
        assert_eq!(two.message().await, (one.home, 1));
        let three = Peer::new(&new, 3);
        three.connect(&one);
        assert_eq!(three.up().await, one.home);
        assert_eq!(one.up().await, three.home);
        one.node.forget(two.home.entry);
        one.connect(&two);
        assert_eq!(one.down().await, two.home);
        assert!(matches!(one.failed().await, Error::Untrusted { .. }));
        let refusal = one.node.set_identity(&identity(&new, 2));
        assert!(matches!(refusal, Err(Error::Tls(tls::Error::Name { .. }))));
    });
}

#[test]
fn a_stored_authority_can_issue_certificates() {
    block_on(async {
        let made = authority();
        let stored = Authority::from_pem(made.pair.certificate.clone(), made.pair.key.clone());
        let (one, two) = (Peer::new(&made, 1), Peer::new(&stored, 2));
        one.connect(&two);
        assert_eq!(two.up().await, one.home);
    });
}

#[test]
fn errors_name_the_file() {
    let folder = Folder::new("files");
    let pair = authority();
    let issued = pair.issue(EntryId(1), ENTRY_LIFETIME).expect("a certificate");
    let files = Files {
        authority: folder.write("authority.pem", &pair.pair.certificate),
        certificate: folder.write("entry.pem", &issued.certificate),
        key: folder.write("entry.key", &issued.key),
    };
    assert!(Identity::load(&files).and_then(|own| own.check(EntryId(1))).is_ok());
    let missing = Files { key: folder.0.join("missing.key"), ..files.clone() };
    assert!(message(&missing).contains("missing.key: can't read"));
    let swapped = Files { key: files.certificate.clone(), ..files.clone() };
    assert!(message(&swapped).contains("entry.pem: expected a private key in PEM format"));
    let empty = Files { authority: folder.write("empty.pem", ""), ..files.clone() };
    assert!(message(&empty).contains("empty.pem: holds no certificate"));
    let garbled = "-----BEGIN CERTIFICATE-----\n*\n-----END CERTIFICATE-----\n";
    let garbled = Files { certificate: folder.write("garbled.pem", garbled), ..files };
    assert!(message(&garbled).contains("garbled.pem: expected a certificate in PEM format"));
}

fn message(files: &Files) -> String {
    Identity::load(files).expect_err("it is wrong").to_string()
}

/// A temporary folder that is removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("link-{name}-{}", process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("it is written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn close_codes_have_fixed_numbers() {
    for number in 0..=9 {
        assert_eq!(Code::from(number).number(), number);
    }
    assert_eq!(Code::from(4), Code::Malformed);
    assert_eq!(Code::from(9), Code::Unknown(9));
}
