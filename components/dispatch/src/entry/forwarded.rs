//! Keeps the requests that were forwarded to other entries and are not yet answered.

use crate::{Message, message::RequestId};
use rustc_hash::FxHashMap;
use site::{
    id::{FirmId, Home, SubmissionId, WaiterId},
    submission::{Kind, Submission},
    unit::{Span, Time},
};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    sync::Arc,
};

/// Time for which the answer to a forwarded status request or cancellation is awaited.
pub(super) const STATUS_TIME_LIMIT: Span = Span::from_secs(5);

/// Time after a caller's deadline for which the home's own final answer is still awaited.
pub(super) const ANSWER_GRACE: Span = Span::from_millis(20);

/// A caller's request to the home of a submission.
#[derive(Clone, Debug)]
pub(super) enum Call {
    /// Submit, possibly again.
    Submit(Arc<Submission>),
    /// Wait for the answer.
    Fetch { id: SubmissionId, firm: FirmId },
    /// Cancel the submission.
    Cancel { id: SubmissionId, firm: FirmId },
    /// Request the status.
    Query { id: SubmissionId, firm: FirmId },
}

impl Call {
    pub(super) fn id(&self) -> SubmissionId {
        match self {
            Call::Submit(submission) => submission.id,
            Call::Fetch { id, .. } | Call::Cancel { id, .. } | Call::Query { id, .. } => *id,
        }
    }

    pub(super) fn firm(&self) -> FirmId {
        match self {
            Call::Submit(submission) => submission.firm,
            Call::Fetch { firm, .. } | Call::Cancel { firm, .. } | Call::Query { firm, .. } => {
                *firm
            }
        }
    }

    /// Returns the message to forward, with the time left until the caller's deadline.
    pub(super) fn message(&self, request: RequestId, deadline: Span) -> Message {
        match self {
            Call::Submit(submission) => {
                let mut submission = submission.clone();
                if submission.deadline > deadline {
                    Arc::make_mut(&mut submission).deadline = deadline;
                }
                Message::Submit { request, submission }
            }
            Call::Fetch { id, firm } => Message::Fetch { request, id: *id, firm: *firm, deadline },
            Call::Cancel { id, firm } => Message::Cancel { request, id: *id, firm: *firm },
            Call::Query { id, firm } => Message::Query { request, id: *id, firm: *firm },
        }
    }

    /// Whether another entry may run it once its home is gone.
    pub(super) fn may_run_elsewhere(&self) -> bool {
        match self {
            Call::Submit(s) => s.kind == Kind::Single && s.repeatable,
            _ => false,
        }
    }
}

/// A forwarded request that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct ForwardedRequest {
    pub(super) waiter: WaiterId,
    pub(super) call: Call,
    pub(super) to: Home,
    pub(super) deadline: Time,
}

/// All forwarded requests that have no answer yet.
#[derive(Debug, Default)]
pub(super) struct ForwardedRequests {
    last_id: RequestId,
    open: FxHashMap<RequestId, ForwardedRequest>,
    /// Requests by the entry that they were forwarded to, to find those that a change of that entry
    /// affects.
    pub(super) by_home: FxHashMap<Home, BTreeSet<RequestId>>,
    /// Requests by caller.
    by_waiter: FxHashMap<WaiterId, RequestId>,
    deadlines: BinaryHeap<Reverse<(Time, RequestId)>>,
}

impl ForwardedRequests {
    pub(super) fn add(&mut self, pending: ForwardedRequest) -> RequestId {
        self.last_id += 1;
        let request = self.last_id;
        self.deadlines.push(Reverse((pending.deadline, request)));
        self.by_home.entry(pending.to).or_default().insert(request);
        self.by_waiter.insert(pending.waiter, request);
        self.open.insert(request, pending);
        request
    }

    pub(super) fn remove(&mut self, request: RequestId) -> Option<ForwardedRequest> {
        let pending = self.open.remove(&request)?;
        self.by_waiter.remove(&pending.waiter);
        if let Some(requests) = self.by_home.get_mut(&pending.to) {
            requests.remove(&request);
            if requests.is_empty() {
                self.by_home.remove(&pending.to);
            }
        }
        Some(pending)
    }

    /// Removes the request of a caller that no longer waits.
    pub(super) fn abandon(&mut self, waiter: WaiterId) {
        if let Some(request) = self.by_waiter.get(&waiter).copied() {
            self.remove(request);
        }
    }

    /// Returns whether no forwarded request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the number of forwarded requests that are open.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn take_home(&mut self, home: Home) -> Vec<ForwardedRequest> {
        let requests = self.by_home.get(&home).cloned().unwrap_or_default();
        requests.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    pub(super) fn take_due(&mut self, now: Time) -> Vec<ForwardedRequest> {
        let mut due = Vec::new();
        while let Some(Reverse((deadline, request))) = self.deadlines.peek().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            due.extend(self.remove(request));
        }
        due
    }

    /// Returns the earliest deadline. It may belong to a request that has been answered.
    pub(super) fn next_deadline(&self) -> Time {
        self.deadlines.peek().map_or(Time::NEVER, |Reverse((time, _))| *time)
    }
}
