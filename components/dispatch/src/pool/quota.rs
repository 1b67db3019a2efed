//! Applies the quotas of firms across all entries.
//!
//! Entries that place tasks report to each other how many tasks of a firm with a quota they run,
//! whenever the number has changed by a tenth of the quota. Between two reports the quota may be
//! exceeded by a tenth for each entry, plus the tasks that entries start at the same moment.

use super::Pool;
use crate::{Action, Message, message::Usage};
use rustc_hash::FxHashMap;
use site::{
    id::{FirmId, Home},
    unit::{Slots, Time},
};

/// Number of steps that a quota is divided into; a change of at least one step is reported.
const USAGE_STEPS_PER_QUOTA: u32 = 10;

/// Running tasks of one firm with a quota.
#[derive(Debug, Default)]
pub(super) struct FirmUsage {
    /// Number running here, as last reported to the other entries.
    reported: u32,
    /// Number running at each other entry, as last received.
    running_at_peers: FxHashMap<Home, u32>,
}

impl Pool {
    /// Reports the number of a firm's tasks that run here, if it has changed by a step or dropped
    /// to zero.
    pub(super) fn send_usage(&mut self, firm: FirmId, out: &mut Vec<Action>) {
        let Some(quota) = self.quotas.get(&firm).copied() else {
            return;
        };
        let running = self.queue.firm_running(firm) as u32;
        let usage_of_firm = self.quota_usage.entry(firm).or_default();
        let step = (quota.0 / USAGE_STEPS_PER_QUOTA).max(1);
        let ended = running == 0 && usage_of_firm.reported > 0;
        if !ended && running.abs_diff(usage_of_firm.reported) < step {
            return;
        }
        usage_of_firm.reported = running;
        let usage = Usage { service: self.key, firm, running: Slots(running) };
        for to in self.share.lenders.iter().chain(&self.share.distant) {
            out.push(Action::Send { to: *to, message: Message::Usage(usage) });
        }
    }

    /// Sends a peer the last reported usage of every firm with a quota.
    pub(super) fn send_all_usage(&self, peer: Home, out: &mut Vec<Action>) {
        for (firm, usage_of_firm) in &self.quota_usage {
            let running = Slots(usage_of_firm.reported);
            let usage = Usage { service: self.key, firm: *firm, running };
            out.push(Action::Send { to: peer, message: Message::Usage(usage) });
        }
    }

    /// Handles another entry's report of a firm's running tasks.
    pub(crate) fn receive_usage(
        &mut self,
        now: Time,
        from: Home,
        usage: &Usage,
        out: &mut Vec<Action>,
    ) {
        if !self.quotas.contains_key(&usage.firm) {
            return;
        }
        let usage_of_firm = self.quota_usage.entry(usage.firm).or_default();
        usage_of_firm.running_at_peers.insert(from, usage.running.0);
        self.update_remote_running(usage.firm);
        self.schedule(now, out);
    }

    /// Drops the reports of entries that are no longer members.
    pub(super) fn drop_absent_usage(&mut self) {
        let neighbours = &self.share.neighbours;
        let distant = &self.share.distant;
        for usage_of_firm in self.quota_usage.values_mut() {
            usage_of_firm
                .running_at_peers
                .retain(|home, _| neighbours.contains(home) || distant.contains(home));
        }
        let firms: Vec<_> = self.quota_usage.keys().copied().collect();
        for firm in firms {
            self.update_remote_running(firm);
        }
    }

    fn update_remote_running(&mut self, firm: FirmId) {
        let running_at_peers = self
            .quota_usage
            .get(&firm)
            .into_iter()
            .flat_map(|usage_of_firm| usage_of_firm.running_at_peers.values());
        let running =
            Slots(running_at_peers.fold(0, |sum: u32, running| sum.saturating_add(*running)));
        self.queue.set_remote_running(firm, running);
    }
}
