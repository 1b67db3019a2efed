//! Idempotency keys, lost responses of the platform, and killed entries.

mod support;

use serde_json::json;
use site::id::SubmissionId;
use smol::future::zip;
use standin::ledger::Step;
use std::time::Duration;
use support::Deployment;
use uuid::Uuid;

const PATH: &str = "/v1/requests/templating";

const BODY: &str = r#"{"ms": 20, "echo": "tag"}"#;

#[test]
fn one_key_at_two_entries_runs_once() {
    let deployment = Deployment::new([2, 0]);
    let one = deployment.entry("cut-entry-1", "cutting");
    let other = deployment.entry("cut-entry-2", "cutting");
    smol::block_on(async {
        one.ready(1).await;
        other.ready(1).await;
        for round in 0..5 {
            let key = format!("bale-{round}");
            let headers = [("idempotency-key", key.as_str())];
            let first = one.send("POST", PATH, &headers, BODY);
            let second = other.send("POST", PATH, &headers, BODY);
            let (first, second) = zip(first, second).await;
            assert_eq!(first.status, 200, "{first:?}");
            assert_eq!(second.status, 200, "{second:?}");
            assert_eq!(first.id, second.id);
        }
    });
    assert_eq!(deployment.ledger.count(Step::Start), 5);
}

#[test]
fn a_lost_answer_of_the_platform_loses_no_claim() {
    let deployment = Deployment::new([1, 0]);
    let entry = deployment.entry("cut-entry-1", "cutting");
    smol::block_on(async {
        entry.ready(0).await;
        deployment.platform.lose_answers(2);
        let headers = [("idempotency-key", "bale-1")];
        for _ in 0..2 {
            let reply = entry.send("POST", PATH, &headers, BODY).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    });
    assert_eq!(deployment.ledger.count(Step::Start), 1);
}

#[test]
fn without_the_platform_new_keys_are_refused_and_ids_still_work() {
    let deployment = Deployment::new([1, 0]);
    let entry = deployment.entry("cut-entry-1", "cutting");
    smol::block_on(async {
        entry.ready(0).await;
        deployment.platform.down(true);
        let headers = [("idempotency-key", "bale-1"), ("primrosestep-first", "true")];
        let refused = entry.send("POST", PATH, &headers, BODY).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(refused.outcome.as_deref(), Some("not-run"));
        assert_eq!(refused.json()["reason"], "platform-out");
        assert_eq!(deployment.ledger.count(Step::Start), 0);
        let reply = entry.send("POST", PATH, &[], BODY).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    });
    assert_eq!(deployment.ledger.count(Step::Start), 1);
}

/// Guards against a job that is started a second time, or reported as not run, after its home was
/// killed while the tasks ran.
#[test]
fn a_job_of_a_dead_home_never_starts_again() {
    let deployment = Deployment::new([2, 0]);
    let first = deployment.entry("cut-entry-1", "cutting");
    let second = deployment.entry("cut-entry-2", "cutting");
    smol::block_on(async {
        first.ready(1).await;
        second.ready(1).await;
        let token = first.token().await;
        let is_home = token.home == first.home().await;
        let (home, other) = if is_home { (first, second) } else { (second, first) };
        let id = SubmissionId { token, unique: Uuid::new_v4() }.to_string();
        let headers = [("primrosestep-id", id.as_str()), ("primrosestep-deadline", "5s")];
        let tasks = vec![json!({ "body": { "ms": 100 } }); 8];
        let job = json!({ "service": "templating", "tasks": tasks }).to_string();
        let submission = home.send_as(support::KEY, "POST", "/v1/jobs", &headers, &job);
        let death = async {
            assert!(deployment.ledger.wait(Step::Start, 8, Duration::from_secs(30)).await);
            home.signal("KILL");
        };
        let (reply, ()) = zip(submission, death).await;
        assert!(reply.is_none(), "{reply:?}");
        let failed = other.send("POST", "/v1/jobs", &headers, &job).await;
        assert_eq!(failed.outcome.as_deref(), Some("may-have-run"), "{failed:?}");
        let reply = other.send("POST", PATH, &[], BODY).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    });
    assert!(deployment.ledger.repeated().is_empty());
    assert_eq!(deployment.ledger.count(Step::Start), 9);
}
