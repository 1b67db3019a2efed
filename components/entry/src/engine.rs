//! Drives the decision logic: passes events to it and executes the actions that it returns.

use crate::{
    Clock, Peers,
    claims::ClaimRequest,
    convert,
    failpoint::failpoint,
    latch::Latch,
    metrics::{self, Metrics},
    spawn::spawn,
    timer::Alarm,
    usage::BusyWorkers,
    waiters::{Waiters, Wake},
};
use async_channel::{Receiver, Sender};
use dispatch::{
    Action, Decision, Entry, Event, Message,
    action::Start,
    entry::Options,
    event::{ClaimResult, Reply, Report},
};
use endpoint::{Call, Transport};
use parking_lot::RwLock;
use site::{
    Service, Site,
    id::{AttemptId, EndpointId, Home, Token},
    service::Place,
    unit::{Revision, Span, Time},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};
use telemetry::{Log, Names};

/// Capacity reserved for the actions of one event.
const ACTIONS_CAPACITY: usize = 8;

/// Capacity of the queue of key claims.
const CLAIM_QUEUE_CAPACITY: usize = 4_096;

/// Maximum connections of this process to one worker. A task occupies one while it runs.
const MAX_WORKER_CONNECTIONS: u32 = 256;

/// What an engine uses outside the decision logic.
#[derive(Clone)]
pub struct Dependencies {
    /// Sends calls to endpoints.
    pub transport: Arc<dyn Transport>,
    /// Sends messages to other entries.
    pub peers: Arc<dyn Peers>,
    /// Decision log.
    pub log: Log,
}

/// Settings in force, with their revision.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Revision of the settings; 0 for settings that the platform never accepted.
    pub revision: Revision,
    /// The parsed settings.
    pub site: Arc<Site>,
}

/// A running entry.
pub struct Engine {
    home: Home,
    clock: Clock,
    entry: Entry,
    waiters: Waiters,
    settings: RwLock<Settings>,
    dependencies: Dependencies,
    metrics: Metrics,
    alarm: Alarm,
    busy_workers: BusyWorkers,
    /// Number of entries that share the executors' connections, this one included; at least 1.
    entry_count: AtomicU32,
    claims: (Sender<ClaimRequest>, Receiver<ClaimRequest>),
    /// Set once a drain has started.
    drain_started: Latch,
    /// Set once the decision logic has returned [`Action::Exit`].
    exit: Latch,
}

impl Engine {
    /// Creates an engine. [`Engine::run_timer`] must run for it to make progress.
    pub fn new(options: Options, dependencies: Dependencies, metrics: Metrics) -> Engine {
        let settings = Settings { revision: options.revision, site: options.site.clone() };
        dependencies.log.set_names(Names::of(&settings.site));
        Engine {
            home: options.home,
            clock: Clock::start(),
            entry: Entry::new(options),
            waiters: Waiters::default(),
            settings: RwLock::new(settings),
            dependencies,
            metrics,
            alarm: Alarm::default(),
            busy_workers: BusyWorkers::default(),
            entry_count: AtomicU32::new(1),
            claims: async_channel::bounded(CLAIM_QUEUE_CAPACITY),
            drain_started: Latch::default(),
            exit: Latch::default(),
        }
    }

    /// Returns the identity of this process.
    pub fn home(&self) -> Home {
        self.home
    }

    /// Returns the clock that all event times refer to.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the home token with which callers currently create identifiers.
    pub fn token(&self) -> Token {
        self.entry.token()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Settings {
        self.settings.read().clone()
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the callers that wait for an answer.
    pub fn waiters(&self) -> &Waiters {
        &self.waiters
    }

    /// Returns the decision logic, for views of its state.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns the entries with an open connection.
    pub fn peers(&self) -> Vec<Home> {
        self.dependencies.peers.connected()
    }

    /// Stops waiting for a connection to `peer`; see [`Peers::cancel_connect`].
    pub(crate) fn cancel_connect(&self, peer: Home) -> bool {
        self.dependencies.peers.cancel_connect(peer)
    }

    /// Counts a message and sends it to a peer.
    pub(crate) fn send(&self, to: Home, message: Message) {
        self.metrics.record_sent(&message);
        self.dependencies.peers.send(to, message);
    }

    /// Updates the gauges that are not maintained by events.
    pub(crate) fn refresh_gauges(&self) {
        let gauges = self.metrics.gauges();
        metrics::set(&gauges.waiters, self.waiters.len() as u64);
        metrics::set(&gauges.links, self.peers().len() as u64);
        metrics::set(&gauges.dropped, self.dependencies.log.dropped());
    }

    /// Returns whether a drain has started.
    pub fn is_draining(&self) -> bool {
        self.drain_started.is_set()
    }

    /// Returns the queue of key claims that the logic requests. Each must be answered by
    /// [`Event::Claimed`].
    pub(crate) fn claims(&self) -> Receiver<ClaimRequest> {
        self.claims.1.clone()
    }

    /// Waits until a drain has started.
    pub(crate) async fn drain_started(&self) {
        self.drain_started.wait().await;
    }

    /// Waits until the decision logic has finished a drain.
    pub async fn exited(&self) {
        self.exit.wait().await;
    }

    /// Returns the workers that run tasks of this process.
    pub(crate) fn busy_workers(&self) -> &BusyWorkers {
        &self.busy_workers
    }

    /// Returns the transport for calls to endpoints.
    pub(crate) fn transport(&self) -> &dyn Transport {
        &*self.dependencies.transport
    }

    /// Puts accepted settings in force. Ignores revisions that are not newer than the current one.
    pub fn apply_settings(self: &Arc<Self>, revision: Revision, site: Arc<Site>) {
        {
            let mut settings = self.settings.write();
            if revision <= settings.revision {
                return;
            }
            *settings = Settings { revision, site: site.clone() };
        }
        metrics::set(&self.metrics.gauges().revision, revision.0);
        self.dependencies.log.set_names(Names::of(&site));
        self.post(Event::Settings { revision, site });
    }

    /// Sets the number of entries that share the executors' connections.
    pub fn set_entry_count(&self, entries: u32) {
        self.entry_count.store(entries.max(1), Ordering::Relaxed);
    }

    /// Starts a drain. Does nothing if it has started already.
    pub fn drain(self: &Arc<Self>) {
        if self.drain_started.set() {
            tracing::info!("draining");
            self.post(Event::Drain);
        }
    }

    /// Passes an event to the decision logic and executes the resulting actions.
    pub fn post(self: &Arc<Self>, event: Event) {
        let now = self.clock.now();
        let mut actions = Vec::with_capacity(ACTIONS_CAPACITY);
        failpoint!("before-admit", crate::failpoint::is_submission(&event));
        self.entry.handle(now, event, &mut actions);
        failpoint!("after-admit", crate::failpoint::admits(&actions));
        for action in actions {
            self.execute(now, action);
        }
        self.alarm.advance(self.entry.next_timer());
    }

    /// Posts a tick whenever the next timer of the logic expires. Never returns.
    pub async fn run_timer(self: Arc<Self>) {
        loop {
            let next = self.entry.next_timer();
            self.alarm.arm(next);
            if self.entry.next_timer() < next {
                continue;
            }
            self.alarm.sleep(self.clock.instant(next)).await;
            if self.entry.next_timer() <= self.clock.now() {
                self.post(Event::Tick);
            }
        }
    }

    fn execute(self: &Arc<Self>, now: Time, action: Action) {
        match action {
            Action::Start(start) => self.start(start),
            Action::Stop { attempt, endpoint } => self.stop(attempt, endpoint),
            Action::Answer { waiter, id, answer } => {
                failpoint!("before-answer");
                self.waiters.wake(waiter, Wake::Answer { id, answer });
            }
            Action::Status { waiter, status } => self.waiters.wake(waiter, Wake::Status(status)),
            // `Config` sends these requests, since it knows what is held and what is in transit.
            Action::Send { message: Message::SettingsWanted { .. }, .. } => {}
            Action::Send { to, message } => {
                failpoint!("before-answer", crate::failpoint::answers(&message));
                failpoint!("in-handover", crate::failpoint::hands_over(&message));
                self.send(to, message);
            }
            Action::Claim { waiter, firm, key, id, replaces, time_limit } => {
                let until = now + time_limit;
                self.claim(ClaimRequest { waiter, firm, key, id, replaces, until });
            }
            Action::Log(decision) => self.log(now, decision),
            Action::Exit => drop(self.exit.set()),
        }
    }

    fn log(&self, now: Time, decision: Decision) {
        self.metrics.record_decision(&decision);
        self.dependencies.log.log_decision(now, decision);
    }

    fn claim(self: &Arc<Self>, request: ClaimRequest) {
        if let Err(full) = self.claims.0.try_send(request) {
            let waiter = full.into_inner().waiter;
            self.post_later(Event::Claimed { waiter, result: ClaimResult::Unavailable });
        }
    }

    fn start(self: &Arc<Self>, start: Start) {
        self.metrics.record_start();
        let Some(call) = self.call(&start) else {
            let reply = Reply::NotSent;
            let elapsed = Span::ZERO;
            let report = Report { attempt: start.attempt, reply, leaving: false, elapsed };
            return self.post_later(Event::Report(report));
        };
        let worker = (call.place == Place::Workers).then_some(call.address);
        worker.inspect(|worker| self.busy_workers.start(*worker));
        let engine = self.clone();
        spawn(async move {
            failpoint!("before-send");
            let report = convert::report(engine.dependencies.transport.call(call).await);
            failpoint!("after-report");
            worker.inspect(|worker| engine.busy_workers.end(*worker));
            engine.metrics.record_end(&report.reply);
            engine.post(Event::Report(report));
        });
    }

    /// Builds the call for an attempt. Returns `None` if its endpoint or service is no longer in
    /// the settings.
    fn call(&self, start: &Start) -> Option<Call> {
        let site = self.settings.read().site.clone();
        let service = site.services.get(&start.submission.service)?;
        let task = start.submission.tasks.get(usize::from(start.task.index))?;
        Some(Call {
            attempt: start.attempt,
            task: start.task,
            address: address(&site, start.endpoint)?,
            place: service.place,
            service: service.name.clone(),
            content_type: task.content_type.clone(),
            body: task.body.clone(),
            needs: start.needs,
            time_limit: start.time_limit,
            body_limit: service.body_limit,
            connections: self.connections(&site, service, start.endpoint),
        })
    }

    /// Returns the maximum connections of this process to an endpoint. An executor's connections
    /// are divided evenly between the entries, but each entry may hold at least as many as the
    /// executor has slots, so that the one entry that places tasks on it can use all of them.
    fn connections(&self, site: &Site, service: &Service, endpoint: EndpointId) -> u32 {
        let Some(executor) = site.executors.get(&endpoint) else { return MAX_WORKER_CONNECTIONS };
        let slots = executor.slots.unwrap_or(service.slots).0.min(service.connections);
        let share = service.connections / self.entry_count.load(Ordering::Relaxed);
        share.max(slots).max(1)
    }

    fn stop(self: &Arc<Self>, attempt: AttemptId, endpoint: EndpointId) {
        let Some(address) = address(&self.settings.read().site, endpoint) else { return };
        let transport = self.dependencies.transport.clone();
        spawn(async move {
            // The report of the attempt itself contains its result.
            let _ = transport.stop(address, attempt).await;
        });
    }

    /// Posts an event that results from an action, after the remaining actions of the current
    /// event.
    fn post_later(self: &Arc<Self>, event: Event) {
        let engine = self.clone();
        spawn(async move { engine.post(event) });
    }
}

fn address(site: &Site, endpoint: EndpointId) -> Option<SocketAddr> {
    let executor = site.executors.get(&endpoint).map(|e| e.address);
    executor.or_else(|| site.workers.get(&endpoint).map(|w| w.address))
}
