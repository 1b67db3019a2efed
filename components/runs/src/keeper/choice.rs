//! Chooses the executor for a task.
//!
//! Where executors differ in speed, fast ones are left to the tasks that are late on slow ones. A
//! task that would be in time on a fast executor is not started on a slow one in the meantime.

use super::{Keeper, Lease, Queued};
use crate::{action::Outlook, classes::Classes, executor::Kind, options::Choice, speed::Factor};
use site::{
    id::EndpointId,
    unit::{Cores, Memory, Resources, Span, Time},
};
use std::cmp::Reverse;

/// Resolution of slowness in steps per factor of 1, so that small differences leave the choice to
/// room.
const SLOWNESS_STEPS: f32 = 4.0;

/// Time over which the demand for fast executors is averaged. Several of the longest tasks.
const DEMAND_WINDOW: Span = Span::from_secs(2);

/// The executor chosen for a task.
#[derive(Clone, Debug)]
pub(super) struct Chosen {
    pub(super) executor: EndpointId,
    /// The kind of its machine.
    pub(super) kind: Option<Kind>,
    /// Whether the task will be in time there; `None` where all executors are alike.
    pub(super) outlook: Option<Outlook>,
    /// Whether the task is late on the slowest executors and in time on others.
    pub(super) is_demanding: bool,
}

/// Mean of the cores that tasks occupy which are in time on fast executors only.
#[derive(Debug, Default)]
pub(super) struct FastDemand {
    /// Thousandths of a core.
    mean: f64,
    at: Time,
}

impl FastDemand {
    /// Records that such a task occupies `cores` for `span`.
    pub(super) fn record(&mut self, now: Time, cores: u32, span: Span) {
        let part = span.0 as f64 / DEMAND_WINDOW.0 as f64;
        self.mean = self.mean(now) + f64::from(cores) * part;
        self.at = now;
    }

    fn mean(&self, now: Time) -> f64 {
        self.mean * (-(now.since(self.at).0 as f64) / DEMAND_WINDOW.0 as f64).exp()
    }
}

impl Keeper {
    /// Chooses the executor for a task; `None` if it has to wait.
    pub(super) fn choose_executor(&self, now: Time, queued: &Queued) -> Option<Chosen> {
        if self.has_other_run(queued) {
            return None;
        }
        match self.considers_speed() {
            true => self.choose_by_speed(now, queued),
            false => self.choose_fastest(now, queued),
        }
    }

    /// Whether the choice depends on the speed of kinds.
    pub(super) fn considers_speed(&self) -> bool {
        self.options.choice != Choice::Fastest
            && self.speeds.is_uneven()
            && !self.has_several_services
    }

    /// The part of a run time that does not depend on the task.
    pub(crate) fn fixed_run_time(&self) -> Span {
        self.speeds.fixed()
    }

    /// Among the executors with room the fastest by their own slowness, and of these the one with
    /// the least capacity left afterwards.
    fn choose_fastest(&self, now: Time, queued: &Queued) -> Option<Chosen> {
        let suits = |lease: &&Lease| {
            self.may_start(now, lease, queued)
                && lease.has_room_for(queued)
                && now + slowed(queued.estimate, lease.slowness) <= queued.give_up
        };
        let rank = |lease: &&Lease| {
            let slowness = (lease.slowness * SLOWNESS_STEPS) as u32;
            (self.is_doubted(lease.executor.id), slowness, lease.rank_of_fit(queued))
        };
        let best = self.leases.values().filter(suits).min_by_key(rank)?;
        Some(Chosen {
            executor: best.executor.id,
            kind: best.executor.kind.clone(),
            outlook: None,
            is_demanding: false,
        })
    }

    /// Among the executors on which the task is in time, one of the slowest with room, unless there
    /// is more fast room than tasks need that depend on it; the fastest if it is in time on none.
    fn choose_by_speed(&self, now: Time, queued: &Queued) -> Option<Chosen> {
        let open: Vec<_> =
            self.leases.values().filter(|lease| self.may_start(now, lease, queued)).collect();
        let classes: Classes = open.iter().map(|lease| lease.speed).collect();
        let limit = queued
            .deadline(now, self.speeds.fixed())
            .slowest(classes.fastest()?, self.options.caution_percent);
        let is_demanding = limit.is_some_and(|limit| classes.slowest() > Some(limit));
        let suits = |lease: &&&Lease| {
            lease.has_room_for(queued)
                && limit.is_none_or(|limit| lease.speed <= limit)
                && now + lease.speed.run_time(queued.estimate) <= queued.give_up
        };
        let fastest_first =
            limit.is_none() || !is_demanding && self.has_fast_room(now, &open, &classes, queued);
        let rank = |lease: &&&Lease| {
            let class = classes.index(lease.speed);
            let speed = if fastest_first { class } else { classes.len() - class };
            (self.is_doubted(lease.executor.id), speed, lease.rank_of_fit(queued))
        };
        let best = open.iter().filter(suits).min_by_key(rank)?;
        Some(Chosen {
            executor: best.executor.id,
            kind: best.executor.kind.clone(),
            outlook: Some(limit.map_or(Outlook::Late, |_| Outlook::InTime)),
            is_demanding,
        })
    }

    /// Whether a task may use a fast executor although it is in time on any: the tasks that depend
    /// on them have enough room without it.
    fn has_fast_room(
        &self,
        now: Time,
        open: &[&Lease],
        classes: &Classes,
        queued: &Queued,
    ) -> bool {
        if self.options.choice != Choice::Reserve {
            return false;
        }
        let fast = open.iter().filter(|lease| classes.index(lease.speed) + 1 < classes.len());
        let (free, demanded) = fast.fold((0, 0), |(free, demanded), lease| {
            (free + u64::from(lease.free().cores.0), demanded + lease.demanding_cores())
        });
        let wanted = self.demand.mean(now) as u64;
        free >= u64::from(queued.needs.cores.0) + wanted.saturating_sub(demanded)
    }

    /// Looks up the speed of each executor.
    pub(super) fn update_speeds(&mut self) {
        if !self.considers_speed() {
            return;
        }
        for lease in self.leases.values_mut() {
            lease.speed = match lease.executor.kind {
                Some(_) => self.speeds.factor(&lease.executor),
                None => Factor((lease.slowness * 100.0) as u16),
            };
        }
    }

    /// The speed of an executor for the limit of a run's time, which a fast executor does not lower.
    pub(super) fn expected_slowness(&self, lease: &Lease) -> Factor {
        match self.considers_speed() {
            true => lease.speed.max(Factor::ONE),
            false => Factor::ONE,
        }
    }

    /// Whether an executor accepts such a task, apart from its room.
    fn may_start(&self, now: Time, lease: &Lease, queued: &Queued) -> bool {
        lease.is_usable(now)
            && lease.executor.service == queued.service
            && lease.executor.capacity.fits(&queued.needs)
            && self.allows_starts(lease)
            && !queued.avoid.contains(&lease.executor.id)
            && queued.label.as_ref().is_none_or(|label| lease.executor.labels.contains(label))
            && queued
                .per_executor
                .is_none_or(|most| lease.count(queued.task.job) < usize::from(most))
    }
}

impl Lease {
    fn has_room_for(&self, queued: &Queued) -> bool {
        self.free().fits(&queued.needs)
    }

    /// Sort key of executors of one speed: the one with the least capacity left comes first.
    fn rank_of_fit(&self, queued: &Queued) -> (Cores, Memory, Reverse<EndpointId>) {
        let Resources { cores, memory, .. } = self.free().minus(&queued.needs);
        (cores, memory, Reverse(self.executor.id))
    }

    /// Thousandths of a core that tasks occupy which depend on fast executors.
    fn demanding_cores(&self) -> u64 {
        let demanding = self.runs.values().filter(|live| live.is_demanding);
        demanding.map(|live| u64::from(live.needs.cores.0)).sum()
    }
}

/// A span on an executor that takes `factor` times as long as others.
fn slowed(span: Span, factor: f32) -> Span {
    Span((span.0 as f32 * factor) as u64)
}
