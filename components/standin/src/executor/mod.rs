//! A stand-in for an executor.
//!
//! `POST /<service>` accepts JSON `{"ms": 50, "echo": ..., "status": 200}` with all fields
//! optional, runs for that time and returns the echo. `GET /healthz` reports the state of an attempt.

use crate::{
    Faults, Ledger,
    ledger::Step,
    protocol,
    request::Request,
    serve::{Attempt, Control, EndpointState, Host, Response, serve},
};
use parking_lot::Mutex;
use serde_json::{Value, json};
use smol::Timer;
use std::{
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    ops::Deref,
    sync::Arc,
    time::Duration,
};
use trillium::{Conn, Method};

/// Name, slots and limits of an executor.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the executor in the ledger.
    pub name: String,
    /// Maximum number of concurrent tasks.
    pub slots: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Run time of a task whose body doesn't set one.
    pub run_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            name: "executor".to_owned(),
            slots: 8,
            connections: 64,
            run_time: Duration::from_millis(50),
        }
    }
}

/// A running stand-in. Stops when it is dropped.
pub struct Executor {
    host: Host,
}

impl Executor {
    /// Starts to serve on `address`; the operating system chooses the port if it is 0.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn spawn(address: SocketAddr, options: Options, ledger: Ledger) -> io::Result<Executor> {
        let endpoint = Arc::new(EndpointState::new(&options.name, ledger));
        let control = Control::new(Arc::clone(&endpoint));
        let connections = options.connections;
        let state = Arc::new(State {
            endpoint: Arc::clone(&endpoint),
            control: control.clone(),
            options,
            tasks: Mutex::default(),
        });
        let handler = move |conn: Conn| handle(Arc::clone(&state), conn);
        Ok(Executor { host: Host::spawn(address, connections, endpoint, control, handler)? })
    }
}

impl Deref for Executor {
    type Target = Host;

    fn deref(&self) -> &Host {
        &self.host
    }
}

struct State {
    endpoint: Arc<EndpointState>,
    control: Control,
    options: Options,
    tasks: Mutex<Tasks>,
}

#[derive(Default)]
struct Tasks {
    running: usize,
    /// Attempts that started, with whether they have ended.
    attempts: HashMap<String, bool>,
    /// Ids of the tasks that started.
    started: HashSet<String>,
}

async fn handle(state: Arc<State>, conn: Conn) -> Conn {
    if Control::is_control_request(&conn) {
        return state.control.serve(conn).await;
    }
    let state = &*state;
    match (conn.method(), conn.path()) {
        (Method::Get, "/healthz") => {
            let health = |attempt, _| {
                let response = state.health(&attempt);
                async { response }
            };
            serve(&state.endpoint, conn, health).await
        }
        (Method::Post, _) => {
            let run = |attempt, body: String| async move { state.run(attempt, &body).await };
            serve(&state.endpoint, conn, run).await
        }
        _ => conn,
    }
}

impl State {
    fn health(&self, attempt: &Attempt) -> Response {
        let response = Response::new(200, Value::Null);
        if attempt.id.is_empty() || self.endpoint.faults().plain_health {
            return response;
        }
        let state = match self.tasks.lock().attempts.get(&attempt.id) {
            None => "unknown",
            Some(false) => "running",
            Some(true) => "ended",
        };
        response.with(protocol::ATTEMPT_STATE, state)
    }

    async fn run(&self, attempt: Attempt, body: &str) -> Response {
        let faults = self.endpoint.faults();
        let Ok(request) = Request::parse(body) else {
            return Response::new(400, json!("the body is not a task"));
        };
        let mut run = match self.start(&attempt, &faults) {
            Ok(run) => run,
            Err(response) => return response,
        };
        if self.endpoint.consume_failure() {
            run.end();
            return Response { has_run: true, ..Response::new(500, json!("failed")) };
        }
        let time = request.run_time().unwrap_or(self.options.run_time);
        Timer::after(time.mul_f64(faults.slow)).await;
        run.end();
        let body = json!({
            "echo": request.echo,
            "task": attempt.task,
            "attempt": attempt.id,
            "endpoint": self.endpoint.name,
        });
        let response = Response::new(request.status.unwrap_or(200), body);
        Response { has_run: true, ..response }.with(protocol::ATTEMPT, &attempt.id)
    }

    /// Occupies a slot, or returns the response that refuses the task.
    fn start<'a>(&'a self, attempt: &'a Attempt, faults: &Faults) -> Result<Run<'a>, Response> {
        let mut tasks = self.tasks.lock();
        if faults.detect_duplicates && tasks.started.contains(&attempt.task) {
            self.endpoint.record(attempt, Step::Repeat);
            return Err(Response::repeated());
        }
        let refusal = match () {
            () if faults.leaving => Some("leaving"),
            () if faults.refuse || tasks.running >= self.options.slots => Some("busy"),
            () => None,
        };
        if let Some(reason) = refusal {
            self.endpoint.record(attempt, Step::Refusal);
            return Err(Response::refusal(reason));
        }
        tasks.running += 1;
        tasks.attempts.insert(attempt.id.clone(), false);
        tasks.started.insert(attempt.task.clone());
        self.endpoint.record(attempt, Step::Start);
        Ok(Run { state: self, attempt, ended: false })
    }
}

/// A task that occupies a slot. Dropping it before its end records that it was stopped.
struct Run<'a> {
    state: &'a State,
    attempt: &'a Attempt,
    ended: bool,
}

impl Run<'_> {
    fn end(&mut self) {
        self.free(Step::End);
    }

    fn free(&mut self, step: Step) {
        self.ended = true;
        let mut tasks = self.state.tasks.lock();
        tasks.running -= 1;
        tasks.attempts.insert(self.attempt.id.clone(), true);
        self.state.endpoint.record(self.attempt, step);
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.free(Step::Stop);
        }
    }
}
