//! The worker's HTTP API.

use crate::{
    ledger::Step,
    protocol,
    request::Request,
    serve::{Attempt, Control, Response, serve},
    worker::{
        State,
        lease::{Lease, LeaseEnd},
        task::{Running, TaskState},
    },
};
use serde_json::{Value, json};
use site::unit::{Resources, Span};
use smol::{Timer, future::FutureExt};
use std::{str::FromStr, sync::Arc, time::Duration};
use trillium::{Conn, Method};

/// Lease of a task whose request has no lease header.
const DEFAULT_LEASE: Span = Span::from_secs(10);

/// The resources and the lease that the headers of a request declare.
struct DeclaredLimits {
    needs: Resources,
    lease: Duration,
}

impl DeclaredLimits {
    fn of(conn: &Conn) -> DeclaredLimits {
        let lease = header(conn, protocol::LEASE).unwrap_or(DEFAULT_LEASE);
        DeclaredLimits {
            needs: Resources {
                cores: header(conn, protocol::CORES).unwrap_or_default(),
                memory: header(conn, protocol::MEMORY).unwrap_or_default(),
                accelerators: header(conn, protocol::ACCELERATORS).unwrap_or_default(),
                ..Resources::default()
            },
            lease: Duration::from_micros(lease.0),
        }
    }
}

fn header<T: FromStr>(conn: &Conn, name: &'static str) -> Option<T> {
    conn.request_headers().get_str(name)?.parse().ok()
}

pub(super) async fn handle(state: Arc<State>, conn: Conn) -> Conn {
    if Control::is_control_request(&conn) {
        return state.control.serve(conn).await;
    }
    let declared = DeclaredLimits::of(&conn);
    let path: Vec<_> = conn.path().split('/').skip(1).map(str::to_owned).collect();
    let path: Vec<_> = path.iter().map(String::as_str).collect();
    let state = &*state;
    match (conn.method(), path.as_slice()) {
        (Method::Get, ["healthz"]) => {
            serve(&state.endpoint, conn, |_, _| async { Response::new(200, Value::Null) }).await
        }
        (Method::Get, ["v1", "usage"]) => {
            let usage = |_, _| async { Response::new(200, state.sample.lock().to_json()) };
            serve(&state.endpoint, conn, usage).await
        }
        (Method::Put, ["v1", "tasks", id]) => {
            let put = |attempt, body: String| async move {
                state.put(with_id(attempt, id), &declared, &body).await
            };
            serve(&state.endpoint, conn, put).await
        }
        (Method::Post, ["v1", "tasks", id, "renew"]) => {
            serve(&state.endpoint, conn, |_, _| async { state.renew(id, declared.lease) }).await
        }
        (Method::Delete, ["v1", "tasks", id]) => {
            serve(&state.endpoint, conn, |_, _| async { state.delete(id) }).await
        }
        _ => conn,
    }
}

fn with_id(attempt: Attempt, id: &str) -> Attempt {
    Attempt { id: id.to_owned(), ..attempt }
}

fn state_response(state: &str) -> Response {
    Response::new(200, json!({"state": state}))
}

impl State {
    async fn put(&self, attempt: Attempt, declared: &DeclaredLimits, body: &str) -> Response {
        let Ok(request) = Request::parse(body) else {
            return Response::new(400, json!("the body is not a task"));
        };
        let running = Running {
            needs: declared.needs,
            uses: request.uses.unwrap_or(declared.needs),
            lease: Arc::new(Lease::new(declared.lease)),
        };
        let lease = Arc::clone(&running.lease);
        if let Err(response) = self.start(&attempt, running) {
            return response;
        }
        let mut run = Run { state: self, attempt: &attempt, step: Step::Stop };
        if self.endpoint.consume_failure() {
            run.step = Step::End;
            return Response { has_run: true, ..Response::new(500, json!("failed")) };
        }
        let time = request.run_time().unwrap_or(self.options.run_time);
        let time = time.mul_f64(self.endpoint.faults().slow);
        let work = async {
            Timer::after(time).await;
            None
        };
        let end = async { Some(lease.end().await) };
        match work.or(end).await {
            None => {
                run.step = Step::End;
                let body = json!({
                    "echo": request.echo,
                    "task": attempt.task,
                    "attempt": attempt.id,
                    "endpoint": self.endpoint.name,
                });
                let response = Response::new(request.status.unwrap_or(200), body);
                Response { has_run: true, ..response }.with(protocol::ATTEMPT, &attempt.id)
            }
            Some(end) => {
                if end == LeaseEnd::Expired {
                    run.step = Step::Lapse;
                }
                Response::new(410, Value::Null).with(protocol::OUTCOME, "stopped")
            }
        }
    }

    /// Occupies the resources, or returns the response that refuses the task.
    fn start(&self, attempt: &Attempt, running: Running) -> Result<(), Response> {
        let mut tasks = self.tasks.lock();
        match tasks.attempts.get(&attempt.id) {
            Some(TaskState::Running(_) | TaskState::Ended) => {
                self.endpoint.record(attempt, Step::Repeat);
                return Err(Response::repeated());
            }
            Some(TaskState::Cancelled) => {
                self.endpoint.record(attempt, Step::Refusal);
                return Err(Response::refusal("stopped"));
            }
            None => {}
        }
        let faults = self.endpoint.faults();
        let free = self.options.capacity().minus(&tasks.used);
        let refusal = match () {
            () if faults.leaving => Some("leaving"),
            () if faults.refuse || !free.fits(&running.needs) => Some("busy"),
            () => None,
        };
        if let Some(reason) = refusal {
            self.endpoint.record(attempt, Step::Refusal);
            return Err(Response::refusal(reason));
        }
        tasks.start(&attempt.id, running);
        self.endpoint.record(attempt, Step::Start);
        Ok(())
    }

    fn renew(&self, id: &str, length: Duration) -> Response {
        match self.tasks.lock().attempts.get(id) {
            None => state_response("unknown"),
            Some(TaskState::Cancelled) => state_response("never"),
            Some(TaskState::Ended) => state_response("ended"),
            Some(TaskState::Running(running)) => {
                running.lease.renew(length);
                state_response("running")
            }
        }
    }

    fn delete(&self, id: &str) -> Response {
        let mut tasks = self.tasks.lock();
        match tasks.attempts.get(id) {
            Some(TaskState::Ended) => state_response("ended"),
            Some(TaskState::Running(running)) => {
                running.lease.revoke();
                state_response("running")
            }
            Some(TaskState::Cancelled) | None => {
                tasks.attempts.insert(id.to_owned(), TaskState::Cancelled);
                state_response("never")
            }
        }
    }
}

/// A running task. Its resources are released when it is dropped.
struct Run<'a> {
    state: &'a State,
    attempt: &'a Attempt,
    /// The step to record when it is dropped.
    step: Step,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let mut tasks = self.state.tasks.lock();
        tasks.end(&self.attempt.id);
        self.state.endpoint.record(self.attempt, self.step);
    }
}
