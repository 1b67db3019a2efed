//! The actions that [`crate::Entry`] asks its caller to carry out, and the decisions that it logs.

mod decision;
mod reason;

pub use decision::Decision;
pub use reason::{Ending, ExecutorHealth, Flood, KeepChange, Outlook, Reason, Source, StopCause};

use crate::{
    Message,
    clock::RemoteTime,
    job::{Answer, Run},
};
use site::{
    id::{EndpointId, Home, WaiterId},
    unit::Span,
};
use std::sync::Arc;

/// An operation that the caller of [`crate::Entry::handle`] carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Starts a run. Results in one [`crate::Event::Started`].
    Start(Start),
    /// Stops a run. Results in one [`crate::Event::Stopped`].
    Stop {
        /// The executor on which the run is.
        executor: EndpointId,
        /// The run to stop.
        run: Run,
        /// Fencing token: proves that this entry is the executor's keeper.
        token: u64,
    },
    /// Polls an executor for its listing. Renews its lease only if [`Poll::deadline`] is set: if
    /// the executor is ready, has runs and missed no poll. A start extends the lease too. Results
    /// in one [`crate::Event::Polled`].
    Poll(Poll),
    /// Answers a caller.
    Answer {
        /// The caller that waits.
        waiter: WaiterId,
        /// The result of its job.
        answer: Answer,
    },
    /// Sends a message to a peer. Dropped if there is no connection to it.
    Send {
        /// The receiving peer.
        to: Home,
        /// The message to send.
        message: Message,
    },
    /// Starts (`true`) or stops (`false`) delivering [`crate::Event::Executors`]. An entry that
    /// keeps no executor does not need the list.
    WatchExecutors(bool),
    /// Writes a line to the decision log.
    Log(Decision),
    /// Ends the process: a drain has finished.
    Exit,
}

/// The order to start a run on an executor.
#[derive(Clone, Debug)]
pub struct Start {
    /// The executor that gets the order.
    pub executor: EndpointId,
    /// The run to start.
    pub run: Run,
    /// What the task does, as the caller wrote it.
    pub spec: Arc<str>,
    /// When the executor's lease ends, on the executor's clock.
    pub deadline: RemoteTime,
    /// Fencing token: proves that this entry is the executor's keeper.
    pub token: u64,
}

/// A request for an executor's listing.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// The executor to poll.
    pub executor: EndpointId,
    /// Sequence number of the poll, counted per executor.
    pub number: u64,
    /// Fencing token: proves that this entry is the executor's keeper.
    pub token: u64,
    /// The executor may forget ends up to this number.
    pub acknowledged: u64,
    /// When the executor's lease ends, on the executor's clock; `None` leaves the lease unchanged.
    pub deadline: Option<RemoteTime>,
    /// How long the executor may hold back its response while no run ends (long poll).
    pub wait: Span,
}
