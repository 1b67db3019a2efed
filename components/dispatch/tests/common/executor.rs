//! Executors that record every start.

use ::site::{
    id::{AttemptId, EndpointId, Home, TaskId},
    submission::Output,
    unit::{Span, Time},
};
use bytes::Bytes;
use dispatch::{
    action::Start,
    event::{Refusal, Reply},
};

/// Behaviour of an executor towards the next tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Runs them and responds.
    Work,
    /// Runs them and responds with a failure.
    Fail,
    /// Refuses connections.
    Down,
    /// Refuses them for another reason than being busy or leaving.
    Refuse,
    /// Runs them, and the connection breaks before the response.
    LoseAnswer,
    /// The connection breaks before they arrive.
    LoseRequest,
    /// Runs them, and the connection becomes idle meanwhile, which the entry detects after half the
    /// run time.
    SilentConnection,
    /// Runs them and never responds.
    NoResponse,
}

/// Record of a task that began to run.
#[derive(Clone, Debug)]
pub struct StartRecord {
    pub at: Time,
    pub executor: EndpointId,
    pub by: Home,
    pub attempt: AttemptId,
    pub task: TaskId,
    pub body: Bytes,
}

/// An attempt whose report has not been sent yet.
#[derive(Clone, Debug)]
pub struct Open {
    pub start: Start,
    pub since: Time,
    pub began: bool,
}

#[derive(Clone, Debug)]
pub struct Executor {
    pub id: EndpointId,
    pub slots: usize,
    pub mode: Mode,
    pub leaving: bool,
    pub run_time: Span,
    pub running: Vec<(Home, AttemptId)>,
}

impl Executor {
    pub fn new(id: EndpointId, slots: usize, run_time: Span) -> Executor {
        Executor { id, slots, mode: Mode::Work, leaving: false, run_time, running: Vec::new() }
    }

    /// Returns the reply that is known on arrival, or `None` when the task begins to run.
    pub fn receive(&self) -> Option<Reply> {
        match self.mode {
            Mode::Down => Some(Reply::NotSent),
            Mode::LoseRequest => Some(Reply::Lost),
            Mode::Refuse => Some(Reply::Refused(Refusal::Other)),
            _ if self.leaving => Some(Reply::Refused(Refusal::Leaving)),
            _ if self.running.len() >= self.slots => Some(Reply::Refused(Refusal::Busy)),
            _ => None,
        }
    }

    /// Returns the reply at the end of a task; `None` when there is none.
    pub fn reply(&self, body: &Bytes) -> Option<Reply> {
        match self.mode {
            Mode::NoResponse | Mode::SilentConnection => None,
            Mode::LoseAnswer => Some(Reply::Lost),
            Mode::Fail => Some(Reply::Failed(output(500, body))),
            _ => Some(Reply::Done(output(200, body))),
        }
    }
}

/// Returns an output that contains the body of its task.
pub fn output(status: u16, body: &Bytes) -> Output {
    let mut text = b"ran ".to_vec();
    text.extend_from_slice(body);
    Output { status, content_type: "text/plain".into(), body: text.into() }
}
