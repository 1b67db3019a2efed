//! Open watches: collects the events of each and streams them as lines of JSON.

use super::{
    message::{Streamed, WatchCreate, WatchResponse},
    store::{KeyRange, Store},
};
use smol::{
    channel::{Receiver, Sender, unbounded},
    io::AsyncRead,
    stream::Stream,
};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Length that the first line is padded to, since the HTTP library buffers the response head and the
/// start of a streamed body until its buffer is full.
const FIRST_LINE_BYTES: usize = 4096;

#[derive(Debug)]
struct Watch {
    range: KeyRange,
    /// First revision that hasn't been sent.
    next_revision: i64,
    sender: Sender<Vec<u8>>,
}

/// All open watches.
#[derive(Debug, Default)]
pub(super) struct Watches {
    open: Vec<Watch>,
}

impl Watches {
    /// Opens a watch and returns its response body. Cancels it if its first revision is compacted.
    pub(super) fn open(&mut self, store: &Store, request: WatchCreate) -> WatchBody {
        let (sender, receiver) = unbounded();
        let next_revision = match request.start_revision.0 {
            0 => store.revision + 1,
            revision => revision,
        };
        let compacted = next_revision <= store.compacted;
        let mut first = line(store, |response| {
            response.created = true;
        });
        first.truncate(first.len() - 1);
        first.resize(FIRST_LINE_BYTES, b' ');
        first.push(b'\n');
        let _ = sender.try_send(first);
        if compacted {
            let _ = sender.try_send(line(store, |response| {
                response.canceled = true;
                response.compact_revision.0 = store.compacted;
            }));
        } else {
            let range = KeyRange { start: request.key, end: request.range_end };
            self.open.push(Watch { range, next_revision, sender });
            self.publish(store);
        }
        WatchBody { receiver: Box::pin(receiver), pending: Vec::new(), sent: 0 }
    }

    /// Sends new events to the watches. Those on lagging keys get none.
    pub(super) fn publish(&mut self, store: &Store) {
        self.open.retain(|watch| !watch.sender.is_closed());
        for watch in self.open.iter_mut().filter(|watch| !store.is_lagging(&watch.range)) {
            let events = store.events(&watch.range, watch.next_revision);
            watch.next_revision = watch.next_revision.max(store.revision + 1);
            if !events.is_empty() {
                let _ = watch.sender.try_send(line(store, |response| response.events = events));
            }
        }
    }

    /// Closes all watches.
    pub(super) fn cut(&mut self) {
        self.open.clear();
    }
}

fn line(store: &Store, set_fields: impl FnOnce(&mut WatchResponse)) -> Vec<u8> {
    let mut response = WatchResponse {
        header: store.header(),
        created: false,
        canceled: false,
        compact_revision: Default::default(),
        events: Vec::new(),
    };
    set_fields(&mut response);
    let mut line = serde_json::to_vec(&Streamed { result: response }).unwrap_or_default();
    line.push(b'\n');
    line
}

/// The streamed response body of a watch.
pub(super) struct WatchBody {
    receiver: Pin<Box<Receiver<Vec<u8>>>>,
    pending: Vec<u8>,
    sent: usize,
}

impl AsyncRead for WatchBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.sent == self.pending.len() {
            match ready!(self.receiver.as_mut().poll_next(cx)) {
                None => return Poll::Ready(Ok(0)),
                Some(line) => {
                    self.pending = line;
                    self.sent = 0;
                }
            }
        }
        let rest = &self.pending[self.sent..];
        let count = rest.len().min(buf.len());
        buf[..count].copy_from_slice(&rest[..count]);
        self.sent += count;
        Poll::Ready(Ok(count))
    }
}

/// A response body that fails at once, so that the connection is closed without a response.
pub(super) struct AbortedBody;

impl AsyncRead for AbortedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}
