//! Routes for operators, probes and metrics.

mod common;

use common::{BackendEvent, KEY, OPERATOR_KEY, TestServer, digest};
use serde_json::json;
use server::backend::Readiness;
use site::id::FirmId;
use std::sync::Arc;

#[test]
fn open_routes_need_no_key() {
    let server = TestServer::new();
    let get = |path: &str| server.send_as("", &format!("GET {path}"), &[], b"");
    assert_eq!(get("/v1/home").json(), json!({ "token": "0-0-0-7" }));
    assert_eq!(get("/livez").text(), "live\n");
    assert_eq!(get("/metrics").text(), "starts_total 3\n");
    assert_eq!((get("/readyz").status, get("/readyz").text()), (200, "ready\n"));
}

#[test]
fn entry_without_settings_or_draining_is_not_ready() {
    let server = TestServer::new();
    for (readiness, text) in
        [(Readiness::NoSettings, "no settings\n"), (Readiness::Draining, "draining\n")]
    {
        *server.fake.readiness.lock() = readiness;
        let response = server.send("GET /readyz", &[], b"");
        assert_eq!((response.status, response.text()), (503, text));
        assert_eq!(server.send("GET /livez", &[], b"").status, 200);
    }
}

#[test]
fn operators_see_and_drain() {
    let server = TestServer::new();
    for what in ["config", "executors", "firms", "jobs", "peers"] {
        let line = format!("GET /v1/admin/show/{what}");
        let response = server.send_as(OPERATOR_KEY, &line, &[], b"");
        assert_eq!(response.json(), json!({ "what": what }));
    }
    assert_eq!(server.send_as(OPERATOR_KEY, "GET /v1/admin/show/x", &[], b"").status, 404);
    assert_eq!(server.send_as(OPERATOR_KEY, "POST /v1/admin/drain", &[], b"").status, 202);
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Drained));
}

#[test]
fn changed_settings_change_the_keys() {
    let server = TestServer::new();
    let status = |key| server.send_as(key, "POST /v1/requests/check", &[], b"x").status;
    assert_eq!((status(KEY), status("a-new-key")), (200, 401));

    let mut site = common::site();
    let firm = site.firms.get_mut(&FirmId::of("kovacik")).unwrap();
    firm.key_digests = vec![digest("a-new-key").into()];
    *server.fake.site.lock() = Arc::new(site);
    *server.fake.revision.lock() = 2;
    assert_eq!((status(KEY), status("a-new-key")), (401, 200));
}
