//! Helpers of this crate's tests.

// Each test file uses only a part.
#![allow(dead_code)]

use bytes::Bytes;
use platform::{
    gateway::{Client, Options},
    store::{Key, Put, Range},
};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation},
    unit::Span,
};
use standin::{platform::Platform, ports};
use std::net::{Ipv4Addr, SocketAddr};

pub(crate) fn spawn() -> Platform {
    Platform::spawn((Ipv4Addr::LOCALHOST, 0).into()).unwrap()
}

pub(crate) fn client(platform: &Platform) -> Client {
    Client::new(Options::new(vec![platform.address()]))
}

/// Returns a client with a short timeout, for calls that get no response.
pub(crate) fn client_with_short_timeout(platform: &Platform) -> Client {
    let options = Options::new(vec![platform.address()]);
    Client::new(Options { call_limit: Span::from_millis(200), ..options })
}

/// An address that refuses connections.
pub(crate) fn closed() -> SocketAddr {
    ports::reserve().unwrap()
}

pub(crate) fn key(text: &str) -> Key {
    Key::from(text)
}

pub(crate) fn one(text: &str) -> Range {
    Range::Key(key(text))
}

pub(crate) fn prefix(text: &str) -> Range {
    Range::Prefix(key(text))
}

pub(crate) fn put(text: &str, value: &'static str) -> Put {
    Put { key: key(text), value: Bytes::from(value), lease: None }
}

pub(crate) fn home(entry: u64, incarnation: u64) -> Home {
    Home {
        data_centre: DataCentreId(1),
        entry: EntryId(entry),
        incarnation: Incarnation(incarnation),
    }
}
