//! Feeds events to [`runs::Entry`] and carries out its actions.

use crate::{Clock, DecisionLog, Metrics, Orders, watch::ExecutorWatch};
use arrival::{Moment, Rounds};
use async_channel::{Receiver, Sender};
use link::{Incoming, Node};
use parking_lot::Mutex;
use runs::{
    Action, Entry, Event, Executor, Job, Message, Options,
    action::{Poll, Start},
    entry::TICK,
    executor::{Response, StartResponse},
    job::{Answer, Run},
};
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{EndpointId, Home, WaiterId},
    unit::{Span, Time},
};
use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

// [`runs::Entry`] expects ticks at least this often.
const _: () = assert!(timer::TICK_INTERVAL.as_micros() <= TICK.0 as u128);

/// Number of unlisted executors above which those that are no longer in use are forgotten.
const MAX_UNLISTED_EXECUTORS: usize = 64;

/// A peer that acknowledges nothing for this long gets no tasks. A round trip between data centres
/// takes a few milliseconds, and a VM whose processor share is used up may not run for 100 ms. Counted
/// from the second packet on, which is sent up to 100 ms after the first.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);

/// An executor without an order for this long runs nothing. Those with runs are polled several
/// times in a second, listed or not.
const IDLE_TIME: Span = Span::from_secs(10);

/// The parts of an engine.
pub struct Setup {
    /// The data centre, entry and incarnation of this process.
    pub home: Home,
    /// Limits of the entry's logic.
    pub options: Options,
    /// Sends orders to executors.
    pub orders: Arc<dyn Orders>,
    /// The log of decisions.
    pub decision_log: DecisionLog,
    /// The metrics of this entry.
    pub metrics: Metrics,
}

/// Connects [`runs::Entry`] with executors, peers and callers.
pub struct Engine {
    core: Mutex<Core>,
    orders: Arc<dyn Orders>,
    decision_log: DecisionLog,
    metrics: Metrics,
    clock: Clock,
    rounds: Mutex<Rounds>,
    node: OnceLock<Arc<Node<Message>>>,
    executor_watch: ExecutorWatch,
    exited: (Sender<()>, Receiver<()>),
}

struct Core {
    entry: Entry,
    waiters: FxHashMap<WaiterId, Waiter>,
    latest_waiter: u64,
    executors: FxHashMap<EndpointId, Known>,
    /// Reused between events, to avoid allocations.
    actions: Vec<Action>,
}

/// An executor that is listed, or on which runs may be.
struct Known {
    executor: Arc<Executor>,
    /// When it was last sent an order; zero if never.
    ordered: Time,
}

struct Waiter {
    since: Time,
    answer: Sender<Answer>,
}

/// Reports on drop that the caller has left, unless it has its answer.
struct CallerGuard<'e> {
    engine: &'e Arc<Engine>,
    waiter: WaiterId,
}

impl Engine {
    /// Creates an engine without connections and executors.
    pub fn new(setup: Setup) -> Arc<Engine> {
        let clock = Clock;
        Arc::new(Engine {
            core: Mutex::new(Core {
                entry: Entry::new(setup.home, setup.options, clock.now()),
                waiters: FxHashMap::default(),
                latest_waiter: 0,
                executors: FxHashMap::default(),
                actions: Vec::new(),
            }),
            orders: setup.orders,
            decision_log: setup.decision_log,
            metrics: setup.metrics,
            clock,
            rounds: Mutex::new(Rounds::new(clock.read_both())),
            node: OnceLock::new(),
            executor_watch: ExecutorWatch::default(),
            exited: async_channel::bounded(1),
        })
    }

    /// Runs a job and returns its answer. Dropping the future counts as the caller leaving.
    pub async fn run(self: &Arc<Self>, job: impl FnOnce(Time) -> Job) -> Answer {
        let (sender, answer) = async_channel::bounded(1);
        let now = self.clock.now();
        let job = job(now);
        let waiter = {
            let mut core = self.core.lock();
            core.latest_waiter += 1;
            let waiter = WaiterId(core.latest_waiter);
            core.waiters.insert(waiter, Waiter { since: now, answer: sender });
            waiter
        };
        let caller_guard = CallerGuard { engine: self, waiter };
        self.feed(Event::Submit { waiter, job });
        let answer = answer.recv().await;
        drop(caller_guard);
        // The sender is dropped without an answer only when the process ends, and then nothing is
        // known of the tasks.
        answer.unwrap_or(Answer::GivenUp)
    }

    /// Handles an event and carries out the actions that follow from it.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let mut core = self.core.lock();
        let now = self.clock.now();
        if let Event::Executors(executors) = &event {
            core.remember(now, executors);
        }
        let mut actions = std::mem::take(&mut core.actions);
        core.entry.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(&mut core, now, action);
        }
        core.actions = actions;
    }

    /// Describes the present moment, for readers of sockets.
    pub fn moment(&self) -> Moment {
        self.rounds.lock().moment(self.clock.read_both())
    }

    /// Whether this entry can serve callers.
    pub fn can_serve(&self) -> bool {
        let core = self.core.lock();
        core.entry.can_serve() && !core.entry.is_leaving()
    }

    /// Whether a drain has begun.
    pub fn is_leaving(&self) -> bool {
        self.core.lock().entry.is_leaving()
    }

    /// Returns once a drain has finished.
    pub async fn exited(&self) {
        // Only the end of the drain is ever sent, and the sender lives as long as the engine.
        let _ = self.exited.1.recv().await;
    }

    /// Sends a configuration message to the outdated peers that this entry has to send it to now.
    pub fn send_to_outdated_peers(&self, version: u64, message: &Message) {
        let now = self.clock.now();
        let outdated = self.core.lock().entry.take_outdated_peers(now, version);
        for peer in outdated {
            self.send(peer, message);
        }
    }

    /// Returns once the watch of executors' registrations has to be on (`true`) or off (`false`).
    pub async fn wait_for_executor_watch(&self, wanted: bool) {
        self.executor_watch.wait_for(wanted).await;
    }

    /// The metrics of this entry.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Feeds a tick to the entry at each interval. Never returns.
    pub async fn run_timer(self: Arc<Self>) {
        loop {
            timer::next_tick().await;
            self.rounds.lock().begin(self.clock.read_both());
            let unresponsive = self.node.get().map(|node| node.unresponsive(RESPONSE_TIMEOUT));
            for peer in unresponsive.unwrap_or_default() {
                self.feed(Event::PeerUnresponsive { peer });
            }
            self.feed(Event::Tick);
        }
    }

    /// Connects the engine with the other entries and handles their messages until the node is
    /// closed. `other` gets the messages that carry a configuration.
    pub async fn run_peers(
        self: Arc<Self>,
        node: Arc<Node<Message>>,
        incoming: Receiver<Incoming<Message>>,
        other: impl Fn(Message),
    ) {
        // Calling this twice is a bug of the caller; the first node stays.
        let _ = self.node.set(node);
        while let Ok(event) = incoming.recv().await {
            match event {
                Incoming::Up { peer } => self.feed(Event::PeerUp { peer }),
                Incoming::Down { peer } => self.feed(Event::PeerDown { peer }),
                Incoming::Message { message: message @ Message::Configuration { .. }, .. } => {
                    other(message);
                }
                Incoming::Message { from, message } => self.feed(Event::Message { from, message }),
                Incoming::Failed { address, error } => {
                    tracing::info!(%address, %error, "connection to a peer failed");
                }
            }
        }
    }

    fn carry_out(self: &Arc<Self>, core: &mut Core, now: Time, action: Action) {
        match action {
            Action::Start(start) => {
                let executor = core.executor(now, start.executor);
                self.spawn(self.clone().start(executor, start));
            }
            Action::Stop { executor: id, run, token } => {
                let executor = core.executor(now, id);
                self.spawn(self.clone().stop(executor, id, run, token));
            }
            Action::Poll(poll) => {
                let executor = core.executor(now, poll.executor);
                self.spawn(self.clone().poll(executor, poll));
            }
            Action::Answer { waiter, answer } => {
                if let Some(waiter) = core.waiters.remove(&waiter) {
                    self.metrics.answered(answer, now.since(waiter.since));
                    // The caller may have left.
                    let _ = waiter.answer.try_send(answer);
                }
            }
            Action::Send { to, message } => self.send(to, &message),
            Action::WatchExecutors(wanted) => self.executor_watch.set(wanted),
            Action::Log(decision) => {
                self.metrics.decided(&decision);
                self.decision_log.write(now, &decision);
            }
            Action::Exit => {
                // A full channel holds the same signal already.
                let _ = self.exited.0.try_send(());
            }
        }
    }

    fn send(&self, to: Home, message: &Message) {
        if let Some(node) = self.node.get()
            && let Err(error) = node.send(to, message)
        {
            tracing::info!(%to, %error, "dropped a message to a peer");
        }
    }

    /// Sends an order in a task of its own and feeds the result back.
    fn spawn(self: &Arc<Self>, order: impl Future<Output = Event> + Send + 'static) {
        let engine = self.clone();
        smol::spawn(async move { engine.feed(order.await) }).detach();
    }

    async fn start(self: Arc<Self>, executor: Option<Arc<Executor>>, start: Start) -> Event {
        let reply = match &executor {
            Some(executor) => self.orders.start(executor, &start).await,
            None => StartResponse::Unsent,
        };
        self.metrics.started(&reply);
        let Start { executor, run, .. } = start;
        Event::Started { executor, run, reply }
    }

    async fn stop(
        self: Arc<Self>,
        executor: Option<Arc<Executor>>,
        id: EndpointId,
        run: Run,
        token: u64,
    ) -> Event {
        let reply = match &executor {
            Some(executor) => self.orders.stop(executor, &run, token).await,
            None => Response::Silent,
        };
        self.metrics.stopped(&reply);
        Event::Stopped { executor: id, run, reply }
    }

    async fn poll(self: Arc<Self>, executor: Option<Arc<Executor>>, poll: Poll) -> Event {
        let reply = match &executor {
            Some(executor) => self.orders.poll(executor, &poll).await,
            None => Response::Silent,
        };
        self.metrics.polled(&reply);
        let Poll { executor, number, .. } = poll;
        Event::Polled { executor, number, reply }
    }
}

impl Core {
    /// Returns an executor that gets an order now.
    fn executor(&mut self, now: Time, id: EndpointId) -> Option<Arc<Executor>> {
        let known = self.executors.get_mut(&id)?;
        known.ordered = now;
        Some(known.executor.clone())
    }

    fn remember(&mut self, now: Time, executors: &[Executor]) {
        if self.executors.len() > executors.len() + MAX_UNLISTED_EXECUTORS {
            let listed: FxHashSet<EndpointId> =
                executors.iter().map(|executor| executor.id).collect();
            let in_use = |known: &Known| now.since(known.ordered) < IDLE_TIME;
            self.executors.retain(|id, known| listed.contains(id) || in_use(known));
        }
        for executor in executors {
            let ordered = self.executors.get(&executor.id).map_or(Time(0), |known| known.ordered);
            let known = Known { executor: Arc::new(executor.clone()), ordered };
            self.executors.insert(executor.id, known);
        }
    }
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        let waits = self.engine.core.lock().waiters.remove(&self.waiter).is_some();
        if waits {
            self.engine.feed(Event::Leave { waiter: self.waiter });
        }
    }
}
