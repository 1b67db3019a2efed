//! Classifies the end of a call: what is known about the attempt. All [`Reply`] values are created
//! here.

use crate::{
    Loss, Refusal, Reply, Unsent,
    http::{Meter, Response},
    protocol::{Token, outcome, refusal},
};
use site::submission::Output;
use std::io::{self, ErrorKind};
use trillium_client::Error;

/// Status 429: the endpoint has no free capacity.
const TOO_MANY_REQUESTS: u16 = 429;
/// Status 503: the endpoint has no free capacity, or is shutting down.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Status 409: the worker has received the attempt before.
const CONFLICT: u16 = 409;
/// Status 410: the worker has stopped the task.
const GONE: u16 = 410;
/// The smallest status that means that the task failed.
const MIN_FAILURE_STATUS: u16 = 500;

/// Why a request has no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    Unsent(Unsent),
    /// Part of the request was sent.
    Lost(Loss),
    /// Part of the request was sent, and the operating system received no packet from the peer. It
    /// is not known whether the endpoint is dead or only this connection.
    Dead,
}

/// Checks that a response that names an attempt names this one.
pub(crate) fn attempt(response: &Response, token: Token) -> Result<(), Failure> {
    match response.attempt.as_deref().map(str::parse) {
        None => Ok(()),
        Some(Ok(named)) if token == named => Ok(()),
        Some(_) => Err(Failure::Lost(Loss::Mismatch)),
    }
}

/// Classifies a complete response.
pub(crate) fn response(response: Response) -> Reply {
    match (response.status, response.outcome.as_deref()) {
        (TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE, Some(outcome::NOT_RUN)) => refused(&response),
        (CONFLICT, Some(outcome::REPEATED)) => Reply::Lost(Loss::Repeated),
        (GONE, Some(outcome::STOPPED)) => Reply::Lost(Loss::Stopped),
        (status, _) if status >= MIN_FAILURE_STATUS => Reply::Failed(output(response)),
        _ => Reply::Done(output(response)),
    }
}

fn refused(response: &Response) -> Reply {
    let reason = match response.refusal.as_deref() {
        Some(refusal::BUSY) => Refusal::Busy,
        Some(refusal::LEAVING) => Refusal::Leaving,
        _ => Refusal::Other,
    };
    Reply::Refused { reason, retry_after: response.retry_after }
}

fn output(response: Response) -> Output {
    Output { status: response.status, content_type: response.content_type, body: response.body }
}

/// Classifies a failed connect. No byte was sent.
pub(crate) fn connect(error: &io::Error) -> Unsent {
    match error.kind() {
        ErrorKind::ConnectionRefused => Unsent::ConnectRefused,
        ErrorKind::TimedOut => Unsent::ConnectTimedOut,
        _ => Unsent::ConnectFailed,
    }
}

/// Classifies an error before the end of the response head.
pub(crate) fn head(error: &Error, meter: &Meter) -> Failure {
    match error {
        Error::MalformedHeader(_) | Error::UnexpectedUriFormat if !meter.sent() => {
            Failure::Unsent(Unsent::Invalid)
        }
        _ if !meter.sent() => Failure::Unsent(Unsent::Closed),
        Error::Io(error) if is_dead(error) => Failure::Dead,
        Error::Io(error) if error.kind() == ErrorKind::InvalidData => {
            Failure::Lost(Loss::Malformed)
        }
        Error::Io(_) | Error::Closed => Failure::Lost(Loss::Closed),
        Error::PartialHead => Failure::Lost(Loss::Truncated),
        _ => Failure::Lost(Loss::Malformed),
    }
}

/// Classifies an error in the response body.
pub(crate) fn body(error: &io::Error) -> Failure {
    match error.kind() {
        _ if is_dead(error) => Failure::Dead,
        ErrorKind::Unsupported => Failure::Lost(Loss::TooLarge),
        ErrorKind::InvalidData => Failure::Lost(Loss::Malformed),
        _ => Failure::Lost(Loss::Truncated),
    }
}

/// Whether the operating system closed the connection because no packet arrived.
fn is_dead(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Classifies a failed request. `alive` is whether the endpoint responded to a probe after
/// [`Failure::Dead`].
pub(crate) fn failure(failure: Failure, alive: bool) -> Reply {
    match failure {
        Failure::Unsent(why) => Reply::NotSent(why),
        Failure::Lost(why) => Reply::Lost(why),
        Failure::Dead if alive => Reply::Lost(Loss::DeadConnection),
        Failure::Dead => Reply::Lost(Loss::SilentEndpoint),
    }
}

/// Classifies a timeout.
pub(crate) fn timeout(meter: &Meter) -> Reply {
    match (meter.sent(), meter.connected()) {
        (true, _) => Reply::TimedOut,
        (false, true) => Reply::NotSent(Unsent::ConnectTimedOut),
        (false, false) => Reply::NotSent(Unsent::NoConnection),
    }
}

/// Classifies a request on an unresponsive connection whose endpoint responds on other connections.
pub(crate) fn silence(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::DeadConnection => Reply::Lost(Loss::SilentConnection),
        Verdict::NeverRuns => Reply::Refused { reason: Refusal::Other, retry_after: None },
    }
}

/// Result for a request on an unresponsive connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The endpoint is alive, but this connection is dead.
    DeadConnection,
    /// The endpoint reports that the attempt did not start and never will.
    NeverRuns,
}
