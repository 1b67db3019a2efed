//! Client of the etcd v3 JSON gateway.
//!
//! Each call opens a connection of its own, so that a dead connection does not delay later calls.

mod call;
mod checked;
mod exchange;
mod message;
mod options;
mod stream;

pub use call::Calls;
pub use options::Options;

use self::{
    call::{Call, Counters},
    checked::Connector,
    exchange::Exchange,
    message::{
        DeleteRequest, DeleteResponse, GrantRequest, HeaderResponse, Int, LeaseRequest,
        LeaseResponse, PutRequest, RangeRequest, RangeResponse, StreamError, Streamed, TxnRequest,
        TxnResponse, WatchRequest,
    },
    options::duration,
    stream::Lines,
};
use crate::{
    Code, Error, Store,
    store::{
        Changes, Consistency, LeaseId, Listing, Outcome, Put, Range, Revision, Seconds, Txn, Watch,
    },
};
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use smol::{
    Timer,
    channel::{Sender, bounded},
    future::FutureExt,
};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use trillium_client::Conn;
use trillium_smol::ClientConfig;

/// Capacity of a watch's queue of unread messages. Reading from the store pauses when it is full.
const WATCH_QUEUE: usize = 64;

/// A client of the gateway. Clones share their counters.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    http: trillium_client::Client,
    /// Index of the address that responded last; it is tried first.
    preferred: AtomicUsize,
    counters: Counters,
}

impl Client {
    /// Returns a client. Opens no connection yet.
    pub fn new(options: Options) -> Client {
        let connector = Connector(ClientConfig::new().with_nodelay(true));
        let http = trillium_client::Client::new(connector);
        let inner = Inner {
            options,
            http,
            preferred: AtomicUsize::default(),
            counters: Counters::default(),
        };
        Client { inner: Arc::new(inner) }
    }

    /// Returns the number of calls so far. A watch counts each time it is opened.
    pub fn calls(&self) -> Calls {
        self.inner.counters.calls()
    }

    async fn call<T, U>(&self, call: Call, request: &T) -> Result<U, Error>
    where
        T: Serialize + Sync,
        U: DeserializeOwned,
    {
        let (exchange, conn) = self.inner.open(call, request).await?;
        let answer = exchange.read(conn, self.inner.options.answer_limit.0).await?;
        serde_json::from_slice(&answer).map_err(|_| Error::Malformed)
    }
}

impl Inner {
    /// Sends a request to the first reachable address and waits for the head of the response.
    async fn open<T: Serialize + Sync>(
        &self,
        call: Call,
        request: &T,
    ) -> Result<(Exchange, Conn), Error> {
        let body = Bytes::from(serde_json::to_vec(request).map_err(|_| Error::Malformed)?);
        let count = self.options.addresses.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut result = Err(Error::Unreachable);
        for index in (0..count).map(|step| (first + step) % count) {
            let limit = self.options.address_limit();
            let exchange = Exchange::new(self.options.addresses[index], limit);
            let opened = exchange.open(&self.http, call.path(), body.clone()).await;
            if exchange.was_sent() {
                self.counters.count(call);
            }
            match opened {
                Ok(conn) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok((exchange, conn));
                }
                Err(error @ Error::Refused { .. }) => return Err(error),
                Err(error) if exchange.was_sent() && !call.is_repeatable() => return Err(error),
                Err(error) => result = Err(error),
            }
        }
        result
    }

    /// Opens a watch and reads its first message, which confirms it.
    async fn open_watch(&self, range: &Range, from: Revision) -> Result<Lines, Error> {
        let (_, conn) = self.open(Call::Watch, &WatchRequest::new(range, from)).await?;
        let body = trillium_client::Body::from(conn).into_reader();
        let mut lines = Lines::new(body, self.options.answer_limit.0 as usize);
        let confirmed = async { lines.next().await };
        let late = async {
            Timer::after(self.options.address_limit()).await;
            Err(Error::Unknown)
        };
        match confirmed.or(late).await? {
            response if response.created => Ok(lines),
            _ => Err(Error::Malformed),
        }
    }

    /// Reads a watch until it ends. Opens it again when it has been idle for
    /// [`Options::watch_silence`].
    async fn follow(
        &self,
        mut lines: Lines,
        range: Range,
        mut next: Revision,
        sender: &Sender<Result<Changes, Error>>,
    ) -> Result<(), Error> {
        let idle_limit = duration(self.options.watch_silence);
        loop {
            let message = async { lines.next().await.map(Some) };
            let idle = async {
                Timer::after(idle_limit).await;
                Ok(None)
            };
            match message.or(idle).await? {
                None => lines = self.open_watch(&range, next).await?,
                Some(response) => {
                    let Some(changes) = stream::changes(response)? else { continue };
                    next = changes.revision.next();
                    if sender.send(Ok(changes)).await.is_err() {
                        return Ok(());
                    }
                }
            }
        }
    }
}

#[async_trait]
impl Store for Client {
    async fn range(&self, range: Range, consistency: Consistency) -> Result<Listing, Error> {
        let serializable = consistency == Consistency::Serializable;
        let request = RangeRequest::new(&range, serializable);
        self.call::<_, RangeResponse>(Call::Range, &request).await?.try_into()
    }

    async fn keys(&self, range: Range) -> Result<Listing, Error> {
        let request = RangeRequest::new(&range, false).without_values();
        self.call::<_, RangeResponse>(Call::Range, &request).await?.try_into()
    }

    async fn txn(&self, txn: Txn) -> Result<Outcome, Error> {
        let request = TxnRequest::from(txn);
        self.call::<_, TxnResponse>(Call::Txn, &request).await?.try_into()
    }

    async fn put(&self, put: Put) -> Result<Revision, Error> {
        let request = PutRequest::from(put);
        let response: HeaderResponse = self.call(Call::Put, &request).await?;
        Ok(Revision(response.header.revision.0))
    }

    async fn delete(&self, range: Range) -> Result<u64, Error> {
        let request = DeleteRequest::from(&range);
        let response: DeleteResponse = self.call(Call::Delete, &request).await?;
        Ok(response.deleted.0)
    }

    async fn grant(&self, id: LeaseId, ttl: Seconds) -> Result<(), Error> {
        let request = GrantRequest { ttl: Int(ttl.0.into()), id: Int(id.0) };
        self.call::<_, LeaseResponse>(Call::Grant, &request).await.map(drop)
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<Option<Seconds>, Error> {
        let request = LeaseRequest { id: Int(id.0) };
        match self.call::<_, Streamed<LeaseResponse>>(Call::KeepAlive, &request).await? {
            Streamed::Result(response) => match response.ttl.0 {
                0 => Ok(None),
                ttl => u32::try_from(ttl).map(|ttl| Some(Seconds(ttl))).or(Err(Error::Malformed)),
            },
            Streamed::Error(StreamError { grpc_code }) => match Code::from_grpc(grpc_code) {
                Some(Code::NotFound) => Ok(None),
                Some(code) => Err(Error::Refused { code }),
                None => Err(Error::Unknown),
            },
        }
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), Error> {
        let request = LeaseRequest { id: Int(id.0) };
        self.call::<_, HeaderResponse>(Call::Revoke, &request).await.map(drop)
    }

    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error> {
        let lines = self.inner.open_watch(&range, from).await?;
        let (sender, receiver) = bounded(WATCH_QUEUE);
        let inner = self.inner.clone();
        let reader = smol::spawn(async move {
            if let Err(error) = inner.follow(lines, range, from, &sender).await {
                // The receiver may have been dropped.
                let _ = sender.send(Err(error)).await;
            }
        });
        Ok(Watch::new(receiver, reader))
    }
}
