//! Simulation in virtual time: entries, endpoints and the messages between them.

use crate::{
    baselines::{Logic, job_index},
    case::{Case, Fault},
    report::tally::{BUCKET, Tally},
    workload::{
        load::Job,
        model::{ENDPOINTS, ENTRIES, Model, SLOTS},
    },
};
use dispatch::{
    Action, Decision, Event,
    action::Cause,
    event::{Refusal, Reply, Report},
};
use site::{
    id::{AttemptId, EndpointId, Home, SubmissionId, WaiterId},
    service::Place,
    submission::Output,
    unit::{Resources, Span, Time},
};
use std::{
    collections::{BTreeMap, HashMap},
    ops::Range,
    sync::Arc,
};

/// Time until the loss of an entry or link is detected.
const FAILURE_DETECTION_DELAY: Span = Span::from_secs(2);
/// Time until a connection is refused, and until a black hole fails a task.
const FAST_FAILURE: Span = Span::from_millis(1);
/// Delay of a worker's usage measurements.
const USAGE_LAG: Span = Span::from_secs(1);
const CUT_DURATION: Span = Span::from_secs(10);
const FREEZE_DURATION: Span = Span::from_secs(5);
/// Indices of the endpoints that are affected by each fault.
const DEAD_ENDPOINTS: Range<usize> = 0..5;
const BLACK_HOLE_ENDPOINTS: Range<usize> = 10..12;
const STRAGGLER_ENDPOINTS: Range<usize> = 20..25;
pub(crate) const LEAVING_ENDPOINTS: Range<usize> = 30..35;
/// Identifier of the caller that waits for the outcome of a cancellation.
const CANCELLER: WaiterId = WaiterId(u64::MAX);

#[derive(Debug)]
enum ScheduledEvent {
    Arrive(usize),
    Deliver(usize, Event),
    Timer(usize),
    Reach(Start),
    Finish(Start, Reply),
    InjectFault(Fault),
    Reconnect,
    Sample,
}

/// A task that is being sent to an endpoint or runs there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start {
    entry: usize,
    pub(crate) endpoint: usize,
    attempt: AttemptId,
    pub(crate) job: usize,
    pub(crate) index: usize,
    pub(crate) sent: Time,
    /// One-way latency.
    latency: Span,
    /// Whether the endpoint was isolated before.
    pub(crate) probe: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum State {
    #[default]
    Healthy,
    Dead,
    BlackHole,
    Slow,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) state: State,
    running: u32,
    pub(crate) used: Resources,
    isolated: bool,
}

pub(crate) struct World<'a> {
    case: &'a Case,
    jobs: &'a [Job],
    now: Time,
    schedule: BTreeMap<(Time, u64), ScheduledEvent>,
    sequence: u64,
    entries: Vec<Option<Logic>>,
    homes: Vec<Home>,
    endpoint_indices: HashMap<EndpointId, usize>,
    endpoints: [Endpoint; ENDPOINTS],
    /// Time at which each entry's timer fires; `frozen` holds the time until which it is frozen.
    timers: [Time; ENTRIES],
    frozen: [Time; ENTRIES],
    /// Index of the data centre that has lost its links; `None` if there is none.
    cut: Option<usize>,
    submitted: BTreeMap<usize, SubmissionId>,
    pub(crate) tally: Tally,
}

impl<'a> World<'a> {
    pub(crate) fn new(case: &'a Case, jobs: &'a [Job]) -> World<'a> {
        let site = Arc::new(case.model.site());
        let mut world = World {
            case,
            jobs,
            now: Time(0),
            schedule: BTreeMap::new(),
            sequence: 0,
            entries: (0..ENTRIES).map(|i| Some(Logic::new(case, i, &site))).collect(),
            homes: (0..ENTRIES).map(|i| case.model.home(i)).collect(),
            endpoint_indices: (0..ENDPOINTS).map(|i| (Model::endpoint(i), i)).collect(),
            endpoints: [Endpoint::default(); ENDPOINTS],
            timers: [Time::NEVER; ENTRIES],
            frozen: [Time(0); ENTRIES],
            cut: None,
            submitted: BTreeMap::new(),
            tally: Tally::default(),
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        self.deliver_peer_events(Span::ZERO, |peer| Event::PeerUp { peer }, |a, b| a != b);
        for entry in 0..ENTRIES {
            let event = Event::Registry { entries: self.homes.clone() };
            self.schedule_at(Time(0), ScheduledEvent::Deliver(entry, event));
            self.schedule_at(Time(1), ScheduledEvent::Timer(entry));
        }
        for (i, job) in self.jobs.iter().enumerate() {
            self.schedule_at(job.at, ScheduledEvent::Arrive(i));
        }
        for bucket in 1..=self.case.length.0 / BUCKET.0 {
            self.schedule_at(Time(bucket * BUCKET.0), ScheduledEvent::Sample);
        }
        for fault in &self.case.faults {
            let time = if fault.is_permanent() { Time(0) } else { self.case.fault_start() };
            self.schedule_at(time, ScheduledEvent::InjectFault(*fault));
        }
    }

    fn schedule_at(&mut self, time: Time, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.schedule.insert((time, self.sequence), scheduled);
    }

    pub(crate) fn run(&mut self, end: Time) {
        while let Some(((time, _), scheduled)) = self.schedule.pop_first()
            && time <= end
        {
            self.now = time;
            self.process(scheduled);
        }
    }

    fn process(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrive(job) => self.submit(job),
            ScheduledEvent::Deliver(entry, event) => self.deliver(entry, event),
            ScheduledEvent::Timer(entry) => {
                if self.timers[entry] <= self.now {
                    self.timers[entry] = Time::NEVER;
                }
                self.deliver(entry, Event::Tick);
            }
            ScheduledEvent::Reach(start) => self.reach(start),
            ScheduledEvent::Finish(start, reply) => self.finish(start, reply),
            ScheduledEvent::InjectFault(fault) => self.inject_fault(fault),
            ScheduledEvent::Reconnect => {
                let dc = self.cut.take();
                let event = |peer| Event::PeerUp { peer };
                let model = &self.case.model;
                self.deliver_peer_events(Span::ZERO, event, |a, b| model.is_cut(dc, a, b));
            }
            ScheduledEvent::Sample => self.tally.sample(),
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        let down = |peer| Event::PeerDown { peer };
        let lead = self.entries[0].as_ref().and_then(Logic::lead);
        let lead = self.homes.iter().position(|home| Some(*home) == lead).unwrap_or(0);
        let mut set = |range: Range<usize>, state| {
            self.endpoints[range].iter_mut().for_each(|endpoint| endpoint.state = state);
        };
        match fault {
            Fault::Dead => set(DEAD_ENDPOINTS, State::Dead),
            Fault::BlackHoles => set(BLACK_HOLE_ENDPOINTS, State::BlackHole),
            Fault::Stragglers => set(STRAGGLER_ENDPOINTS, State::Slow),
            Fault::Cancel => self.cancel(),
            Fault::Cut => {
                let model = &self.case.model;
                self.cut = Some(lead % model.data_centres);
                let dc = self.cut;
                self.deliver_peer_events(FAILURE_DETECTION_DELAY, down, |a, b| {
                    model.is_cut(dc, a, b)
                });
                self.schedule_at(self.now + CUT_DURATION, ScheduledEvent::Reconnect);
            }
            Fault::Kill => {
                self.entries[lead] = None;
                self.deliver_peer_events(FAILURE_DETECTION_DELAY, down, |_, peer| peer == lead);
            }
            Fault::Freeze => self.frozen[lead] = self.now + FREEZE_DURATION,
            Fault::Leaving => {
                let leaving: Vec<_> = LEAVING_ENDPOINTS.map(Model::endpoint).collect();
                for entry in 0..ENTRIES {
                    let leaving = leaving.clone();
                    self.deliver(entry, Event::Machines { gone: Vec::new(), leaving });
                }
            }
            Fault::None | Fault::Burst | Fault::Hints | Fault::Fair | Fault::Platform => {}
        }
    }

    /// Delivers an event about each peer for which `which` holds.
    fn deliver_peer_events(
        &mut self,
        wait: Span,
        event: impl Fn(Home) -> Event,
        which: impl Fn(usize, usize) -> bool,
    ) {
        for entry in 0..ENTRIES {
            for peer in (0..ENTRIES).filter(|peer| which(entry, *peer)) {
                self.schedule_at(
                    self.now + wait,
                    ScheduledEvent::Deliver(entry, event(self.homes[peer])),
                );
            }
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.case.model.is_cut(self.cut, a, b)
    }

    /// Cancels every second open job.
    fn cancel(&mut self) {
        let open = |job: &usize| !self.tally.responses.contains_key(job);
        let open: Vec<_> = self.submitted.keys().copied().filter(open).collect();
        for number in open.into_iter().step_by(2) {
            let (job, id) = (&self.jobs[number], self.submitted[&number]);
            let event = Event::Cancel { waiter: CANCELLER, id, firm: Model::firm(job.firm) };
            self.deliver(job.entry, event);
        }
    }

    fn submit(&mut self, number: usize) {
        let job = &self.jobs[number];
        // The load balancer skips entries that were killed.
        let mut live = (0..ENTRIES).map(|i| (job.entry + i) % ENTRIES);
        let target = live.find(|i| self.entries[*i].is_some()).expect("some entry lives");
        let token = self.entries[target].as_ref().expect("it lives").token();
        let submission = Arc::new(job.submission(number, token));
        self.submitted.insert(number, submission.id);
        self.tally.submit(number, job);
        self.deliver(target, Event::Submit { waiter: WaiterId(number as u64), submission });
    }

    /// Delivers an event to an entry, after its freeze if it is frozen.
    fn deliver(&mut self, entry: usize, event: Event) {
        if self.now < self.frozen[entry] {
            return self.schedule_at(self.frozen[entry], ScheduledEvent::Deliver(entry, event));
        }
        let Some(logic) = self.entries[entry].as_mut() else { return };
        let mut actions = Vec::new();
        logic.handle(self.now, event, &mut actions);
        let due = logic.next_timer().max(self.now);
        if due < self.timers[entry] {
            self.timers[entry] = due;
            self.schedule_at(due, ScheduledEvent::Timer(entry));
        }
        for action in actions {
            self.execute(entry, action);
        }
    }

    fn execute(&mut self, entry: usize, action: Action) {
        match action {
            Action::Start(start) => self.start(entry, &start),
            Action::Send { to, message } => {
                self.tally.send(&message);
                let to = self.homes.iter().position(|home| *home == to).expect("a known home");
                if !self.is_cut(entry, to) {
                    let time = self.now + self.case.model.distance(entry, to);
                    let event = Event::Message { from: self.homes[entry], message };
                    self.schedule_at(time, ScheduledEvent::Deliver(to, event));
                }
            }
            Action::Answer { waiter, id, answer } if waiter != CANCELLER => {
                let number = waiter.0 as usize;
                self.tally.answer(number, &self.jobs[number], id, &answer, self.now);
            }
            Action::Stop { .. } => self.tally.messages += 1,
            Action::Claim { .. } => self.tally.claims += 1,
            Action::Log(Decision::Refuse { id, .. }) => self.tally.refuse(id, self.now),
            Action::Log(Decision::Isolate { endpoint, cause: Cause::Failures, .. }) => {
                self.endpoints[self.endpoint_indices[&endpoint]].isolated = true;
            }
            Action::Answer { .. } | Action::Log(_) | Action::Status { .. } | Action::Exit => {}
        }
    }

    fn start(&mut self, entry: usize, start: &dispatch::action::Start) {
        let endpoint = self.endpoint_indices[&start.endpoint];
        let (job, index) = job_index(&start.submission, start.task.index);
        let (attempt, sent) = (start.attempt, self.now);
        let latency = self.case.model.distance(entry, endpoint);
        let probe = self.endpoints[endpoint].isolated;
        let start = Start { entry, endpoint, attempt, job, index, sent, latency, probe };
        self.tally.start(self.case, &start);
        self.schedule_at(sent + latency, ScheduledEvent::Reach(start));
    }

    fn reach(&mut self, start: Start) {
        if self.is_cut(start.entry, start.endpoint) {
            return self.report(start, Reply::Lost, FAILURE_DETECTION_DELAY);
        }
        let job = &self.jobs[start.job];
        let task = &job.tasks[start.index];
        let endpoint = &mut self.endpoints[start.endpoint];
        let full = self.case.model.place == Place::Executors && endpoint.running >= SLOTS;
        let done = Reply::Done(output());
        let (run_time, reply) = match endpoint.state {
            State::Dead => return self.refuse(start, Reply::NotSent),
            _ if full => return self.refuse(start, Reply::Refused(Refusal::Busy)),
            State::BlackHole => (FAST_FAILURE, Reply::Failed(output())),
            State::Slow => (Span(task.run_time.0 * 5), done),
            State::Healthy => (task.run_time, done),
        };
        endpoint.running += 1;
        endpoint.used = endpoint.used.plus(&task.uses);
        self.tally.run(self.case, &start, job, endpoint, self.now, run_time);
        self.schedule_at(self.now + run_time, ScheduledEvent::Finish(start, reply));
        if self.case.model.place == Place::Workers {
            let event = Event::Usage { attempt: start.attempt, measured: task.uses };
            self.schedule_at(self.now + USAGE_LAG, ScheduledEvent::Deliver(start.entry, event));
        }
    }

    fn refuse(&mut self, start: Start, reply: Reply) {
        self.tally.refused_starts += 1;
        self.report(start, reply, start.latency + FAST_FAILURE);
    }

    fn finish(&mut self, start: Start, reply: Reply) {
        let endpoint = &mut self.endpoints[start.endpoint];
        endpoint.running -= 1;
        endpoint.used = endpoint.used.minus(&self.jobs[start.job].tasks[start.index].uses);
        self.tally.done += u64::from(matches!(reply, Reply::Done(_)));
        match self.is_cut(start.entry, start.endpoint) {
            true => self.report(start, Reply::Lost, FAILURE_DETECTION_DELAY),
            false => self.report(start, reply, start.latency),
        }
    }

    /// Reports the end of an attempt to the entry.
    fn report(&mut self, start: Start, reply: Reply, wait: Span) {
        let time = self.now + wait;
        let elapsed = time.since(start.sent);
        let report = Report { attempt: start.attempt, reply, leaving: false, elapsed };
        self.schedule_at(time, ScheduledEvent::Deliver(start.entry, Event::Report(report)));
    }
}

pub(crate) fn output() -> Output {
    Output { status: 200, content_type: "".into(), body: bytes::Bytes::new() }
}
