//! When callers of rejected jobs are asked to retry.

mod common;

use common::fixture::{home, job};
use runs::{Action, Entry, Event, Job, Options, job::Answer};
use site::{
    id::WaiterId,
    unit::{Span, Time},
};

const TICK_INTERVAL: Span = Span::from_millis(20);

/// Submits a job every 20 ms for `seconds` to an entry without executors. Returns when each was
/// rejected and the delay after which its caller should retry.
fn rejections(seconds: u64) -> Vec<(Time, Span)> {
    let mut entry = Entry::new(home("entry-1"), Options::default(), Time(0));
    let mut rejections = Vec::new();
    for step in 1..seconds * 50 {
        let now = Time(step * TICK_INTERVAL.0);
        let name = format!("{step:016x}").into();
        let (due, give_up) = (now + Span::from_millis(100), now + Span::from_secs(9));
        let job = Job { name, due, give_up, ..job(now) };
        let mut out = Vec::new();
        entry.handle(now, Event::Submit { waiter: WaiterId(step), job }, &mut out);
        entry.handle(now, Event::Tick, &mut out);
        for action in out {
            if let Action::Answer { answer: Answer::Rejected { retry_after }, .. } = action {
                rejections.push((now, retry_after));
            }
        }
    }
    rejections
}

#[test]
fn retries_are_spread_over_the_duration_of_the_overload() {
    let rejections = rejections(12);
    assert!(rejections.len() > 500, "{}", rejections.len());
    let began = rejections[0].0;
    for (now, after) in &rejections {
        let lasted = now.since(began).clamp(Span::from_secs(1), Span::from_secs(8));
        assert!(*after >= Span::from_secs(1), "{after}");
        assert!(after.0 < Span::from_secs(1).0 + lasted.0, "{after} when it has lasted {lasted}");
    }
    // Of those rejected in the last two seconds, no second of the next eight gets more than a
    // quarter.
    let late: Vec<_> = rejections.iter().filter(|(now, _)| now.0 > 10_000_000).collect();
    for second in 1..9 {
        let back = late.iter().filter(|(_, after)| after.0 / 1_000_000 == second).count();
        assert!(back * 4 < late.len(), "{back} of {} come back in second {second}", late.len());
    }
}
