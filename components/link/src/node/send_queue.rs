//! Send queue of one connection.

use parking_lot::Mutex;
use serde::Serialize;
use std::mem;
use wire::{Limit, frame};

/// Capacity to which a buffer is shrunk after its write, in bytes, so that a burst of messages does
/// not keep its memory.
const KEPT_CAPACITY: usize = 64 << 10;

/// Queue of encoded frames for one peer. Frames that are queued during a write are sent together in
/// the next one.
#[derive(Debug)]
pub(super) struct SendQueue {
    limit: Limit,
    /// Maximum number of bytes in `queued` and the batch being written.
    capacity: usize,
    state: Mutex<State>,
    /// Contains a token while the writer has something to do.
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

#[derive(Debug, Default)]
struct State {
    queued: Vec<u8>,
    /// Number of bytes in the batch that the writer is writing.
    writing: usize,
    /// Empty buffer for reuse.
    spare: Vec<u8>,
    closed: bool,
}

/// Why a frame was not queued.
#[derive(Debug)]
pub(super) enum PushError {
    /// The queue is closed.
    Closed,
    /// The queue exceeds its capacity.
    Overflow,
    /// The message does not fit into a frame.
    Frame(wire::Error),
}

/// Next step of the writer.
#[derive(Debug)]
pub(super) enum Batch {
    /// Write these bytes.
    Write(Vec<u8>),
    /// Everything is written, and the queue is closed.
    End,
}

impl SendQueue {
    pub(super) fn new(limit: Limit, capacity: usize) -> Self {
        Self { limit, capacity, state: Mutex::default(), wake: async_channel::bounded(1) }
    }

    /// Adds a message. Only the first message that exceeds the capacity gets
    /// [`PushError::Overflow`]; it closes the queue.
    pub(super) fn push(&self, message: &impl Serialize) -> Result<(), PushError> {
        let mut state = self.state.lock();
        if state.closed {
            return Err(PushError::Closed);
        }
        let before = state.queued.len();
        frame::append(message, self.limit, &mut state.queued).map_err(PushError::Frame)?;
        let waiting = before + state.writing;
        if waiting > 0 && state.queued.len() + state.writing > self.capacity {
            state.closed = true;
            return Err(PushError::Overflow);
        }
        drop(state);
        self.notify();
        Ok(())
    }

    /// Closes the queue: no more frames are accepted, and those queued are still written.
    pub(super) fn close(&self) {
        self.state.lock().closed = true;
        self.notify();
    }

    /// Takes the queued frames; waits if there are none and the queue is open. `written` is the
    /// buffer of the last batch, for reuse.
    pub(super) async fn next(&self, written: Vec<u8>) -> Batch {
        self.state.lock().recycle(written);
        loop {
            if let Some(batch) = self.state.lock().batch() {
                return batch;
            }
            // The sender has the same lifetime as the receiver, so there is no error.
            let _ = self.wake.1.recv().await;
        }
    }

    fn notify(&self) {
        // A full channel already contains a token.
        let _ = self.wake.0.try_send(());
    }
}

impl State {
    fn recycle(&mut self, mut written: Vec<u8>) {
        written.clear();
        written.shrink_to(KEPT_CAPACITY);
        self.spare = written;
        self.writing = 0;
    }

    fn batch(&mut self) -> Option<Batch> {
        if self.queued.is_empty() {
            return self.closed.then_some(Batch::End);
        }
        let batch = mem::replace(&mut self.queued, mem::take(&mut self.spare));
        self.writing = batch.len();
        Some(Batch::Write(batch))
    }
}
