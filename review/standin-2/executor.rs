//! A stand-in for an executor, as PROTOCOL.md describes it. It refuses what it has no room for.
//!
//! The spec of a task says how long it runs and how many cores it needs, in thousandths:
//! `{"ms":400,"cpu":27000}`.

use crate::{
    http::{self, Request, Response},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Longest lease (`hold_max_ms`), in milliseconds.
const HOLD_MAX_MS: u64 = 1_000;

/// Time that a stop takes, in milliseconds; `stop_ms` is 50.
const STOP_MS: u64 = 20;

/// Interval of the reports to the store (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What an executor is: its entry in the store, apart from its state.
#[derive(Clone)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// The kind and the rack.
    pub labels: [String; 2],
    /// In thousandths of a core.
    pub cpu: u64,
}

/// A run that an executor started.
#[derive(Clone, Debug)]
pub struct Started {
    pub task: String,
    /// Time of the start, in milliseconds of the record.
    pub at: u64,
}

struct Running {
    started: u64,
    ends_at: u64,
    how: &'static str,
    cpu: u64,
}

/// The time for which a run was there, in milliseconds of the record.
#[derive(Clone, Debug)]
pub struct Interval {
    pub task: String,
    pub run: u64,
    pub executor: String,
    pub start: u64,
    pub end: u64,
}

/// The state of the executor.
struct State {
    profile: Profile,
    /// Its start, in milliseconds of the record.
    began: u64,
    running: BTreeMap<(String, u64), Running>,
    /// Ends that are not acknowledged: number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest_token: u64,
    /// End of the lease, on the executor's clock.
    deadline: u64,
    /// The highest run of each task that ended or was stopped.
    past: BTreeMap<String, u64>,
    /// The runs that have ended.
    intervals: Vec<Interval>,
}

struct Shared {
    record: Record,
    state: Mutex<State>,
    started: Mutex<Vec<Started>>,
    sequence: Mutex<u64>,
}

/// The executor. Clones share its state.
#[derive(Clone)]
pub struct Executor {
    shared: Arc<Shared>,
    store: Store,
    pub address: SocketAddr,
}

impl Executor {
    /// Starts an executor on a free loopback port, and reports it to the store.
    pub fn start(profile: Profile, store: &Store, record: &Record) -> io::Result<Executor> {
        let shared = Arc::new(Shared {
            record: record.clone(),
            state: Mutex::new(State::new(profile, record.now())),
            started: Mutex::default(),
            sequence: Mutex::new(0),
        });
        let serving = shared.clone();
        let address = http::serve(move |request| serving.respond(&request))?;
        let executor = Executor { shared, store: store.clone(), address };
        executor.report();
        let reporting = executor.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        Ok(executor)
    }

    /// Writes the executor's entry to the store.
    pub fn report(&self) {
        let state = self.shared.state.lock().unwrap();
        let mut sequence = self.shared.sequence.lock().unwrap();
        *sequence += 1;
        let Profile { id, service, zone, labels: [kind, rack], cpu } = &state.profile;
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{cpu},"mem_mb":65536,"gpu":0}},"labels":["{kind}","{rack}"],"clock_ms":{},"sequence":{sequence}}}"#,
            self.address,
            state.clock(self.shared.record.now()),
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// The runs that were started here.
    pub fn started(&self) -> Vec<Started> {
        self.shared.started.lock().unwrap().clone()
    }

    /// When each run was there.
    pub fn intervals(&self) -> Vec<Interval> {
        let mut state = self.shared.state.lock().unwrap();
        state.advance(&self.shared.record);
        state.intervals.clone()
    }
}

impl State {
    fn new(profile: Profile, now: u64) -> Self {
        Self {
            profile,
            began: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_token: 0,
            deadline: 0,
            past: BTreeMap::new(),
            intervals: Vec::new(),
        }
    }

    /// The executor's clock, in milliseconds since its start.
    fn clock(&self, now: u64) -> u64 {
        now - self.began
    }

    /// Ends the runs whose time has come, and all of them if the lease is over.
    fn advance(&mut self, record: &Record) {
        let now = record.now();
        let lease_end = self.began + self.deadline;
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| running.ends_at.min(lease_end) < now)
            .map(|(run, _)| run.clone())
            .collect();
        for key in due {
            let Some(Running { started, ends_at, how, .. }) = self.running.remove(&key) else {
                continue;
            };
            let (task, run) = key;
            let how = if ends_at <= lease_end { how } else { "lapsed" };
            let (executor, end) = (self.profile.id.clone(), ends_at.min(lease_end));
            self.pass(&task, run);
            record.line(format!("  end    {task}#{run} on {executor} at {end} ms: {how}"));
            self.ended.push((self.next_end, task.clone(), run, how));
            self.next_end += 1;
            self.intervals.push(Interval { task, run, executor, start: started, end });
        }
    }

    fn pass(&mut self, task: &str, run: u64) {
        let highest = self.past.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
    }

    fn extend(&mut self, now: u64, deadline: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock(now) + HOLD_MAX_MS));
    }

    fn refuse(&self, now: u64, reason: &str) -> Response {
        (409, format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, self.clock(now)))
    }

    fn accept(&self, now: u64) -> Response {
        (200, format!(r#"{{"clock_ms":{}}}"#, self.clock(now)))
    }

    /// Checks the fencing token of an order.
    fn admits(&mut self, token: u64) -> bool {
        let is_current = token >= self.highest_token;
        self.highest_token = token.max(self.highest_token);
        is_current
    }

    fn list(&self, now: u64) -> String {
        let running = self.running.keys().map(|(task, run)| format!(r#"["{task}",{run},"",100]"#));
        let ended = self.ended.iter().take(500);
        let ended = ended
            .map(|(number, task, run, how)| format!(r#"[{number},"{task}",{run},"{how}",""]"#));
        let (running, ended): (Vec<_>, Vec<_>) = (running.collect(), ended.collect());
        format!(
            r#"{{"clock_ms":{},"running":[{}],"ended":[{}]}}"#,
            self.clock(now),
            running.join(","),
            ended.join(","),
        )
    }
}

impl Shared {
    fn respond(&self, request: &Request) -> Option<Response> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let expected = request.header("X-Expected-Instance");
        if expected.is_some_and(|expected| self.state.lock().unwrap().profile.id != expected) {
            return Some((421, "{}".to_owned()));
        }
        match request.path.as_str() {
            "/-/run-start" => self.start(&body),
            "/-/run-stop" => self.stop(&body),
            "/-/hold" => self.hold(&body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start(&self, body: &Json) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        state.advance(&self.record);
        let now = self.record.now();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        if !state.admits(body.get("fencing_token").number()) {
            return Some(state.refuse(now, "fence"));
        }
        if state.running.contains_key(&(task.clone(), run)) {
            return Some(state.accept(now));
        }
        let deadline = body.get("deadline_ms").number();
        if deadline < state.clock(now) {
            return Some(state.refuse(now, "late"));
        }
        state.extend(now, deadline);
        if state.past.get(&task).is_some_and(|highest| run <= *highest) {
            return Some(state.refuse(now, "old"));
        }
        let spec = Json::parse(body.get("spec").text())?;
        let (ms, cpu) = (spec.get("ms").number(), spec.get("cpu").number());
        let used: u64 = state.running.values().map(|running| running.cpu).sum();
        if used + cpu > state.profile.cpu {
            return Some(state.refuse(now, "room"));
        }
        let id = &state.profile.id;
        self.record.line(format!("  start  {task}#{run} on {id}"));
        self.started.lock().unwrap().push(Started { task: task.clone(), at: now });
        state
            .running
            .insert((task, run), Running { started: now, ends_at: now + ms, how: "done", cpu });
        Some(state.accept(now))
    }

    fn stop(&self, body: &Json) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        state.advance(&self.record);
        let now = self.record.now();
        if !state.admits(body.get("fencing_token").number()) {
            return Some(state.refuse(now, "fence"));
        }
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        self.record.line(format!("  stop   {task}#{run} on {}", state.profile.id));
        state.pass(&task, run);
        if let Some(running) = state.running.get_mut(&(task, run)) {
            running.ends_at = running.ends_at.min(now + STOP_MS);
            running.how = "stopped";
        }
        Some(state.accept(now))
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let wait = Duration::from_millis(body.get("wait_ms").number().min(2_000));
        let until = Instant::now() + wait;
        let mut is_first = true;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.advance(&self.record);
                let now = self.record.now();
                if !state.admits(body.get("fencing_token").number()) {
                    return Some(state.refuse(now, "fence"));
                }
                if is_first && !body.get("deadline_ms").is_null() {
                    state.extend(now, body.get("deadline_ms").number());
                }
                is_first = false;
                let acknowledged = body.get("acked_upto").number();
                state.ended.retain(|(number, ..)| *number > acknowledged);
                if !state.ended.is_empty() || Instant::now() >= until {
                    return Some((200, state.list(now)));
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }
}
