//! Hands tasks that find no room here to other keepers.
//!
//! The first keeper drops a task when it forwards it, and notes where it went. The new keeper tells
//! the task's home before it starts the task, and stops it again unless the home confirms within
//! [`CONFIRM_TIMEOUT`]. A home that loses the first keeper starts the task again after `lapse_wait`,
//! 1,250 ms, so a run that it does not know of has to be over by then: the task is taken at most
//! [`MAX_ELAPSED`] after the home sent it, and a lease of 700 ms that is granted until the timeout
//! ends 1,114 ms after that moment, by an executor's clock that is 2% slow.
//!
//! Runs that another keeper transferred with their executor are announced and confirmed in the same
//! way. Their lease is not extended before that.

use super::{Keeper, Ownership, Queued};
use crate::{
    Action, Message,
    action::{Decision, StopCause},
    job::Task,
    message::{End, Ended, Forward, Moved, TransferredRun},
};
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{EndpointId, Home},
    unit::{Span, Time},
};
use std::collections::hash_map::Entry;

/// Maximum number of keepers that forward one task. With more, tasks would travel between keepers
/// that are all full.
pub(crate) const MAX_FORWARDS: usize = 2;

/// A forwarded task that its home sent longer ago than this is not taken.
const MAX_ELAPSED: Span = Span::from_millis(150);

/// A task or run from another keeper is stopped if its home has not confirmed the new keeper within
/// this time.
const CONFIRM_TIMEOUT: Span = Span::from_millis(250);

/// How long a keeper notes where a task went: until its home knows the new keeper, or the loss of
/// the new keeper is noticed, 0.8 s.
const NOTE_LIFETIME: Span = Span::from_secs(2);

/// How long after the loss of a new keeper the home is told that the task may have run there. With
/// `unsure_wait`, 800 ms, the home waits as long as for a keeper that it lost itself.
const LOSS_WAIT: Span = Span::from_millis(450);

/// Maximum number of notes. Without room for one, tasks go back to their homes.
const MAX_NOTES: usize = 10_000;

/// Whether tasks can be forwarded to other keepers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    /// There are keepers to forward to.
    Open {
        /// This entry. Its own tasks are not forwarded, since it places them itself.
        me: Home,
    },
    /// There are none, or forwarding is switched off.
    Closed,
}

/// Tasks and runs that this keeper handed to another one, or got from it.
#[derive(Debug, Default)]
pub(super) struct Forwarding {
    /// Tasks that went to another keeper.
    notes: FxHashMap<Task, Note>,
    /// Tasks that came from another keeper and that their home has not confirmed yet.
    unconfirmed: FxHashMap<Task, Unconfirmed>,
}

/// Where a task went.
#[derive(Debug)]
struct Note {
    to: Home,
    run: u32,
    until: Time,
    /// When its home is told that the new keeper was lost.
    lost_at: Option<Time>,
    /// Whether it was running, and its executor went to the new keeper. An entry that drains does not
    /// wait for these: a home that loses it starts the task again only after the run has ended.
    is_run: bool,
}

/// A task whose home may not know that this entry is its keeper.
#[derive(Debug)]
struct Unconfirmed {
    from: Home,
    run: u32,
    until: Time,
}

impl Forwarding {
    /// Whether tasks were forwarded to other keepers lately.
    pub(super) fn has_forwarded(&self) -> bool {
        self.notes.values().any(|note| !note.is_run)
    }

    /// Passes on cancellations of tasks that were forwarded: their home may not know the new keeper
    /// yet.
    pub(super) fn cancel(&mut self, tasks: &[Task], out: &mut Vec<Action>) {
        let mut keepers: FxHashMap<Home, Vec<Task>> = FxHashMap::default();
        for task in tasks {
            self.unconfirmed.remove(task);
            if let Some(note) = self.notes.remove(task) {
                keepers.entry(note.to).or_default().push(*task);
            }
        }
        let send = |(to, tasks)| Action::Send { to, message: Message::Cancel(tasks) };
        out.extend(keepers.into_iter().map(send));
    }

    /// Forgets where a run went that this keeper has again: the loss of the keeper that it went to
    /// is no longer the loss of the run.
    pub(super) fn forget_note(&mut self, task: Task, run: u32) {
        if self.notes.get(&task).is_some_and(|note| note.run <= run) {
            self.notes.remove(&task);
        }
    }

    /// Forgets what is known of earlier runs of a task that is placed here; returns whether one of them
    /// was unconfirmed.
    pub(super) fn forget(&mut self, task: Task) -> bool {
        self.notes.remove(&task);
        self.unconfirmed.remove(&task).is_some()
    }

    /// Notes that a run has gone to another keeper, so that a cancellation reaches it there, and the
    /// home hears of it if that keeper is lost or gives the run up.
    pub(super) fn note_transfer(&mut self, now: Time, to: Home, run: &TransferredRun) {
        if self.notes.len() < MAX_NOTES {
            let until = now + NOTE_LIFETIME;
            let note = Note { to, run: run.run.number, until, lost_at: None, is_run: true };
            self.notes.insert(run.task, note);
        }
    }

    /// Whether the home of a task that came from another keeper has yet to confirm this one.
    pub(super) fn is_unconfirmed(&self, task: Task) -> bool {
        self.unconfirmed.contains_key(&task)
    }

    /// Records that the home of a run that `from` has transferred has to confirm this keeper.
    pub(super) fn expect_confirmation(&mut self, now: Time, from: Home, moved: Moved) {
        let unconfirmed = Unconfirmed { from, run: moved.run, until: now + CONFIRM_TIMEOUT };
        self.unconfirmed.insert(moved.task, unconfirmed);
    }
}

impl Keeper {
    /// Forwards queued tasks to keepers with room. `choose` returns such a keeper and how many such
    /// tasks it has room for, or `None` if the task has to stay.
    pub(crate) fn forward_queued(
        &mut self,
        now: Time,
        mut choose: impl FnMut(&Queued) -> Option<(Home, u32)>,
        out: &mut Vec<Action>,
    ) {
        if self.queue.is_empty() || !self.options.forward {
            return;
        }
        let mut forwards = Forwards::default();
        for queued in self.queue.drain() {
            let target = self.may_forward(now, &queued).then(|| choose(&queued)).flatten();
            let Some((to, room)) = target else {
                self.queue.push(queued);
                continue;
            };
            out.push(Action::Log(Decision::Forward {
                run: queued.run.to_string().into(),
                keeper: to,
                room,
                waited: now.since(queued.since),
            }));
            let (run, until) = (queued.run.number, now + NOTE_LIFETIME);
            let note = Note { to, run, until, lost_at: None, is_run: false };
            self.forwarding.notes.insert(queued.task, note);
            forwards.add(now, to, &queued);
        }
        out.extend(forwards.messages());
    }

    /// Whether a queued task may go to another keeper. One whose other run is on an executor here
    /// may not: only this keeper knows when that run has ended. Executors' labels are not reported,
    /// so tasks that need one stay.
    fn may_forward(&self, now: Time, queued: &Queued) -> bool {
        queued.visited.len() < MAX_FORWARDS
            && queued.label.is_none()
            && queued.elapsed(now) <= MAX_ELAPSED
            // Its home learns of the keepers in their order.
            && !self.forwarding.unconfirmed.contains_key(&queued.task)
            && self.forwarding.notes.len() < MAX_NOTES
            && !self.has_other_run(queued)
    }

    /// How long a task is held here until there is room for it.
    pub(super) fn hold(&self, now: Time, way: Way, queued: &Queued) -> Span {
        match way {
            Way::Open { me } if queued.task.job.home != me && self.may_forward(now, queued) => {
                self.options.forward_hold
            }
            Way::Open { .. } | Way::Closed => self.options.queue_hold,
        }
    }

    /// Queues tasks that another keeper forwarded, and returns them; `transit` is how long they took
    /// from that keeper at most, if that is known. Tasks that can't be kept are returned to it: those
    /// of a home that is not connected, and those that their home may have sent too long ago.
    pub(crate) fn accept_forward(
        &mut self,
        now: Time,
        from: Home,
        forward: Forward,
        transit: Option<Span>,
        is_connected: bool,
        out: &mut Vec<Action>,
    ) -> Vec<Moved> {
        let Forward { placement, elapsed, mut visited } = forward;
        let is_known = transit.is_some();
        let transit = transit.unwrap_or_default();
        let elapsed = elapsed + transit;
        visited.push(from);
        let queued = |place| {
            let visited = visited.clone();
            let queued = Queued::new(now, &placement, place, transit);
            Queued { visited, transit: elapsed, ..queued }
        };
        let tasks: Vec<_> = placement.tasks.iter().map(queued).collect();
        if !is_connected || !is_known || elapsed > MAX_ELAPSED {
            let ended = tasks.iter().map(|queued| queued.ended(End::NotRun)).collect();
            out.push(Action::Send { to: from, message: Message::Returned(ended) });
            return Vec::new();
        }
        self.update_usual_needs(&placement.needs);
        let mut taken = Vec::new();
        for queued in tasks {
            let (task, run) = (queued.task, queued.run.number);
            self.forwarding.forget(task);
            let until = now + CONFIRM_TIMEOUT;
            self.forwarding.unconfirmed.insert(task, Unconfirmed { from, run, until });
            taken.push(Moved { task, run });
            self.queue.push(queued);
        }
        taken
    }

    /// Handles that a home knows this keeper of its tasks.
    pub(crate) fn confirmed(&mut self, home: Home, runs: &[Moved]) {
        for moved in runs.iter().filter(|moved| moved.task.job.home == home) {
            let unconfirmed = &mut self.forwarding.unconfirmed;
            if unconfirmed.get(&moved.task).is_some_and(|task| task.run == moved.run) {
                unconfirmed.remove(&moved.task);
                self.set_owned(moved.task);
            }
        }
    }

    /// Records that the home of a task relies on this keeper for its runs.
    pub(super) fn set_owned(&mut self, task: Task) {
        let runs = self.leases.values_mut().flat_map(|lease| lease.runs.values_mut());
        for live in runs.filter(|live| live.task == Some(task)) {
            if live.ownership == Ownership::Unconfirmed {
                live.ownership = Ownership::Owned;
            }
        }
    }

    /// The runs here that a home has yet to confirm.
    pub(crate) fn unconfirmed_of(&self, home: Home) -> Vec<Moved> {
        let runs = self.leases.values().flat_map(|lease| &lease.runs);
        let unconfirmed = runs.filter(|(_, live)| {
            live.ownership == Ownership::Unconfirmed && !live.is_being_stopped()
        });
        unconfirmed
            .filter_map(|(run, live)| Some(Moved { task: live.task?, run: run.number }))
            .filter(|moved| moved.task.job.home == home)
            .collect()
    }

    /// Gives up the tasks that their home has not confirmed in time. Has to precede everything else,
    /// so that an entry that did not run for a while starts none of them and renews no lease.
    pub(crate) fn expire_unconfirmed(&mut self, now: Time, out: &mut Vec<Action>) {
        let expired: Vec<_> =
            self.forwarding.unconfirmed.extract_if(|_, task| task.until <= now).collect();
        if expired.is_empty() {
            return;
        }
        let is_expired = |task| expired.iter().any(|(expired, _)| *expired == task);
        self.abandon(now, StopCause::Unconfirmed, is_expired, out);
        for (task, Unconfirmed { from, run, .. }) in expired {
            let ended = vec![Ended { task, run, executor: None, end: End::Unsure }];
            out.push(Action::Send { to: from, message: Message::Returned(ended) });
        }
    }

    /// Gives up the runs on an executor whose homes have not confirmed this keeper: the next keeper's
    /// `Moved` could overtake this one's `Taken`. That keeper stops them, since it does not know
    /// their tasks.
    pub(super) fn drop_unconfirmed(&mut self, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let unconfirmed = &mut self.forwarding.unconfirmed;
        let runs: Vec<_> = lease
            .runs
            .iter()
            .filter_map(|(run, live)| Some((run.clone(), live.task?)))
            .filter(|(run, task)| unconfirmed.get(task).is_some_and(|u| u.run == run.number))
            .collect();
        for (run, task) in runs {
            lease.remove(&run);
            let Some(Unconfirmed { from, .. }) = unconfirmed.remove(&task) else { continue };
            let ended = Ended { task, run: run.number, executor: Some(id), end: End::Unsure };
            // The home hears it from the first keeper if `Taken` never arrives.
            self.ends.push(ended);
            out.push(Action::Send { to: from, message: Message::Returned(vec![ended]) });
        }
    }

    /// The tasks whose homes have yet to confirm this keeper.
    pub(super) fn unconfirmed_tasks(&self) -> FxHashSet<Task> {
        self.forwarding.unconfirmed.keys().copied().collect()
    }

    /// Records ends for the homes of forwarded tasks that their new keeper does not keep.
    pub(crate) fn returned(&mut self, from: Home, ended: &[Ended]) {
        for ended in ended {
            let is_noted = |note: &mut Note| note.to == from && note.run == ended.run;
            if let Entry::Occupied(mut note) = self.forwarding.notes.entry(ended.task)
                && is_noted(note.get_mut())
            {
                note.remove();
                self.ends.push(*ended);
            }
        }
    }

    /// Handles the loss of the connection to an entry that tasks may have been forwarded to.
    pub(super) fn new_keeper_lost(&mut self, now: Time, peer: Home) {
        let lost_at = now + LOSS_WAIT;
        for note in self.forwarding.notes.values_mut().filter(|note| note.to == peer) {
            note.lost_at = Some(lost_at);
            note.until = note.until.max(lost_at);
        }
    }

    /// Drops old notes, and tells homes of tasks whose new keeper was lost. A home that knew the new
    /// keeper ignores that.
    pub(super) fn tick_forwarding(&mut self, now: Time) {
        let is_lost = |note: &Note| note.lost_at.is_some_and(|at| at <= now);
        let over = self
            .forwarding
            .notes
            .extract_if(|_, note| is_lost(note) || note.until <= now)
            .filter(|(_, note)| is_lost(note));
        let ended = |(task, note): (Task, Note)| Ended {
            task,
            run: note.run,
            executor: None,
            end: End::Unsure,
        };
        self.ends.extend(over.map(ended));
    }
}

/// Messages to build, one for the tasks of a job that took the same way to the same keeper.
#[derive(Default)]
struct Forwards(Vec<(Home, Forward)>);

impl Forwards {
    fn add(&mut self, now: Time, to: Home, queued: &Queued) {
        let matches = |(other, forward): &&mut (Home, Forward)| {
            *other == to
                && forward.placement.job == queued.task.job
                && forward.visited == queued.visited
        };
        let elapsed = queued.elapsed(now);
        match self.0.iter_mut().find(matches) {
            Some((_, forward)) => {
                forward.elapsed = forward.elapsed.max(elapsed);
                forward.placement.tasks.push(queued.placed());
            }
            None => {
                let mut placement = queued.placement(now);
                placement.tasks.push(queued.placed());
                let visited = queued.visited.clone();
                self.0.push((to, Forward { placement, elapsed, visited }));
            }
        }
    }

    fn messages(self) -> impl Iterator<Item = Action> {
        self.0
            .into_iter()
            .map(|(to, forward)| Action::Send { to, message: Message::Forward(forward) })
    }
}
