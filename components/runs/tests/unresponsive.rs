//! Peers that acknowledge nothing while their connections are still up. Tasks sent to them until
//! the connection is lost would be started again only 1,250 ms after that.

mod common;

use common::fixture::{home, job, sign};
use runs::{
    Action, Entry, Event, Message, Options,
    message::{Report, Room},
};
use site::{
    id::{Home, WaiterId},
    unit::Time,
};

const NOW: Time = Time(1_000_000);

fn report() -> Message {
    let room = Room { cores: vec![64_000], ahead: 0, speeds: Vec::new() };
    Message::Report(Report { sign: sign(NOW), room, capacity: 64, ..Report::default() })
}

/// An entry without executors that is connected to keepers with room.
fn entry(keepers: &[Home], options: Options) -> Entry {
    let mut entry = Entry::new(home("entry"), options, NOW);
    let mut out = Vec::new();
    for peer in keepers {
        entry.handle(NOW, Event::PeerUp { peer: *peer }, &mut out);
        entry.handle(NOW, Event::Message { from: *peer, message: report() }, &mut out);
    }
    entry
}

fn feed(entry: &mut Entry, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    entry.handle(NOW, event, &mut out);
    out
}

/// Submits a job; returns the keeper that it is sent to.
fn keeper_of_next_job(entry: &mut Entry, waiter: u64) -> Option<Home> {
    let out = feed(entry, Event::Submit { waiter: WaiterId(waiter), job: job(NOW) });
    out.iter().find_map(|action| match action {
        Action::Send { to, message: Message::Place(_) } => Some(*to),
        _ => None,
    })
}

/// Half of a data centre is cut off: what arrives in the meantime goes to the other half.
#[test]
fn unresponsive_keepers_get_no_tasks() {
    let keepers: Vec<_> = (0..6).map(|number| home(&format!("keeper-{number}"))).collect();
    let mut entry = entry(&keepers, Options::default());
    for peer in &keepers[..3] {
        feed(&mut entry, Event::PeerUnresponsive { peer: *peer });
    }
    for waiter in 0..30 {
        let keeper = keeper_of_next_job(&mut entry, waiter).expect("others have room");
        assert!(keepers[3..].contains(&keeper), "{keeper} is unresponsive");
    }
}

/// A short interruption must not keep a keeper without tasks.
#[test]
fn a_message_shows_that_a_keeper_responds_again() {
    let keeper = home("keeper");
    let mut entry = entry(&[keeper], Options::default());
    feed(&mut entry, Event::PeerUnresponsive { peer: keeper });
    assert_eq!(keeper_of_next_job(&mut entry, 1), None);
    let out = feed(&mut entry, Event::Message { from: keeper, message: report() });
    let placed =
        |action: &Action| matches!(action, Action::Send { message: Message::Place(_), .. });
    assert!(out.iter().any(placed), "the pending job is sent to the keeper");
}

/// The connection may be lost and restored before any message arrives.
#[test]
fn a_new_connection_begins_as_responsive() {
    let keeper = home("keeper");
    let mut entry = entry(&[keeper], Options::default());
    feed(&mut entry, Event::PeerUnresponsive { peer: keeper });
    feed(&mut entry, Event::PeerDown { peer: keeper });
    feed(&mut entry, Event::PeerUp { peer: keeper });
    feed(&mut entry, Event::Message { from: keeper, message: report() });
    assert_eq!(keeper_of_next_job(&mut entry, 1), Some(keeper));
}

/// A late event about a connection that is lost must not outlive it.
#[test]
fn peers_that_are_not_connected_are_not_recorded() {
    let keeper = home("keeper");
    let mut entry = entry(&[], Options::default());
    feed(&mut entry, Event::PeerUnresponsive { peer: keeper });
    feed(&mut entry, Event::PeerUp { peer: keeper });
    feed(&mut entry, Event::Message { from: keeper, message: report() });
    assert_eq!(keeper_of_next_job(&mut entry, 1), Some(keeper));
}

#[test]
fn the_setting_switches_it_off() {
    let keeper = home("keeper");
    let options = Options { avoid_unresponsive: false, ..Options::default() };
    let mut entry = entry(&[keeper], options);
    feed(&mut entry, Event::PeerUnresponsive { peer: keeper });
    assert_eq!(keeper_of_next_job(&mut entry, 1), Some(keeper));
}
