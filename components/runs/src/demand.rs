//! What callers ask for, by group of jobs, and how urgent the pending work is.

use crate::{Job, load::Load};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use site::unit::Span;
use std::{array, iter::Sum};

/// Upper bounds of [`Length::Short`] and [`Length::Medium`]. They divide 50 ms to a second, the
/// tasks that the limits suit, into equal ratios.
const LENGTH_BOUNDS: [Span; 2] = [Span::from_millis(136), Span::from_millis(368)];

/// Upper bounds of [`Width::Narrow`] and [`Width::Middle`], in tasks.
const WIDTH_BOUNDS: [u16; 2] = [2, 10];

/// Lower bounds of the classes of pending work that is served late, as times until its latest
/// start. Tasks of 50 ms to a second have 70 to 260 ms on arrival if they may take 1.6 times as
/// long and 60 ms.
const LATER_BOUNDS: [Span; 3] =
    [Span::from_millis(40), Span::from_millis(80), Span::from_millis(160)];

/// Upper bound of the last class, for a job in it: its work is assumed to be spread evenly.
const LATER_END: Span = Span::from_millis(320);

/// Class of a job by the estimate of its tasks.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{}", self.as_str())]
pub enum Length {
    /// Up to 136 ms.
    Short,
    /// Up to 368 ms.
    Medium,
    /// Longer.
    Long,
}

/// Class of a job by its number of tasks.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{}", self.as_str())]
pub enum Width {
    /// One or two tasks.
    Narrow,
    /// Three to ten tasks.
    Middle,
    /// More tasks.
    Wide,
}

/// The group of a job. Groups compete for scarce capacity.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{length}-{width}")]
pub struct Group {
    /// Class by the estimate of a task.
    pub length: Length,
    /// Class by the number of tasks.
    pub width: Width,
}

impl Length {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Length::Short => "short",
            Length::Medium => "medium",
            Length::Long => "long",
        }
    }
}

impl Width {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Width::Narrow => "narrow",
            Width::Middle => "middle",
            Width::Wide => "wide",
        }
    }
}

impl Group {
    /// The group of a job.
    pub fn of(job: &Job) -> Self {
        let length = match job.estimate {
            estimate if estimate <= LENGTH_BOUNDS[0] => Length::Short,
            estimate if estimate <= LENGTH_BOUNDS[1] => Length::Medium,
            _ => Length::Long,
        };
        let width = match job.tasks {
            tasks if tasks <= WIDTH_BOUNDS[0] => Width::Narrow,
            tasks if tasks <= WIDTH_BOUNDS[1] => Width::Middle,
            _ => Width::Wide,
        };
        Self { length, width }
    }
}

/// The jobs that callers asked an entry for in the last second, and its pending work by urgency.
/// All numbers add up over entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Jobs by [`Length`].
    pub lengths: [Count; 3],
    /// The same jobs by [`Width`].
    pub widths: [Count; 3],
    /// Thousandths of a core that pending tasks need, by time until the latest start: from 40, 80
    /// and 160 ms. More urgent work is the rest of [`Load::pending`].
    pub later: [u64; 3],
}

/// Jobs of a class in the last second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Jobs that arrived.
    pub asked: u32,
    /// Jobs that were rejected for lack of room.
    pub refused: u32,
}

impl Count {
    fn part(self, numerator: u64, denominator: u64) -> Self {
        let part = |count: u32| (u64::from(count) * numerator / denominator.max(1)) as u32;
        Self { asked: part(self.asked), refused: part(self.refused) }
    }
}

impl Sum for Count {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Count::default(), |sum, count| Count {
            asked: sum.asked.saturating_add(count.asked),
            refused: sum.refused.saturating_add(count.refused),
        })
    }
}

impl Demand {
    /// Counts jobs of a group.
    pub(crate) fn add(&mut self, group: Group, count: Count) {
        let classes =
            [&mut self.lengths[group.length as usize], &mut self.widths[group.width as usize]];
        for class in classes {
            *class = [*class, count].into_iter().sum();
        }
    }

    /// The part of the jobs that a fraction stands for; no pending work.
    pub(crate) fn part(&self, numerator: u64, denominator: u64) -> Self {
        let part = |count: Count| count.part(numerator, denominator);
        Self { lengths: self.lengths.map(part), widths: self.widths.map(part), later: [0; 3] }
    }

    /// Adds pending work with this time until its latest start.
    pub(crate) fn add_pending(&mut self, slack: Span, cores: u64) {
        if let Some(class) = LATER_BOUNDS.iter().rposition(|bound| slack >= *bound) {
            self.later[class] = self.later[class].saturating_add(cores);
        }
    }

    /// The pending work in `load` that is served after a job with this slack. Work of the job's own
    /// class counts in part, as if its latest starts were spread evenly.
    pub fn behind(&self, slack: Span, load: &Load) -> u64 {
        let ends = LATER_BOUNDS.iter().skip(1).chain([&LATER_END]);
        let classes = LATER_BOUNDS.iter().zip(ends).zip(self.later);
        let behind = classes.map(|((from, to), cores)| {
            let class = (*to - *from).0;
            cores.saturating_mul((*to - slack).0.min(class)) / class
        });
        behind.fold(0, u64::saturating_add).min(load.pending)
    }
}

impl Sum for Demand {
    fn sum<I: Iterator<Item = Self>>(demands: I) -> Self {
        demands.fold(Demand::default(), |sum, one| Demand {
            lengths: array::from_fn(|n| [sum.lengths[n], one.lengths[n]].into_iter().sum()),
            widths: array::from_fn(|n| [sum.widths[n], one.widths[n]].into_iter().sum()),
            later: array::from_fn(|n| sum.later[n].saturating_add(one.later[n])),
        })
    }
}
