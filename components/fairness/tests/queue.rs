//! Order within a job, retries, cancellation and estimates of queued work.

use fairness::{JobKey, Key, Queue};
use site::{
    id::{CrewId, FirmId},
    unit::{Slots, Span, Weight},
};
use std::{cell::Cell, rc::Rc};

const MS: fn(u64) -> Span = Span::from_millis;

fn key(firm: u64, job: u64) -> Key {
    Key { firm: FirmId(firm), crew: CrewId(0), job: JobKey(job) }
}

#[test]
fn tasks_of_a_job_are_served_in_order() {
    let mut queue = Queue::new();
    (0..5).for_each(|task| queue.push(key(0, 0), MS(10), task));
    assert_eq!(queue.peek(), Some((key(0, 0), &0)));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|(_, task)| task).collect();
    assert_eq!(order, [0, 1, 2, 3, 4]);
}

#[test]
fn a_retry_is_served_first_and_is_not_charged_again() {
    let mut queue = Queue::new();
    for task in 0..2 {
        queue.push(key(0, 0), MS(10), task);
        queue.push(key(1, 1), MS(11), task + 10);
    }
    let (first, task) = queue.pop().expect("four tasks are queued");
    queue.finish(first.firm, first.crew, MS(10), MS(10));
    queue.push_front(first, MS(10), task);
    assert_eq!(queue.firm_running(first.firm), 0);
    assert_eq!(queue.pop(), Some((key(1, 1), 10)));
    assert_eq!(queue.pop(), Some((first, task)));
    assert_eq!(queue.firm_running(first.firm), 1);
    // Its firm was charged once for two attempts, so it has 1 ms less service than the other one.
    let rest: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|(_, task)| task).collect();
    assert_eq!(rest, [1, 11]);
}

#[test]
fn cancelling_a_job_drops_its_tasks_a_few_at_a_time() {
    struct Counted(Rc<Cell<usize>>);
    impl Drop for Counted {
        fn drop(&mut self) {
            self.0.set(self.0.get() + 1);
        }
    }
    let dropped = Rc::new(Cell::new(0));
    let mut queue = Queue::new();
    (0..780).for_each(|_| queue.push(key(0, 0), MS(10), Counted(dropped.clone())));
    queue.push(key(0, 1), MS(10), Counted(Rc::default()));
    assert_eq!(queue.cancel_job(JobKey(0)), 780);
    assert_eq!((queue.len(), queue.firm_len(FirmId(0))), (1, 1));
    assert_eq!(dropped.get(), 0, "a cancellation does not touch the tasks");
    assert_eq!(queue.cancel_job(JobKey(0)), 0);
    assert_eq!(queue.pop().map(|(key, _)| key), Some(key(0, 1)));
    assert!((1..=8).contains(&dropped.get()));
    (0..400).for_each(|_| assert!(queue.pop().is_none()));
    assert_eq!(dropped.get(), 780);
}

#[test]
fn a_firm_at_its_quota_waits_and_the_others_do_not() {
    let mut queue = Queue::new();
    queue.set_quota(FirmId(0), Some(Slots(2)));
    (0..3).for_each(|task| queue.push(key(0, 0), MS(10), task));
    queue.push(key(1, 1), MS(10), 10);
    assert_eq!(std::iter::from_fn(|| queue.pop()).count(), 3);
    assert_eq!(queue.firm_len(FirmId(0)), 1);
    queue.set_remote_running(FirmId(0), Slots(1));
    queue.finish(FirmId(0), CrewId(0), MS(10), MS(10));
    assert!(queue.pop().is_none(), "two run, one of them at another entry");
    queue.set_remote_running(FirmId(0), Slots(0));
    assert_eq!(queue.pop(), Some((key(0, 0), 2)));
}

#[test]
fn the_estimated_work_ahead_is_the_work_that_is_served_first() {
    let mut queue = Queue::new();
    queue.set_firm_weight(FirmId(1), Weight(3));
    assert_eq!(queue.work_ahead(FirmId(0)), Span::ZERO);
    (0..10).for_each(|task| queue.push(key(0, 0), MS(10), task));
    (0..1_000).for_each(|task| queue.push(key(1, 1), MS(10), task + 100));
    // Its own ten tasks and three times as many of the other firm.
    assert_eq!(queue.work_ahead(FirmId(0)), MS(400));
    // A firm without queued tasks waits for no other firm.
    queue.set_firm_weight(FirmId(2), Weight(1));
    assert_eq!(queue.work_ahead(FirmId(2)), Span::ZERO);
    // A firm that its quota holds back does not delay the others.
    queue.set_quota(FirmId(1), Some(Slots(0)));
    assert_eq!(queue.work_ahead(FirmId(0)), MS(100));
}

#[test]
fn tasks_declared_to_cost_nothing_do_not_starve_others() {
    let mut queue = Queue::new();
    (0..1_000).for_each(|task| queue.push(key(0, 0), Span::ZERO, task));
    queue.push(key(1, 1), MS(10), 5_000);
    queue.push(key(1, 1), MS(10), 5_001);
    let served = std::iter::from_fn(|| queue.pop()).position(|(_, task)| task == 5_001);
    assert!(served.is_some_and(|position| position < 20), "{served:?}");
}

#[test]
fn tasks_of_the_maximum_cost_are_served() {
    let mut queue = Queue::new();
    queue.push(key(0, 0), Span(u64::MAX), 0);
    queue.push(key(0, 0), Span(u64::MAX), 1);
    queue.push(key(1, 1), MS(10), 2);
    let served: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|(_, task)| task).collect();
    assert_eq!(served.len(), 3);
}
