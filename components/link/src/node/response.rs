//! Detects that a peer acknowledges nothing, well before its connection is lost.

use quinn::Connection;
use std::time::{Duration, Instant};

/// Whether a peer responds to what is sent to it.
#[derive(Debug, Default)]
pub(super) struct Response {
    /// Set from a message to the peer until something is received from it.
    awaited: Option<Awaited>,
}

#[derive(Debug)]
struct Awaited {
    /// When the first message was sent since something was received.
    since: Instant,
    /// The number of datagrams that had been received half of the limit later, and when that was
    /// recorded.
    received: Option<(u64, Instant)>,
    reported: bool,
}

impl Response {
    /// A message is queued for the peer.
    pub(super) fn sent(&mut self) {
        self.awaited.get_or_insert_with(|| Awaited {
            since: Instant::now(),
            received: None,
            reported: false,
        });
    }

    /// A message of the peer has arrived.
    pub(super) fn received(&mut self) {
        self.awaited = None;
    }

    /// Whether the peer has become unresponsive: for `limit` after a message to it, no packet has
    /// arrived, not even an acknowledgement. Returns true once; has to be called several times
    /// within the limit.
    pub(super) fn takes_longer_than(&mut self, limit: Duration, connection: &Connection) -> bool {
        let Some(awaited) = &mut self.awaited else { return false };
        if awaited.reported || awaited.since.elapsed() < limit / 2 {
            return false;
        }
        let received = connection.stats().udp_rx.datagrams;
        match awaited.received {
            Some((before, at)) if before == received => {
                awaited.reported = at.elapsed() >= limit / 2
            }
            Some(_) => {
                self.awaited = None;
                return false;
            }
            None => awaited.received = Some((received, Instant::now())),
        }
        awaited.reported
    }
}
