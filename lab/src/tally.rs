//! What the callers of a day got.

use crate::world::{Arrival, Outcome, Record};
use serde::Serialize;
use site::unit::Span;
use std::collections::BTreeMap;

/// What a late answer is worth against one in time.
const LATE_WORTH: f64 = 0.2;

/// Part of a job's worth that does not depend on its work.
const BASE_WORTH: f64 = 0.3;

/// Most that a job is worth against the mean of its kind.
const MOST_WORTH: f64 = 4.0;

/// Length of the windows of which the worst are looked for.
const WINDOW: Span = Span::from_secs(2);

/// How many of the worst windows count.
const WORST_WINDOWS: usize = 2;

/// Weights of the whole day, the worst windows, the worst kind and the worst data centre in
/// [`Tally::benefit`].
const WEIGHTS: [f64; 4] = [0.56, 0.12, 0.12, 0.20];

/// Jobs with something in common.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// How many there are.
    pub jobs: usize,
    /// Completed in time.
    pub in_time: usize,
    /// Completed late, at all.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Of them, while executors had room for the whole job.
    pub had_room: usize,
    /// Begun and given up.
    pub given_up: usize,
    /// Failed, or without an answer.
    pub failed: usize,
    /// What they are worth.
    pub owed: f64,
    /// What was earned of it.
    pub earned: f64,
}

/// What the callers of a day got.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// All jobs.
    pub all: Group,
    /// By kind.
    pub kinds: BTreeMap<usize, Group>,
    /// By data centre.
    pub zones: BTreeMap<usize, Group>,
    /// The largest tenth of each kind.
    pub largest: BTreeMap<usize, Group>,
    /// By window.
    pub windows: BTreeMap<u64, Group>,
    /// The part of the executors' cores that tasks were given, while jobs came in.
    pub used: f64,
    /// Median and 95th percentile of the time until a refusal, in milliseconds.
    pub refusal_ms: (f64, f64),
}

impl Group {
    fn add(&mut self, record: &Record, worth: f64) {
        self.jobs += 1;
        self.owed += worth;
        match record.outcome {
            Outcome::InTime => {
                self.in_time += 1;
                self.earned += worth;
            }
            Outcome::Late => {
                self.late += 1;
                self.earned += worth * LATE_WORTH;
            }
            Outcome::TooLate => self.late += 1,
            Outcome::Refused => {
                self.refused += 1;
                self.had_room += usize::from(record.had_room);
            }
            Outcome::GivenUp => self.given_up += 1,
            Outcome::Failed | Outcome::Open => self.failed += 1,
        }
    }

    /// The part of its worth that was earned.
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }

    /// The part of the completed jobs that were late.
    pub fn late_share(&self) -> f64 {
        self.late as f64 / (self.late + self.in_time).max(1) as f64
    }
}

impl Tally {
    /// Counts a day.
    pub fn new(arrivals: &[Arrival], records: &[Record]) -> Self {
        let mut tally = Tally::default();
        let works = works(arrivals);
        let mut refusals: Vec<f64> = Vec::new();
        for record in records {
            let arrival = &arrivals[record.arrival];
            let of_kind = &works[&arrival.kind];
            let work = arrival.work() as f64 / of_kind.mean.max(1.0);
            // The same sum for each kind, so that no kind counts by its rate alone.
            let job = (BASE_WORTH + (1.0 - BASE_WORTH) * work).min(MOST_WORTH);
            let worth = job / of_kind.count as f64;
            let window = arrival.at.0 / WINDOW.0;
            tally.all.add(record, worth);
            tally.kinds.entry(arrival.kind).or_default().add(record, worth);
            tally.zones.entry(arrival.zone).or_default().add(record, worth);
            tally.windows.entry(window).or_default().add(record, worth);
            if arrival.work() >= of_kind.large {
                tally.largest.entry(arrival.kind).or_default().add(record, worth);
            }
            if record.outcome == Outcome::Refused {
                refusals.push(record.after.0 as f64 / 1_000.0);
            }
        }
        refusals.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let index = (refusals.len() as f64 * part) as usize;
            refusals.get(index).copied().unwrap_or_default()
        };
        tally.refusal_ms = (at(0.5), at(0.95));
        tally
    }

    /// One figure for the day: a weighted mean of the parts of the worth that were earned over the
    /// whole day, in the worst windows, of the worst kind and in the worst data centre.
    pub fn benefit(&self) -> f64 {
        let parts = [self.all.share(), self.worst_windows(), self.worst_kind(), self.worst_zone()];
        parts.iter().zip(WEIGHTS).map(|(part, weight)| part * weight).sum()
    }

    /// The mean share of the worst windows.
    pub fn worst_windows(&self) -> f64 {
        let mut shares: Vec<_> = self.windows.values().map(Group::share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = shares.iter().take(WORST_WINDOWS);
        worst.sum::<f64>() / shares.len().clamp(1, WORST_WINDOWS) as f64
    }

    /// The share of the worst kind.
    pub fn worst_kind(&self) -> f64 {
        worst(&self.kinds)
    }

    /// The share of the worst data centre.
    pub fn worst_zone(&self) -> f64 {
        worst(&self.zones)
    }
}

fn worst(groups: &BTreeMap<usize, Group>) -> f64 {
    groups.values().map(Group::share).min_by(f64::total_cmp).unwrap_or(1.0)
}

/// The work of the jobs of a kind.
struct Works {
    count: usize,
    mean: f64,
    /// A tenth of the jobs take at least this much.
    large: u64,
}

fn works(arrivals: &[Arrival]) -> BTreeMap<usize, Works> {
    let mut kinds: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for arrival in arrivals {
        kinds.entry(arrival.kind).or_default().push(arrival.work());
    }
    let works = |mut all: Vec<u64>| {
        all.sort_unstable();
        let count = all.len();
        let sum: u64 = all.iter().sum();
        Works { count, mean: sum as f64 / count as f64, large: all[count * 9 / 10] }
    };
    kinds.into_iter().map(|(kind, all)| (kind, works(all))).collect()
}
