//! Target for documents in the platform's store: key claims, the manifest, registrations and VMs.

use super::{Target, stub_store::StubStore};
use crate::{Outcome, Random, bytes, json};
use platform::{
    Mirror, Store,
    claim::{self, Claim, Now, RateLimiter, Timestamp},
    manifest,
    registry::{self, Entry},
    store::{Revision, Seconds},
    vms,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use settings::{Files, digest};
use site::{
    id::{FirmId, Home, SubmissionId},
    unit::Time,
};
use std::sync::Arc;
use uuid::Uuid;

/// Largest growth of the heap for one document, in bytes.
const HEAP_BOUND: usize = 256 << 10;

const KINDS: u8 = 7;
const KEY: &str = "the caller's key";
const FILE: &str = "{}";

/// Documents. A case is an encoded `Case`.
#[derive(Debug)]
pub struct Documents;

/// One document, the function that reads it and the state of the store.
#[derive(Debug, Serialize, Deserialize)]
struct Case {
    kind: u8,
    revision: u64,
    yields: bool,
    suffix: String,
    document: Vec<u8>,
}

impl Target for Documents {
    fn name(&self) -> &'static str {
        "documents"
    }

    fn heap_bound(&self) -> usize {
        HEAP_BOUND
    }

    fn generate(&mut self, rng: &mut Random) -> Vec<u8> {
        let kind = rng.random_range(0..KINDS);
        let document = match rng.random_ratio(1, 20) {
            true => bytes::arbitrary(rng, 300),
            false => json::mutated_text(document(kind, rng), rng),
        };
        let suffix = match rng.random_ratio(1, 4) {
            true => json::text(rng),
            false => format!("{:016x}", home().entry.0),
        };
        let revision = bytes::number(rng);
        let case = Case { kind, revision, yields: rng.random(), suffix, document };
        postcard::to_stdvec(&case).expect("texts can always be written")
    }

    fn run(&mut self, case: &[u8]) -> Outcome {
        let Ok(case) = postcard::from_bytes::<Case>(case) else { return Ok("no case".into()) };
        let stub = Arc::new(StubStore {
            document: case.document.into(),
            revision: Revision(case.revision),
            succeeds: case.yields,
            suffix: case.suffix,
        });
        let outcome = match smol::block_on(read(case.kind % KINDS, stub)) {
            Reading::Understood => "understood",
            Reading::Refused => "refused",
            Reading::Skipped => "left out",
        };
        Ok(outcome.into())
    }

    fn show(&self, case: &[u8]) -> String {
        let Ok(case) = postcard::from_bytes::<Case>(case) else { return "no case".into() };
        let text = String::from_utf8_lossy(&case.document).into_owned();
        format!("{text}\n{:?}", Case { document: Vec::new(), ..case })
    }
}

/// How the function under test handled the document.
enum Reading {
    Understood,
    Refused,
    Skipped,
}

impl<T, E: std::fmt::Display> From<Result<T, E>> for Reading {
    fn from(result: Result<T, E>) -> Reading {
        match result {
            Ok(_) => Reading::Understood,
            Err(error) => {
                let _ = error.to_string();
                Reading::Refused
            }
        }
    }
}

fn from_count(documents: usize) -> Reading {
    if documents == 0 { Reading::Skipped } else { Reading::Understood }
}

async fn read(kind: u8, stub: Arc<StubStore>) -> Reading {
    let store: &dyn Store = &*stub;
    let files = || -> Files { [("a.json".into(), FILE.into())].into() };
    match kind {
        0 => claim::claim(store, &RateLimiter::new(10, 10), now(), claim()).await.into(),
        1 => manifest::fetch(store, &files()).await.into(),
        2 => {
            let base = site::unit::Revision(1);
            manifest::accept(store, base, &files(), Uuid::nil()).await.into()
        }
        3 => manifest::prune(store).await.into(),
        4 => registry::register(store, entry(), Seconds(10)).await.into(),
        5 => read_mirror(registry::watch(stub.clone())).await,
        _ => read_mirror(vms::watch(stub.clone())).await,
    }
}

/// Reads the listing and two further results of the mirror.
async fn read_mirror<T>(mut mirror: Mirror<T>) -> Reading {
    let listed = match mirror.next().await {
        Ok(documents) => documents.len(),
        Err(_) => return Reading::Refused,
    };
    for _ in 0..2 {
        if mirror.next().await.is_err() {
            return Reading::Refused;
        }
    }
    from_count(listed)
}

fn now() -> Now {
    Now { time: Time(1_000_000), calendar: Timestamp(1_700_000_000) }
}

fn claim() -> Claim {
    Claim {
        firm: FirmId::of("kovacik"),
        key: KEY.into(),
        id: SubmissionId::default(),
        replaces: None,
        expires: Timestamp(1_700_000_300),
    }
}

fn home() -> Home {
    "1-2-3".parse().unwrap_or_default()
}

fn entry() -> Entry {
    Entry {
        home: home(),
        data_centre: "cutting".into(),
        http: ([127, 0, 0, 1], 1).into(),
        quic: ([127, 0, 0, 1], 2).into(),
        certificate: digest(b"certificate"),
    }
}

fn document(kind: u8, rng: &mut Random) -> Value {
    match kind {
        0 => {
            let id = SubmissionId::default().to_string();
            let digest = format!("{:032x}", rng.random::<u128>());
            json!({ digest: { "id": id, "expires": bytes::number(rng) } })
        }
        1..=3 => {
            let revision = bytes::number(rng);
            let file = json!({
                "digest": digest(FILE.as_bytes()).to_string(),
                "size": bytes::number(rng) as u32,
            });
            let other = json!({ "digest": digest(b"other").to_string(), "size": 7 });
            json!({
                "revision": revision,
                "change": Uuid::nil(),
                "files": { "a.json": file, "b.json": other },
                "recent": [{ "revision": revision, "change": Uuid::from_u128(rng.random()) }],
            })
        }
        4 | 5 => serde_json::to_value(entry()).unwrap_or_default(),
        _ => json!({ "address": "127.0.0.1", "state": "leaving" }),
    }
}
