//! When refused callers are asked to come back.

mod common;

use common::fixture::{home, job};
use runs::{Action, Entry, Event, Job, Options, job::Answer};
use site::{
    id::WaiterId,
    unit::{Span, Time},
};

const STEP: Span = Span::from_millis(20);

/// Hands a job in every 20 ms for `seconds` at an entry without executors. Returns when each was
/// refused, and after what time its caller should come back.
fn refusals(seconds: u64) -> Vec<(Time, Span)> {
    let mut entry = Entry::new(home("entry-1"), Options::default(), Time(0));
    let mut refusals = Vec::new();
    for step in 1..seconds * 50 {
        let now = Time(step * STEP.0);
        let name = format!("{step:016x}").into();
        let (due, give_up) = (now + Span::from_millis(100), now + Span::from_secs(9));
        let job = Job { name, due, give_up, ..job(now) };
        let mut out = Vec::new();
        entry.handle(now, Event::Submit { waiter: WaiterId(step), job }, &mut out);
        entry.handle(now, Event::Tick, &mut out);
        for action in out {
            if let Action::Answer { answer: Answer::Refused { retry_after }, .. } = action {
                refusals.push((now, retry_after));
            }
        }
    }
    refusals
}

#[test]
fn callers_are_spread_over_as_long_again_as_the_excess_has_lasted() {
    let refusals = refusals(12);
    assert!(refusals.len() > 500, "{}", refusals.len());
    let began = refusals[0].0;
    for (now, after) in &refusals {
        let lasted = now.since(began).clamp(Span::from_secs(1), Span::from_secs(8));
        assert!(*after >= Span::from_secs(1), "{after}");
        assert!(after.0 < Span::from_secs(1).0 + lasted.0, "{after} when it has lasted {lasted}");
    }
    // Of those refused in the last two seconds, no second of the next eight gets over a quarter.
    let late: Vec<_> = refusals.iter().filter(|(now, _)| now.0 > 10_000_000).collect();
    for second in 1..9 {
        let back = late.iter().filter(|(_, after)| after.0 / 1_000_000 == second).count();
        assert!(back * 4 < late.len(), "{back} of {} come back in second {second}", late.len());
    }
}
