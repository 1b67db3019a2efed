//! Encoded frames that wait for one peer.

use parking_lot::Mutex;
use serde::Serialize;
use std::mem;
use wire::{Limit, frame};

/// A buffer that grew larger than this is given back to the allocator after its write.
const KEPT_CAPACITY: usize = 64 << 10;

/// Encoded frames that wait for one peer. Frames that queue up during a write go out together in
/// the next one.
#[derive(Debug)]
pub(super) struct Outbox {
    limit: Limit,
    /// Most bytes in `queued` and the batch being written.
    capacity: usize,
    state: Mutex<State>,
    /// Holds a token while the writer has something to look at.
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

#[derive(Debug, Default)]
struct State {
    queued: Vec<u8>,
    /// Bytes of the batch that the writer has taken and not written.
    writing: usize,
    /// An empty buffer to use again.
    spare: Vec<u8>,
    closed: bool,
}

/// Why an outbox takes no frame.
#[derive(Debug)]
pub(super) enum Full {
    /// It was closed.
    Closed,
    /// It holds too much.
    Overflow,
    /// The message fits in no frame.
    Frame(wire::Error),
}

/// What the writer is to do.
#[derive(Debug)]
pub(super) enum Batch {
    /// Write these bytes.
    Write(Vec<u8>),
    /// Everything is written and nothing more will come.
    End,
}

impl Outbox {
    pub(super) fn new(limit: Limit, capacity: usize) -> Self {
        Self { limit, capacity, state: Mutex::default(), wake: async_channel::bounded(1) }
    }

    /// Adds a message. Only the first to find the queue too long gets [`Full::Overflow`].
    pub(super) fn push(&self, message: &impl Serialize) -> Result<(), Full> {
        let mut state = self.state.lock();
        if state.closed {
            return Err(Full::Closed);
        }
        let before = state.queued.len();
        frame::append(message, self.limit, &mut state.queued).map_err(Full::Frame)?;
        let waiting = before + state.writing;
        if waiting > 0 && state.queued.len() + state.writing > self.capacity {
            state.closed = true;
            return Err(Full::Overflow);
        }
        drop(state);
        self.notify();
        Ok(())
    }

    /// Takes no more frames; those queued are still written.
    pub(super) fn close(&self) {
        self.state.lock().closed = true;
        self.notify();
    }

    /// Takes what is queued; waits for the first frame or the end. `written` is the former batch.
    pub(super) async fn next(&self, written: Vec<u8>) -> Batch {
        self.state.lock().recycle(written);
        loop {
            if let Some(batch) = self.state.lock().batch() {
                return batch;
            }
            // The sender lives as long as this, so there is no error.
            let _ = self.wake.1.recv().await;
        }
    }

    fn notify(&self) {
        // A full channel holds a token already.
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
