//! The timers of the process that are waited for.

use crate::TICK;
use parking_lot::Mutex;
use smol::Timer;
use std::{collections::BTreeMap, task::Waker, time::Instant};

/// A timer's place: when it is due, and a number that no other timer has.
pub(crate) type Key = (Instant, u64);

/// All timers of the process that are waited for.
pub(crate) static TABLE: Table =
    Table(Mutex::new(State { timers: BTreeMap::new(), next: 0, is_driven: false }));

/// Timers that are waited for.
pub(crate) struct Table(Mutex<State>);

struct State {
    timers: BTreeMap<Key, Waker>,
    next: u64,
    /// A task looks for due timers. It ends when there are none.
    is_driven: bool,
}

impl Table {
    pub(crate) fn insert(&'static self, at: Instant, waker: &Waker) -> Key {
        let mut state = self.0.lock();
        let key = (at, state.next);
        state.next += 1;
        state.timers.insert(key, waker.clone());
        if !state.is_driven {
            state.is_driven = true;
            smol::spawn(self.drive()).detach();
        }
        key
    }

    /// Whom to wake; returns whether the timer still waits.
    pub(crate) fn wake_with(&self, key: Key, waker: &Waker) -> bool {
        let mut state = self.0.lock();
        let Some(kept) = state.timers.get_mut(&key) else { return false };
        kept.clone_from(waker);
        true
    }

    /// Moves a timer; `None` if it was due already.
    pub(crate) fn shift(&self, (old, number): Key, at: Instant) -> Option<Key> {
        let mut state = self.0.lock();
        let waker = state.timers.remove(&(old, number))?;
        state.timers.insert((at, number), waker);
        Some((at, number))
    }

    pub(crate) fn remove(&self, key: Key) {
        self.0.lock().timers.remove(&key);
    }

    async fn drive(&self) {
        loop {
            Timer::after(TICK).await;
            let Some(due) = self.take_due(Instant::now()) else { return };
            due.into_iter().for_each(Waker::wake);
        }
    }

    /// The timers that are due; `None` once there are none at all.
    fn take_due(&self, now: Instant) -> Option<Vec<Waker>> {
        let mut state = self.0.lock();
        if state.timers.is_empty() {
            state.is_driven = false;
            return None;
        }
        let later = state.timers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut state.timers, later);
        Some(due.into_values().collect())
    }
}
