//! Requests that were sent on to another entry.

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

/// How long a status or a cancellation is waited for.
pub(super) const STATUS_TIME_LIMIT: Span = Span::from_secs(5);

/// How long after a caller's deadline the home's own final answer is waited for.
pub(super) const ANSWER_GRACE: Span = Span::from_millis(20);

/// What a caller asks of a home.
#[derive(Clone, Debug)]
pub(super) enum Request {
    /// Submit, or submit again.
    Submit(Arc<Submission>),
    /// Wait for the answer.
    Fetch { id: SubmissionId, firm: FirmId },
    /// Cancel.
    Cancel { id: SubmissionId, firm: FirmId },
    /// Ask how far it has come.
    Query { id: SubmissionId, firm: FirmId },
}

impl Request {
    pub(super) fn id(&self) -> SubmissionId {
        match self {
            Request::Submit(submission) => submission.id,
            Request::Fetch { id, .. } | Request::Cancel { id, .. } | Request::Query { id, .. } => {
                *id
            }
        }
    }

    pub(super) fn firm(&self) -> FirmId {
        match self {
            Request::Submit(submission) => submission.firm,
            Request::Fetch { firm, .. }
            | Request::Cancel { firm, .. }
            | Request::Query { firm, .. } => *firm,
        }
    }

    /// The message, with what is left until the caller's deadline.
    pub(super) fn message(&self, request: RequestId, deadline: Span) -> Message {
        match self {
            Request::Submit(submission) => {
                let mut submission = submission.clone();
                if submission.deadline > deadline {
                    Arc::make_mut(&mut submission).deadline = deadline;
                }
                Message::Submit { request, submission }
            }
            Request::Fetch { id, firm } => {
                Message::Fetch { request, id: *id, firm: *firm, deadline }
            }
            Request::Cancel { id, firm } => Message::Cancel { request, id: *id, firm: *firm },
            Request::Query { id, firm } => Message::Query { request, id: *id, firm: *firm },
        }
    }

    /// Whether another entry may run it once its home is gone.
    pub(super) fn may_run_elsewhere(&self) -> bool {
        match self {
            Request::Submit(s) => s.kind == Kind::Single && s.repeatable,
            _ => false,
        }
    }
}

/// A request that was sent on and has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct ForwardedRequest {
    pub(super) waiter: WaiterId,
    pub(super) ask: Request,
    pub(super) to: Home,
    pub(super) deadline: Time,
}

/// All requests that were sent on.
#[derive(Debug, Default)]
pub(super) struct ForwardedRequests {
    last: RequestId,
    open: FxHashMap<RequestId, ForwardedRequest>,
    /// By home, to find what a change of the home concerns.
    pub(super) by_home: FxHashMap<Home, BTreeSet<RequestId>>,
    /// By caller.
    by_waiter: FxHashMap<WaiterId, RequestId>,
    deadlines: BinaryHeap<Reverse<(Time, RequestId)>>,
}

impl ForwardedRequests {
    pub(super) fn add(&mut self, route: ForwardedRequest) -> RequestId {
        self.last += 1;
        let request = self.last;
        self.deadlines.push(Reverse((route.deadline, request)));
        self.by_home.entry(route.to).or_default().insert(request);
        self.by_waiter.insert(route.waiter, request);
        self.open.insert(request, route);
        request
    }

    pub(super) fn remove(&mut self, request: RequestId) -> Option<ForwardedRequest> {
        let route = self.open.remove(&request)?;
        self.by_waiter.remove(&route.waiter);
        if let Some(requests) = self.by_home.get_mut(&route.to) {
            requests.remove(&request);
            if requests.is_empty() {
                self.by_home.remove(&route.to);
            }
        }
        Some(route)
    }

    /// Forgets what a caller waits for.
    pub(super) fn abandon(&mut self, waiter: WaiterId) {
        if let Some(request) = self.by_waiter.get(&waiter).copied() {
            self.remove(request);
        }
    }

    /// Whether nothing is waited for.
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Requests that wait for other entries.
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

    /// The earliest deadline; it may belong to a request that was answered.
    pub(super) fn next_deadline(&self) -> Time {
        self.deadlines.peek().map_or(Time::NEVER, |Reverse((time, _))| *time)
    }
}
