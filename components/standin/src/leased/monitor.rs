//! Records of the runs of several executors: starts, tasks that run on two executors at the same
//! time, and how runs have ended.

use super::ExecutorState;
use parking_lot::Mutex;
use runs::job::Run;
use site::unit::Time;
use std::{collections::BTreeMap, sync::Arc};

/// Records the runs of all executors that share it, and tasks that run on two of them at the same
/// time.
#[derive(Debug, Default)]
pub struct RunMonitor {
    state: Mutex<MonitorState>,
}

/// A run that an executor has started.
#[derive(Clone, Debug)]
pub struct StartedRun {
    /// Time of the start, since the common time origin of the test.
    pub at: Time,
    /// Name of the executor.
    pub executor: String,
    /// The run that was started.
    pub run: Run,
}

#[derive(Debug, Default)]
struct MonitorState {
    starts: BTreeMap<String, u64>,
    /// All runs that were started, in order.
    started_runs: Vec<StartedRun>,
    /// Pairs of runs of one task that were in progress on two executors at the same time.
    concurrent_runs: Vec<String>,
    executors: Vec<Arc<Mutex<ExecutorState>>>,
}

impl RunMonitor {
    /// Returns the pairs of runs of one task that were in progress on two executors at the same time.
    pub fn concurrent_runs(&self) -> Vec<String> {
        self.state.lock().concurrent_runs.clone()
    }

    /// Returns how many runs were started for jobs whose id starts with `job`.
    pub fn starts(&self, job: &str) -> u64 {
        let state = self.state.lock();
        state.starts.iter().filter(|(name, _)| name.starts_with(job)).map(|(_, n)| n).sum()
    }

    /// Returns all runs that were started, in order.
    pub fn started_runs(&self) -> Vec<StartedRun> {
        self.state.lock().started_runs.clone()
    }

    /// Whether a task has completed on any executor.
    pub fn is_done(&self, job: &str, index: u16) -> bool {
        let executors = self.state.lock().executors.clone();
        executors.iter().any(|state| state.lock().done.contains(&(job.to_owned(), index)))
    }

    /// Returns how many runs of a task have ended as failed.
    pub fn failed_ends(&self, job: &str, index: u16) -> usize {
        let task = (job.to_owned(), index);
        let executors = self.state.lock().executors.clone();
        executors.iter().map(|state| state.lock().failed.get(&task).copied().unwrap_or(0)).sum()
    }

    /// Returns how many executors have crashed while a run of a task was in progress there.
    pub fn crashes(&self, job: &str, index: u16) -> usize {
        let task = (job.to_owned(), index);
        let executors = self.state.lock().executors.clone();
        executors.iter().filter(|state| state.lock().crashed.contains(&task)).count()
    }

    pub(super) fn add(&self, executor: &Arc<Mutex<ExecutorState>>) {
        self.state.lock().executors.push(executor.clone());
    }

    pub(super) fn record_start(
        &self,
        now: Time,
        executor: &str,
        own: &Arc<Mutex<ExecutorState>>,
        run: &Run,
    ) {
        let mut state = self.state.lock();
        let executor = executor.to_owned();
        state.started_runs.push(StartedRun { at: now, executor, run: run.clone() });
        *state.starts.entry(format!("{}.{}", run.job, run.index)).or_default() += 1;
        let others: Vec<_> =
            state.executors.iter().filter(|state| !Arc::ptr_eq(state, own)).cloned().collect();
        for other in others {
            let mut other = other.lock();
            other.end_due_runs(now);
            let is_same_task =
                |other_run: &&Run| other_run.job == run.job && other_run.index == run.index;
            if let Some(other_run) = other.running.keys().find(is_same_task)
                && other.up
            {
                state.concurrent_runs.push(format!("{run} beside {other_run}"));
            }
        }
    }
}
