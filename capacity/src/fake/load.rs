//! Load on one entry in virtual time: jobs at a fixed rate, and endpoints that answer each task
//! after its run time.

use crate::fake::folder;
use bytes::Bytes;
use dispatch::{
    Action, Entry, Event, Message,
    entry::Options,
    event::{Reply, Report},
};
use site::{
    Site,
    id::{
        AttemptId, CrewId, DataCentreId, EntryId, FirmId, Home, Incarnation, RackId, ServiceId,
        SubmissionId, Token, WaiterId,
    },
    submission::{Answer, Kind, Output, Submission, Task},
    unit::{Accelerators, Cores, Memory, Resources, Revision, Slots, Span, Time},
};
use std::{collections::VecDeque, sync::Arc};
use uuid::Uuid;

/// Run time of each task.
pub const RUN_TIME: Span = Span::from_millis(400);

/// Resources that a worker reports as used by each task; equal to what its service declares.
const TASK_USAGE: Resources = Resources {
    slots: Slots(1),
    cores: Cores(1_000),
    memory: Memory(1 << 30),
    accelerators: Accelerators(0),
};

/// Deadline of each job, long enough that none is missed.
const DEADLINE: Span = Span::from_secs(86_400);

/// Returns the entry process number `number` in data centre `dc`.
pub fn home(dc: usize, number: usize) -> Home {
    Home {
        data_centre: DataCentreId::of(&folder::data_centre(dc)),
        entry: EntryId::of(&format!("entry-{dc}-{number}")),
        incarnation: Incarnation(mix(1 + (dc * 1_000 + number) as u64)),
    }
}

/// Creates the entry process `home` with the settings of `site` and without peers.
pub fn entry(home: Home, site: Arc<Site>, slots_per_lead: u32) -> Entry {
    Entry::new(Options {
        home,
        rack: RackId::default(),
        seed: 1,
        site,
        revision: Revision(1),
        membership: membership::Options::default(),
        answer_bytes: 64 << 20,
        slots_per_lead,
    })
}

/// Creates a submission of `tasks` tasks without bodies.
pub fn submission(
    token: Token,
    number: u64,
    tasks: usize,
    firm: FirmId,
    service: ServiceId,
) -> Arc<Submission> {
    let task = Task {
        body: Bytes::new(),
        content_type: "application/json".into(),
        needs: Resources::default(),
        run_time: Span::ZERO,
    };
    Arc::new(Submission {
        id: SubmissionId { token, unique: Uuid::from_u64_pair(mix(number), number) },
        kind: if tasks == 1 { Kind::Single } else { Kind::Job },
        firm,
        crew: CrewId::default(),
        service,
        repeatable: true,
        deadline: DEADLINE,
        tasks: vec![task; tasks],
    })
}

/// Returns an output without a body.
pub fn output() -> Output {
    Output { status: 200, content_type: "application/json".into(), body: Bytes::new() }
}

/// Spreads a small number over all 64 bits.
fn mix(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}

/// One entry under load, with its fake endpoints.
pub struct Load {
    /// Entry under load.
    pub entry: Entry,
    /// Current virtual time.
    pub now: Time,
    /// Service that all submissions use.
    pub service: ServiceId,
    /// Number of firms that submit in turn.
    pub firms: usize,
    /// Tasks in the complete answers so far.
    pub answered: u64,
    /// Messages that the entry sent, except heartbeats.
    pub sent: Vec<(Home, Message)>,
    running: VecDeque<(Time, AttemptId)>,
    actions: Vec<Action>,
    number: u64,
}

impl Load {
    /// Creates a load without submissions.
    pub fn new(entry: Entry, service: &str, firms: usize) -> Load {
        Load {
            entry,
            now: Time(1_000_000),
            service: ServiceId::of(service),
            firms,
            answered: 0,
            sent: Vec::new(),
            running: VecDeque::new(),
            actions: Vec::new(),
            number: 0,
        }
    }

    /// Creates one submission for each number in `tasks`, by all firms in turn.
    pub fn prepare(&mut self, tasks: impl IntoIterator<Item = usize>) -> Vec<Arc<Submission>> {
        let token = self.entry.own_token();
        let submission = |tasks| {
            self.number += 1;
            let firm = FirmId::of(&folder::firm(self.number as usize % self.firms));
            submission(token, self.number, tasks, firm, self.service)
        };
        tasks.into_iter().map(submission).collect()
    }

    /// Submits in order, and advances the time by `gap` for each task.
    pub fn run(&mut self, submissions: Vec<Arc<Submission>>, gap: Span) {
        for submission in submissions {
            let next = self.now + Span(gap.0 * submission.tasks.len() as u64);
            let waiter = WaiterId(self.number);
            self.handle(Event::Submit { waiter, submission });
            self.advance(next);
        }
    }

    /// Advances the virtual time to `until`, and handles all timers and task ends on the way.
    pub fn advance(&mut self, until: Time) {
        loop {
            let timer = self.entry.next_timer();
            let end = self.running.front().map_or(Time::NEVER, |(end, _)| *end);
            let next = timer.min(end);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            match self.running.pop_front_if(|(end, _)| *end <= next) {
                Some((_, attempt)) => self.finish(attempt),
                None => self.handle(Event::Tick),
            }
        }
        self.now = until;
    }

    /// Advances the virtual time until every running task has ended.
    pub fn finish_all(&mut self) {
        while let Some((end, _)) = self.running.back().copied() {
            self.advance(end);
        }
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Reports the end of an attempt. Workers also report the resources that a task used, executors
    /// don't.
    fn finish(&mut self, attempt: AttemptId) {
        if self.service == ServiceId::of(folder::REPORT) {
            self.handle(Event::Usage { attempt, measured: TASK_USAGE });
        }
        let reply = Reply::Done(output());
        let report = Report { attempt, reply, leaving: false, elapsed: RUN_TIME };
        self.handle(Event::Report(report));
    }

    /// Passes an event to the entry and carries out the resulting actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.entry.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Start(start) => {
                    self.running.push_back((self.now + RUN_TIME, start.attempt));
                }
                Action::Answer { answer, .. } => {
                    if let Answer::Complete(outputs) = &*answer {
                        self.answered += outputs.len() as u64;
                    }
                }
                Action::Send { message: Message::Heartbeat(_), .. } => {}
                Action::Send { to, message } => self.sent.push((to, message)),
                _ => {}
            }
        }
        self.actions = actions;
    }
}
