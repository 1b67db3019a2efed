//! Detects dead connections whose endpoint is alive, and renews the leases of tasks on workers.
//!
//! A request without a byte for a while may belong to a long task or be on a dead connection, so
//! the state of the attempt is requested from the endpoint over another connection. As long as the
//! attempt runs, the request waits. If the attempt has ended or never arrived, its response or its
//! request counts as lost once the connection has stayed idle for the same time again, within which
//! data still in flight would have arrived. If the endpoint reports that the attempt never runs, it
//! counts as refused, unless it was running before. A failed state request proves nothing: an
//! endpoint that shuts down accepts no connection but still finishes its running tasks.

use crate::{
    Call, Stop,
    classify::Verdict,
    http::{
        Meter,
        client::{Inner, duration},
        control::State,
        host::Host,
    },
    protocol::Token,
};
use site::service::Place;
use smol::Timer;
use std::time::Duration;

/// Factor by which the wait between state requests grows while the attempt runs.
const BACKOFF_FACTOR: u32 = 2;
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Result of a health request about an attempt.
enum ProbeResult {
    /// The endpoint did not respond.
    NoResponse,
    /// The endpoint responded but does not report states of attempts.
    Alive,
    /// The endpoint reported the state of the attempt.
    State(State),
}

/// Returns only when the request can no longer get a response on its connection.
pub(crate) async fn run(inner: &Inner, host: &Host, call: &Call, meter: &Meter) -> Verdict {
    match call.place {
        Place::Executors => executor(inner, host, call, meter).await,
        Place::Workers => worker(inner, host, call, meter).await,
    }
}

async fn executor(inner: &Inner, host: &Host, call: &Call, meter: &Meter) -> Verdict {
    let silence = duration(inner.options.silence);
    let mut wait = silence;
    let mut has_run = false;
    loop {
        wait_until_idle(meter, wait).await;
        let probed = probe(inner, host, call).await;
        has_run |= matches!(probed, ProbeResult::State(State::Running));
        match probed {
            ProbeResult::State(State::Running) | ProbeResult::NoResponse => {
                wait = wait.saturating_mul(BACKOFF_FACTOR)
            }
            ProbeResult::State(state) if is_still_idle(meter, silence).await => {
                return match state {
                    State::Never => never(has_run),
                    State::Running | State::Ended | State::Unknown => Verdict::DeadConnection,
                };
            }
            ProbeResult::Alive if meter.silence() >= duration(inner.options.give_up) => {
                return Verdict::DeadConnection;
            }
            ProbeResult::Alive => wait = duration(inner.options.give_up),
            ProbeResult::State(_) => wait = silence,
        }
    }
}

async fn probe(inner: &Inner, host: &Host, call: &Call) -> ProbeResult {
    let token = inner.token(call.attempt);
    match inner.health(host.address, Some(token)).await {
        Ok(response) if !response.is_success() => ProbeResult::NoResponse,
        Ok(response) => {
            let state = response.state.as_deref().and_then(State::parse);
            state.map_or(ProbeResult::Alive, ProbeResult::State)
        }
        Err(_) => ProbeResult::NoResponse,
    }
}

async fn worker(inner: &Inner, host: &Host, call: &Call, meter: &Meter) -> Verdict {
    let silence = duration(inner.options.silence);
    let interval = duration(inner.options.lease) / RENEWALS_PER_LEASE;
    let token = inner.token(call.attempt);
    let mut has_run = false;
    loop {
        Timer::after(interval).await;
        if !meter.sent() {
            continue;
        }
        let state = match inner.renew(host, token).await {
            Some(State::Running) => {
                has_run = true;
                continue;
            }
            None => continue,
            Some(state) => state,
        };
        if !is_still_idle(meter, silence).await {
            continue;
        }
        match settle(inner, host, token, state).await {
            Some(Verdict::NeverRuns) => return never(has_run),
            Some(Verdict::DeadConnection) => return Verdict::DeadConnection,
            None => {}
        }
    }
}

/// Returns the verdict for an attempt that never runs according to its endpoint. If it was running
/// before, the process that answers is another one and can't know what ran.
fn never(has_run: bool) -> Verdict {
    if has_run { Verdict::DeadConnection } else { Verdict::NeverRuns }
}

/// Returns the verdict for an attempt that does not run on its worker; `None` if it is not known.
async fn settle(inner: &Inner, host: &Host, token: Token, state: State) -> Option<Verdict> {
    match state {
        State::Running => None,
        State::Ended => Some(Verdict::DeadConnection),
        State::Never => Some(Verdict::NeverRuns),
        // The worker remembers the stop, so that a request still in flight can't start the attempt.
        State::Unknown => match inner.stop(host, token).await {
            Stop::NeverRuns => Some(Verdict::NeverRuns),
            Stop::Stopped | Stop::Ended => Some(Verdict::DeadConnection),
            Stop::Unknown => None,
        },
    }
}

/// Waits until the request was sent and no byte was transferred for `limit`.
async fn wait_until_idle(meter: &Meter, limit: Duration) {
    loop {
        let left = limit.saturating_sub(meter.silence());
        match (meter.sent(), left.is_zero()) {
            (true, true) => return,
            (true, false) => Timer::after(left).await,
            (false, _) => Timer::after(limit).await,
        };
    }
}

/// Returns whether no byte is transferred within `limit` from now.
async fn is_still_idle(meter: &Meter, limit: Duration) -> bool {
    let before = meter.silence();
    Timer::after(limit).await;
    meter.silence() >= before + limit
}
