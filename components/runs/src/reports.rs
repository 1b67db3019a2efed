//! Decides which peers get a report of this entry's room and load, and when.
//!
//! A report costs sender and receiver processor time, so frequent ones go to few peers: those with
//! pending tasks get each change at once, those near this entry somewhat later, the others rarely.

use crate::{Options, message::Report, options::Supply};
use rustc_hash::FxHashSet;
use site::{
    id::Home,
    unit::{Span, Time},
};

/// The peers that a report may go to.
pub(crate) struct Recipients<'a> {
    /// All connected peers, the nearest first.
    pub(crate) by_distance: &'a [Home],
    /// Peers with tasks that are pending for lack of room.
    pub(crate) pending: FxHashSet<Home>,
    /// Keepers of this entry's tasks. They stop those tasks if they get no report for too long.
    pub(crate) keepers: FxHashSet<Home>,
    /// Keepers that forward tasks to this entry, while its room is scarce.
    pub(crate) forwarders: Vec<Home>,
}

/// The latest report to each group of peers.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// To peers with pending tasks.
    pending: LastReport,
    /// To peers near this entry.
    near: LastReport,
    /// To the other peers, at least to those that have tasks of this entry.
    far: LastReport,
    /// To keepers that forward tasks to this entry, beside those that are near peers.
    forwarders: LastReport,
    /// To all peers.
    all: LastReport,
}

#[derive(Debug, Default)]
struct LastReport {
    report: Report,
    at: Time,
}

impl LastReport {
    fn age(&self, now: Time) -> Span {
        now.since(self.at)
    }
}

impl Reports {
    /// Whether a report could be due at all. A cheap check before the report is built.
    pub(crate) fn may_be_due(&self, now: Time, options: &Options) -> bool {
        self.pending.age(now) >= options.report_interval_waiting
    }

    /// Returns the peers that this report is due to, and records it as sent to them.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
        report: &Report,
        supply: Supply,
        recipients: &Recipients<'_>,
        options: &Options,
    ) -> Vec<Home> {
        let Recipients { by_distance, pending, keepers, forwarders } = recipients;
        let is_quiet = self.is_quiet(report);
        let near_peers = if is_quiet { 0 } else { options.near_peers };
        let (near, far) = by_distance.split_at(by_distance.len().min(near_peers));
        let interval = options.near_interval(by_distance.len(), supply);
        let near_is_due = self.near_is_due(now, report, interval, options);
        let urgent = report.has_urgent_change(&self.near.report);
        let mut to: Vec<Home> = Vec::new();
        if near_is_due {
            to.extend(near);
            self.near = LastReport { report: report.clone(), at: now };
        }
        // Not tied to reports to near peers: keepers give up the tasks of a home that does not
        // report.
        if urgent || self.far.age(now) >= options.report_refresh {
            let interval = match is_quiet {
                true => options.report_idle,
                false => options.refresh_all(by_distance.len(), supply),
            };
            let everyone = urgent || self.all.age(now) >= interval;
            to.extend(far.iter().filter(|peer| everyone || keepers.contains(peer)));
            self.far = LastReport { report: report.clone(), at: now };
            if everyone {
                self.all = LastReport { report: report.clone(), at: now };
            }
        }
        // Those that are near peers get reports as often anyway.
        let mut others = forwarders.iter().filter(|peer| !near.contains(peer)).peekable();
        if others.peek().is_some()
            && self.forwarders.age(now) >= options.keeper_interval(by_distance.len())
            && report.room != self.forwarders.report.room
        {
            let others: Vec<_> = others.filter(|peer| !to.contains(peer)).copied().collect();
            to.extend(others);
            self.forwarders = LastReport { report: report.clone(), at: now };
        }
        let reported: FxHashSet<Home> = to.iter().copied().collect();
        let urgent_peers = by_distance.iter().filter(|peer| pending.contains(peer));
        let urgent_peers: Vec<_> = urgent_peers.take(options.near_peers).copied().collect();
        if !urgent_peers.is_empty() && report.room != self.pending.report.room {
            to.extend(urgent_peers.into_iter().filter(|peer| !reported.contains(peer)));
            self.pending.report = report.clone();
        }
        self.pending.at = now;
        to
    }

    /// Whether no peer needs a report: this entry keeps no executor, no task is pending here, and
    /// all peers have got a report of that.
    fn is_quiet(&self, report: &Report) -> bool {
        let is_idle = |report: &Report| report.idle && report.load.pending == 0;
        is_idle(report) && is_idle(&self.near.report) && is_idle(&self.all.report)
    }

    fn near_is_due(&self, now: Time, report: &Report, interval: Span, options: &Options) -> bool {
        let last = &self.near.report;
        let age = self.near.age(now);
        if report.has_urgent_change(last) || report.gains_pending_work(last) {
            return true;
        }
        age >= interval && report.room != last.room || age >= options.report_refresh
    }
}
