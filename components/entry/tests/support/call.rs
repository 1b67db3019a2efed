//! A submission that is sent repeatedly, and the guarantees that its answers are checked against.

use super::{Deployment, Entry, KEY, Reply, send, until};
use serde_json::{Value, json};
use site::id::SubmissionId;
use standin::ledger::Step;
use std::net::SocketAddr;
use uuid::Uuid;

/// Number of tasks of a job; exceeds the executors' slots.
const TASKS: usize = 20;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Job,
    Repeatable,
    NotRepeatable,
}

/// How a submission is identified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Name {
    Id,
    Key,
}

/// A submission that can be sent any number of times.
pub struct Call {
    pub kind: Kind,
    name: (&'static str, String),
    pub body: String,
    /// Deadline header; short in tests in which no answer can arrive.
    pub deadline: &'static str,
    /// Task starts in the ledger before the first send.
    pub before: usize,
}

impl Call {
    pub fn new(kind: Kind, name: Name, id: SubmissionId) -> Call {
        let name = match name {
            Name::Id => ("primrosestep-id", id.to_string()),
            Name::Key => ("idempotency-key", id.unique.to_string()),
        };
        let tasks: Vec<_> = (0..TASKS).map(|n| json!({"body": {"ms": 20, "echo": n}})).collect();
        let body = match kind {
            Kind::Job => json!({"service": "templating", "tasks": tasks}),
            Kind::Repeatable | Kind::NotRepeatable => json!({"ms": 20, "echo": "seam"}),
        };
        Call { kind, name, body: body.to_string(), deadline: "10s", before: 0 }
    }

    pub async fn send_at(&self, entry: SocketAddr) -> Option<Reply> {
        let path = if self.kind == Kind::Job { "/v1/jobs" } else { "/v1/requests/templating" };
        let mut headers =
            vec![(self.name.0, self.name.1.as_str()), ("primrosestep-deadline", self.deadline)];
        if self.kind == Kind::NotRepeatable {
            headers.push(("primrosestep-repeatable", "false"));
        }
        send(entry, KEY, "POST", path, &headers, &self.body).await
    }

    /// Resubmits until there is an answer that a retry would not change.
    pub async fn settle(&self, entry: &Entry) -> Reply {
        until("there is a final answer", || async {
            let reply = self.send_at(entry.http).await?;
            let again = reply.status != 200 && is_passing(&reply);
            (!again).then_some(reply)
        })
        .await
    }

    /// Checks an answer and the task starts so far against the guarantees.
    pub fn check(&self, deployment: &Deployment, reply: &Reply) {
        let starts = deployment.ledger.count(Step::Start) - self.before;
        match self.kind {
            Kind::Job => assert!(starts <= TASKS, "{starts} starts"),
            Kind::NotRepeatable => assert!(starts <= 1, "{starts} starts"),
            Kind::Repeatable => {}
        }
        if self.kind != Kind::Repeatable {
            assert_eq!(deployment.ledger.repeated(), Vec::<String>::new());
        }
        match reply.outcome.as_deref() {
            Some("complete") => self.check_whole(reply),
            Some("not-run") => assert_eq!(starts, 0, "{reply:?}"),
            Some("may-have-run" | "ran-and-failed") => assert_ne!(reply.status, 200, "{reply:?}"),
            _ => panic!("{reply:?}"),
        }
    }

    fn check_whole(&self, reply: &Reply) {
        let answer = reply.json();
        if self.kind != Kind::Job {
            let sent: Value = serde_json::from_str(&self.body).unwrap();
            return assert_eq!(answer["echo"], sent["echo"]);
        }
        let outputs = answer["outputs"].as_array().unwrap();
        let echoes: Vec<_> = outputs.iter().map(|o| o["body"]["echo"].as_u64()).collect();
        let wanted: Vec<_> = (0..TASKS as u64).map(Some).collect();
        assert_eq!(echoes, wanted);
    }
}

/// Starts two entries. The first returned is the home in the token of the returned id.
pub async fn pair(deployment: &Deployment) -> (Entry, Entry, SubmissionId) {
    let entries =
        [deployment.entry("cut-entry-1", "cutting"), deployment.entry("cut-entry-2", "cutting")];
    for entry in &entries {
        entry.ready(1).await;
    }
    let token = until("both name the same home", || async {
        let (one, other) = (entries[0].token().await, entries[1].token().await);
        (one.home == other.home).then_some(one)
    })
    .await;
    let id = SubmissionId { token, unique: Uuid::new_v4() };
    let is_home = token.home == entries[0].home().await;
    let [one, other] = entries;
    if is_home { (one, other, id) } else { (other, one, id) }
}

/// Returns whether a problem is temporary, so that the same submission can be retried.
fn is_passing(reply: &Reply) -> bool {
    let problem = reply.json();
    let reason = problem["reason"].as_str().unwrap_or_default();
    matches!(reason, "home-unreachable" | "platform-out")
}
