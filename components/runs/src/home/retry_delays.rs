//! Decides when callers of rejected jobs should retry.
//!
//! Guards against bursts whose rejected callers retry together. If the load stays the same, those
//! that were rejected so far need as much room again as was given to the jobs of their group in the
//! meantime, multiplied by the ratio of rejected to admitted ones. Retries are spread over the time
//! in which that room becomes free, but not over more than the overload has lasted: the best guess
//! is that it lasts as long again.

use rustc_hash::FxHasher;
use site::unit::{Span, Time};
use std::hash::Hasher;

/// Minimum delay. The unit of the header `Retry-After` is a second, rounded up: callers nearly
/// always see 2 s at the start of an overload, and up to 9 s later.
const MIN_DELAY: Span = Span::from_secs(1);

/// Maximum spread: a day's peaks last a few seconds, and callers that have waited longer have given
/// up.
const MAX_SPREAD: Span = Span::from_secs(8);

/// An overload is over after this long without a rejection.
const OVERLOAD_END: Span = Span::from_secs(1);

/// The current overload, as rejections show it.
#[derive(Debug, Default)]
pub(crate) struct RetryDelays {
    /// Times of its first and latest rejection.
    rejections: Option<(Time, Time)>,
}

impl RetryDelays {
    /// Records the rejection of a job; returns the delay after which its caller should retry.
    /// `ratio` is the number of rejected jobs of its group for each thousand admitted ones.
    pub(crate) fn record_rejection(&mut self, now: Time, job: &str, ratio: u64) -> Span {
        let current = self.rejections.filter(|(_, latest)| now.since(*latest) <= OVERLOAD_END);
        let since = current.map_or(now, |(first, _)| first);
        self.rejections = Some((since, now));
        let lasted = now.since(since);
        let needed = Span(lasted.0.saturating_mul(ratio.min(1_000)) / 1_000);
        let spread = needed.clamp(MIN_DELAY, MAX_SPREAD);
        MIN_DELAY + Span(hash(job) % spread.0)
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
