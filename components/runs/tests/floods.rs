//! Classes of jobs whose arrivals grow far beyond the usual ones: their surplus is rejected first.

mod common;

use common::fixture::{home, job, sign};
use lab::{
    pattern::Pattern,
    tally::{Group, Tally},
    trial,
};
use runs::{
    Action, Decision, Entry, Event, Job, Message, Options,
    action::Flood,
    demand::{Count, Demand},
    job::Answer,
    load::Load,
    message::Report,
    options::Policy,
};
use site::{
    id::WaiterId,
    unit::{Span, Time},
};
use std::path::PathBuf;

const STEP: Span = Span::from_millis(100);

/// The expected wait behind the pending work is 30 ms.
const BUSY: Load = Load { pending: 3_000, free: 0, throughput: 100_000, unmeasured: 0 };

/// Jobs of a second by length; the widths are the same classes in the same order.
fn demand(asked: [u32; 3], refused: u32) -> Demand {
    let classes = asked.map(|asked| Count { asked, refused });
    Demand { lengths: classes, widths: classes, ..Demand::default() }
}

/// A job of the last length and the first width: long and narrow.
fn long(now: Time) -> Job {
    Job { due: now + Span::from_millis(1_500), ..job(now) }
}

/// A job of the first length and the second width: short and middle.
fn short(now: Time) -> Job {
    let estimate = Span::from_millis(60);
    Job { estimate, tasks: 8, due: now + Span::from_millis(156), ..job(now) }
}

struct Site {
    entry: Entry,
    now: Time,
    load: Load,
}

impl Site {
    fn new(options: Options) -> Self {
        let mut entry = Entry::new(home("entry-0"), options, Time(0));
        entry.handle(Time(0), Event::PeerUp { peer: home("entry-1") }, &mut Vec::new());
        Self { entry, now: Time(0), load: BUSY }
    }

    /// Submits a job after the site's demand is reported. Returns its part of a flood, its limit,
    /// and the delay after which its caller should retry if it is rejected.
    fn submit(
        &mut self,
        demand: Demand,
        job: fn(Time) -> Job,
    ) -> (Option<Flood>, Span, Option<Span>) {
        self.now = self.now + STEP;
        let report = Report {
            sign: sign(self.now),
            load: self.load,
            demand: Box::new(demand),
            ..Report::default()
        };
        let from = home("entry-1");
        let event = Event::Message { from, message: Message::Report(report) };
        self.entry.handle(self.now, event, &mut Vec::new());
        let mut out = Vec::new();
        let waiter = WaiterId(self.now.0);
        self.entry.handle(self.now, Event::Submit { waiter, job: job(self.now) }, &mut out);
        let retry = out.iter().find_map(|action| match action {
            Action::Answer { answer: Answer::Rejected { retry_after }, .. } => Some(*retry_after),
            _ => None,
        });
        self.entry.handle(self.now, Event::Leave { waiter }, &mut Vec::new());
        let admit = out.iter().find_map(|action| match action {
            Action::Log(Decision::Admit { floods, limit, .. }) => Some((*floods, *limit)),
            _ => None,
        });
        let (floods, limit) = admit.expect("a decision");
        (floods, limit, retry)
    }

    /// Submits jobs for some seconds; returns the part of a flood that each counted in.
    fn pass(&mut self, seconds: u64, demand: Demand, job: fn(Time) -> Job) -> Vec<Option<Flood>> {
        (0..seconds * 10).map(|_| self.submit(demand, job).0).collect()
    }
}

fn surplus(parts: &[Option<Flood>]) -> usize {
    parts.iter().filter(|part| **part == Some(Flood::Surplus)).count()
}

/// Guards against kinds that did not grow paying for one that did.
#[test]
fn a_flood_is_rejected_before_the_kinds_that_did_not_grow() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../lab/patterns");
    let pattern = Pattern::load(&folder.join("flood.json")).expect("a pattern");
    // 80% offered before the flood, so that nearly all refusals are for its sake.
    let mut off = Pattern { seconds: 14, load: 0.65, ..pattern };
    let on = off.clone();
    off.options.flood_percent = 0;
    let played = trial::play_all(&[off, on], 0..2);
    let refused = |tallies: &[Tally], kind: usize| {
        trial::mean(tallies, |tally| tally.bursts.get(&kind).map_or(0.0, Group::refused_share))
    };
    for kind in [0, 1] {
        let (off, on) = (refused(&played[0], kind), refused(&played[1], kind));
        assert!(on < off * 0.8, "kind {kind}: {off} to {on}");
    }
    let benefit = |tallies: &[Tally]| trial::mean(tallies, Tally::benefit);
    assert!(benefit(&played[1]) > benefit(&played[0]));
}

/// Guards against a surplus of more or less than the jobs beyond the usual rate, and against the
/// limits of other groups shrinking for its sake. At three times the usual rate, two of three jobs
/// are surplus, under both policies.
#[test]
fn jobs_beyond_the_usual_rate_are_surplus() {
    for admission_policy in [Policy::Common, Policy::Forecast] {
        let mut site = Site::new(Options { admission_policy, ..Options::default() });
        let usual = demand([200, 200, 200], 2);
        assert_eq!(surplus(&site.pass(8, usual, long)), 0);
        let limit = site.submit(usual, short).1;
        let flood = demand([200, 200, 600], 2);
        let parts = site.pass(3, flood, long);
        assert!((19..=20).contains(&surplus(&parts)), "{parts:?}");
        let (floods, during, _) = site.submit(flood, short);
        assert_eq!((floods, during), (None, limit));
        let rejections = (0..3).map(|_| site.submit(flood, long));
        let rejected: Vec<_> = rejections.filter(|(.., retry)| retry.is_some()).collect();
        assert!(rejected.iter().all(|(floods, ..)| *floods == Some(Flood::Surplus)));
        assert_eq!(rejected.len(), 2);
    }
}

/// Guards against jobs being rejected while nothing is scarce.
#[test]
fn surplus_is_admitted_while_no_job_is_rejected() {
    let mut site = Site::new(Options::default());
    site.pass(8, demand([200, 200, 200], 0), long);
    let flood = demand([200, 200, 600], 0);
    let results: Vec<_> = (0..10).map(|_| site.submit(flood, long)).collect();
    assert!(results.iter().any(|(floods, ..)| *floods == Some(Flood::Surplus)));
    assert!(results.iter().all(|(.., retry)| retry.is_none()), "{results:?}");
}

/// Guards against a flood being seen where none is: in an entry that is new, where all classes grow
/// alike, where a class is small, and where the rule is off.
#[test]
fn usual_growth_is_no_flood() {
    let (usual, flood) = (demand([200, 200, 200], 2), demand([200, 200, 600], 2));
    let cases = [
        ("new", 200, 4, usual, flood),
        ("twice as many", 200, 8, usual, demand([200, 200, 390], 2)),
        ("alike", 200, 8, usual, demand([580, 590, 600], 2)),
        ("small", 200, 8, demand([200, 200, 20], 2), demand([200, 200, 100], 2)),
        ("off", 0, 8, usual, flood),
    ];
    for (name, flood_percent, seconds, usual, later) in cases {
        let mut site = Site::new(Options { flood_percent, ..Options::default() });
        site.pass(seconds, usual, long);
        assert!(site.pass(1, later, long).iter().all(Option::is_none), "{name}");
    }
}

/// Guards against a class that has grown for good being refused first for ever.
#[test]
fn a_flood_that_lasts_becomes_usual() {
    let mut site = Site::new(Options::default());
    site.pass(8, demand([200, 200, 200], 2), long);
    let flood = demand([200, 200, 600], 2);
    assert!(surplus(&site.pass(19, flood, long)) > 100);
    site.pass(2, flood, long);
    assert_eq!(surplus(&site.pass(5, flood, long)), 0);
}
