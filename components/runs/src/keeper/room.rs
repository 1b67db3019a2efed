//! What this entry's executors have room for, and the work that waits for them.

use super::{Keeper, Lease, Phase};
use crate::{
    Executor, Job,
    load::{self, Load},
    message::Room,
    options::Supply,
};
use site::unit::{Resources, Span, Time};

/// What this entry's executors offer a job that comes in.
#[derive(Debug)]
pub(crate) struct Offer {
    pub(crate) load: Load,
    pub(crate) room: Room,
    /// All executors that could run it, here and elsewhere, are under cordon.
    pub(crate) is_cordoned: bool,
}

impl Keeper {
    /// What there is for a job that comes in.
    pub(crate) fn offer(&self, now: Time, job: &Job) -> Offer {
        Offer { load: self.load(now), room: self.room(now), is_cordoned: self.is_cordoned(job) }
    }

    /// What may be sent here now.
    pub(crate) fn room(&self, now: Time) -> Room {
        let usable: Vec<_> = self.usable(now).collect();
        if usable.is_empty() {
            return Room::default();
        }
        let free = usable.iter().map(|lease| lease.free().cores.0);
        let mut cores: Vec<_> = free.filter(|free| *free > 0).collect();
        cores.sort_unstable();
        let mut room = Room { cores, ahead: self.options.queue_ahead };
        room.take(self.typical.cores.0, self.queue.len() as u32);
        room
    }

    /// Tasks of usual size that run at one time on the executors in use, under cordon or not.
    pub(crate) fn capacity(&self) -> u32 {
        let ready = self.leases.values().filter(|lease| lease.phase == Phase::Ready);
        ready.map(|lease| lease.executor.capacity.max_tasks(&self.typical)).sum()
    }

    /// The work that waits here, and how fast the executors in use get through it.
    pub(crate) fn load(&self, now: Time) -> Load {
        let size = u64::from(self.typical.cores.0);
        let fitting = |resources: Resources| u64::from(resources.max_tasks(&self.typical)) * size;
        let usable = self.leases.values().filter(|lease| self.may_use(now, lease));
        let (free, capacity) = usable.fold((0, 0), |(free, capacity), lease| {
            (free + fitting(lease.free()), capacity + fitting(lease.executor.capacity))
        });
        let unmeasured = if self.run_time == Span::ZERO { capacity } else { 0 };
        let turnover = load::per_second(capacity, self.run_time);
        Load { waiting: self.queue.cores(), free, turnover, unmeasured }
    }

    /// How much of the capacity of executors in use is free.
    pub(crate) fn supply(&self, now: Time) -> Supply {
        let (free, capacity) = self.usable(now).fold((0, 0), |(free, capacity), lease| {
            let cores = |resources: Resources| u64::from(resources.cores.0);
            (free + cores(lease.free()), capacity + cores(lease.executor.capacity))
        });
        self.options.supply(free, capacity)
    }

    /// Whether an executor gets tasks now, or once it has been looked at.
    fn may_use(&self, now: Time, lease: &Lease) -> bool {
        let is_coming = matches!(lease.phase, Phase::Claiming { .. } | Phase::Looking);
        self.is_named(lease.executor.service)
            && self.is_open(&lease.executor)
            && (lease.is_usable(now) || is_coming && !lease.executor.leaving && lease.silent == 0)
    }

    /// Whether tasks may be started at an executor, as far as its health and the operator go.
    pub(super) fn is_open(&self, executor: &Executor) -> bool {
        self.health.is_open(executor.id) && !self.cordon.covers(executor.data_centre)
    }

    /// Executors that may get a task now if they have room for it.
    fn usable(&self, now: Time) -> impl Iterator<Item = &Lease> {
        self.leases.values().filter(move |lease| {
            lease.is_usable(now)
                && self.is_named(lease.executor.service)
                && self.is_open(&lease.executor)
        })
    }
}
