//! Limits of an entry's logic.

use crate::view::{Former, View};
use health::Rule;
use serde::{Deserialize, Serialize};
use site::{
    id::Home,
    unit::{Cores, Span, Time},
};

/// How much of an entry's capacity is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Supply {
    /// Enough that peers may act on an old report.
    Ample,
    /// So little that each change matters.
    Scarce,
}

/// How a keeper chooses among executors of different speeds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// The fastest that has room.
    Fastest,
    /// One of the slowest on which the task ends in time.
    Slowest,
    /// The fastest while more of their room is free than other tasks will need that are late
    /// elsewhere, then one of the slowest on which the task ends in time.
    Reserve,
}

/// How the limit of a job's expected wait is chosen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// One limit for all jobs, from the most urgent ones, and one wait behind all pending work.
    Common,
    /// Each job's own slack and the work served before it; the limits of groups that are rejected
    /// less often than others shrink.
    Forecast,
}

/// When a keeper isolates an executor.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthRule {
    /// After several failures without enough successes in a row between them.
    Penalty,
    /// Once its attempts are far likelier for a sick executor than for one like the others.
    Likelihood,
}

impl HealthRule {
    /// The rule of the health monitor.
    pub(crate) fn rule(self) -> Rule {
        match self {
            HealthRule::Penalty => Rule::default(),
            HealthRule::Likelihood => Rule::LIKELIHOOD,
        }
    }
}

/// Limits of an entry's logic. The defaults suit tasks of 50 ms to a second.
///
/// The names are those of the settings, where a poll of an executor is called a look.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Duration of a lease, by the executor's clock. With `peer_silence` and a clock that is 2%
    /// slow it has to be below the time after which callers submit a job again elsewhere, 1,300 ms:
    /// whatever a lost home had running has then ended, even if every stop is lost.
    pub lease: Span,
    /// A home that has sent nothing for this long is considered lost: its runs are stopped.
    /// More than three times `report_refresh`.
    pub peer_silence: Span,
    /// How long an executor holds back its response to a poll while no run ends. At most a third of
    /// a lease, so that two polls in a row may fail.
    pub look_wait: Span,
    /// Whether an executor is polled once more for runs that should have ended, while responses are
    /// being lost.
    pub look_again: bool,
    /// Pause before an executor that did not respond to a poll is polled again.
    pub look_retry: Span,
    /// Pause between two polls of an executor that runs nothing and whose incarnations share a
    /// name: the clock reading has to be of the current incarnation when a task is started there.
    pub look_idle: Span,
    /// Pause before ends are acknowledged when nothing runs.
    pub acknowledge_after: Span,
    /// Minimum pause before an executor is claimed, so that views that are still changing settle.
    pub settle: Span,
    /// Processor that an entry needs for its callers and connections. Executors are assigned in
    /// proportion to what the entries of their data centre have beyond it, so that small entries
    /// don't spend all their processor on executors; evenly where none has more.
    pub keeper_reserve: Cores,
    /// How long a data centre's entries may stay absent, after its executors have renewed their
    /// registrations again, before other entries take these over. Above the time in which entries
    /// register and connect after a network partition.
    pub absence_patience: Span,
    /// Whether the executors of an entry are taken over before its registration lapses, once most
    /// entries of its data centre that are still heard from have lost it.
    pub standby: bool,
    /// An entry has to be silent for this long to be considered lost, also if its connection was
    /// closed earlier. The idle timeout of a connection.
    pub standby_silence: Span,
    /// Whether only entries that keep executors watch the executors' registrations. Otherwise all
    /// do.
    pub follow_if_keeper: bool,
    /// How long an entry that keeps executors only because no larger entry is listed waits before
    /// it watches their registrations: larger ones may be starting at the same time.
    pub stopgap_patience: Span,
    /// Maximum pause for connections to the other entries to come up: a former keeper can only
    /// transfer an executor that it is asked for.
    pub settle_limit: Span,
    /// Whether only entries that keep executors get executor claims. After a restart of all entries
    /// none does, and waiting for their answers would take longer than everything else.
    pub ask_keepers_only: bool,
    /// How long a former keeper may take to transfer an executor before it is polled without its
    /// state.
    pub claim_timeout: Span,
    /// Pause before an executor that fenced this entry is claimed again.
    pub fenced_pause: Span,
    /// If a poll is sent this long after a start and the run is not listed, it is stopped.
    /// Above the longest usual transit time to an executor.
    pub start_grace: Span,
    /// A run that takes this many times its estimate is stopped: tasks may hang.
    pub overdue_factor: u64,
    /// The same where other tasks have completed on the executor since the run began, so that a
    /// wrong estimate is likelier than a faulty executor.
    pub overdue_factor_working: u64,
    /// Maximum time that an executor takes to stop a run. Set by the platform.
    pub stop_time: Span,
    /// Added to the limit of a run's time, for short tasks.
    pub overdue_margin: Span,
    /// Tasks that a keeper queues beyond its room. Zero, since a queued task can't use room that
    /// becomes free at another keeper.
    pub queue_ahead: u32,
    /// How long a keeper holds a task that it can't start before it hands it back; its home may
    /// know of room elsewhere.
    pub queue_hold: Span,
    /// How long a job may wait for its first start before it is rejected, in percent of the time
    /// until its deadline. Earlier rejections leave room for jobs that can still be in time.
    pub patience_percent: u64,
    /// The assumed duration of a task for its latest start, in percent of its estimate. Estimates
    /// are off by up to 40%, and some executors are slower.
    pub caution_percent: u64,
    /// Whether the speed of executors is learnt by the kind of their machines. Otherwise all kinds
    /// count as equally fast.
    pub speed_by_kind: bool,
    /// Kinds count as unevenly fast if the executors of one take this many percent of the time that
    /// those of another take. Smaller differences change nothing.
    pub speed_ratio_percent: u64,
    /// Whether jobs are spread over the keepers of a data centre that have room to spare. Otherwise
    /// all entries send theirs to the keeper with the most room until its next report.
    pub spread: bool,
    /// How tasks are assigned to executors of different speeds. Has no effect while the executors
    /// are not known to differ.
    pub choice: Choice,
    /// Whether jobs with a task that has run have precedence over others.
    pub begun_first: bool,
    /// Whether jobs are rejected at once while too much work is pending.
    pub admission: bool,
    /// How the limit of a job's wait is chosen.
    pub admission_policy: Policy,
    /// Whether a job that fits into the known room is admitted whatever else is pending. Pending
    /// tasks can't use that room: they are larger.
    pub fill: bool,
    /// Minimum time between two reports of a keeper's room to the peers near it.
    pub report_interval: Span,
    /// The same, per peer, where that product is longer: in a large site a job finds room without
    /// knowing of each change, and a report costs sender and receiver as much as in a small one.
    pub report_interval_share: Span,
    /// Minimum time between two reports to a peer with pending tasks: room that it does not know of
    /// stays unused.
    pub report_interval_waiting: Span,
    /// Keepers of the entry's tasks get a report after this time, and near peers a repeated one.
    pub report_refresh: Span,
    /// All other peers get a report after this time multiplied by the number of peers, so that
    /// their number does not increase the rate of reports that an entry sends. At 35 entries every
    /// second time.
    pub report_share: Span,
    /// The same while room is ample: once in 0.7 s with 46 peers.
    pub report_share_ample: Span,
    /// Entries that keep no executor and have no pending tasks report to all peers after this time,
    /// apart from urgent changes and from reports to keepers of their tasks. A third of the time
    /// for which a report is valid.
    pub report_idle: Span,
    /// Room is ample while at least this percentage of the capacity of an entry's executors is
    /// free: changes are then reported to near peers only after `report_refresh`. Above 100 it is
    /// never ample.
    pub ample_percent: u64,
    /// Number of peers that get each change of a keeper's room. Reports of each change to all peers
    /// of a large site would take much of an entry's processor.
    pub near_peers: usize,
    /// A process that did not run for this long has lost its leases and possibly its callers.
    pub pause_limit: Span,
    /// How long a home waits after it lost a keeper before it starts that keeper's tasks again: the
    /// keeper may miss the end of the connection, considers the home lost after `peer_silence`, and
    /// the lease expires after that.
    pub lapse_wait: Span,
    /// How long a home waits after the keeper of its task was fenced. The new keeper may neither
    /// know the run nor stop it, so that the run ends with its lease; includes a margin for the
    /// transit of the last renewal.
    pub unsure_wait: Span,
    /// A task that took this long to reach its keeper is not started: its home may have given it
    /// up, or may be gone. Several times the usual transit time of a few milliseconds.
    pub stale_after: Span,
    /// Whether a keeper hands a task that it can't start to another keeper with room instead of
    /// returning it to its home. Keepers with little room then report it to each other more often.
    pub forward: bool,
    /// How long a keeper holds a task that it may forward before it hands it back to its home.
    /// Above `queue_hold`: room that becomes free at any keeper near is found from here.
    pub forward_hold: Span,
    /// Number of keepers near a keeper that get its reports of scarce room and that it forwards
    /// tasks to. Bounds what reports between keepers cost in a large site.
    pub forward_peers: usize,
    /// Minimum time between two reports of scarce room to those keepers, or
    /// `report_interval_share` per peer where that is longer.
    pub report_interval_keepers: Span,
    /// Whether no tasks are sent to peers that do not acknowledge what was sent to them. Otherwise
    /// they get tasks until their connection is lost.
    pub avoid_unresponsive: bool,
    /// When an executor that fails or hangs is isolated.
    pub health_rule: HealthRule,
    /// A class of jobs floods if its arrivals exceed this percentage of the usual ones: those
    /// beyond the usual ones are rejected first. 0 disables it.
    pub flood_percent: u64,
    /// Whether runs that take longer than their estimate allows are reported to health, and are
    /// stopped early on executors that health doubts, and whether such an executor gets one task at
    /// a time, and only if no other has room.
    pub stragglers: bool,
}

impl Options {
    /// Minimum time between two reports to near peers, with this number of peers.
    pub(crate) fn near_interval(&self, peers: usize, room: Supply) -> Span {
        match room {
            Supply::Scarce => self.report_interval.max(per_peer(self.report_interval_share, peers)),
            Supply::Ample => self.report_refresh,
        }
    }

    /// Minimum time between two reports of scarce room to other keepers, with this number of peers.
    pub(crate) fn keeper_interval(&self, peers: usize) -> Span {
        self.report_interval_keepers.max(per_peer(self.report_interval_share, peers))
    }

    /// Time after which all peers get a report, with this number of peers.
    pub(crate) fn refresh_all(&self, peers: usize, room: Supply) -> Span {
        match room {
            Supply::Scarce => per_peer(self.report_share, peers),
            Supply::Ample => per_peer(self.report_share_ample, peers),
        }
    }

    /// Classifies how much of the executors' capacity is free.
    pub(crate) fn supply(&self, free: u64, capacity: u64) -> Supply {
        match free * 100 >= capacity * self.ample_percent {
            true => Supply::Ample,
            false => Supply::Scarce,
        }
    }

    /// The entries to send an executor claim to.
    pub(crate) fn claim_recipients(&self, view: &View) -> Vec<Home> {
        match self.ask_keepers_only {
            true => view.claimable().collect(),
            false => view.connected().collect(),
        }
    }

    /// Whether an executor that this entry has had to keep since `since` may be claimed. No
    /// connection has to come up if its former keeper is lost.
    pub(crate) fn is_settled(
        &self,
        now: Time,
        since: Time,
        lost: Option<Former>,
        view: &View,
    ) -> bool {
        let waited = now.since(since);
        let may_claim = view.is_connected() || self.standby && lost.is_some();
        waited >= self.settle_limit || (waited >= self.settle && may_claim)
    }

    /// Whether an executor that fenced this entry may be claimed again. Not while others, of which
    /// this entry hears too few, may have taken it over: the two would fence each other in turn.
    pub(crate) fn may_claim_again(&self, view: &View) -> bool {
        !(self.standby && view.is_isolated())
    }
}

/// A span multiplied by the number of peers.
fn per_peer(span: Span, peers: usize) -> Span {
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
            standby: true,
            standby_silence: Span::from_millis(800),
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
            speed_by_kind: true,
            speed_ratio_percent: 150,
            spread: true,
            choice: Choice::Reserve,
            begun_first: true,
            admission: true,
            admission_policy: Policy::Forecast,
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
            forward: true,
            forward_hold: Span::from_millis(15),
            forward_peers: 8,
            report_interval_keepers: Span::from_millis(15),
            avoid_unresponsive: true,
            health_rule: HealthRule::Likelihood,
            flood_percent: 200,
            stragglers: false,
        }
    }
}
