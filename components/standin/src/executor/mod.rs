//! A stand-in for an executor.
//!
//! `POST /<service>` takes JSON `{"ms": 50, "echo": ..., "status": 200}`, all of it optional, runs
//! for that time and answers with the echo. `GET /healthz` tells the state of an attempt.

use crate::{
    Faults, Ledger,
    ledger::Step,
    protocol,
    request::Request,
    serve::{Answer, Attempt, Control, Host, Node, serve},
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

/// What an executor offers.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the ledger.
    pub name: String,
    /// Tasks that it runs at one time.
    pub slots: usize,
    /// Connections that it accepts at one time.
    pub connections: usize,
    /// Run time of a task whose body gives none.
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
    /// Starts to serve on `address`; the system chooses a port if it gives none.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn spawn(address: SocketAddr, options: Options, ledger: Ledger) -> io::Result<Executor> {
        let node = Arc::new(Node::new(&options.name, ledger));
        let control = Control::new(Arc::clone(&node));
        let connections = options.connections;
        let state = Arc::new(State {
            node: Arc::clone(&node),
            control: control.clone(),
            options,
            tasks: Mutex::default(),
        });
        let handler = move |conn: Conn| handle(Arc::clone(&state), conn);
        Ok(Executor { host: Host::spawn(address, connections, node, control, handler)? })
    }
}

impl Deref for Executor {
    type Target = Host;

    fn deref(&self) -> &Host {
        &self.host
    }
}

struct State {
    node: Arc<Node>,
    control: Control,
    options: Options,
    tasks: Mutex<Tasks>,
}

#[derive(Default)]
struct Tasks {
    running: usize,
    /// Attempts that started: whether they have ended.
    attempts: HashMap<String, bool>,
    /// Tasks that started.
    started: HashSet<String>,
}

async fn handle(state: Arc<State>, conn: Conn) -> Conn {
    if Control::takes(&conn) {
        return state.control.serve(conn).await;
    }
    let state = &*state;
    match (conn.method(), conn.path()) {
        (Method::Get, "/healthz") => {
            let health = |attempt, _| {
                let answer = state.health(&attempt);
                async { answer }
            };
            serve(&state.node, conn, health).await
        }
        (Method::Post, _) => {
            let run = |attempt, body: String| async move { state.run(attempt, &body).await };
            serve(&state.node, conn, run).await
        }
        _ => conn,
    }
}

impl State {
    fn health(&self, attempt: &Attempt) -> Answer {
        let answer = Answer::new(200, Value::Null);
        if attempt.id.is_empty() || self.node.faults().plain_health {
            return answer;
        }
        let state = match self.tasks.lock().attempts.get(&attempt.id) {
            None => "unknown",
            Some(false) => "running",
            Some(true) => "ended",
        };
        answer.with(protocol::ATTEMPT_STATE, state)
    }

    async fn run(&self, attempt: Attempt, body: &str) -> Answer {
        let faults = self.node.faults();
        let Ok(request) = Request::parse(body) else {
            return Answer::new(400, json!("the body is not a task"));
        };
        let mut run = match self.start(&attempt, &faults) {
            Ok(run) => run,
            Err(answer) => return answer,
        };
        if self.node.takes_failure() {
            run.end();
            return Answer { ran: true, ..Answer::new(500, json!("failed")) };
        }
        let time = request.run_time().unwrap_or(self.options.run_time);
        Timer::after(time.mul_f64(faults.slow)).await;
        run.end();
        let body = json!({
            "echo": request.echo,
            "task": attempt.task,
            "attempt": attempt.id,
            "endpoint": self.node.name,
        });
        let answer = Answer::new(request.status.unwrap_or(200), body);
        Answer { ran: true, ..answer }.with(protocol::ATTEMPT, &attempt.id)
    }

    /// Takes a slot, or says why not.
    fn start<'a>(&'a self, attempt: &'a Attempt, faults: &Faults) -> Result<Run<'a>, Answer> {
        let mut tasks = self.tasks.lock();
        if faults.detect_duplicates && tasks.started.contains(&attempt.task) {
            self.node.record(attempt, Step::Repeat);
            return Err(Answer::repeated());
        }
        let refusal = match () {
            () if faults.leaving => Some("leaving"),
            () if faults.refuse || tasks.running >= self.options.slots => Some("busy"),
            () => None,
        };
        if let Some(reason) = refusal {
            self.node.record(attempt, Step::Refusal);
            return Err(Answer::refusal(reason));
        }
        tasks.running += 1;
        tasks.attempts.insert(attempt.id.clone(), false);
        tasks.started.insert(attempt.task.clone());
        self.node.record(attempt, Step::Start);
        Ok(Run { state: self, attempt, ended: false })
    }
}

/// A task in its slot. Dropped before its end, it is stopped.
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
        self.state.node.record(self.attempt, step);
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.free(Step::Stop);
        }
    }
}
