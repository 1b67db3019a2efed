//! Timeouts of the HTTP transport.

use serde::{Deserialize, Serialize};
use site::unit::Span;

/// Timeouts of the HTTP transport. The defaults are for tasks of 50 ms to a few seconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Timeout for opening a connection.
    pub connect_timeout: Span,
    /// Timeout of a health request, a lease renewal, a stop or a usage request, including the time
    /// to connect.
    pub control_timeout: Span,
    /// Time after which an idle connection is closed. Should be shorter than the endpoints' own
    /// idle timeout: a request is lost if the endpoint closes the connection while it is in flight.
    pub idle_limit: Span,
    /// Time without a byte after which the connection of a request is checked.
    pub silence: Span,
    /// Time without a byte after which a request counts as lost if its endpoint responds to health
    /// requests but does not report the state of the attempt. Should be longer than any task.
    pub give_up: Span,
    /// Duration of the lease on a worker's task, which is renewed after each third of it.
    pub lease: Span,
    /// Time without traffic after which the operating system sends TCP keep-alive probes.
    pub keep_alive: Span,
    /// Time after which the operating system closes a connection with unacknowledged bytes
    /// (`TCP_USER_TIMEOUT`).
    pub acknowledge: Span,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            connect_timeout: Span::from_millis(500),
            control_timeout: Span::from_secs(1),
            idle_limit: Span::from_secs(20),
            silence: Span::from_secs(2),
            give_up: Span::from_secs(15),
            lease: Span::from_secs(6),
            keep_alive: Span::from_secs(5),
            acknowledge: Span::from_secs(4),
        }
    }
}
