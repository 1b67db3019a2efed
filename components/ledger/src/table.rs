//! One shard of the submission table.

use crate::{
    Job,
    record::{Finish, Open, Record, State, StoredAnswer, UNKNOWN_CONTENT, Waiter, content_digest},
};
use rustc_hash::FxHashMap;
use site::{
    id::{FirmId, SubmissionId},
    submission::{Answer, Failure, Outcome, Output, Reason, Submission},
    unit::Time,
};
use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
};

/// Result of an admission.
#[derive(Debug)]
pub enum Admission {
    /// The submission is new and was inserted; its tasks may be queued.
    New(Arc<Job>),
    /// The submission was admitted before and is open; the waiter was added.
    Joined,
    /// The submission was admitted before and has this answer.
    Finished(Arc<Answer>),
    /// The identifier was admitted with different content, or for another firm.
    Conflict,
    /// The submission is unknown and was rejected.
    Rejected(Failure),
}

/// Result of a lookup of an identifier.
#[derive(Debug)]
pub enum Lookup {
    /// The submission is open; the waiter, if any, was added.
    Open(Arc<Job>),
    /// The submission has this answer.
    Finished(Arc<Answer>),
    /// The identifier was never admitted here, or belongs to another firm.
    Unknown,
}

/// A waiter whose deadline is earlier than that of the submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct EarlyWaiter {
    deadline: Time,
    id: SubmissionId,
    waiter: Waiter,
}

impl Ord for EarlyWaiter {
    fn cmp(&self, other: &EarlyWaiter) -> Ordering {
        (other.deadline, other.id).cmp(&(self.deadline, self.id))
    }
}

impl PartialOrd for EarlyWaiter {
    fn partial_cmp(&self, other: &EarlyWaiter) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A shard of the submissions that one home has admitted, including those that it took over from
/// stopped homes.
#[derive(Debug, Default)]
pub struct Table {
    /// Records by home and epoch, so that an epoch is removed as a whole.
    epochs: BTreeMap<site::id::Token, FxHashMap<SubmissionId, Record>>,
    /// Deadlines of open submissions, and of some that have finished in the meantime.
    deadlines: BinaryHeap<Reverse<(Time, SubmissionId)>>,
    /// Waiters whose deadline is earlier than that of their submission, the earliest first.
    early_waiters: BinaryHeap<EarlyWaiter>,
    /// Finished submissions with full answers, oldest first.
    answers: VecDeque<SubmissionId>,
    /// Total size of full answers in bytes.
    answer_bytes: usize,
    /// Maximum total size of full answers in bytes.
    answer_limit: usize,
    /// Number of submissions without an answer.
    open: usize,
}

impl Table {
    /// Creates an empty shard that keeps at most `answer_limit` bytes of answers.
    pub fn new(answer_limit: usize) -> Table {
        Table { answer_limit, ..Table::default() }
    }

    /// Returns the number of submissions without an answer.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Inserts a submission unless its identifier is known or `reject` returns a failure. `reject`
    /// is called under the lock that the caller holds, so that the state it checks can't change
    /// before the submission is inserted.
    pub fn admit(
        &mut self,
        submission: &Arc<Submission>,
        waiter: Waiter,
        deadline: Time,
        reject: impl FnOnce() -> Option<Failure>,
        number: impl FnOnce() -> u64,
    ) -> Admission {
        if let Some(known) = self.find(submission, waiter, deadline) {
            return known;
        }
        if let Some(failure) = reject() {
            return Admission::Rejected(failure);
        }
        let id = submission.id;
        let job = Arc::new(Job::new(submission.clone(), number(), deadline));
        let tasks = submission.tasks.len();
        let open = Open {
            job: job.clone(),
            outputs: vec![None; tasks],
            remaining: tasks as u16,
            waiters: vec![waiter],
        };
        let state = State::Open(open);
        let record =
            Record { firm: submission.firm, content_digest: content_digest(submission), state };
        self.epochs.entry(id.token).or_default().insert(id, record);
        self.deadlines.push(Reverse((deadline, id)));
        self.open += 1;
        Admission::New(job)
    }

    /// Looks up a submission whose identifier may be known; `None` if it is not. If it is open, the
    /// waiter is added until `deadline`.
    pub fn find(
        &mut self,
        submission: &Submission,
        waiter: Waiter,
        deadline: Time,
    ) -> Option<Admission> {
        let id = submission.id;
        let record = self.get_mut(id)?;
        if !record.matches(submission.firm, content_digest(submission)) {
            return Some(Admission::Conflict);
        }
        match &mut record.state {
            State::Open(open) => {
                open.waiters.push(waiter);
                if deadline < open.job.deadline {
                    self.early_waiters.push(EarlyWaiter { deadline, id, waiter });
                }
                Some(Admission::Joined)
            }
            State::Finished(stored) => Some(Admission::Finished(stored.answer())),
        }
    }

    /// Records a failure as the answer of an unknown identifier, for a submission that may still
    /// arrive. Returns whether the identifier was unknown.
    pub fn insert_tombstone(&mut self, id: SubmissionId, firm: FirmId, failure: Failure) -> bool {
        if self.get(id).is_some() {
            return false;
        }
        let stored = StoredAnswer::Full(Arc::new(Answer::Failed(failure)));
        self.adopt(id, firm, UNKNOWN_CONTENT, stored);
        true
    }

    /// Looks up an identifier for `firm`, and adds the waiter if it is open. A tombstone is
    /// reported as unknown, like an identifier of another firm.
    pub fn lookup(&mut self, id: SubmissionId, firm: FirmId, waiter: Option<Waiter>) -> Lookup {
        let visible =
            |record: &&mut Record| record.firm == firm && record.content_digest != UNKNOWN_CONTENT;
        let Some(record) = self.get_mut(id).filter(visible) else {
            return Lookup::Unknown;
        };
        match &mut record.state {
            State::Open(open) => {
                open.waiters.extend(waiter);
                Lookup::Open(open.job.clone())
            }
            State::Finished(stored) => Lookup::Finished(stored.answer()),
        }
    }

    /// Returns the number of tasks of an open submission, and how many have an output; `None`
    /// otherwise.
    pub fn progress(&self, id: SubmissionId) -> Option<(u16, u16)> {
        match &self.get(id)?.state {
            State::Open(open) => {
                let tasks = open.outputs.len() as u16;
                Some((tasks, tasks - open.remaining))
            }
            State::Finished(_) => None,
        }
    }

    /// Removes a waiter that no longer waits. Returns whether it was found.
    pub fn remove_waiter(&mut self, id: SubmissionId, waiter: Waiter) -> bool {
        let Some(Record { state: State::Open(open), .. }) = self.get_mut(id) else {
            return false;
        };
        let before = open.waiters.len();
        open.waiters.retain(|w| *w != waiter);
        open.waiters.len() < before
    }

    /// Stores the output of a task. Returns the answer and its waiters if this was the last output.
    pub fn store(&mut self, id: SubmissionId, index: u16, output: Output) -> Option<Finish> {
        let record = self.get_mut(id)?;
        let State::Open(open) = &mut record.state else {
            return None;
        };
        let slot = open.outputs.get_mut(usize::from(index))?;
        if slot.replace(output).is_some() {
            return None;
        }
        open.remaining -= 1;
        if open.remaining > 0 {
            return None;
        }
        let outputs = std::mem::take(&mut open.outputs);
        self.finish(id, Answer::Complete(outputs.into_iter().flatten().collect()))
    }

    /// Sets a failure as the final answer. Returns `None` if the submission is unknown or already
    /// has an answer.
    pub fn fail(&mut self, id: SubmissionId, failure: Failure) -> Option<Finish> {
        self.finish(id, Answer::Failed(failure))
    }

    fn finish(&mut self, id: SubmissionId, answer: Answer) -> Option<Finish> {
        let record = self.get_mut(id)?;
        let State::Open(open) = &mut record.state else {
            return None;
        };
        let waiters = std::mem::take(&mut open.waiters);
        let answer = Arc::new(answer);
        let stored = StoredAnswer::Full(answer.clone());
        let size = stored.size();
        record.state = State::Finished(stored);
        self.open -= 1;
        self.keep(id, size);
        Some(Finish { answer, waiters })
    }

    fn keep(&mut self, id: SubmissionId, size: usize) {
        if size == 0 {
            return;
        }
        self.answer_bytes += size;
        self.answers.push_back(id);
        while self.answer_bytes > self.answer_limit {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            self.evict(oldest);
        }
    }

    fn evict(&mut self, id: SubmissionId) {
        let Some(Record { state: State::Finished(stored), .. }) = self.get_mut(id) else {
            return;
        };
        let size = stored.size();
        *stored = StoredAnswer::Evicted(expired_failure());
        self.answer_bytes -= size;
    }

    /// Returns the open submissions whose deadline has passed, each once. They stay open.
    pub fn take_overdue(&mut self, now: Time) -> Vec<Arc<Job>> {
        let mut due = Vec::new();
        while let Some(Reverse((deadline, id))) = self.deadlines.peek().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            if let Some(Record { state: State::Open(open), .. }) = self.get(id) {
                due.push(open.job.clone());
            }
        }
        due
    }

    /// Removes and returns the waiters whose deadline has passed while their submission is open.
    pub fn take_overdue_waiters(&mut self, now: Time) -> Vec<(SubmissionId, Waiter)> {
        let mut due = Vec::new();
        while let Some(early) = self.early_waiters.peek().copied() {
            if early.deadline > now {
                break;
            }
            self.early_waiters.pop();
            if self.remove_waiter(early.id, early.waiter) {
                due.push((early.id, early.waiter));
            }
        }
        due
    }

    /// Returns the earliest deadline. It may belong to a submission that has finished in the
    /// meantime.
    pub fn next_deadline(&self) -> Time {
        let job = self.deadlines.peek().map_or(Time::NEVER, |Reverse((time, _))| *time);
        let waiter = self.early_waiters.peek().map_or(Time::NEVER, |early| early.deadline);
        job.min(waiter)
    }

    /// Removes the finished submissions of `home` in epochs before `first`. An epoch with an open
    /// submission is kept completely.
    pub fn forget_epochs(&mut self, home: site::id::Home, first: u32) {
        let old: Vec<_> = self
            .epochs
            .range(site::id::Token { home, epoch: 0 }..site::id::Token { home, epoch: first })
            .filter(|(_, records)| records.values().all(|r| matches!(r.state, State::Finished(_))))
            .map(|(token, _)| *token)
            .collect();
        for token in old {
            self.drop_epoch(token);
        }
    }

    fn drop_epoch(&mut self, token: site::id::Token) {
        let Some(records) = self.epochs.remove(&token) else {
            return;
        };
        let freed: usize = records.values().map(size).sum();
        self.answer_bytes -= freed;
        self.answers.retain(|id| id.token != token);
    }

    /// Takes over a finished submission of a stopped home. Does nothing if its identifier is known.
    pub fn adopt(
        &mut self,
        id: SubmissionId,
        firm: FirmId,
        content_digest: u64,
        stored: StoredAnswer,
    ) {
        let size = stored.size();
        let record = Record { firm, content_digest, state: State::Finished(stored) };
        let records = self.epochs.entry(id.token).or_default();
        if records.contains_key(&id) {
            return;
        }
        records.insert(id, record);
        self.keep(id, size);
    }

    /// Iterates over all finished submissions, for a handover.
    pub fn finished(&self) -> impl Iterator<Item = (SubmissionId, &Record, &StoredAnswer)> {
        self.epochs.values().flatten().filter_map(|(id, record)| match &record.state {
            State::Finished(stored) => Some((*id, record, stored)),
            State::Open(_) => None,
        })
    }

    fn get(&self, id: SubmissionId) -> Option<&Record> {
        self.epochs.get(&id.token)?.get(&id)
    }

    fn get_mut(&mut self, id: SubmissionId) -> Option<&mut Record> {
        self.epochs.get_mut(&id.token)?.get_mut(&id)
    }
}

fn size(record: &Record) -> usize {
    match &record.state {
        State::Finished(stored) => stored.size(),
        State::Open(_) => 0,
    }
}

/// Returns the failure for an identifier whose answer is no longer kept.
pub fn expired_failure() -> Failure {
    Failure { outcome: Outcome::MayHaveRun, reason: Reason::Expired, retry_after: None }
}
