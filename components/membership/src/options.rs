//! Timeouts and bounds of a view.

use site::unit::Span;

/// Maximum number of homes that are remembered as gone.
///
/// At 600 restarts a day this covers more than two weeks.
pub const MAX_GONE: usize = 10_000;

/// Maximum number of peers that are known at one time.
pub const MAX_MEMBERS: usize = 10_000;

/// Maximum number of unknown homes for which the time of the first query is kept.
pub const MAX_QUERIED: usize = 10_000;

/// Number of entries of each other data centre that an entry exchanges heartbeats with.
pub const REMOTE_HEARTBEAT_PEERS: usize = 2;

/// Timeouts of a [`crate::View`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// A peer is unreachable after this time without a message. At least twice
    /// [`Options::interval`], so that a single lost heartbeat has no effect.
    pub suspect_after: Span,
    /// Interval between heartbeats to the same peer.
    pub interval: Span,
    /// A peer is flapping if it becomes unresponsive again within this time.
    pub flap_window: Span,
    /// Maximum time for which a flapping peer must send messages before it is listed as live
    /// again.
    pub max_hold_down: Span,
    /// An unresponsive peer that is not registered is removed after this time.
    pub forget_after: Span,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            suspect_after: Span::from_millis(1_500),
            interval: Span::from_millis(500),
            flap_window: Span::from_secs(60),
            max_hold_down: Span::from_secs(30),
            forget_after: Span::from_secs(600),
        }
    }
}
