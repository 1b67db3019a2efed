//! Baseline policies that entries run instead of the decision logic: rules without messages between
//! entries, and one in which a single entry counts the slots of each executor.

use crate::{
    case::Case,
    workload::model::{ENDPOINTS, ENTRIES, Model, SLOTS},
    world::output,
};
use clap::ValueEnum;
use dispatch::{
    Action, Entry, Event, Message,
    action::Start,
    entry::Options,
    event::{Reply, Report},
};
use membership::View;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use site::{
    Site,
    id::{AttemptId, Home, RackId, SubmissionId, TaskId, Token, WaiterId},
    submission::{Answer, Failure, Outcome, Reason, Submission},
    unit::{Resources, Revision, Span, Time},
};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Delay after which a refused task is retried, unless one of the entry's tasks ends earlier.
const RETRY_DELAY: Span = Span::from_millis(5);
/// Maximum number of queued tasks that are started when the retry timer fires.
const MAX_TASKS_PER_RETRY: usize = 8;

/// The rule by which tasks are placed on endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Policy {
    /// The decision logic with few entries that place tasks.
    Chosen,
    /// The decision logic with all entries placing tasks, on kept and lent slots.
    Lending,
    /// Each executor's slots are counted by one entry, to which the others send batches of tasks.
    Batches,
    Random,
    RoundRobin,
    /// Of two random endpoints, the one with fewer own tasks.
    TwoChoices,
    /// The endpoint with the fewest own tasks.
    LeastLoaded,
}

/// The placement logic of an entry.
pub(crate) enum Logic {
    Dispatch(Box<Entry>),
    Baseline(Box<Baseline>),
}

impl Logic {
    pub(crate) fn new(case: &Case, i: usize, site: &Arc<Site>) -> Logic {
        let mut options = Options {
            home: case.model.home(i),
            rack: RackId::default(),
            seed: case.seed ^ i as u64,
            site: site.clone(),
            revision: Revision(1),
            membership: membership::Options::default(),
            answer_bytes: 64 << 20,
            slots_per_lead: case.model.slots_per_lead,
        };
        match case.policy {
            Policy::Chosen => Logic::Dispatch(Box::new(Entry::new(options))),
            Policy::Lending => {
                options.slots_per_lead = 1;
                Logic::Dispatch(Box::new(Entry::new(options)))
            }
            _ => Logic::Baseline(Box::new(Baseline::new(case, i))),
        }
    }

    pub(crate) fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match self {
            Logic::Dispatch(entry) => entry.handle(now, event, out),
            Logic::Baseline(baseline) => baseline.handle(now, event, out),
        }
    }

    pub(crate) fn next_timer(&self) -> Time {
        match self {
            Logic::Dispatch(entry) => entry.next_timer(),
            Logic::Baseline(baseline) => baseline.retry_at,
        }
    }

    /// Returns the token from which callers build submission identifiers.
    pub(crate) fn token(&self) -> Token {
        match self {
            Logic::Dispatch(entry) => entry.token(),
            Logic::Baseline(baseline) => Token { home: baseline.home, epoch: 0 },
        }
    }

    /// Returns the first lead entry, which places tasks for others; `None` for a baseline.
    pub(crate) fn lead(&self) -> Option<Home> {
        match self {
            Logic::Dispatch(entry) => entry.leads().first().copied(),
            Logic::Baseline(_) => None,
        }
    }
}

/// Returns the driver's job number of a task and its index in that job. The index differs from the
/// one in the submission when a batch holds only some tasks of the job.
pub(crate) fn job_index(submission: &Submission, index: u16) -> (usize, usize) {
    let (_, job) = submission.id.unique.as_u64_pair();
    let body = &submission.tasks[usize::from(index)].body;
    let index = usize::from_le_bytes(body.as_ref().try_into().expect("the driver's body"));
    (job as usize, index)
}

/// The receiver of the answer to a job or batch.
#[derive(Clone, Copy)]
enum Waiter {
    Caller(WaiterId),
    Peer(Home, u64),
}

/// A job of a caller, or a batch of its tasks that another entry sent.
struct Part {
    waiter: Waiter,
    submission: Arc<Submission>,
    /// Tasks without an output.
    remaining: usize,
    deadline: Time,
}

/// A task that was sent to an endpoint.
struct Attempt {
    part: u64,
    index: u16,
    endpoint: usize,
}

/// A baseline entry, which knows only its own tasks.
pub(crate) struct Baseline {
    policy: Policy,
    home: Home,
    /// Each entry with the number of its endpoints and of the tasks of this entry that it has not
    /// answered.
    peers: Vec<(Home, usize, usize)>,
    /// Indices of the endpoints that this entry may use; `loads` counts its tasks on every endpoint.
    usable: Vec<usize>,
    loads: [u32; ENDPOINTS],
    parts: HashMap<u64, Part>,
    queue: VecDeque<(u64, u16)>,
    attempts: HashMap<AttemptId, Attempt>,
    sequence: u64,
    round_robin_index: usize,
    /// Time at which queued tasks are retried.
    retry_at: Time,
    random: ChaCha8Rng,
}

impl Baseline {
    fn new(case: &Case, i: usize) -> Baseline {
        let homes: Vec<_> = (0..ENTRIES).map(|i| case.model.home(i)).collect();
        let keeper = |i: usize| View::keeper_among(&homes, Model::endpoint(i));
        let kept = |home: &Home| -> Vec<usize> {
            (0..ENDPOINTS).filter(|i| keeper(*i) == Some(*home)).collect()
        };
        let usable = match case.policy {
            Policy::Batches => kept(&homes[i]),
            _ => (0..ENDPOINTS).collect(),
        };
        let peer = |home: &Home| (*home, kept(home).len(), 0);
        Baseline {
            policy: case.policy,
            home: homes[i],
            peers: homes.iter().map(peer).collect(),
            usable,
            loads: [0; ENDPOINTS],
            parts: HashMap::new(),
            queue: VecDeque::new(),
            attempts: HashMap::new(),
            sequence: 0,
            round_robin_index: i,
            retry_at: Time::NEVER,
            random: ChaCha8Rng::seed_from_u64(case.seed ^ i as u64),
        }
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit { waiter, submission } => {
                self.submit(now, Waiter::Caller(waiter), submission, out);
            }
            Event::Message { from, message: Message::Submit { request, submission } } => {
                self.submit(now, Waiter::Peer(from, request), submission, out);
            }
            Event::Message { from, message: Message::Answered { request, answer } } => {
                self.handle_answer(from, request, &answer, out);
            }
            Event::Report(report) => self.report(now, report, out),
            Event::Cancel { id, .. } => {
                let found = self.parts.iter().find(|(_, part)| part.submission.id == id);
                if let Some(part) = found.map(|(part, _)| *part) {
                    self.fail(part, Reason::Cancelled, out);
                }
            }
            Event::Tick if now >= self.retry_at => self.start_queued(now, MAX_TASKS_PER_RETRY, out),
            _ => {}
        }
    }

    fn submit(
        &mut self,
        now: Time,
        waiter: Waiter,
        submission: Arc<Submission>,
        out: &mut Vec<Action>,
    ) {
        self.sequence += 1;
        let number = self.sequence;
        let remaining = submission.tasks.len();
        let deadline = now + submission.deadline;
        let was_empty = self.queue.is_empty();
        match (self.policy, waiter) {
            (Policy::Batches, Waiter::Caller(_)) => self.distribute(number, &submission, out),
            _ => self.queue.extend((0..remaining as u16).map(|index| (number, index))),
        }
        self.parts.insert(number, Part { waiter, submission, remaining, deadline });
        // Tasks that are already queued are started before new ones.
        if was_empty || self.policy == Policy::Batches {
            self.start_queued(now, usize::MAX, out);
        }
    }

    /// Assigns each task to the entry with the fewest unanswered tasks per endpoint.
    fn distribute(&mut self, number: u64, submission: &Arc<Submission>, out: &mut Vec<Action>) {
        let mut batches = vec![Vec::new(); ENTRIES];
        let first = self.random.random_range(0..ENTRIES);
        for index in 0..submission.tasks.len() as u16 {
            let load = |i: &usize| {
                let (_, endpoints, tasks) = self.peers[*i];
                (tasks as f64 + 1.0) / endpoints as f64
            };
            let order = (0..ENTRIES).map(|i| (first + i) % ENTRIES);
            let target = order.min_by(|a, b| load(a).total_cmp(&load(b))).expect("an entry");
            self.peers[target].2 += 1;
            batches[target].push(index);
        }
        for (target, batch) in batches.into_iter().enumerate().filter(|(_, b)| !b.is_empty()) {
            let to = self.peers[target].0;
            if to == self.home {
                self.queue.extend(batch.iter().map(|index| (number, *index)));
                continue;
            }
            let tasks = batch.iter().map(|i| submission.tasks[usize::from(*i)].clone()).collect();
            let submission = Arc::new(Submission { tasks, ..Submission::clone(submission) });
            out.push(Action::Send { to, message: Message::Submit { request: number, submission } });
        }
    }

    fn handle_answer(&mut self, from: Home, part: u64, answer: &Answer, out: &mut Vec<Action>) {
        match answer {
            Answer::Complete(outputs) => self.complete(from, part, outputs.len(), out),
            Answer::Failed(failure) => self.fail(part, failure.reason, out),
        }
    }

    /// Starts up to `max_tasks` queued tasks.
    fn start_queued(&mut self, now: Time, max_tasks: usize, out: &mut Vec<Action>) {
        for _ in 0..max_tasks {
            let Some((part, index)) = self.queue.front().copied() else { break };
            let Some(known) = self.parts.get(&part) else {
                self.queue.pop_front();
                continue;
            };
            if known.deadline < now {
                self.fail(part, Reason::Deadline, out);
                continue;
            }
            let Some(endpoint) = self.choose_endpoint() else { break };
            self.queue.pop_front();
            self.start(part, index, endpoint, out);
        }
        let needs_retry = !self.queue.is_empty() && self.policy != Policy::Batches;
        self.retry_at = if needs_retry { now + RETRY_DELAY } else { Time::NEVER };
    }

    /// Chooses an endpoint whose slots are not all taken by this entry's own tasks.
    fn choose_endpoint(&mut self) -> Option<usize> {
        let (loads, random) = (&self.loads, &mut self.random);
        let open: Vec<_> = self.usable.iter().copied().filter(|i| loads[*i] < SLOTS).collect();
        self.round_robin_index += 1;
        match self.policy {
            Policy::Random => open.choose(random).copied(),
            Policy::RoundRobin => open.get(self.round_robin_index % open.len().max(1)).copied(),
            Policy::TwoChoices => {
                let two = open.choose_multiple(random, 2);
                two.min_by_key(|i| loads[**i]).copied()
            }
            _ => {
                let all = open.choose_multiple(random, open.len());
                all.min_by_key(|i| loads[**i]).copied()
            }
        }
    }

    fn start(&mut self, part: u64, index: u16, endpoint: usize, out: &mut Vec<Action>) {
        self.sequence += 1;
        let attempt = AttemptId(self.sequence);
        let known = &self.parts[&part];
        let start = Start {
            attempt,
            endpoint: Model::endpoint(endpoint),
            task: TaskId { submission: known.submission.id, index },
            submission: known.submission.clone(),
            needs: Resources::SLOT,
            time_limit: known.submission.deadline,
        };
        self.loads[endpoint] += 1;
        self.attempts.insert(attempt, Attempt { part, index, endpoint });
        out.push(Action::Start(start));
    }

    fn report(&mut self, now: Time, report: Report, out: &mut Vec<Action>) {
        let attempt = self.attempts.remove(&report.attempt).expect("a known attempt");
        let Attempt { part, index, endpoint } = attempt;
        self.loads[endpoint] -= 1;
        match report.reply {
            Reply::Done(_) => self.complete(self.home, part, 1, out),
            Reply::Refused(_) | Reply::NotSent => {
                self.queue.push_front((part, index));
                self.retry_at = self.retry_at.min(now + RETRY_DELAY);
                return;
            }
            _ => self.fail(part, Reason::Endpoint, out),
        }
        let max_tasks = if self.policy == Policy::Batches { usize::MAX } else { 1 };
        self.start_queued(now, max_tasks, out);
    }

    /// Records outputs that `from` received for a job or batch.
    fn complete(&mut self, from: Home, number: u64, outputs: usize, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get_mut(&number) else { return };
        part.remaining -= outputs;
        if matches!(part.waiter, Waiter::Caller(_)) {
            let peer = self.peers.iter_mut().find(|(home, ..)| *home == from);
            let tasks = &mut peer.expect("a known entry").2;
            *tasks = tasks.saturating_sub(outputs);
        }
        if part.remaining == 0 {
            let count = part.submission.tasks.len();
            self.answer(number, Answer::Complete(vec![output(); count]), out);
        }
    }

    fn fail(&mut self, part: u64, reason: Reason, out: &mut Vec<Action>) {
        let outcome = Outcome::MayHaveRun;
        self.answer(part, Answer::Failed(Failure { outcome, reason, retry_after: None }), out);
    }

    fn answer(&mut self, part: u64, answer: Answer, out: &mut Vec<Action>) {
        let Some(Part { waiter, submission, .. }) = self.parts.remove(&part) else { return };
        let (id, answer): (SubmissionId, _) = (submission.id, Arc::new(answer));
        out.push(match waiter {
            Waiter::Caller(waiter) => Action::Answer { waiter, id, answer },
            Waiter::Peer(to, request) => {
                Action::Send { to, message: Message::Answered { request, answer } }
            }
        });
    }
}
