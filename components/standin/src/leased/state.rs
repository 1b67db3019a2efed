//! The state of one incarnation of a leased executor: its runs, the ends not acknowledged yet, the
//! lease, and the highest fencing token.

use super::Loss;
use runs::{
    action::{Poll, Start},
    executor::{Ended, Incarnation, Listing, Refusal, Response, RunResult, StartResponse},
    job::Run,
};
use site::unit::{Resources, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

/// Maximum lease duration, in milliseconds of the executor's clock.
const MAX_LEASE_MS: u64 = 1_000;

/// Time from a stop order until the run has ended, in microseconds.
const STOP_DURATION_US: u64 = 30_000;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct Running {
    /// Time at which the run ends.
    pub ends_at: Time,
    /// The result that it ends with.
    pub result: RunResult,
    /// The resources that it occupies.
    pub needs: Resources,
}

/// How long a task that hangs runs, in microseconds: beyond the end of any test.
const HANG_DURATION_US: u64 = 3_600_000_000;

/// The state of one incarnation of an executor.
#[derive(Debug)]
pub struct ExecutorState {
    /// Total resources for runs.
    pub capacity: Resources,
    /// How much slower the executor's clock runs than real time, in parts per thousand.
    pub slow_permille: u64,
    /// The executor's clock at time 0, in milliseconds.
    clock_offset_ms: u64,
    /// The runs in progress.
    pub running: BTreeMap<Run, Running>,
    /// Ended runs that the keeper hasn't acknowledged.
    ended: Vec<Ended>,
    /// Number of the next ended run; starts at 1.
    next_number: u64,
    /// The highest fencing token received. Orders with a lower one are rejected.
    highest_token: u64,
    /// Time at which the lease expires, in milliseconds of the executor's clock.
    deadline: u64,
    /// The highest run number of each task that ended or was stopped, by job and index. Starts up to
    /// it are refused.
    past_runs: BTreeMap<(String, u16), u32>,
    /// Tasks that completed, by job and index.
    pub done: BTreeSet<(String, u16)>,
    /// How many runs of each task ended as failed, by job and index.
    pub failed: BTreeMap<(String, u16), usize>,
    /// Tasks that had a run in progress when the executor crashed, by job and index.
    pub crashed: BTreeSet<(String, u16)>,
    /// Until this time the executor accepts connections, but neither carries out orders nor responds.
    pub unresponsive_until: Time,
    /// Distinguishes incarnations that share a name. `None` if each has a name of its own.
    pub incarnation: Option<Incarnation>,
    /// Whether the executor is running. Runs of one that is down don't count as concurrent runs.
    pub up: bool,
    /// Multiplies the run time of tasks started from now on.
    pub duration_factor: u64,
    /// Whether all tasks started from now on fail.
    pub fails: bool,
    /// The kind of machine, as registered.
    pub kind: &'static str,
    /// Run time of tasks started from now on, in percent of what they take at full speed.
    pub run_time_percent: u64,
    /// How many of a hundred tasks started from now on hang.
    pub hang_percent: u32,
    /// Which orders get lost; `None` loses none.
    pub loss: Option<Loss>,
    /// Added up over starts; a task hangs each time that a hundred is reached, so that hangs are
    /// spread evenly.
    hang_sum: u32,
}

impl ExecutorState {
    /// Creates the state of an executor without runs. `slow_permille` and `clock_offset_ms` set its
    /// clock.
    pub fn new(capacity: Resources, slow_permille: u64, clock_offset_ms: u64) -> Self {
        Self {
            capacity,
            slow_permille,
            clock_offset_ms,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_number: 1,
            highest_token: 0,
            deadline: 0,
            past_runs: BTreeMap::new(),
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
            crashed: BTreeSet::new(),
            unresponsive_until: Time(0),
            incarnation: None,
            up: true,
            duration_factor: 1,
            fails: false,
            kind: "a",
            run_time_percent: 100,
            hang_percent: 0,
            loss: None,
            hang_sum: 0,
        }
    }

    /// Returns the executor's clock at `now`, in milliseconds.
    pub fn clock(&self, now: Time) -> u64 {
        self.clock_offset_ms + now.0 / 1_000 * (1_000 - self.slow_permille) / 1_000
    }

    /// Ends the runs whose time has come, and all runs if the lease has expired.
    pub fn end_due_runs(&mut self, now: Time) {
        let expired = self.clock(now) > self.deadline;
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| running.ends_at <= now || expired)
            .map(|(run, running)| {
                (
                    run.clone(),
                    if running.ends_at <= now { running.result } else { RunResult::Lapsed },
                )
            })
            .collect();
        for (run, result) in due {
            self.end(run, result);
        }
    }

    fn end(&mut self, run: Run, result: RunResult) {
        self.running.remove(&run);
        self.record_past_run(&run);
        let task = (run.job.to_string(), run.index);
        match result {
            RunResult::Done => drop(self.done.insert(task)),
            RunResult::Failed => *self.failed.entry(task).or_default() += 1,
            RunResult::Stopped | RunResult::Lapsed => {}
        }
        self.ended.push(Ended { number: self.next_number, run: Some(run), result });
        self.next_number += 1;
    }

    /// Crashes the executor: its runs are gone without an end.
    pub fn crash(&mut self, now: Time) {
        self.end_due_runs(now);
        self.up = false;
        let runs = mem::take(&mut self.running).into_keys();
        self.crashed.extend(runs.map(|run| (run.job.to_string(), run.index)));
    }

    fn record_past_run(&mut self, run: &Run) {
        let highest_run = self.past_runs.entry((run.job.to_string(), run.index)).or_default();
        *highest_run = (*highest_run).max(run.number);
    }

    fn extend(&mut self, now: Time, deadline: u64) {
        let max_deadline = self.clock(now) + MAX_LEASE_MS;
        self.deadline = self.deadline.max(deadline.min(max_deadline));
    }

    /// Returns the resources that no run occupies.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used())
    }

    fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |sum, running| sum.plus(&running.needs))
    }

    /// Carries out a start order. `length` is the task's run time in microseconds.
    pub fn start(
        &mut self,
        now: Time,
        start: &Start,
        needs: Resources,
        length: u64,
    ) -> StartResponse {
        self.end_due_runs(now);
        let clock = self.clock(now);
        let refused = |why| StartResponse::Refused { clock: Some(clock), why };
        if start.token < self.highest_token {
            return refused(Refusal::Fenced);
        }
        self.highest_token = start.token;
        if self.running.contains_key(&start.run) {
            return StartResponse::Running { clock };
        }
        if start.deadline < clock {
            return refused(Refusal::Late);
        }
        self.extend(now, start.deadline);
        let highest_run = self.past_runs.get(&(start.run.job.to_string(), start.run.index));
        if highest_run.is_some_and(|highest_run| *highest_run >= start.run.number) {
            return refused(Refusal::OldRun);
        }
        if !self.free().fits(&needs) {
            return refused(Refusal::Room);
        }
        let result = if self.fails { RunResult::Failed } else { RunResult::Done };
        let length = match (self.fails, self.takes_hang()) {
            (true, _) => 5_000,
            (false, true) => HANG_DURATION_US,
            (false, false) => length * self.duration_factor * self.run_time_percent / 100,
        };
        let running = Running { ends_at: Time(now.0 + length), result, needs };
        self.running.insert(start.run.clone(), running);
        StartResponse::Running { clock }
    }

    /// Whether the task that starts now hangs.
    fn takes_hang(&mut self) -> bool {
        self.hang_sum += self.hang_percent;
        let hangs = self.hang_sum >= 100;
        self.hang_sum %= 100;
        hangs
    }

    /// Carries out a stop order. The run number counts as used, even if the run never started.
    pub fn stop(&mut self, now: Time, run: &Run, token: u64) -> Response<()> {
        self.end_due_runs(now);
        if token < self.highest_token {
            return Response::Fenced;
        }
        self.highest_token = token;
        self.record_past_run(run);
        if let Some(running) = self.running.get_mut(run) {
            running.ends_at = running.ends_at.min(Time(now.0 + STOP_DURATION_US));
            running.result = RunResult::Stopped;
        }
        Response::Done(())
    }

    /// Returns the running and ended runs. Renews the lease if the poll has a deadline.
    pub fn poll(&mut self, now: Time, poll: &Poll) -> Response<Listing> {
        self.end_due_runs(now);
        if poll.token < self.highest_token {
            return Response::Fenced;
        }
        self.highest_token = poll.token;
        if let Some(deadline) = poll.deadline {
            self.extend(now, deadline);
        }
        self.ended.retain(|ended| ended.number > poll.acknowledged);
        Response::Done(Listing {
            clock: self.clock(now),
            incarnation: self.incarnation,
            running: self.running.keys().cloned().collect(),
            ended: self.ended.clone(),
        })
    }

    /// Whether runs ended that aren't acknowledged, so that a waiting poll returns at once.
    pub fn has_unacknowledged(&self, acknowledged: u64) -> bool {
        self.ended.iter().any(|ended| ended.number > acknowledged)
    }
}
