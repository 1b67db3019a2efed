//! Executors of lost entries: who takes them over, when and with which fencing token.

mod common;

use common::{
    executors::named,
    fixture::{home, job, sign},
};
use runs::{
    Action, Decision, Entry, Event, Executor, Message, Options,
    action::KeepChange,
    executor::{Listing, Response},
    message::{Report, Transfer},
};
use site::{
    id::{EndpointId, Home, Incarnation, WaiterId},
    unit::{Revision, Span, Time},
};
use std::collections::BTreeMap;

const TICK_INTERVAL: Span = Span::from_millis(20);

/// The revision of the store at which the entries of a [`Scene`] are listed.
const REVISION: Revision = Revision(41);

/// The token of every other entry of a [`Scene`]: it has been fenced three times.
const FORMER_TOKEN: u64 = REVISION.0 << 24 | 3 << 16 | 0xffff;

/// One entry and four others of its data centre, which are played by the test.
struct Scene {
    entry: Entry,
    now: Time,
    /// The others that are connected, with the losses that they report.
    peers: BTreeMap<Home, Vec<Home>>,
    /// Whether executors reject this entry's tokens.
    fenced: bool,
    /// Whether the third entry has all executors that this one claims.
    transfers: bool,
    /// The token of the latest poll of each executor.
    tokens: BTreeMap<EndpointId, u64>,
    /// Responses that arrive with the next tick.
    responses: Vec<Event>,
    /// How long executors were without a keeper, by the log.
    unkept: Vec<Span>,
}

impl Scene {
    fn new(options: Options) -> Self {
        let now = Time(1_000_000);
        let mut scene = Scene {
            entry: Entry::new(home("entry-1"), options, now),
            now,
            peers: BTreeMap::new(),
            fenced: false,
            transfers: false,
            tokens: BTreeMap::new(),
            responses: Vec::new(),
            unkept: Vec::new(),
        };
        let members = (1..=5).map(|number| home(&format!("entry-{number}"))).collect();
        scene.feed(Event::Members { revision: REVISION, members });
        (2..=5).for_each(|number| scene.connect(peer(number)));
        let executors =
            (0..60).map(|number| Executor { incarnation: None, ..named(&format!("i-{number}")) });
        scene.feed(Event::Executors(executors.collect()));
        scene.wait(1_000);
        scene
    }

    fn feed(&mut self, event: Event) {
        let mut waiting = vec![event];
        while let Some(event) = waiting.pop() {
            let mut out = Vec::new();
            self.entry.handle(self.now, event, &mut out);
            waiting.extend(out.into_iter().filter_map(|action| self.carry_out(action)));
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Poll(poll) => {
                self.tokens.insert(poll.executor, poll.token);
                let clock = self.now.0 / 1_000;
                let listing =
                    Listing { clock, incarnation: None, running: Vec::new(), ended: Vec::new() };
                let reply = if self.fenced { Response::Fenced } else { Response::Done(listing) };
                let (executor, number) = (poll.executor, poll.number);
                self.responses.push(Event::Polled { executor, number, reply });
                None
            }
            Action::Send { to, message: Message::Claim(executors) }
                if self.transfers && to == peer(3) =>
            {
                let transfers = executors.into_iter().map(|executor| Event::Message {
                    from: to,
                    message: Message::Transfer(Transfer {
                        executor,
                        incarnation: None,
                        token: FORMER_TOKEN,
                        acknowledged: 0,
                        runs: Vec::new(),
                    }),
                });
                self.responses.extend(transfers);
                None
            }
            Action::Send { to, message: Message::Claim(executors) } => {
                let message = Message::Disclaim(executors);
                self.peers.contains_key(&to).then_some(Event::Message { from: to, message })
            }
            Action::Log(Decision::Keep { change: KeepChange::Ready, unkept, .. }) => {
                self.unkept.extend(unkept);
                None
            }
            _ => None,
        }
    }

    /// Lets time pass, in which the connected peers report.
    fn wait(&mut self, ms: u64) {
        let until = self.now + Span::from_millis(ms);
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            for (from, lost) in self.peers.clone() {
                let (sign, revision) = (sign(self.now), REVISION);
                let highest_token = FORMER_TOKEN;
                let report = Report { sign, revision, lost, highest_token, ..Report::default() };
                self.feed(Event::Message { from, message: Message::Report(report) });
            }
            self.feed(Event::Tick);
            std::mem::take(&mut self.responses).into_iter().for_each(|event| self.feed(event));
        }
    }

    fn connect(&mut self, peer: Home) {
        self.peers.insert(peer, Vec::new());
        self.feed(Event::PeerUp { peer });
    }

    fn disconnect(&mut self, peer: Home) {
        self.peers.remove(&peer);
        self.feed(Event::PeerDown { peer });
    }

    /// Some peers report that they have lost an entry.
    fn report_loss(&mut self, numbers: &[usize], lost: Home) {
        let reporting = numbers.iter().map(|number| peer(*number));
        reporting.for_each(|from| self.peers.get_mut(&from).expect("a peer").push(lost));
    }

    /// An entry dies: its connection is lost after its idle timeout, by all.
    fn lose(&mut self, number: usize) {
        self.peers.remove(&peer(number));
        self.wait(800);
        self.disconnect(peer(number));
        for others in self.peers.values_mut() {
            others.push(peer(number));
        }
    }

    fn kept(&self) -> usize {
        self.tokens.len()
    }
}

fn peer(number: usize) -> Home {
    home(&format!("entry-{number}"))
}

/// The aim is 1.2 s from the last sign of life until executors are in use. The store says nothing in
/// the meantime, as when it is unavailable.
#[test]
fn executors_of_a_lost_entry_are_taken_over_without_the_store() {
    let mut scene = Scene::new(Options::default());
    let before = scene.tokens.clone();
    scene.lose(2);
    scene.wait(200);
    let taken: Vec<_> = scene.tokens.iter().filter(|(id, _)| !before.contains_key(id)).collect();
    assert!(!taken.is_empty());
    assert!(taken.iter().all(|(_, token)| **token > FORMER_TOKEN), "{taken:?}");
    assert_eq!(scene.unkept.len(), taken.len());
    assert!(scene.unkept.iter().all(|span| *span < Span::from_millis(1_200)), "{:?}", scene.unkept);
}

/// The lost entry comes before this one in the order of an executor, but another entry has kept it
/// all the time, for example since that one drains.
#[test]
fn transferred_executors_do_not_count_as_without_a_keeper() {
    let mut scene = Scene::new(Options::default());
    let before = scene.kept();
    scene.transfers = true;
    scene.lose(2);
    scene.wait(500);
    assert!(scene.kept() > before);
    assert_eq!(scene.unkept, []);
}

/// The switch leaves everything to the registration, as before.
#[test]
fn without_standby_executors_wait_until_the_registration_lapses() {
    let mut scene = Scene::new(Options { standby: false, ..Options::default() });
    let before = scene.kept();
    scene.lose(2);
    scene.wait(5_000);
    assert_eq!(scene.kept(), before);
    let members = [1, 3, 4, 5].map(peer).to_vec();
    scene.feed(Event::Members { revision: Revision(42), members });
    scene.wait(500);
    assert!(scene.kept() > before);
    assert_eq!(scene.unkept, [], "nothing is known of a former keeper");
}

/// A single link that fails says nothing about the entry at its other end.
#[test]
fn nothing_is_taken_from_an_entry_that_most_others_hear() {
    let mut scene = Scene::new(Options::default());
    let before = scene.kept();
    scene.disconnect(peer(2));
    scene.report_loss(&[3], peer(2));
    scene.wait(5_000);
    assert_eq!(scene.kept(), before, "two of four entries have lost it");
    scene.report_loss(&[4], peer(2));
    scene.wait(200);
    assert!(scene.kept() > before, "three of four have lost it");
}

/// A process that was replaced no longer says what is lost. Otherwise its last report would count as
/// one vote more for as long as this process lives.
#[test]
fn reports_of_a_replaced_process_do_not_count() {
    let mut scene = Scene::new(Options::default());
    let before = scene.kept();
    scene.report_loss(&[3, 4], peer(2));
    scene.wait(100);
    for number in [3, 4] {
        scene.peers.remove(&peer(number));
        scene.connect(Home { incarnation: Incarnation(8), ..peer(number) });
        scene.feed(Event::PeerDown { peer: peer(number) });
    }
    scene.disconnect(peer(2));
    scene.wait(1_500);
    assert_eq!(scene.kept(), before, "one of four entries has lost it");
}

/// A keeper may have been fenced, and raised its token, after its last report. A successor whose token
/// is too low has to get above it with the next attempts.
#[test]
fn a_successor_that_is_fenced_raises_its_token() {
    let mut scene = Scene::new(Options::default());
    let before = scene.tokens.clone();
    scene.fenced = true;
    scene.lose(2);
    scene.wait(200);
    let first = scene.tokens.clone();
    scene.wait(1_500);
    let taken: Vec<_> = first.iter().filter(|(id, _)| !before.contains_key(id)).collect();
    assert!(!taken.is_empty());
    assert!(taken.iter().all(|(id, token)| scene.tokens[*id] > **token), "{taken:?}");
}

/// A network cut in one direction: this entry hears nobody, while the others may hear it.
#[test]
fn an_entry_that_hears_half_of_its_data_centre_takes_nothing_over() {
    let mut scene = Scene::new(Options::default());
    let before = scene.kept();
    (2..=4).for_each(|number| scene.disconnect(peer(number)));
    (2..=4).for_each(|number| scene.report_loss(&[5], peer(number)));
    scene.wait(5_000);
    assert_eq!(scene.kept(), before);
}

/// An entry that is cut off was fenced by those that took its executors over. Each further claim
/// would fence them in turn.
#[test]
fn an_isolated_entry_that_was_fenced_does_not_claim_again_until_it_hears_most() {
    let mut scene = Scene::new(Options::default());
    (2..=5).for_each(|number| scene.disconnect(peer(number)));
    scene.fenced = true;
    let job = job(scene.now);
    scene.feed(Event::Submit { waiter: WaiterId(1), job });
    scene.wait(1_000);
    scene.fenced = false;
    let tokens = scene.tokens.clone();
    scene.wait(5_000);
    assert_eq!(scene.tokens, tokens);
    (3..=5).for_each(|number| scene.connect(peer(number)));
    scene.wait(1_500);
    assert_ne!(scene.tokens, tokens);
}

/// A connection may be closed before its idle timeout, for example after an error. The entry at its
/// other end may be merely slow.
#[test]
fn nothing_is_taken_before_an_entry_was_silent_for_800_ms() {
    let mut scene = Scene::new(Options::default());
    let before = scene.kept();
    scene.disconnect(peer(2));
    scene.report_loss(&[3, 4, 5], peer(2));
    scene.wait(780);
    assert_eq!(scene.kept(), before);
    scene.wait(200);
    assert!(scene.kept() > before);
}

/// The entry that would have taken the executors over is lost as well.
#[test]
fn two_entries_that_are_lost_at_once_are_both_replaced() {
    let mut one = Scene::new(Options::default());
    one.lose(2);
    one.wait(200);
    let mut both = Scene::new(Options::default());
    both.peers.remove(&peer(3));
    both.lose(2);
    both.disconnect(peer(3));
    both.report_loss(&[4, 5], peer(3));
    both.wait(200);
    assert!(both.kept() > one.kept(), "{} and {}", both.kept(), one.kept());
}

/// The deputy is lost after it has taken executors over, and its last reports may not have arrived:
/// tokens have to be above those that it may have used.
#[test]
fn tokens_are_above_those_of_a_deputy_that_is_lost_too() {
    let mut scene = Scene::new(Options::default());
    let before = scene.tokens.clone();
    scene.lose(2);
    scene.wait(200);
    let first = scene.tokens.clone();
    scene.lose(3);
    scene.wait(200);
    let mut other = Scene::new(Options::default());
    other.lose(3);
    other.wait(200);
    let deputy_token = ((FORMER_TOKEN >> 16) + 1) << 16 | 0xffff;
    // Those that only the loss of both gives to this entry: one of the two was the other's deputy.
    let has_had_deputy = |id: &EndpointId| {
        [&before, &first, &other.tokens].iter().all(|tokens| !tokens.contains_key(id))
    };
    let taken: Vec<_> = scene.tokens.iter().filter(|(id, _)| has_had_deputy(id)).collect();
    assert!(!taken.is_empty());
    assert!(taken.iter().all(|(_, token)| **token > deputy_token), "{taken:?}");
}

/// A restart under the same name within the idle timeout: the next incarnation keeps the executors.
#[test]
fn a_new_incarnation_keeps_the_executors_of_its_predecessor() {
    let mut scene = Scene::new(Options::default());
    let before = scene.kept();
    scene.peers.remove(&peer(2));
    scene.wait(500);
    scene.connect(Home { incarnation: Incarnation(8), ..peer(2) });
    scene.wait(300);
    scene.feed(Event::PeerDown { peer: peer(2) });
    scene.report_loss(&[3, 4, 5], peer(2));
    scene.wait(5_000);
    assert_eq!(scene.kept(), before);
}

/// All processes of a data centre resume after a pause and lose their connections. None of them was
/// silent while others could hear it.
#[test]
fn silence_during_an_own_pause_does_not_count() {
    let mut scene = Scene::new(Options::default());
    let before = scene.kept();
    scene.now = scene.now + Span::from_millis(1_500);
    scene.feed(Event::PeerDown { peer: peer(2) });
    scene.peers.remove(&peer(2));
    scene.report_loss(&[3, 4, 5], peer(2));
    scene.wait(700);
    assert_eq!(scene.kept(), before);
}
