//! The keeper role of an entry: the executors that it keeps, and the tasks queued for them.

mod assignment;
mod choice;
mod forward;
mod incarnation;
mod lease;
mod overdue;
mod poll;
mod queue;
mod room;
mod standby;
mod start;
mod stop;
mod transfer;

pub(crate) use forward::Way;
pub(crate) use queue::Queued;
pub(crate) use room::Offer;

use choice::FastDemand;
use forward::Forwarding;
use incarnation::Age;
use lease::{Lease, OutstandingPoll, Ownership, Phase, State, TrackedRun};
use queue::Queue;

use crate::{
    Action, Cordon, Executor, Job, Message, Options,
    action::{Decision, Ending, ExecutorHealth, KeepChange},
    executor::Service,
    job::Run,
    message::{self, End, Placement},
    speed::Speeds,
    view::View,
};
use health::Monitor;
use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, ServiceId},
    unit::{Resources, Span, Time},
};

/// Divisor of the moving average of task sizes: the inverse of the weight of one task.
const NEEDS_WEIGHT: u32 = 16;

/// Divisor of the moving average of run times: the inverse of the weight of one run. Averages
/// over about a second of a keeper with 18 slots.
const RUN_TIME_WEIGHT: u64 = 64;

/// The executors that this entry keeps, and the tasks queued for them.
#[derive(Debug)]
pub(crate) struct Keeper {
    options: Options,
    /// Every executor that the platform lists.
    known: FxHashMap<EndpointId, Executor>,
    /// The services that jobs are sent to; `None` until the configuration is known. Executors of
    /// other services, which anybody may register, are left alone.
    services: Option<FxHashMap<ServiceId, Service>>,
    /// Data centres where no task may be started.
    cordon: Cordon,
    leases: FxHashMap<EndpointId, Lease>,
    queue: Queue,
    forwarding: Forwarding,
    health: Monitor,
    pub(crate) speeds: Speeds,
    /// The demand for fast executors.
    demand: FastDemand,
    /// Whether the kept executors serve several services. Room is not reported by service, so that
    /// homes could wait for fast executors of another one.
    has_several_services: bool,
    /// Moving average of the resources that a task needs.
    usual_needs: Resources,
    /// Moving average of the time from a start to its response.
    usual_start_time: Span,
    /// Moving average of the time for which a run occupies its executor.
    usual_run_time: Span,
    /// When an executor's response was last found to be lost.
    response_lost_at: Option<Time>,
    /// Ends to report to homes.
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
            forwarding: Forwarding::default(),
            health: Monitor::with_rule(options.health_rule.rule()),
            speeds: Speeds::new(&options),
            demand: FastDemand::default(),
            has_several_services: false,
            usual_needs: Resources::SLOT,
            usual_start_time: Span::ZERO,
            usual_run_time: Span::ZERO,
            response_lost_at: None,
            ends: Vec::new(),
        }
    }

    /// Returns the ends since the last call.
    pub(crate) fn take_ends(&mut self) -> Vec<message::Ended> {
        std::mem::take(&mut self.ends)
    }

    /// Whether no task is queued or was forwarded lately, and nothing runs on a kept executor.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty()
            && !self.forwarding.has_forwarded()
            && self.leases.values().all(|lease| lease.runs.is_empty())
    }

    /// Whether tasks are queued.
    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Queues tasks that were in transit for `transit` at most. Hands them back if that is too long or
    /// not known.
    pub(crate) fn place(&mut self, now: Time, placement: Placement, transit: Option<Span>) {
        let stale = transit.is_none_or(|transit| transit > self.options.stale_after);
        let transit = transit.unwrap_or_default();
        for place in &placement.tasks {
            let queued = Queued::new(now, &placement, place, transit);
            match stale {
                true => self.ends.push(queued.ended(End::NotRun)),
                false => {
                    self.update_usual_needs(&placement.needs);
                    if self.forwarding.forget(queued.task) {
                        self.set_owned(queued.task);
                    }
                    self.queue.push(queued);
                }
            }
        }
    }

    fn update_usual_needs(&mut self, needs: &Resources) {
        let old = self.usual_needs;
        if old.cores.0 == 0 && old.memory.0 == 0 {
            self.usual_needs = needs.with_one_slot();
            return;
        }
        let weight = u64::from(NEEDS_WEIGHT);
        let mix = |old: u64, new: u64| (old * (weight - 1) + new).div_ceil(weight);
        self.usual_needs.cores.0 = mix(u64::from(old.cores.0), u64::from(needs.cores.0)) as u32;
        self.usual_needs.memory.0 = mix(old.memory.0, needs.memory.0);
    }

    fn update_usual_run_time(&mut self, took: Span) {
        self.usual_run_time = match self.usual_run_time {
            Span::ZERO => took,
            old => Span((old.0 * (RUN_TIME_WEIGHT - 1) + took.0) / RUN_TIME_WEIGHT),
        };
    }

    /// Applies a new list of executors.
    pub(crate) fn set_executors(
        &mut self,
        now: Time,
        executors: Vec<Executor>,
        out: &mut Vec<Action>,
    ) {
        let span = self.options.lease;
        self.known = executors.into_iter().map(|executor| (executor.id, executor)).collect();
        self.retain_kinds();
        for lease in self.leases.values_mut() {
            let Some(executor) = self.known.get(&lease.executor.id) else {
                lease.executor.leaving = true;
                continue;
            };
            match lease.compare(executor.incarnation) {
                Age::Same => {
                    if lease.executor.address != executor.address {
                        lease.poll_before_use(now);
                    }
                    lease.executor = executor.clone();
                }
                Age::Newer => lease.restart(now, span, executor.clone(), out),
                // The executor itself reported a later one already.
                Age::Older => {}
            }
        }
    }

    /// Drops the speeds of kinds that no executor has. An entry that does not watch registrations
    /// knows no executor.
    fn retain_kinds(&mut self) {
        let kinds = self.known.values().filter_map(|executor| executor.kind.clone());
        let kinds = (!self.known.is_empty()).then(|| kinds.collect());
        self.speeds.retain_kinds(kinds);
    }

    /// Applies the services that jobs are sent to.
    pub(crate) fn set_services(&mut self, services: Vec<Service>) {
        let services = services.into_iter().map(|service| (service.id, service)).collect();
        let services: &FxHashMap<_, _> = self.services.insert(services);
        for lease in self.leases.values_mut() {
            lease.overcommits = overcommits(services, lease.executor.service);
        }
    }

    /// The latest known cordon.
    pub(crate) fn cordon(&self) -> &Cordon {
        &self.cordon
    }

    /// Applies a cordon; returns whether the data centres changed.
    pub(crate) fn set_cordon(&mut self, later: Cordon) -> bool {
        self.cordon.supersede(later)
    }

    /// Whether the cordon is all that prevents a job's tasks from running.
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

    /// Whether executors are in use here, and all of them are under cordon.
    pub(crate) fn is_all_cordoned(&self) -> bool {
        let mut used = self.leases.values().filter(|lease| lease.is_in_use()).peekable();
        used.peek().is_some() && used.all(|lease| self.cordon.covers(lease.executor.data_centre))
    }

    fn is_configured(&self, service: ServiceId) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains_key(&service))
    }

    /// Handles that the process did not run for a while: its leases may have expired and its queued
    /// tasks are stale.
    pub(crate) fn pause(&mut self) {
        for queued in self.queue.drain() {
            self.ends.push(queued.ended(End::NotRun));
        }
        for lease in self.leases.values_mut() {
            if lease.phase == Phase::Ready {
                lease.phase = Phase::Polling;
            }
            lease.poll_at = Some(Time(0));
        }
    }

    /// Does the work that is due by time.
    pub(crate) fn tick(&mut self, now: Time, view: &View, out: &mut Vec<Action>) {
        self.tick_forwarding(now);
        let mut changes = Vec::new();
        self.health.tick(now, &mut changes);
        for (id, change) in changes {
            self.record_health(id, change, out);
        }
        out.extend(self.speeds.refresh(now).into_iter().map(Action::Log));
        self.update_speeds();
        let ids: Vec<_> = self.leases.keys().copied().collect();
        let mut claims = Vec::new();
        for id in ids {
            self.tick_lease(now, id, view, &mut claims, out);
        }
        if !claims.is_empty() {
            let message = Message::Claim(claims);
            let claim_recipients = self.options.claim_recipients(view).into_iter();
            out.extend(claim_recipients.map(|to| Action::Send { to, message: message.clone() }));
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
            Phase::Settling { since }
                if self.options.is_settled(now, since, lease.former, view) =>
            {
                lease.token = lease.next_token(view);
                lease.phase = Phase::Claiming { until: now + self.options.claim_timeout };
                lease.claim_recipients = self.options.claim_recipients(view);
                log_keep(lease, KeepChange::Claim, None, out);
                claims.push(id);
                self.record_claim_answer(now, id, None, out);
            }
            Phase::Claiming { until } if until <= now => self.begin_polling(now, id, out),
            Phase::Fenced { until } if until <= now && self.options.may_claim_again(view) => {
                lease.phase = Phase::Settling { since: now };
            }
            Phase::Settling { .. } | Phase::Claiming { .. } | Phase::Fenced { .. } => {}
            Phase::Polling | Phase::Ready => self.tick_runs(now, id, out),
        }
    }

    /// Ends a run and records its end for its home.
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
                last_seen: live.seen.map(|seen| now.since(seen)),
                health: ExecutorHealth::of(&self.health, id),
            }));
        }
        if end == End::Done {
            let elapsed = now.since(live.sent);
            if let Some(due) = live.due.filter(|due| now > *due) {
                out.push(Action::Log(Decision::LateRun {
                    run: run.to_string().into(),
                    executor: lease.executor.name.clone(),
                    kind: lease.executor.kind.clone(),
                    late_by: now.since(due),
                }));
            }
            // A former keeper measured the first part of an inherited run, and nobody the transfer.
            if !live.inherited {
                self.speeds.observe(now, &lease.executor, elapsed, live.estimate);
            }
            self.update_usual_run_time(elapsed);
        }
        self.report_health(now, id, &live, end, how, out);
        let Some(task) = live.task else { return };
        let ended = message::Ended { task, run: run.number, executor: Some(id), end };
        self.ends.push(ended);
    }
}

/// Whether executors of a service start more than they have room for.
fn overcommits(services: &FxHashMap<ServiceId, Service>, service: ServiceId) -> bool {
    services.get(&service).is_some_and(|service| !service.guards_capacity)
}

fn log_keep(lease: &Lease, change: KeepChange, unkept: Option<Span>, out: &mut Vec<Action>) {
    out.push(Action::Log(Decision::Keep {
        executor: lease.executor.name.clone(),
        change,
        token: lease.token,
        runs: lease.runs.len(),
        unkept,
    }));
}
