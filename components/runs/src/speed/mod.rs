//! How long executors take for a task, relative to the caller's estimate.
//!
//! A run takes a fixed part, for the order, the start and the listing of its end, and a factor times
//! its estimate. Factors are learnt by kind of machine and exchanged between entries, so that an
//! executor with a new name, incarnation or keeper has one from its first task. A single executor
//! may deviate from its kind.

mod factor;
mod fit;
mod heard;
mod single;

pub use factor::Factor;

use crate::{Executor, Options, action::Decision, executor::Kind};
use fit::{ENOUGH_RUNS, Fit, MAX_KINDS};
use heard::{Heard, MAX_NAME, MAX_WEIGHT, Merged};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use single::Single;
use site::{
    id::{EndpointId, Home},
    unit::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which the model is fitted to new runs.
const FIT_INTERVAL: Span = Span::from_millis(200);

/// Change, in octaves, from which a kind's factor is published anew: 8%. Beyond the usual variation
/// of a settled fit, so that reports and choices don't change with it.
const PUBLISHED_STEP: f64 = 0.14;

/// Growth of the number of measured runs from which a kind is published anew: others give the factor
/// more weight then.
const PUBLISHED_GROWTH: u16 = 4;

/// Part of the ratio beyond 1 at which kinds begin to count as uneven, below which they no longer
/// do.
const STAYS_UNEVEN: f64 = 0.75;

/// Number of standard errors by which the ratio of two kinds has to be beyond the limit before they
/// count as uneven. Kinds that differ less must not count as uneven by chance.
const CERTAINTY: f64 = 2.0;

/// Runs that are worth one independent run: tasks of a job have the same error of their estimate.
const RUNS_PER_JOB: f64 = 3.0;

/// Divisor of the moving average of the spread: the inverse of the weight of one run.
const SPREAD_WEIGHT: f32 = 256.0;

/// The assumed spread of runs before any is measured, in octaves. That of estimates which are off by
/// up to 40%.
const ASSUMED_SPREAD: f32 = 0.4;

/// Limit, in octaves, of what one run adds to the spread. Tasks that are long whatever the executor
/// would otherwise determine it.
const MAX_SPREAD: f32 = 1.0;

/// Ratio of the standard deviation to the mean deviation, for a normal distribution.
const DEVIATION_RATIO: f32 = 1.25;

/// What an entry reports of a kind.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Measure {
    /// The kind.
    pub kind: Kind,
    /// How long its executors take, relative to the estimate.
    pub factor: Factor,
    /// Number of runs that the sender has measured; 0 if it has the factor from others.
    pub weight: u16,
}

/// What is known of the speed of executors and their kinds.
#[derive(Debug)]
pub struct Speeds {
    is_enabled: bool,
    /// Ratio of the factors of two kinds from which they count as uneven.
    uneven_ratio: f64,
    fit: Fit,
    /// When the model was last fitted.
    fitted: Time,
    heard: Heard,
    singles: FxHashMap<EndpointId, Single>,
    /// Moving average of the spread of runs around their expected time, in octaves.
    spread: f32,
    /// The factors in use, by kind. They stay until they differ clearly from the fitted ones.
    published: BTreeMap<Kind, Published>,
    /// The kinds of the known executors; `None` where executors are not known.
    in_use: Option<BTreeSet<Kind>>,
    /// Whether the kinds differ clearly by the latest fit.
    is_uneven: bool,
    /// Counts the changes of what this entry has measured itself.
    revision: u64,
    /// The revision that each connected entry was sent last.
    sent: FxHashMap<Home, u64>,
}

/// The factor of a kind in use.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Published {
    factor: Factor,
    /// Number of runs measured here; 0 if the factor is from others.
    weight: u16,
}

/// What is known of a kind at present.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    factor: f64,
    /// Number of runs that it rests on, here or elsewhere.
    runs: u32,
    /// Whether they were measured here.
    is_measured: bool,
}

impl Estimate {
    fn published(self) -> Published {
        let weight = if self.is_measured { self.runs.min(u32::from(MAX_WEIGHT)) as u16 } else { 0 };
        Published { factor: Factor::from_ratio(self.factor), weight }
    }
}

impl Published {
    fn merged(self) -> Merged {
        Merged { factor: self.factor.ratio(), runs: ENOUGH_RUNS }
    }

    /// Whether the difference to a new estimate matters here or to others.
    fn is_replaced_by(self, new: Self) -> bool {
        let octaves = (new.factor.ratio() / self.factor.ratio()).log2();
        let begins_to_be_measured = self.weight == 0 && new.weight > 0;
        let has_grown = new.weight >= self.weight.saturating_mul(PUBLISHED_GROWTH);
        octaves.abs() >= PUBLISHED_STEP || begins_to_be_measured || self.weight > 0 && has_grown
    }
}

impl Speeds {
    /// Knows no speed yet.
    pub fn new(options: &Options) -> Self {
        Self {
            is_enabled: options.speed_by_kind,
            uneven_ratio: options.speed_ratio_percent as f64 / 100.0,
            fit: Fit::default(),
            fitted: Time(0),
            heard: Heard::default(),
            singles: FxHashMap::default(),
            spread: ASSUMED_SPREAD,
            published: BTreeMap::new(),
            in_use: None,
            is_uneven: false,
            revision: 0,
            sent: FxHashMap::default(),
        }
    }

    /// Records that a run on `executor` took `elapsed`, from its start order until its end was known.
    pub fn observe(&mut self, now: Time, executor: &Executor, elapsed: Span, estimate: Span) {
        if !self.is_enabled || estimate == Span::ZERO {
            return;
        }
        self.observe_single(now, executor, elapsed, estimate);
        self.fit.observe(known_kind(executor), elapsed, estimate);
    }

    /// Compares a run with what its kind lets expect. Runs that consist mostly of the fixed part say
    /// little of the executor.
    fn observe_single(&mut self, now: Time, executor: &Executor, elapsed: Span, estimate: Span) {
        let Some(factor) = self.kind_factor(executor) else { return };
        let (fixed, expected) = (self.fit.fixed().0 as f32, estimate.0 as f32 * factor as f32);
        if expected < fixed {
            return;
        }
        let net = (elapsed.0 as f32 - fixed).max(expected / 16.0);
        let octaves = (net / expected).log2();
        let single = self.singles.entry(executor.id).or_insert_with(|| Single::new(executor));
        if !single.is_of(executor) {
            *single = Single::new(executor);
        }
        single.observe(now, octaves, self.spread);
        let spread = octaves.abs().min(MAX_SPREAD) * DEVIATION_RATIO;
        self.spread += (spread - self.spread) / SPREAD_WEIGHT;
    }

    /// Drops the kinds that no known executor has, which would otherwise count towards
    /// [`is_uneven`](Self::is_uneven) as long as this process lives. `None` if executors are not known
    /// here.
    pub fn retain_kinds(&mut self, in_use: Option<BTreeSet<Kind>>) {
        if let Some(in_use) = &in_use {
            self.published.retain(|kind, _| in_use.contains(kind));
            self.fit.retain_kinds(in_use);
        }
        self.in_use = in_use;
    }

    /// Whether some executor has this kind, as far as executors are known here.
    fn is_in_use(&self, kind: &Kind) -> bool {
        self.in_use.as_ref().is_none_or(|in_use| in_use.contains(kind))
    }

    /// Fits the model to the latest runs and publishes factors that have changed. Returns lines for
    /// the decision log: one for each of them, or for all kinds if the kinds begin or cease to count
    /// as uneven.
    pub fn refresh(&mut self, now: Time) -> Vec<Decision> {
        if !self.is_enabled || now.since(self.fitted) < FIT_INTERVAL {
            return Vec::new();
        }
        self.fitted = now;
        self.fit.update();
        self.singles.retain(|_, single| !single.is_outdated(now));
        let estimates = self.estimates();
        let mut changed = self.publish(&estimates);
        let is_uneven = self.are_uneven(&estimates);
        if std::mem::replace(&mut self.is_uneven, is_uneven) != is_uneven {
            changed = self.published.keys().cloned().collect();
        }
        changed.into_iter().filter_map(|kind| self.line(kind)).collect()
    }

    fn line(&self, kind: Kind) -> Option<Decision> {
        let published = self.published.get(&kind)?;
        Some(Decision::Speed {
            kind,
            factor: published.factor,
            runs: published.weight,
            fixed: self.fit.fixed(),
            uneven: self.is_uneven,
        })
    }

    /// What is known of each kind.
    fn estimates(&self) -> BTreeMap<Kind, Estimate> {
        let measured = self.fit.kinds().map(|(kind, _)| kind);
        let kinds = measured.chain(self.heard.kinds()).chain(self.published.keys());
        let kinds = kinds.filter(|kind| self.is_in_use(kind));
        kinds.filter_map(|kind| Some((kind.clone(), self.estimate(kind)?))).collect()
    }

    /// The factor of a kind by the runs measured here. Reports of others stand in for the runs that
    /// are missing to enough of them, and without any the factor that was published.
    fn estimate(&self, kind: &Kind) -> Option<Estimate> {
        let (runs, own) = self.fit.kind(kind).map_or((0, 1.0), |own| (own.runs(), own.factor()));
        if runs >= ENOUGH_RUNS {
            return Some(Estimate { factor: own, runs, is_measured: true });
        }
        let published = || self.published.get(kind).copied().map(Published::merged);
        let heard = self.heard.factor(kind).or_else(published)?;
        let part = f64::from(runs) / f64::from(ENOUGH_RUNS);
        let octaves = part * own.log2() + (1.0 - part) * heard.factor.log2();
        Some(Estimate { factor: octaves.exp2(), runs: heard.runs, is_measured: false })
    }

    /// Publishes the factors that have changed, and returns their kinds.
    fn publish(&mut self, estimates: &BTreeMap<Kind, Estimate>) -> Vec<Kind> {
        let mut changed = Vec::new();
        for (kind, estimate) in estimates {
            let old = self.published.get(kind).copied();
            let new = estimate.published();
            let is_known = old.is_some() || self.published.len() < MAX_KINDS;
            if is_known && old.is_none_or(|old| old.is_replaced_by(new)) {
                let measured = new.weight > 0 || old.is_some_and(|old| old.weight > 0);
                self.revision += u64::from(measured);
                self.published.insert(kind.clone(), new);
                changed.push(kind.clone());
            }
        }
        changed
    }

    /// Whether the slowest and the fastest kind differ by the limit: certainly if they did not so
    /// far, and by most of it if they did.
    fn are_uneven(&self, estimates: &BTreeMap<Kind, Estimate>) -> bool {
        let by_factor = |a: &&Estimate, b: &&Estimate| a.factor.total_cmp(&b.factor);
        let slowest = estimates.values().max_by(by_factor);
        let fastest = estimates.values().min_by(by_factor);
        let (Some(slowest), Some(fastest)) = (slowest, fastest) else { return self.is_uneven };
        let octaves = (slowest.factor / fastest.factor).log2();
        if self.is_uneven {
            return octaves >= (1.0 + (self.uneven_ratio - 1.0) * STAYS_UNEVEN).log2();
        }
        let variance = RUNS_PER_JOB * f64::from(self.spread).powi(2);
        let per_run = 1.0 / f64::from(slowest.runs) + 1.0 / f64::from(fastest.runs);
        octaves - CERTAINTY * (variance * per_run).sqrt() >= self.uneven_ratio.log2()
    }

    /// The published factor of an executor's kind; for an unknown one that of the measured executors
    /// without a known kind, else the middle of the kinds.
    fn kind_factor(&self, executor: &Executor) -> Option<f64> {
        let known = known_kind(executor).and_then(|kind| self.published.get(kind));
        if let Some(published) = known {
            return Some(published.factor.ratio());
        }
        let unknown = self.fit.unknown();
        if unknown.runs() >= ENOUGH_RUNS {
            return Some(unknown.factor());
        }
        let octaves: f64 = self.published.values().map(|p| p.factor.ratio().log2()).sum();
        let count = self.published.len();
        (count > 0).then(|| (octaves / count as f64).exp2())
    }

    /// The expected run time on an executor, relative to the estimate and without the fixed part: the
    /// factor of its kind, and its own deviation from that. [`Factor::ONE`] while the kinds are not
    /// known to differ.
    pub fn factor(&self, executor: &Executor) -> Factor {
        if !self.is_uneven {
            return Factor::ONE;
        }
        let Some(kind) = self.kind_factor(executor) else { return Factor::ONE };
        let single = self.singles.get(&executor.id).filter(|single| single.is_of(executor));
        // An executor that is faster than its kind would form a class of its own, which other tasks
        // wait for.
        Factor::from_ratio(kind * single.map_or(1.0, Single::ratio).max(1.0))
    }

    /// The part of a run time that does not depend on the estimate, as measured at this entry. Zero
    /// while the kinds are not known to differ.
    pub fn fixed(&self) -> Span {
        if self.is_uneven { self.fit.fixed() } else { Span::ZERO }
    }

    /// The same, also while the kinds are not known to differ.
    pub(crate) fn measured_fixed(&self) -> Span {
        self.fit.fixed()
    }

    /// The expected time from the start order on an executor until the end is known here.
    pub fn run_time(&self, executor: &Executor, estimate: Span) -> Span {
        self.fixed() + self.factor(executor).run_time(estimate)
    }

    /// Whether kinds of executors differ so much that placement takes their speed into account.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// The factors of the kinds that are known here.
    pub fn kinds(&self) -> Vec<(Kind, Factor)> {
        let published = self.published.iter();
        published.map(|(kind, published)| (kind.clone(), published.factor)).collect()
    }

    /// What a report to `peer` has to contain: nothing if it was sent the present factors.
    pub fn take_unsent(&mut self, peer: Home) -> Vec<Measure> {
        if self.published.is_empty() || self.sent.get(&peer) == Some(&self.revision) {
            return Vec::new();
        }
        self.sent.insert(peer, self.revision);
        let row = |(kind, published): (&Kind, &Published)| Measure {
            kind: kind.clone(),
            factor: published.factor,
            weight: published.weight,
        };
        self.published.iter().map(row).collect()
    }

    /// Records what another entry reports, which replaces its earlier rows. Without rows nothing has
    /// changed there.
    pub fn hear(&mut self, peer: Home, rows: Vec<Measure>) {
        if !self.is_enabled || rows.is_empty() {
            return;
        }
        self.heard.set(peer, rows);
        if self.published.is_empty() {
            // Tasks may start before the next fit is due.
            self.fitted = Time(0);
        }
    }

    /// Forgets a disconnected entry. Factors that were published from its reports stay.
    pub fn forget(&mut self, peer: Home) {
        self.heard.remove(peer);
        self.sent.remove(&peer);
    }
}

/// The kind of an executor, unless its name is too long for reports.
fn known_kind(executor: &Executor) -> Option<&Kind> {
    executor.kind.as_ref().filter(|kind| kind.0.len() <= MAX_NAME)
}
