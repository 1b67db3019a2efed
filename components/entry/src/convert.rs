//! Converts reports of the transport into events of the decision logic.

use dispatch::event;
use endpoint::{Loss, Refusal, Reply, Report};

/// Converts the report of an attempt.
pub fn report(report: Report) -> event::Report {
    event::Report {
        attempt: report.attempt,
        reply: reply(report.reply),
        leaving: report.leaving,
        elapsed: report.elapsed,
    }
}

fn reply(reply: Reply) -> event::Reply {
    match reply {
        Reply::Done(output) => event::Reply::Done(output),
        Reply::Failed(output) => event::Reply::Failed(output),
        Reply::Refused { reason, .. } => event::Reply::Refused(refusal(reason)),
        Reply::NotSent(_) => event::Reply::NotSent,
        Reply::Lost(loss) => lost(loss),
        Reply::TimedOut => event::Reply::TimedOut,
    }
}

/// Converts a loss: `Lost` if the attempt has ended, `Silent` if it may still run.
fn lost(loss: Loss) -> event::Reply {
    match loss {
        Loss::Closed
        | Loss::Truncated
        | Loss::TooLarge
        | Loss::SilentConnection
        | Loss::Stopped => event::Reply::Lost,
        Loss::Malformed
        | Loss::DeadConnection
        | Loss::SilentEndpoint
        | Loss::Mismatch
        | Loss::Repeated => event::Reply::Silent,
    }
}

fn refusal(refusal: Refusal) -> event::Refusal {
    match refusal {
        Refusal::Busy => event::Refusal::Busy,
        Refusal::Leaving => event::Refusal::Leaving,
        Refusal::Other => event::Refusal::Other,
    }
}
