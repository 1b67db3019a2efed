//! The store's HTTP API and the faults that tests switch on.

use super::state::{Change, ChangeError, Item, State};
use crate::serve::Loopback;
use base64::{Engine, prelude::BASE64_STANDARD};
use event_listener::Event;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use smol::{Task, Timer, future::FutureExt};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use trillium::{Conn, Handler, Method};

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of items of a page.
const PAGE_ITEMS: usize = 500;

/// Size of the values of a page, in base64, from which it gets no further item.
const PAGE_BYTES: usize = 1 << 20;

/// How long an unresponsive store holds a call before it fails it with status 503.
const UNRESPONSIVE_CALL_DURATION: Duration = Duration::from_secs(30);

/// Fault mode of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// The store serves every call.
    #[default]
    Up,
    /// Every call fails with status 503.
    Busy,
    /// Calls get no response for 30 seconds.
    Unresponsive,
}

/// A running stand-in. Stops when it is dropped.
#[derive(Debug)]
pub struct Store {
    /// The address that the store listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _server: Loopback,
    _expiry: Task<()>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    mode: Mutex<Mode>,
    changed: Event,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected: Vec<Expected>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    deletes: Vec<String>,
}

#[derive(Deserialize)]
struct Expected {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
struct Grant {
    ttl_ms: u64,
}

impl Store {
    /// Starts an empty store on a loopback address.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start() -> io::Result<Store> {
        let shared = Arc::new(Shared::default());
        let server = Loopback::start(Routes(shared.clone()))?;
        let expiring = shared.clone();
        let expiry = smol::spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                let is_unavailable = *expiring.mode.lock() != Mode::Up;
                if !is_unavailable && expiring.state.lock().expire() {
                    expiring.changed.notify(usize::MAX);
                }
            }
        });
        Ok(Store { address: server.address, shared, _server: server, _expiry: expiry })
    }

    /// Sets the fault mode and wakes waiting watches.
    pub fn set_mode(&self, mode: Mode) {
        *self.shared.mode.lock() = mode;
        self.shared.changed.notify(usize::MAX);
    }

    /// Writes a key without conditions, as the operator or an executor does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let puts = vec![(key.to_owned(), BASE64_STANDARD.encode(value), 0)];
        // A change without conditions and leases can't fail.
        let _ = self.shared.state.lock().change(&[], puts, &[]);
        self.shared.changed.notify(usize::MAX);
    }

    /// Removes a key.
    pub fn delete(&self, key: &str) {
        let _ = self.shared.state.lock().change(&[], Vec::new(), &[key.to_owned()]);
        self.shared.changed.notify(usize::MAX);
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.state.lock();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Discards the history of changes and wakes waiting watches: those behind fail with 410.
    pub fn compact(&self) {
        self.shared.state.lock().compact();
        self.shared.changed.notify(usize::MAX);
    }
}

/// The HTTP routes of the store.
struct Routes(Arc<Shared>);

#[trillium::async_trait]
impl Handler for Routes {
    async fn run(&self, mut conn: Conn) -> Conn {
        let mode = *self.0.mode.lock();
        match mode {
            Mode::Up => {}
            Mode::Busy => return conn.with_status(503).with_body("{}").halt(),
            Mode::Unresponsive => {
                Timer::after(UNRESPONSIVE_CALL_DURATION).await;
                return conn.with_status(503).halt();
            }
        }
        let Ok(body) = conn.request_body_string().await else {
            return conn.with_status(400).halt();
        };
        let path = conn.path().to_owned();
        let query = parse_query(conn.querystring());
        let (status, response) = self.0.respond(conn.method(), &path, &query, &body).await;
        conn.with_status(status).with_body(response.to_string()).halt()
    }
}

impl Shared {
    async fn respond(
        &self,
        method: Method,
        path: &str,
        query: &BTreeMap<String, String>,
        body: &str,
    ) -> (u16, Value) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (call, id) = split_path(path);
        match (method, call) {
            (Method::Get, "kv-range") => (200, self.range(&text("prefix"), &text("after"))),
            (Method::Get, "kv-watch") => {
                let after = text("after").parse().unwrap_or(0);
                let wait = text("wait_ms").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, Duration::from_millis(wait)).await
            }
            (Method::Post, "kv-txn") => self.transact(body),
            (Method::Post, "kv-lease") => match serde_json::from_str::<Grant>(body) {
                Ok(grant) => {
                    let ttl = Duration::from_millis(grant.ttl_ms);
                    let lease = self.state.lock().grant(ttl);
                    (200, json!({ "lease": lease, "ttl_ms": grant.ttl_ms }))
                }
                Err(_) => (400, json!({})),
            },
            (Method::Post, "kv-keep") => match self.state.lock().keep_alive(id) {
                true => (200, json!({ "ttl_ms": 0 })),
                false => (404, json!({})),
            },
            (Method::Delete, "kv-lease-end") => {
                let ended = self.state.lock().revoke(id);
                self.changed.notify(usize::MAX);
                (if ended { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    /// Returns a page of items: at least one, and no further ones beyond its size.
    fn range(&self, prefix: &str, after: &str) -> Value {
        let state = self.state.lock();
        let wanted = |key: &str| key.starts_with(prefix) && (after.is_empty() || key > after);
        let mut wanted = state.items.iter().filter(|(key, _)| wanted(key)).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, item)) =
            wanted.next_if(|_| items.len() < PAGE_ITEMS && bytes < PAGE_BYTES)
        {
            bytes += item.value.len();
            items.push(render(key, item));
        }
        let has_more = wanted.peek().is_some();
        json!({ "items": items, "has_more": has_more, "as_of": state.revision })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.listen();
            {
                let state = self.state.lock();
                let Some(changes) = state.since(prefix, after) else { return (410, json!({})) };
                if !changes.is_empty() || Instant::now() >= deadline {
                    let events: Vec<_> = changes.iter().map(event).collect();
                    return (200, json!({ "events": events, "as_of": state.revision }));
                }
            }
            if *self.mode.lock() != Mode::Up {
                return (503, json!({}));
            }
            let timeout = async {
                Timer::at(deadline).await;
            };
            changed.or(timeout).await;
        }
    }

    fn transact(&self, body: &str) -> (u16, Value) {
        let Ok(transaction) = serde_json::from_str::<Transaction>(body) else {
            return (400, json!({}));
        };
        let expected: Vec<_> = transaction
            .expected
            .into_iter()
            .map(|condition| (condition.key, condition.revision))
            .collect();
        let puts =
            transaction.puts.into_iter().map(|put| (put.key, put.value, put.lease)).collect();
        let result = self.state.lock().change(&expected, puts, &transaction.deletes);
        self.changed.notify(usize::MAX);
        match result {
            Ok(revision) => (200, json!({ "revision": revision })),
            Err(ChangeError::ConditionFailed) => (412, json!({ "items": [] })),
            Err(ChangeError::LeaseNotFound) => (404, json!({})),
        }
    }
}

fn split_path(path: &str) -> (&str, u64) {
    let rest = path.strip_prefix("/-/").unwrap_or(path);
    match rest.split_once('/') {
        Some((call, id)) => (call, id.parse().unwrap_or(0)),
        None => (rest, 0),
    }
}

fn render(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}

fn event(change: &Change) -> Value {
    match &change.item {
        Some(item) => render(&change.key, item),
        None => json!({ "key": change.key, "revision": change.revision, "tombstone": true }),
    }
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut out = Vec::new();
    while let Some(byte) = bytes.next() {
        let hex = |byte: Option<u8>| char::from(byte?).to_digit(16).map(|digit| digit as u8);
        match byte {
            b'%' => {
                let (high, low) = (hex(bytes.next()), hex(bytes.next()));
                out.push(high.unwrap_or(0) * 16 + low.unwrap_or(0));
            }
            byte => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
