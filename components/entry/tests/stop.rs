//! Planned stops of entries.

mod support;

use standin::ledger::Step;
use std::{process::Command, time::Duration};
use support::{Deployment, until};

#[test]
fn a_planned_stop_cuts_no_request_and_hands_answers_over() {
    let deployment = Deployment::new([2, 0]);
    let mut leaving = deployment.entry("cut-entry-1", "cutting");
    let staying = deployment.entry("cut-entry-2", "cutting");
    smol::block_on(async {
        leaving.ready(1).await;
        staying.ready(1).await;
        let path = "/v1/requests/templating";
        let body = r#"{"ms": 300, "echo": "edge"}"#;
        let finished = leaving.send("POST", path, &[], r#"{"ms": 1, "echo": "early"}"#).await;
        assert_eq!(finished.status, 200, "{finished:?}");
        let request = leaving.send("POST", path, &[], body);
        let stop = async {
            assert!(deployment.ledger.wait(Step::Start, 2, Duration::from_secs(30)).await);
            leaving.signal("TERM");
        };
        let (reply, ()) = smol::future::zip(request, stop).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.json()["echo"], "edge");
        let (early, late) = (finished.id.unwrap(), reply.id.unwrap());
        assert_eq!(leaving.exit().await.code(), Some(0));
        for id in [early, late] {
            let answer = format!("/v1/jobs/{id}/answer?wait=5s");
            until("the successor has the answer", || async {
                let reply = staying.send("GET", &answer, &[], "").await;
                (reply.status == 200).then_some(())
            })
            .await;
        }
    });
    assert_eq!(deployment.ledger.count(Step::Start), 2);
}

#[test]
fn an_entry_without_peers_stops() {
    let deployment = Deployment::new([1, 0]);
    let mut entry = deployment.entry("cut-entry-1", "cutting");
    smol::block_on(async {
        entry.ready(0).await;
        entry.signal("INT");
        assert_eq!(entry.exit().await.code(), Some(0));
    });
}

#[test]
fn wrong_settings_end_the_daemon_with_their_own_code() {
    for (settings, told) in [
        ("../../fixtures/bad-daemon/values.json", "fix:"),
        ("../../fixtures/daemon.json", "tls/authority.pem"),
        ("nowhere.json", "nowhere.json"),
    ] {
        let run = Command::new(env!("CARGO_BIN_EXE_primrosestep-entry"))
            .args(["--settings", settings])
            .output()
            .unwrap();
        let stderr = String::from_utf8(run.stderr).unwrap();
        assert_eq!(run.status.code(), Some(3), "{stderr}");
        assert!(stderr.contains(told), "{stderr}");
    }
}
