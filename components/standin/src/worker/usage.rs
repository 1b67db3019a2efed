//! Measures the resource usage of running tasks at intervals.

use crate::worker::State;
use serde_json::{Value, json};
use site::unit::Resources;
use smol::Timer;
use std::{sync::Weak, time::Instant};

/// A measurement of all running tasks.
#[derive(Debug)]
pub(super) struct Sample {
    taken: Instant,
    /// Resource usage by attempt id.
    tasks: Vec<(String, Resources)>,
}

impl Default for Sample {
    fn default() -> Self {
        Sample { taken: Instant::now(), tasks: Vec::new() }
    }
}

impl Sample {
    pub(super) fn to_json(&self) -> Value {
        let tasks =
            self.tasks.iter().map(|(attempt, used)| json!({"attempt": attempt, "used": used}));
        let age = self.taken.elapsed().as_millis();
        json!({"age": format!("{age}ms"), "tasks": tasks.collect::<Vec<_>>()})
    }
}

/// Measures at intervals until the worker is dropped.
pub(super) async fn sample(worker: Weak<State>) {
    while let Some(state) = worker.upgrade() {
        let tasks = measure(&state);
        *state.sample.lock() = Sample { taken: Instant::now(), tasks };
        let interval = state.options.usage_interval;
        drop(state);
        Timer::after(interval).await;
    }
}

fn measure(state: &State) -> Vec<(String, Resources)> {
    let tasks = state.tasks.lock();
    tasks.running().map(|(attempt, running)| (attempt.clone(), running.uses)).collect()
}
