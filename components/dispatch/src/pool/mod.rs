//! A pool: the endpoints that serve one executor service, or all workers, and the tasks queued for
//! them.
//!
//! Every endpoint has one keeper, an entry of its cluster, which counts its capacity. The keeper
//! lends part of it to entries that request it; they use it until they are asked to return it. A
//! wrong view of an endpoint's keeper costs only a refused attempt, since the endpoint itself
//! refuses a task that it has no room for.

mod admit;
mod attempt;
mod average;
mod lend;
mod members;
mod quota;
mod request;
mod schedule;
mod share;
mod timer;
mod trial;

pub(crate) use members::Members;
pub(crate) use schedule::pool_number;

use crate::{
    entry::PoolView,
    event::Reply,
    index::{Index, WORKER_POOL},
    retry::Budget,
};
use compact_str::CompactString;
use ledger::Job;
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{AttemptId, CrewId, EndpointId, FirmId, Home, ServiceId},
    policy::Priority,
    submission::{Failure, Output},
    unit::{Resources, Slots, Span, Time},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

/// A queued task.
#[derive(Debug)]
struct QueuedTask {
    job: Arc<Job>,
    /// Index of the task in its job.
    index: u16,
    /// Number of attempts made.
    attempts: u8,
    /// Expected run time at the time of queueing.
    cost: Span,
    /// Cost charged to the firm for the task so far.
    charged: Span,
    /// Endpoints on which the task failed.
    avoid: Vec<EndpointId>,
}

/// An attempt at a task. Exists from before the first byte is sent to the endpoint until the
/// attempt's report.
#[derive(Debug)]
struct Attempt {
    item: QueuedTask,
    endpoint: EndpointId,
    started: Time,
    /// Resources reserved on the endpoint: the declared ones, corrected by measurements.
    needs: Resources,
    /// Resources that the caller declared, or else the service's.
    declared: Resources,
    /// Maximum of the resources that the worker measured; `None` before the first measurement.
    measured: Option<Resources>,
}

/// The running attempts of a job.
#[derive(Debug, Default)]
struct Running {
    attempts: Vec<AttemptId>,
    /// Racks on which they run.
    spread: placement::RackCounts,
}

/// A slot that stays unused until a point in time, since its endpoint refused a task as busy.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Hold {
    until: Time,
    endpoint: EndpointId,
}

/// Effect of an attempt's report on its submission.
#[derive(Debug)]
pub(crate) enum Effect {
    /// A task completed with this output; the number is its index in the job.
    Output(Arc<Job>, u16, Output),
    /// The submission fails.
    Failed(Arc<Job>, Failure),
    /// None: another attempt follows, or the job is already closed.
    None,
}

/// The state of one pool in one entry.
pub(crate) struct Pool {
    /// The service, or [`WORKER_POOL`].
    key: ServiceId,
    /// Number of the pool, in the upper bits of its attempt identifiers.
    number: u16,
    home: Home,
    index: Arc<Index>,
    queue: fairness::Queue<QueuedTask>,
    placement: placement::Pool,
    health: health::Monitor,
    estimate: placement::Estimator,
    budget: Budget,
    attempts: FxHashMap<AttemptId, Attempt>,
    /// Running attempts of each job, by job number.
    running: FxHashMap<u64, Running>,
    /// Quotas in force, by firm; firms without a quota are absent.
    quotas: FxHashMap<FirmId, Slots>,
    /// Usage of each firm with a quota, here and at other entries.
    quota_usage: FxHashMap<FirmId, quota::FirmUsage>,
    /// Number of queued and running tasks of each open job, by firm and job number.
    open_tasks: FxHashMap<FirmId, FxHashMap<u64, u32>>,
    /// Number of attempts made in this pool.
    sequence: u64,
    holds: BinaryHeap<Reverse<Hold>>,
    /// Endpoints that reported that they are leaving.
    reported_leaving: FxHashSet<EndpointId>,
    /// Endpoints that are leaving according to the platform's list.
    listed_leaving: FxHashSet<EndpointId>,
    /// Slowdown factors of slow endpoints: tasks take this many times as long as at the others.
    slow_factors: FxHashMap<EndpointId, f32>,
    /// Endpoints on trial, with the time of the latest trial, or the time since which they have
    /// been waiting for one.
    trials: BTreeMap<EndpointId, Time>,
    average_needs: average::AverageNeeds,
    /// Whether the last scheduling round left a task that did not fit any endpoint.
    has_unplaced: bool,
    share: share::Share,
}

impl Pool {
    /// Returns an empty pool; [`Pool::configure`] and [`Pool::apply_members`] fill it.
    pub(crate) fn new(
        key: ServiceId,
        number: u16,
        home: Home,
        index: Arc<Index>,
        seed: u64,
    ) -> Pool {
        Pool {
            key,
            number,
            home,
            index,
            queue: fairness::Queue::new(),
            placement: placement::Pool::new(seed ^ u64::from(number)),
            health: health::Monitor::new(),
            estimate: placement::Estimator::default(),
            budget: Budget::default(),
            attempts: FxHashMap::default(),
            running: FxHashMap::default(),
            quotas: FxHashMap::default(),
            quota_usage: FxHashMap::default(),
            open_tasks: FxHashMap::default(),
            sequence: 0,
            holds: BinaryHeap::new(),
            reported_leaving: FxHashSet::default(),
            listed_leaving: FxHashSet::default(),
            slow_factors: FxHashMap::default(),
            trials: BTreeMap::new(),
            average_needs: average::AverageNeeds::default(),
            has_unplaced: false,
            share: share::Share::default(),
        }
    }

    /// Applies new settings. [`Pool::apply_members`] must follow.
    pub(crate) fn configure(&mut self, index: Arc<Index>) {
        for (firm, weight) in index.weights() {
            self.queue.set_firm_weight(firm, weight);
        }
        self.quotas.clear();
        for (firm, quota) in index.quotas(self.key) {
            self.queue.set_quota(firm, quota);
            self.quotas.extend(quota.map(|quota| (firm, quota)));
        }
        for (id, firm) in &index.site.firms {
            for crew in &firm.crews {
                self.queue.set_crew_weight(*id, CrewId::of(&crew.name), crew.weight);
            }
        }
        let moved = |id: &EndpointId| index.address(*id) != self.index.address(*id);
        self.reported_leaving.retain(|id| !moved(id));
        self.index = index;
    }

    /// Whether all tasks of the pool have the same needs.
    fn is_uniform(&self) -> bool {
        self.key != WORKER_POOL
    }

    fn prefers_messages(&self) -> bool {
        self.index.priority() == Priority::Messages
    }

    /// Key under which the run times and sizes of a job's tasks are estimated.
    fn estimate_key(job: &Job) -> placement::TaskKind {
        placement::TaskKind { firm: job.submission.firm, service: job.submission.service }
    }

    fn declared(&self, job: &Job, index: u16) -> (Resources, Span) {
        let task = &job.submission.tasks[usize::from(index)];
        let service = self.index.site.services.get(&job.submission.service);
        let run_time = match task.run_time {
            Span::ZERO => service.map_or(Span::from_millis(300), |s| s.run_time),
            hint => hint,
        };
        if self.is_uniform() {
            return (Resources::SLOT, run_time);
        }
        let needs = match task.needs {
            none if none == Resources::default() => service.map_or(none, |s| s.needs),
            hint => hint,
        };
        (needs.with_one_slot(), run_time)
    }

    /// Returns the resources to reserve for a task.
    fn needs(&self, job: &Job, declared: &Resources) -> Resources {
        if self.is_uniform() {
            return Resources::SLOT;
        }
        let corrected = self.estimate.needs(Self::estimate_key(job), declared).with_one_slot();
        // A correction learnt from tasks that were declared far too small may exceed the capacity
        // of every worker.
        match self.index.could_fit(self.key, &corrected) {
            true => corrected,
            false => *declared,
        }
    }

    fn add_open_tasks(&mut self, firm: FirmId, job: u64, tasks: u32) {
        *self.open_tasks.entry(firm).or_default().entry(job).or_default() += tasks;
    }

    /// Subtracts tasks of a job that are no longer queued or running.
    fn remove_open_tasks(&mut self, firm: FirmId, job: u64, tasks: u32) {
        let Some(jobs) = self.open_tasks.get_mut(&firm) else {
            return;
        };
        let Some(left) = jobs.get_mut(&job) else {
            return;
        };
        *left = left.saturating_sub(tasks);
        if *left == 0 {
            jobs.remove(&job);
        }
        if jobs.is_empty() {
            self.open_tasks.remove(&firm);
        }
    }

    /// Returns the pool's state for operators.
    pub(crate) fn overview(&self) -> PoolView {
        let endpoints = self.share.endpoints().map(|id| EndpointView {
            name: self.index.name(id),
            in_use: self.placement.in_use(id),
            free: self.placement.free(id),
            state: compact_str::format_compact!("{:?}", self.health.state(id)),
        });
        PoolView {
            service: self.key,
            queued: self.queue.len(),
            running: self.attempts.len(),
            endpoints: endpoints.collect(),
        }
    }
}

/// State of an endpoint as seen by one entry.
#[derive(Clone, Debug, serde::Serialize)]
pub struct EndpointView {
    /// Name of the endpoint in the settings.
    pub name: CompactString,
    /// Resources reserved by this entry's attempts.
    pub in_use: Resources,
    /// Resources that this entry may still use.
    pub free: Resources,
    /// Health state.
    pub state: CompactString,
}

/// Returns the health observation that follows from a reply.
fn observation(reply: &Reply, elapsed: Span, expected: Span) -> health::Observation {
    match reply {
        Reply::Done(_) => health::Observation::Done { elapsed, expected },
        Reply::Failed(_) => health::Observation::Failed,
        Reply::Refused(_) => health::Observation::Refused,
        Reply::NotSent => health::Observation::NotSent,
        Reply::Lost | Reply::Silent => health::Observation::Lost,
        Reply::TimedOut => health::Observation::TimedOut,
    }
}
