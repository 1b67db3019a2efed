//! The executors that this entry keeps, and the tasks that wait for them.

mod handover;
mod hold;
mod lease;
mod life;
mod queue;
mod room;
mod start;
mod stop;

pub(crate) use room::Offer;

use lease::{Lease, Live, Looking, Phase, State};
use life::Life;
use queue::{Queue, Queued};

use crate::{
    Action, Cordon, Executor, Job, Message, Options,
    action::{Decision, Ending, KeepChange},
    executor::Service,
    job::Run,
    message::{self, End, Placement},
    view::View,
};
use health::Monitor;
use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, ServiceId},
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
    services: Option<FxHashMap<ServiceId, Service>>,
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
            self.typical = needs.with_one_slot();
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
    pub(crate) fn set_executors(
        &mut self,
        now: Time,
        executors: Vec<Executor>,
        out: &mut Vec<Action>,
    ) {
        self.known = executors.into_iter().map(|executor| (executor.id, executor)).collect();
        let mut reborn = Vec::new();
        for lease in self.leases.values_mut() {
            let Some(executor) = self.known.get(&lease.executor.id) else {
                lease.executor.leaving = true;
                continue;
            };
            match lease.life(executor.born) {
                Life::Known => lease.executor = executor.clone(),
                Life::New => {
                    reborn.push((executor.id, executor.born));
                    lease.executor = executor.clone();
                }
                // The executor itself told of a later one already.
                Life::Past => {}
            }
        }
        reborn.into_iter().for_each(|(id, born)| self.reborn(now, id, born, out));
    }

    /// Takes in which services jobs are sent to.
    pub(crate) fn set_services(&mut self, services: Vec<Service>) {
        let services = services.into_iter().map(|service| (service.id, service)).collect();
        let services: &FxHashMap<_, _> = self.services.insert(services);
        for lease in self.leases.values_mut() {
            lease.overcommits = overcommits(services, lease.executor.service);
        }
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

    /// Whether any executor is known.
    pub(crate) fn knows_executors(&self) -> bool {
        !self.known.is_empty()
    }

    /// Whether there are executors in use here, all of them under cordon.
    pub(crate) fn is_all_cordoned(&self) -> bool {
        let mut used = self.leases.values().filter(|lease| lease.is_in_use()).peekable();
        used.peek().is_some() && used.all(|lease| self.cordon.covers(lease.executor.data_centre))
    }

    fn is_named(&self, service: ServiceId) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains_key(&service))
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
            let mut lease = Lease::new(executor, phase);
            if let Some(services) = &self.services {
                lease.overcommits = overcommits(services, lease.executor.service);
            }
            self.leases.insert(lease.executor.id, lease);
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

/// Whether executors of a service start more than they have room for.
fn overcommits(services: &FxHashMap<ServiceId, Service>, service: ServiceId) -> bool {
    services.get(&service).is_some_and(|service| !service.guards_capacity)
}

fn log_keep(lease: &Lease, change: KeepChange, out: &mut Vec<Action>) {
    out.push(Action::Log(Decision::Keep {
        executor: lease.executor.name.clone(),
        change,
        token: lease.token,
        runs: lease.runs.len(),
    }));
}
