//! Checks the invariants of the decision logic against the executors' start records and the
//! callers' answers.

use super::{
    executor::{StartRecord, output},
    site::{Work, executor_id, firm},
};
use ::site::{
    id::{AttemptId, EndpointId, EntryId, FirmId, Home, SubmissionId, WaiterId},
    submission::{Answer, Failure, Kind, Outcome, Reason, Submission},
    unit::{Revision, Span, Time},
};
use bytes::Bytes;
use dispatch::{Event, Message, action::Start};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time after its deadline until a caller has its answer.
const ANSWER_GRACE: Span = Span::from_millis(25);

/// A request of a caller, answered or not.
#[derive(Clone, Debug)]
pub struct Call {
    pub via: Home,
    pub work: Work,
    pub made: Time,
    pub due: Time,
    pub submits: bool,
    pub answered: Option<(Time, SubmissionId, Answer)>,
    /// Whether it need not be answered, since its entry was killed or paused, or the caller left.
    exempt: bool,
}

impl Call {
    fn not_run(&self) -> Option<Time> {
        let (time, _, answer) = self.answered.as_ref()?;
        is_not_run(answer).then_some(*time)
    }
}

/// Records all requests and answers of callers and what each process was told, and checks the
/// invariants.
#[derive(Debug, Default)]
pub struct Checker {
    pub calls: BTreeMap<WaiterId, Call>,
    /// Processes that have ended or been replaced.
    pub gone: BTreeSet<Home>,
    pub gone_entries: BTreeSet<EntryId>,
    pub exited: BTreeSet<Home>,
    /// Pairs of a home and an entry that has received its complete table.
    successors: BTreeSet<(Home, Home)>,
    cancelled: BTreeSet<(SubmissionId, FirmId)>,
    listed: BTreeMap<Home, BTreeSet<EndpointId>>,
    reported_leaving: BTreeSet<(Home, EndpointId)>,
    settings: BTreeMap<Home, (Revision, BTreeSet<EndpointId>)>,
}

impl Checker {
    pub fn has_submission(&self, work: &Work) -> bool {
        self.calls.values().any(|call| call.submits && call.work.body(0) == work.body(0))
    }

    pub fn add_submit(&mut self, now: Time, via: Home, work: &Work, limit: Span) -> WaiterId {
        self.add(now, via, work, limit, true)
    }

    pub fn add_request(&mut self, now: Time, via: Home, work: &Work, limit: Span) -> WaiterId {
        self.add(now, via, work, limit, false)
    }

    fn add(&mut self, now: Time, via: Home, work: &Work, limit: Span, submits: bool) -> WaiterId {
        let waiter = WaiterId(self.calls.len() as u64 + 1);
        let (work, due) = (work.clone(), now + limit + ANSWER_GRACE);
        let call = Call { via, work, made: now, due, submits, answered: None, exempt: false };
        self.calls.insert(waiter, call);
        waiter
    }

    /// Returns a request without an answer whose entry kept running.
    pub fn unanswered(&self) -> Option<&Call> {
        self.calls.values().find(|call| call.answered.is_none() && !call.exempt)
    }

    pub fn answer_of(&self, waiter: WaiterId) -> Option<&Answer> {
        self.calls[&waiter].answered.as_ref().map(|(_, _, answer)| answer)
    }

    // Events of processes.

    pub fn booted(&mut self, home: Home, others: &[Home]) {
        let older = others.iter().filter(|o| o.entry == home.entry && **o != home);
        self.gone.extend(older);
    }

    pub fn ended(&mut self, home: Home) {
        self.gone.insert(home);
        self.paused(home);
    }

    pub fn paused(&mut self, home: Home) {
        let waiting = self.calls.values_mut().filter(|c| c.via == home && c.answered.is_none());
        waiting.for_each(|call| call.exempt = true);
    }

    pub fn exit(&mut self, home: Home) {
        let waits = |call: &&Call| call.via == home && call.answered.is_none() && !call.exempt;
        let interrupted = self.calls.values().find(waits);
        assert!(
            interrupted.is_none(),
            "a planned drain of {home} interrupts a request: {interrupted:?}"
        );
        self.exited.insert(home);
    }

    /// Records which executors a process now knows to be leaving, and which tables it has received.
    pub fn record_event(&mut self, home: Home, event: &Event) {
        match event {
            Event::Message { message: Message::Handover(part), .. } if part.last => {
                self.successors.extend(part.tables.iter().map(|table| (table.home, home)));
            }
            Event::Machines { leaving, .. } => {
                self.listed.insert(home, leaving.iter().copied().collect());
            }
            Event::Settings { revision, site } => {
                let known = self.settings.entry(home).or_default();
                if *revision >= known.0 {
                    let stays =
                        |id: &EndpointId| site.executors.get(id).is_some_and(|x| !x.leaving);
                    let all = (0..16).map(executor_id);
                    *known = (*revision, all.filter(|id| !stays(id)).collect());
                }
            }
            _ => {}
        }
    }

    pub fn record_leaving(&mut self, home: Home, endpoint: EndpointId) {
        self.reported_leaving.insert((home, endpoint));
    }

    /// Records that a new executor replaces one that left.
    pub fn replaced(&mut self, endpoint: EndpointId) {
        self.reported_leaving.retain(|(_, told)| *told != endpoint);
    }

    /// Records that a caller closed its connection.
    pub fn abandon(&mut self, waiter: WaiterId) {
        if let Some(call) = self.calls.get_mut(&waiter) {
            call.exempt = true;
        }
    }

    fn knows_leaving(&self, home: Home, id: EndpointId) -> bool {
        self.reported_leaving.contains(&(home, id))
            || self.listed.get(&home).is_some_and(|listed| listed.contains(&id))
            || self.settings.get(&home).is_some_and(|(_, leaving)| leaving.contains(&id))
    }

    // Invariants.

    /// Checks that nothing starts on an executor that the process knows to be leaving.
    pub fn start(&self, home: Home, start: &Start) {
        let leaving = self.knows_leaving(home, start.endpoint);
        assert!(!leaving, "{home} starts {} on a leaving executor", start.task);
    }

    /// Checks a task that begins to run: it starts once unless it is repeatable, not after its
    /// cancellation, only at its home, at a successor or when the home is gone, and not while
    /// another attempt runs, unless that belongs to another process and one of the two is gone.
    pub fn began(
        &self,
        began: &StartRecord,
        submission: &Submission,
        starts: &[StartRecord],
        running: &[(Home, AttemptId)],
    ) {
        let task = began.task;
        let before = starts.iter().find(|record| record.body == began.body);
        let repeatable = submission.kind == Kind::Single && submission.repeatable;
        assert!(
            before.is_none() || repeatable,
            "{task} starts twice: {:?} and by {} at {}",
            before,
            began.by,
            began.at
        );
        let cancelled = self.cancelled.contains(&(task.submission, submission.firm));
        assert!(!cancelled, "{task} starts after its cancellation");
        let home = task.submission.home();
        let gone =
            |home: Home| self.gone.contains(&home) || self.gone_entries.contains(&home.entry);
        let is_successor = self.successors.contains(&(home, began.by));
        assert!(
            began.by == home || gone(home) || is_successor,
            "{} runs {task}, whose home is alive",
            began.by
        );
        let is_concurrent = |record: &&StartRecord| {
            let runs = running.contains(&(record.by, record.attempt));
            let known = record.by == began.by || !gone(record.by) && !gone(began.by);
            runs && known && record.body == began.body
        };
        let concurrent = starts.iter().find(is_concurrent);
        assert!(
            concurrent.is_none(),
            "{task} runs at {} at the same time as {concurrent:?}",
            began.by
        );
        self.check_rejected(began);
    }

    /// Checks that a task does not start after all its callers were told that it did not run.
    fn check_rejected(&self, began: &StartRecord) {
        let same = |call: &&Call| call.submits && call.work.body(began.task.index) == began.body;
        let mut calls = self.calls.values().filter(same);
        let last_rejection = self.calls.values().filter(same).filter_map(Call::not_run).max();
        let allowed = calls.any(|c| c.not_run().is_none() || Some(c.made) >= last_rejection);
        assert!(allowed, "{} starts after its callers were told that it did not run", began.task);
    }

    pub fn answer(
        &mut self,
        now: Time,
        waiter: WaiterId,
        id: SubmissionId,
        answer: &Answer,
        starts: &[StartRecord],
    ) {
        let call = self.calls.get_mut(&waiter).expect("the waiter of an answer is a known caller");
        assert!(call.answered.is_none(), "a second answer to {call:?}: {answer:?}");
        call.answered = Some((now, id, answer.clone()));
        let work = &call.work;
        match answer {
            Answer::Complete(outputs) => {
                let own = |index| output(200, &Bytes::from(work.body(index)));
                let whole: Vec<_> = (0..work.tasks).map(own).collect();
                assert_eq!(*outputs, whole, "the answer to {work:?} has wrong or missing outputs");
            }
            Answer::Failed(failure) => {
                let own = |record: &&StartRecord| is_of(record, work, id, call.submits);
                let ran = starts.iter().find(own);
                let untrue = is_not_run(answer) && ran.is_some();
                assert!(!untrue, "{failure:?} for {work:?}, which began: {ran:?}");
                if is_not_run(answer) && failure.reason == Reason::Cancelled {
                    self.cancelled.insert((id, firm(work.firm)));
                }
            }
        }
    }

    /// Checks that no request is past its deadline without an answer.
    pub fn check_times(&self, now: Time) {
        let late = |call: &&Call| call.answered.is_none() && !call.exempt && call.due < now;
        let late = self.calls.values().find(late);
        assert!(late.is_none(), "at {now} there is no answer to {late:?}");
    }
}

fn is_not_run(answer: &Answer) -> bool {
    matches!(answer, Answer::Failed(Failure { outcome: Outcome::NotRun, .. }))
}

fn is_of(record: &StartRecord, work: &Work, id: SubmissionId, submits: bool) -> bool {
    let own = (0..work.tasks).any(|index| record.body == work.body(index));
    own && (submits || record.task.submission == id)
}
