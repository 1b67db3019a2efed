//! One entry: home of its callers' jobs and keeper of its executors.

mod contact;
mod forward;
mod report;
mod stall;

use contact::{Contact, Standing};
use stall::Progress;

use crate::{
    Action, Cordon, Event, Message, Options,
    action::{Decision, Source},
    home::Jobs,
    job::Task,
    keeper::Keeper,
    message::{Ended, Moved, Placement, Sign},
    outdated::OutdatedPeers,
    reports::Reports,
    view::View,
    watch::ExecutorWatch,
};
use rustc_hash::FxHashMap;
use site::{
    id::Home,
    unit::{Span, Time},
};

/// Interval of [`Event::Tick`]. Short compared with the shortest tasks, 50 ms.
pub const TICK: Span = Span::from_millis(20);

/// Interval at which the kept executors are compared with the view when neither has changed.
const RECONCILE_INTERVAL: Span = Span::from_secs(1);

/// The state machine of an entry.
#[derive(Debug)]
pub struct Entry {
    me: Home,
    options: Options,
    jobs: Jobs,
    keeper: Keeper,
    view: View,
    configuration: u64,
    /// What each connected peer has let this entry know of itself.
    contacts: FxHashMap<Home, Contact>,
    /// Whether all events that arrived are handled.
    progress: Progress,
    /// Whether the leases of this entry's own runs may be extended.
    own_standing: Standing,
    /// When the kept executors were last compared with the view.
    reconciled: Time,
    /// Whether the view has changed since then.
    unreconciled: bool,
    reports: Reports,
    outdated_peers: OutdatedPeers,
    executor_watch: ExecutorWatch,
    exited: bool,
}

impl Entry {
    /// Creates an entry that knows no peers, executors or jobs.
    pub fn new(me: Home, options: Options, now: Time) -> Self {
        Self {
            me,
            options,
            jobs: Jobs::new(me, options),
            keeper: Keeper::new(options),
            view: View::new(me, options.keeper_reserve),
            configuration: 0,
            contacts: FxHashMap::default(),
            progress: Progress::new(now),
            own_standing: Standing::Alive,
            reconciled: now,
            unreconciled: false,
            reports: Reports::default(),
            outdated_peers: OutdatedPeers::default(),
            executor_watch: ExecutorWatch::default(),
            exited: false,
        }
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let span = self.progress.observe(now, &event);
        if span > self.options.pause_limit {
            self.handle_pause(now, span, out);
        }
        self.update_standings(now, out);
        self.keeper.expire_unconfirmed(now, out);
        self.handle_event(now, event, out);
        self.schedule(now, out);
        self.update_watch(now, out);
        self.insert_signs(now, out);
    }

    /// Whether the entry knows executors, its own or those of peers, that can run tasks.
    pub fn can_serve(&self) -> bool {
        self.keeper.capacity() > 0 || self.jobs.peers.capacity() > 0
    }

    /// Whether a drain has begun.
    pub fn is_leaving(&self) -> bool {
        self.view.is_leaving()
    }

    /// Returns the peers that know an older configuration than `version` and that this entry has to
    /// send it to now.
    pub fn take_outdated_peers(&mut self, now: Time, version: u64) -> Vec<Home> {
        let known = self.jobs.peers.configurations();
        self.outdated_peers.take_due(now, self.me, version, known)
    }

    fn handle_event(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit { waiter, job } => {
                let mut own = self.keeper.offer(now, &job);
                own.is_cordoned |= self.is_cordoned_elsewhere();
                self.jobs.submit(now, waiter, job, &own, out);
            }
            Event::Leave { waiter } => {
                let own = self.jobs.leave(waiter, out);
                self.keeper.cancel(now, &own, out);
            }
            Event::Executors(executors) => {
                self.keeper.set_executors(now, executors, out);
                self.reconcile(now, out);
            }
            Event::ExecutorsRenewed(data_centres) => self.view.record_renewals(now, &data_centres),
            Event::Members { revision, members } => {
                let changed = self.view.set_listed(revision, members);
                self.view_changed(now, changed, out);
            }
            Event::Processors(processors) => {
                let changed = self.view.set_processors(processors);
                self.view_changed(now, changed, out);
            }
            Event::Started { executor, run, reply } => {
                self.keeper.started(now, executor, &run, reply, out);
            }
            Event::Polled { executor, number, reply } => {
                self.keeper.polled(now, executor, number, reply, out);
            }
            Event::Stopped { executor, run, reply } => {
                self.keeper.stopped(now, executor, &run, reply, out);
            }
            Event::Message { from, message } => self.handle_message(now, from, message, out),
            Event::PeerUp { peer } => self.peer_up(now, peer, out),
            Event::PeerDown { peer } => self.peer_down(now, peer, out),
            Event::PeerUnresponsive { peer } => self.peer_unresponsive(peer, out),
            Event::Configured { version, services } => {
                self.configuration = version;
                self.keeper.set_services(services);
                self.reconcile(now, out);
            }
            Event::Cordoned(cordon) => self.set_cordon(now, cordon, Source::Store, out),
            Event::Drain => {
                let changed = self.view.set_leaving(self.me, true);
                self.view_changed(now, changed, out);
            }
            Event::Tick => self.tick(now, out),
        }
    }

    /// Extends no lease any more for homes without a sign of life for too long, and stops what runs
    /// for them; they stay in the view. Precedes any other handling, so that a process that did not
    /// run for a while renews no lease for them. Their runs are stopped only once the signs that
    /// arrived meanwhile are handled.
    fn update_standings(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.options.peer_silence;
        let (mut overdue, mut lost) = (Vec::new(), Vec::new());
        for (peer, contact) in &mut self.contacts {
            let is_alive = contact.silence(now).is_some_and(|silence| silence <= limit);
            if is_alive || contact.standing == Standing::Lost {
                continue;
            }
            if self.progress.is_behind() {
                contact.standing = Standing::Overdue;
                overdue.push(*peer);
            } else {
                contact.standing = Standing::Lost;
                lost.push(*peer);
            }
        }
        overdue.into_iter().for_each(|peer| self.keeper.suspend(peer));
        lost.into_iter().for_each(|peer| self.keeper.home_silent(now, peer, out));
        self.update_own_standing(now);
    }

    /// The same for this entry's own jobs, whose callers may have left while it did not run.
    fn update_own_standing(&mut self, now: Time) {
        let silence = now.since(self.progress.handled_until(now));
        let standing = match silence > self.options.peer_silence {
            true => Standing::Overdue,
            false => Standing::Alive,
        };
        if standing == self.own_standing {
            return;
        }
        self.own_standing = standing;
        match standing {
            Standing::Alive => self.keeper.resume(self.me),
            Standing::Overdue | Standing::Lost => self.keeper.suspend(self.me),
        }
    }

    /// Handles a sign of life of a connected peer.
    fn observe_sign(&mut self, now: Time, from: Home, sign: Sign) {
        let limit = self.options.peer_silence;
        let Some(contact) = self.contacts.get_mut(&from) else { return };
        contact.observe(now, sign);
        if contact.silence(now).is_none_or(|silence| silence > limit) {
            return;
        }
        let before = std::mem::replace(&mut contact.standing, Standing::Alive);
        if before == Standing::Overdue {
            self.keeper.resume(from);
        }
    }

    /// Whether a home was certainly alive lately, so that its tasks may be started here.
    fn is_alive(&self, home: Home) -> bool {
        self.contacts.get(&home).is_some_and(|contact| contact.standing == Standing::Alive)
    }

    /// How long ago a peer sent something at most; `None` if that is not known.
    fn transit(&self, now: Time, from: Home, sent: Time) -> Option<Span> {
        self.contacts.get(&from)?.age(now, sent)
    }

    /// Puts a sign of life before what makes the receiver the keeper of tasks, unless it has got one
    /// lately: it hears rarely from entries that it has no tasks of.
    fn insert_signs(&mut self, now: Time, out: &mut Vec<Action>) {
        let alive = self.progress.handled_until(now);
        let limit = self.options.report_refresh;
        let mut at = 0;
        while let Some(action) = out.get(at) {
            if let Action::Send { to, message: Message::Place(_) | Message::Confirmed(_) } = action
                && let to = *to
                && let Some(contact) = self.contacts.get_mut(&to)
                && contact.needs_sign(now, limit)
            {
                let message = Message::Alive(contact.sign(now, alive));
                out.insert(at, Action::Send { to, message });
                at += 1;
            }
            at += 1;
        }
    }

    fn handle_message(&mut self, now: Time, from: Home, message: Message, out: &mut Vec<Action>) {
        if let Some(contact) = self.contacts.get_mut(&from) {
            contact.heard = now;
        }
        if self.jobs.peers.set_responsive(from) {
            out.push(Action::Log(Decision::Peer { peer: from, responsive: true }));
        }
        match message {
            Message::Place(placement) => self.accept_placement(now, from, placement),
            Message::Cancel(tasks) => self.keeper.cancel(now, &tasks, out),
            Message::Ended(ended) => {
                for ended in &ended {
                    let own = self.jobs.ended(now, from, ended, out);
                    self.keeper.cancel(now, &own, out);
                }
            }
            Message::Report(report) => self.handle_report(now, from, report, out),
            Message::Claim(executors) => self.keeper.transfer(now, from, &executors, out),
            Message::Transfer(transferred) => {
                let moved = self.keeper.accept_transfer(now, from, &self.view, transferred, out);
                self.send_moved(now, moved, out);
            }
            Message::Disclaim(executors) => self.keeper.disclaimed(now, from, &executors, out),
            Message::Moved(runs) | Message::Taken(runs) => {
                self.jobs.taken(now, from, &runs, out);
            }
            Message::Forward(forward) => self.accept_forward(now, from, forward, out),
            // Without a sign of life the runs are given up like those that are not confirmed.
            Message::Confirmed(runs) if self.is_alive(from) => self.keeper.confirmed(from, &runs),
            Message::Confirmed(_) => {}
            Message::Alive(sign) => self.observe_sign(now, from, sign),
            Message::Returned(ended) => self.keeper.returned(from, &ended),
            // Handled by the process, which parses the document.
            Message::Configuration { .. } => {}
        }
    }

    /// Queues a peer's tasks, or returns them if it may have given them up or be gone.
    fn accept_placement(&mut self, now: Time, from: Home, placement: Placement) {
        let transit = self.transit(now, from, placement.sent).filter(|_| self.is_alive(from));
        self.keeper.place(now, placement, transit);
    }

    /// Applies a cordon unless a later one is known.
    fn set_cordon(&mut self, now: Time, cordon: Cordon, source: Source, out: &mut Vec<Action>) {
        if !self.keeper.set_cordon(cordon) {
            return;
        }
        let cordon = self.keeper.cordon();
        out.push(Action::Log(Decision::Cordon {
            data_centres: cordon.data_centres().to_vec(),
            revision: cordon.revision,
            source,
        }));
        self.reject_cordoned(now, out);
    }

    fn reject_cordoned(&mut self, now: Time, out: &mut Vec<Action>) {
        let elsewhere = self.is_cordoned_elsewhere();
        self.jobs.reject_cordoned(now, |job| elsewhere || self.keeper.is_cordoned(job), out);
    }

    /// Whether this entry knows no executor itself, and all keepers among its peers report that
    /// their executors are under cordon.
    fn is_cordoned_elsewhere(&self) -> bool {
        !self.keeper.knows_executors() && self.jobs.peers.are_cordoned()
    }

    /// Starts or stops watching the registrations of executors.
    fn update_watch(&mut self, now: Time, out: &mut Vec<Action>) {
        let keeps_nothing = self.keeper.keeps_nothing();
        if let Some(executors) =
            self.executor_watch.update(now, &self.view, keeps_nothing, &self.options)
        {
            out.push(Action::Log(Decision::Follow { executors }));
            out.push(Action::WatchExecutors(executors));
        }
    }

    fn peer_up(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.jobs.peers.connect(peer);
        self.contacts.insert(peer, Contact::new(now));
        let report = self.report(now);
        out.push(self.report_to(now, peer, &report));
        self.announce_unconfirmed(peer, out);
        let changed = self.view.connect(peer);
        self.view_changed(now, changed, out);
    }

    fn peer_unresponsive(&mut self, peer: Home, out: &mut Vec<Action>) {
        if self.options.avoid_unresponsive && self.jobs.peers.set_unresponsive(peer) {
            out.push(Action::Log(Decision::Peer { peer, responsive: false }));
        }
    }

    fn peer_down(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.jobs.peers.disconnect(peer);
        let heard = self.contacts.remove(&peer).map_or(now, |contact| contact.heard);
        self.jobs.keeper_lost(now, peer);
        self.keeper.home_lost(now, peer, out);
        self.keeper.peer_lost(now, peer, out);
        self.keeper.speeds.forget(peer);
        let changed = self.view.disconnect(peer, heard);
        self.view_changed(now, changed, out);
    }

    fn view_changed(&mut self, now: Time, changed: bool, out: &mut Vec<Action>) {
        if !changed {
            return;
        }
        out.push(Action::Log(Decision::Members {
            members: self.view.keepers().len(),
            listed: self.view.listed(),
            revision: self.view.revision().0,
        }));
        // The view changes many times in a row when many entries start or a data centre is cut off,
        // and the cost of each comparison grows with the number of executors.
        match now.since(self.reconciled) >= TICK {
            true => self.reconcile(now, out),
            false => self.unreconciled = true,
        }
    }

    fn reconcile(&mut self, now: Time, out: &mut Vec<Action>) {
        self.reconciled = now;
        self.unreconciled = false;
        self.keeper.reconcile(now, &self.view, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.update_losses(now, out);
        self.unreconciled |= self.view.give_up_absent(now, self.options.absence_patience);
        if self.unreconciled || now.since(self.reconciled) >= RECONCILE_INTERVAL {
            self.reconcile(now, out);
        }
        self.keeper.tick(now, &self.view, out);
        if self.view.is_leaving() && !self.exited && self.is_idle() {
            self.exited = true;
            out.push(Action::Exit);
        }
    }

    fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.keeper.is_idle()
    }

    fn handle_pause(&mut self, now: Time, span: Span, out: &mut Vec<Action>) {
        out.push(Action::Log(Decision::Paused { span }));
        let own = self.jobs.pause(now, out);
        self.keeper.cancel(now, &own, out);
        self.keeper.pause();
        self.view.resume(now);
    }

    /// Places and starts tasks until nothing changes any more, then sends reports.
    fn schedule(&mut self, now: Time, out: &mut Vec<Action>) {
        loop {
            let own = self.jobs.expire(now, out);
            self.keeper.cancel(now, &own, out);
            self.place(now, out);
            self.keeper.start_queued(now, out);
            self.forward(now, out);
            self.keeper.return_queued(now, self.way());
            let ends = self.keeper.take_ends();
            if ends.is_empty() {
                break;
            }
            self.send_ends(now, ends, out);
        }
        self.send_reports(now, out);
    }

    /// Sends pending tasks to keepers, or queues them here. Not after a stall of the length after which
    /// keepers return tasks: their callers may have left.
    fn place(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.progress.handled_until(now)) > self.options.stale_after {
            return;
        }
        let (room, fixed) = (self.keeper.room(now), self.keeper.fixed_run_time());
        for placement in self.jobs.place(now, room, fixed, out) {
            self.keeper.place(now, placement, Some(Span::ZERO));
        }
    }

    fn send_ends(&mut self, now: Time, ends: Vec<Ended>, out: &mut Vec<Action>) {
        let mut homes: FxHashMap<Home, Vec<Ended>> = FxHashMap::default();
        for ended in ends {
            homes.entry(ended.task.job.home).or_default().push(ended);
        }
        let mut cancelled: Vec<Task> = Vec::new();
        for ended in homes.remove(&self.me).unwrap_or_default() {
            cancelled.extend(self.jobs.ended(now, self.me, &ended, out));
        }
        self.keeper.cancel(now, &cancelled, out);
        let send = |(to, ended)| Action::Send { to, message: Message::Ended(ended) };
        out.extend(homes.into_iter().map(send));
    }

    fn send_moved(&mut self, now: Time, runs: Vec<Moved>, out: &mut Vec<Action>) {
        let mut homes: FxHashMap<Home, Vec<Moved>> = FxHashMap::default();
        for moved in runs {
            homes.entry(moved.task.job.home).or_default().push(moved);
        }
        let own = homes.remove(&self.me).unwrap_or_default();
        let unwanted = self.jobs.moved(now, self.me, &own, out);
        self.keeper.cancel(now, &unwanted, out);
        // A home that is not connected is told once it is.
        homes.retain(|home, _| self.view.is_connected_to(*home));
        let send = |(to, runs)| Action::Send { to, message: Message::Moved(runs) };
        out.extend(homes.into_iter().map(send));
    }

    /// Tells a home that is now connected of its runs here that it may not know of.
    fn announce_unconfirmed(&self, home: Home, out: &mut Vec<Action>) {
        let runs = self.keeper.unconfirmed_of(home);
        if !runs.is_empty() {
            out.push(Action::Send { to: home, message: Message::Moved(runs) });
        }
    }
}
