//! The platform's store, as PROTOCOL.md tells it.

use crate::{
    http::{self, Answer, Request},
    json::{Json, quote},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(at: SocketAddr) -> io::Result<Store> {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let (serving, expiring) = (shared.clone(), shared.clone());
        let address = http::serve(at, move |request| {
            let shared = &serving;
            respond(shared, &request)
        })?;
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expire(&expiring);
            }
        });
        Ok(Store { shared, address })
    }

    /// A write of the operator or of an executor.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key.to_owned(), encode(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }
}

impl State {
    fn put(&mut self, key: String, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(&key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.clone(), Some(item.clone())));
        self.items.insert(key, item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let found = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| found && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
        found
    }
}

fn expire(shared: &(Mutex<State>, Condvar)) {
    let mut state = shared.0.lock().unwrap();
    let now = Instant::now();
    let over: Vec<u64> =
        state.leases.iter().filter(|(_, (_, until))| *until < now).map(|(id, _)| *id).collect();
    let any = !over.is_empty();
    over.into_iter().for_each(|lease| {
        state.end_lease(lease);
    });
    if any {
        shared.1.notify_all();
    }
}

fn respond(shared: &(Mutex<State>, Condvar), request: &Request) -> Answer {
    let path = request.path.split('?').next().unwrap_or_default();
    let (call, id) = match path.trim_start_matches("/-/").split_once('/') {
        Some((call, id)) => (call, id.parse().unwrap_or(0)),
        None => (path.trim_start_matches("/-/"), 0_u64),
    };
    match (request.method.as_str(), call) {
        ("GET", "kv-range") => Some((200, range(shared, request))),
        ("GET", "kv-watch") => Some((200, watch(shared, request))),
        ("POST", "kv-txn") => Some(transact(shared, &Json::parse(&request.body)?)),
        ("POST", "kv-lease") => {
            let ttl = Json::parse(&request.body)?.int("ttl_ms")?;
            let mut state = shared.0.lock().unwrap();
            let (id, span) = (state.next_lease, Duration::from_millis(ttl));
            state.next_lease += 1;
            state.leases.insert(id, (span, Instant::now() + span));
            Some((200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}")))
        }
        ("POST", "kv-keep") => {
            let mut state = shared.0.lock().unwrap();
            match state.leases.get_mut(&id) {
                Some((span, until)) => {
                    *until = Instant::now() + *span;
                    Some((200, format!("{{\"ttl_ms\":{}}}", span.as_millis())))
                }
                None => Some((404, "{}".to_owned())),
            }
        }
        ("DELETE", "kv-lease-end") => {
            let found = shared.0.lock().unwrap().end_lease(id);
            shared.1.notify_all();
            Some((if found { 200 } else { 404 }, "{}".to_owned()))
        }
        _ => Some((404, "{}".to_owned())),
    }
}

fn range(shared: &(Mutex<State>, Condvar), request: &Request) -> String {
    let (prefix, after) =
        (request.query("prefix").unwrap_or_default(), request.query("after").unwrap_or_default());
    let state = shared.0.lock().unwrap();
    let mut found: Vec<String> = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str())
        .map(|(key, item)| show(key, item))
        .take(PAGE + 1)
        .collect();
    let more = found.len() > PAGE;
    found.truncate(PAGE);
    format!("{{\"items\":[{}],\"has_more\":{more},\"as_of\":{}}}", found.join(","), state.revision)
}

fn watch(shared: &(Mutex<State>, Condvar), request: &Request) -> String {
    let prefix = request.query("prefix").unwrap_or_default();
    let number = |name| request.query(name).and_then(|n| n.parse().ok()).unwrap_or(0_u64);
    let (after, until) =
        (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
    let mut state = shared.0.lock().unwrap();
    loop {
        let events: Vec<String> = state
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
            .map(|(revision, key, item)| match item {
                Some(item) => show(key, item),
                None => {
                    format!("{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}", quote(key))
                }
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision);
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}

fn transact(shared: &(Mutex<State>, Condvar), body: &Json) -> (u16, String) {
    let mut state = shared.0.lock().unwrap();
    for row in body.list("expected") {
        let (key, revision) =
            (row.text("key").unwrap_or_default(), row.int("revision").unwrap_or(0));
        if state.items.get(key).map_or(0, |item| item.revision) != revision {
            return (412, "{\"items\":[]}".to_owned());
        }
    }
    let lease_of = |put: &Json| put.int("lease").unwrap_or(0);
    let puts = body.list("puts");
    if puts.iter().any(|put| lease_of(put) > 0 && !state.leases.contains_key(&lease_of(put))) {
        return (404, "{}".to_owned());
    }
    state.revision += 1;
    for put in puts {
        let (key, value) =
            (put.text("key").unwrap_or_default(), put.text("value").unwrap_or_default());
        state.put(key.to_owned(), value.to_owned(), lease_of(put));
    }
    for key in body.list("deletes") {
        if let Json::Text(key) = key {
            state.remove(key);
        }
    }
    shared.1.notify_all();
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for n in 0..4 {
            match n <= chunk.len() {
                true => out.push(char::from(DIGITS[(word >> (18 - 6 * n) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}
