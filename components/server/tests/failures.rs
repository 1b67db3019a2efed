//! Failed submissions are reported as problems.

mod common;

use common::{ID, TestServer, failed};
use site::{
    submission::{Outcome, Reason},
    unit::Span,
};

const REASONS: [Reason; 16] = [
    Reason::Deadline,
    Reason::Overload,
    Reason::Quota,
    Reason::Impossible,
    Reason::NoEndpoint,
    Reason::Cancelled,
    Reason::HomeGone,
    Reason::HomeUnreachable,
    Reason::Draining,
    Reason::PlatformOut,
    Reason::Conflict,
    Reason::Unknown,
    Reason::Expired,
    Reason::NoContract,
    Reason::Size,
    Reason::Endpoint,
];

#[test]
fn every_reason_has_a_problem() {
    let server = TestServer::new();
    let line = |reason| {
        server.answer(failed(Outcome::MayHaveRun, reason, None));
        let response = server.send("POST /v1/requests/check", &[], b"x");
        let (status, reason, outcome) = response.problem();
        assert_eq!(response.header("primrosestep-outcome"), Some(outcome.as_str()));
        assert_eq!(response.header("retry-after"), None);
        format!("{status} {reason}: {}\n", response.json()["title"].as_str().unwrap())
    };
    insta::assert_snapshot!(REASONS.into_iter().map(line).collect::<String>());
}

#[test]
fn problem_body() {
    let server = TestServer::new();
    server.answer(failed(Outcome::NotRun, Reason::Overload, Some(Span::from_millis(1_200))));
    let response = server.send("POST /v1/requests/check", &[("Primrosestep-Id", ID)], b"x");
    assert_eq!(response.header("retry-after"), Some("2"));
    assert_eq!(response.header("primrosestep-id"), Some(ID));
    insta::assert_snapshot!(serde_json::to_string_pretty(&response.json()).unwrap());
}

#[test]
fn every_outcome_has_a_name() {
    let server = TestServer::new();
    for (outcome, name) in [
        (Outcome::NotRun, "not-run"),
        (Outcome::MayHaveRun, "may-have-run"),
        (Outcome::RanAndFailed, "ran-and-failed"),
    ] {
        server.answer(failed(outcome, Reason::Deadline, None));
        let response = server.send("POST /v1/requests/check", &[], b"x");
        assert_eq!(response.problem().2, name);
    }
}
