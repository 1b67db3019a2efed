//! The home of a submission is killed at each step, and the caller resubmits through another entry.
//! The answers are checked against the executors' ledger.

mod support;

use smol::future::zip;
use support::{
    Deployment,
    call::{Call, Kind, Name, pair},
};

/// Failpoints that a submission passes at its home, in order.
const STEPS: [&str; 5] =
    ["before-admit", "after-admit", "before-send", "after-report", "before-answer"];

/// Failpoints of a key claim, in order.
const CLAIM_STEPS: [&str; 2] = ["before-claim", "after-claim"];

/// Kills the home at one step and restarts its entry. The caller submits to the home if `direct`,
/// otherwise to the other entry.
fn kill_at(step: &str, kind: Kind, name: Name, direct: bool) {
    println!("{kind:?} by {name:?}, killed {step}, direct: {direct}");
    let deployment = Deployment::new([2, 0]);
    smol::block_on(async {
        let (mut home, other, id) = pair(&deployment).await;
        let call = Call::new(kind, name, id);
        let at = home.http;
        home.arm(&format!("{step} kill 1"));
        let restart = async {
            assert!(!home.exit().await.success());
            deployment.entry(&home.name, "cutting")
        };
        let first = call.send_at(if direct { at } else { other.http });
        let (first, restarted) = zip(first, restart).await;
        if direct {
            assert!(first.is_none(), "{first:?}");
        } else {
            let first = first.unwrap();
            call.check(&deployment, &first);
            let moves = kind == Kind::Repeatable;
            assert!(!moves || first.status == 200, "{first:?}");
        }
        let again = call.settle(&other).await;
        call.check(&deployment, &again);
        assert!(kind != Kind::Repeatable || again.status == 200, "{again:?}");
        let third = call.settle(&restarted).await;
        call.check(&deployment, &third);
    });
}

fn kill_at_each_step(kind: Kind, name: Name) {
    for step in STEPS {
        kill_at(step, kind, name, true);
        kill_at(step, kind, name, false);
    }
    if name == Name::Key {
        CLAIM_STEPS.iter().for_each(|step| kill_at(step, kind, name, true));
    }
}

#[test]
fn a_job_by_its_identifier() {
    kill_at_each_step(Kind::Job, Name::Id);
}

#[test]
fn a_job_by_its_key() {
    kill_at_each_step(Kind::Job, Name::Key);
}

#[test]
fn a_repeatable_request_by_its_identifier() {
    kill_at_each_step(Kind::Repeatable, Name::Id);
}

#[test]
fn a_repeatable_request_by_its_key() {
    kill_at_each_step(Kind::Repeatable, Name::Key);
}

#[test]
fn a_request_that_is_not_repeatable_by_its_identifier() {
    kill_at_each_step(Kind::NotRepeatable, Name::Id);
}

#[test]
fn a_request_that_is_not_repeatable_by_its_key() {
    kill_at_each_step(Kind::NotRepeatable, Name::Key);
}
