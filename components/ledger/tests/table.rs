//! The table admits an identifier once, and keeps the records that this requires.

use bytes::Bytes;
use ledger::{
    Admission, Job, Lookup, Table, Waiter,
    record::{StoredAnswer, content_digest},
    table::expired_failure,
};
use site::{
    id::{CrewId, FirmId, Home, Incarnation, ServiceId, SubmissionId, Token, WaiterId},
    submission::{Answer, Failure, Kind, Outcome, Output, Reason, Submission, Task},
    unit::{Resources, Span, Time},
};
use std::sync::Arc;
use uuid::Uuid;

const ONE: Waiter = Waiter::Caller(WaiterId(1));
const TWO: Waiter = Waiter::Caller(WaiterId(2));

fn home(incarnation: u64) -> Home {
    Home { incarnation: Incarnation(incarnation), ..Home::default() }
}

fn id(epoch: u32, unique: u64) -> SubmissionId {
    let token = Token { home: home(1), epoch };
    SubmissionId { token, unique: Uuid::from_u64_pair(0, unique) }
}

fn submission(id: SubmissionId, bodies: &[&'static str]) -> Arc<Submission> {
    let task = |body: &&'static str| Task {
        body: Bytes::from_static(body.as_bytes()),
        content_type: "text/plain".into(),
        needs: Resources::default(),
        run_time: Span::ZERO,
    };
    Arc::new(Submission {
        id,
        kind: Kind::Job,
        firm: FirmId(1),
        crew: CrewId::default(),
        service: ServiceId(1),
        repeatable: false,
        deadline: Span::from_secs(1),
        tasks: bodies.iter().map(task).collect(),
    })
}

fn output(body: &'static str) -> Output {
    Output { status: 200, content_type: "".into(), body: Bytes::from_static(body.as_bytes()) }
}

fn admit(table: &mut Table, submission: &Arc<Submission>, waiter: Waiter) -> Admission {
    table.admit(submission, waiter, Time(1_000), || None, || 1)
}

fn finish(table: &mut Table, id: SubmissionId, body: &'static str) {
    let submission = submission(id, &["x"]);
    assert!(matches!(admit(table, &submission, ONE), Admission::New(_)));
    assert!(table.store(id, 0, output(body)).is_some());
}

fn outputs_of(lookup: Lookup) -> Vec<Output> {
    match lookup {
        Lookup::Finished(answer) => match &*answer {
            Answer::Complete(outputs) => outputs.clone(),
            Answer::Failed(failure) => panic!("failed: {failure:?}"),
        },
        other => panic!("not finished: {other:?}"),
    }
}

#[test]
fn an_identifier_is_admitted_once() {
    let mut table = Table::new(1_000);
    let submission = submission(id(0, 1), &["a", "b"]);
    assert!(matches!(admit(&mut table, &submission, ONE), Admission::New(_)));
    assert!(matches!(admit(&mut table, &submission, TWO), Admission::Joined));
    table.store(submission.id, 0, output("a"));
    let finish = table.store(submission.id, 1, output("b")).unwrap();
    assert_eq!(finish.waiters, [ONE, TWO]);
    assert!(matches!(admit(&mut table, &submission, ONE), Admission::Finished(_)));
    assert_eq!(table.open_count(), 0);
}

#[test]
fn a_resubmission_with_another_deadline_matches() {
    let mut table = Table::new(1_000);
    let mut again = submission(id(0, 1), &["a"]);
    admit(&mut table, &again, ONE);
    Arc::make_mut(&mut again).deadline = Span::from_millis(1);
    assert!(matches!(admit(&mut table, &again, TWO), Admission::Joined));
}

#[test]
fn an_identifier_with_different_content_is_a_conflict() {
    let mut table = Table::new(1_000);
    let first = submission(id(0, 1), &["a", "b"]);
    admit(&mut table, &first, ONE);
    let change = |change: &dyn Fn(&mut Submission)| {
        let mut other = first.clone();
        change(Arc::make_mut(&mut other));
        other
    };
    let others = [
        submission(id(0, 1), &["a", "c"]),
        submission(id(0, 1), &["ab", ""]),
        submission(id(0, 1), &["a"]),
        change(&|s| s.firm = FirmId(2)),
        change(&|s| s.crew = CrewId(2)),
        change(&|s| s.service = ServiceId(2)),
    ];
    for other in others {
        assert_ne!(content_digest(&other), content_digest(&first));
        assert!(matches!(admit(&mut table, &other, TWO), Admission::Conflict));
    }
}

#[test]
fn a_resubmission_whose_service_became_repeatable_is_not_a_conflict() {
    let mut table = Table::new(1_000);
    let first = submission(id(0, 1), &["a", "b"]);
    admit(&mut table, &first, ONE);
    let mut second = first.clone();
    Arc::make_mut(&mut second).repeatable = true;
    assert_eq!(content_digest(&second), content_digest(&first));
    assert!(matches!(admit(&mut table, &second, TWO), Admission::Joined));
}

#[test]
fn a_submission_is_invisible_to_other_firms() {
    let mut table = Table::new(1_000);
    admit(&mut table, &submission(id(0, 1), &["a"]), ONE);
    assert!(matches!(table.lookup(id(0, 1), FirmId(2), Some(TWO)), Lookup::Unknown));
    let finish = table.store(id(0, 1), 0, output("a")).unwrap();
    assert_eq!(finish.waiters, [ONE]);
    assert!(matches!(table.lookup(id(0, 1), FirmId(2), None), Lookup::Unknown));
}

#[test]
fn outputs_of_an_answer_are_in_the_order_of_the_tasks() {
    let mut table = Table::new(1_000);
    admit(&mut table, &submission(id(0, 1), &["a", "b", "c"]), ONE);
    for (index, body) in [(2, "c"), (0, "a"), (1, "b")] {
        table.store(id(0, 1), index, output(body));
    }
    let outputs = outputs_of(table.lookup(id(0, 1), FirmId(1), None));
    assert_eq!(outputs, [output("a"), output("b"), output("c")]);
}

#[test]
fn an_output_counts_once() {
    let mut table = Table::new(1_000);
    admit(&mut table, &submission(id(0, 1), &["a", "b"]), ONE);
    assert!(table.store(id(0, 1), 0, output("a")).is_none());
    assert!(table.store(id(0, 1), 0, output("a")).is_none());
    assert!(table.store(id(0, 1), 7, output("a")).is_none());
    assert_eq!(table.progress(id(0, 1)), Some((2, 1)));
}

#[test]
fn a_fixed_answer_never_changes() {
    let mut table = Table::new(1_000);
    admit(&mut table, &submission(id(0, 1), &["a"]), ONE);
    let failure =
        Failure { outcome: Outcome::NotRun, reason: Reason::Cancelled, retry_after: None };
    assert!(table.fail(id(0, 1), failure).is_some());
    assert!(table.fail(id(0, 1), expired_failure()).is_none());
    assert!(table.store(id(0, 1), 0, output("a")).is_none());
    let Lookup::Finished(answer) = table.lookup(id(0, 1), FirmId(1), None) else { panic!() };
    assert_eq!(*answer, Answer::Failed(failure));
}

#[test]
fn a_removed_waiter_is_not_notified() {
    let mut table = Table::new(1_000);
    let submission = submission(id(0, 1), &["a"]);
    admit(&mut table, &submission, ONE);
    admit(&mut table, &submission, TWO);
    table.remove_waiter(id(0, 1), ONE);
    assert_eq!(table.store(id(0, 1), 0, output("a")).unwrap().waiters, [TWO]);
}

#[test]
fn a_rejected_submission_is_not_inserted_and_a_known_one_is_not_rejected() {
    let mut table = Table::new(1_000);
    let submission = submission(id(0, 1), &["a"]);
    let rejected = |table: &mut Table| {
        table.admit(&submission, ONE, Time(1), || Some(expired_failure()), || 1)
    };
    assert!(matches!(rejected(&mut table), Admission::Rejected(_)));
    assert!(matches!(table.lookup(id(0, 1), FirmId(1), None), Lookup::Unknown));
    admit(&mut table, &submission, ONE);
    assert!(matches!(rejected(&mut table), Admission::Joined));
}

#[test]
fn an_identifier_with_a_tombstone_is_never_admitted() {
    let mut table = Table::new(1_000);
    let failure =
        Failure { outcome: Outcome::NotRun, reason: Reason::Cancelled, retry_after: None };
    table.insert_tombstone(id(0, 1), FirmId(1), failure);
    let Admission::Finished(answer) = admit(&mut table, &submission(id(0, 1), &["a"]), ONE) else {
        panic!("admitted");
    };
    assert_eq!(*answer, Answer::Failed(failure));
    assert!(matches!(table.lookup(id(0, 1), FirmId(2), None), Lookup::Unknown));
}

#[test]
fn a_waiter_with_an_earlier_deadline_expires_alone() {
    let mut table = Table::new(1_000);
    let submission = submission(id(0, 1), &["a"]);
    admit(&mut table, &submission, ONE);
    assert!(matches!(table.admit(&submission, TWO, Time(500), || None, || 1), Admission::Joined));
    assert_eq!(table.next_deadline(), Time(500));
    assert!(table.take_overdue_waiters(Time(499)).is_empty());
    assert_eq!(table.take_overdue_waiters(Time(500)), [(id(0, 1), TWO)]);
    assert_eq!(table.store(id(0, 1), 0, output("a")).unwrap().waiters, [ONE]);
}

#[test]
fn submissions_are_overdue_at_their_deadline_and_stay_open_until_they_fail() {
    let mut table = Table::new(1_000);
    admit(&mut table, &submission(id(0, 1), &["a"]), ONE);
    assert_eq!(table.next_deadline(), Time(1_000));
    assert!(table.take_overdue(Time(999)).is_empty());
    assert_eq!(table.take_overdue(Time(1_000)).len(), 1);
    assert_eq!(table.open_count(), 1);
    table.fail(id(0, 1), expired_failure());
    assert_eq!(table.open_count(), 0);
}

#[test]
fn epochs_are_removed_as_a_whole_and_only_without_open_submissions() {
    let mut table = Table::new(1_000);
    finish(&mut table, id(0, 1), "a");
    finish(&mut table, id(1, 2), "b");
    admit(&mut table, &submission(id(0, 3), &["c"]), ONE);
    table.forget_epochs(home(1), 2);
    assert!(matches!(table.lookup(id(0, 1), FirmId(1), None), Lookup::Finished(_)));
    assert!(matches!(table.lookup(id(1, 2), FirmId(1), None), Lookup::Unknown));
    table.fail(id(0, 3), expired_failure());
    table.forget_epochs(home(2), 2);
    assert!(matches!(table.lookup(id(0, 1), FirmId(1), None), Lookup::Finished(_)));
    table.forget_epochs(home(1), 1);
    assert!(matches!(table.lookup(id(0, 1), FirmId(1), None), Lookup::Unknown));
}

#[test]
fn answers_are_bounded_and_the_oldest_is_evicted_first() {
    let size = StoredAnswer::Full(Arc::new(Answer::Complete(vec![output("12345678")]))).size();
    let mut table = Table::new(2 * size);
    for unique in 1..=3 {
        finish(&mut table, id(0, unique), "12345678");
    }
    let Lookup::Finished(oldest) = table.lookup(id(0, 1), FirmId(1), None) else { panic!() };
    assert_eq!(*oldest, Answer::Failed(expired_failure()));
    for unique in 2..=3 {
        outputs_of(table.lookup(id(0, unique), FirmId(1), None));
    }
    // The identifier is still known, so it is not admitted again.
    let again = submission(id(0, 1), &["x"]);
    assert!(matches!(admit(&mut table, &again, ONE), Admission::Finished(_)));
}

#[test]
fn an_answer_too_large_to_keep_still_reaches_its_waiters() {
    let mut table = Table::new(1);
    admit(&mut table, &submission(id(0, 1), &["a"]), ONE);
    let finish = table.store(id(0, 1), 0, output("large")).unwrap();
    assert_eq!(*finish.answer, Answer::Complete(vec![output("large")]));
    let Lookup::Finished(later) = table.lookup(id(0, 1), FirmId(1), None) else { panic!() };
    assert_eq!(*later, Answer::Failed(expired_failure()));
}

#[test]
fn memory_is_freed_when_an_epoch_is_removed() {
    let size = StoredAnswer::Full(Arc::new(Answer::Complete(vec![output("12345678")]))).size();
    let mut table = Table::new(2 * size);
    for epoch in 0..20 {
        finish(&mut table, id(epoch, 1), "12345678");
        finish(&mut table, id(epoch, 2), "12345678");
        for unique in [1, 2] {
            outputs_of(table.lookup(id(epoch, unique), FirmId(1), None));
        }
        table.forget_epochs(home(1), epoch + 1);
    }
}

#[test]
fn a_table_after_a_handover_gives_the_same_answers() {
    let mut old = Table::new(1_000);
    finish(&mut old, id(0, 1), "a");
    admit(&mut old, &submission(id(0, 2), &["b"]), ONE);
    old.fail(id(0, 2), expired_failure());
    admit(&mut old, &submission(id(0, 3), &["open"]), ONE);
    let mut new = Table::new(1_000);
    let records: Vec<_> =
        old.finished().map(|(id, r, kept)| (id, r.firm, r.content_digest, kept.clone())).collect();
    assert_eq!(records.len(), 2);
    for (id, firm, content, kept) in records {
        new.adopt(id, firm, content, kept);
    }
    assert_eq!(outputs_of(new.lookup(id(0, 1), FirmId(1), None)), [output("a")]);
    assert!(matches!(new.lookup(id(0, 1), FirmId(2), None), Lookup::Unknown));
    assert!(matches!(new.lookup(id(0, 2), FirmId(1), None), Lookup::Finished(_)));
    let again = submission(id(0, 1), &["x"]);
    assert!(matches!(admit(&mut new, &again, ONE), Admission::Finished(_)));
    let other = submission(id(0, 1), &["y"]);
    assert!(matches!(admit(&mut new, &other, ONE), Admission::Conflict));
}

#[test]
fn a_repeated_part_of_a_handover_changes_nothing() {
    let mut table = Table::new(1_000);
    finish(&mut table, id(0, 1), "a");
    table.adopt(id(0, 1), FirmId(1), 0, StoredAnswer::Evicted(expired_failure()));
    assert_eq!(outputs_of(table.lookup(id(0, 1), FirmId(1), None)), [output("a")]);
}

#[test]
fn closing_a_job_returns_whether_any_task_may_have_run() {
    let job = Job::new(submission(id(0, 1), &["a"]), 1, Time(1));
    job.start();
    job.revert_start();
    assert!(!job.is_started());
    job.start();
    assert!(job.close());
    assert!(job.is_closed());
}
