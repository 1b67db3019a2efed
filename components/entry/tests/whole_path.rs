//! Requests and jobs from a caller through entry processes to executors and back.

mod support;

use serde_json::json;
use standin::ledger::Step;
use support::{Deployment, call::pair};

#[test]
fn one_entry_answers_requests_and_jobs() {
    let deployment = Deployment::new([2, 0]);
    let entry = deployment.entry("cut-entry-1", "cutting");
    smol::block_on(async {
        entry.ready(0).await;
        let body = r#"{"ms": 5, "echo": "cutout"}"#;
        let reply = entry.send("POST", "/v1/requests/templating", &[], body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.json()["echo"], "cutout");
        let tasks: Vec<_> = (0..100).map(|n| json!({ "body": { "ms": 1, "echo": n } })).collect();
        let job = json!({ "service": "templating", "tasks": tasks }).to_string();
        let reply = entry.send("POST", "/v1/jobs", &[], &job).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let answer = reply.json();
        let outputs = answer["outputs"].as_array().unwrap();
        let echoes: Vec<_> = outputs.iter().map(|o| o["body"]["echo"].as_u64().unwrap()).collect();
        assert_eq!(echoes, (0..100).collect::<Vec<_>>());
    });
    assert_eq!(deployment.ledger.count(Step::Start), 101);
    assert!(deployment.ledger.repeated().is_empty());
}

#[test]
fn another_entry_forwards_to_the_home() {
    let deployment = Deployment::new([2, 0]);
    smol::block_on(async {
        let (home, other, id) = pair(&deployment).await;
        let id = id.to_string();
        let headers = [("primrosestep-id", id.as_str())];
        let path = "/v1/requests/templating";
        let body = r#"{"ms": 5, "echo": "seam"}"#;
        for entry in [&other, &home, &other] {
            let reply = entry.send("POST", path, &headers, body).await;
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.json()["echo"], "seam");
            assert_eq!(reply.id.as_deref(), Some(id.as_str()));
        }
        other.line("it forwards", |line| {
            line["target"] == "decision" && line["fields"]["decision"] == "forward"
        });
    });
    assert_eq!(deployment.ledger.count(Step::Start), 1);
}

#[test]
fn two_data_centres_answer_each_other() {
    let deployment = Deployment::new([1, 1]);
    let cutting = deployment.entry("cut-entry-1", "cutting");
    let office = deployment.entry("office-entry-1", "office");
    smol::block_on(async {
        cutting.ready(1).await;
        office.ready(1).await;
        let tasks: Vec<_> = (0..40).map(|n| json!({ "body": { "ms": 20, "echo": n } })).collect();
        let job = json!({ "service": "templating", "tasks": tasks }).to_string();
        for entry in [&cutting, &office] {
            let reply = entry.send("POST", "/v1/jobs", &[], &job).await;
            assert_eq!(reply.status, 200, "{reply:?}");
            let id = reply.id.unwrap();
            for entry in [&cutting, &office] {
                let fetched = entry.send("GET", &format!("/v1/jobs/{id}/answer"), &[], "").await;
                assert_eq!(fetched.status, 200, "{fetched:?}");
                assert_eq!(fetched.body, reply.body);
            }
        }
    });
    assert_eq!(deployment.ledger.count(Step::Start), 80);
    assert!(deployment.ledger.peak("cutting-1") <= 8);
    assert!(deployment.ledger.peak("office-1") <= 8);
}
