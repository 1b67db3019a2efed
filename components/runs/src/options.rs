//! Limits of an entry's logic.

use crate::view::View;
use serde::{Deserialize, Serialize};
use site::{
    id::Home,
    unit::{Cores, Span, Time},
};

/// How much of an entry's capacity is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Supply {
    /// So much that peers may act on an old report.
    Ample,
    /// So little that each change matters.
    Scarce,
}

/// Limits of an entry's logic. The defaults suit tasks of 50 ms to a second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// How long a lease lasts, by the executor's clock. With `peer_silence` and a clock that is 2%
    /// slow it has to be below the time after which callers hand a job in again elsewhere,
    /// 1,300 ms: whatever a lost home had running is then over, even if every stop is lost.
    pub lease: Span,
    /// A home that was not heard of for this long is taken for lost. Three reports.
    pub peer_silence: Span,
    /// How long an executor holds back its answer to a look while nothing ends. A third of what a
    /// lease may last at most, so that two looks in a row may fail.
    pub look_wait: Span,
    /// Whether an executor is asked once more for runs that should have ended, while answers go
    /// missing.
    pub look_again: bool,
    /// Pause before an executor that did not answer a look is asked again.
    pub look_retry: Span,
    /// Pause between two looks at an executor on which nothing runs and whose lives share a name: what
    /// is known of its clock has to be of its present life when a task is started there.
    pub look_idle: Span,
    /// Pause before ends are acknowledged when nothing runs.
    pub acknowledge_after: Span,
    /// Least pause before an executor is taken over, so that views that are still changing settle.
    pub settle: Span,
    /// Processor that an entry needs for its callers and its connections. Executors are shared out by
    /// what the entries of their data centre have beyond it, so that small ones are not kept busy by
    /// executors alone; evenly where none has more.
    pub keeper_reserve: Cores,
    /// How long a data centre's entries may stay away after its executors were heard of again before
    /// others take these over. Above the time in which entries register and connect after a cut.
    pub absence_patience: Span,
    /// Whether only entries that keep executors read their registrations. Else all do.
    pub follow_if_keeper: bool,
    /// How long an entry that keeps executors only for want of larger ones waits before it reads their
    /// registrations: those may be starting beside it.
    pub stopgap_patience: Span,
    /// Longest pause for connections to the other entries to come up: whoever keeps the executor
    /// can only hand it over if it is asked.
    pub settle_limit: Span,
    /// Whether only entries that keep executors are asked for what they know of one. After a stop of all
    /// nobody does, and waiting for each other's answers would take longer than all else.
    pub ask_keepers_only: bool,
    /// How long the former keeper may take to hand an executor over before it is looked at
    /// without.
    pub claim_timeout: Span,
    /// Pause before an executor whose fence refused this entry is claimed again.
    pub fenced_pause: Span,
    /// A look that was sent this long after a start and does not list it shows that the start is
    /// late. Above the longest usual way to an executor.
    pub start_grace: Span,
    /// A run that takes this many times its estimate is stopped: tasks may stand still.
    pub overdue_factor: u64,
    /// The same where other tasks have ended well since the run began, so that the estimate is
    /// likelier wrong than the executor.
    pub overdue_factor_working: u64,
    /// Longest time that an executor takes to carry a stop out. Set by the platform.
    pub stop_time: Span,
    /// Added to the limit of a run's time, for short tasks.
    pub overdue_margin: Span,
    /// Tasks that a keeper queues beyond its room. None: what waits there can't go where room is
    /// found next.
    pub queue_ahead: u32,
    /// How long a keeper holds a task without starting it before it hands it back; its home may
    /// know of room elsewhere.
    pub queue_hold: Span,
    /// How long a job waits for its first start before it is refused, as a part of the time until its
    /// answer is late. Earlier refusals leave room for jobs that can still be in time.
    pub patience_percent: u64,
    /// What a task is taken to last when its latest start is reckoned, as a part of its estimate.
    /// Estimates are off by up to 40%, and some executors are slower.
    pub caution_percent: u64,
    /// Whether jobs are spread over the keepers of a data centre that have room to spare. Else all
    /// entries send theirs to the one with the most room, until they hear of it again.
    pub spread: bool,
    /// Whether jobs of which some task has run go before others.
    pub begun_first: bool,
    /// Whether jobs are turned away at once while those that wait already are too many.
    pub admission: bool,
    /// Whether a job that all known room suffices for is taken in whatever waits. What waits can't use
    /// such room: its tasks are larger.
    pub fill: bool,
    /// Least time between two reports of a keeper's room to the peers near it.
    pub report_interval: Span,
    /// The same for each peer that there is, where that is longer: in a large site a job finds room
    /// without knowing of each change, and a report costs both ends the same as in a small one.
    pub report_interval_share: Span,
    /// Least time between two reports to a peer whose jobs wait: room that it does not know of stays
    /// empty.
    pub report_interval_waiting: Span,
    /// Peers that have tasks of the entry get a report, and those near it a repeated one, after this
    /// time.
    pub report_refresh: Span,
    /// All other peers get a report after this time for each peer there is, so that their number
    /// does not add to the reports that an entry sends. At 35 entries every other time.
    pub report_share: Span,
    /// The same while room is ample: once in 0.7 s among 46 peers.
    pub report_share_ample: Span,
    /// Entries that keep nothing and at which nothing waits report to all after this time, apart from
    /// news and from those that have tasks of theirs. A third of what a report counts for.
    pub report_idle: Span,
    /// Room is ample while this part of the capacity of an entry's executors is free: changes are
    /// then told to near peers after `report_refresh` only. Above 100 it never is.
    pub ample_percent: u64,
    /// Peers that hear of each change of a keeper's room. Reports of each change to all of a large
    /// site would take much of an entry's processor.
    pub near_peers: usize,
    /// A process that did not run for this long has lost its leases and maybe its callers.
    pub pause_limit: Span,
    /// How long a home waits after it lost a keeper before it starts that one's tasks again: the
    /// keeper may miss the end of the connection, takes the home for lost by its silence then, and
    /// the lease lapses after that.
    pub lapse_wait: Span,
    /// How long a home waits after its keeper of a task was fenced. The new keeper may neither know
    /// the run nor stop it, so that it ends with its lease; some time for the way of the last
    /// renewal is added.
    pub unsure_wait: Span,
    /// A task that was this long on its way to its keeper is not started: its home may have given
    /// it up, or may be gone. Several times the usual way of a few milliseconds.
    pub stale_after: Span,
}

impl Options {
    /// Least time between two reports to near peers, of so many peers.
    pub(crate) fn near_interval(&self, peers: usize, room: Supply) -> Span {
        match room {
            Supply::Scarce => self.report_interval.max(each(self.report_interval_share, peers)),
            Supply::Ample => self.report_refresh,
        }
    }

    /// After what time all of so many peers get a report.
    pub(crate) fn refresh_all(&self, peers: usize, room: Supply) -> Span {
        match room {
            Supply::Scarce => each(self.report_share, peers),
            Supply::Ample => each(self.report_share_ample, peers),
        }
    }

    /// How much of the executors' capacity is free, as far as it matters to others.
    pub(crate) fn supply(&self, free: u64, capacity: u64) -> Supply {
        match free * 100 >= capacity * self.ample_percent {
            true => Supply::Ample,
            false => Supply::Scarce,
        }
    }

    /// The entries to ask for what they know of an executor.
    pub(crate) fn former_keepers(&self, view: &View) -> Vec<Home> {
        match self.ask_keepers_only {
            true => view.claimable().collect(),
            false => view.linked().collect(),
        }
    }

    /// Whether an executor that this entry has kept for itself since a moment may be claimed.
    pub(crate) fn is_settled(&self, now: Time, since: Time, view: &View) -> bool {
        let waited = now.since(since);
        waited >= self.settle_limit || (waited >= self.settle && view.is_connected())
    }
}

/// A span for each of so many peers.
fn each(span: Span, peers: usize) -> Span {
    Span(span.0 * peers as u64)
}

impl Default for Options {
    fn default() -> Self {
        Options {
            lease: Span::from_millis(700),
            peer_silence: Span::from_millis(500),
            look_wait: Span::from_millis(150),
            look_again: true,
            look_retry: Span::from_millis(100),
            look_idle: Span::from_millis(700),
            acknowledge_after: Span::from_millis(400),
            settle: Span::from_millis(20),
            keeper_reserve: Cores(120),
            absence_patience: Span::from_millis(2_500),
            follow_if_keeper: true,
            stopgap_patience: Span::from_millis(100),
            settle_limit: Span::from_millis(200),
            ask_keepers_only: true,
            claim_timeout: Span::from_millis(300),
            fenced_pause: Span::from_millis(1_000),
            start_grace: Span::from_millis(40),
            overdue_factor: 3,
            overdue_factor_working: 5,
            stop_time: Span::from_millis(60),
            overdue_margin: Span::from_millis(150),
            queue_ahead: 0,
            queue_hold: Span::from_millis(10),
            patience_percent: 90,
            caution_percent: 140,
            spread: true,
            begun_first: true,
            admission: true,
            fill: true,
            report_interval: Span::from_millis(15),
            report_interval_share: Span::from_millis(1),
            report_interval_waiting: Span::from_millis(4),
            report_refresh: Span::from_millis(150),
            report_share: Span::from_millis(5),
            report_share_ample: Span::from_millis(16),
            report_idle: Span::from_millis(1_300),
            ample_percent: 50,
            near_peers: 8,
            pause_limit: Span::from_millis(900),
            lapse_wait: Span::from_millis(1_250),
            unsure_wait: Span::from_millis(800),
            stale_after: Span::from_millis(300),
        }
    }
}
