//! One entry: home of its callers' jobs and keeper of its executors.

use crate::{
    Action, Cordon, Event, Message, Options,
    action::{Decision, Source},
    clock::Offset,
    following::Following,
    home::Jobs,
    job::Task,
    keeper::Keeper,
    laggards::Laggards,
    load::Load,
    message::{Ended, Moved, Report},
    reports::{Audience, Reports},
    view::View,
};
use rustc_hash::FxHashMap;
use site::{
    id::Home,
    unit::{Span, Time},
};

/// How often [`Event::Tick`] is due. Short against the shortest tasks, 50 ms.
pub const TICK: Span = Span::from_millis(20);

/// How often the executors that are kept are compared with the view without a change of either.
const RECONCILE_INTERVAL: Span = Span::from_secs(1);

/// Clocks of peers that are remembered beyond their connections. Above the entries of a site and
/// their restarts on an ordinary day.
const MOST_CLOCKS: usize = 1_000;

/// The whole logic of an entry.
#[derive(Debug)]
pub struct Entry {
    me: Home,
    options: Options,
    jobs: Jobs,
    keeper: Keeper,
    view: View,
    configuration: u64,
    /// When each connected peer was last heard of; none for one that is taken for lost.
    heard: FxHashMap<Home, Time>,
    /// The clocks of the connected peers.
    clocks: FxHashMap<Home, Offset>,
    /// The latest event.
    latest: Time,
    /// When the executors that are kept were last compared with the view.
    reconciled: Time,
    /// The view has changed since then.
    unreconciled: bool,
    reports: Reports,
    laggards: Laggards,
    following: Following,
    exited: bool,
}

impl Entry {
    /// An entry that knows of nothing yet.
    pub fn new(me: Home, options: Options, now: Time) -> Self {
        Self {
            me,
            options,
            jobs: Jobs::new(me, options),
            keeper: Keeper::new(options),
            view: View::new(me, options.keeper_reserve),
            configuration: 0,
            heard: FxHashMap::default(),
            clocks: FxHashMap::default(),
            latest: now,
            reconciled: now,
            unreconciled: false,
            reports: Reports::default(),
            laggards: Laggards::default(),
            following: Following::default(),
            exited: false,
        }
    }

    /// Takes an event in and appends what is to be done because of it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let span = now.since(self.latest);
        if span > self.options.pause_limit {
            self.pause(now, span, out);
        }
        self.latest = now;
        self.lose_silent(now, out);
        self.take(now, event, out);
        self.settle(now, out);
        self.follow(now, out);
    }

    /// Whether the entry knows of peers or executors that can serve callers.
    pub fn can_serve(&self) -> bool {
        self.keeper.capacity() > 0 || self.jobs.peers.capacity() > 0
    }

    /// Whether it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.view.is_leaving()
    }

    /// Peers that know of no configuration as new as this and are to be told it by this entry now.
    pub fn take_behind(&mut self, now: Time, version: u64) -> Vec<Home> {
        let known = self.jobs.peers.configurations();
        self.laggards.take_due(now, self.me, version, known)
    }

    fn take(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
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
            Event::ExecutorsHeard(data_centres) => self.view.hear_executors(now, &data_centres),
            Event::Members { revision, members } => {
                let changed = self.view.list(revision, members);
                self.view_changed(now, changed, out);
            }
            Event::Processors(processors) => {
                let changed = self.view.set_processors(processors);
                self.view_changed(now, changed, out);
            }
            Event::Started { executor, run, reply } => {
                self.keeper.started(now, executor, &run, reply, out);
            }
            Event::Looked { executor, number, reply } => {
                self.keeper.looked(now, executor, number, reply, out);
            }
            Event::Stopped { executor, run, reply } => {
                self.keeper.stopped(now, executor, &run, reply, out);
            }
            Event::Message { from, message } => self.message(now, from, message, out),
            Event::PeerUp { peer } => self.peer_up(now, peer, out),
            Event::PeerDown { peer } => self.peer_down(now, peer, out),
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

    /// Gives up what runs for peers that were not heard of. Comes before anything else, so that a
    /// process that did not run for a while prolongs no lease for them.
    fn lose_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.options.peer_silence;
        let silent: Vec<_> =
            self.heard.extract_if(|_, at| now.since(*at) > limit).map(|(peer, _)| peer).collect();
        for peer in silent {
            self.keeper.home_lost(now, peer, out);
        }
    }

    fn message(&mut self, now: Time, from: Home, message: Message, out: &mut Vec<Action>) {
        self.heard.insert(from, now);
        match message {
            Message::Place(placement) => {
                let offset = self.clocks.entry(from).or_default();
                let stale = offset.age(now, placement.sent) > self.options.stale_after;
                self.keeper.place(now, placement, stale);
            }
            Message::Cancel(tasks) => self.keeper.cancel(now, &tasks, out),
            Message::Ended(ended) => {
                for ended in &ended {
                    let own = self.jobs.ended(now, from, ended, out);
                    self.keeper.cancel(now, &own, out);
                }
            }
            Message::Report(report) => self.reported(now, from, report, out),
            Message::Claim(executors) => self.keeper.hand_over(now, from, &executors, out),
            Message::Yield(yielded) => {
                let moved = self.keeper.take_over(now, &self.view, yielded, out);
                self.tell_moved(now, moved, out);
            }
            Message::Disclaim(executors) => self.keeper.disclaimed(now, from, &executors, out),
            Message::Moved(runs) => {
                let own = self.jobs.moved(now, from, &runs, out);
                self.keeper.cancel(now, &own, out);
            }
            // Dealt with by the process, which reads the document.
            Message::Configuration { .. } => {}
        }
    }

    /// Takes in which data centres are under cordon, unless that is older than what is known.
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
        self.refuse_cordoned(now, out);
    }

    fn refuse_cordoned(&mut self, now: Time, out: &mut Vec<Action>) {
        let elsewhere = self.is_cordoned_elsewhere();
        self.jobs.refuse_cordoned(now, |job| elsewhere || self.keeper.is_cordoned(job), out);
    }

    /// Whether this entry knows of no executor itself, and those who keep some say that all are under
    /// cordon.
    fn is_cordoned_elsewhere(&self) -> bool {
        !self.keeper.knows_executors() && self.jobs.peers.are_cordoned()
    }

    /// Begins or ceases to read the registrations of executors.
    fn follow(&mut self, now: Time, out: &mut Vec<Action>) {
        let keeps_nothing = self.keeper.keeps_nothing();
        if let Some(executors) =
            self.following.update(now, &self.view, keeps_nothing, &self.options)
        {
            out.push(Action::Log(Decision::Follow { executors }));
            out.push(Action::FollowExecutors(executors));
        }
    }

    fn peer_up(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.jobs.peers.connect(peer);
        self.heard.insert(peer, now);
        let report = self.report(now);
        out.push(Action::Send { to: peer, message: Message::Report(report) });
        let changed = self.view.connect(peer);
        self.view_changed(now, changed, out);
    }

    fn peer_down(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.jobs.peers.disconnect(peer);
        self.heard.remove(&peer);
        // A process's clock is worth knowing until the process is gone for good.
        if self.clocks.len() > MOST_CLOCKS {
            self.clocks.retain(|home, _| self.heard.contains_key(home));
        }
        self.jobs.keeper_lost(now, peer);
        self.keeper.home_lost(now, peer, out);
        self.keeper.peer_lost(now, peer, out);
        let changed = self.view.disconnect(peer);
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
        // Changes of the view come in numbers, when many entries start or a data centre is cut
        // off; each comparison takes time that grows with the executors.
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

    fn pause(&mut self, now: Time, span: Span, out: &mut Vec<Action>) {
        out.push(Action::Log(Decision::Paused { span }));
        let own = self.jobs.pause(now, out);
        self.keeper.cancel(now, &own, out);
        self.keeper.pause();
    }

    /// Brings jobs and executors together until nothing changes any more, then tells the peers.
    fn settle(&mut self, now: Time, out: &mut Vec<Action>) {
        loop {
            let own = self.jobs.expire(now, out);
            self.keeper.cancel(now, &own, out);
            for placement in self.jobs.place(now, self.keeper.room(now), out) {
                self.keeper.place(now, placement, false);
            }
            self.keeper.pump(now, out);
            let ends = self.keeper.take_ends();
            if ends.is_empty() {
                break;
            }
            self.tell_homes(now, ends, out);
        }
        self.tell_room(now, out);
    }

    fn tell_homes(&mut self, now: Time, ends: Vec<Ended>, out: &mut Vec<Action>) {
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

    fn tell_moved(&mut self, now: Time, runs: Vec<Moved>, out: &mut Vec<Action>) {
        let mut homes: FxHashMap<Home, Vec<Moved>> = FxHashMap::default();
        for moved in runs {
            homes.entry(moved.task.job.home).or_default().push(moved);
        }
        let own = homes.remove(&self.me).unwrap_or_default();
        let unwanted = self.jobs.moved(now, self.me, &own, out);
        self.keeper.cancel(now, &unwanted, out);
        let send = |(to, runs)| Action::Send { to, message: Message::Moved(runs) };
        out.extend(homes.into_iter().map(send));
    }

    fn report(&self, now: Time) -> Report {
        let load = self.load(now);
        Report {
            sent: now,
            room: self.keeper.room(now),
            capacity: self.keeper.capacity(),
            load,
            near: self.jobs.peers.summary(now, self.me.data_centre, load),
            cordoned: self.keeper.is_all_cordoned(),
            leaving: self.view.is_leaving(),
            idle: self.keeper.keeps_nothing(),
            configuration: self.configuration,
            cordon: self.keeper.cordon().clone(),
            revision: self.view.revision(),
        }
    }

    /// The work that waits here, and how fast the executors here get through it.
    fn load(&self, now: Time) -> Load {
        [self.keeper.load(now), self.jobs.load()].into_iter().sum()
    }

    fn tell_room(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.jobs.peers.len() == 0 || !self.reports.may_be_due(now, &self.options) {
            return;
        }
        let report = self.report(now);
        let audience = Audience {
            by_distance: self.view.by_distance(),
            waiting: self.jobs.peers.waiting().collect(),
            keepers: self.jobs.keepers(),
        };
        let due =
            self.reports.take_due(now, &report, self.keeper.supply(now), &audience, &self.options);
        out.extend(due.into_iter().map(|to| report_to(to, &report)));
    }

    /// Takes a peer's report in. One whose jobs begin to wait is told of room here at once.
    fn reported(&mut self, now: Time, from: Home, report: Report, out: &mut Vec<Action>) {
        self.clocks.entry(from).or_default().age(now, report.sent);
        self.view.see(report.revision);
        let changed = self.view.set_leaving(from, report.leaving);
        self.view.set_idle(from, report.idle);
        self.set_cordon(now, report.cordon.clone(), Source::Peer, out);
        let is_cordoned = report.cordoned;
        let begins = self.jobs.peers.report(now, from, report);
        if is_cordoned && self.is_cordoned_elsewhere() {
            self.refuse_cordoned(now, out);
        }
        if begins && !self.keeper.room(now).is_empty() {
            out.push(report_to(from, &self.report(now)));
        }
        self.view_changed(now, changed, out);
    }
}

fn report_to(to: Home, report: &Report) -> Action {
    Action::Send { to, message: Message::Report(report.clone()) }
}
