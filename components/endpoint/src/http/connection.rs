//! One TCP connection to an endpoint, with at most one request at a time.

use crate::{
    classify::{self, Failure},
    http::{
        Meter, Options, Request, Response,
        host::Permit,
        stream::{Connector, Stream, StreamSlot},
    },
    reply::{Loss, Unsent},
};
use bytes::Bytes;
use smol::{future::FutureExt, io::AsyncReadExt, net::TcpStream};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io::{self, ErrorKind},
    mem::MaybeUninit,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use trillium_client::{Client, Conn, KnownHeaderName, Status};
use trillium_http::{Upgrade, transport::BoxedTransport};

/// Size of a read of the response body, in bytes.
const READ_SIZE: usize = 16 << 10;
/// Number of unanswered TCP keep-alive probes after which the connection is closed.
const KEEP_ALIVE_PROBES: u32 = 3;
/// Interval between TCP keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// An open connection. Between requests no data is in flight in either direction.
#[derive(Debug)]
pub(crate) struct Connection {
    tcp: TcpStream,
    client: Client,
    stream_slot: Arc<StreamSlot>,
    /// Time when the connection was opened.
    pub(crate) opened: Instant,
    /// Time when the last request ended; equal to `opened` before the first one.
    pub(crate) idle_since: Instant,
    /// Permit from the pool; `None` for a control connection.
    _permit: Option<Permit>,
}

/// Result of a request on a connection.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) response: Response,
    /// Whether the connection can be used for another request.
    pub(crate) reusable: bool,
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        permit: Option<Permit>,
        options: &Options,
    ) -> Result<Connection, Unsent> {
        let limit = Duration::from_micros(options.connect_timeout.0);
        let timeout = async {
            timer::after(limit).await;
            Err(ErrorKind::TimedOut.into())
        };
        let tcp = TcpStream::connect(address)
            .or(timeout)
            .await
            .and_then(|tcp| configure(&tcp, options).map(|()| tcp))
            .map_err(|error| classify::connect(&error))?;
        let connector = Connector::default();
        let stream_slot = Arc::clone(&connector.0);
        let client = Client::new(connector)
            .with_default_header(KnownHeaderName::Connection, "keep-alive")
            .without_default_header(KnownHeaderName::UserAgent)
            .without_default_header(KnownHeaderName::Accept);
        let now = Instant::now();
        Ok(Connection { tcp, client, stream_slot, opened: now, idle_since: now, _permit: permit })
    }

    /// Whether the peer has closed the connection or sent unsolicited data.
    pub(crate) fn is_stale(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // Peeks directly: a read through the runtime would also register the socket for polling.
        let peeked = SockRef::from(&self.tcp).peek(&mut byte);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn exchange(
        &mut self,
        request: &Request,
        meter: &Arc<Meter>,
    ) -> Result<Exchange, Failure> {
        let stream = Stream::new(self.tcp.clone(), request.body.clone(), Arc::clone(meter));
        self.stream_slot.put(stream);
        let mut conn = self.conn(request);
        (&mut conn).await.map_err(|error| classify::head(&error, meter))?;
        let body = read_body(&mut conn, request.body_limit.0).await?;
        let status = conn.status().map_or(0, |status| status as u16);
        let response = Response::new(status, conn.response_headers(), body);
        let closing =
            conn.response_headers().eq_ignore_ascii_case(KnownHeaderName::Connection, "close");
        let rest: Upgrade<BoxedTransport> = conn.into();
        let clean = rest.buffer.is_none_or(|bytes| bytes.is_empty());
        let reusable = clean && !closing && meter.persistent() && meter.complete();
        self.idle_since = Instant::now();
        Ok(Exchange { response, reusable })
    }

    fn conn(&self, request: &Request) -> Conn {
        let mut conn = self.client.build_conn(request.method, request.url.clone());
        let headers = conn.request_headers_mut();
        for (name, value) in &request.headers {
            headers.insert(*name, value.clone());
        }
        if !request.content_type.is_empty() {
            headers.insert(KnownHeaderName::ContentType, request.content_type.to_string());
        }
        headers.insert(KnownHeaderName::ContentLength, request.body.len().to_string());
        conn
    }
}

/// Sets the TCP options with which the operating system detects a dead peer.
fn configure(tcp: &TcpStream, options: &Options) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let keep_alive = TcpKeepalive::new()
        .with_time(Duration::from_micros(options.keep_alive.0))
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    let socket = SockRef::from(tcp);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_micros(options.acknowledge.0)))
}

async fn read_body(conn: &mut Conn, limit: u64) -> Result<Bytes, Failure> {
    if !has_marked_end(conn) {
        return Err(Failure::Lost(Loss::Malformed));
    }
    // The library's limit is exclusive.
    let mut reader = conn.response_body().with_max_len(limit.saturating_add(1));
    let mut body = Vec::new();
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let count = reader.read(&mut buffer).await.map_err(|error| classify::body(&error))?;
        if count == 0 {
            break;
        }
        if (body.len() + count) as u64 > limit {
            return Err(Failure::Lost(Loss::TooLarge));
        }
        body.extend_from_slice(&buffer[..count]);
    }
    Ok(body.into())
}

/// Whether the end of the body can be distinguished from a truncation.
fn has_marked_end(conn: &Conn) -> bool {
    let headers = conn.response_headers();
    let length = headers
        .get_str(KnownHeaderName::ContentLength)
        .is_some_and(|length| length.parse::<u64>().is_ok());
    let bodiless = matches!(conn.status(), Some(Status::NoContent | Status::NotModified));
    length || bodiless || headers.eq_ignore_ascii_case(KnownHeaderName::TransferEncoding, "chunked")
}
