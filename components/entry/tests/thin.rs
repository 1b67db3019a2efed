//! One request passes from a caller through one entry to an executor and back, over real sockets.

use dispatch::{Message, entry::Options};
use endpoint::http;
use entry::{Backend, Dependencies, Engine, Peers, metrics::Metrics};
use site::{
    Site,
    id::{DataCentreId, EntryId, Home, Incarnation, RackId},
    unit::{Revision, Span},
};
use standin::{Executor, Ledger, executor, ledger::Step};
use std::{io, net::SocketAddr, sync::Arc};
use telemetry::Level;

/// The key whose digest the settings hold.
const KEY: &str = "quarry";

struct NoPeers;

impl Peers for NoPeers {
    fn send(&self, _: Home, _: Message) {}

    fn connected(&self) -> Vec<Home> {
        Vec::new()
    }

    fn cancel_connect(&self, _: Home) -> bool {
        true
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn site(executor: SocketAddr) -> Site {
    let text = format!(
        r#"{{
            "data-centres": {{ "cutting": {{ "region": "zilina" }} }},
            "services": {{ "templating": {{ "repeatable": true }} }},
            "executors": {{ "cut-1": {{
                "data-centre": "cutting", "address": "{executor}", "service": "templating"
            }} }},
            "firms": {{ "masons": {{ "key-digests": {{ "one": "{}" }} }} }},
            "contracts": {{ "c": {{ "firm": "masons", "service": "templating" }} }}
        }}"#,
        settings::digest(KEY.as_bytes())
    );
    let files = [("00-all.json".into(), text.into())].into();
    settings::parse(&files).unwrap().site
}

fn engine(site: Site) -> Arc<Engine> {
    let home = Home {
        data_centre: DataCentreId::of("cutting"),
        entry: EntryId::of("cut-entry-1"),
        incarnation: Incarnation(1),
    };
    let options = Options {
        home,
        rack: RackId::of("r1"),
        seed: 1,
        site: Arc::new(site),
        revision: Revision(1),
        membership: Default::default(),
        answer_bytes: 1 << 20,
        slots_per_lead: 1_000,
    };
    let (log, guard) = telemetry::start(io::sink(), Level::Info).unwrap();
    std::mem::forget(guard);
    let dependencies = Dependencies {
        transport: Arc::new(http::Client::new(home.incarnation, http::Options::default())),
        peers: Arc::new(NoPeers),
        log,
    };
    let engine = Arc::new(Engine::new(options, dependencies, Metrics::new().unwrap()));
    entry::spawn::spawn(engine.clone().run_timer());
    engine
}

#[test]
fn one_entry_passes_a_request_through() {
    let ledger = Ledger::default();
    let executor = Executor::spawn(loopback(), executor::Options::default(), ledger).unwrap();
    let engine = engine(site(executor.address()));
    smol::block_on(async {
        let backend = Arc::new(Backend::new(engine.clone()));
        let server = server::Server::start(loopback(), backend, server::Options::default());
        let server = server.await.unwrap();
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
        let url = format!("http://{}/v1/requests/templating", server.address());
        let mut conn = client
            .post(url.as_str())
            .with_request_header("authorization", format!("Bearer {KEY}"))
            .with_request_header("content-type", "application/json")
            .with_body(r#"{"ms": 5, "echo": "cutout"}"#)
            .await
            .unwrap();
        let body = conn.response_body().read_string().await.unwrap();
        assert_eq!(conn.status().map(|s| s as u16), Some(200), "{body}");
        assert!(body.contains("cutout"), "{body}");
        let text = server::Backend::metrics(&Backend::new(engine));
        assert!(text.contains("primrosestep_starts_total"), "{text}");
        let _ = Span::ZERO;
    });
    assert_eq!(executor.ledger().count(Step::Start), 1);
    assert_eq!(executor.ledger().count(Step::End), 1);
}
