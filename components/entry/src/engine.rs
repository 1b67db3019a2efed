//! Drives the decision logic: hands it events and carries out its actions.

use crate::{
    Clock, Peers,
    claims::Wanted,
    convert,
    failpoint::failpoint,
    latch::Latch,
    metrics::{self, Metrics},
    spawn::spawn,
    timer::Alarm,
    usage::Busy,
    waiters::{Waiters, Wake},
};
use async_channel::{Receiver, Sender};
use dispatch::{
    Action, Decision, Entry, Event, Message,
    action::Start,
    entry::Options,
    event::{Claim, Reply, Report},
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

/// Actions that one event commonly gives.
const ACTIONS: usize = 8;

/// Claims that may wait to be queued.
const CLAIMS: usize = 4_096;

/// Connections that this process may hold to one worker; a task holds one while it runs.
const WORKER_CONNECTIONS: u32 = 256;

/// What an engine reaches outside the process.
#[derive(Clone)]
pub struct Edges {
    /// Endpoints.
    pub transport: Arc<dyn Transport>,
    /// Other entries.
    pub peers: Arc<dyn Peers>,
    /// The log.
    pub log: Log,
}

/// Settings in force.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Their revision.
    pub revision: Revision,
    /// What they say.
    pub site: Arc<Site>,
}

/// One entry at work.
pub struct Engine {
    home: Home,
    clock: Clock,
    entry: Entry,
    waiters: Waiters,
    settings: RwLock<Settings>,
    edges: Edges,
    metrics: Metrics,
    alarm: Alarm,
    busy: Busy,
    /// Entries that share the executors' connections, this one included; at least 1.
    sharers: AtomicU32,
    claims: (Sender<Wanted>, Receiver<Wanted>),
    /// Set once a planned stop has begun.
    begun: Latch,
    /// Set once the logic has asked to exit.
    exit: Latch,
}

impl Engine {
    /// An engine at rest; [`Engine::run_timer`] must run for it to make progress.
    pub fn new(options: Options, edges: Edges, metrics: Metrics) -> Engine {
        let settings = Settings { revision: options.revision, site: options.site.clone() };
        edges.log.set_names(Names::of(&settings.site));
        Engine {
            home: options.home,
            clock: Clock::start(),
            entry: Entry::new(options),
            waiters: Waiters::default(),
            settings: RwLock::new(settings),
            edges,
            metrics,
            alarm: Alarm::default(),
            busy: Busy::default(),
            sharers: AtomicU32::new(1),
            claims: async_channel::bounded(CLAIMS),
            begun: Latch::default(),
            exit: Latch::default(),
        }
    }

    /// This process.
    pub fn home(&self) -> Home {
        self.home
    }

    /// The process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The token that callers make identifiers with now.
    pub fn token(&self) -> Token {
        self.entry.token()
    }

    /// The settings in force.
    pub fn settings(&self) -> Settings {
        self.settings.read().clone()
    }

    /// What is counted.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Callers that wait.
    pub fn waiters(&self) -> &Waiters {
        &self.waiters
    }

    /// The decision logic, for views of its state.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Other entries with an open connection.
    pub fn peers(&self) -> Vec<Home> {
        self.edges.peers.connected()
    }

    /// Gives up a connection that is being made. Returns whether there is none now.
    pub(crate) fn abandon_peer(&self, peer: Home) -> bool {
        self.edges.peers.abandon(peer)
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&self, to: Home, message: Message) {
        self.metrics.sent(&message);
        self.edges.peers.send(to, message);
    }

    /// Brings the levels among the metrics up to date.
    pub(crate) fn refresh_levels(&self) {
        let levels = self.metrics.levels();
        metrics::set(&levels.waiters, self.waiters.len() as u64);
        metrics::set(&levels.links, self.peers().len() as u64);
        metrics::set(&levels.dropped, self.edges.log.dropped());
    }

    /// Whether a planned stop has begun.
    pub fn draining(&self) -> bool {
        self.begun.is_set()
    }

    /// Claims that the logic wants made; each must be answered by [`Event::Claimed`].
    pub(crate) fn claims(&self) -> Receiver<Wanted> {
        self.claims.1.clone()
    }

    /// Returns once a planned stop has begun.
    pub(crate) async fn drain_begun(&self) {
        self.begun.wait().await;
    }

    /// Returns once the logic has finished a drain.
    pub async fn exited(&self) {
        self.exit.wait().await;
    }

    /// Workers that run tasks of this process.
    pub(crate) fn busy(&self) -> &Busy {
        &self.busy
    }

    /// Where calls to endpoints go.
    pub(crate) fn transport(&self) -> &dyn Transport {
        &*self.edges.transport
    }

    /// Puts accepted settings in force. Older revisions than the current are ignored.
    pub fn adopt(self: &Arc<Self>, revision: Revision, site: Arc<Site>) {
        {
            let mut settings = self.settings.write();
            if revision <= settings.revision {
                return;
            }
            *settings = Settings { revision, site: site.clone() };
        }
        metrics::set(&self.metrics.levels().revision, revision.0);
        self.edges.log.set_names(Names::of(&site));
        self.post(Event::Settings { revision, site });
    }

    /// Tells how many entries share the executors' connections.
    pub fn share(&self, entries: u32) {
        self.sharers.store(entries.max(1), Ordering::Relaxed);
    }

    /// Starts a planned stop. Does nothing the second time.
    pub fn drain(self: &Arc<Self>) {
        if self.begun.set() {
            tracing::info!("draining");
            self.post(Event::Drain);
        }
    }

    /// Hands an event to the logic and carries out what it wants done.
    pub fn post(self: &Arc<Self>, event: Event) {
        let now = self.clock.now();
        let mut actions = Vec::with_capacity(ACTIONS);
        failpoint!("before-admit", crate::failpoint::is_submission(&event));
        self.entry.handle(now, event, &mut actions);
        failpoint!("after-admit", crate::failpoint::admits(&actions));
        for action in actions {
            self.carry_out(now, action);
        }
        self.alarm.advance(self.entry.next_timer());
    }

    /// Ticks whenever the logic's next timer is due. Never returns.
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

    fn carry_out(self: &Arc<Self>, now: Time, action: Action) {
        match action {
            Action::Start(start) => self.start(start),
            Action::Stop { attempt, endpoint } => self.stop(attempt, endpoint),
            Action::Answer { waiter, id, answer } => {
                failpoint!("before-answer");
                self.waiters.wake(waiter, Wake::Answer { id, answer });
            }
            Action::Status { waiter, status } => self.waiters.wake(waiter, Wake::Status(status)),
            // `Config` asks, as it knows what is held and what is on its way.
            Action::Send { message: Message::SettingsWanted { .. }, .. } => {}
            Action::Send { to, message } => {
                failpoint!("before-answer", crate::failpoint::answers(&message));
                failpoint!("in-handover", crate::failpoint::hands_over(&message));
                self.send(to, message);
            }
            Action::Claim { waiter, firm, key, id, replaces, time_limit } => {
                let until = now + time_limit;
                self.claim(Wanted { waiter, firm, key, id, replaces, until });
            }
            Action::Log(decision) => self.log(now, decision),
            Action::Exit => drop(self.exit.set()),
        }
    }

    fn log(&self, now: Time, decision: Decision) {
        self.metrics.decided(&decision);
        self.edges.log.log_decision(now, decision);
    }

    fn claim(self: &Arc<Self>, wanted: Wanted) {
        if let Err(full) = self.claims.0.try_send(wanted) {
            let waiter = full.into_inner().waiter;
            self.post_later(Event::Claimed { waiter, result: Claim::Out });
        }
    }

    fn start(self: &Arc<Self>, start: Start) {
        self.metrics.started();
        let Some(call) = self.call(&start) else {
            let reply = Reply::NotSent;
            let elapsed = Span::ZERO;
            let report = Report { attempt: start.attempt, reply, leaving: false, elapsed };
            return self.post_later(Event::Report(report));
        };
        let worker = (call.place == Place::Workers).then_some(call.address);
        worker.inspect(|worker| self.busy.start(*worker));
        let engine = self.clone();
        spawn(async move {
            failpoint!("before-send");
            let report = convert::report(engine.edges.transport.call(call).await);
            failpoint!("after-report");
            worker.inspect(|worker| engine.busy.end(*worker));
            engine.metrics.ended(&report.reply);
            engine.post(Event::Report(report));
        });
    }

    /// The call for an attempt; `None` when its endpoint or service has left the settings.
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

    /// Most connections that this process may hold to an endpoint. An executor's are shared evenly
    /// between the entries, but for as many as it has slots, so that the one entry that places
    /// tasks on it can use them all.
    fn connections(&self, site: &Site, service: &Service, endpoint: EndpointId) -> u32 {
        let Some(executor) = site.executors.get(&endpoint) else { return WORKER_CONNECTIONS };
        let slots = executor.slots.unwrap_or(service.slots).0.min(service.connections);
        let share = service.connections / self.sharers.load(Ordering::Relaxed);
        share.max(slots).max(1)
    }

    fn stop(self: &Arc<Self>, attempt: AttemptId, endpoint: EndpointId) {
        let Some(address) = address(&self.settings.read().site, endpoint) else { return };
        let transport = self.edges.transport.clone();
        spawn(async move {
            // The attempt's own report tells what became of it.
            let _ = transport.stop(address, attempt).await;
        });
    }

    /// Hands in an event that follows from an action, after the actions of the current one.
    fn post_later(self: &Arc<Self>, event: Event) {
        let engine = self.clone();
        spawn(async move { engine.post(event) });
    }
}

fn address(site: &Site, endpoint: EndpointId) -> Option<SocketAddr> {
    let executor = site.executors.get(&endpoint).map(|e| e.address);
    executor.or_else(|| site.workers.get(&endpoint).map(|w| w.address))
}
