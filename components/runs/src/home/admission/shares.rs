//! The limit of a job's wait by its group's share of the capacity.
//!
//! The more of the admitted work belongs to a class of jobs by length, the smaller the limit of its
//! jobs, so that the largest is rejected first until the others have as much (max-min shares).
//! Shares that are not used are lent, since limits apply only while there is no room.

use crate::demand::{Demand, Group};
use site::unit::Span;

/// Percentage of its slack that a job of a small class may spend waiting.
const MAX_PERCENT: u64 = 50;

/// The same for the class with the most admitted work.
const MIN_PERCENT: u64 = 15;

/// Work of a class relative to the largest one, in thousandths, above which its limit is lower.
const KNEE: u64 = 500;

/// The longest wait at which a job of a group is admitted.
pub(super) fn limit(group: Group, slack: Span, demand: &Demand) -> Span {
    let most = demand.lengths.iter().map(|count| count.admitted).max().unwrap_or_default().max(1);
    let used = demand.lengths[group.length as usize].admitted.saturating_mul(1_000) / most;
    let excess = used.saturating_sub(KNEE);
    let percent = MAX_PERCENT - (MAX_PERCENT - MIN_PERCENT) * excess / (1_000 - KNEE);
    Span(slack.0.saturating_mul(percent) / 100)
}
