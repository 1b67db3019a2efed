//! When an entry begins to keep executors.

mod common;

use common::fixture::{executor, home, job, needs, sign};
use runs::{
    Action, Entry, Event, Executor, Message, Options,
    executor::{Listing, Response, StartResponse},
    job::{Key, Run, Task},
    message::{Ended, Report, Transfer, TransferredRun},
};
use site::{
    id::{EndpointId, Home, Incarnation, WaiterId},
    unit::{Revision, Span, Time},
};

/// Ticks for a second; returns the fencing tokens of the polls.
fn polls(entry: &mut Entry, from: u64) -> Vec<u64> {
    let mut out = Vec::new();
    for step in 0..50 {
        entry.handle(Time(from + step * 20_000), Event::Tick, &mut out);
    }
    let poll = |action: &Action| match action {
        Action::Poll(poll) => Some(poll.token),
        _ => None,
    };
    out.iter().filter_map(poll).collect()
}

#[test]
fn nothing_is_kept_before_the_store_lists_the_entry() {
    let me = home("entry-1");
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    entry.handle(Time(0), Event::Executors(vec![executor()]), &mut out);
    assert!(polls(&mut entry, 0).is_empty(), "a poll before the other entries are known");
    let others = Event::Members { revision: Revision(40), members: vec![home("entry-2")] };
    entry.handle(Time(1_000_000), others, &mut out);
    assert!(polls(&mut entry, 1_000_000).is_empty(), "a poll before the store lists the entry");
    let listed = Event::Members { revision: Revision(41), members: vec![me] };
    entry.handle(Time(2_000_000), listed, &mut out);
    let tokens = polls(&mut entry, 2_000_000);
    assert!(!tokens.is_empty());
    assert!(tokens.iter().all(|token| token >> 24 == 41), "{tokens:?}");
}

#[test]
fn an_entry_whose_registration_expired_still_keeps_executors() {
    let me = home("entry-1");
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    let listed = Event::Members { revision: Revision(41), members: vec![me] };
    entry.handle(Time(0), listed, &mut out);
    let expired = Event::Members { revision: Revision(42), members: Vec::new() };
    entry.handle(Time(10_000), expired, &mut out);
    entry.handle(Time(20_000), Event::Executors(vec![executor()]), &mut out);
    assert!(!polls(&mut entry, 20_000).is_empty());
}

/// Feeds the responses of healthy executors whose `running` runs never end. If `fenced`, polls are
/// refused.
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
            Action::Poll(poll) => {
                let here = running.iter().filter(|(executor, _)| *executor == poll.executor);
                let listing = Listing {
                    clock: now.0 / 1_000,
                    incarnation: None,
                    running: here.map(|(_, run)| run.clone()).collect(),
                    ended: Vec::new(),
                };
                let reply = if fenced { Response::Fenced } else { Response::Done(listing) };
                let (executor, number) = (poll.executor, poll.number);
                entry.handle(now, Event::Polled { executor, number, reply }, &mut out);
            }
            Action::Start(start) => {
                let reply = StartResponse::Running { clock: now.0 / 1_000 };
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
fn a_run_on_a_fenced_executor_is_not_repeated_before_its_lease_expires() {
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
        // During these steps another entry holds both executors.
        out = answer(&mut entry, now, actions, &mut running, (60..200).contains(&step));
    }
    let fenced_at = fenced_at.expect("the fence");
    assert!(started.len() >= 2, "{started:?}");
    let wait = started[1].since(fenced_at);
    assert!(wait > Span::from_millis(714), "started again {wait} after the fence");
}

/// The transfer that an entry gets from the former keeper of `executor()`.
fn transfer(home: Home) -> Transfer {
    let task = Task { job: Key { home, number: 1 }, index: 0 };
    let run = Run { job: "00000000000000aa".into(), index: 0, number: 1 };
    let running = TransferredRun {
        run,
        task,
        needs: needs(),
        estimate: Span::from_millis(900),
        running_for: Span::from_millis(80),
        give_up_in: Span::from_secs(9),
    };
    Transfer {
        executor: executor().id,
        incarnation: None,
        token: 41 << 24,
        acknowledged: 0,
        runs: vec![running],
    }
}

/// The first end that the entry reports to a home.
fn reported_end(actions: &[Action]) -> Option<Ended> {
    actions.iter().find_map(|action| match action {
        Action::Send { message: Message::Ended(ended), .. } => ended.first().copied(),
        _ => None,
    })
}

#[test]
fn a_transferred_run_on_an_unresponsive_executor_ends_only_after_its_lease() {
    let (me, former) = (home("entry-1"), home("entry-2"));
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    let listed = Event::Members { revision: Revision(42), members: vec![me, former] };
    entry.handle(Time(0), listed, &mut out);
    entry.handle(Time(0), Event::Executors(vec![executor()]), &mut out);
    entry.handle(Time(0), Event::PeerUp { peer: former }, &mut out);
    let mut transferred_at = None;
    for step in 1..400 {
        let now = Time(step * 5_000);
        let report = Report { sign: sign(now), leaving: true, ..Report::default() };
        let alive = Event::Message { from: former, message: Message::Report(report) };
        entry.handle(now, alive, &mut out);
        entry.handle(now, Event::Tick, &mut out);
        if let (Some(ended), Some(at)) = (reported_end(&out), transferred_at) {
            let after = now.since(at);
            assert!(
                after > Span::from_millis(714),
                "reported {ended:?} {after} after the transfer"
            );
            return;
        }
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send { message: Message::Claim(_), .. } if transferred_at.is_none() => {
                    transferred_at = Some(now);
                    let message = Message::Transfer(transfer(former));
                    entry.handle(now, Event::Message { from: former, message }, &mut out);
                }
                Action::Poll(poll) => {
                    let (executor, number) = (poll.executor, poll.number);
                    let reply = Response::Silent;
                    entry.handle(now, Event::Polled { executor, number, reply }, &mut out);
                }
                _ => {}
            }
        }
    }
    panic!("the end of the run was never reported");
}

/// The claims and polls that an entry with one peer sends within a quarter of a second after
/// executors appear.
fn claims_and_polls(idle: bool, options: Options) -> (usize, usize) {
    let (me, peer) = (home("entry-1"), home("entry-2"));
    let mut entry = Entry::new(me, options, Time(0));
    let mut out = Vec::new();
    // The store still lists a previous process of the peer.
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
    let polls = out.iter().filter(|action| matches!(action, Action::Poll(_)));
    (claims.count(), polls.count())
}

fn named(name: &str) -> Executor {
    Executor { id: EndpointId::of(name), name: name.into(), ..executor() }
}

/// After a restart of all entries none keeps an executor. Waiting for the answers of busy peers
/// would delay all of them.
#[test]
fn entries_that_keep_nothing_get_no_executor_claims() {
    let (claims, polls) = claims_and_polls(true, Options::default());
    assert!(claims == 0 && polls > 0, "{claims} claims, {polls} polls");
}

#[test]
fn executors_are_claimed_from_possible_keepers_before_they_are_polled() {
    let (claims, polls) = claims_and_polls(false, Options::default());
    assert!(claims > 0 && polls == 0, "{claims} claims, {polls} polls");
    let all = Options { ask_keepers_only: false, ..Options::default() };
    let (claims, polls) = claims_and_polls(true, all);
    assert!(claims > 0 && polls == 0, "{claims} claims, {polls} polls");
}
