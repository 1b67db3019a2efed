//! Detects that a peer acknowledges nothing, well before its connection is lost.

use quinn::Connection;
use std::time::{Duration, Instant};

/// Age of an unanswered message from which the packets of its connection are counted. Nearly all
/// messages are answered earlier, and cost nothing here.
const COUNT_AFTER: Duration = Duration::from_millis(50);

/// If nothing is sent for this long, everything was acknowledged: packets that were not are sent
/// again after 30, 90 and 210 ms in a network whose round trips take a few milliseconds.
const PROBE_TIME: Duration = Duration::from_millis(250);

/// Whether a peer responds to what is sent to it.
#[derive(Debug, Default)]
pub(super) struct Response {
    /// Set from a message to the peer until a message of the peer arrives or all was acknowledged.
    awaited: Option<Awaited>,
}

#[derive(Debug)]
struct Awaited {
    /// When the message was sent.
    since: Instant,
    counts: Option<Counts>,
    reported: bool,
}

/// Datagrams of a connection at one moment.
#[derive(Debug)]
struct Counts {
    at: Instant,
    received: u64,
    sent: u64,
    /// When it was first seen that more had been sent.
    sent_more: Option<Instant>,
}

impl Response {
    /// A message is queued for the peer.
    pub(super) fn sent(&mut self) {
        self.awaited.get_or_insert_with(|| Awaited {
            since: Instant::now(),
            counts: None,
            reported: false,
        });
    }

    /// A message of the peer has arrived.
    pub(super) fn received(&mut self) {
        self.awaited = None;
    }

    /// Whether the peer has become unresponsive: no packet has arrived for `limit` after one was
    /// sent, not even an acknowledgement. Returns true once; has to be called several times within
    /// the limit.
    pub(super) fn takes_longer_than(&mut self, limit: Duration, connection: &Connection) -> bool {
        let Some(awaited) = &mut self.awaited else { return false };
        if awaited.reported || awaited.since.elapsed() < COUNT_AFTER {
            return false;
        }
        let stats = connection.stats();
        let (received, sent) = (stats.udp_rx.datagrams, stats.udp_tx.datagrams);
        let Some(counts) = &mut awaited.counts else {
            awaited.counts = Some(Counts { at: Instant::now(), received, sent, sent_more: None });
            return false;
        };
        let is_acknowledged =
            received != counts.received || sent == counts.sent && counts.at.elapsed() > PROBE_TIME;
        if is_acknowledged {
            self.awaited = None;
            return false;
        }
        if sent != counts.sent {
            let since = counts.sent_more.get_or_insert_with(Instant::now);
            awaited.reported = since.elapsed() >= limit;
        }
        awaited.reported
    }
}
