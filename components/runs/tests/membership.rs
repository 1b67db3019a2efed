//! When an entry begins to keep executors.

mod common;

use common::fixture::{executor, home, job, needs};
use runs::{
    Action, Entry, Event, Executor, Message, Options,
    executor::{Answered, Lists, Started},
    job::{Key, Run, Task},
    message::{Ended, Report, Yield, Yielded},
};
use site::{
    id::{EndpointId, Home, Incarnation, WaiterId},
    unit::{Revision, Span, Time},
};

/// Ticks for a second; returns the tokens of the looks.
fn looks(entry: &mut Entry, from: u64) -> Vec<u64> {
    let mut out = Vec::new();
    for step in 0..50 {
        entry.handle(Time(from + step * 20_000), Event::Tick, &mut out);
    }
    let look = |action: &Action| match action {
        Action::Look(look) => Some(look.token),
        _ => None,
    };
    out.iter().filter_map(look).collect()
}

#[test]
fn nothing_is_kept_before_the_store_lists_the_entry() {
    let me = home("entry-1");
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    entry.handle(Time(0), Event::Executors(vec![executor()]), &mut out);
    assert!(looks(&mut entry, 0).is_empty(), "a look without knowing who else there is");
    let others = Event::Members { revision: Revision(40), members: vec![home("entry-2")] };
    entry.handle(Time(1_000_000), others, &mut out);
    assert!(looks(&mut entry, 1_000_000).is_empty(), "a look before anybody counts on it");
    let listed = Event::Members { revision: Revision(41), members: vec![me] };
    entry.handle(Time(2_000_000), listed, &mut out);
    let tokens = looks(&mut entry, 2_000_000);
    assert!(!tokens.is_empty());
    assert!(tokens.iter().all(|token| token >> 24 == 41), "{tokens:?}");
}

#[test]
fn an_entry_that_lapsed_goes_on() {
    let me = home("entry-1");
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    let listed = Event::Members { revision: Revision(41), members: vec![me] };
    entry.handle(Time(0), listed, &mut out);
    let lapsed = Event::Members { revision: Revision(42), members: Vec::new() };
    entry.handle(Time(10_000), lapsed, &mut out);
    entry.handle(Time(20_000), Event::Executors(vec![executor()]), &mut out);
    assert!(!looks(&mut entry, 20_000).is_empty());
}

/// Hands in what sound executors answer that run `running` for good. `fenced` looks are refused.
fn answer(
    entry: &mut Entry,
    now: Time,
    actions: Vec<Action>,
    running: &mut Vec<(EndpointId, Run)>,
    fenced: bool,
) -> Vec<Action> {
    let mut out = Vec::new();
    for action in actions {
        match action {
            Action::Look(look) => {
                let here = running.iter().filter(|(executor, _)| *executor == look.executor);
                let lists = Lists {
                    clock: now.0 / 1_000,
                    born: None,
                    running: here.map(|(_, run)| run.clone()).collect(),
                    ended: Vec::new(),
                };
                let reply = if fenced { Answered::Fenced } else { Answered::Done(lists) };
                let (executor, number) = (look.executor, look.number);
                entry.handle(now, Event::Looked { executor, number, reply }, &mut out);
            }
            Action::Start(start) => {
                let reply = Started::Running { clock: now.0 / 1_000 };
                let (executor, run) = (start.executor, start.run);
                running.push((executor, run.clone()));
                entry.handle(now, Event::Started { executor, run, reply }, &mut out);
            }
            _ => {}
        }
    }
    out
}

#[test]
fn a_run_at_a_fenced_executor_is_not_started_again_before_its_lease_is_over() {
    let me = home("entry-1");
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    let listed = Event::Members { revision: Revision(41), members: vec![me] };
    entry.handle(Time(0), listed, &mut out);
    let second = Executor { id: EndpointId::of("i-2"), name: "i-2".into(), ..executor() };
    entry.handle(Time(0), Event::Executors(vec![executor(), second]), &mut out);
    let mut started = Vec::new();
    let mut running = Vec::new();
    let mut fenced_at = None;
    for step in 0..250 {
        let now = Time(step * 10_000);
        if step == 50 {
            let submit = Event::Submit { waiter: WaiterId(1), job: job(now) };
            entry.handle(now, submit, &mut out);
        }
        if step == 60 {
            fenced_at = Some(now);
        }
        entry.handle(now, Event::Tick, &mut out);
        let actions = std::mem::take(&mut out);
        let starts = actions.iter().filter(|action| matches!(action, Action::Start(_))).count();
        started.extend(std::iter::repeat_n(now, starts));
        // From then on another entry holds both executors.
        out = answer(&mut entry, now, actions, &mut running, (60..200).contains(&step));
    }
    let fenced_at = fenced_at.expect("the fence");
    assert!(started.len() >= 2, "{started:?}");
    let wait = started[1].since(fenced_at);
    assert!(wait > Span::from_millis(714), "started again {wait} after the fence");
}

/// What an entry that claims `executor()` is told by the entry that kept it.
fn yielded(home: Home) -> Yield {
    let task = Task { job: Key { home, number: 1 }, index: 0 };
    let run = Run { job: "00000000000000aa".into(), index: 0, number: 1 };
    let running = Yielded {
        run,
        task,
        needs: needs(),
        estimate: Span::from_millis(900),
        running_for: Span::from_millis(80),
        give_up_in: Span::from_secs(9),
    };
    Yield {
        executor: executor().id,
        born: None,
        token: 41 << 24,
        acknowledged: 0,
        runs: vec![running],
    }
}

/// The first end that the entry tells a home of.
fn told_end(actions: &[Action]) -> Option<Ended> {
    actions.iter().find_map(|action| match action {
        Action::Send { message: Message::Ended(ended), .. } => ended.first().copied(),
        _ => None,
    })
}

#[test]
fn a_run_at_a_silent_executor_that_was_handed_over_is_not_over_before_its_lease_is() {
    let (me, former) = (home("entry-1"), home("entry-2"));
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    let listed = Event::Members { revision: Revision(42), members: vec![me, former] };
    entry.handle(Time(0), listed, &mut out);
    entry.handle(Time(0), Event::Executors(vec![executor()]), &mut out);
    entry.handle(Time(0), Event::PeerUp { peer: former }, &mut out);
    let mut yielded_at = None;
    for step in 1..400 {
        let now = Time(step * 5_000);
        let report = Report { sent: now, leaving: true, ..Report::default() };
        let alive = Event::Message { from: former, message: Message::Report(report) };
        entry.handle(now, alive, &mut out);
        entry.handle(now, Event::Tick, &mut out);
        if let (Some(ended), Some(at)) = (told_end(&out), yielded_at) {
            let after = now.since(at);
            assert!(after > Span::from_millis(714), "told {ended:?} {after} after the handover");
            return;
        }
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send { message: Message::Claim(_), .. } if yielded_at.is_none() => {
                    yielded_at = Some(now);
                    let message = Message::Yield(yielded(former));
                    entry.handle(now, Event::Message { from: former, message }, &mut out);
                }
                Action::Look(look) => {
                    let (executor, number) = (look.executor, look.number);
                    let reply = Answered::Silent;
                    entry.handle(now, Event::Looked { executor, number, reply }, &mut out);
                }
                _ => {}
            }
        }
    }
    panic!("the run's end was never told");
}

/// What an entry with one peer sends within half a second after an executor appears: claims to the
/// peer, and looks.
fn claims_and_looks(idle: bool, options: Options) -> (usize, usize) {
    let (me, peer) = (home("entry-1"), home("entry-2"));
    let mut entry = Entry::new(me, options, Time(0));
    let mut out = Vec::new();
    // The store still lists a process of the peer that is gone.
    let listed = Home { incarnation: Incarnation(6), ..peer };
    let members = Event::Members { revision: Revision(42), members: vec![me, listed] };
    entry.handle(Time(0), members, &mut out);
    entry.handle(Time(0), Event::PeerUp { peer }, &mut out);
    let report = Report { idle, ..Report::default() };
    entry.handle(
        Time(0),
        Event::Message { from: peer, message: Message::Report(report) },
        &mut out,
    );
    let mine: Vec<_> = (0..16).map(|number| named(&format!("i-{number}"))).collect();
    entry.handle(Time(0), Event::Executors(mine), &mut out);
    for step in 1..13 {
        entry.handle(Time(step * 20_000), Event::Tick, &mut out);
    }
    let claims = out
        .iter()
        .filter(|action| matches!(action, Action::Send { message: Message::Claim(_), .. }));
    let looks = out.iter().filter(|action| matches!(action, Action::Look(_)));
    (claims.count(), looks.count())
}

fn named(name: &str) -> Executor {
    Executor { id: EndpointId::of(name), name: name.into(), ..executor() }
}

/// After a stop of all nobody keeps an executor: waiting for peers that are as busy would hold up all.
#[test]
fn entries_that_keep_nothing_are_not_asked_for_executors() {
    let (claims, looks) = claims_and_looks(true, Options::default());
    assert!(claims == 0 && looks > 0, "{claims} claims, {looks} looks");
}

#[test]
fn entries_that_may_keep_executors_are_asked_before_these_are_looked_at() {
    let (claims, looks) = claims_and_looks(false, Options::default());
    assert!(claims > 0 && looks == 0, "{claims} claims, {looks} looks");
    let all = Options { ask_keepers_only: false, ..Options::default() };
    let (claims, looks) = claims_and_looks(true, all);
    assert!(claims > 0 && looks == 0, "{claims} claims, {looks} looks");
}
