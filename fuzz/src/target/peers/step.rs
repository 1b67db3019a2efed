//! What happens to an entry.

use dispatch::Message;
use serde::{Deserialize, Serialize};
use site::{id::Home, submission::Submission, unit::Span};
use std::sync::Arc;

/// One event, or several of a kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Step {
    /// A peer says something.
    Say { from: Home, message: Message },
    /// A peer says something of a kind again and again, each time about other homes.
    Flood { from: Home, kind: Flood, count: u16 },
    /// A connection comes up.
    Up(Home),
    /// A connection is lost.
    Down(Home),
    /// Time passes.
    Wait(Span),
    /// A caller submits.
    Submit(Arc<Submission>),
    /// The oldest attempt ends.
    Finish(End),
    /// The platform lists these processes.
    Registry(Vec<Home>),
    /// The entry is told to stop.
    Drain,
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) enum End {
    Done,
    Failed,
    NotSent,
    Lost,
    TimedOut,
}

/// What is repeated.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) enum Flood {
    /// [`Message::Moved`].
    Moved,
    /// [`Message::Heartbeat`], each with an adopted home.
    Adopted,
    /// [`Message::Handover`], each with a table.
    Tables,
    /// [`Message::Handover`], each with a record.
    Records,
    /// [`Message::Submit`] of repeatable requests of homes that are gone.
    Submit,
    /// [`Message::CapacityRequest`] for unknown firms.
    Wants,
    /// [`Message::Lend`] of unknown endpoints.
    Lends,
    /// [`Message::InUse`] of unknown endpoints.
    Holdings,
    /// [`Message::Usage`] of unknown firms.
    Usage,
}
