//! What an entry does when time has passed.

use super::{EPOCH, EPOCHS, Entry, submit::may_have_run};
use crate::Action;
use site::{
    submission::{Answer, Reason},
    unit::{Span, Time},
};
use std::sync::{Arc, atomic::Ordering};

/// A tick is due at least this often.
const MAX_IDLE: Span = Span::from_secs(1);

impl Entry {
    /// Does everything that is due, and sets the next time.
    pub(super) fn tick(&self, now: Time, out: &mut Vec<Action>) {
        self.timer.store((now + MAX_IDLE).0, Ordering::Relaxed);
        self.advance_epoch(now);
        self.end_due(now, out);
        self.expire_routes(now, out);
        let changed = self.members.lock().tick(now);
        self.after_change(now, changed, out);
        self.beat(now, out);
        for pool in self.all_pools() {
            let mut pool = pool.lock();
            pool.tick(now, out);
            self.arm(pool.next_timer());
        }
        self.forget_old(now);
        self.drain_on(now, out);
        self.arm_all();
    }

    /// Ends the submissions whose deadline has passed.
    fn end_due(&self, now: Time, out: &mut Vec<Action>) {
        for shard in &self.shards {
            let (due, waiters) = {
                let mut shard = shard.lock();
                (shard.take_overdue(now), shard.take_overdue_waiters(now))
            };
            for job in due {
                self.end(now, &job, Reason::Deadline, out);
            }
            for (id, waiter) in waiters {
                let failure = may_have_run(Reason::Deadline, None);
                self.answer(now, waiter, id, Arc::new(Answer::Failed(failure)), out);
            }
        }
    }

    /// Counts epochs by this process's clock and forgets those that are no longer accepted.
    fn advance_epoch(&self, now: Time) {
        let epoch = (now.0 / EPOCH.0) as u32;
        let before = self.epoch.fetch_max(epoch, Ordering::Relaxed);
        if before >= epoch {
            return;
        }
        let first = self.first_epoch();
        for shard in &self.shards {
            shard.lock().forget_epochs(self.home, first);
        }
    }

    /// The first epoch that is still accepted.
    pub(super) fn first_epoch(&self) -> u32 {
        (self.epoch.load(Ordering::Relaxed) + 1).saturating_sub(EPOCHS)
    }

    fn arm_all(&self) {
        for shard in &self.shards {
            self.arm(shard.lock().next_deadline());
        }
        self.arm(self.routes.lock().next_deadline());
        self.arm_members();
    }
}
