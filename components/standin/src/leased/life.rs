//! One life of an executor that takes orders under a lease: what runs, what has ended, who may
//! give orders.

use runs::{
    action::{Poll, Start},
    executor::{Ended, Incarnation, Listing, Refusal, Response, RunResult, StartResponse},
    job::Run,
};
use site::unit::{Resources, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Longest lease, in milliseconds of the executor's clock.
const LEASE_MOST: u64 = 1_000;

/// How long a stop takes.
const STOP_US: u64 = 30_000;

/// A run that is there.
#[derive(Clone, Debug)]
pub struct Running {
    /// When it ends by itself.
    pub ends: Time,
    /// How it ends then.
    pub how: RunResult,
    /// What it uses.
    pub needs: Resources,
}

/// One life of an executor.
#[derive(Debug)]
pub struct Life {
    /// What its runs may use together.
    pub capacity: Resources,
    /// The clock runs this many parts in a thousand slow.
    pub slow: u64,
    /// What the clock showed at time 0.
    offset: u64,
    /// What runs.
    pub running: BTreeMap<Run, Running>,
    /// Ends that were not acknowledged.
    ended: Vec<Ended>,
    /// The number of the next end.
    next: u64,
    /// The highest token seen.
    fence: u64,
    /// When the lease lapses, on its clock.
    deadline: u64,
    /// Highest run of each task that ended or was stopped.
    past: BTreeMap<(String, u16), u32>,
    /// Tasks that have run to their ends, by job and index.
    pub done: BTreeSet<(String, u16)>,
    /// It takes orders, but neither carries them out nor answers.
    pub dark_until: Time,
    /// Tells its lives apart, where they share a name.
    pub born: Option<Incarnation>,
    /// Whether it is up.
    pub up: bool,
    /// Tasks take this many times as long.
    pub factor: u64,
    /// It fails all that it starts.
    pub fails: bool,
}

impl Life {
    /// A life that begins with nothing running.
    pub fn new(capacity: Resources, slow: u64, offset: u64) -> Self {
        Self {
            capacity,
            slow,
            offset,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            fence: 0,
            deadline: 0,
            past: BTreeMap::new(),
            done: BTreeSet::new(),
            dark_until: Time(0),
            born: None,
            up: true,
            factor: 1,
            fails: false,
        }
    }

    /// What its clock shows, in milliseconds.
    pub fn clock(&self, now: Time) -> u64 {
        self.offset + now.0 / 1_000 * (1_000 - self.slow) / 1_000
    }

    /// Ends what is due, and everything if the lease has lapsed.
    pub fn settle(&mut self, now: Time) {
        let lapsed = self.clock(now) > self.deadline;
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| running.ends <= now || lapsed)
            .map(|(run, running)| {
                (run.clone(), if running.ends <= now { running.how } else { RunResult::Lapsed })
            })
            .collect();
        for (run, how) in due {
            self.end(run, how);
        }
    }

    fn end(&mut self, run: Run, result: RunResult) {
        self.running.remove(&run);
        self.note_past(&run);
        if result == RunResult::Done {
            self.done.insert((run.job.to_string(), run.index));
        }
        self.ended.push(Ended { number: self.next, run: Some(run), result });
        self.next += 1;
    }

    fn note_past(&mut self, run: &Run) {
        let past = self.past.entry((run.job.to_string(), run.index)).or_default();
        *past = (*past).max(run.number);
    }

    fn extend(&mut self, now: Time, deadline: u64) {
        let most = self.clock(now) + LEASE_MOST;
        self.deadline = self.deadline.max(deadline.min(most));
    }

    /// What its runs leave.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used())
    }

    fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |sum, running| sum.plus(&running.needs))
    }

    /// Carries a start out. `length` is how long the task takes.
    pub fn start(
        &mut self,
        now: Time,
        start: &Start,
        needs: Resources,
        length: u64,
    ) -> StartResponse {
        self.settle(now);
        let clock = self.clock(now);
        let refused = |why| StartResponse::Refused { clock: Some(clock), why };
        if start.token < self.fence {
            return refused(Refusal::Fenced);
        }
        self.fence = start.token;
        if self.running.contains_key(&start.run) {
            return StartResponse::Running { clock };
        }
        if start.deadline < clock {
            return refused(Refusal::Late);
        }
        self.extend(now, start.deadline);
        let past = self.past.get(&(start.run.job.to_string(), start.run.index));
        if past.is_some_and(|past| *past >= start.run.number) {
            return refused(Refusal::OldRun);
        }
        if !self.free().fits(&needs) {
            return refused(Refusal::Room);
        }
        let how = if self.fails { RunResult::Failed } else { RunResult::Done };
        let length = if self.fails { 5_000 } else { length * self.factor };
        let running = Running { ends: Time(now.0 + length), how, needs };
        self.running.insert(start.run.clone(), running);
        StartResponse::Running { clock }
    }

    /// Carries a stop out.
    pub fn stop(&mut self, now: Time, run: &Run, token: u64) -> Response<()> {
        self.settle(now);
        if token < self.fence {
            return Response::Fenced;
        }
        self.fence = token;
        self.note_past(run);
        if let Some(running) = self.running.get_mut(run) {
            running.ends = running.ends.min(Time(now.0 + STOP_US));
            running.how = RunResult::Stopped;
        }
        Response::Done(())
    }

    /// Gives the lists out, and prolongs the lease if asked to.
    pub fn look(&mut self, now: Time, look: &Poll) -> Response<Listing> {
        self.settle(now);
        if look.token < self.fence {
            return Response::Fenced;
        }
        self.fence = look.token;
        if let Some(deadline) = look.deadline {
            self.extend(now, deadline);
        }
        self.ended.retain(|ended| ended.number > look.acknowledged);
        Response::Done(Listing {
            clock: self.clock(now),
            incarnation: self.born,
            running: self.running.keys().cloned().collect(),
            ended: self.ended.clone(),
        })
    }

    /// Whether a look that may wait has something to say.
    pub fn has_news(&self, acknowledged: u64) -> bool {
        self.ended.iter().any(|ended| ended.number > acknowledged)
    }
}
