//! Which classes of jobs flood, and which of their jobs are surplus.
//!
//! Guards against all kinds of jobs being rejected for what one kind asks for: the feedback between
//! groups wants equal rejection rates, so that kinds that did not grow pay for one that did. A class
//! floods if it grew to more than a given multiple of its usual rate, and more than others. Then
//! its jobs beyond the usual rate are surplus: while jobs are rejected, they get only the room that
//! others leave idle.

use crate::{
    action::Flood,
    demand::{Count, Demand, Group},
};
use site::unit::{Span, Time};
use std::array;

/// Time constant of the usual rates. A flood that lasts longer is usual.
const MEMORY: Span = Span::from_secs(20);

/// The usual rates are unknown until arrivals have been observed for this long.
const MIN_OBSERVED: Span = Span::from_secs(5);

/// A sample counts the jobs of the last second, and stands for no more than that.
const SAMPLE: Span = Span::from_secs(1);

/// Pause between samples.
const SAMPLE_INTERVAL: Span = Span::from_millis(50);

/// Usual jobs a second that each class has at least, so that small classes never flood.
const MIN_USUAL: u64 = 60;

/// Classes with at least this many usual jobs a second show how much others grew. With fewer, chance
/// makes one of them seem to have grown less.
const MIN_COMPARED: u64 = 30;

/// Growth of a flooding class in percent of that of the class that grew least. Jobs of one kind are
/// in several classes, so that a flood of one kind makes others grow too.
const LEAD_PERCENT: u64 = 125;

/// A thousandth of a job: the unit of usual rates, and of the jobs of a group that are not surplus.
const MILLI: u64 = 1_000;

/// The usual rates of all classes, and the jobs that are surplus now.
#[derive(Debug)]
pub(super) struct Shares {
    /// A class floods if its rate is above this percentage of the usual one; 0 for never.
    percent: u64,
    lengths: [Class; 3],
    widths: [Class; 3],
    /// When the first job arrived here.
    began: Option<Time>,
    /// Time of the latest sample of the usual rates.
    sampled: Time,
    /// Time that the samples stand for, up to `MEMORY`.
    observed: Span,
    /// When a job was last rejected, here or elsewhere.
    rejected: Option<Time>,
    /// Thousandths of a job that are due as usual ones of a flooding group: each job adds its part,
    /// so that the right share is usual whatever the jobs' order and names.
    credit: u64,
}

/// The arrivals of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Usual jobs per second, in thousandths. Unchanged while the class floods.
    usual: u64,
    /// Jobs of the last second.
    asked: u64,
    /// Since when it floods.
    flooding: Option<Time>,
}

impl Shares {
    pub(super) fn new(percent: u64) -> Self {
        Self {
            percent,
            lengths: [Class::default(); 3],
            widths: [Class::default(); 3],
            began: None,
            sampled: Time(0),
            observed: Span::ZERO,
            rejected: None,
            credit: 0,
        }
    }

    /// Updates the usual rates, and which classes flood, with the site's jobs of the last second.
    pub(super) fn observe(&mut self, now: Time, demand: &Demand) {
        if self.percent == 0 {
            return;
        }
        if demand.lengths.iter().any(|count| count.refused > 0) {
            self.rejected = Some(now);
        }
        let stands_for = self.take_sample(now);
        let counts = demand.lengths.iter().chain(&demand.widths);
        for (class, count) in self.lengths.iter_mut().chain(&mut self.widths).zip(counts) {
            class.asked = u64::from(count.asked);
            class.learn(now, stands_for, self.observed);
        }
        let needed = self.percent.max(self.least_growth() * LEAD_PERCENT / 100);
        let is_known = self.observed >= MIN_OBSERVED;
        for class in self.lengths.iter_mut().chain(&mut self.widths) {
            let floods = is_known && class.growth() > needed;
            class.flooding = floods.then(|| class.flooding.unwrap_or(now));
        }
    }

    /// The time that a sample taken now stands for; zero if none is due.
    fn take_sample(&mut self, now: Time) -> Span {
        // The counts of the first second are not those of a whole one.
        let whole_from = *self.began.get_or_insert(now) + SAMPLE;
        let pause = now.since(self.sampled.max(whole_from));
        if pause < SAMPLE_INTERVAL {
            return Span::ZERO;
        }
        let stands_for = pause.min(SAMPLE);
        self.sampled = now;
        self.observed = (self.observed + stands_for).min(MEMORY);
        stands_for
    }

    /// The growth of the class that grew least, in percent.
    fn least_growth(&self) -> u64 {
        let classes = self.lengths.iter().chain(&self.widths);
        let compared = classes.filter(|class| class.usual >= MIN_COMPARED * MILLI);
        compared.map(|class| class.asked * 100 * MILLI / class.usual).min().unwrap_or_default()
    }

    /// Decides whether an arriving job is surplus; `None` if its group does not flood.
    pub(super) fn classify(&mut self, group: Group) -> Option<Flood> {
        let classes = [&self.lengths[group.length as usize], &self.widths[group.width as usize]];
        self.credit += classes.into_iter().filter_map(Class::usual_part).min()?;
        match self.credit.checked_sub(MILLI) {
            Some(rest) => {
                self.credit = rest;
                Some(Flood::Usual)
            }
            None => Some(Flood::Surplus),
        }
    }

    /// Whether jobs were rejected within the last second.
    pub(super) fn is_scarce(&self, now: Time) -> bool {
        self.rejected.is_some_and(|at| now.since(at) <= SAMPLE)
    }

    /// Records the rejection of a surplus job.
    pub(super) fn rejected_surplus(&mut self, now: Time) {
        self.rejected = Some(now);
    }

    /// Rejected jobs of a flooding group for each thousand admitted ones, with its surplus; `None`
    /// if it does not flood.
    pub(super) fn refusal_ratio(&self, group: Group, demand: &Demand) -> Option<u64> {
        let ratio = |class: &Class, count: Count| {
            class.flooding?;
            let refused = class.asked.saturating_sub(class.usual()) + u64::from(count.refused);
            Some(refused * MILLI / class.asked.saturating_sub(refused).max(1))
        };
        let (length, width) = (group.length as usize, group.width as usize);
        ratio(&self.lengths[length], demand.lengths[length])
            .max(ratio(&self.widths[width], demand.widths[width]))
    }

    /// The demand without surplus jobs, for comparing the rejection rates of groups. While a class
    /// floods, what others have grown by counts as its surplus too: jobs of one kind are in several
    /// classes.
    pub(super) fn without_surplus(&self, demand: &Demand) -> Demand {
        if !self.lengths.iter().chain(&self.widths).any(|class| class.flooding.is_some()) {
            return *demand;
        }
        let regular = |class: &Class, count: Count| {
            let usual = class.flooding.map_or(class.usual / MILLI, |_| class.usual());
            Count { asked: class.asked.min(usual) as u32, ..count }
        };
        Demand {
            lengths: array::from_fn(|n| regular(&self.lengths[n], demand.lengths[n])),
            widths: array::from_fn(|n| regular(&self.widths[n], demand.widths[n])),
            ..*demand
        }
    }
}

impl Class {
    /// Takes the jobs of the last second into the usual rate, as a mean over `observed`.
    fn learn(&mut self, now: Time, stands_for: Span, observed: Span) {
        let asked = self.asked * MILLI;
        match self.flooding {
            Some(since) if now.since(since) < MEMORY => {}
            Some(_) => self.usual = asked,
            None => {
                let sum = self.usual * (observed - stands_for).0 + asked * stands_for.0;
                self.usual = sum / observed.0.max(1);
            }
        }
    }

    /// Usual jobs per second, at least those below which no class floods.
    fn usual(&self) -> u64 {
        (self.usual / MILLI).max(MIN_USUAL)
    }

    /// Jobs of the last second in percent of the usual ones.
    fn growth(&self) -> u64 {
        self.asked * 100 / self.usual()
    }

    /// The usual jobs in thousandths of the arriving ones; `None` if it does not flood.
    fn usual_part(&self) -> Option<u64> {
        self.flooding.map(|_| (self.usual() * MILLI / self.asked.max(1)).min(MILLI))
    }
}
