//! Progress of one request.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Progress of one request. Shared between the request's stream, which writes it, and the call,
/// which reads it.
#[derive(Debug)]
pub(crate) struct Meter {
    /// Time when the call began.
    started: Instant,
    /// Number of bytes of the request that the operating system has accepted. If it is above zero,
    /// the endpoint may have received the request.
    written: AtomicU64,
    /// Microseconds from `started` to the last byte in either direction.
    latest: AtomicU64,
    /// Whether a connection was obtained.
    connected: AtomicBool,
    /// Whether the operating system has accepted the whole request.
    complete: AtomicBool,
    /// Whether the response has version HTTP/1.1, whose connections are persistent by default.
    persistent: AtomicBool,
}

impl Meter {
    pub(crate) fn new() -> Self {
        Meter {
            started: Instant::now(),
            written: AtomicU64::new(0),
            latest: AtomicU64::new(0),
            connected: AtomicBool::new(false),
            complete: AtomicBool::new(false),
            persistent: AtomicBool::new(false),
        }
    }

    /// Records that `count` bytes of the request were accepted.
    pub(crate) fn add_written(&self, count: usize) {
        self.written.fetch_add(count as u64, Ordering::Release);
        self.touch();
    }

    /// Records a byte in either direction.
    pub(crate) fn touch(&self) {
        let elapsed = self.started.elapsed().as_micros() as u64;
        self.latest.store(elapsed, Ordering::Release);
    }

    pub(crate) fn set_connected(&self) {
        self.connected.store(true, Ordering::Release);
        self.touch();
    }

    pub(crate) fn set_complete(&self) {
        self.complete.store(true, Ordering::Release);
    }

    pub(crate) fn set_persistent(&self) {
        self.persistent.store(true, Ordering::Release);
    }

    /// Whether any byte of the request may have been sent.
    pub(crate) fn sent(&self) -> bool {
        self.written.load(Ordering::Acquire) > 0
    }

    /// Whether a connection was obtained.
    pub(crate) fn connected(&self) -> bool {
        self.connected.load(Ordering::Acquire)
    }

    /// Whether the whole request was written.
    pub(crate) fn complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }

    /// Whether the response has version HTTP/1.1.
    pub(crate) fn persistent(&self) -> bool {
        self.persistent.load(Ordering::Acquire)
    }

    /// Returns the time since the last byte in either direction.
    pub(crate) fn silence(&self) -> Duration {
        let latest = Duration::from_micros(self.latest.load(Ordering::Acquire));
        self.started.elapsed().saturating_sub(latest)
    }

    /// Returns the time since the call began.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}
