//! Table of the callers that wait for an answer.

use dispatch::action::Status;
use parking_lot::Mutex;
use site::{
    id::{SubmissionId, WaiterId},
    submission::Answer,
};
use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Number of shards of the map; a power of two.
const SHARDS: usize = 16;

/// Result that is delivered to a waiter.
#[derive(Clone, Debug)]
pub enum Wake {
    /// The final answer to a submission.
    Answer {
        /// The answered submission.
        id: SubmissionId,
        /// The complete answer or the failure.
        answer: Arc<Answer>,
    },
    /// Progress of the submission; `None` if it is unknown here or belongs to another firm.
    Status(Option<Status>),
}

type Shard = Mutex<HashMap<WaiterId, async_channel::Sender<Wake>>>;

/// Waiters by identifier, in a sharded map.
#[derive(Debug)]
pub struct Waiters {
    /// The low bits of a waiter's identifier select its shard.
    shards: Vec<Shard>,
    next: AtomicU64,
}

impl Default for Waiters {
    fn default() -> Waiters {
        let shards = (0..SHARDS).map(|_| Shard::default()).collect();
        Waiters { shards, next: AtomicU64::new(1) }
    }
}

impl Waiters {
    /// Allocates an identifier without registering a waiter.
    pub fn allocate_id(&self) -> WaiterId {
        WaiterId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// Registers a waiter. Returns its identifier and the channel that delivers its result.
    pub fn register(&self) -> (WaiterId, async_channel::Receiver<Wake>) {
        let waiter = self.allocate_id();
        let (wake, woken) = async_channel::bounded(1);
        self.shard(waiter).lock().insert(waiter, wake);
        (waiter, woken)
    }

    /// Delivers a result to a waiter and removes it. Does nothing if the waiter is gone.
    pub fn wake(&self, waiter: WaiterId, with: Wake) {
        let sender = self.shard(waiter).lock().remove(&waiter);
        if let Some(sender) = sender {
            // Fails only if the receiver was dropped.
            let _ = sender.try_send(with);
        }
    }

    /// Removes a waiter. Returns whether it was still waiting.
    pub fn remove(&self, waiter: WaiterId) -> bool {
        self.shard(waiter).lock().remove(&waiter).is_some()
    }

    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Returns whether there are no waiters.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, waiter: WaiterId) -> &Shard {
        &self.shards[waiter.0 as usize % SHARDS]
    }
}
