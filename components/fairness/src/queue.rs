//! The queue of tasks of one service pool.

use crate::{
    key::{JobKey, Key},
    level::Level,
    member::{Crew, Firm, Job, JobIndex, Task},
    virtual_time::VirtualTime,
};
use rustc_hash::FxHashMap;
use site::{
    id::{CrewId, FirmId},
    unit::{Slots, Span, Weight},
};
use std::collections::{VecDeque, hash_map};

/// Minimum charge for a task, so that tasks declared to cost nothing do not starve others.
const MIN_COST: Span = Span::from_millis(1);

/// Weight of a firm or crew until it is set.
const DEFAULT_WEIGHT: Weight = Weight(1);

/// Maximum work of later jobs that may overtake a job, as a multiple of the job's own work.
const MAX_OVERTAKE_FACTOR: u64 = 2;

/// Maximum number of tasks of cancelled jobs that one operation drops.
const MAX_DROPS: usize = 4;

/// Tasks queued for one service pool, served by weighted fair sharing: the firm with the fewest
/// running tasks relative to its weight is served first, and within it the crew by the same rule.
/// Among equals, the one with the earliest virtual start time is served first.
///
/// Each operation takes time logarithmic in the number of firms, of the firm's crews and of the
/// crew's jobs, and does not depend on the number of tasks.
pub struct Queue<T> {
    firms: Level<Firm<T>>,
    firm_index: FxHashMap<FirmId, usize>,
    /// Jobs with queued tasks.
    jobs: FxHashMap<JobKey, JobIndex>,
    /// Number of queued tasks.
    queued: usize,
    /// Sum of the costs of the tasks queued for active firms.
    cost: Span,
    /// Tasks of cancelled jobs, which later operations drop a few at a time.
    cancelled: Vec<VecDeque<Task<T>>>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            firms: Level::default(),
            firm_index: FxHashMap::default(),
            jobs: FxHashMap::default(),
            queued: 0,
            cost: Span::ZERO,
            cancelled: Vec::new(),
        }
    }

    /// Sets a firm's weight relative to other firms; 1 until set.
    pub fn set_firm_weight(&mut self, firm: FirmId, weight: Weight) {
        let index = self.firm(firm);
        self.firms.set_weight(index, weight);
    }

    /// Sets a crew's weight relative to its firm's other crews; 1 until set.
    pub fn set_crew_weight(&mut self, firm: FirmId, crew: CrewId, weight: Weight) {
        let index = self.firm(firm);
        let crew = self.crew(index, crew);
        self.firms.get_mut(index).crews.set_weight(crew, weight);
    }

    /// Limits the firm's running tasks, here and at other entries together. `None` means no limit.
    pub fn set_quota(&mut self, firm: FirmId, quota: Option<Slots>) {
        let index = self.firm(firm);
        self.firms.get_mut(index).quota = quota;
        self.update_activity(index);
    }

    /// Sets the number of the firm's tasks that run at other entries.
    pub fn set_remote_running(&mut self, firm: FirmId, running: Slots) {
        let index = self.firm(firm);
        self.firms.get_mut(index).remote = running.0 as usize;
        self.update_activity(index);
    }

    /// Queues a task behind the others of its job. `cost` is its expected run time.
    pub fn push(&mut self, key: Key, cost: Span, item: T) {
        self.push_with_max_overtake(key, cost, Span(u64::MAX), item);
    }

    /// Queues a task. Later jobs of its crew may overtake it by at most `max_overtake` of service,
    /// and at most by a fixed multiple of its own cost. The limit of a job is the sum over its
    /// tasks. Jobs moved forward by [`boost`](Self::boost) may overtake it by more.
    pub fn push_with_max_overtake(&mut self, key: Key, cost: Span, max_overtake: Span, item: T) {
        let task = Task { cost, charged: false, item };
        let index = self.add(key, cost, |tasks| tasks.push_back(task));
        let crew = self.firms.get_mut(index.firm).crews.get_mut(index.crew);
        let max_overtake =
            max_overtake.min(Span(cost.max(MIN_COST).0.saturating_mul(MAX_OVERTAKE_FACTOR)));
        crew.jobs.charge(index.job, max_overtake);
    }

    /// Moves a job with queued tasks forward among the jobs of its crew, which wait at most `by` of
    /// service longer.
    pub fn boost(&mut self, job: JobKey, by: Span) {
        let Some(index) = self.jobs.get(&job).copied() else { return };
        let crew = self.firms.get_mut(index.firm).crews.get_mut(index.crew);
        crew.jobs.boost(index.job, by);
    }

    /// Queues a task for a retry before the others of its job. Its next [`pop`](Self::pop) charges
    /// nothing, but counts it as running.
    ///
    /// The failed attempt must have been ended by [`finish`](Self::finish).
    pub fn push_front(&mut self, key: Key, cost: Span, item: T) {
        let task = Task { cost, charged: true, item };
        self.add(key, cost, |tasks| tasks.push_front(task));
    }

    /// Removes the next task, charges its cost and counts it as running for its firm.
    pub fn pop(&mut self) -> Option<(Key, T)> {
        self.drop_cancelled();
        let firm_index = self.firms.first()?;
        let firm = self.firms.get_mut(firm_index);
        let crew_index = firm.crews.first()?;
        let crew = firm.crews.get_mut(crew_index);
        let job_index = crew.jobs.first()?;
        let job = crew.jobs.get_mut(job_index);
        let task = job.tasks.pop_front()?;
        let key = Key { firm: firm.id, crew: crew.id, job: job.key };
        job.cost = job.cost - task.cost;
        let empty = job.tasks.is_empty();

        let charge = if task.charged { Span::ZERO } else { task.cost.max(MIN_COST) };
        crew.jobs.advance(charge);
        if empty {
            crew.jobs.remove(job_index);
            self.jobs.remove(&key.job);
        }
        let idle = crew.jobs.is_empty();
        crew.running += 1;
        let running = crew.running;
        firm.crews.serve(crew_index, charge);
        firm.crews.set_load(crew_index, running);
        if idle {
            firm.crews.deactivate(crew_index);
        }
        firm.running += 1;
        firm.queued -= 1;
        firm.cost = firm.cost - task.cost;
        self.queued -= 1;
        let running = firm.running;
        self.firms.serve(firm_index, charge);
        self.firms.set_load(firm_index, running);
        self.update_activity(firm_index);
        Some((key, task.item))
    }

    /// Returns the task that [`pop`](Self::pop) would remove.
    pub fn peek(&self) -> Option<(Key, &T)> {
        let firm = self.firms.get(self.firms.first()?);
        let crew = firm.crews.get(firm.crews.first()?);
        let job = crew.jobs.get(crew.jobs.first()?);
        let key = Key { firm: firm.id, crew: crew.id, job: job.key };
        job.tasks.front().map(|task| (key, &task.item))
    }

    /// Ends an attempt: uncounts a running task of the firm, and corrects the virtual clocks of
    /// firm and crew from `cost_charged` to `measured`.
    ///
    /// `cost_charged` is the cost that was passed to [`push`](Self::push), or zero for an attempt
    /// that came from [`push_front`](Self::push_front). Pass the same value twice to leave the
    /// clocks unchanged, for example for a task that was not sent and returns to the queue.
    pub fn finish(&mut self, firm: FirmId, crew: CrewId, cost_charged: Span, measured: Span) {
        let Some(&index) = self.firm_index.get(&firm) else { return };
        let charged =
            if cost_charged == Span::ZERO { Span::ZERO } else { cost_charged.max(MIN_COST) };
        let used = if cost_charged == measured { charged } else { measured.max(MIN_COST) };
        let inner = self.firms.get_mut(index);
        inner.running = inner.running.saturating_sub(1);
        let running = inner.running;
        if let Some(&crew) = inner.crew_index.get(&crew) {
            correct_charge(&mut inner.crews, crew, charged, used);
            let member = inner.crews.get_mut(crew);
            member.running = member.running.saturating_sub(1);
            let running = member.running;
            inner.crews.set_load(crew, running);
        }
        correct_charge(&mut self.firms, index, charged, used);
        self.firms.set_load(index, running);
        self.update_activity(index);
    }

    /// Removes a job's queued tasks and returns their number. Takes logarithmic time; later calls
    /// drop the tasks themselves, a few at a time.
    pub fn cancel_job(&mut self, job: JobKey) -> usize {
        let Some(index) = self.jobs.remove(&job) else { return 0 };
        let firm = self.firms.get_mut(index.firm);
        let crew = firm.crews.get_mut(index.crew);
        let job = crew.jobs.remove(index.job);
        let idle = crew.jobs.is_empty();
        if idle {
            firm.crews.deactivate(index.crew);
        }
        let count = job.tasks.len();
        firm.queued -= count;
        firm.cost = firm.cost - job.cost;
        self.queued -= count;
        self.update_activity(index.firm);
        self.cancelled.push(job.tasks);
        count
    }

    /// Charges a firm for service that it received at other entries.
    pub fn charge(&mut self, firm: FirmId, used: Span) {
        let index = self.firm(firm);
        self.firms.charge(index, used);
    }

    /// Number of queued tasks.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Returns whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Returns the number of the firm's queued tasks.
    pub fn firm_len(&self, firm: FirmId) -> usize {
        self.find(firm).map_or(0, |firm| firm.queued)
    }

    /// Returns the number of the firm's tasks that were popped here and have not finished.
    pub fn firm_running(&self, firm: FirmId) -> usize {
        self.find(firm).map_or(0, |firm| firm.running)
    }

    /// Returns the expected work (sum of run times) that is served before a task that the firm
    /// would queue now.
    ///
    /// An upper estimate in constant time: the work that the firm has queued itself, and for the
    /// other firms their share by weight meanwhile, at most the work that they have queued. It
    /// uses the declared costs, assumes that every active firm stays backlogged, and leaves out
    /// running tasks and work that quotas hold back. The firm's own quota is not considered.
    pub fn work_ahead(&self, firm: FirmId) -> Span {
        let Some(&index) = self.firm_index.get(&firm) else { return Span::ZERO };
        let inner = self.firms.get(index);
        let weight = self.firms.weight_of(index);
        let own_weight = if self.firms.is_active(index) { u64::from(weight.0) } else { 0 };
        let wait = self.firms.time_to_start(index).plus(VirtualTime::of(inner.cost, weight));
        let others = wait.service(self.firms.weight() - own_weight);
        inner.cost + others.min(self.cost - inner.counted_cost)
    }

    /// Returns the expected work that is served until a job of the firm with work `own`, queued
    /// now, is done, including its own: the work that the firm has queued, and the share of the
    /// other firms by weight meanwhile, at most the work that they have queued. Takes constant
    /// time.
    pub fn work_until_done(&self, firm: FirmId, own: Span) -> Span {
        let (queued, counted_cost, weight, is_active) = match self.firm_index.get(&firm) {
            Some(&index) => {
                let inner = self.firms.get(index);
                let weight = self.firms.weight_of(index);
                (inner.cost, inner.counted_cost, weight, self.firms.is_active(index))
            }
            None => (Span::ZERO, Span::ZERO, DEFAULT_WEIGHT, false),
        };
        let firm_work = queued + own;
        let own_weight = if is_active { u64::from(weight.0) } else { 0 };
        let others = VirtualTime::of(firm_work, weight).service(self.firms.weight() - own_weight);
        firm_work + others.min(self.cost - counted_cost)
    }

    /// Iterates over the firms with queued or running tasks, with the numbers of queued and of
    /// running tasks.
    pub fn backlogs(&self) -> impl Iterator<Item = (FirmId, usize, usize)> {
        self.firms
            .iter()
            .filter(|firm| firm.queued + firm.running > 0)
            .map(|firm| (firm.id, firm.queued, firm.running))
    }

    fn find(&self, firm: FirmId) -> Option<&Firm<T>> {
        self.firm_index.get(&firm).map(|&index| self.firms.get(index))
    }

    fn firm(&mut self, id: FirmId) -> usize {
        match self.firm_index.entry(id) {
            hash_map::Entry::Occupied(entry) => *entry.get(),
            hash_map::Entry::Vacant(entry) => {
                *entry.insert(self.firms.insert(DEFAULT_WEIGHT, Firm::new(id)))
            }
        }
    }

    fn crew(&mut self, firm: usize, id: CrewId) -> usize {
        let firm = self.firms.get_mut(firm);
        match firm.crew_index.entry(id) {
            hash_map::Entry::Occupied(entry) => *entry.get(),
            hash_map::Entry::Vacant(entry) => {
                let crew = Crew { id, running: 0, jobs: Level::default() };
                *entry.insert(firm.crews.insert(DEFAULT_WEIGHT, crew))
            }
        }
    }

    fn job(&mut self, key: Key) -> JobIndex {
        if let Some(&index) = self.jobs.get(&key.job) {
            return index;
        }
        let firm = self.firm(key.firm);
        let crew = self.crew(firm, key.crew);
        let crews = &mut self.firms.get_mut(firm).crews;
        let jobs = &mut crews.get_mut(crew).jobs;
        let job = Job { key: key.job, tasks: VecDeque::new(), cost: Span::ZERO };
        let job = jobs.insert(DEFAULT_WEIGHT, job);
        jobs.activate(job);
        crews.activate(crew);
        let index = JobIndex { firm, crew, job };
        self.jobs.insert(key.job, index);
        index
    }

    fn add(&mut self, key: Key, cost: Span, put: impl FnOnce(&mut VecDeque<Task<T>>)) -> JobIndex {
        self.drop_cancelled();
        let index = self.job(key);
        let firm = self.firms.get_mut(index.firm);
        firm.queued += 1;
        firm.cost = firm.cost + cost;
        let job = firm.crews.get_mut(index.crew).jobs.get_mut(index.job);
        job.cost = job.cost + cost;
        put(&mut job.tasks);
        self.queued += 1;
        self.update_activity(index.firm);
        index
    }

    /// Activates or deactivates the firm by its state, and updates the sum of costs.
    fn update_activity(&mut self, index: usize) {
        let firm = self.firms.get_mut(index);
        let is_active = firm.queued > 0 && firm.is_below_quota();
        let counted_cost = if is_active { firm.cost } else { Span::ZERO };
        self.cost = self.cost + counted_cost - firm.counted_cost;
        firm.counted_cost = counted_cost;
        if is_active {
            self.firms.activate(index);
        } else {
            self.firms.deactivate(index);
        }
    }

    /// Drops at most [`MAX_DROPS`] tasks of cancelled jobs.
    fn drop_cancelled(&mut self) {
        let Some(tasks) = self.cancelled.last_mut() else { return };
        tasks.truncate(tasks.len().saturating_sub(MAX_DROPS));
        if tasks.is_empty() {
            self.cancelled.pop();
        }
    }
}

/// Corrects a child's virtual clock from `charged` to `used`.
fn correct_charge<C>(level: &mut Level<C>, index: usize, charged: Span, used: Span) {
    if used > charged {
        level.charge(index, used - charged);
    } else {
        level.refund(index, charged - used);
    }
}
