//! The log of attempts that stand-ins started, ended, stopped and refused. Tests check guarantees
//! against it.

use event_listener::Event;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// An event in the life cycle of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The attempt started.
    Start,
    /// The attempt completed or failed by itself.
    End,
    /// The attempt was stopped on request, or because its connection was closed.
    Stop,
    /// The attempt was stopped because its lease expired.
    Lapse,
    /// The attempt was refused and did not start.
    Refusal,
    /// The attempt or its task was received before and was not started again.
    Repeat,
}

/// One step of one attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time since the ledger was created, in microseconds.
    pub at: u64,
    /// Name of the endpoint.
    pub endpoint: String,
    /// The task id from the request; empty if it has none.
    pub task: String,
    /// The attempt id from the request; empty if it has none.
    pub attempt: String,
    /// The event.
    pub step: Step,
}

/// A log of steps of attempts. Clones share the log, so that several stand-ins can write to it.
#[derive(Clone, Debug)]
pub struct Ledger(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    created: Instant,
    /// Ordered by time.
    records: Mutex<Vec<Record>>,
    changed: Event,
}

impl Default for Ledger {
    fn default() -> Self {
        let changed = Event::new();
        Ledger(Arc::new(Shared { created: Instant::now(), records: Mutex::default(), changed }))
    }
}

impl Ledger {
    /// Appends a step with the present time.
    pub fn add(&self, endpoint: &str, task: &str, attempt: &str, step: Step) {
        let mut records = self.0.records.lock();
        records.push(Record {
            at: self.0.created.elapsed().as_micros() as u64,
            endpoint: endpoint.to_owned(),
            task: task.to_owned(),
            attempt: attempt.to_owned(),
            step,
        });
        drop(records);
        self.0.changed.notify(usize::MAX);
    }

    /// Returns all records so far.
    pub fn records(&self) -> Vec<Record> {
        self.0.records.lock().clone()
    }

    /// Returns the number of records of a step.
    pub fn count(&self, step: Step) -> usize {
        self.0.records.lock().iter().filter(|record| record.step == step).count()
    }

    /// Returns the number of starts of each task.
    pub fn starts(&self) -> BTreeMap<String, usize> {
        let records = self.0.records.lock();
        let starts = records.iter().filter(|record| record.step == Step::Start);
        starts.fold(BTreeMap::new(), |mut counts, record| {
            *counts.entry(record.task.clone()).or_default() += 1;
            counts
        })
    }

    /// Returns the tasks that started more than once.
    pub fn repeated(&self) -> Vec<String> {
        let starts = self.starts().into_iter();
        starts.filter(|(_, count)| *count > 1).map(|(task, _)| task).collect()
    }

    /// Returns the largest number of attempts that an endpoint ran at the same time.
    pub fn peak(&self, endpoint: &str) -> usize {
        let records = self.0.records.lock();
        let steps = records.iter().filter(|record| record.endpoint == endpoint);
        let mut running = 0_usize;
        steps.fold(0, |peak, record| {
            match record.step {
                Step::Start => running += 1,
                Step::End | Step::Stop | Step::Lapse => running -= 1,
                Step::Refusal | Step::Repeat => {}
            }
            peak.max(running)
        })
    }

    /// Waits until `count` records of a step exist. Returns false if `limit` passes first.
    pub async fn wait(&self, step: Step, count: usize, limit: Duration) -> bool {
        let reached = async {
            loop {
                let changed = self.0.changed.listen();
                if self.count(step) >= count {
                    return true;
                }
                changed.await;
            }
        };
        let timeout = async {
            smol::Timer::after(limit).await;
            false
        };
        smol::future::or(reached, timeout).await
    }
}
