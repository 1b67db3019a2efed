//! A stand-in for the platform's metadata store, as PROTOCOL.md describes it.

use crate::{
    http::{self, Request, Response},
    json::{Json, base64, quote},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Number of items on a page, and of events in a response to a watch.
const PAGE: usize = 500;

/// How long changes can be watched.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    at: Instant,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<Change>,
    /// Changes up to this revision are forgotten.
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store on a free loopback port.
    pub fn start() -> io::Result<(Store, SocketAddr)> {
        let state = State {
            items: BTreeMap::new(),
            revision: 1,
            history: Vec::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease: 77_000,
        };
        let store = Store { shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        let address = http::serve(move |request| Some(serving.respond(&request)))?;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok((store, address))
    }

    /// Writes a key without a lease, as the operator and the executors do.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.write(key, Some(&base64(value.as_bytes())), 0));
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        change(&mut state);
        drop(state);
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.shared.0.lock().unwrap();
        let is_over = |lease: &Lease| lease.until <= now;
        let over: Vec<_> =
            state.leases.iter().filter(|(_, lease)| is_over(lease)).map(|(id, _)| *id).collect();
        over.iter().for_each(|id| state.end_lease(*id));
        let old = state.history.iter().take_while(|change| change.at + HISTORY < now).count();
        if let Some(last) = state.history.drain(..old).last() {
            state.compacted = last.revision;
        }
        drop(state);
        if !over.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn respond(&self, request: &Request) -> Response {
        let path = request.path.strip_prefix("/-/").unwrap_or_default();
        let (call, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        match (request.method.as_str(), call) {
            ("GET", "kv-range") => self.range(request),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.transact(request),
            ("POST", "kv-lease") => self.grant(request),
            ("POST", "kv-keep") => self.keep(id),
            ("DELETE", "kv-lease-end") => self.end(id),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let state = self.shared.0.lock().unwrap();
        let is_wanted = |key: &str| key.starts_with(&prefix) && (after.is_empty() || *key > *after);
        let wanted: Vec<_> = state.items.iter().filter(|(key, _)| is_wanted(key)).collect();
        let items: Vec<_> = wanted.iter().take(PAGE).map(|(key, item)| render(key, item)).collect();
        let has_more = wanted.len() > PAGE;
        let as_of = state.revision;
        let items = items.join(",");
        (200, format!(r#"{{"items":[{items}],"has_more":{has_more},"as_of":{as_of}}}"#))
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after < state.compacted {
                return (410, "{}".to_owned());
            }
            let news = state.history.iter().filter(|change| change.revision > after);
            let news = news.filter(|change| change.key.starts_with(&prefix));
            let events: Vec<_> = news.map(Change::render).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
            }
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let mut state = self.shared.0.lock().unwrap();
        for expected in body.get("expected").list() {
            let revision = state.items.get(expected.get("key").text()).map_or(0, |i| i.revision);
            if revision != expected.get("revision").number() {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        let puts = body.get("puts").list();
        let lease_of = |put: &Json| put.get("lease").number();
        if puts.iter().map(lease_of).any(|id| id != 0 && !state.leases.contains_key(&id)) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            state.write(put.get("key").text(), Some(put.get("value").text()), lease_of(put));
        }
        for key in body.get("deletes").list() {
            state.write(key.text(), None, 0);
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }

    fn grant(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.shared.0.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, Lease { ttl, until: Instant::now() + ttl });
        (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
    }

    fn keep(&self, id: u64) -> Response {
        let mut state = self.shared.0.lock().unwrap();
        let Some(lease) = state.leases.get_mut(&id) else { return (404, "{}".to_owned()) };
        lease.until = Instant::now() + lease.ttl;
        (200, format!(r#"{{"ttl_ms":{}}}"#, lease.ttl.as_millis()))
    }

    fn end(&self, id: u64) -> Response {
        let mut state = self.shared.0.lock().unwrap();
        if !state.leases.contains_key(&id) {
            return (404, "{}".to_owned());
        }
        state.end_lease(id);
        drop(state);
        self.shared.1.notify_all();
        (200, "{}".to_owned())
    }
}

impl State {
    /// Writes or removes a key at the current revision.
    fn write(&mut self, key: &str, value: Option<&str>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|value| Item { value: value.to_owned(), revision, created, lease });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        let at = Instant::now();
        self.history.push(Change { key: key.to_owned(), revision, at, item });
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<_> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.write(key, None, 0));
    }
}

impl Change {
    fn render(&self) -> String {
        match &self.item {
            Some(item) => render(&self.key, item),
            None => {
                let (key, revision) = (quote(&self.key), self.revision);
                format!(r#"{{"key":{key},"revision":{revision},"tombstone":true}}"#)
            }
        }
    }
}

fn render(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let key = quote(key);
    format!(
        r#"{{"key":{key},"value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}
