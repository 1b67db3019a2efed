//! The room of this entry's executors, and the work queued for them.

use super::{Keeper, Lease, Phase};
use crate::{
    Executor, Job,
    classes::Classes,
    load::{self, Load},
    message::{Room, SpeedClass},
    options::Supply,
};
use site::unit::{Resources, Span, Time};

/// What this entry's executors offer a new job.
#[derive(Debug)]
pub(crate) struct Offer {
    pub(crate) load: Load,
    pub(crate) room: Room,
    /// Whether all executors that could run it, here and elsewhere, are under cordon.
    pub(crate) is_cordoned: bool,
}

impl Keeper {
    /// What the executors offer a new job.
    pub(crate) fn offer(&self, now: Time, job: &Job) -> Offer {
        Offer { load: self.load(now), room: self.room(now), is_cordoned: self.is_cordoned(job) }
    }

    /// The room that homes may send tasks for now.
    pub(crate) fn room(&self, now: Time) -> Room {
        let usable: Vec<_> = self.usable(now).collect();
        if usable.is_empty() {
            return Room::default();
        }
        let (usual, queued) = (self.usual_needs.cores.0, self.queue.len() as u32);
        if self.considers_speed() {
            let mut room = self.room_by_speed(&usable);
            let (fixed, caution) = (self.speeds.fixed(), self.options.caution_percent);
            for queued in self.queue.iter() {
                let fastest = room.fastest(queued.needs.cores.0);
                let slowest = fastest
                    .and_then(|fastest| queued.deadline(now, fixed).slowest(fastest, caution));
                room.reserve_for(usual, 1, slowest);
            }
            return room;
        }
        let free = usable.iter().map(|lease| lease.free().cores.0);
        let mut cores: Vec<_> = free.filter(|free| *free > 0).collect();
        cores.sort_unstable();
        let mut room = Room { cores, ahead: self.options.queue_ahead, speeds: Vec::new() };
        room.reserve(usual, queued);
        room
    }

    /// The room of executors, grouped by their speed.
    fn room_by_speed(&self, usable: &[&Lease]) -> Room {
        let classes: Classes = usable.iter().map(|lease| lease.speed).collect();
        let mut free: Vec<_> = usable
            .iter()
            .map(|lease| (classes.index(lease.speed), lease.free().cores.0))
            .filter(|(_, free)| *free > 0)
            .collect();
        free.sort_unstable();
        let speeds = classes.factors().enumerate().map(|(index, factor)| {
            let executors = free.iter().filter(|(class, _)| *class == index).count();
            let of_class = usable.iter().filter(|lease| classes.index(lease.speed) == index);
            let largest = of_class.map(|lease| lease.executor.capacity.cores.0).max();
            let largest = (largest.unwrap_or_default() / 1_000).try_into().unwrap_or(u16::MAX);
            SpeedClass { factor, executors: executors as u16, largest }
        });
        let speeds = speeds.collect();
        let cores = free.into_iter().map(|(_, free)| free).collect();
        Room { cores, ahead: self.options.queue_ahead, speeds }
    }

    /// Number of tasks of usual size that the executors in use can run concurrently, under cordon
    /// or not.
    pub(crate) fn capacity(&self) -> u32 {
        let ready = self.leases.values().filter(|lease| lease.phase == Phase::Ready);
        ready.map(|lease| lease.executor.capacity.max_tasks(&self.usual_needs)).sum()
    }

    /// The work queued here, and how fast the executors in use get through it.
    pub(crate) fn load(&self, now: Time) -> Load {
        let size = u64::from(self.usual_needs.cores.0);
        let fitting =
            |resources: Resources| u64::from(resources.max_tasks(&self.usual_needs)) * size;
        let usable = self.leases.values().filter(|lease| self.is_usable_soon(now, lease));
        let (free, capacity) = usable.fold((0, 0), |(free, capacity), lease| {
            (free + fitting(lease.free()), capacity + fitting(lease.executor.capacity))
        });
        let unmeasured = if self.usual_run_time == Span::ZERO { capacity } else { 0 };
        let throughput = load::per_second(capacity, self.usual_run_time);
        Load { pending: self.queue.cores(), free, throughput, unmeasured }
    }

    /// How much of the capacity of executors in use is free.
    pub(crate) fn supply(&self, now: Time) -> Supply {
        let (free, capacity) = self.usable(now).fold((0, 0), |(free, capacity), lease| {
            let cores = |resources: Resources| u64::from(resources.cores.0);
            (free + cores(lease.free()), capacity + cores(lease.executor.capacity))
        });
        self.options.supply(free, capacity)
    }

    /// Whether an executor gets tasks now, or will once it has responded to its first poll.
    fn is_usable_soon(&self, now: Time, lease: &Lease) -> bool {
        let is_coming = matches!(lease.phase, Phase::Claiming { .. } | Phase::Polling);
        self.is_configured(lease.executor.service)
            && self.allows_starts(lease)
            && (lease.is_usable(now)
                || is_coming && !lease.executor.leaving && !lease.gone && lease.missed_polls == 0)
    }

    /// Whether health and cordon allow starts on an executor.
    pub(super) fn allows_starts(&self, lease: &Lease) -> bool {
        let Executor { id, data_centre, .. } = lease.executor;
        self.health.is_open(id) && !self.cordon.covers(data_centre) && self.spares_doubted(lease)
    }

    /// Executors that may get a task now if they have room for it.
    fn usable(&self, now: Time) -> impl Iterator<Item = &Lease> {
        self.leases.values().filter(move |lease| {
            lease.is_usable(now)
                && self.is_configured(lease.executor.service)
                && self.allows_starts(lease)
        })
    }
}
