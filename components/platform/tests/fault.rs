//! Fault injection of the stand-in over HTTP.

mod common;

use common::{client, put, spawn};
use platform::{Error, Store};
use smol::block_on;
use standin::platform::{Change, Report};
use trillium_smol::ClientConfig;

#[test]
fn faults_are_set_and_reported_over_http() {
    block_on(async {
        let platform = spawn();
        let store = client(&platform);
        let http = trillium_client::Client::new(ClientConfig::new());
        let url = format!("http://{}/faults", platform.address());
        let change = Change { down: Some(true), ..Change::default() };
        let body = serde_json::to_string(&change).unwrap();
        let mut conn = http.post(url.as_str()).with_body(body).await.unwrap();
        let report: Report =
            serde_json::from_str(&conn.response_body().read_string().await.unwrap()).unwrap();
        assert!(report.faults.down);
        assert_eq!(store.put(put("/x", "v")).await, Err(Error::Unreachable));

        let mut conn = http.post(url.as_str()).with_body(r#"{"down":false}"#).await.unwrap();
        conn.response_body().read_string().await.unwrap();
        store.put(put("/x", "v")).await.unwrap();
        let mut conn = http.get(url.as_str()).await.unwrap();
        let report: Report =
            serde_json::from_str(&conn.response_body().read_string().await.unwrap()).unwrap();
        assert_eq!(report.faults, platform.faults());
        assert_eq!(report.calls, platform.calls());
        assert_eq!(report.calls.writes, 2);

        let conn = http.post(url.as_str()).with_body(r#"{"odd":1}"#).await.unwrap();
        assert_eq!(conn.status(), Some(trillium_client::Status::BadRequest));
    });
}
