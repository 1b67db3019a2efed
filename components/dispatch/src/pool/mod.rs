//! A pool: the endpoints that serve one executor service, or all workers, with the tasks that
//! wait for them.
//!
//! Every endpoint has one keeper, an entry of its cluster, which counts its capacity. The
//! keeper lends part of it to entries that want it; they use it until asked to give it back. A
//! wrong view of who keeps what costs a refused attempt and nothing else, since the endpoint
//! itself refuses what it has no room for.

mod admit;
mod attempt;
mod keep;
mod lend;
mod pump;
mod quota;
mod share;
mod timer;
mod trial;
mod typical;
mod wish;

pub(crate) use keep::Members;
pub(crate) use pump::pool_number;

use crate::{
    entry::JobView,
    event::Reply,
    index::{Index, WORKERS},
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
struct Item {
    job: Arc<Job>,
    /// The task's position in the job.
    index: u16,
    /// Attempts made.
    attempts: u8,
    /// Expected run time when it was queued.
    cost: Span,
    /// What the firm is charged for the task so far.
    charged: Span,
    /// Endpoints that failed it.
    avoid: Vec<EndpointId>,
}

/// A task that was sent to an endpoint. Exists from before its first byte is sent until its
/// report.
#[derive(Debug)]
struct Attempt {
    item: Item,
    endpoint: EndpointId,
    started: Time,
    /// What is reserved.
    needs: Resources,
    /// What the caller declared.
    declared: Resources,
    /// What a worker last measured.
    measured: Option<Resources>,
}

/// The running attempts of a job.
#[derive(Debug, Default)]
struct Running {
    attempts: Vec<AttemptId>,
    /// The racks they are on.
    spread: placement::RackCounts,
}

/// Capacity that is left unused until a moment, since its endpoint said that it is taken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Hold {
    until: Time,
    endpoint: EndpointId,
}

/// What a report means for its submission.
#[derive(Debug)]
pub(crate) enum Ended {
    /// A task has its output.
    Output(Arc<Job>, u16, Output),
    /// The submission fails.
    Failed(Arc<Job>, Failure),
    /// Another attempt follows, or nobody waits any more.
    Nothing,
}

/// The state of one pool in one entry.
pub(crate) struct Pool {
    /// The service, or [`WORKERS`].
    key: ServiceId,
    /// Upper bits of the attempt identifiers of this pool.
    number: u16,
    own: Home,
    index: Arc<Index>,
    queue: fairness::Queue<Item>,
    placement: placement::Pool,
    health: health::Monitor,
    estimate: placement::Estimator,
    budget: Budget,
    attempts: FxHashMap<AttemptId, Attempt>,
    /// Running attempts of each job, by job number.
    running: FxHashMap<u64, Running>,
    /// Quotas of firms that have one.
    quotas: FxHashMap<FirmId, Slots>,
    /// What is told and heard of firms with a quota.
    accounts: FxHashMap<FirmId, quota::Account>,
    /// Open jobs of each firm that have queued or running tasks here.
    loads: FxHashMap<FirmId, FxHashMap<u64, u32>>,
    /// Counts attempts.
    sequence: u64,
    holds: BinaryHeap<Reverse<Hold>>,
    /// Endpoints that are leaving by their own answer.
    said_leaving: FxHashSet<EndpointId>,
    /// Endpoints that are leaving by the platform's list.
    listed_leaving: FxHashSet<EndpointId>,
    /// How many times as long slow endpoints take.
    slow: FxHashMap<EndpointId, f32>,
    /// Endpoints on trial, with the time of the latest one, or since when they wait for one.
    trials: BTreeMap<EndpointId, Time>,
    typical: typical::Typical,
    /// Whether the last round left a task that no endpoint had room for.
    starved: bool,
    share: share::Share,
}

impl Pool {
    /// An empty pool; [`Pool::configure`] and [`Pool::rekey`] fill it.
    pub(crate) fn new(
        key: ServiceId,
        number: u16,
        own: Home,
        index: Arc<Index>,
        seed: u64,
    ) -> Pool {
        Pool {
            key,
            number,
            own,
            index,
            queue: fairness::Queue::new(),
            placement: placement::Pool::new(seed ^ u64::from(number)),
            health: health::Monitor::new(),
            estimate: placement::Estimator::default(),
            budget: Budget::default(),
            attempts: FxHashMap::default(),
            running: FxHashMap::default(),
            quotas: FxHashMap::default(),
            accounts: FxHashMap::default(),
            loads: FxHashMap::default(),
            sequence: 0,
            holds: BinaryHeap::new(),
            said_leaving: FxHashSet::default(),
            listed_leaving: FxHashSet::default(),
            slow: FxHashMap::default(),
            trials: BTreeMap::new(),
            typical: typical::Typical::default(),
            starved: false,
            share: share::Share::default(),
        }
    }

    /// Takes over new settings. [`Pool::rekey`] must follow.
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
        self.said_leaving.retain(|id| !moved(id));
        self.index = index;
    }

    /// Whether all tasks of the pool need the same.
    fn is_uniform(&self) -> bool {
        self.key != WORKERS
    }

    fn prefers_messages(&self) -> bool {
        self.index.priority() == Priority::Messages
    }

    /// What the run times and sizes of a job's tasks are measured under.
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

    /// What to reserve for a task.
    fn needs(&self, job: &Job, declared: &Resources) -> Resources {
        if self.is_uniform() {
            return Resources::SLOT;
        }
        let corrected = self.estimate.needs(Self::estimate_key(job), declared).with_one_slot();
        // A correction learnt from tasks that were declared far too small may exceed all workers.
        match self.index.could_fit(self.key, &corrected) {
            true => corrected,
            false => *declared,
        }
    }

    fn load(&mut self, firm: FirmId, job: u64, tasks: u32) {
        *self.loads.entry(firm).or_default().entry(job).or_default() += tasks;
    }

    /// Notes that `tasks` tasks of a job are neither queued nor running any more.
    fn unload(&mut self, firm: FirmId, job: u64, tasks: u32) {
        let Some(jobs) = self.loads.get_mut(&firm) else {
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
            self.loads.remove(&firm);
        }
    }

    /// What operators see of the pool.
    pub(crate) fn overview(&self) -> JobView {
        let endpoints = self.share.used().map(|id| EndpointView {
            name: self.index.name(id),
            in_use: self.placement.in_use(id),
            free: self.placement.free(id),
            state: compact_str::format_compact!("{:?}", self.health.state(id)),
        });
        JobView {
            service: self.key,
            queued: self.queue.len(),
            running: self.attempts.len(),
            endpoints: endpoints.collect(),
        }
    }
}

/// An endpoint as one entry uses it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct EndpointView {
    /// Its name in the settings.
    pub name: CompactString,
    /// Reserved by this entry's attempts.
    pub in_use: Resources,
    /// Free to this entry.
    pub free: Resources,
    /// Its health.
    pub state: CompactString,
}

/// How an observation of health follows from a reply.
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
