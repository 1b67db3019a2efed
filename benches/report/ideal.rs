//! Response times of the ideal scheduler: one queue over all slots, without latency.

use crate::{
    case::Case,
    workload::{
        load::{Job, MEAN_RUN_TIME, capacity},
        model::Model,
    },
};
use fairness::{JobKey, Key, Queue};
use site::{
    id::CrewId,
    unit::{Span, Time, Weight},
};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Returns the response times with one queue over all slots and no latency.
pub(crate) fn one_queue(case: &Case, jobs: &[Job]) -> Vec<Span> {
    let mut free: BinaryHeap<_> =
        (0..capacity(case.model.place)).map(|_| Reverse(Time(0))).collect();
    jobs.iter()
        .map(|job| {
            let mut end = job.at;
            for task in &job.tasks {
                let Reverse(slot) = free.pop().expect("a slot");
                let done = slot.max(job.at) + task.run_time;
                free.push(Reverse(done));
                end = end.max(done);
            }
            end.since(job.at)
        })
        .collect()
}

/// Returns the response times with one fair queue over all slots and no latency. The queue does not
/// know a task's run time before the task ends.
pub(crate) fn one_fair_queue(case: &Case, jobs: &[Job]) -> Vec<Span> {
    let mut queue = Queue::new();
    for (i, weight) in case.model.weights.iter().enumerate() {
        queue.set_firm_weight(Model::firm(i), Weight(*weight));
    }
    let mut free = capacity(case.model.place);
    let mut running: BinaryHeap<Reverse<(Time, usize, Span)>> = BinaryHeap::new();
    let mut ends = vec![Time(0); jobs.len()];
    let mut arrivals = jobs.iter().enumerate().peekable();
    loop {
        let next = arrivals.peek().map_or(Time::NEVER, |(_, job)| job.at);
        let now = match running.peek() {
            Some(Reverse((end, ..))) if *end <= next => *end,
            _ => next,
        };
        if now == Time::NEVER {
            return jobs.iter().zip(ends).map(|(job, end)| end.since(job.at)).collect();
        }
        if now < next {
            let Reverse((_, number, run_time)) = running.pop().expect("it was first");
            free += 1;
            ends[number] = now;
            let firm = Model::firm(jobs[number].firm);
            queue.finish(firm, CrewId::default(), MEAN_RUN_TIME, run_time);
        } else if let Some((number, job)) = arrivals.next() {
            let job_key = JobKey(number as u64);
            let key = Key { firm: Model::firm(job.firm), crew: CrewId::default(), job: job_key };
            job.tasks.iter().for_each(|t| queue.push(key, MEAN_RUN_TIME, (number, t.run_time)));
        }
        while free > 0
            && let Some((_, (number, run_time))) = queue.pop()
        {
            free -= 1;
            running.push(Reverse((now + run_time, number, run_time)));
        }
    }
}
