//! The events that an entry handles.

use crate::{
    Cordon, Executor, Job, Message,
    executor::{Listing, Response, Service, StartResponse},
    job::Run,
};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, WaiterId},
    unit::{Cores, Revision},
};

/// Something that happened outside the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job. Results in one [`crate::Action::Answer`] unless the caller leaves.
    Submit {
        /// Identifies the caller that waits for the answer.
        waiter: WaiterId,
        /// The submitted job.
        job: Job,
    },
    /// A caller has disconnected. Its job is stopped, since the caller may submit it again
    /// elsewhere.
    Leave {
        /// Identifies the caller that waited.
        waiter: WaiterId,
    },
    /// All executors that are registered now, replacing the previous list.
    Executors(Vec<Executor>),
    /// Executors of these data centres have renewed their registrations, changed or not.
    ExecutorsRenewed(Vec<DataCentreId>),
    /// All entries that the platform's store lists now, replacing the previous list.
    Members {
        /// The store's revision of the list.
        revision: Revision,
        /// The listed entries.
        members: Vec<Home>,
    },
    /// Processor available to each entry that is listed now.
    Processors(Vec<(EntryId, Cores)>),
    /// The result of an [`crate::Action::Start`]. Follows each exactly once.
    Started {
        /// The executor that got the order.
        executor: EndpointId,
        /// The run that was to be started.
        run: Run,
        /// The executor's response, or the lack of one.
        reply: StartResponse,
    },
    /// The result of an [`crate::Action::Poll`]. Follows each exactly once.
    Polled {
        /// The executor that was polled.
        executor: EndpointId,
        /// Sequence number of the poll.
        number: u64,
        /// The executor's listing, or why there is none.
        reply: Response<Listing>,
    },
    /// The result of an [`crate::Action::Stop`]. Follows each exactly once.
    Stopped {
        /// The executor that got the order.
        executor: EndpointId,
        /// The run that was to be stopped.
        run: Run,
        /// The executor's response, or the lack of one.
        reply: Response<()>,
    },
    /// A message of a peer. Messages of one connection arrive in the order in which they were sent.
    Message {
        /// The authenticated sender.
        from: Home,
        /// The message.
        message: Message,
    },
    /// A connection to a peer is up.
    PeerUp {
        /// The connected peer.
        peer: Home,
    },
    /// The connection to a peer is lost.
    PeerDown {
        /// The disconnected peer.
        peer: Home,
    },
    /// A connected peer has acknowledged nothing for a while, although messages were sent to it.
    /// Ends with its next message.
    PeerUnresponsive {
        /// The unresponsive peer.
        peer: Home,
    },
    /// A new version of the operator's configuration was read.
    Configured {
        /// Version of the configuration.
        version: u64,
        /// The services that it sends jobs to.
        services: Vec<Service>,
    },
    /// The cordon, as read from the platform's store.
    Cordoned(Cordon),
    /// A planned stop: the entry keeps no executor any more, finishes its open jobs, then asks for
    /// [`crate::Action::Exit`].
    Drain,
    /// Time has passed. Due every [`crate::entry::TICK`].
    Tick,
}
