//! Faults of processes, executors and the platform, one at a time and in pairs.

mod support;

use smol::future::zip;
use standin::{Faults, fault::Silence, ledger::Step};
use std::time::Duration;
use support::{
    Deployment, Entry,
    call::{Call, Kind, Name, pair},
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The home is killed once it has admitted the submission, and its entry is restarted.
    Kill,
    /// The home is stopped at that point, until the caller has submitted elsewhere.
    Freeze,
    /// Executors run tasks and close the connection without a response.
    Unanswered,
    /// Executors close the connection in the middle of the response.
    Truncated,
    /// Open connections to executors drop all further responses.
    Silent,
    /// The next task of each executor fails.
    Failing,
    /// The platform is unavailable.
    PlatformDown,
    /// The platform responds late.
    PlatformSlow,
    /// Responses of the platform are lost after it has made the change.
    LostResponses,
    /// All leases expire.
    LeasesExpired,
}

use Fault::*;

/// Number of responses of the platform that are lost.
const LOST_RESPONSES: u32 = 3;

const SINGLE: [&[Fault]; 8] = [
    &[Freeze],
    &[Unanswered],
    &[Truncated],
    &[Silent],
    &[Failing],
    &[PlatformDown],
    &[PlatformSlow],
    &[LostResponses],
];

const PAIRS: [&[Fault]; 8] = [
    &[Kill, LostResponses],
    &[Kill, Unanswered],
    &[Kill, PlatformDown],
    &[Freeze, LeasesExpired],
    &[Freeze, PlatformSlow],
    &[Freeze, Unanswered],
    &[LostResponses, Truncated],
    &[PlatformDown, Silent],
];

impl Fault {
    fn executor(self) -> Option<Faults> {
        let none = Faults::default();
        match self {
            Unanswered => Some(Faults { drop_after_write: true, ..none }),
            Truncated => Some(Faults { truncate: true, ..none }),
            Silent => Some(Faults { silent: Some(Silence::Answers), ..none }),
            Failing => Some(Faults { fail_next: 1, ..none }),
            Kill | Freeze | PlatformDown | PlatformSlow | LostResponses | LeasesExpired => None,
        }
    }

    fn begin(self, deployment: &Deployment, home: &Entry) {
        match self {
            Kill => home.arm("after-admit kill 1"),
            Freeze => home.arm("after-admit stop 1"),
            PlatformDown => deployment.platform.down(true),
            PlatformSlow => deployment.platform.slow(Duration::from_millis(200)),
            LostResponses => deployment.platform.lose_answers(LOST_RESPONSES),
            LeasesExpired => deployment.platform.expire_leases(),
            Unanswered | Truncated | Silent | Failing => {}
        }
        let faults = self.executor();
        let set =
            |faults| deployment.executors.iter().for_each(|executor| executor.set_faults(faults));
        faults.into_iter().for_each(set);
    }
}

fn end_all(deployment: &Deployment) {
    deployment.platform.down(false);
    deployment.platform.slow(Duration::ZERO);
    deployment.platform.lose_answers(0);
    deployment.executors.iter().for_each(|executor| executor.set_faults(Faults::default()));
}

/// Submits to the home and to the other entry at the same time while the faults last, and to the
/// other entry once more when they have ended.
fn run(faults: &[Fault], kind: Kind) {
    println!("{kind:?}, {faults:?}");
    let deployment = Deployment::new([2, 0]);
    let name = if faults.contains(&PlatformDown) { Name::Id } else { Name::Key };
    smol::block_on(async {
        let (mut home, other, id) = pair(&deployment).await;
        let mut call = Call::new(kind, name, id);
        call.deadline = "4s";
        warm(&home).await;
        let before = deployment.ledger.count(Step::Start);
        call.before = before;
        faults.iter().for_each(|fault| fault.begin(&deployment, &home));
        let at = home.http;
        let mut restarted = None;
        let beside = async {
            if faults.contains(&Kill) {
                assert!(!home.exit().await.success());
            }
            if faults.contains(&Freeze) {
                home.stopped().await;
            }
            let beside = call.send_at(other.http).await;
            if faults.contains(&Freeze) {
                home.signal("CONT");
            }
            beside.unwrap()
        };
        let (first, beside) = zip(call.send_at(at), beside).await;
        first.iter().chain([&beside]).for_each(|reply| call.check(&deployment, reply));
        assert_eq!(first.is_none(), faults.contains(&Kill));
        end_all(&deployment);
        if faults.contains(&Kill) {
            restarted = Some(deployment.entry(&home.name, "cutting"));
        }
        let last = call.settle(&other).await;
        call.check(&deployment, &last);
        drop(restarted);
    });
}

/// Sends two concurrent requests, so that connections to the executors are open.
async fn warm(home: &Entry) {
    let request = async {
        let reply = home.send("POST", "/v1/requests/templating", &[], r#"{"ms": 50}"#).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    };
    let again = home.send("POST", "/v1/requests/templating", &[], r#"{"ms": 50}"#);
    zip(request, again).await;
}

fn run_each(table: &[&[Fault]], kind: Kind) {
    table.iter().for_each(|faults| run(faults, kind));
}

#[test]
fn single_faults_and_a_job() {
    run_each(&SINGLE, Kind::Job);
}

#[test]
fn single_faults_and_a_request_that_is_not_repeatable() {
    run_each(&SINGLE, Kind::NotRepeatable);
}

#[test]
fn pairs_of_faults_and_a_job() {
    run_each(&PAIRS, Kind::Job);
}

#[test]
fn pairs_of_faults_and_a_request_that_is_not_repeatable() {
    run_each(&PAIRS, Kind::NotRepeatable);
}

#[test]
fn pairs_of_faults_and_a_repeatable_request() {
    run_each(&PAIRS, Kind::Repeatable);
}
