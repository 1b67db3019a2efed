//! Tasks that wait at their keeper.

use crate::{
    job::{Run, Task},
    message::{End, Ended, Place, Placement},
};
use compact_str::CompactString;
use site::{
    id::{EndpointId, ServiceId},
    unit::{Resources, Span, Time},
};
use std::sync::Arc;

/// A task that waits at its keeper.
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
    /// Some task of the job has run.
    pub(crate) begun: bool,
    /// A start after this makes the job late, by the estimate.
    pub(crate) start_by: Time,
    pub(crate) avoid: Vec<EndpointId>,
    pub(crate) since: Time,
}

impl Queued {
    pub(crate) fn new(now: Time, placement: &Placement, place: &Place) -> Self {
        let Placement { job, name, spec, needs, label, per_executor, estimate, service, .. } =
            placement;
        Self {
            task: Task { job: *job, index: place.index },
            run: Run { job: name.clone(), index: place.index, number: place.run },
            spec: spec.clone(),
            needs: *needs,
            label: label.clone(),
            per_executor: *per_executor,
            estimate: *estimate,
            service: *service,
            give_up: now + placement.give_up_in,
            begun: placement.begun,
            start_by: now + (placement.due_in - *estimate),
            avoid: place.avoid.clone(),
            since: now,
        }
    }

    pub(crate) fn ended(&self, end: End) -> Ended {
        Ended { task: self.task, run: self.run.number, executor: None, end }
    }

    /// Whether nobody would need its answer any more.
    pub(crate) fn is_too_late(&self, now: Time) -> bool {
        now + self.estimate > self.give_up
    }

    /// Sorts jobs that have begun first, as their homes do, then what can still be in time, the most
    /// pressing first.
    fn rank(&self, now: Time) -> (bool, bool, Time, Time) {
        (!self.begun, self.start_by < now, self.start_by, self.since)
    }
}

/// Tasks that wait at their keeper. Short: homes send no more than there is room for.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Queued>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Thousandths of a core that its tasks need together.
    pub(crate) fn cores(&self) -> u64 {
        self.waiting.iter().map(|queued| u64::from(queued.needs.cores.0)).sum()
    }

    pub(crate) fn push(&mut self, queued: Queued) {
        self.waiting.push(queued);
    }

    /// Takes everything out.
    pub(crate) fn drain(&mut self) -> Vec<Queued> {
        std::mem::take(&mut self.waiting)
    }

    /// Takes out what matches.
    pub(crate) fn extract(&mut self, matches: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        self.waiting.extract_if(.., |queued| matches(queued)).collect()
    }

    /// Takes everything out, the most pressing first.
    pub(crate) fn drain_sorted(&mut self, now: Time) -> Vec<Queued> {
        self.waiting.sort_by_key(|queued| queued.rank(now));
        self.drain()
    }
}
