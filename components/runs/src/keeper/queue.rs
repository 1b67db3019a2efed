//! Tasks that are queued at their keeper.

use crate::{
    deadline::Deadline,
    job::{Run, Stretch, Task},
    message::{End, Ended, PlacedTask, Placement},
};
use compact_str::CompactString;
use site::{
    id::{EndpointId, Home, ServiceId},
    unit::{Resources, Span, Time},
};
use std::sync::Arc;

/// A task that is queued at its keeper.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    pub(crate) task: Task,
    pub(crate) run: Run,
    pub(crate) spec: Arc<str>,
    pub(crate) needs: Resources,
    pub(crate) label: Option<CompactString>,
    pub(crate) per_executor: Option<u16>,
    pub(crate) estimate: Span,
    pub(crate) service: ServiceId,
    pub(crate) give_up: Time,
    /// Whether some task of the job has run.
    pub(crate) begun: bool,
    /// The latest start at which the job is in time, by the estimate.
    pub(crate) start_by: Time,
    /// The deadline of the job.
    pub(crate) due: Time,
    pub(crate) stretch: Stretch,
    pub(crate) avoid: Vec<EndpointId>,
    pub(crate) since: Time,
    /// Time from when its home sent it until `since`, beyond the shortest transit times.
    pub(crate) transit: Span,
    /// Keepers that forwarded it, the latest last.
    pub(crate) visited: Vec<Home>,
}

impl Queued {
    /// Creates a task from a placement that arrived at `now` and took `transit` at most.
    pub(crate) fn new(now: Time, placement: &Placement, place: &PlacedTask, transit: Span) -> Self {
        let Placement {
            job,
            name,
            spec,
            needs,
            label,
            per_executor,
            estimate,
            service,
            stretch,
            ..
        } = placement;
        Self {
            task: Task { job: *job, index: place.index },
            run: Run { job: name.clone(), index: place.index, number: place.run },
            spec: spec.clone(),
            needs: *needs,
            label: label.clone(),
            per_executor: *per_executor,
            estimate: *estimate,
            service: *service,
            give_up: now + (placement.give_up_in - transit),
            begun: placement.begun,
            start_by: now + (placement.due_in - *estimate),
            due: now + placement.due_in,
            stretch: *stretch,
            avoid: place.avoid.clone(),
            since: now,
            transit,
            visited: Vec::new(),
        }
    }

    /// The task as its home placed it, without its position and run.
    pub(crate) fn placement(&self, now: Time) -> Placement {
        Placement {
            sent: now,
            job: self.task.job,
            name: self.run.job.clone(),
            spec: self.spec.clone(),
            needs: self.needs,
            label: self.label.clone(),
            per_executor: self.per_executor,
            estimate: self.estimate,
            service: self.service,
            stretch: self.stretch,
            begun: self.begun,
            due_in: self.due.since(now),
            give_up_in: self.give_up.since(now),
            tasks: Vec::new(),
        }
    }

    /// Its part of a placement.
    pub(crate) fn placed(&self) -> PlacedTask {
        PlacedTask { index: self.task.index, run: self.run.number, avoid: self.avoid.clone() }
    }

    /// Time since its home sent it.
    pub(crate) fn elapsed(&self, now: Time) -> Span {
        self.transit + now.since(self.since)
    }

    pub(crate) fn ended(&self, end: End) -> Ended {
        Ended { task: self.task, run: self.run.number, executor: None, end }
    }

    /// Whether a task that starts now would end, by the estimate, after its answer is needed.
    pub(crate) fn is_too_late(&self, now: Time) -> bool {
        now + self.estimate > self.give_up
    }

    /// Its deadline, for a start at `now` with this fixed part of the run time.
    pub(crate) fn deadline(&self, now: Time, fixed: Span) -> Deadline {
        let left = self.due.0 as i64 - now.0 as i64;
        Deadline { estimate: self.estimate, left, stretch: self.stretch, fixed }
    }

    /// Sort key: jobs that have begun first, as at their homes, then those that can still be in
    /// time, then by latest start.
    fn rank(&self, now: Time) -> (bool, bool, Time, Time) {
        (!self.begun, self.start_by < now, self.start_by, self.since)
    }
}

/// The queue of a keeper. Short, since homes send no more than there is room for.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    tasks: Vec<Queued>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Queued> {
        self.tasks.iter()
    }

    /// Thousandths of a core that its tasks need in total.
    pub(crate) fn cores(&self) -> u64 {
        self.tasks.iter().map(|queued| u64::from(queued.needs.cores.0)).sum()
    }

    pub(crate) fn push(&mut self, queued: Queued) {
        self.tasks.push(queued);
    }

    /// Removes and returns all tasks.
    pub(crate) fn drain(&mut self) -> Vec<Queued> {
        std::mem::take(&mut self.tasks)
    }

    /// Removes and returns the tasks that match.
    pub(crate) fn extract(&mut self, matches: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        self.tasks.extract_if(.., |queued| matches(queued)).collect()
    }

    /// Removes and returns all tasks, the most urgent first.
    pub(crate) fn drain_sorted(&mut self, now: Time) -> Vec<Queued> {
        self.tasks.sort_by_key(|queued| queued.rank(now));
        self.drain()
    }
}
