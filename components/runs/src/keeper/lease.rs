//! The state of one executor that this entry keeps: its lease and its runs.

use crate::{
    Executor,
    action::StopCause,
    clock::{self, Clock, RemoteTime},
    job::{Run, Task},
    message::End,
    speed::Factor,
    view::Former,
};
use rustc_hash::FxHashMap;
use site::{
    id::Home,
    unit::{Resources, Span, Time},
};

/// A start that must not extend the lease needs this much of it left, in milliseconds of the
/// executor's clock. A confirmation or a stop takes some milliseconds, and the lease can be extended
/// again after it.
const MIN_REMAINING_LEASE: RemoteTime = 300;

/// How long a reading of an executor's clock counts as one of its current incarnation. Two polls of
/// an idle executor, and shorter than an executor's restart.
const MAX_CLOCK_AGE: Span = Span::from_millis(1_500);

/// The whole record of an executor that this entry keeps: its lease, its runs, its polls and what
/// is known of its speed.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) executor: Executor,
    pub(crate) phase: Phase,
    pub(crate) token: u64,
    /// Times that this entry was fenced since the executor was last in use.
    pub(crate) tries: u8,
    /// The lost keeper that it is taken over from; `None` once it is in use.
    pub(crate) former: Option<Former>,
    /// When this entry learnt of the executor's current incarnation.
    pub(crate) incarnation_since: Time,
    /// Whether the executor's incarnation has ended. The store may list it until its registration
    /// expires.
    pub(crate) gone: bool,
    /// `None` until the executor has responded.
    pub(crate) clock: Option<Clock>,
    /// The latest lease deadline that was sent, on the executor's clock. Everything that runs there
    /// has ended once its clock has passed it.
    pub(crate) deadline: RemoteTime,
    /// Until when a run that the former keeper started may still be running, by this entry's clock.
    pub(crate) inherited_until: Time,
    pub(crate) runs: FxHashMap<Run, TrackedRun>,
    /// Sum of the resources that `runs` occupy.
    pub(crate) used: Resources,
    /// Ends up to this number have been handled.
    pub(crate) acknowledged: u64,
    /// Ends up to this number were acknowledged in a poll that got a response.
    pub(crate) confirmed: u64,
    /// The outstanding poll.
    pub(crate) outstanding_poll: Option<OutstandingPoll>,
    /// Sequence number of the latest poll.
    pub(crate) polls: u64,
    /// When the next poll is due, if one is needed.
    pub(crate) poll_at: Option<Time>,
    /// Consecutive polls without a response.
    pub(crate) missed_polls: u32,
    /// Entries that were sent an executor claim and have not answered.
    pub(crate) claim_recipients: Vec<Home>,
    /// No start before this time: the executor refused one, or one could not be sent.
    pub(crate) no_start_before: Time,
    /// Whether it starts every task that it is ordered to, so that its capacity has to be enforced
    /// here.
    pub(crate) overcommits: bool,
    /// How many times as long as others it takes for a task.
    pub(crate) slowness: f32,
    /// Its speed where executors are known to differ in that.
    pub(crate) speed: Factor,
    /// When a task last completed there.
    pub(crate) last_completed: Time,
}

/// Progress towards using an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The view that makes this entry the keeper is new.
    Settling {
        /// When the phase began.
        since: Time,
    },
    /// Other entries were sent an executor claim.
    Claiming {
        /// When to continue without their answers.
        until: Time,
    },
    /// Polled, and not to be used before it responds.
    Polling,
    /// It is in use.
    Ready,
    /// A higher token than this entry's was used there.
    Fenced {
        /// When to try again.
        until: Time,
    },
}

/// An outstanding poll.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingPoll {
    pub(crate) number: u64,
    pub(crate) sent: Time,
    /// If no response arrives by this time, another poll is sent.
    pub(crate) until: Time,
    /// Whether it is a long poll: the executor may hold back its response until a run ends.
    pub(crate) held: bool,
    pub(crate) acknowledged: u64,
}

/// A run that is on an executor, or may be.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRun {
    /// `None` for a run that this entry found there without knowing its task.
    pub(crate) task: Option<Task>,
    pub(crate) needs: Resources,
    pub(crate) estimate: Span,
    pub(crate) give_up: Time,
    /// The deadline of its job; `None` where all executors are alike, or if a former keeper started
    /// it.
    pub(crate) due: Option<Time>,
    /// Whether the task is late on the slowest executors and in time on others.
    pub(crate) is_demanding: bool,
    /// When its start was sent.
    pub(crate) sent: Time,
    pub(crate) state: State,
    /// When the executor last listed or confirmed it.
    pub(crate) seen: Option<Time>,
    /// Whether a former keeper started it, which may have seen it running or its end.
    pub(crate) inherited: bool,
    /// Whether its home relies on this keeper for it.
    pub(crate) ownership: Ownership,
    /// Why it is being stopped.
    pub(crate) stop: Option<StopCause>,
    /// Whether it has taken longer than its estimate allows, and health was told.
    pub(crate) is_straggling: bool,
    /// How it ends if its executor never lists it again: a crash if its incarnation is known to
    /// have ended under it.
    pub(crate) end_if_lost: End,
}

/// Whether the home of a run relies on this keeper for it. The lease covers all runs of the executor
/// and must not be extended while one that may be running is not owned: its home starts the task
/// again once the lease that it knows of must have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ownership {
    /// The home sent the task here or has confirmed this keeper.
    Owned,
    /// The same, but no sign of life of the home is recent enough. One may be waiting to be handled.
    Suspended,
    /// A former keeper handed the run over, or forwarded its task, and the home has not confirmed
    /// that yet.
    Unconfirmed,
    /// Nobody waits for the run: its task is unknown here, its answer is no longer wanted, or its
    /// home can't be reached. It is stopped, and if that fails it ends with the lease.
    Orphaned,
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Its start was sent and has got no response yet.
    Starting,
    /// Its start got no response, and will not.
    Unconfirmed {
        /// When that became known.
        since: Time,
    },
    /// The executor has confirmed it.
    Running {
        /// When it was confirmed.
        since: Time,
    },
    /// A stop was sent and has got no response yet.
    Stopping,
    /// A stop failed.
    StopAgain {
        /// When to send another stop.
        at: Time,
    },
    /// A stop was carried out; the end is not listed yet.
    Stopped {
        /// When the stop was confirmed.
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
            former: None,
            incarnation_since: Time(0),
            gone: false,
            clock: None,
            deadline: 0,
            inherited_until: Time(0),
            runs: FxHashMap::default(),
            used: Resources::default(),
            acknowledged: 0,
            confirmed: 0,
            outstanding_poll: None,
            polls: 0,
            poll_at: None,
            missed_polls: 0,
            claim_recipients: Vec::new(),
            no_start_before: Time(0),
            overcommits: false,
            slowness: 1.0,
            speed: Factor::ONE,
            last_completed: Time(0),
        }
    }

    /// Whether this entry has used the executor, so that it knows what runs there.
    pub(crate) fn is_in_use(&self) -> bool {
        matches!(self.phase, Phase::Polling | Phase::Ready)
    }

    pub(crate) fn free(&self) -> Resources {
        self.executor.capacity.minus(&self.used)
    }

    /// Whether a task may be started there now, apart from health, cordon and service.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.phase == Phase::Ready
            && (self.is_extendable() || self.has_standing_deadline(now))
            && !self.executor.leaving
            && !self.gone
            && self.missed_polls == 0
            && self.no_start_before <= now
            && self.knows_clock(now)
            && !(self.overcommits && self.has_unknown_runs())
    }

    /// Whether the clock reading is certainly of the executor's current incarnation.
    fn knows_clock(&self, now: Time) -> bool {
        self.executor.incarnation.is_none()
            || self.clock.is_some_and(|clock| clock.age(now) <= MAX_CLOCK_AGE)
    }

    /// Whether something runs there whose resources are unknown.
    fn has_unknown_runs(&self) -> bool {
        self.runs.values().any(|live| live.task.is_none())
    }

    pub(crate) fn insert(&mut self, run: Run, live: TrackedRun) {
        self.used = self.used.plus(&live.needs);
        if let Some(old) = self.runs.insert(run, live) {
            self.used = self.used.minus(&old.needs);
        }
    }

    pub(crate) fn remove(&mut self, run: &Run) -> Option<TrackedRun> {
        let live = self.runs.remove(run)?;
        self.used = self.used.minus(&live.needs);
        Some(live)
    }

    /// Whether everything that was started there must have ended, whatever the executor's state.
    pub(crate) fn has_expired(&self, now: Time) -> bool {
        now > self.inherited_until
            && self.clock.is_none_or(|clock| clock.lower_bound(now) > self.deadline)
    }

    /// How a run ended whose incarnation is found to have ended at `now`. It was a crash under the
    /// run only if the executor had confirmed the run, and neither a stop, a planned leave nor the
    /// end of its lease can have ended it before. A run that was never confirmed is not suspected of
    /// having crashed an executor that was replaced within the lease.
    pub(crate) fn end_if_gone(&self, now: Time, live: &TrackedRun) -> End {
        let may_have_ended =
            live.is_being_stopped() || self.executor.leaving || self.has_expired(now);
        match (live.seen.is_some(), may_have_ended) {
            (true, false) => End::ExecutorCrashed,
            (false, false) => End::Lost,
            (_, true) => End::ExecutorLost,
        }
    }

    /// Records that a former keeper has just stopped renewing its lease, which lasts `span`.
    pub(crate) fn inherit(&mut self, now: Time, span: Span) {
        self.inherited_until = now + clock::max_local_span(span);
    }

    pub(crate) fn read_clock(&mut self, reading: RemoteTime, now: Time) {
        match &mut self.clock {
            Some(clock) => clock.update(reading, now),
            None => self.clock = Some(Clock::new(reading, now)),
        }
    }

    /// Whether the lease may be extended: all runs that it covers are owned.
    pub(crate) fn is_extendable(&self) -> bool {
        self.runs.values().all(TrackedRun::may_outlast_lease)
    }

    /// Whether enough of the lease is left for a start that does not extend it.
    fn has_standing_deadline(&self, now: Time) -> bool {
        let is_ahead = |clock: Clock| clock.lower_bound(now) + MIN_REMAINING_LEASE <= self.deadline;
        self.clock.is_some_and(is_ahead)
    }

    /// Extends the lease deadline to `span` from now; `None` if the lease may not be extended or the
    /// executor's clock is unknown.
    pub(crate) fn extend_deadline(&mut self, now: Time, span: Span) -> Option<RemoteTime> {
        if !self.is_extendable() {
            return None;
        }
        let deadline = self.clock?.deadline(now, span);
        self.deadline = self.deadline.max(deadline);
        Some(deadline)
    }

    /// The lease deadline for a start: an extended one, or the standing one while the lease may not be
    /// extended. `None` if there is none. The executor refuses the start after it, so it is not later
    /// than `give_up`.
    pub(crate) fn start_deadline(
        &mut self,
        now: Time,
        span: Span,
        give_up: Time,
    ) -> Option<RemoteTime> {
        let wait = give_up.since(now);
        if self.is_extendable() {
            return self.extend_deadline(now, span.min(wait));
        }
        let latest = self.clock?.deadline(now, wait);
        self.has_standing_deadline(now).then_some(self.deadline.min(latest))
    }

    /// Number of tasks of a job that are there.
    pub(crate) fn count(&self, job: crate::job::Key) -> usize {
        self.runs.values().filter(|live| live.task.is_some_and(|task| task.job == job)).count()
    }
}

impl TrackedRun {
    /// Whether the lease may be extended while the run is there: it is owned, or ends soon whatever
    /// the lease is.
    fn may_outlast_lease(&self) -> bool {
        self.ownership == Ownership::Owned || matches!(self.state, State::Stopped { .. })
    }

    pub(crate) fn is_being_stopped(&self) -> bool {
        self.stop.is_some()
    }
}
