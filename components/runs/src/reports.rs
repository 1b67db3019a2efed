//! Which peers are told of this entry's room and load, and when.
//!
//! Each report costs both ends time, so that most go to few: peers whose jobs wait hear of each
//! change at once, those near the entry somewhat later, the others rarely.

use crate::{Options, message::Report, options::Supply};
use rustc_hash::FxHashSet;
use site::{
    id::Home,
    unit::{Span, Time},
};

/// The peers that may be told.
pub(crate) struct Audience<'a> {
    /// All that are connected, the nearest first.
    pub(crate) by_distance: &'a [Home],
    /// Those whose jobs wait for room.
    pub(crate) waiting: FxHashSet<Home>,
    /// Those that have tasks of this entry, which they give up when they hear nothing.
    pub(crate) keepers: FxHashSet<Home>,
}

/// What peers were last told.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Those whose jobs wait.
    waiting: Told,
    /// Those near this entry.
    near: Told,
    /// Of the others at least those that have tasks of this entry.
    far: Told,
    /// When all were told, and what.
    all: Told,
}

#[derive(Debug, Default)]
struct Told {
    report: Report,
    at: Time,
}

impl Told {
    fn age(&self, now: Time) -> Span {
        now.since(self.at)
    }
}

impl Reports {
    /// Whether anybody could be told, whatever there is to tell.
    pub(crate) fn may_be_due(&self, now: Time, options: &Options) -> bool {
        self.waiting.age(now) >= options.report_interval_waiting
    }

    /// Whom to tell of what is now; they count as told.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
        report: &Report,
        supply: Supply,
        audience: &Audience<'_>,
        options: &Options,
    ) -> Vec<Home> {
        let Audience { by_distance, waiting, keepers } = audience;
        let is_quiet = self.is_quiet(report);
        let near_peers = if is_quiet { 0 } else { options.near_peers };
        let (near, far) = by_distance.split_at(by_distance.len().min(near_peers));
        let interval = options.near_interval(by_distance.len(), supply);
        let near_is_due = self.near_is_due(now, report, interval, options);
        let urgent = report.is_news(&self.near.report);
        let mut to = Vec::new();
        if near_is_due {
            to.extend(near);
            self.near = Told { report: report.clone(), at: now };
        }
        // Not only along with near peers: keepers of tasks give up a home that they do not hear of.
        if urgent || self.far.age(now) >= options.report_refresh {
            let interval = match is_quiet {
                true => options.report_idle,
                false => options.refresh_all(by_distance.len(), supply),
            };
            let everyone = urgent || self.all.age(now) >= interval;
            to.extend(far.iter().filter(|peer| everyone || keepers.contains(peer)));
            self.far = Told { report: report.clone(), at: now };
            if everyone {
                self.all = Told { report: report.clone(), at: now };
            }
        }
        let told: FxHashSet<Home> = to.iter().copied().collect();
        let quick = by_distance.iter().filter(|peer| waiting.contains(peer));
        let quick: Vec<_> = quick.take(options.near_peers).copied().collect();
        if !quick.is_empty() && report.room != self.waiting.report.room {
            to.extend(quick.into_iter().filter(|peer| !told.contains(peer)));
            self.waiting.report = report.clone();
        }
        self.waiting.at = now;
        to
    }

    /// Whether nobody gains by hearing from this entry: it has no executors, nothing waits for any, and
    /// all have heard so.
    fn is_quiet(&self, report: &Report) -> bool {
        let rests = |report: &Report| report.idle && report.load.waiting == 0;
        rests(report) && rests(&self.near.report) && rests(&self.all.report)
    }

    fn near_is_due(&self, now: Time, report: &Report, interval: Span, options: &Options) -> bool {
        let last = &self.near.report;
        let age = self.near.age(now);
        if report.is_news(last) || report.begins_to_wait(last) {
            return true;
        }
        age >= interval && report.room != last.room || age >= options.report_refresh
    }
}
