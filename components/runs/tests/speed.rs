//! What entries learn of the speed of executors by kind.

mod common;

use common::{
    executors::{Scene, named},
    fixture::{home, sign},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runs::{
    Action, Decision, Entry, Event, Executor, Message, Options,
    executor::{Incarnation, Kind},
    message::Report,
    speed::{Factor, Measure, Speeds},
};
use site::{
    id::Home,
    unit::{Span, Time},
};

/// Time from a start order to its end that a task does not determine, in milliseconds.
const FIXED_MS: f64 = 25.0;

fn executor(name: &str, kind: &str) -> Executor {
    Executor { kind: Some(Kind(kind.into())), ..named(name) }
}

fn row(kind: &str, factor: u16, weight: u16) -> Measure {
    Measure { kind: Kind(kind.into()), factor: Factor(factor), weight }
}

/// Speeds with the time and random run times.
struct Learner {
    speeds: Speeds,
    now: Time,
    random: ChaCha8Rng,
}

impl Learner {
    fn new(options: &Options) -> Self {
        Self::seeded(options, 3)
    }

    fn seeded(options: &Options, seed: u64) -> Self {
        let now = Time(1_000_000);
        Self { speeds: Speeds::new(options), now, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// A run of a task of `length_ms` on an executor with a factor. The estimate is off by up to
    /// 40%.
    fn run(&mut self, executor: &Executor, factor: f64, length_ms: f64) {
        let error = self.random.random_range(0.6..1.4);
        self.run_estimated(executor, factor, length_ms, error);
    }

    /// Three tasks in a hundred take seven times as long.
    fn run_estimated(&mut self, executor: &Executor, factor: f64, length_ms: f64, error: f64) {
        let estimate_ms = length_ms * error;
        let tail = if self.random.random_bool(0.03) { 7.0 } else { 1.0 };
        let elapsed_ms = FIXED_MS + length_ms * factor * tail;
        let span = |ms: f64| Span((ms * 1e3) as u64);
        self.now = self.now + Span::from_millis(5);
        self.speeds.observe(self.now, executor, span(elapsed_ms), span(estimate_ms));
        self.speeds.refresh(self.now);
    }

    /// Many short tasks and few long ones on executors of two kinds. Five in a row have the same
    /// error of their estimates, as tasks of a job do.
    fn run_mix(&mut self, factors: [f64; 2], runs: usize) {
        let executors = [executor("i-a", "a"), executor("i-b", "b")];
        for number in 0..runs / 5 {
            let error = self.random.random_range(0.6..1.4);
            for length_ms in [50.0, 50.0, 50.0, 170.0, 760.0] {
                let (executor, factor) = (&executors[number % 2], factors[number % 2]);
                self.run_estimated(executor, factor, length_ms, error);
            }
        }
    }

    fn refresh(&mut self) -> Vec<Decision> {
        self.now = self.now + Span::from_millis(200);
        self.speeds.refresh(self.now)
    }

    fn factor(&self, name: &str, kind: &str) -> u16 {
        self.speeds.factor(&executor(name, kind)).0
    }

    fn kinds(&self) -> Vec<(Kind, Factor)> {
        self.speeds.kinds()
    }
}

/// Knows kinds `a` and `b` with factors of about 0.7 and 1.7.
fn uneven() -> Learner {
    let mut learner = Learner::new(&Options::default());
    learner.run_mix([0.7, 1.7], 2_000);
    assert!(learner.speeds.is_uneven());
    learner
}

/// Ratios to the estimate would give short tasks a factor of 1.2 on the fast kind.
#[test]
fn the_fixed_part_of_a_run_time_does_not_count_as_speed() {
    let learner = uneven();
    for (kind, factor) in [("a", 0.7), ("b", 1.7)] {
        for length_ms in [50, 170, 760] {
            let expected = FIXED_MS + factor * f64::from(length_ms);
            let estimate = Span::from_millis(u64::from(length_ms as u16));
            let run_time = learner.speeds.run_time(&executor("i-9", kind), estimate);
            let error = run_time.0 as f64 / 1e3 / expected - 1.0;
            assert!(error.abs() < 0.15, "{kind}, {length_ms} ms: {error:+.2}");
        }
    }
}

/// Estimates that are off, tasks that are long on any executor and small differences must not
/// change how a site is served.
#[test]
fn kinds_that_differ_little_are_never_uneven() {
    for (seed, factors) in (0..20).flat_map(|seed| [(seed, [1.0, 1.0]), (seed, [1.0, 1.3])]) {
        let mut learner = Learner::seeded(&Options::default(), seed);
        for _ in 0..100 {
            learner.run_mix(factors, 10);
            assert!(!learner.speeds.is_uneven(), "{seed}, {factors:?}: {:?}", learner.kinds());
            assert_eq!(learner.factor("i-a", "a"), 100);
        }
    }
}

/// A ratio around the limit must not switch the choice of executors to and fro.
#[test]
fn kinds_stay_uneven_until_they_differ_clearly_less() {
    let mut learner = uneven();
    learner.run_mix([1.0, 1.45], 3_000);
    assert!(learner.speeds.is_uneven(), "{:?}", learner.kinds());
    learner.run_mix([1.0, 1.2], 3_000);
    assert!(!learner.speeds.is_uneven(), "{:?}", learner.kinds());
}

/// An executor that nobody has used yet would otherwise count as of usual speed for 15 runs.
#[test]
fn a_new_name_has_the_factor_of_its_kind() {
    let learner = uneven();
    assert_eq!(learner.factor("i-new", "a"), learner.factor("i-a", "a"));
    assert_eq!(learner.factor("i-new", "b"), learner.factor("i-b", "b"));
}

/// One that turns slow must be known as such within about a dozen runs, and be tried again.
#[test]
fn a_single_slow_executor_deviates_from_its_kind_until_it_has_not_run_for_a_while() {
    let mut learner = uneven();
    let (usual, slow) = (learner.factor("i-a", "a"), executor("i-slow", "a"));
    (0..20).for_each(|_| learner.run(&slow, 0.7, 170.0));
    assert!(learner.factor("i-slow", "a") < usual * 5 / 4);
    (0..12).for_each(|_| learner.run(&slow, 2.8, 170.0));
    assert!(learner.factor("i-slow", "a") > usual * 2, "{}", learner.factor("i-slow", "a"));
    assert!(learner.factor("i-a", "a") < usual * 5 / 4, "the others of its kind are as before");
    learner.now = learner.now + Span::from_secs(11);
    learner.refresh();
    assert_eq!(learner.factor("i-slow", "a"), learner.factor("i-new", "a"));
}

/// The next incarnation at an address may run on another machine.
#[test]
fn a_new_incarnation_has_the_factor_of_its_own_kind() {
    let mut learner = uneven();
    let slow = executor("i-slow", "a");
    (0..15).for_each(|_| learner.run(&slow, 2.8, 170.0));
    let next = Executor { incarnation: Some(Incarnation(2)), ..slow.clone() };
    assert_eq!(learner.speeds.factor(&next).0, learner.factor("i-new", "a"));
    let moved = Executor { kind: Some(Kind("b".into())), ..slow };
    assert_eq!(learner.speeds.factor(&moved).0, learner.factor("i-new", "b"));
}

/// An executor must be usable before its kind is known, neither as the best nor as the worst.
#[test]
fn kinds_without_runs_count_as_between_the_others() {
    let mut learner = uneven();
    let between = learner.factor("i-a", "a")..learner.factor("i-b", "b");
    assert!(between.contains(&learner.factor("i-c", "c")));
    assert!(between.contains(&learner.speeds.factor(&named("i-none")).0));
    // Reports would otherwise grow with the number of kinds or the length of their names.
    for number in 0..40 {
        let kind = format!("kind-{number}");
        (0..70).for_each(|_| learner.run(&executor("i-k", &kind), 1.0, 170.0));
    }
    (0..70).for_each(|_| learner.run(&executor("i-l", &"x".repeat(65)), 1.0, 170.0));
    assert_eq!(learner.kinds().len(), 16);
    assert!(learner.kinds().iter().all(|(kind, _)| kind.0.len() <= 64));
}

/// An entry that restarts must not use kinds as equally fast until it has enough runs of its own.
#[test]
fn an_entry_without_runs_uses_what_others_report() {
    let mut learner = Learner::new(&Options::default());
    learner.speeds.hear(home("entry-2"), vec![row("a", 70, 300), row("b", 170, 300)]);
    learner.refresh();
    assert!(learner.speeds.is_uneven());
    assert_eq!([learner.factor("i-a", "a"), learner.factor("i-b", "b")], [70, 170]);
    // The entry that reported it is lost, and only one kind is measured here.
    learner.speeds.forget(home("entry-2"));
    (0..80).for_each(|_| learner.run(&executor("i-a", "a"), 0.7, 170.0));
    learner.refresh();
    assert!(learner.speeds.is_uneven());
    assert_eq!(learner.factor("i-b", "b"), 170);
}

/// One entry that reports nonsense must not change the choices of all others.
#[test]
fn wrong_reports_are_outvoted_and_give_way_to_own_runs() {
    let mut learner = Learner::new(&Options::default());
    let (right, wrong) = ([row("a", 70, 300), row("b", 170, 300)], [row("a", 900, u16::MAX)]);
    learner.speeds.hear(home("entry-2"), right.to_vec());
    learner.speeds.hear(home("entry-3"), wrong.to_vec());
    learner.speeds.hear(home("entry-4"), right.to_vec());
    learner.speeds.hear(home("entry-5"), vec![row("a", 0, 300), row("b", u16::MAX, 300)]);
    // What senders have from others does not count beside measured factors, however many they are.
    learner.speeds.hear(home("entry-6"), vec![row("c", 80, 5)]);
    (7..20).for_each(|n| learner.speeds.hear(home(&format!("entry-{n}")), vec![row("c", 20, 0)]));
    learner.refresh();
    let factors: Vec<_> = learner.kinds().iter().map(|(_, factor)| factor.0).collect();
    assert_eq!(factors, [70, 170, 80]);
    (2..9).for_each(|n| learner.speeds.hear(home(&format!("entry-{n}")), wrong.to_vec()));
    learner.run_mix([0.7, 1.7], 2_000);
    assert!((60..80).contains(&learner.factor("i-a", "a")), "{:?}", learner.kinds());
}

/// Comparisons with and without the mechanism need a switch that leaves nothing on.
#[test]
fn without_the_setting_all_kinds_are_alike() {
    let options = Options { speed_by_kind: false, ..Options::default() };
    let mut learner = Learner::new(&options);
    learner.run_mix([0.7, 1.7], 500);
    learner.speeds.hear(home("entry-2"), vec![row("a", 70, 300), row("b", 170, 300)]);
    assert!(learner.refresh().is_empty());
    assert!(!learner.speeds.is_uneven() && learner.kinds().is_empty());
    assert_eq!(learner.factor("i-b", "b"), 100);
}

/// The rows in the reports that an entry has sent to a peer.
fn rows(out: &[Action], peer: Home) -> Vec<Measure> {
    let reports = out.iter().filter_map(|action| match action {
        Action::Send { to, message: Message::Report(report) } if *to == peer => Some(report),
        _ => None,
    });
    reports.flat_map(|report| report.kinds.clone()).collect()
}

/// Keepers that all restart at once have only the entries without executors to learn from. Each
/// connected entry must get the rows once: reports are sent many times a second.
#[test]
fn entries_pass_on_what_keepers_reported_once_to_each_peer() {
    let (me, old, new) = (home("entry-1"), home("entry-2"), home("entry-3"));
    let mut entry = Entry::new(me, Options::default(), Time(1_000_000));
    let mut handle = |ms: u64, event| {
        let mut out = Vec::new();
        entry.handle(Time(1_000_000 + ms * 1_000), event, &mut out);
        out
    };
    handle(0, Event::PeerUp { peer: old });
    let kinds = vec![row("a", 70, 300), row("b", 170, 300)];
    let report = Report { sign: sign(Time(1)), kinds, ..Report::default() };
    handle(5, Event::Tick);
    handle(10, Event::Message { from: old, message: Message::Report(report) });
    // The first tasks of an entry that restarts may start at once.
    let lines = handle(20, Event::Tick);
    let uneven =
        |action: &Action| matches!(action, Action::Log(Decision::Speed { uneven: true, .. }));
    assert_eq!(lines.iter().filter(|action| uneven(action)).count(), 2);
    handle(400, Event::PeerDown { peer: old });
    let passed_on = [row("a", 70, 0), row("b", 170, 0)];
    assert_eq!(rows(&handle(500, Event::PeerUp { peer: new }), new), passed_on);
    let later: Vec<_> = (1..200).flat_map(|n| handle(500 + n * 20, Event::Tick)).collect();
    assert!(rows(&later, new).is_empty());
    // A restart is another process, which knows nothing.
    handle(5_000, Event::PeerDown { peer: new });
    assert_eq!(rows(&handle(5_100, Event::PeerUp { peer: new }), new), passed_on);
}

/// Ends that executors list are what speeds are learnt from.
#[test]
fn a_keeper_learns_the_kinds_of_its_executors_from_their_runs() {
    let (a, b) = (executor("i-a", "a"), executor("i-b", "b"));
    let mut scene = Scene::new(vec![a.clone(), b.clone()]);
    for _ in 0..9 {
        scene.submit_tasks(16);
        scene.wait(Span::from_millis(630));
        scene.executor(a.id).end_all();
        scene.wait(Span::from_millis(900));
        scene.executor(b.id).end_all();
        scene.wait(Span::from_millis(100));
    }
    let last = |name: &str| {
        let lines = scene.decisions.iter().rev();
        lines.into_iter().find_map(|decision| match decision {
            Decision::Speed { kind, factor, uneven: true, .. } if kind.0 == name => Some(factor.0),
            _ => None,
        })
    };
    assert!(last("a").is_some_and(|factor| (64..=76).contains(&factor)), "{:?}", last("a"));
    assert!(last("b").is_some_and(|factor| (160..=180).contains(&factor)), "{:?}", last("b"));
}

/// A kind that was replaced must not keep a site uneven whose executors are alike by now, neither by
/// own runs nor by what others still report.
#[test]
fn kinds_that_no_executor_has_are_dropped() {
    let mut learner = uneven();
    let in_use = [Kind("a".into())].into_iter().collect();
    learner.speeds.retain_kinds(Some(in_use));
    learner.speeds.hear(home("entry-2"), vec![row("b", 170, 512)]);
    learner.refresh();
    assert!(!learner.speeds.is_uneven(), "{:?}", learner.kinds());
    learner.speeds.retain_kinds(None);
    learner.refresh();
    assert!(learner.speeds.is_uneven(), "executors are not known any more");
}

/// Other tasks would wait for the one executor that seems far faster than all others.
#[test]
fn a_single_fast_executor_counts_as_its_kind() {
    let mut learner = uneven();
    let fast = executor("i-fast", "a");
    (0..15).for_each(|_| learner.run(&fast, 0.05, 760.0));
    assert_eq!(learner.factor("i-fast", "a"), learner.factor("i-new", "a"));
}
