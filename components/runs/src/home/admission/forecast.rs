//! The limit of a job's wait by its own slack, with feedback between groups.
//!
//! Guards against one kind of job being rejected for what others ask for. Jobs that can wait longer
//! have a higher limit, so that they absorb a short excess. When the jobs of one class are rejected
//! more often than those of another, the limit of the other shrinks: first to that of the most
//! urgent jobs, then to the minimum, so that a lasting excess is shared.

use crate::demand::{Count, Demand, Group};
use site::unit::Span;

/// Percentage of its own slack that a job may spend waiting. Less than for the common limit: more
/// urgent jobs that arrive later are served before it.
const OWN_PERCENT: u64 = 30;

/// Number of jobs with the mean rejection rate that are added to each class, so that a few
/// rejections in a small class do not count as a difference between classes.
const PRIOR_JOBS: u64 = 60;

/// Difference in rejection rates, in thousandths, that is left uncorrected.
const TOLERANCE: u64 = 5;

/// Difference beyond the tolerance, in thousandths, over which the limit shrinks to the common one;
/// over the same again it shrinks to zero.
const SHRINK_RANGE: u64 = 10;

/// The longest wait at which a job of a group is admitted. `common` is the limit of the most urgent
/// jobs.
pub(super) fn limit(group: Group, slack: Span, common: Span, demand: &Demand) -> Span {
    let high = Span(slack.0.saturating_mul(OWN_PERCENT) / 100).max(common);
    let excess = advantage(group, demand).saturating_sub(TOLERANCE);
    match excess.checked_sub(SHRINK_RANGE) {
        None => Span(common.0 + (high - common).0 * (SHRINK_RANGE - excess) / SHRINK_RANGE),
        Some(rest) => Span(common.0 * SHRINK_RANGE.saturating_sub(rest) / SHRINK_RANGE),
    }
}

/// Whether the groups of a site have enough jobs in a second for their rejection rates to be compared:
/// as many as the prior adds to all groups. With fewer, the feedback would hardly act, and the larger
/// limits would only make jobs late.
pub(super) fn is_comparable(demand: &Demand) -> bool {
    let all: Count = demand.lengths.into_iter().sum();
    let groups = (demand.lengths.len() * demand.widths.len()) as u64;
    u64::from(all.asked) >= PRIOR_JOBS * groups
}

/// Rejected jobs of a group for each thousand admitted ones in the last second.
pub(super) fn refusal_ratio(group: Group, demand: &Demand) -> u64 {
    let ratio = |count: &Count| {
        let refused = u64::from(count.refused) * 1_000;
        let admitted = u64::from(count.asked.saturating_sub(count.refused));
        refused / admitted.max(1)
    };
    ratio(&demand.lengths[group.length as usize]).max(ratio(&demand.widths[group.width as usize]))
}

/// By how many thousandths jobs of a group are rejected less often than those of the class with the
/// highest rejection rate.
fn advantage(group: Group, demand: &Demand) -> u64 {
    let all: Count = demand.lengths.into_iter().sum();
    let mean = thousandths(u64::from(all.refused), u64::from(all.asked));
    let rate = |count: &Count| {
        let refused = u64::from(count.refused) * 1_000 + PRIOR_JOBS * mean;
        refused / (u64::from(count.asked) + PRIOR_JOBS)
    };
    // The prior must not hide that a small class is itself rejected.
    let observed = |count: &Count| thousandths(u64::from(count.refused), u64::from(count.asked));
    let own = [&demand.lengths[group.length as usize], &demand.widths[group.width as usize]]
        .into_iter()
        .map(|count| rate(count).max(observed(count)))
        .max()
        .unwrap_or_default();
    let most = demand.lengths.iter().chain(&demand.widths).map(rate).max().unwrap_or_default();
    most.saturating_sub(own)
}

fn thousandths(part: u64, whole: u64) -> u64 {
    (part * 1_000).checked_div(whole).unwrap_or_default()
}
