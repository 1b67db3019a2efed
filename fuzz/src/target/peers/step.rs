//! The steps of a case: events of the entry under test.

use dispatch::Message;
use serde::{Deserialize, Serialize};
use site::{id::Home, submission::Submission, unit::Span};
use std::sync::Arc;

/// One event, or several events of the same kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Step {
    /// A peer sends a message.
    Say { from: Home, message: Message },
    /// A peer sends `count` messages of the same kind, each with other homes or ids.
    Flood { from: Home, kind: Flood, count: u16 },
    /// A connection to a peer is established.
    Up(Home),
    /// A connection is lost.
    Down(Home),
    /// Time passes.
    Wait(Span),
    /// A caller sends a submission.
    Submit(Arc<Submission>),
    /// The oldest running attempt ends.
    Finish(End),
    /// The platform's registry lists these entries.
    Registry(Vec<Home>),
    /// The entry is drained.
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

/// The kind of message that is repeated.
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
    /// [`Message::Submit`] of repeatable requests whose homes no longer exist.
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
