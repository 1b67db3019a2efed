//! Classes of about equally fast executors.

use crate::speed::Factor;

/// A class spans factors up to this percentage of its smallest: less than the ratio from which kinds
/// of executors count as different, and more than the usual error of a factor.
const CLASS_PERCENT: u32 = 125;

impl Factor {
    /// The largest factor of a class with this as its smallest.
    pub(crate) fn class_limit(self) -> Factor {
        let limit = u32::from(self.0) * CLASS_PERCENT / 100;
        Factor(u16::try_from(limit).unwrap_or(u16::MAX))
    }
}

/// Executors grouped by speed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Classes {
    /// The smallest and the largest factor of each class, the fastest class first.
    bounds: Vec<(Factor, Factor)>,
}

impl Classes {
    pub(crate) fn len(&self) -> usize {
        self.bounds.len()
    }

    /// The class of a factor, from 0 for the fastest.
    pub(crate) fn index(&self, factor: Factor) -> usize {
        self.bounds.partition_point(|(smallest, _)| *smallest <= factor).saturating_sub(1)
    }

    /// The largest factor of each class, the fastest class first.
    pub(crate) fn factors(&self) -> impl Iterator<Item = Factor> {
        self.bounds.iter().map(|(_, largest)| *largest)
    }

    /// The factor of the fastest class, which is its largest.
    pub(crate) fn fastest(&self) -> Option<Factor> {
        self.factors().next()
    }

    /// The largest factor of all.
    pub(crate) fn slowest(&self) -> Option<Factor> {
        self.factors().last()
    }
}

impl FromIterator<Factor> for Classes {
    fn from_iter<I: IntoIterator<Item = Factor>>(factors: I) -> Self {
        let mut factors: Vec<_> = factors.into_iter().collect();
        factors.sort_unstable();
        let mut bounds: Vec<(Factor, Factor)> = Vec::new();
        for factor in factors {
            match bounds.last_mut() {
                Some((smallest, largest)) if factor <= smallest.class_limit() => *largest = factor,
                _ => bounds.push((factor, factor)),
            }
        }
        Self { bounds }
    }
}
