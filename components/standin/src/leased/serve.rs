//! The executor's HTTP interface.

use super::Life;
use crate::serve::Loopback;
use event_listener::Event;
use parking_lot::Mutex;
use runs::{
    action::{Poll, Start},
    executor::{Ended, Listing, Refusal, Response, RunResult, StartResponse},
    job::Run,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use site::{
    id::EndpointId,
    unit::{Cores, Memory, Resources, Slots, Span, Time},
};
use smol::{Timer, future::FutureExt};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use trillium::{Conn, Handler, Status};

/// How often a waiting look is answered anew.
const POLL: Duration = Duration::from_millis(3);

/// Runs by task, of all executors that share it: which executor runs what.
#[derive(Debug, Default)]
pub struct Twice {
    state: Mutex<Ledger>,
}

/// A run that an executor has begun.
#[derive(Clone, Debug)]
pub struct Begun {
    /// When, since the time from which all clocks of a test count.
    pub at: Time,
    /// The executor.
    pub executor: String,
    /// The run.
    pub run: Run,
}

#[derive(Debug, Default)]
struct Ledger {
    starts: BTreeMap<String, u64>,
    /// All starts, in order.
    begun: Vec<Begun>,
    /// What was seen to run on two executors at a time.
    broken: Vec<String>,
    lives: Vec<Arc<Mutex<Life>>>,
}

/// A running stand-in. Stops when it is dropped.
#[derive(Debug)]
pub struct Executor {
    /// Where it listens.
    pub address: SocketAddr,
    /// Names its life.
    pub name: String,
    shared: Arc<Shared>,
    _server: Loopback,
}

#[derive(Debug)]
struct Shared {
    name: String,
    begun: Instant,
    life: Arc<Mutex<Life>>,
    twice: Arc<Twice>,
    changed: Event,
}

#[derive(Deserialize)]
struct Spec {
    ms: u64,
    cpu: u32,
    #[serde(default)]
    fail: bool,
}

#[derive(Deserialize)]
struct StartBody {
    task: String,
    run: u32,
    spec: String,
    deadline_ms: u64,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct StopBody {
    task: String,
    run: u32,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct HoldBody {
    deadline_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    acked_upto: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
struct Entry<'a> {
    service: &'a str,
    address: SocketAddr,
    zone: &'a str,
    version: &'a str,
    slots: u32,
    state: &'a str,
    cold_remaining_ms: u64,
    capacity: Value,
    labels: [&'a str; 1],
    clock_ms: u64,
    sequence: u64,
}

impl Twice {
    /// Tasks that ran on two executors at a time.
    pub fn broken(&self) -> Vec<String> {
        self.state.lock().broken.clone()
    }

    /// How often a task of a job was started.
    pub fn starts(&self, job: &str) -> u64 {
        let state = self.state.lock();
        state.starts.iter().filter(|(name, _)| name.starts_with(job)).map(|(_, n)| n).sum()
    }

    /// All runs that were begun, in order.
    pub fn begun(&self) -> Vec<Begun> {
        self.state.lock().begun.clone()
    }

    /// Whether a task has run to its end anywhere.
    pub fn is_done(&self, job: &str, index: u16) -> bool {
        let lives = self.state.lock().lives.clone();
        lives.iter().any(|life| life.lock().done.contains(&(job.to_owned(), index)))
    }

    fn check(&self, now: Time, executor: &str, own: &Arc<Mutex<Life>>, run: &Run) {
        let mut state = self.state.lock();
        let executor = executor.to_owned();
        state.begun.push(Begun { at: now, executor, run: run.clone() });
        *state.starts.entry(format!("{}.{}", run.job, run.index)).or_default() += 1;
        let others: Vec<_> =
            state.lives.iter().filter(|life| !Arc::ptr_eq(life, own)).cloned().collect();
        for other in others {
            let mut other = other.lock();
            other.settle(now);
            let is_twin = |there: &&Run| there.job == run.job && there.index == run.index;
            if let Some(there) = other.running.keys().find(is_twin)
                && other.up
            {
                state.broken.push(format!("{run} beside {there}"));
            }
        }
    }
}

impl Executor {
    /// Starts an executor on a loopback address. `begun` is the time from which all clocks of a
    /// test count.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(name: &str, begun: Instant, twice: &Arc<Twice>) -> io::Result<Executor> {
        let capacity = Resources {
            slots: Slots(8),
            cores: Cores(64_000),
            memory: Memory(64 << 30),
            ..Resources::default()
        };
        let life = Arc::new(Mutex::new(Life::new(capacity, 10, 5_000)));
        twice.state.lock().lives.push(life.clone());
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            begun,
            life,
            twice: twice.clone(),
            changed: Event::new(),
        });
        let server = Loopback::start(Front(shared.clone()))?;
        Ok(Executor { address: server.address, name: name.to_owned(), shared, _server: server })
    }

    /// Its entry in the platform's store.
    pub fn entry(&self, service: &str, zone: &str, draining: bool, sequence: u64) -> Vec<u8> {
        self.entry_at(self.address, service, zone, draining, sequence)
    }

    /// The same for an executor that is reached at another address.
    pub fn entry_at(
        &self,
        address: SocketAddr,
        service: &str,
        zone: &str,
        draining: bool,
        sequence: u64,
    ) -> Vec<u8> {
        let entry = Entry {
            service,
            address,
            zone,
            version: "v1",
            slots: 8,
            state: if draining { "draining" } else { "ready" },
            cold_remaining_ms: 0,
            capacity: json!({ "cpu": 64_000, "mem_mb": 65_536, "gpu": 0 }),
            labels: ["a"],
            clock_ms: self.shared.life.lock().clock(self.shared.now()),
            sequence,
        };
        serde_json::to_vec(&entry).unwrap_or_default()
    }

    /// Changes what it does.
    pub fn change(&self, change: impl FnOnce(&mut Life, Time)) {
        change(&mut self.shared.life.lock(), self.shared.now());
    }

    /// Runs that are there.
    pub fn running(&self) -> Vec<Run> {
        let mut life = self.shared.life.lock();
        life.settle(self.shared.now());
        life.running.keys().cloned().collect()
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(self.begun.elapsed().as_micros() as u64)
    }

    fn start(&self, body: &StartBody) -> (u16, Value) {
        let Some(run) = Run::parse(&body.task, body.run) else { return malformed() };
        let Ok(spec) = serde_json::from_str::<Spec>(&body.spec) else { return malformed() };
        let start = Start {
            executor: EndpointId::of(&self.name),
            run: run.clone(),
            spec: body.spec.as_str().into(),
            deadline: body.deadline_ms,
            token: body.fencing_token,
        };
        let needs = Resources { slots: Slots(1), cores: Cores(spec.cpu), ..Resources::default() };
        let now = self.now();
        let (reply, is_new) = {
            let mut life = self.life.lock();
            let known = life.running.contains_key(&run);
            let reply = life.start(now, &start, needs, spec.ms * 1_000);
            if let Some(running) = life.running.get_mut(&run)
                && spec.fail
            {
                running.how = RunResult::Failed;
            }
            (reply, !known)
        };
        self.changed.notify(usize::MAX);
        match reply {
            StartResponse::Running { clock } => {
                if is_new {
                    self.twice.check(now, &self.name, &self.life, &run);
                }
                (200, json!({ "clock_ms": clock }))
            }
            StartResponse::Refused { clock, why } => {
                (409, json!({ "clock_ms": clock, "reason": reason(why) }))
            }
            StartResponse::Unsent | StartResponse::Unknown | StartResponse::Gone => malformed(),
        }
    }

    fn stop(&self, body: &StopBody) -> (u16, Value) {
        let Some(run) = Run::parse(&body.task, body.run) else { return malformed() };
        let now = self.now();
        let mut life = self.life.lock();
        let answer = life.stop(now, &run, body.fencing_token);
        self.changed.notify(usize::MAX);
        match answer {
            Response::Done(()) => (200, json!({ "clock_ms": life.clock(now) })),
            _ => (409, json!({ "clock_ms": life.clock(now), "reason": "fence" })),
        }
    }

    async fn hold(&self, body: &HoldBody) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(body.wait_ms.min(2_000));
        let look = Poll {
            executor: EndpointId::of(&self.name),
            number: 0,
            token: body.fencing_token,
            acknowledged: body.acked_upto,
            deadline: body.deadline_ms,
            wait: Span::from_millis(body.wait_ms),
        };
        let first = self.life.lock().look(self.now(), &look);
        let mut answer = first;
        while Instant::now() < until
            && matches!(&answer, Response::Done(lists) if lists.ended.is_empty())
        {
            let changed = self.changed.listen();
            let poll = async {
                Timer::after(POLL).await;
            };
            changed.or(poll).await;
            answer = self.life.lock().look(self.now(), &Poll { deadline: None, ..look });
        }
        match answer {
            Response::Done(lists) => (200, render(&lists)),
            _ => (409, json!({ "clock_ms": 0, "reason": "fence" })),
        }
    }
}

/// Answers orders.
struct Front(Arc<Shared>);

#[trillium::async_trait]
impl Handler for Front {
    async fn run(&self, mut conn: Conn) -> Conn {
        let shared = &self.0;
        let dark = shared.life.lock().dark_until;
        if dark > shared.now() {
            // Neither acts nor answers until then, and closes the connection.
            Timer::after(Duration::from_micros(dark.since(shared.now()).0)).await;
            return conn.with_status(Status::BadGateway).halt();
        }
        let expected = conn.request_headers().get_str("X-Expected-Instance").map(str::to_owned);
        if expected.is_some_and(|expected| expected != shared.name) {
            return conn.with_status(421).with_body("{}").halt();
        }
        let path = conn.path().to_owned();
        let Ok(body) = conn.request_body_string().await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        let (status, answer) = match path.as_str() {
            "/-/run-start" => parsed(&body).map_or_else(malformed, |body| shared.start(&body)),
            "/-/run-stop" => parsed(&body).map_or_else(malformed, |body| shared.stop(&body)),
            "/-/hold" => match parsed(&body) {
                Some(body) => shared.hold(&body).await,
                None => malformed(),
            },
            _ => (404, json!({})),
        };
        conn.with_status(status).with_body(answer.to_string()).halt()
    }
}

fn parsed<T: for<'de> Deserialize<'de>>(body: &str) -> Option<T> {
    serde_json::from_str(body).ok()
}

fn malformed() -> (u16, Value) {
    (400, json!({ "clock_ms": 0, "reason": "malformed" }))
}

fn reason(why: Refusal) -> &'static str {
    match why {
        Refusal::Fenced => "fence",
        Refusal::OldRun => "old",
        Refusal::Late => "late",
        Refusal::Room => "room",
        Refusal::Unhealthy | Refusal::Invalid => "malformed",
    }
}

fn render(lists: &Listing) -> Value {
    let running: Vec<_> =
        lists.running.iter().map(|run| json!([run.task_name(), run.number, "", 100, 0])).collect();
    let ended: Vec<_> = lists.ended.iter().filter_map(row).collect();
    json!({ "clock_ms": lists.clock, "running": running, "ended": ended })
}

fn row(ended: &Ended) -> Option<Value> {
    let run = ended.run.as_ref()?;
    let how = match ended.result {
        RunResult::Done => "done",
        RunResult::Failed => "failed",
        RunResult::Stopped => "stopped",
        RunResult::Lapsed => "lapsed",
    };
    Some(json!([ended.number, run.task_name(), run.number, how, ""]))
}
