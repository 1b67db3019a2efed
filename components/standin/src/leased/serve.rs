//! The executor's HTTP API.

use super::{ExecutorState, Loss, RunMonitor};
use crate::serve::Loopback;
use event_listener::Event;
use parking_lot::Mutex;
use runs::{
    action::{Poll, Start},
    executor::{Ended, Incarnation, Listing, Refusal, Response, RunResult, StartResponse},
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
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use trillium::{Conn, Handler, Status};

/// Interval at which a waiting poll checks for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// A running stand-in. Stops when it is dropped.
#[derive(Debug)]
pub struct Executor {
    /// The address that the executor listens on.
    pub address: SocketAddr,
    /// Name of this incarnation. Orders for another one are rejected with status 421.
    pub name: String,
    shared: Arc<Shared>,
    _server: Loopback,
}

#[derive(Debug)]
struct Shared {
    name: String,
    epoch: Instant,
    state: Arc<Mutex<ExecutorState>>,
    monitor: Arc<RunMonitor>,
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
struct Registration<'a> {
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
    #[serde(skip_serializing_if = "Option::is_none")]
    born: Option<Incarnation>,
}

impl Executor {
    /// Starts an executor on a loopback address. `epoch` is the common time origin of the test.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(name: &str, epoch: Instant, monitor: &Arc<RunMonitor>) -> io::Result<Executor> {
        Self::start_incarnation(name, None, epoch, monitor)
    }

    /// Starts an incarnation that shares its name with others.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start_incarnation(
        name: &str,
        incarnation: Option<Incarnation>,
        epoch: Instant,
        monitor: &Arc<RunMonitor>,
    ) -> io::Result<Executor> {
        let capacity = Resources {
            slots: Slots(8),
            cores: Cores(64_000),
            memory: Memory(64 << 30),
            ..Resources::default()
        };
        let mut state = ExecutorState::new(capacity, 10, 5_000);
        state.incarnation = incarnation;
        let state = Arc::new(Mutex::new(state));
        monitor.add(&state);
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            epoch,
            state,
            monitor: monitor.clone(),
            changed: Event::new(),
        });
        let server = Loopback::start(Routes(shared.clone()))?;
        Ok(Executor { address: server.address, name: name.to_owned(), shared, _server: server })
    }

    /// Returns the executor's registration, as stored under its key in the platform's store.
    pub fn registration(
        &self,
        service: &str,
        zone: &str,
        draining: bool,
        sequence: u64,
    ) -> Vec<u8> {
        self.registration_at(self.address, service, zone, draining, sequence)
    }

    /// Returns a registration with another address, for an executor behind a proxy.
    pub fn registration_at(
        &self,
        address: SocketAddr,
        service: &str,
        zone: &str,
        draining: bool,
        sequence: u64,
    ) -> Vec<u8> {
        let (clock_ms, born, kind) = {
            let state = self.shared.state.lock();
            (state.clock(self.shared.now()), state.incarnation, state.kind)
        };
        let registration = Registration {
            service,
            address,
            zone,
            version: "v1",
            slots: 8,
            state: if draining { "draining" } else { "ready" },
            cold_remaining_ms: 0,
            capacity: json!({ "cpu": 64_000, "mem_mb": 65_536, "gpu": 0 }),
            labels: [kind],
            clock_ms,
            sequence,
            born,
        };
        serde_json::to_vec(&registration).unwrap_or_default()
    }

    /// Changes the executor's state, for example to switch a fault on.
    pub fn change(&self, change: impl FnOnce(&mut ExecutorState, Time)) {
        change(&mut self.shared.state.lock(), self.shared.now());
    }

    /// Crashes the executor: its runs are gone without an end, and it carries out no more orders.
    pub fn crash(&self) {
        self.shared.state.lock().crash(self.shared.now());
    }

    /// Returns the runs in progress.
    pub fn running(&self) -> Vec<Run> {
        let mut state = self.shared.state.lock();
        state.end_due_runs(self.shared.now());
        state.running.keys().cloned().collect()
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_micros() as u64)
    }

    async fn carry_out(&self, path: &str, body: &str) -> (u16, Value) {
        match path {
            "/-/run-start" => parse(body).map_or_else(malformed, |body| self.start(&body)),
            "/-/run-stop" => parse(body).map_or_else(malformed, |body| self.stop(&body)),
            "/-/hold" => match parse(body) {
                Some(body) => self.hold(&body).await,
                None => malformed(),
            },
            _ => (404, json!({})),
        }
    }

    async fn carry_out_late(self: Arc<Self>, path: String, body: String, delay: Duration) {
        Timer::after(delay).await;
        self.carry_out(&path, &body).await;
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
        let (response, is_new) = {
            let mut state = self.state.lock();
            if !state.up {
                return crashed();
            }
            let was_running = state.running.contains_key(&run);
            let response = state.start(now, &start, needs, spec.ms * 1_000);
            if let Some(running) = state.running.get_mut(&run)
                && spec.fail
            {
                running.result = RunResult::Failed;
            }
            (response, !was_running)
        };
        self.changed.notify(usize::MAX);
        match response {
            StartResponse::Running { clock } => {
                if is_new {
                    self.monitor.record_start(now, &self.name, &self.state, &run);
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
        let mut state = self.state.lock();
        let response = state.stop(now, &run, body.fencing_token);
        self.changed.notify(usize::MAX);
        match response {
            Response::Done(()) => (200, json!({ "clock_ms": state.clock(now) })),
            _ => (409, json!({ "clock_ms": state.clock(now), "reason": "fence" })),
        }
    }

    async fn hold(&self, body: &HoldBody) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(body.wait_ms.min(2_000));
        let poll = Poll {
            executor: EndpointId::of(&self.name),
            number: 0,
            token: body.fencing_token,
            acknowledged: body.acked_upto,
            deadline: body.deadline_ms,
            wait: Span::from_millis(body.wait_ms),
        };
        let first = self.state.lock().poll(self.now(), &poll);
        let mut response = first;
        while Instant::now() < until
            && matches!(&response, Response::Done(listing) if listing.ended.is_empty())
        {
            let changed = self.changed.listen();
            let interval = async {
                Timer::after(POLL_INTERVAL).await;
            };
            changed.or(interval).await;
            response = self.state.lock().poll(self.now(), &Poll { deadline: None, ..poll });
        }
        match response {
            Response::Done(listing) => (200, render(&listing)),
            _ => (409, json!({ "clock_ms": 0, "reason": "fence" })),
        }
    }
}

/// The HTTP routes for orders.
struct Routes(Arc<Shared>);

#[trillium::async_trait]
impl Handler for Routes {
    async fn run(&self, mut conn: Conn) -> Conn {
        let shared = &self.0;
        let unresponsive_until = shared.state.lock().unresponsive_until;
        if unresponsive_until > shared.now() {
            // Holds the order until then and fails it without carrying it out.
            Timer::after(Duration::from_micros(unresponsive_until.since(shared.now()).0)).await;
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
        let loss = shared.state.lock().loss.as_mut().and_then(Loss::draw);
        if let Some(delay) = loss {
            // Carried out even if the client closes the connection before.
            smol::spawn(shared.clone().carry_out_late(path, body, delay)).detach();
            Timer::after(delay).await;
            return conn.with_status(Status::BadGateway).halt();
        }
        let (status, response) = shared.carry_out(&path, &body).await;
        // The executor may have crashed since the order arrived.
        let (status, response) =
            if shared.state.lock().up { (status, response) } else { crashed() };
        conn.with_status(status).with_body(response.to_string()).halt()
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &str) -> Option<T> {
    serde_json::from_str(body).ok()
}

fn crashed() -> (u16, Value) {
    (503, json!({}))
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

fn render(listing: &Listing) -> Value {
    let running: Vec<_> = listing
        .running
        .iter()
        .map(|run| json!([run.task_name(), run.number, "", 100, 0]))
        .collect();
    let ended: Vec<_> = listing.ended.iter().filter_map(ended_row).collect();
    let mut response = json!({ "clock_ms": listing.clock, "running": running, "ended": ended });
    if let Some(incarnation) = listing.incarnation {
        response["born"] = json!(incarnation);
    }
    response
}

fn ended_row(ended: &Ended) -> Option<Value> {
    let run = ended.run.as_ref()?;
    let result = match ended.result {
        RunResult::Done => "done",
        RunResult::Failed => "failed",
        RunResult::Stopped => "stopped",
        RunResult::Lapsed => "lapsed",
    };
    Some(json!([ended.number, run.task_name(), run.number, result, ""]))
}
