//! The table of all timers of the process that a task waits for.

use crate::TICK_INTERVAL;
use parking_lot::Mutex;
use smol::Timer;
use std::{collections::BTreeMap, task::Waker, time::Instant};

/// Key of a timer: its deadline and a unique number.
pub(crate) type Key = (Instant, u64);

/// All timers of the process that a task waits for.
pub(crate) static TABLE: Table =
    Table(Mutex::new(State { timers: BTreeMap::new(), next: 0, is_running: false }));

/// Timers that a task waits for, by key.
pub(crate) struct Table(Mutex<State>);

struct State {
    timers: BTreeMap<Key, Waker>,
    next: u64,
    /// Whether a task checks for expired timers. The task ends when there are no timers.
    is_running: bool,
}

impl Table {
    pub(crate) fn insert(&'static self, at: Instant, waker: &Waker) -> Key {
        let mut state = self.0.lock();
        let key = (at, state.next);
        state.next += 1;
        state.timers.insert(key, waker.clone());
        if !state.is_running {
            state.is_running = true;
            smol::spawn(self.run_ticks()).detach();
        }
        key
    }

    /// Sets the waker of a timer. Returns whether the timer is still in the table.
    pub(crate) fn set_waker(&self, key: Key, waker: &Waker) -> bool {
        let mut state = self.0.lock();
        let Some(current) = state.timers.get_mut(&key) else { return false };
        current.clone_from(waker);
        true
    }

    /// Changes the deadline of a timer; `None` if it has already expired.
    pub(crate) fn reschedule(&self, (old, number): Key, at: Instant) -> Option<Key> {
        let mut state = self.0.lock();
        let waker = state.timers.remove(&(old, number))?;
        state.timers.insert((at, number), waker);
        Some((at, number))
    }

    pub(crate) fn remove(&self, key: Key) {
        self.0.lock().timers.remove(&key);
    }

    async fn run_ticks(&self) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            let Some(due) = self.take_expired(Instant::now()) else { return };
            due.into_iter().for_each(Waker::wake);
        }
    }

    /// Removes and returns the expired timers; `None` if the table is empty.
    fn take_expired(&self, now: Instant) -> Option<Vec<Waker>> {
        let mut state = self.0.lock();
        if state.timers.is_empty() {
            state.is_running = false;
            return None;
        }
        let later = state.timers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut state.timers, later);
        Some(due.into_values().collect())
    }
}
