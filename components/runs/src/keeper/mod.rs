//! The executors that this entry keeps, and the tasks that wait for them.

mod hold;
mod lease;
mod queue;
mod start;
mod stop;

use lease::{Lease, Live, Looking, Phase, State};
use queue::{Queue, Queued};

use crate::{
    Action, Cordon, Executor, Job, Message, Options,
    action::{Decision, Ending, KeepChange},
    job::Run,
    load::{self, Load},
    message::{self, End, Moved, Placement, Room, Yield, Yielded},
    options::Supply,
    view::View,
};
use health::Monitor;
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{EndpointId, Home, ServiceId},
    unit::{Resources, Span, Time},
};

/// By how much one task moves what counts as its usual need, as a divisor.
const TYPICAL_WEIGHT: u32 = 16;

/// By how much one run moves how long they usually take, as a divisor. About a second of a keeper
/// with 18 slots.
const TIME_WEIGHT: u64 = 64;

/// The executors that this entry keeps, and the tasks that wait for them.
#[derive(Debug)]
pub(crate) struct Keeper {
    options: Options,
    /// Every executor that the platform lists.
    known: FxHashMap<EndpointId, Executor>,
    /// The services that jobs are sent to; `None` until the configuration is known. Executors of
    /// others, which anybody may register, are left alone.
    services: Option<FxHashSet<ServiceId>>,
    /// Where no task may be started.
    cordon: Cordon,
    leases: FxHashMap<EndpointId, Lease>,
    queue: Queue,
    health: Monitor,
    /// What a task usually needs.
    typical: Resources,
    /// How long a start usually takes until its answer.
    start_time: Span,
    /// How long a run usually occupies its executor.
    run_time: Span,
    /// When an executor's answer was last found to be missing.
    missing_at: Option<Time>,
    /// What homes are to be told.
    ends: Vec<message::Ended>,
}

/// What this entry's executors offer a job that comes in.
#[derive(Debug)]
pub(crate) struct Offer {
    pub(crate) load: Load,
    pub(crate) room: Room,
    /// All executors that could run it, here and elsewhere, are under cordon.
    pub(crate) is_cordoned: bool,
}

impl Keeper {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            known: FxHashMap::default(),
            services: None,
            cordon: Cordon::default(),
            leases: FxHashMap::default(),
            queue: Queue::default(),
            health: Monitor::new(),
            typical: Resources::SLOT,
            start_time: Span::ZERO,
            run_time: Span::ZERO,
            missing_at: None,
            ends: Vec::new(),
        }
    }

    /// What became of tasks since the last call.
    pub(crate) fn take_ends(&mut self) -> Vec<message::Ended> {
        std::mem::take(&mut self.ends)
    }

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
        ready.map(|lease| lease.executor.capacity.count(&self.typical)).sum()
    }

    /// The work that waits here, and how fast the executors in use get through it.
    pub(crate) fn load(&self, now: Time) -> Load {
        let size = u64::from(self.typical.cores.0);
        let fitting = |resources: Resources| u64::from(resources.count(&self.typical)) * size;
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
    fn is_open(&self, executor: &Executor) -> bool {
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

    /// Whether there is no executor that could be handed over.
    pub(crate) fn keeps_nothing(&self) -> bool {
        !self.leases.values().any(Lease::is_in_use)
    }

    /// Whether anything runs or waits here for a home, or an executor is kept.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.leases.values().all(|lease| lease.runs.is_empty())
    }

    /// Takes tasks in, or hands them back if they were on their way for too long.
    pub(crate) fn place(&mut self, now: Time, placement: Placement, stale: bool) {
        for place in &placement.tasks {
            let queued = Queued::new(now, &placement, place);
            match stale {
                true => self.ends.push(queued.ended(End::NotRun)),
                false => {
                    self.learn_need(&placement.needs);
                    self.queue.push(queued);
                }
            }
        }
    }

    fn learn_need(&mut self, needs: &Resources) {
        let old = self.typical;
        if old.cores.0 == 0 && old.memory.0 == 0 {
            self.typical = needs.with_slot();
            return;
        }
        let weight = u64::from(TYPICAL_WEIGHT);
        let mix = |old: u64, new: u64| (old * (weight - 1) + new).div_ceil(weight);
        self.typical.cores.0 = mix(u64::from(old.cores.0), u64::from(needs.cores.0)) as u32;
        self.typical.memory.0 = mix(old.memory.0, needs.memory.0);
    }

    fn learn_time(&mut self, took: Span) {
        self.run_time = match self.run_time {
            Span::ZERO => took,
            old => Span((old.0 * (TIME_WEIGHT - 1) + took.0) / TIME_WEIGHT),
        };
    }

    /// Takes a new list of executors in.
    pub(crate) fn set_executors(&mut self, executors: Vec<Executor>) {
        self.known = executors.into_iter().map(|executor| (executor.id, executor)).collect();
        for lease in self.leases.values_mut() {
            match self.known.get(&lease.executor.id) {
                Some(executor) => lease.executor = executor.clone(),
                None => lease.executor.leaving = true,
            }
        }
    }

    /// Takes in which services jobs are sent to.
    pub(crate) fn set_services(&mut self, services: Vec<ServiceId>) {
        self.services = Some(services.into_iter().collect());
    }

    /// The latest cordon that is known.
    pub(crate) fn cordon(&self) -> &Cordon {
        &self.cordon
    }

    /// Takes in which data centres are under cordon; returns whether they changed.
    pub(crate) fn set_cordon(&mut self, later: Cordon) -> bool {
        self.cordon.supersede(later)
    }

    /// Whether a job's tasks could run, but for the cordon.
    pub(crate) fn is_cordoned(&self, job: &Job) -> bool {
        if self.cordon.data_centres().is_empty() {
            return false;
        }
        let suits = |executor: &&Executor| {
            executor.service == job.service && executor.capacity.fits(&job.needs)
        };
        let mut suitable = self.known.values().filter(suits).peekable();
        suitable.peek().is_some()
            && suitable.all(|executor| self.cordon.covers(executor.data_centre))
    }

    fn is_named(&self, service: ServiceId) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(&service))
    }

    fn is_wanted(&self, view: &View, executor: &Executor) -> bool {
        self.is_named(executor.service) && view.keeps(executor)
    }

    /// Begins to keep what the view says, and forgets what is gone.
    pub(crate) fn reconcile(&mut self, now: Time, view: &View, out: &mut Vec<Action>) {
        let is_new = |executor: &&Executor| {
            !self.leases.contains_key(&executor.id) && self.is_wanted(view, executor)
        };
        let new: Vec<_> = self.known.values().filter(is_new).cloned().collect();
        for executor in new {
            let phase = Phase::Settling { since: now };
            self.health.insert(executor.id);
            self.leases.insert(executor.id, Lease::new(executor, phase));
        }
        let is_over = |lease: &Lease| {
            let unused = !matches!(lease.phase, Phase::Ready | Phase::Looking);
            let unwanted = unused && !self.is_wanted(view, &lease.executor);
            let gone = !self.known.contains_key(&lease.executor.id) && lease.runs.is_empty();
            unwanted || gone
        };
        let over: Vec<_> =
            self.leases.values().filter(|lease| is_over(lease)).map(|l| l.executor.id).collect();
        for id in over {
            self.forget(id, KeepChange::Gone, out);
        }
    }

    fn forget(&mut self, id: EndpointId, change: KeepChange, out: &mut Vec<Action>) {
        if let Some(lease) = self.leases.remove(&id) {
            if !matches!(lease.phase, Phase::Settling { .. }) {
                log_keep(&lease, change, out);
            }
            self.health.remove(id);
        }
    }

    /// Hands executors over to another entry that now keeps them.
    pub(crate) fn hand_over(
        &mut self,
        now: Time,
        to: Home,
        executors: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        let (kept, others): (Vec<_>, Vec<_>) =
            executors.iter().partition(|id| self.leases.get(id).is_some_and(Lease::is_in_use));
        out.push(Action::Send { to, message: Message::Disclaim(others) });
        for id in &kept {
            let Some(lease) = self.leases.get(id) else { continue };
            let message = Message::Yield(Yield {
                executor: *id,
                token: lease.token,
                acknowledged: lease.acknowledged,
                runs: lease.runs.iter().filter_map(|(run, live)| yielded(now, run, live)).collect(),
            });
            out.push(Action::Send { to, message });
            self.forget(*id, KeepChange::Yield, out);
        }
    }

    /// Takes over what a former keeper knew of an executor. Returns the runs that it had there.
    pub(crate) fn take_over(
        &mut self,
        now: Time,
        view: &View,
        yielded: Yield,
        out: &mut Vec<Action>,
    ) -> Vec<Moved> {
        let Some(lease) = self.leases.get_mut(&yielded.executor) else { return Vec::new() };
        if !matches!(lease.phase, Phase::Claiming { .. } | Phase::Looking) {
            return Vec::new();
        }
        lease.token = lease.token.max(view.token_above(yielded.token));
        lease.acknowledged = lease.acknowledged.max(yielded.acknowledged);
        lease.inherit(now, self.options.lease);
        let mut moved = Vec::new();
        for entry in yielded.runs {
            let live = Live {
                task: Some(entry.task),
                needs: entry.needs,
                estimate: entry.estimate,
                give_up: now + entry.give_up_in,
                sent: Time(now.0.saturating_sub(entry.running_for.0)),
                state: State::Unsure { since: now },
                seen: None,
                stop: None,
            };
            self.health.may_use(now, yielded.executor);
            moved.push(Moved { task: entry.task, run: entry.run.number });
            lease.insert(entry.run, live);
        }
        if matches!(lease.phase, Phase::Claiming { .. }) {
            self.begin_look(now, yielded.executor, out);
        }
        moved
    }

    /// Another entry does not keep these executors, or can't be asked.
    pub(crate) fn disclaimed(
        &mut self,
        now: Time,
        from: Home,
        executors: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        executors.iter().for_each(|id| self.end_claim(now, *id, Some(from), out));
    }

    /// The connection to an entry is lost that may have been asked for executors.
    pub(crate) fn peer_lost(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        let asked = |lease: &&Lease| lease.asked.contains(&peer);
        let ids: Vec<_> = self.leases.values().filter(asked).map(|l| l.executor.id).collect();
        self.disclaimed(now, peer, &ids, out);
    }

    /// Notes who has answered a claim; without anybody left to ask, the executor is looked at.
    fn end_claim(
        &mut self,
        now: Time,
        id: EndpointId,
        answered: Option<Home>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.asked.retain(|home| Some(*home) != answered);
        if matches!(lease.phase, Phase::Claiming { .. }) && lease.asked.is_empty() {
            self.begin_look(now, id, out);
        }
    }

    /// The process did not run for a while: its leases may have lapsed and what waits is stale.
    pub(crate) fn pause(&mut self) {
        for queued in self.queue.drain() {
            self.ends.push(queued.ended(End::NotRun));
        }
        for lease in self.leases.values_mut() {
            if lease.phase == Phase::Ready {
                lease.phase = Phase::Looking;
            }
            lease.look_at = Some(Time(0));
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Time, view: &View, out: &mut Vec<Action>) {
        let mut changes = Vec::new();
        self.health.tick(now, &mut changes);
        for (id, change) in changes {
            self.note_health(id, change, out);
        }
        let ids: Vec<_> = self.leases.keys().copied().collect();
        let mut claims = Vec::new();
        for id in ids {
            self.tick_lease(now, id, view, &mut claims, out);
        }
        if !claims.is_empty() {
            let message = Message::Claim(claims);
            let asked = self.options.former_keepers(view).into_iter();
            out.extend(asked.map(|to| Action::Send { to, message: message.clone() }));
        }
    }

    fn tick_lease(
        &mut self,
        now: Time,
        id: EndpointId,
        view: &View,
        claims: &mut Vec<EndpointId>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        match lease.phase {
            Phase::Settling { since } if self.options.is_settled(now, since, view) => {
                lease.token = view.token(lease.tries);
                lease.phase = Phase::Claiming { until: now + self.options.claim_timeout };
                lease.asked = self.options.former_keepers(view);
                log_keep(lease, KeepChange::Claim, out);
                claims.push(id);
                self.end_claim(now, id, None, out);
            }
            Phase::Claiming { until } if until <= now => self.begin_look(now, id, out),
            Phase::Fenced { until } if until <= now => {
                lease.phase = Phase::Settling { since: now };
            }
            Phase::Settling { .. } | Phase::Claiming { .. } | Phase::Fenced { .. } => {}
            Phase::Looking | Phase::Ready => self.tick_runs(now, id, out),
        }
    }

    /// Ends a run for its home and for all that counted on it.
    fn end_run(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        end: End,
        how: Ending,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some(live) = lease.remove(run) else { return };
        if end != End::Done {
            out.push(Action::Log(Decision::RunEnded {
                run: run.to_string().into(),
                executor: lease.executor.name.clone(),
                how,
                after: now.since(live.sent),
            }));
        }
        if end == End::Done {
            self.learn_time(now.since(live.sent));
        }
        self.judge(now, id, &live, end, how, out);
        let Some(task) = live.task else { return };
        let ended = message::Ended { task, run: run.number, executor: Some(id), end };
        self.ends.push(ended);
    }
}

/// What another keeper has to know of a run; nothing of one that is unknown here.
fn yielded(now: Time, run: &Run, live: &Live) -> Option<Yielded> {
    Some(Yielded {
        run: run.clone(),
        task: live.task?,
        needs: live.needs,
        estimate: live.estimate,
        running_for: now.since(live.sent),
        give_up_in: live.give_up.since(now),
    })
}

fn log_keep(lease: &Lease, change: KeepChange, out: &mut Vec<Action>) {
    out.push(Action::Log(Decision::Keep {
        executor: lease.executor.name.clone(),
        change,
        token: lease.token,
        runs: lease.runs.len(),
    }));
}
