//! A fake backend behind a running HTTP API, and a caller that writes raw bytes.
#![allow(dead_code, unreachable_pub, missing_docs)]

use async_trait::async_trait;
use compact_str::CompactString;
use dispatch::action::Status;
use parking_lot::Mutex;
use server::{
    Backend, Options, Server,
    backend::{Fetched, KeyedAnswer, Overview, Readiness},
};
use sha2::{Digest, Sha256};
use site::{
    Site,
    id::{FirmId, Home, SubmissionId, Token},
    submission::{Answer, Failure, Outcome, Output, Reason, Submission},
    unit::{Revision, Span},
};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
};

pub const KEY: &str = "the-key-of-kovacik";
pub const OTHER_KEY: &str = "the-key-of-intake";
pub const OPERATOR_KEY: &str = "the-key-of-an-operator";
pub const ID: &str = "0-0-0-0.6f2c7b0e-5a4d-4f55-9a3c-3e2f6f0a1b2c";

/// Call that the fake backend received.
#[derive(Debug)]
pub enum BackendEvent {
    Submitted { submission: Arc<Submission>, key: Option<CompactString>, first: bool },
    Begun(Arc<Submission>),
    Abandoned,
    Drained,
}

pub struct FakeBackend {
    pub site: Mutex<Arc<Site>>,
    pub revision: Mutex<u64>,
    /// Answer to return at once; `None` waits for [`TestServer::release`].
    pub answer: Mutex<Option<Answer>>,
    pub readiness: Mutex<Readiness>,
    pub status: Mutex<Option<Status>>,
    pub draining: AtomicBool,
    released: smol::channel::Receiver<Answer>,
    seen: Mutex<Sender<BackendEvent>>,
}

struct Waiting<'f>(&'f FakeBackend);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.see(BackendEvent::Abandoned);
    }
}

impl FakeBackend {
    fn see(&self, seen: BackendEvent) {
        self.seen.lock().send(seen).ok();
    }

    async fn answered(&self) -> Arc<Answer> {
        let answer = self.answer.lock().clone();
        match answer {
            Some(answer) => Arc::new(answer),
            None => {
                let waiting = Waiting(self);
                let Ok(answer) = self.released.recv().await else {
                    return std::future::pending().await;
                };
                std::mem::forget(waiting);
                Arc::new(answer)
            }
        }
    }
}

#[async_trait]
impl Backend for FakeBackend {
    fn token(&self) -> Token {
        Token { home: Home::default(), epoch: 7 }
    }

    fn site(&self) -> Arc<Site> {
        self.site.lock().clone()
    }

    fn revision(&self) -> Revision {
        Revision(*self.revision.lock())
    }

    async fn submit(&self, submission: Arc<Submission>) -> Arc<Answer> {
        self.see(BackendEvent::Submitted { submission, key: None, first: false });
        self.answered().await
    }

    async fn submit_keyed(
        &self,
        key: CompactString,
        first: bool,
        submission: Arc<Submission>,
    ) -> KeyedAnswer {
        self.see(BackendEvent::Submitted { submission, key: Some(key), first });
        KeyedAnswer { id: ID.parse().unwrap(), answer: self.answered().await }
    }

    fn submit_detached(&self, submission: Arc<Submission>) {
        self.see(BackendEvent::Begun(submission));
    }

    async fn fetch(&self, _: SubmissionId, firm: FirmId, _: Span) -> Fetched {
        if firm != FirmId::of("kovacik") {
            let reason = Reason::Unknown;
            return Fetched::Answer(Arc::new(failed(Outcome::MayHaveRun, reason, None)));
        }
        let answer = self.answer.lock().clone();
        answer.map_or(Fetched::Pending, |answer| Fetched::Answer(Arc::new(answer)))
    }

    async fn query(&self, _: SubmissionId, firm: FirmId) -> Option<Status> {
        (firm == FirmId::of("kovacik")).then(|| *self.status.lock()).flatten()
    }

    async fn cancel(&self, _: SubmissionId, _: FirmId) -> Arc<Answer> {
        self.answered().await
    }

    fn readiness(&self) -> Readiness {
        *self.readiness.lock()
    }

    fn metrics(&self) -> String {
        "starts_total 3\n".into()
    }

    fn overview(&self, what: Overview) -> serde_json::Value {
        serde_json::json!({ "what": what })
    }

    fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.see(BackendEvent::Drained);
    }
}

pub fn failed(outcome: Outcome, reason: Reason, retry_after: Option<Span>) -> Answer {
    Answer::Failed(Failure { outcome, reason, retry_after })
}

pub fn output(status: u16, content_type: &str, body: &'static [u8]) -> Output {
    Output { status, content_type: content_type.into(), body: body.into() }
}

pub fn digest(key: &str) -> String {
    Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn site() -> Site {
    let firm = |name: &str, key: &str| {
        serde_json::json!({
            "name": name, "key-digests": [digest(key)], "crews": [{ "name": "fitters" }],
        })
    };
    let firms = [("kovacik", KEY), ("intake", OTHER_KEY)]
        .into_iter()
        .map(|(name, key)| (FirmId::of(name), serde_json::from_value(firm(name, key)).unwrap()));
    let services = [
        serde_json::json!({ "name": "check", "repeatable": true, "body-limit": "1KiB" }),
        serde_json::json!({ "name": "tag", "deadline": "2s" }),
    ];
    let services = services.into_iter().map(|service| {
        let service: site::Service = serde_json::from_value(service).unwrap();
        (site::id::ServiceId::of(&service.name), service)
    });
    let contracts = [("kovacik", "check"), ("kovacik", "tag"), ("intake", "check")];
    let contracts = contracts.into_iter().map(|(firm, service)| site::Contract {
        firm: firm.into(),
        service: service.into(),
        quota: None,
    });
    let operator =
        site::Operator { name: "ops".into(), key_digests: vec![digest(OPERATOR_KEY).into()] };
    Site {
        firms: firms.collect(),
        services: services.collect(),
        contracts: contracts.collect(),
        operators: [(site::id::OperatorId::of("ops"), operator)].into(),
        ..Site::default()
    }
}

/// A running HTTP API with a fake backend.
pub struct TestServer {
    pub fake: Arc<FakeBackend>,
    pub seen: Receiver<BackendEvent>,
    pub server: Server,
    release: smol::channel::Sender<Answer>,
}

impl TestServer {
    pub fn new() -> TestServer {
        TestServer::with(Options::default())
    }

    pub fn with(options: Options) -> TestServer {
        let (sender, seen) = channel();
        let (release, released) = smol::channel::unbounded();
        let fake = Arc::new(FakeBackend {
            site: Mutex::new(Arc::new(site())),
            revision: Mutex::new(1),
            answer: Mutex::new(Some(Answer::Complete(vec![output(200, "text/plain", b"cut")]))),
            readiness: Mutex::new(Readiness::Ready),
            status: Mutex::new(None),
            draining: AtomicBool::new(false),
            released,
            seen: Mutex::new(sender),
        });
        let address = "127.0.0.1:0".parse().unwrap();
        let server = smol::block_on(Server::start(address, fake.clone(), options)).unwrap();
        TestServer { fake, seen, server, release }
    }

    pub fn answer(&self, answer: Answer) {
        *self.fake.answer.lock() = Some(answer);
    }

    pub fn hold(&self) {
        *self.fake.answer.lock() = None;
    }

    /// Answers one waiting caller.
    pub fn release(&self, answer: Answer) {
        self.release.try_send(answer).unwrap();
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address()).unwrap()
    }

    /// Sends `bytes`, closes the sending side if `end`, and reads one response.
    pub fn raw(&self, bytes: &[u8], end: bool) -> Response {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        if end {
            stream.shutdown(Shutdown::Write).unwrap();
        }
        read(&mut stream)
    }

    /// Sends a request with the firm's key and reads the response.
    pub fn send(&self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Response {
        self.send_as(KEY, line, headers, body)
    }

    pub fn send_as(
        &self,
        key: &str,
        line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Response {
        self.raw(&request(key, line, headers, body), false)
    }

    pub fn submission(&self) -> Arc<Submission> {
        match self.seen.recv().unwrap() {
            BackendEvent::Submitted { submission, .. } | BackendEvent::Begun(submission) => {
                submission
            }
            other => panic!("expected a submission, not {other:?}"),
        }
    }
}

pub fn request(key: &str, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{line} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n");
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        bytes += &format!("Content-Length: {}\r\n", body.len());
    }
    [bytes.as_bytes(), b"\r\n", body].concat()
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns status, reason and outcome of a problem.
    pub fn problem(&self) -> (u16, String, String) {
        assert_eq!(self.header("content-type"), Some("application/problem+json"));
        let json = self.json();
        let text = |name: &str| json[name].as_str().unwrap().to_owned();
        assert_eq!(json["status"], self.status);
        assert_eq!(json["type"], format!("urn:primrosestep:problem:{}", text("reason")));
        (self.status, text("reason"), text("outcome"))
    }
}

pub fn read(stream: &mut TcpStream) -> Response {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "closed without an answer");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let status = head[9..12].parse().unwrap();
    let mut response = Response { status, head, body: Vec::new() };
    if status != 100 {
        let length = response.header("content-length").unwrap().parse().unwrap();
        response.body = vec![0; length];
        stream.read_exact(&mut response.body).unwrap();
    }
    response
}
