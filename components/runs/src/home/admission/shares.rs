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
    way: u8,
    lengths: [Class; 3],
    widths: [Class; 3],
    /// When the first job was seen.
    began: Option<Time>,
    /// Time of the latest sample.
    sampled: Time,
    /// Time that the samples stand for.
    observed: Span,
    /// When a job was last rejected, here or elsewhere.
    rejected: Option<Time>,
    /// Jobs in thousandths that are admitted as usual before the next surplus one.
    credit: u64,
}

/// The arrivals of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Usual jobs per second, in thousandths.
    usual: u64,
    /// Jobs of the last second.
    asked: u64,
    /// Trial.
    allowed: u64,
    /// Since when it floods.
    flooding: Option<Time>,
}

impl Class {
    /// Usual jobs per second.
    fn usual(&self) -> u64 {
        (self.usual / MILLI).max(MIN_USUAL)
    }

    /// Jobs of the last second in percent of the usual ones.
    fn growth(&self) -> u64 {
        self.asked * 100 / self.usual()
    }

    /// Jobs that are not surplus, in thousandths of the arriving ones.
    fn kept(&self) -> u64 {
        self.flooding.map_or(MILLI, |_| (self.allowed * MILLI / self.asked.max(1)).min(MILLI))
    }
}

impl Shares {
    pub(super) fn new(percent: u64, way: u8) -> Self {
        Self {
            percent,
            way,
            lengths: [Class::default(); 3],
            widths: [Class::default(); 3],
            began: None,
            sampled: Time(0),
            observed: Span::ZERO,
            rejected: None,
            credit: 0,
        }
    }

    /// Updates the usual rates with the site's jobs of the last second.
    pub(super) fn observe(&mut self, now: Time, demand: &Demand) {
        if self.percent == 0 {
            return;
        }
        if demand.lengths.iter().any(|count| count.refused > 0) {
            self.rejected = Some(now);
        }
        // The first second is not counted whole.
        let began = *self.began.get_or_insert(now);
        let stands_for = match now.since(self.sampled.max(began + SAMPLE)) {
            pause if pause < SAMPLE_INTERVAL => Span::ZERO,
            pause => pause.min(SAMPLE),
        };
        if stands_for > Span::ZERO {
            self.sampled = now;
            self.observed = (self.observed + stands_for).min(MEMORY);
        }
        let is_known = self.observed >= MIN_OBSERVED;
        let observed = self.observed.0.max(1);
        let counts = demand.lengths.iter().chain(&demand.widths);
        for (class, count) in self.lengths.iter_mut().chain(&mut self.widths).zip(counts) {
            class.asked = u64::from(count.asked);
            let ended = class.flooding.is_some_and(|since| now.since(since) >= MEMORY);
            if ended {
                class.usual = class.asked * MILLI;
                class.flooding = None;
            } else if class.flooding.is_none() {
                let (old, new) = (class.usual, class.asked * MILLI);
                class.usual = (old * (observed - stands_for.0) + new * stands_for.0) / observed;
            }
        }
        let least = self.least_growth();
        let needed = self.percent.max(least * LEAD_PERCENT / 100);
        for class in self.lengths.iter_mut().chain(&mut self.widths) {
            let floods = is_known && class.growth() > needed;
            class.flooding = floods.then(|| class.flooding.unwrap_or(now));
        }
        let levels = [level(&self.lengths), level(&self.widths)];
        let (percent, way) = (self.percent, self.way);
        for (classes, level) in [&mut self.lengths, &mut self.widths].into_iter().zip(levels) {
            for class in classes {
                class.allowed = match way {
                    0 => class.usual() * percent / 100,
                    1 => class.usual(),
                    2 => class.usual() * (2 * percent).saturating_sub(class.growth()).max(100) / 100,
                    _ => level.max(MIN_USUAL),
                };
            }
        }
    }

    /// The growth of the class that grew least.
    fn least_growth(&self) -> u64 {
        let classes = self.lengths.iter().chain(&self.widths);
        let compared = classes.filter(|class| class.usual >= MIN_COMPARED * MILLI);
        compared.map(|class| class.asked * 100 * MILLI / class.usual).min().unwrap_or_default()
    }

    /// Jobs of a group that are not surplus, in thousandths; `None` if it does not flood.
    fn kept(&self, group: Group) -> Option<u64> {
        let classes = [self.lengths[group.length as usize], self.widths[group.width as usize]];
        let flooding = classes.iter().filter(|class| class.flooding.is_some());
        flooding.map(|class| class.kept()).min()
    }

    /// Decides whether an arriving job is surplus; `None` if its group does not flood.
    pub(super) fn classify(&mut self, group: Group) -> Option<Flood> {
        self.credit += self.kept(group)?;
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

    /// Surplus jobs of a group for each thousand others.
    pub(super) fn surplus_ratio(&self, group: Group) -> Option<u64> {
        self.kept(group).map(|kept| (MILLI - kept) * MILLI / kept.max(1))
    }

    /// The demand without surplus jobs, for comparing the rejection rates of groups.
    pub(super) fn without_surplus(&self, demand: &Demand) -> Demand {
        let classes = self.lengths.iter().chain(&self.widths);
        if classes.filter(|class| class.flooding.is_some()).count() == 0 {
            return *demand;
        }
        let regular = |class: &Class, count: Count| {
            let asked = match class.flooding {
                Some(_) => class.allowed.min(class.asked),
                None => (class.usual / MILLI).min(class.asked),
            };
            Count { asked: asked as u32, ..count }
        };
        Demand {
            lengths: array::from_fn(|n| regular(&self.lengths[n], demand.lengths[n])),
            widths: array::from_fn(|n| regular(&self.widths[n], demand.widths[n])),
            ..*demand
        }
    }
}

/// Trial.
fn level(classes: &[Class; 3]) -> u64 {
    let mut left: u64 = classes.iter().map(|class| class.usual / MILLI).sum();
    let mut asked: Vec<u64> = classes.iter().map(|class| class.asked).collect();
    asked.sort_unstable();
    for (index, asked) in asked.iter().enumerate() {
        let equal = left / (3 - index as u64);
        if *asked >= equal {
            return equal;
        }
        left -= asked;
    }
    u64::MAX
}
