//! Lower bound that the response time of a run is compared with.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Returns the time until the last of `tasks` ends if a single queue feeds `slots` in order and
/// without latency.
pub fn makespan(tasks: &[Duration], slots: usize) -> Duration {
    let mut free: BinaryHeap<_> = (0..slots.max(1)).map(|_| Reverse(Duration::ZERO)).collect();
    let mut last = Duration::ZERO;
    for task in tasks {
        let Reverse(start) = free.pop().unwrap_or_default();
        let end = start + *task;
        last = last.max(end);
        free.push(Reverse(end));
    }
    last
}
