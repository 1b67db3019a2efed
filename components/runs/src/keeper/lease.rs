//! One executor that this entry keeps: its lease, and what runs there.

use crate::{
    Executor,
    action::StopCause,
    clock::{self, Clock, Remote},
    job::{Run, Task},
};
use rustc_hash::FxHashMap;
use site::{
    id::Home,
    unit::{Resources, Span, Time},
};

/// How long a reading of an executor's clock is taken to be of its present life. Two looks at an idle
/// executor, and shorter than it takes to start again.
const CLOCK_TRUST: Span = Span::from_millis(1_500);

/// An executor that this entry keeps.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) executor: Executor,
    pub(crate) phase: Phase,
    pub(crate) token: u64,
    /// Refusals of a token since the executor was last in use.
    pub(crate) tries: u8,
    /// When this entry learnt of the executor's present life.
    pub(crate) life_since: Time,
    /// `None` until the executor was looked at.
    pub(crate) clock: Option<Clock>,
    /// The latest deadline that was sent, on the executor's clock. Whatever runs there is over
    /// once its clock has passed it.
    pub(crate) deadline: Remote,
    /// What a former keeper started there may run until then, by this entry's clock.
    pub(crate) inherited_until: Time,
    pub(crate) runs: FxHashMap<Run, Live>,
    /// The sum of what `runs` occupy.
    pub(crate) used: Resources,
    /// Ends up to this number were dealt with.
    pub(crate) acknowledged: u64,
    /// Ends up to this number were acknowledged in a look that was answered.
    pub(crate) confirmed: u64,
    /// The look whose answer is awaited.
    pub(crate) looking: Option<Looking>,
    /// The number of the latest look.
    pub(crate) looks: u64,
    /// When the next look is due, if one is wanted.
    pub(crate) look_at: Option<Time>,
    /// Looks in a row without an answer.
    pub(crate) silent: u32,
    /// Entries that were asked for what they know and have not answered.
    pub(crate) asked: Vec<Home>,
    /// No start before then: the executor said that it has no room.
    pub(crate) full_until: Time,
    /// It starts whatever it is told to, so that its capacity has to be kept here.
    pub(crate) overcommits: bool,
    /// How many times as long as others it takes.
    pub(crate) slow: f32,
    /// When a task was last seen to end well there.
    pub(crate) worked: Time,
}

/// How far this entry is with an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The view that makes this entry its keeper is new.
    Settling {
        /// Since when.
        since: Time,
    },
    /// Other entries were asked for what they know.
    Claiming {
        /// When to go on without.
        until: Time,
    },
    /// It was asked for its lists and may not be used yet.
    Looking,
    /// It is in use.
    Ready,
    /// A higher token than this entry's was used there.
    Fenced {
        /// When to try again.
        until: Time,
    },
}

/// A look whose answer is awaited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Looking {
    pub(crate) number: u64,
    pub(crate) sent: Time,
    /// Without an answer by then, another look is sent.
    pub(crate) until: Time,
    /// The executor may hold its answer back until a run ends.
    pub(crate) held: bool,
    pub(crate) acknowledged: u64,
}

/// A run that is at an executor, or may be.
#[derive(Clone, Debug)]
pub(crate) struct Live {
    /// `None` for a run that this entry found and knows nothing of.
    pub(crate) task: Option<Task>,
    pub(crate) needs: Resources,
    pub(crate) estimate: Span,
    pub(crate) give_up: Time,
    /// When its start was sent.
    pub(crate) sent: Time,
    pub(crate) state: State,
    /// When the executor last said that it is there.
    pub(crate) seen: Option<Time>,
    /// Why it is being stopped.
    pub(crate) stop: Option<StopCause>,
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Its start was sent and not answered.
    Starting,
    /// Its start was not answered, and will not be.
    Unsure {
        /// Since when.
        since: Time,
    },
    /// The executor said that it is there.
    Running {
        /// When it said so.
        since: Time,
    },
    /// A stop was sent and not answered.
    Stopping,
    /// A stop failed.
    StopAgain {
        /// When to send another.
        at: Time,
    },
    /// A stop was carried out; the end is not listed yet.
    Stopped {
        /// Since when.
        since: Time,
    },
}

impl Lease {
    pub(crate) fn new(executor: Executor, phase: Phase) -> Self {
        Self {
            executor,
            phase,
            token: 0,
            tries: 0,
            life_since: Time(0),
            clock: None,
            deadline: 0,
            inherited_until: Time(0),
            runs: FxHashMap::default(),
            used: Resources::default(),
            acknowledged: 0,
            confirmed: 0,
            looking: None,
            looks: 0,
            look_at: None,
            silent: 0,
            asked: Vec::new(),
            full_until: Time(0),
            overcommits: false,
            slow: 1.0,
            worked: Time(0),
        }
    }

    /// Whether this entry has used the executor, so that it knows what runs there.
    pub(crate) fn is_in_use(&self) -> bool {
        matches!(self.phase, Phase::Looking | Phase::Ready)
    }

    pub(crate) fn free(&self) -> Resources {
        self.executor.capacity.minus(&self.used)
    }

    /// Whether a task may be started there now, as far as the executor alone is concerned.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.phase == Phase::Ready
            && !self.executor.leaving
            && self.silent == 0
            && self.full_until <= now
            && self.knows_clock(now)
            && !(self.overcommits && self.has_unknown_runs())
    }

    /// Whether the clock is surely that of the executor's present life.
    fn knows_clock(&self, now: Time) -> bool {
        self.executor.born.is_none()
            || self.clock.is_some_and(|clock| clock.age(now) <= CLOCK_TRUST)
    }

    /// Whether something runs there of which it is not known what it occupies.
    fn has_unknown_runs(&self) -> bool {
        self.runs.values().any(|live| live.task.is_none())
    }

    pub(crate) fn insert(&mut self, run: Run, live: Live) {
        self.used = self.used.plus(&live.needs);
        if let Some(old) = self.runs.insert(run, live) {
            self.used = self.used.minus(&old.needs);
        }
    }

    pub(crate) fn remove(&mut self, run: &Run) -> Option<Live> {
        let live = self.runs.remove(run)?;
        self.used = self.used.minus(&live.needs);
        Some(live)
    }

    /// Whether nothing that was started there can run any more, whatever the executor does.
    pub(crate) fn has_lapsed(&self, now: Time) -> bool {
        now > self.inherited_until
            && self.clock.is_none_or(|clock| clock.least(now) > self.deadline)
    }

    /// Notes that a former keeper has just ceased to prolong its lease, which lasted `span`.
    pub(crate) fn inherit(&mut self, now: Time, span: Span) {
        self.inherited_until = now + clock::longest(span);
    }

    pub(crate) fn read_clock(&mut self, reading: Remote, now: Time) {
        match &mut self.clock {
            Some(clock) => clock.update(reading, now),
            None => self.clock = Some(Clock::new(reading, now)),
        }
    }

    /// A new deadline for everything that runs there.
    pub(crate) fn extend(&mut self, now: Time, span: Span) -> Option<Remote> {
        let deadline = self.clock?.deadline(now, span);
        self.deadline = self.deadline.max(deadline);
        Some(deadline)
    }

    /// Tasks of a job that are there.
    pub(crate) fn count(&self, job: crate::job::Key) -> usize {
        self.runs.values().filter(|live| live.task.is_some_and(|task| task.job == job)).count()
    }
}

impl Live {
    pub(crate) fn is_being_stopped(&self) -> bool {
        self.stop.is_some()
    }
}
