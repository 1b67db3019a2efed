//! What an entry is told.

use crate::{
    Cordon, Executor, Job, Message,
    executor::{Answered, Lists, Service, Started},
    job::Run,
};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, WaiterId},
    unit::{Cores, Revision},
};

/// Something that happened outside the logic.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller hands a job in. Answered by one [`crate::Action::Answer`] unless it leaves.
    Submit {
        /// Who waits for the answer.
        waiter: WaiterId,
        /// The job.
        job: Job,
    },
    /// A caller has gone. Its job is stopped, since it may be handed in again elsewhere.
    Leave {
        /// Who waited.
        waiter: WaiterId,
    },
    /// All executors that are known now, replacing those before.
    Executors(Vec<Executor>),
    /// Executors of these data centres have renewed their registrations, whatever these say.
    ExecutorsHeard(Vec<DataCentreId>),
    /// All entries that the platform's store lists now, replacing those before.
    Members {
        /// The revision of the store that the list is of.
        revision: Revision,
        /// The entries.
        members: Vec<Home>,
    },
    /// The processor that entries may use, as far as they are listed now.
    Processors(Vec<(EntryId, Cores)>),
    /// The end of an [`crate::Action::Start`]. Follows each exactly once.
    Started {
        /// Where.
        executor: EndpointId,
        /// What.
        run: Run,
        /// The answer.
        reply: Started,
    },
    /// The end of an [`crate::Action::Look`]. Follows each exactly once.
    Looked {
        /// Where.
        executor: EndpointId,
        /// The number of the look.
        number: u64,
        /// The answer.
        reply: Answered<Lists>,
    },
    /// The end of an [`crate::Action::Stop`]. Follows each exactly once.
    Stopped {
        /// Where.
        executor: EndpointId,
        /// What.
        run: Run,
        /// The answer.
        reply: Answered<()>,
    },
    /// A peer sent a message. Messages of one connection arrive in the order they were sent.
    Message {
        /// The sender, authenticated.
        from: Home,
        /// What it says.
        message: Message,
    },
    /// A connection to a peer came up.
    PeerUp {
        /// The peer.
        peer: Home,
    },
    /// The connection to a peer is lost.
    PeerDown {
        /// The peer.
        peer: Home,
    },
    /// The operator's configuration has this version now.
    Configured {
        /// Its version.
        version: u64,
        /// The services that it sends jobs to.
        services: Vec<Service>,
    },
    /// The data centres under cordon, as the platform's store says.
    Cordoned(Cordon),
    /// Stop: keep no executor any more and finish what is open, then [`crate::Action::Exit`].
    Drain,
    /// Time has passed. Due every [`crate::entry::TICK`].
    Tick,
}
