//! Orders on their way to executors, and what they do there.

use super::{ORDER_US, Order, Progress, Step, WAY_US, World};
use rand::Rng;
use runs::{
    Event,
    executor::{Response, StartResponse},
    job::Run,
};
use site::{id::Incarnation, unit::Resources};

/// In place of the sender's incarnation: nobody waits for the order's answer.
const LATE: Incarnation = Incarnation(u64::MAX);

impl World {
    pub(super) fn order(&mut self, node: usize, incarnation: Incarnation, order: Order) {
        let now = self.now;
        let id = match &order {
            Order::Start(start) => start.executor,
            Order::Stop { executor, .. } => *executor,
            Order::Look(look, ..) => look.executor,
        };
        let slot = self.slots.iter().position(|slot| slot.executor.id == id);
        let Some(slot) = slot.filter(|slot| self.slots[*slot].fake.up) else {
            return self.reply(node, incarnation, gone(&order), WAY_US);
        };
        if self.slots[slot].fake.unresponsive_until > now {
            return self.reply(node, incarnation, silent(&order), ORDER_US);
        }
        let is_there = matches!(&order, Order::Look(.., Progress::There));
        let one_in = self.plan.lost_orders.filter(|_| !is_there);
        let lost = one_in.is_some_and(|one_in| self.random.random_ratio(1, one_in));
        if lost {
            self.reply(node, incarnation, silent(&order), ORDER_US);
            // Half of them are carried out seconds later, by nobody who waits.
            if self.random.random_bool(0.5) {
                let late = self.random.random_range(2_000_000..6_000_000);
                self.after(late, Step::Order(node, LATE, order));
            } else if !matches!(order, Order::Look(..)) {
                let event = self.carry_order(slot, &order);
                drop(event);
            }
            return;
        }
        if let Order::Look(look, until, _) = &order
            && *until > now
            && !self.slots[slot].fake.has_unacknowledged(look.acknowledged)
        {
            self.slots[slot].fake.end_due_runs(now);
            if !self.slots[slot].fake.has_unacknowledged(look.acknowledged) {
                let order = Order::Look(*look, *until, Progress::There);
                return self.after(2_000, Step::Order(node, incarnation, order));
            }
        }
        let starts = self.starts;
        let event = self.carry_order(slot, &order);
        if self.starts > starts && incarnation != LATE {
            self.check_cordon(node, slot);
        }
        self.reply(node, incarnation, event, WAY_US);
    }

    pub(super) fn carry_order(&mut self, slot: usize, order: &Order) -> Event {
        let now = self.now;
        match order {
            Order::Start(start) => {
                let (length, needs) = self.load(&start.run);
                let before = self.slots[slot].fake.running.contains_key(&start.run);
                let reply = self.slots[slot].fake.start(now, start, needs, length);
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
            Order::Look(look, ..) => {
                let reply = self.slots[slot].fake.poll(now, look);
                if let Response::Done(lists) = &reply {
                    for ended in &lists.ended {
                        if let Some(run) = &ended.run
                            && ended.result == runs::executor::RunResult::Done
                        {
                            self.done.insert((run.job.to_string(), run.index));
                        }
                    }
                }
                Event::Polled { executor: look.executor, number: look.number, reply }
            }
        }
    }

    pub(super) fn reply(&mut self, node: usize, incarnation: Incarnation, event: Event, us: u64) {
        self.after(us, Step::Feed(node, incarnation, event));
    }

    /// How long a task takes in microseconds, alike on each run, and what it needs.
    fn load(&self, run: &Run) -> (u64, Resources) {
        let Some(work) = self.works.get(&run.job) else { return (0, Resources::default()) };
        let length = work.lengths.get(usize::from(run.index)).copied().unwrap_or_default();
        (length.0, work.needs)
    }

    pub(super) fn check_start(&mut self, slot: usize, run: &Run) {
        self.starts += 1;
        let now = self.now;
        for other in 0..self.slots.len() {
            self.slots[other].fake.end_due_runs(now);
            let fake = &self.slots[other].fake;
            let twin = fake.running.keys().find(|there| {
                there.job == run.job && there.index == run.index && (other != slot || *there != run)
            });
            assert!(
                twin.is_none() || !fake.up,
                "at {now}: {run} starts on {slot} while {twin:?} runs on {other}"
            );
        }
        assert!(!self.refused.contains(run.job.as_str()), "{run} starts after a refusal");
        *self.started.entry(run.job.to_string()).or_default() += 1;
    }
}

fn gone(order: &Order) -> Event {
    match order {
        Order::Start(start) => Event::Started {
            executor: start.executor,
            run: start.run.clone(),
            reply: StartResponse::Gone,
        },
        Order::Stop { executor, run, .. } => {
            Event::Stopped { executor: *executor, run: run.clone(), reply: Response::Gone }
        }
        Order::Look(look, ..) => {
            Event::Polled { executor: look.executor, number: look.number, reply: Response::Gone }
        }
    }
}

fn silent(order: &Order) -> Event {
    match order {
        Order::Start(start) => Event::Started {
            executor: start.executor,
            run: start.run.clone(),
            reply: StartResponse::Unknown,
        },
        Order::Stop { executor, run, .. } => {
            Event::Stopped { executor: *executor, run: run.clone(), reply: Response::Silent }
        }
        Order::Look(look, ..) => {
            Event::Polled { executor: look.executor, number: look.number, reply: Response::Silent }
        }
    }
}
