//! When callers that were refused should come back.
//!
//! Answers bursts whose refused callers come again. Nothing tells how long an excess of work goes on;
//! the best guess is for as long again as it has lasted. Callers are spread over that time, so that
//! they do not come back together.

use rustc_hash::FxHasher;
use site::unit::{Span, Time};
use std::hash::Hasher;

/// The least that callers are asked to wait. The unit of the answer is a second.
const LEAST: Span = Span::from_secs(1);

/// The most: a day's peaks last a few seconds, and whoever waits for longer has given up.
const MOST: Span = Span::from_secs(8);

/// Without a refusal for this long an excess is over.
const QUIET: Span = Span::from_secs(1);

/// The present excess of work, as far as refusals show it.
#[derive(Debug, Default)]
pub(crate) struct Excess {
    /// The first and the latest refusal of it.
    refusals: Option<(Time, Time)>,
}

impl Excess {
    /// Notes that a job was refused; returns after what time its caller should come back.
    pub(crate) fn refuse(&mut self, now: Time, job: &str) -> Span {
        let present = self.refusals.filter(|(_, latest)| now.since(*latest) <= QUIET);
        let since = present.map_or(now, |(first, _)| first);
        self.refusals = Some((since, now));
        let lasts = now.since(since).clamp(LEAST, MOST);
        LEAST + Span(hash(job) % lasts.0)
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
