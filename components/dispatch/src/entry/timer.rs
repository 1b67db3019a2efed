//! Handles the timers of an entry.

use super::{EPOCH, EPOCHS, Entry, submit::may_have_run};
use crate::Action;
use site::{
    submission::{Answer, Reason},
    unit::{Span, Time},
};
use std::sync::{Arc, atomic::Ordering};

/// Maximum interval between ticks.
const MAX_TICK_INTERVAL: Span = Span::from_secs(1);

impl Entry {
    /// Handles all timers that are due, and schedules the next tick.
    pub(super) fn tick(&self, now: Time, out: &mut Vec<Action>) {
        self.next_tick.store((now + MAX_TICK_INTERVAL).0, Ordering::Relaxed);
        self.advance_epoch(now);
        self.expire_submissions(now, out);
        self.expire_forwarded(now, out);
        let changed = self.members.lock().tick(now);
        self.apply_changes(now, changed, out);
        self.send_heartbeats(now, out);
        for pool in self.all_pools() {
            let mut pool = pool.lock();
            pool.tick(now, out);
            self.schedule_tick(pool.next_timer());
        }
        self.forget_old_tables(now);
        self.continue_drain(now, out);
        self.schedule_next_tick();
    }

    /// Ends the submissions whose deadline has passed.
    fn expire_submissions(&self, now: Time, out: &mut Vec<Action>) {
        for shard in &self.shards {
            let (due, waiters) = {
                let mut shard = shard.lock();
                (shard.due(now), shard.due_waiters(now))
            };
            for job in due {
                self.end_job(now, &job, Reason::Deadline, out);
            }
            for (id, waiter) in waiters {
                let failure = may_have_run(Reason::Deadline, None);
                self.answer(now, waiter, id, Arc::new(Answer::Failed(failure)), out);
            }
        }
    }

    /// Advances the epoch by this process's clock and drops submissions of epochs that are no
    /// longer accepted.
    fn advance_epoch(&self, now: Time) {
        let epoch = (now.0 / EPOCH.0) as u32;
        let before = self.epoch.fetch_max(epoch, Ordering::Relaxed);
        if before >= epoch {
            return;
        }
        let first = self.first_epoch();
        for shard in &self.shards {
            shard.lock().forget(self.home, first);
        }
    }

    /// Returns the first epoch that is still accepted.
    pub(super) fn first_epoch(&self) -> u32 {
        (self.epoch.load(Ordering::Relaxed) + 1).saturating_sub(EPOCHS)
    }

    fn schedule_next_tick(&self) {
        for shard in &self.shards {
            self.schedule_tick(shard.lock().next_deadline());
        }
        self.schedule_tick(self.forwarded.lock().next_deadline());
        self.schedule_member_tick();
    }
}
