//! The roles of the child processes.

use crate::{Arguments, world::ephemeral_address};
use clap::ValueEnum;
use endpoint::{Call, Reply, Transport, http};
use entry::{Setup, spawn};
use link::tls::{Files, Identity};
use settings::daemon::Daemon;
use site::{
    id::{AttemptId, Incarnation, TaskId},
    service::Place,
    unit::{Memory, Resources, Span},
};
use standin::{Executor, Ledger, executor};
use std::{
    io::{self, Read},
    net::SocketAddr,
    num::NonZeroUsize,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use telemetry::{Format, Level};
use trillium::{Conn, KnownHeaderName};
use trillium_smol::ClientConfig;

/// Worker threads of each process.
const THREADS: usize = 4;

/// Time limit of a forwarded call.
const CALL_LIMIT: Span = Span::from_secs(30);

/// Maximum size of a forwarded body.
const BODY_LIMIT: Memory = Memory(1 << 20);

/// Maximum number of connections of a hop.
const MAX_CONNECTIONS: u32 = 64;

/// The role of a child process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Role {
    /// An entry.
    Entry,
    /// Executors that answer at once.
    Executors,
    /// Minimal proxies to one executor: the first forwards by this system's transport, the second by
    /// the HTTP library's own client.
    Hop,
}

/// Runs a role until the standard input is closed.
pub(crate) fn run(role: Role, arguments: &Arguments) {
    spawn::set_threads(NonZeroUsize::new(THREADS).expect("not zero"));
    match role {
        Role::Entry => entry(arguments.settings.as_deref().expect("an entry has settings")),
        Role::Executors => executors(arguments.executors),
        Role::Hop => hop(arguments.target.expect("a hop has a target")),
    }
}

/// Prints the addresses and waits until the standard input is closed.
fn serve(addresses: &[SocketAddr]) {
    println!("{}", serde_json::to_string(addresses).expect("addresses are JSON"));
    // An error ends the wait as well.
    let _ = io::stdin().read(&mut [0]);
}

/// Runs an entry as the daemon does.
fn entry(settings: &Path) {
    let daemon = Daemon::load(settings).expect("the settings are valid");
    let files = Files {
        authority: daemon.tls.authority.clone(),
        certificate: daemon.tls.certificate.clone(),
        key: daemon.tls.key.clone(),
    };
    let identity = Identity::load(&files).expect("the keys are valid");
    let (log, _guard) = telemetry::start(io::stderr(), Level::Info).expect("a thread starts");
    log.install(Format::Json).expect("there is no other log");
    let certificate = settings::digest(&[]);
    let files = settings::Files::new();
    let setup = Setup { daemon, identity, certificate, files, log };
    let process = smol::block_on(entry::Process::start(setup)).expect("the entry starts");
    serve(&[process.http()]);
    std::process::exit(0);
}

fn executors(count: usize) {
    let start = |index| {
        let options = executor::Options {
            name: format!("executor-{index}"),
            run_time: Duration::ZERO,
            ..executor::Options::default()
        };
        Executor::spawn(ephemeral_address(), options, Ledger::default()).expect("a port is free")
    };
    let executors: Vec<_> = (0..count).map(start).collect();
    serve(&executors.iter().map(|executor| executor.address()).collect::<Vec<_>>());
}

fn hop(target: SocketAddr) {
    let transport = Arc::new(http::Client::new(Incarnation(1), http::Options::default()));
    let attempts = Arc::new(AtomicU64::new(1));
    let own = listen(move |conn| {
        let attempt = AttemptId(attempts.fetch_add(1, Ordering::Relaxed));
        forward(transport.clone(), attempt, target, conn)
    });
    let config = ClientConfig::new().with_nodelay(true);
    let client = trillium_client::Client::new(config).with_default_pool();
    let plain = listen(move |conn| forward_with_http_client(client.clone(), target, conn));
    serve(&[own, plain]);
}

fn listen<F>(handler: impl Fn(Conn) -> F + Send + Sync + 'static) -> SocketAddr
where
    F: Future<Output = Conn> + Send + 'static,
{
    let socket = std::net::TcpListener::bind(ephemeral_address()).expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    let socket: smol::net::TcpListener = smol::Async::new(socket).expect("it is a socket").into();
    // Runs until the process exits.
    let _ = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_prebound_server(socket)
        .spawn(handler);
    address
}

async fn forward(
    transport: Arc<http::Client>,
    attempt: AttemptId,
    address: SocketAddr,
    mut conn: Conn,
) -> Conn {
    let body = conn.request_body_string().await.expect("the caller sends text");
    let call = Call {
        attempt,
        task: TaskId::default(),
        address,
        place: Place::Executors,
        service: "templating".into(),
        content_type: "application/json".into(),
        body: body.into(),
        needs: Resources::default(),
        time_limit: CALL_LIMIT,
        body_limit: BODY_LIMIT,
        connections: MAX_CONNECTIONS,
    };
    let reply = transport.call(call).await.reply;
    let Reply::Done(output) = reply else { panic!("the executor answers") };
    conn.with_response_header(KnownHeaderName::ContentType, output.content_type.to_string())
        .ok(output.body.to_vec())
}

async fn forward_with_http_client(
    client: trillium_client::Client,
    address: SocketAddr,
    mut conn: Conn,
) -> Conn {
    let body = conn.request_body_string().await.expect("the caller sends text");
    let request = client.post(format!("http://{address}/templating"));
    let mut answer = request.with_body(body).await.expect("the executor answers");
    let body = answer.response_body().read_bytes().await.expect("the response is complete");
    conn.with_response_header(KnownHeaderName::ContentType, "application/json").ok(body)
}
