//! Outcomes of attempts at endpoints, and the resulting states of endpoints.

use site::unit::{Span, Time};

/// The outcome of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The attempt ran and was answered.
    Done {
        /// Time from the request to the answer.
        elapsed: Span,
        /// The expected time. Zero if unknown.
        expected: Span,
    },
    /// The attempt ran and failed.
    Failed,
    /// The endpoint refused the attempt and did not run it.
    Refused,
    /// No byte reached the endpoint: the connection was refused.
    NotSent,
    /// The connection or the endpoint's lease ended before the answer.
    Lost,
    /// No answer arrived before the time limit.
    TimedOut,
    /// The attempt takes longer than it should and is still in flight. Reported at most once per
    /// attempt, before its end, with the attempt's start time; it does not release the grant. The
    /// attempt's end replaces it. An attempt that is stopped because of this report is released
    /// rather than observed as [`TimedOut`](Self::TimedOut), so that it counts as straggling only.
    Straggling,
}

/// Identifies what several attempts have in common and what may itself be the cause of their
/// failures: their job, or their firm and service. The caller assigns the numbers.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cause(pub u64);

/// What is known of an attempt besides its outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempt {
    /// When it started. If `None`, a failed attempt is assumed to have failed immediately, and a
    /// successful one to have started its elapsed time ago.
    pub started: Option<Time>,
    /// What it has in common with other attempts that may fail. `None` if unknown.
    pub cause: Option<Cause>,
}

/// Health state of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It takes work without restriction.
    Open,
    /// Its latest attempts failed; it takes one attempt at a time.
    Suspect,
    /// It takes no work.
    Isolated {
        /// When probing starts.
        until: Time,
    },
    /// It takes one attempt at a time, to test whether it works again.
    Probing,
}

/// A change of an endpoint's health that placement must follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// No change that affects placement.
    None,
    /// The endpoint takes no work.
    Isolate {
        /// When probing starts.
        until: Time,
    },
    /// The endpoint takes one attempt at a time.
    Probe,
    /// The endpoint takes work without restriction.
    Restore,
    /// The endpoint takes this many times as long as the others; 1 when it is no longer slow.
    Slow(f32),
    /// The endpoint became doubtful. It takes work as before.
    Doubt,
}
