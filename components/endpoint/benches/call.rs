//! Latency of one call over loopback to the executor's stand-in with a task of zero length: with
//! this transport, and with `trillium-client` and its own pool. Calls run one after another on one
//! connection. The two alternate in rounds, so that other load on the host affects both.

use endpoint::{
    Call, Reply, Transport,
    http::{Client, Options},
};
use site::{
    id::{AttemptId, Incarnation, SubmissionId, TaskId},
    service::Place,
    unit::{Memory, Resources, Span},
};
use smol::block_on;
use standin::{Executor, Ledger, executor};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use trillium_client::{Client as Library, KnownHeaderName};
use trillium_smol::ClientConfig;

/// Number of rounds of each client.
const ROUNDS: usize = 20;
/// Number of calls in a round.
const CALLS: usize = 250;
/// Number of calls of each client before the first round.
const WARM_UP: usize = 50;
/// A task of zero length.
const BODY: &str = r#"{"ms": 0}"#;

fn call(address: SocketAddr) -> Call {
    Call {
        attempt: AttemptId(1),
        task: TaskId { submission: SubmissionId::default(), index: 0 },
        address,
        place: Place::Executors,
        service: "check".into(),
        content_type: "application/json".into(),
        body: BODY.into(),
        needs: Resources::SLOT,
        time_limit: Span::from_secs(10),
        body_limit: Memory(1 << 20),
        connections: 1,
    }
}

async fn by_transport(client: &Client, address: SocketAddr) -> Duration {
    let start = Instant::now();
    let report = client.call(call(address)).await;
    assert!(matches!(report.reply, Reply::Done(_)), "{report:?}");
    start.elapsed()
}

async fn by_library(library: &Library, address: SocketAddr) -> Duration {
    let start = Instant::now();
    let mut conn = library
        .post(format!("http://{address}/check"))
        .with_request_header(KnownHeaderName::ContentType, "application/json")
        .with_request_header(KnownHeaderName::Connection, "keep-alive")
        .with_body(BODY)
        .await
        .expect("the stand-in answers");
    conn.response_body().read_bytes().await.expect("the answer is whole");
    conn.response_headers_mut().insert(KnownHeaderName::Connection, "keep-alive");
    drop(conn);
    start.elapsed()
}

fn print(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_micros();
    println!(
        r#"{{"name":"{name}","calls":{},"p50_us":{},"p99_us":{}}}"#,
        times.len(),
        at(50),
        at(99),
    );
}

fn main() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let executor = Executor::spawn(address, executor::Options::default(), Ledger::default())
        .expect("a port is free");
    let address = executor.address();
    let client = Client::new(Incarnation(1), Options::default());
    let library = Library::new(ClientConfig::new().with_nodelay(true)).with_default_pool();
    block_on(async {
        for _ in 0..WARM_UP {
            by_transport(&client, address).await;
            by_library(&library, address).await;
        }
        let (mut ours, mut theirs) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            for _ in 0..CALLS {
                ours.push(by_transport(&client, address).await);
            }
            for _ in 0..CALLS {
                theirs.push(by_library(&library, address).await);
            }
        }
        print("transport", ours);
        print("library pool", theirs);
        println!(r#"{{"connections":{}}}"#, executor.connections());
    });
}
