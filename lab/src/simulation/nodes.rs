//! Starts and connects entries, passes events to them and carries out their actions.

use super::{FIRST_JOB_US, NETWORK_DELAY_US, Order, PlacedFar, Progress, Simulation, Step};
use ::arrival::{Clocks, Rounds};
use rand::Rng;
use runs::{Action, Decision, Entry, Event, Executor, Message, action::KeepChange, entry::TICK};
use site::{
    id::Incarnation,
    unit::{Revision, Span, Time},
};

impl Simulation {
    pub(super) fn start_entry(&mut self, node: usize) {
        let now = self.now;
        if self.is_turned_away(node) {
            // A process can't start without the store.
            return self.at(self.nodes[node].turned_away_until, Step::Restart(node));
        }
        let fresh: u64 = self.random.random();
        let entry = &mut self.nodes[node];
        entry.home.incarnation = Incarnation(fresh);
        entry.entry = Some(Entry::new(entry.home, self.plan.options, now));
        entry.listed = true;
        entry.rounds = Rounds::new(clocks(now));
        entry.exited = false;
        let incarnation = entry.home.incarnation;
        self.after(TICK.0, Step::Tick(node, incarnation));
        let executors = self.executors();
        self.handle_event(node, Event::Executors(executors));
        let processors = self.nodes.iter().enumerate();
        let processors =
            processors.map(|(index, other)| (other.home.entry, self.plan.processor(index)));
        self.handle_event(node, Event::Processors(processors.collect()));
        // An entry registers only once it has read the cordons.
        self.handle_event(node, self.cordoned());
        self.publish_members();
        for other in 0..self.nodes.len() {
            self.after(20_000, Step::LinkUp(node, other));
        }
    }

    pub(super) fn executors(&self) -> Vec<Executor> {
        self.slots.iter().map(|slot| slot.executor.clone()).collect()
    }

    pub(super) fn publish_executors(&mut self) {
        for node in self.served() {
            let event = Event::Executors(self.executors());
            let incarnation = self.nodes[node].home.incarnation;
            self.after(5_000, Step::HandleEvent(node, incarnation, event));
        }
    }

    pub(super) fn publish_members(&mut self) {
        self.revision += 1;
        let members: Vec<_> =
            self.nodes.iter().filter(|node| node.listed).map(|node| node.home).collect();
        for node in self.served() {
            let event =
                Event::Members { revision: Revision(self.revision), members: members.clone() };
            let incarnation = self.nodes[node].home.incarnation;
            self.after(5_000, Step::HandleEvent(node, incarnation, event));
        }
    }

    pub(super) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].entry.is_some()
    }

    /// Returns whether the store turns an entry away.
    pub(super) fn is_turned_away(&self, node: usize) -> bool {
        self.nodes[node].turned_away_until > self.now
    }

    /// Returns the entries that the store serves.
    fn served(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| !self.is_turned_away(*node)).collect()
    }

    /// Returns whether an entry's registration has lapsed, so that new processes don't know it.
    fn is_unknown(&self, node: usize) -> bool {
        self.is_turned_away(node) && !self.nodes[node].listed
    }

    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        let is_cut = |until: &Time| *until > self.now;
        self.nodes[a].cut_until > self.now
            || self.nodes[b].cut_until > self.now
            || self.cut_links.get(&(a.min(b), a.max(b))).is_some_and(is_cut)
    }

    pub(super) fn link(&mut self, a: usize, b: usize) {
        if a == b || !self.is_up(a) || !self.is_up(b) {
            return;
        }
        if self.is_cut(a, b) || self.is_unknown(a) || self.is_unknown(b) {
            self.after(100_000, Step::LinkUp(a, b));
            return;
        }
        let (first, second) = (self.nodes[a].home, self.nodes[b].home);
        for (node, peer, me) in [(a, second, first), (b, first, second)] {
            if self.links.insert((peer, me)) {
                self.handle_event(node, Event::PeerUp { peer });
            }
        }
    }

    pub(super) fn handle_event(&mut self, node: usize, event: Event) {
        let entry = &self.nodes[node];
        if entry.entry.is_none() {
            return;
        }
        if entry.frozen_until > self.now {
            let (until, incarnation) = (entry.frozen_until, entry.home.incarnation);
            let step = match event {
                Event::Message { from, message } => Step::Deliver { from, to: node, message },
                event => Step::HandleEvent(node, incarnation, event),
            };
            self.at(until, step);
            return;
        }
        let event = self.read(node, event);
        let mut actions = Vec::new();
        let now = self.now;
        if let Some(entry) = &mut self.nodes[node].entry {
            entry.handle(now, event, &mut actions);
        }
        for action in actions {
            self.carry_out(node, action);
        }
    }

    /// Begins a round in which an entry reads requests, unless it is frozen.
    pub(super) fn begin_round(&mut self, node: usize) {
        if self.nodes[node].frozen_until <= self.now {
            self.nodes[node].rounds.begin(clocks(self.now));
        }
    }

    /// Counts the wait of a caller that may leave from the earliest arrival of its request, as the process
    /// does.
    fn read(&self, node: usize, event: Event) -> Event {
        match event {
            Event::Submit { waiter, mut job } if self.plan.wait_ms.is_some() => {
                if let Some(caller) = self.callers.get(&waiter.0) {
                    let wait = caller.job.give_up.since(caller.submitted);
                    let read_until = self.nodes[node].rounds.moment(clocks(self.now)).read_until;
                    job.give_up = read_until + wait;
                }
                Event::Submit { waiter, job }
            }
            event => event,
        }
    }

    fn record_keeper(&mut self, node: usize, decision: &Decision) {
        let Decision::Keep { executor, change, .. } = decision else { return };
        match change {
            KeepChange::Ready => {
                self.keepers.insert(executor.clone(), node);
                let since = self.unkept_since.remove(executor);
                self.unkept.extend(since.map(|since| self.now.since(since)));
            }
            KeepChange::Fenced => self.fences += 1,
            _ => {}
        }
    }

    fn record_placed_far(&mut self, decision: &Decision) {
        if let Decision::Place { tasks, keeper, room, far: Some(_), .. } = decision {
            let at = Span(self.now.0.saturating_sub(FIRST_JOB_US));
            let placed = PlacedFar { at, keeper: *keeper, tasks: *tasks, room: *room };
            self.placed_far.push(placed);
        }
    }

    pub(super) fn carry_out(&mut self, node: usize, action: Action) {
        let home = self.nodes[node].home;
        let incarnation = home.incarnation;
        if self.is_busy() {
            self.traffic.record(home.data_centre, &action);
        }
        match action {
            Action::Start(start) => {
                self.after(NETWORK_DELAY_US, Step::Order(node, incarnation, Order::Start(start)));
            }
            Action::Stop { executor, run, token } => {
                let order = Order::Stop { executor, run, token };
                self.after(NETWORK_DELAY_US, Step::Order(node, incarnation, order));
            }
            Action::Poll(poll) => {
                let until = Time(self.now.0 + NETWORK_DELAY_US + poll.wait.0);
                let order = Order::Poll(poll, until, Progress::InTransit);
                self.after(NETWORK_DELAY_US, Step::Order(node, incarnation, order));
            }
            Action::Answer { waiter, answer } => self.answer(waiter, answer),
            Action::Send { to, message } => {
                let counts = matches!(message, Message::Report(_)) && self.is_busy();
                self.reports += u64::from(counts);
                let Some(peer) = self.nodes.iter().position(|node| node.home == to) else { return };
                if !self.is_cut(node, peer) {
                    self.after(NETWORK_DELAY_US, Step::Deliver { from: home, to: peer, message });
                }
            }
            Action::Log(decision) => {
                if self.plan.trace {
                    println!("{} {node} {decision:?}", self.now);
                }
                self.record_keeper(node, &decision);
                self.record_placed_far(&decision);
            }
            // All entries are notified of all executors here; following them has no cost.
            Action::WatchExecutors(_) => {}
            Action::Exit => {
                self.nodes[node].exited = true;
                if self.nodes[node].is_rolled {
                    self.end_rolled(node);
                }
            }
        }
    }
}

/// What the clocks of all machines show at `now`. None of them is ever set.
pub(super) fn clocks(now: Time) -> Clocks {
    Clocks { steady: now, wall: now }
}
