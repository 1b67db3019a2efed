//! Decides when callers of rejected jobs should retry.
//!
//! Guards against bursts whose rejected callers retry together. The duration of an overload can't
//! be known; the best guess is that it lasts as long again as it has lasted so far. Retries are
//! spread over that time.

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
    pub(crate) fn record_rejection(&mut self, now: Time, job: &str) -> Span {
        let current = self.rejections.filter(|(_, latest)| now.since(*latest) <= OVERLOAD_END);
        let since = current.map_or(now, |(first, _)| first);
        self.rejections = Some((since, now));
        let spread = now.since(since).clamp(MIN_DELAY, MAX_SPREAD);
        MIN_DELAY + Span(hash(job) % spread.0)
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
