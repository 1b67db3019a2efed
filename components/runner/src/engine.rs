//! Hands events in and carries actions out.

use crate::{Clock, Journal, Metrics, Orders, following::Following};
use async_channel::{Receiver, Sender};
use link::{Incoming, Node};
use parking_lot::Mutex;
use runs::{
    Action, Entry, Event, Executor, Job, Message, Options,
    action::{Look, Start},
    entry::TICK,
    executor::{Answered, Started},
    job::{Answer, Run},
};
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{EndpointId, Home, WaiterId},
    unit::Time,
};
use std::sync::{Arc, OnceLock};

// The logic asks for calls this often.
const _: () = assert!(timer::TICK_INTERVAL.as_micros() <= TICK.0 as u128);

/// Executors that are remembered beyond those listed, since runs may still be there.
const REMEMBERED: usize = 64;

/// What an engine is made of.
pub struct Setup {
    /// This process.
    pub home: Home,
    /// Limits of the logic.
    pub options: Options,
    /// The edge towards executors.
    pub orders: Arc<dyn Orders>,
    /// The log of decisions.
    pub journal: Journal,
    /// The instruments.
    pub metrics: Metrics,
}

/// Joins the logic with everything outside it.
pub struct Engine {
    core: Mutex<Core>,
    orders: Arc<dyn Orders>,
    journal: Journal,
    metrics: Metrics,
    clock: Clock,
    node: OnceLock<Arc<Node<Message>>>,
    following: Following,
    exited: (Sender<()>, Receiver<()>),
}

struct Core {
    entry: Entry,
    waiters: FxHashMap<WaiterId, Waiter>,
    next: u64,
    executors: FxHashMap<EndpointId, Arc<Executor>>,
    /// Kept for its memory.
    actions: Vec<Action>,
}

struct Waiter {
    since: Time,
    answer: Sender<Answer>,
}

/// Tells the logic when a caller goes before its answer.
struct Presence<'e> {
    engine: &'e Arc<Engine>,
    waiter: WaiterId,
}

impl Engine {
    /// An engine without connections and executors.
    pub fn new(setup: Setup) -> Arc<Engine> {
        let clock = Clock;
        Arc::new(Engine {
            core: Mutex::new(Core {
                entry: Entry::new(setup.home, setup.options, clock.now()),
                waiters: FxHashMap::default(),
                next: 0,
                executors: FxHashMap::default(),
                actions: Vec::new(),
            }),
            orders: setup.orders,
            journal: setup.journal,
            metrics: setup.metrics,
            clock,
            node: OnceLock::new(),
            following: Following::default(),
            exited: async_channel::bounded(1),
        })
    }

    /// Runs a job to its end. Dropping the future tells the logic that the caller has gone.
    pub async fn run(self: &Arc<Self>, job: impl FnOnce(Time) -> Job) -> Answer {
        let (sender, answer) = async_channel::bounded(1);
        let now = self.clock.now();
        let job = job(now);
        let waiter = {
            let mut core = self.core.lock();
            core.next += 1;
            let waiter = WaiterId(core.next);
            core.waiters.insert(waiter, Waiter { since: now, answer: sender });
            waiter
        };
        let presence = Presence { engine: self, waiter };
        self.feed(Event::Submit { waiter, job });
        let answer = answer.recv().await;
        drop(presence);
        // The sender is dropped without an answer only when the process ends.
        answer.unwrap_or(Answer::Failed)
    }

    /// Hands an event in and carries out what follows from it.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let mut core = self.core.lock();
        let now = self.clock.now();
        if let Event::Executors(executors) = &event {
            core.remember(executors);
        }
        let mut actions = std::mem::take(&mut core.actions);
        core.entry.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(&mut core, now, action);
        }
        core.actions = actions;
    }

    /// Whether callers can be served.
    pub fn can_serve(&self) -> bool {
        let core = self.core.lock();
        core.entry.can_serve() && !core.entry.is_leaving()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.core.lock().entry.is_leaving()
    }

    /// Returns once a planned stop has finished.
    pub async fn exited(&self) {
        // Nothing but the end is ever sent, and the sender lives as long as this.
        let _ = self.exited.1.recv().await;
    }

    /// Sends a message with a configuration to peers that know none as new and that this entry is to tell.
    pub fn tell_behind(&self, version: u64, message: &Message) {
        let now = self.clock.now();
        let behind = self.core.lock().entry.take_behind(now, version);
        for peer in behind {
            self.send(peer, message);
        }
    }

    /// Returns once the logic wants to know the executors, or wants to no longer.
    pub async fn wants_executors(&self, wanted: bool) {
        self.following.is(wanted).await;
    }

    /// The instruments.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Calls the logic at each tick, for good.
    pub async fn run_timer(self: Arc<Self>) {
        loop {
            timer::next_tick().await;
            self.feed(Event::Tick);
        }
    }

    /// Connects the engine with the other entries and takes in what they say, until the node is
    /// closed. `other` gets the messages that are not for the logic.
    pub async fn run_peers(
        self: Arc<Self>,
        node: Arc<Node<Message>>,
        incoming: Receiver<Incoming<Message>>,
        other: impl Fn(Message),
    ) {
        // A second node would be a fault of the caller, and the first one stays.
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
                    tracing::info!(%address, %error, "no connection to a peer");
                }
            }
        }
    }

    fn carry_out(self: &Arc<Self>, core: &mut Core, now: Time, action: Action) {
        match action {
            Action::Start(start) => {
                let executor = core.executors.get(&start.executor).cloned();
                self.spawn(self.clone().start(executor, start));
            }
            Action::Stop { executor: id, run, token } => {
                let executor = core.executors.get(&id).cloned();
                self.spawn(self.clone().stop(executor, id, run, token));
            }
            Action::Look(look) => {
                let executor = core.executors.get(&look.executor).cloned();
                self.spawn(self.clone().look(executor, look));
            }
            Action::Answer { waiter, answer } => {
                if let Some(entry) = core.waiters.remove(&waiter) {
                    self.metrics.answered(answer, now.since(entry.since));
                    // The caller may have gone.
                    let _ = entry.answer.try_send(answer);
                }
            }
            Action::Send { to, message } => self.send(to, &message),
            Action::FollowExecutors(wanted) => self.following.set(wanted),
            Action::Log(decision) => {
                self.metrics.decided(&decision);
                self.journal.write(now, &decision);
            }
            Action::Exit => {
                // A full channel says the same.
                let _ = self.exited.0.try_send(());
            }
        }
    }

    fn send(&self, to: Home, message: &Message) {
        if let Some(node) = self.node.get()
            && let Err(error) = node.send(to, message)
        {
            tracing::info!(%to, %error, "a message to a peer was dropped");
        }
    }

    /// Carries an order out beside all else, and hands in what came of it.
    fn spawn(self: &Arc<Self>, order: impl Future<Output = Event> + Send + 'static) {
        let engine = self.clone();
        smol::spawn(async move { engine.feed(order.await) }).detach();
    }

    async fn start(self: Arc<Self>, executor: Option<Arc<Executor>>, start: Start) -> Event {
        let reply = match &executor {
            Some(executor) => self.orders.start(executor, &start).await,
            None => Started::Unsent,
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
            None => Answered::Silent,
        };
        self.metrics.stopped(&reply);
        Event::Stopped { executor: id, run, reply }
    }

    async fn look(self: Arc<Self>, executor: Option<Arc<Executor>>, look: Look) -> Event {
        let reply = match &executor {
            Some(executor) => self.orders.look(executor, &look).await,
            None => Answered::Silent,
        };
        self.metrics.looked(&reply);
        let Look { executor, number, .. } = look;
        Event::Looked { executor, number, reply }
    }
}

impl Core {
    fn remember(&mut self, executors: &[Executor]) {
        if self.executors.len() > executors.len() + REMEMBERED {
            let listed: FxHashSet<EndpointId> =
                executors.iter().map(|executor| executor.id).collect();
            self.executors.retain(|id, _| listed.contains(id));
        }
        let known = executors.iter().map(|executor| (executor.id, Arc::new(executor.clone())));
        self.executors.extend(known);
    }
}

impl Drop for Presence<'_> {
    fn drop(&mut self) {
        let waits = self.engine.core.lock().waiters.remove(&self.waiter).is_some();
        if waits {
            self.engine.feed(Event::Leave { waiter: self.waiter });
        }
    }
}
