//! The home role of an entry: the open jobs that it answers.

mod admission;
mod job;
mod peer;
mod place;
mod retry_delays;

pub(crate) use peer::Peers;

use crate::{
    Action, Job, Message, Options,
    action::{Decision, Reason},
    demand::{Demand, Group},
    job::{Answer, Key, Task},
    keeper::Offer,
    load::Load,
    message::{End, Ended, Moved, Room},
};
use admission::{Admission, Totals};
use job::{OpenJob, TaskState};
use retry_delays::RetryDelays;
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{Home, WaiterId},
    unit::{Span, Time},
};

/// The open jobs that this entry answers.
#[derive(Debug)]
pub(crate) struct Jobs {
    me: Home,
    options: Options,
    open: FxHashMap<u64, OpenJob>,
    waiters: FxHashMap<WaiterId, u64>,
    /// Number of the latest job.
    latest_number: u64,
    admission: Admission,
    retry_delays: RetryDelays,
    pub(crate) peers: Peers,
}

impl Jobs {
    pub(crate) fn new(me: Home, options: Options) -> Self {
        Self {
            me,
            options,
            open: FxHashMap::default(),
            waiters: FxHashMap::default(),
            latest_number: 0,
            admission: Admission::new(&options),
            retry_delays: RetryDelays::default(),
            peers: Peers::default(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Entries that have tasks of open jobs.
    pub(crate) fn keepers(&self) -> FxHashSet<Home> {
        self.open.values().flat_map(OpenJob::placed).map(|(keeper, _)| keeper).collect()
    }

    /// Admits a job, or rejects it. `own` is what this entry's executors offer it.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        waiter: WaiterId,
        job: Job,
        own: &Offer,
        out: &mut Vec<Action>,
    ) {
        self.latest_number += 1;
        let key = Key { home: self.me, number: self.latest_number };
        let own_load = [own.load, self.load()].into_iter().sum();
        self.admission.arrived(now, &job);
        let own_totals = Totals { load: own_load, demand: self.demand(now) };
        let totals = self.peers.totals(now, self.me.data_centre, own_totals);
        let slack = job.start_by(self.options.caution_percent).since(now);
        let estimate = self.admission.estimate_wait(now, &job, slack, &totals);
        let has_room = self.options.fill
            && self.has_room(now, &own.room, &job, estimate.precedes(&totals.load));
        let admitted = !self.options.admission || has_room || estimate.is_acceptable();
        out.push(Action::Log(Decision::Admit {
            job: job.name.clone(),
            request: job.request.clone(),
            tasks: job.tasks,
            estimate: job.estimate,
            due_in: job.due.since(now),
            give_up_in: job.give_up.since(now),
            waiting: self.pending_jobs(),
            foreseen: estimate.wait,
            limit: estimate.limit,
            group: Group::of(&job),
            floods: estimate.floods,
            route: job.route.clone(),
        }));
        self.waiters.insert(waiter, key.number);
        self.open.insert(
            key.number,
            OpenJob { floods: estimate.floods, ..OpenJob::new(now, key, waiter, job) },
        );
        let rejection = match (own.is_cordoned, admitted) {
            (true, _) => Reason::Cordoned,
            (false, false) => Reason::Overload,
            (false, true) => return,
        };
        self.finish(now, key.number, rejection, out);
    }

    /// Rejects pending jobs whose executors have all come under cordon. Jobs with a task that may
    /// have run stay pending for as long as possible.
    pub(crate) fn reject_cordoned(
        &mut self,
        now: Time,
        is_cordoned: impl Fn(&Job) -> bool,
        out: &mut Vec<Action>,
    ) {
        let waits = |open: &OpenJob| open.is_unstarted() && is_cordoned(&open.job);
        let waiting: Vec<_> =
            self.open.iter().filter(|(_, open)| waits(open)).map(|(number, _)| *number).collect();
        for number in waiting {
            self.finish(now, number, Reason::Cordoned, out);
        }
    }

    /// Whether all tasks of a job can be started at once, besides pending work in thousandths of a
    /// core.
    fn has_room(&self, now: Time, own: &Room, job: &Job, pending: u64) -> bool {
        let rooms = self.peers.with_room(now).map(|(_, room)| room).chain([own]);
        let room: u32 = rooms.map(|room| room.count(job.needs.cores.0)).sum();
        let cores = job.needs.cores.0;
        u64::from(room) >= u64::from(job.tasks) + pending / u64::from(cores.max(1))
    }

    /// The pending work here.
    pub(crate) fn load(&self) -> Load {
        Load { pending: self.open.values().map(OpenJob::pending_cores).sum(), ..Load::default() }
    }

    /// The jobs of the last second here, and the pending work by urgency.
    pub(crate) fn demand(&self, now: Time) -> Demand {
        let mut demand = self.admission.demand(now);
        for open in self.open.values() {
            let slack = open.job.start_by(self.options.caution_percent).since(now);
            // Jobs that can't be in time any more are served last.
            let slack = if slack == Span::ZERO { Span(u64::MAX) } else { slack };
            demand.add_pending(slack, open.pending_cores());
        }
        demand
    }

    /// Drops the job of a caller that has left. Returns tasks of this entry's own executors to
    /// cancel.
    pub(crate) fn leave(&mut self, waiter: WaiterId, out: &mut Vec<Action>) -> Vec<Task> {
        let Some(open) = self.waiters.remove(&waiter).and_then(|number| self.open.remove(&number))
        else {
            return Vec::new();
        };
        let placed = open.placed().count();
        let (job, request) = (open.job.name.clone(), open.job.request.clone());
        out.push(Action::Log(Decision::Left { job, request, placed }));
        self.cancel_placed(&open, out)
    }

    /// Handles the end of a task at a keeper. Returns tasks of this entry's own executors to
    /// cancel.
    pub(crate) fn ended(
        &mut self,
        now: Time,
        from: Home,
        ended: &Ended,
        out: &mut Vec<Action>,
    ) -> Vec<Task> {
        let Some(open) = self.open.get_mut(&ended.task.job.number) else { return Vec::new() };
        let Some(task) = open.tasks.get_mut(usize::from(ended.task.index)) else {
            return Vec::new();
        };
        // A keeper may still have an earlier run than the one that was placed there.
        if task.state != (TaskState::Placed { keeper: from }) || ended.run < task.run {
            return Vec::new();
        }
        task.run = task.run.max(ended.run + 1);
        if ended.end != End::Unsure {
            task.ended = Some(ended.run);
        }
        open.ran |= ended.end != End::NotRun;
        task.state = match ended.end {
            End::Done => TaskState::Done,
            End::Failed | End::Lost | End::ExecutorLost | End::ExecutorCrashed | End::NotRun => {
                TaskState::Pending { from: now }
            }
            End::Unsure => TaskState::Pending { from: now + self.options.unsure_wait },
        };
        match ended.end {
            End::Failed => task.failures += 1,
            End::ExecutorCrashed => task.crashes += 1,
            End::ExecutorLost => task.otherwise_lost += 1,
            End::Done | End::Lost | End::NotRun | End::Unsure => {}
        }
        if !matches!(ended.end, End::Done | End::NotRun) {
            task.avoid.extend(ended.executor);
        }
        if ended.end == End::Done {
            return match open.is_done() {
                true => self.finish(now, ended.task.job.number, Reason::AllDone, out),
                false => Vec::new(),
            };
        }
        let fatal = task.fatal(open.job.max_failures);
        let (failures, crashes, otherwise_lost) =
            (task.failures, task.crashes, task.otherwise_lost);
        let late = open.is_too_late(now) && open.ran;
        out.push(Action::Log(Decision::TaskEnded {
            job: open.job.name.clone(),
            index: ended.task.index,
            run: ended.run,
            end: ended.end,
            failures,
            crashes,
            otherwise_lost,
            again: fatal.is_none() && !late,
        }));
        match (fatal, late) {
            (Some(why), _) => self.finish(now, ended.task.job.number, why, out),
            (None, true) => self.finish(now, ended.task.job.number, Reason::LostTooLate, out),
            (None, false) => Vec::new(),
        }
    }

    /// Another keeper now has these runs. Cancels those that are no longer wanted there; returns
    /// the ones to cancel on this entry's own executors.
    pub(crate) fn moved(
        &mut self,
        now: Time,
        to: Home,
        runs: &[Moved],
        out: &mut Vec<Action>,
    ) -> Vec<Task> {
        let unwanted = |moved: &&Moved| !self.record_move(now, to, moved);
        let tasks: Vec<_> = runs.iter().filter(unwanted).map(|moved| moved.task).collect();
        if to == self.me || tasks.is_empty() {
            return tasks;
        }
        out.push(Action::Send { to, message: Message::Cancel(tasks) });
        Vec::new()
    }

    /// Another keeper has these tasks from the one that they were sent to. Confirms or cancels them
    /// there.
    pub(crate) fn taken(&mut self, now: Time, by: Home, runs: &[Moved], out: &mut Vec<Action>) {
        let unwanted = self.moved(now, by, runs, out);
        debug_assert!(unwanted.is_empty(), "an entry sends itself no message");
        let confirmed: Vec<_> =
            runs.iter().filter(|moved| self.is_placed(by, moved)).copied().collect();
        if !confirmed.is_empty() {
            out.push(Action::Send { to: by, message: Message::Confirmed(confirmed) });
        }
    }

    /// Whether a keeper has a task's current run.
    fn is_placed(&self, keeper: Home, moved: &Moved) -> bool {
        let open = self.open.get(&moved.task.job.number);
        let task = open.and_then(|open| open.tasks.get(usize::from(moved.task.index)));
        task.is_some_and(|task| {
            task.state == (TaskState::Placed { keeper }) && task.run == moved.run
        })
    }

    /// Records the new keeper of a run; returns whether the run is still wanted there.
    fn record_move(&mut self, now: Time, to: Home, moved: &Moved) -> bool {
        let stop_by = now + self.options.unsure_wait;
        let open = self.open.get_mut(&moved.task.job.number);
        let task = open.and_then(|open| open.tasks.get_mut(usize::from(moved.task.index)));
        let Some(task) = task else { return false };
        match task.state {
            TaskState::Done => false,
            // The message of an earlier handover was overtaken by the end of the run.
            TaskState::Pending { .. } if task.ended >= Some(moved.run) => false,
            // The next run has a keeper already, possibly this one.
            TaskState::Placed { keeper } if moved.run < task.run => keeper == to,
            // Later runs were placed already, so this run's number must not be used for the next
            // one.
            TaskState::Pending { from } if moved.run + 1 < task.run => {
                task.state = TaskState::Pending { from: from.max(stop_by) };
                false
            }
            TaskState::Placed { .. } | TaskState::Pending { .. } => {
                task.state = TaskState::Placed { keeper: to };
                task.run = moved.run;
                true
            }
        }
    }

    /// Handles the loss of the connection to a keeper. Its runs of this entry's tasks end soon,
    /// since it stops them or their leases expire.
    pub(crate) fn keeper_lost(&mut self, now: Time, keeper: Home) {
        let from = now + self.options.lapse_wait;
        for open in self.open.values_mut() {
            for task in &mut open.tasks {
                if task.state == (TaskState::Placed { keeper }) {
                    task.state = TaskState::Pending { from };
                    task.run += 1;
                    open.ran = true;
                }
            }
        }
    }

    /// Answers all open jobs after the process did not run for a while: callers may have left, and
    /// leases may have expired. Returns tasks of this entry's own executors to cancel.
    pub(crate) fn pause(&mut self, now: Time, out: &mut Vec<Action>) -> Vec<Task> {
        let numbers: Vec<_> = self.open.keys().copied().collect();
        let finish = |number| self.finish(now, number, Reason::Paused, out);
        numbers.into_iter().flat_map(finish).collect()
    }

    /// Answers the jobs that can't be in time any more. Returns tasks of this entry's own executors
    /// to cancel.
    pub(crate) fn expire(&mut self, now: Time, out: &mut Vec<Action>) -> Vec<Task> {
        let reason = |open: &OpenJob| {
            let late = now >= open.job.give_up;
            match (open.is_unstarted(), open.has_pending() && open.is_too_late(now)) {
                (true, true) => Some(Reason::NoRoomInTime),
                (true, false) if open.exceeds_wait_limit(now, self.options.patience_percent) => {
                    Some(Reason::NoRoomInTime)
                }
                (false, true) if open.ran => Some(Reason::LostTooLate),
                (false, _) if late => Some(Reason::OutOfTime),
                _ => None,
            }
        };
        let due: Vec<_> =
            self.open.iter().filter_map(|(number, open)| Some((*number, reason(open)?))).collect();
        due.into_iter().flat_map(|(number, why)| self.finish(now, number, why, out)).collect()
    }

    /// Answers a job's caller and drops the job. Returns tasks of this entry's own executors to
    /// cancel.
    fn finish(&mut self, now: Time, number: u64, why: Reason, out: &mut Vec<Action>) -> Vec<Task> {
        let Some(open) = self.open.remove(&number) else { return Vec::new() };
        self.waiters.remove(&open.waiter);
        let (answer, name) = match why {
            Reason::AllDone => (Answer::Completed, "completed"),
            _ if open.is_unstarted() => {
                let ratio = self.record_refusal(now, &open, why);
                let retry_after = self.retry_delays.record_rejection(now, &open.job.name, ratio);
                (Answer::Rejected { retry_after }, "refused")
            }
            Reason::Failures | Reason::ExecutorsCrashed => (Answer::Failed, "failed"),
            _ => (Answer::GivenUp, "given-up"),
        };
        let cores = open.job.needs.cores.0;
        out.push(Action::Log(Decision::Answer {
            job: open.job.name.clone(),
            request: open.job.request.clone(),
            answer: name,
            why,
            after: now.since(open.arrived),
            waited: open.placed_at.unwrap_or(now).since(open.arrived),
            late_by: now.since(open.job.due),
            waiting: self.pending_jobs(),
            room: self.peers.with_room(now).map(|(_, room)| room.count(cores)).sum(),
            group: Group::of(&open.job),
            route: open.job.route.clone(),
        }));
        out.push(Action::Answer { waiter: open.waiter, answer });
        self.cancel_placed(&open, out)
    }

    /// Counts a rejected job among those of its group; returns the rejected jobs of the group for each
    /// thousand admitted ones. A job that was never placed may need executors that do not exist,
    /// which says nothing about other groups.
    fn record_refusal(&mut self, now: Time, open: &OpenJob, why: Reason) -> u64 {
        let had_room = open.placed_at.is_some();
        if why != Reason::Overload && !(why == Reason::NoRoomInTime && had_room) {
            return admission::ALL_REFUSED;
        }
        self.admission.refused(now, &open.job, open.floods);
        let own = Totals { demand: self.admission.demand(now), ..Totals::default() };
        let demand = self.peers.totals(now, self.me.data_centre, own).demand;
        self.admission.refusal_ratio(&open.job, &demand)
    }

    fn cancel_placed(&self, open: &OpenJob, out: &mut Vec<Action>) -> Vec<Task> {
        let mut keepers: FxHashMap<Home, Vec<Task>> = FxHashMap::default();
        for (keeper, task) in open.placed() {
            keepers.entry(keeper).or_default().push(task);
        }
        let own = keepers.remove(&self.me).unwrap_or_default();
        let cancel = |(to, tasks)| Action::Send { to, message: Message::Cancel(tasks) };
        out.extend(keepers.into_iter().map(cancel));
        own
    }

    fn pending_jobs(&self) -> usize {
        self.open.values().filter(|open| open.has_pending()).count()
    }
}
