//! Which executors this entry keeps.

use super::{Keeper, Lease, Phase, log_keep, overcommits};
use crate::{Action, Executor, action::KeepChange, view::View};
use site::{id::EndpointId, unit::Time};

impl Keeper {
    /// Begins to keep the executors that the view assigns to this entry, and drops those that are
    /// gone.
    pub(crate) fn reconcile(&mut self, now: Time, view: &View, out: &mut Vec<Action>) {
        let is_new = |executor: &&Executor| {
            !self.leases.contains_key(&executor.id) && self.is_wanted(view, executor)
        };
        let new: Vec<_> = self.known.values().filter(is_new).cloned().collect();
        let takes_over = self.options.standby && !new.is_empty();
        let former = takes_over.then(|| view.former_keepers());
        for executor in new {
            let phase = Phase::Settling { since: now };
            self.health.insert(executor.id);
            let mut lease = Lease::new(executor, phase);
            lease.former = former.as_ref().and_then(|former| former.of(&lease.executor));
            if let Some(services) = &self.services {
                lease.overcommits = overcommits(services, lease.executor.service);
            }
            self.leases.insert(lease.executor.id, lease);
        }
        let is_over = |lease: &Lease| {
            let unused = !matches!(lease.phase, Phase::Ready | Phase::Polling);
            let unwanted = unused && !self.is_wanted(view, &lease.executor);
            let gone = !self.known.contains_key(&lease.executor.id) && lease.runs.is_empty();
            unwanted || gone
        };
        let over: Vec<_> =
            self.leases.values().filter(|lease| is_over(lease)).map(|l| l.executor.id).collect();
        for id in over {
            self.forget(id, KeepChange::Gone, out);
        }
        self.has_several_services = self.serves_several();
    }

    fn serves_several(&self) -> bool {
        let mut services = self.leases.values().map(|lease| lease.executor.service);
        services.next().is_some_and(|first| services.any(|service| service != first))
    }

    pub(super) fn forget(&mut self, id: EndpointId, change: KeepChange, out: &mut Vec<Action>) {
        if let Some(lease) = self.leases.remove(&id) {
            if !matches!(lease.phase, Phase::Settling { .. }) {
                log_keep(&lease, change, None, out);
            }
            self.health.remove(id);
        }
    }

    fn is_wanted(&self, view: &View, executor: &Executor) -> bool {
        self.is_configured(executor.service) && view.keeps(executor)
    }
}
