//! Delivers orders to executors, executes them there and returns the responses.

use super::{NETWORK_DELAY_US, ORDER_TIMEOUT_US, Order, Progress, Simulation, Step};
use rand::Rng;
use runs::{
    Event,
    executor::{Response, StartResponse},
    job::Run,
};
use site::{id::Incarnation, unit::Resources};

/// Replaces the sender's incarnation in an order whose response is not awaited any more.
const NO_SENDER: Incarnation = Incarnation(u64::MAX);

/// Run time of a task that hangs: beyond the end of any simulation.
const HANG_US: u64 = 24 * 3_600_000_000;

impl Simulation {
    pub(super) fn order(&mut self, node: usize, incarnation: Incarnation, order: Order) {
        let now = self.now;
        let id = match &order {
            Order::Start(start) => start.executor,
            Order::Stop { executor, .. } => *executor,
            Order::Poll(poll, ..) => poll.executor,
        };
        let slot = self.slots.iter().position(|slot| slot.executor.id == id);
        let Some(slot) = slot.filter(|slot| self.slots[*slot].fake.up) else {
            return self.reply(node, incarnation, gone_event(&order), NETWORK_DELAY_US);
        };
        if self.slots[slot].fake.unresponsive_until > now {
            return self.reply(node, incarnation, timeout_event(&order), ORDER_TIMEOUT_US);
        }
        let has_arrived = matches!(&order, Order::Poll(.., Progress::Arrived));
        let one_in = self.plan.lost_orders.filter(|_| !has_arrived);
        let lost = one_in.is_some_and(|one_in| self.random.random_ratio(1, one_in));
        if lost {
            self.reply(node, incarnation, timeout_event(&order), ORDER_TIMEOUT_US);
            // Half of them are executed seconds later, when nobody waits for the response.
            if self.random.random_bool(0.5) {
                let late = self.random.random_range(2_000_000..6_000_000);
                self.after(late, Step::Order(node, NO_SENDER, order));
            } else if !matches!(order, Order::Poll(..)) {
                let event = self.execute_order(slot, &order);
                drop(event);
            }
            return;
        }
        if let Order::Poll(poll, until, _) = &order
            && *until > now
            && !self.slots[slot].fake.has_unacknowledged(poll.acknowledged)
        {
            self.slots[slot].fake.end_due_runs(now);
            if !self.slots[slot].fake.has_unacknowledged(poll.acknowledged) {
                let order = Order::Poll(*poll, *until, Progress::Arrived);
                return self.after(2_000, Step::Order(node, incarnation, order));
            }
        }
        let starts = self.starts;
        let event = self.execute_order(slot, &order);
        if self.starts > starts && incarnation != NO_SENDER {
            self.check_cordon(node, slot);
        }
        self.reply(node, incarnation, event, NETWORK_DELAY_US);
    }

    pub(super) fn execute_order(&mut self, slot: usize, order: &Order) -> Event {
        let now = self.now;
        match order {
            Order::Start(start) => {
                let (length, needs) = self.load(slot, &start.run);
                let before = self.slots[slot].fake.running.contains_key(&start.run);
                let hangs = !before && self.hangs(slot);
                let run_time = if hangs { HANG_US } else { length };
                let reply = self.slots[slot].fake.start(now, start, needs, run_time);
                if matches!(reply, StartResponse::Running { .. }) && !before {
                    self.begun_work += length * u64::from(needs.cores.0);
                    self.check_start(slot, &start.run);
                }
                Event::Started { executor: start.executor, run: start.run.clone(), reply }
            }
            Order::Stop { executor, run, token } => {
                let reply = self.slots[slot].fake.stop(now, run, *token);
                Event::Stopped { executor: *executor, run: run.clone(), reply }
            }
            Order::Poll(poll, ..) => {
                let reply = self.slots[slot].fake.poll(now, poll);
                if let Response::Done(lists) = &reply {
                    for ended in &lists.ended {
                        if let Some(run) = &ended.run
                            && ended.result == runs::executor::RunResult::Done
                        {
                            self.done.insert((run.job.to_string(), run.index));
                        }
                    }
                }
                Event::Polled { executor: poll.executor, number: poll.number, reply }
            }
        }
    }

    pub(super) fn reply(&mut self, node: usize, incarnation: Incarnation, event: Event, us: u64) {
        self.after(us, Step::HandleEvent(node, incarnation, event));
    }

    /// Returns how long a task takes on an executor in microseconds, and its needs.
    fn load(&self, slot: usize, run: &Run) -> (u64, Resources) {
        let Some(work) = self.works.get(&run.job) else { return (0, Resources::default()) };
        let length = work.lengths.get(usize::from(run.index)).copied().unwrap_or_default();
        let percent = self.plan.machine(slot).map_or(100, |machine| machine.run_time_percent);
        (length.0 * percent / 100, work.needs)
    }

    /// Draws whether a task that starts now hangs.
    fn hangs(&mut self, slot: usize) -> bool {
        let percent = self.slots[slot].hang_percent;
        percent > 0 && self.random.random_ratio(percent.min(100), 100)
    }

    pub(super) fn check_start(&mut self, slot: usize, run: &Run) {
        self.starts += 1;
        let now = self.now;
        for other in 0..self.slots.len() {
            self.slots[other].fake.end_due_runs(now);
            let fake = &self.slots[other].fake;
            let duplicate = fake.running.keys().find(|there| {
                there.job == run.job && there.index == run.index && (other != slot || *there != run)
            });
            assert!(
                duplicate.is_none() || !fake.up,
                "at {now}: {run} starts on {slot} while {duplicate:?} runs on {other}"
            );
        }
        assert!(!self.refused.contains(run.job.as_str()), "{run} starts after a refusal");
        *self.started.entry(run.job.to_string()).or_default() += 1;
    }
}

fn gone_event(order: &Order) -> Event {
    match order {
        Order::Start(start) => Event::Started {
            executor: start.executor,
            run: start.run.clone(),
            reply: StartResponse::Gone,
        },
        Order::Stop { executor, run, .. } => {
            Event::Stopped { executor: *executor, run: run.clone(), reply: Response::Gone }
        }
        Order::Poll(poll, ..) => {
            Event::Polled { executor: poll.executor, number: poll.number, reply: Response::Gone }
        }
    }
}

fn timeout_event(order: &Order) -> Event {
    match order {
        Order::Start(start) => Event::Started {
            executor: start.executor,
            run: start.run.clone(),
            reply: StartResponse::Unknown,
        },
        Order::Stop { executor, run, .. } => {
            Event::Stopped { executor: *executor, run: run.clone(), reply: Response::Silent }
        }
        Order::Poll(poll, ..) => {
            Event::Polled { executor: poll.executor, number: poll.number, reply: Response::Silent }
        }
    }
}
