//! Keeps the pools of an entry and passes events on to them.

use super::Entry;
use crate::{
    Action, Message,
    event::Report,
    index::Index,
    pool::{Effect, Pool, pool_number},
};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use site::{
    Site,
    id::{AttemptId, Home, ServiceId},
    unit::{Resources, Revision, Time},
};
use std::sync::Arc;

/// All pools. A pool is never removed, so that reports of its attempts still find it.
#[derive(Default)]
pub(super) struct Pools {
    list: Vec<Arc<Mutex<Pool>>>,
    by_key: FxHashMap<ServiceId, Arc<Mutex<Pool>>>,
}

impl Pools {
    /// Returns all pools.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Arc<Mutex<Pool>>> {
        self.list.iter()
    }

    fn add(&mut self, key: ServiceId, home: Home, index: &Arc<Index>, seed: u64) {
        let number = self.list.len() as u16;
        let pool = Pool::new(key, number, home, index.clone(), seed);
        let pool = Arc::new(Mutex::new(pool));
        self.list.push(pool.clone());
        self.by_key.insert(key, pool);
    }
}

impl Entry {
    /// Returns the pool that runs a service.
    pub(super) fn pool_of(&self, service: ServiceId) -> Option<Arc<Mutex<Pool>>> {
        let key = self.index.read().pool(service)?;
        self.pools.read().by_key.get(&key).cloned()
    }

    /// Returns all pools.
    pub(super) fn all_pools(&self) -> Vec<Arc<Mutex<Pool>>> {
        self.pools.read().iter().cloned().collect()
    }

    /// Applies accepted settings, unless they are older than those in force.
    pub(super) fn configure(
        &self,
        now: Time,
        revision: Revision,
        site: Arc<Site>,
        out: &mut Vec<Action>,
    ) {
        let reconfiguring = self.reconfiguring.lock();
        let index =
            Arc::new(Index::new(site, revision, self.home.data_centre, self.slots_per_lead));
        {
            let mut current = self.index.write();
            if revision < current.revision {
                return;
            }
            *current = index.clone();
        }
        {
            let mut pools = self.pools.write();
            for key in index.pools.keys() {
                if !pools.by_key.contains_key(key) {
                    pools.add(*key, self.home, &index, self.seed);
                }
            }
        }
        for pool in self.all_pools() {
            pool.lock().configure(index.clone());
        }
        drop(reconfiguring);
        self.update_members(now, out);
    }

    /// Handles the report of an ended attempt.
    pub(super) fn report(&self, now: Time, report: Report, out: &mut Vec<Action>) {
        let number = usize::from(pool_number(report.attempt));
        let Some(pool) = self.pools.read().list.get(number).cloned() else {
            return;
        };
        let effect = {
            let mut pool = pool.lock();
            let effect = pool.report(now, report, out);
            self.schedule_tick(pool.next_timer());
            effect
        };
        match effect {
            Effect::Output(job, index, output) => {
                let id = job.submission.id;
                let finish = self.shard(id).lock().store(id, index, output);
                self.deliver(now, id, finish, out);
            }
            Effect::Failed(job, failure) => self.fail(now, &job, failure, out),
            Effect::None => {}
        }
    }

    /// Records the resources that a worker measured for a running attempt.
    pub(super) fn measure(&self, attempt: AttemptId, measured: Resources) {
        let number = usize::from(pool_number(attempt));
        let pool = self.pools.read().list.get(number).cloned();
        if let Some(pool) = pool {
            pool.lock().measure(attempt, measured);
        }
    }

    /// Handles a message about capacity that entries lend each other.
    pub(super) fn handle_capacity_message(
        &self,
        now: Time,
        from: Home,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let key = match &message {
            Message::CapacityRequest(request) => request.service,
            Message::Lend(lend) => lend.service,
            Message::Return(back) | Message::InUse(back) => back.service,
            Message::Usage(usage) => usage.service,
            _ => return,
        };
        let Some(pool) = self.pools.read().by_key.get(&key).cloned() else {
            return;
        };
        let mut pool = pool.lock();
        match message {
            Message::CapacityRequest(request) => pool.receive_request(now, from, request, out),
            Message::Lend(lend) => pool.borrow(now, from, lend, out),
            Message::Return(back) => pool.reclaim(now, from, &back.grants, out),
            Message::InUse(back) => pool.record_lent(now, from, &back.grants, out),
            Message::Usage(usage) => pool.receive_usage(now, from, &usage, out),
            _ => {}
        }
        self.schedule_tick(pool.next_timer());
    }
}
