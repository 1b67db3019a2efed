//! Kinds of jobs that compete for scarce capacity: which are rejected, and what entries tell each
//! other about it.

mod common;

use common::fixture::{home, job, sign};
use lab::{
    pattern::{Pattern, Timed},
    simulation::Fault,
    tally::{Group, Tally},
    trial,
};
use runs::{
    Action, Decision, Entry, Event, Job, Message, Options,
    demand::{Count, Demand},
    job::Answer,
    load::Load,
    message::Report,
    options::Policy,
};
use site::{
    id::{Home, WaiterId},
    unit::{Span, Time},
};
use std::path::PathBuf;

/// Pending work in thousandths of a core: what the executors free in a minute.
const MINUTE_OF_WORK: u64 = 6_000_000;

const CALM: Load = Load { pending: 0, free: 0, throughput: 100_000, unmeasured: 0 };

type GroupOf = fn(&Tally) -> Option<&Group>;

const START: Time = Time(10_000_000);

fn pattern(name: &str, policy: Policy) -> Pattern {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../lab/patterns");
    let mut pattern = Pattern::load(&folder.join(name).with_extension("json")).expect("a pattern");
    pattern.options.admission_policy = policy;
    pattern
}

/// A job of short tasks: 60 ms each, with 72 ms until its latest start.
fn short(now: Time) -> Job {
    let estimate = Span::from_millis(60);
    Job { estimate, tasks: 8, due: now + Span::from_millis(156), ..job(now) }
}

/// A job of long tasks: 900 ms each, with 240 ms until its latest start.
fn long(now: Time) -> Job {
    Job { tasks: 2, due: now + Span::from_millis(1_500), ..job(now) }
}

/// Jobs of the last second: short ones of 3 to 10 tasks, and long ones of one or two.
fn demand(short: Count, long: Count) -> Demand {
    let none = Count::default();
    Demand { lengths: [short, none, long], widths: [long, short, none], ..Demand::default() }
}

fn report(entry: &mut Entry, now: Time, from: Home, load: Load, demand: Demand) {
    let report = Report { sign: sign(now), load, demand: Box::new(demand), ..Report::default() };
    let message = Message::Report(report);
    entry.handle(now, Event::Message { from, message }, &mut Vec::new());
}

/// An entry that is connected to one peer.
fn connected() -> (Entry, Home) {
    let mut entry = Entry::new(home("entry-0"), Options::default(), START);
    let peer = home("entry-1");
    entry.handle(START, Event::PeerUp { peer }, &mut Vec::new());
    (entry, peer)
}

/// Submits a job. Returns the longest wait at which it is admitted, and when its caller should
/// retry if it is rejected.
fn submit(entry: &mut Entry, now: Time, job: Job) -> (Span, Option<Span>) {
    let (mut limit, mut retry) = (None, None);
    let mut out = Vec::new();
    entry.handle(now, Event::Submit { waiter: WaiterId(now.0), job }, &mut out);
    for action in out {
        match action {
            Action::Log(Decision::Admit { limit: of_job, .. }) => limit = Some(of_job),
            Action::Answer { answer: Answer::Rejected { retry_after }, .. } => {
                retry = Some(retry_after);
            }
            _ => {}
        }
    }
    (limit.expect("a decision"), retry)
}

fn refused(tallies: &[Tally], group: GroupOf) -> f64 {
    trial::mean(tallies, |tally| group(tally).map_or(0.0, Group::refused_share))
}

/// Guards against wide and short jobs being rejected for what others ask for: with one limit, jobs
/// of more than ten tasks are rejected four times as often as those of one or two.
#[test]
fn a_surge_during_a_loss_of_capacity_is_shared() {
    let patterns = [Policy::Common, Policy::Forecast]
        .map(|policy| Pattern { seconds: 8, ..pattern("competing", policy) });
    let played = trial::play_all(&patterns, 0..2);
    let unevenness = |name: &str, most: GroupOf, least: GroupOf| {
        let ratio = |tallies: &[Tally]| refused(tallies, most) / refused(tallies, least);
        let (common, forecast) = (ratio(&played[0]), ratio(&played[1]));
        assert!(forecast < common * 0.8, "{name}: {common} to {forecast}");
    };
    unevenness("kind", |tally| tally.kinds.get(&0), |tally| tally.kinds.get(&2));
    unevenness("width", |tally| tally.widths.get(&2), |tally| tally.widths.get(&0));
    let [common, forecast] =
        [&played[0], &played[1]].map(|tallies| trial::mean(tallies, Tally::benefit));
    assert!(forecast > common - 0.01, "{forecast} with the forecast, {common} without");
}

/// Guards against a group being crowded out while a third of a small site's executors crash again
/// and again, and against jobs that are admitted and end late.
#[test]
fn crash_waves_crowd_no_group_out() {
    let pattern = pattern("crash-waves", Policy::Forecast);
    for tally in trial::play_all(&[pattern], 0..2).remove(0) {
        let mean = tally.all.share();
        let groups = [&tally.kinds, &tally.widths, &tally.zones];
        let groups = groups.into_iter().flat_map(|groups| groups.values());
        let least = groups.map(Group::share).min_by(f64::total_cmp).expect("a group");
        assert!(least > mean * 0.8, "{least} of a mean of {mean}");
        assert!(tally.all.late_share() < 0.05, "{}", tally.all.late_share());
    }
}

/// Guards against the forecast changing anything where nothing has to be rejected.
#[test]
fn a_site_with_room_is_served_as_with_the_common_limit() {
    let patterns = [Policy::Common, Policy::Forecast].map(|policy| Pattern {
        load: 0.5,
        seconds: 6,
        ..pattern("busy", policy)
    });
    let played = trial::play_all(&patterns, 0..2);
    assert!(played[0].iter().all(|tally| tally.all.refused == 0));
    assert_eq!(format!("{:?}", played[0]), format!("{:?}", played[1]));
}

/// Guards against an entry that starts anew in an overload admitting what the others reject, and
/// against a frozen entry's pending work and counts staying in force.
#[test]
fn entries_that_restart_or_freeze_in_an_overload_crowd_no_group_out() {
    let mut pattern = Pattern { seconds: 10, ..pattern("overload", Policy::Forecast) };
    let faults =
        [(3_000, Fault::Kill { entry: 0 }), (4_000, Fault::Freeze { entry: 3, ms: 2_500 })];
    pattern.faults.extend(faults.map(|(at_ms, fault)| Timed { at_ms, fault }));
    for tally in trial::play_all(&[pattern], 0..3).remove(0) {
        let mean = tally.all.share();
        let groups = [&tally.kinds, &tally.widths];
        let groups = groups.into_iter().flat_map(|groups| groups.values());
        let least = groups.map(Group::share).min_by(f64::total_cmp).expect("a group");
        assert!(least > mean / 2.0, "{least} of a mean of {mean}");
    }
}

/// The limits of an entry without a job of its own so far follow what the others report.
#[test]
fn the_limit_shrinks_for_groups_that_are_rejected_less_often() {
    let often = Count { asked: 400, refused: 120 };
    let rarely = Count { asked: 400, refused: 4 };
    let limit_of_long = |demand| {
        let (mut entry, peer) = connected();
        submit(&mut entry, START, short(START));
        report(&mut entry, START, peer, CALM, demand);
        submit(&mut entry, START, long(START)).0
    };
    let own = limit_of_long(demand(rarely, often));
    assert_eq!(own, Span::from_millis(72), "30% of its slack");
    let equal = limit_of_long(demand(often, often));
    assert_eq!(equal, own);
    let shrunk = limit_of_long(demand(often, rarely));
    assert_eq!(shrunk, Span::from_millis(10), "the minimum");
}

/// Guards against a group of few jobs being rejected as long as an overload lasts: the jobs of the
/// mean rate that are added to each class must not hide that all of its own are rejected.
#[test]
fn a_small_group_that_is_rejected_itself_keeps_its_limit() {
    let (mut entry, peer) = connected();
    submit(&mut entry, START, short(START));
    let short = Count { asked: 200, refused: 60 };
    let medium = Count { asked: 600, refused: 60 };
    let few = Count { asked: 3, refused: 3 };
    let others = [short, medium].into_iter().sum();
    let lengths = [short, medium, few];
    let widths = [few, others, Count::default()];
    report(&mut entry, START, peer, CALM, Demand { lengths, widths, ..Demand::default() });
    let (limit, _) = submit(&mut entry, START, long(START));
    assert_eq!(limit, Span::from_millis(72), "30% of its slack");
}

/// Guards against jobs being late on small sites, where the feedback hardly acts.
#[test]
fn the_common_limit_applies_below_the_jobs_that_make_groups_comparable() {
    let limit = |asked| {
        let (mut entry, peer) = connected();
        submit(&mut entry, START, short(START));
        let count = Count { asked, refused: 0 };
        report(&mut entry, START, peer, CALM, demand(count, count));
        submit(&mut entry, START, long(START)).0
    };
    let common = limit(60);
    assert!(common < Span::from_millis(40), "half the tightest slack, not {common}");
    assert_eq!(limit(400), Span::from_millis(72), "30% of its own slack");
}

/// Guards against callers of jobs that no executor can run shrinking the limits of all others.
#[test]
fn jobs_that_were_never_placed_count_in_no_rate() {
    let (mut entry, peer) = connected();
    let mut out = Vec::new();
    submit(&mut entry, START, short(START));
    for step in 1..=20 {
        let now = START + Span::from_millis(20 * step);
        let report = Report { sign: sign(now), load: CALM, ..Report::default() };
        let message = Message::Report(report);
        entry.handle(now, Event::Message { from: peer, message }, &mut out);
        entry.handle(now, Event::Tick, &mut out);
    }
    let is_rejected =
        |action: &Action| matches!(action, Action::Answer { answer: Answer::Rejected { .. }, .. });
    assert!(out.iter().any(is_rejected), "no room in time");
    let reported = out.iter().filter_map(|action| match action {
        Action::Send { message: Message::Report(report), .. } => Some(&report.demand.lengths),
        _ => None,
    });
    let refused = reported.flatten().map(|count| count.refused).max();
    assert_eq!(refused, Some(0));
}

/// Guards against long jobs being kept out of the order of service: work that is served after a job
/// does not count in its wait.
#[test]
fn work_that_is_served_later_does_not_reject_an_urgent_job() {
    let pending = 30_000;
    let rejects = |later| {
        let (mut entry, peer) = connected();
        let calm = Count { asked: 400, refused: 0 };
        let demand = Demand { later, ..demand(calm, calm) };
        report(&mut entry, START, peer, Load { pending, ..CALM }, demand);
        submit(&mut entry, START, short(START)).1.is_some()
    };
    assert!(rejects([0, 0, 0]));
    assert!(!rejects([0, 0, pending]));
}

/// A frozen entry's report no longer counts after 4 s, neither its pending work nor its counts.
#[test]
fn the_report_of_a_frozen_entry_expires() {
    let (mut entry, peer) = connected();
    let uneven = demand(Count { asked: 400, refused: 120 }, Count { asked: 400, refused: 0 });
    report(&mut entry, START, peer, Load { pending: MINUTE_OF_WORK, ..CALM }, uneven);
    let other = home("entry-2");
    let later = START + Span::from_millis(3_900);
    let (limit, rejection) = submit(&mut entry, later, long(later));
    assert!(limit < Span::from_millis(40) && rejection.is_some(), "{limit}");
    let expired = START + Span::from_millis(5_000);
    entry.handle(expired, Event::PeerUp { peer: other }, &mut Vec::new());
    report(&mut entry, expired, other, CALM, Demand::default());
    let (limit, rejection) = submit(&mut entry, expired, long(expired));
    assert!(limit >= Span::from_millis(72) && rejection.is_none(), "{limit}");
}

/// Callers wait for as long as the room takes that those rejected so far need: a second or two while
/// few are rejected, however long that lasts, and no longer than the overload has lasted.
#[test]
fn retries_follow_the_ratio_of_rejected_jobs() {
    let latest_delays = |refused: u32| {
        let (mut entry, peer) = connected();
        let count = Count { asked: 1_000, refused };
        let mut delays = Vec::new();
        for step in 0..300_u64 {
            let now = START + Span::from_millis(20 * step);
            let load = Load { pending: MINUTE_OF_WORK, ..CALM };
            report(&mut entry, now, peer, load, demand(count, count));
            let name = format!("{step:016x}").into();
            delays.extend(submit(&mut entry, now, Job { name, ..short(now) }).1);
        }
        delays.split_off(delays.len() - 50)
    };
    let second = Span::from_secs(1);
    let few = latest_delays(100);
    assert!(few.iter().all(|delay| (second..second + second).contains(delay)), "{few:?}");
    let many = latest_delays(700);
    let longest = many.iter().max().copied().unwrap_or_default();
    assert!(longest > Span::from_secs(5) && longest <= Span::from_secs(7), "{longest}");
}

#[test]
fn demands_of_entries_add_up_and_stay_small() {
    let count = Count { asked: 90, refused: 30 };
    let one = Demand { lengths: [count; 3], widths: [count; 3], later: [400_000; 3] };
    let sum: Demand = [one, one].into_iter().sum();
    assert_eq!(sum.lengths[2], Count { asked: 180, refused: 60 });
    assert_eq!(sum.widths[1], Count { asked: 180, refused: 60 });
    assert_eq!(sum.later, [800_000; 3]);
    let most = Count { asked: u32::MAX, refused: u32::MAX };
    let most = Demand { lengths: [most; 3], widths: [most; 3], later: [u64::MAX; 3] };
    assert_eq!([most, one].into_iter().sum::<Demand>(), most);
    let load = Load { pending: 1_000_000, ..Load::default() };
    assert_eq!(most.behind(Span::ZERO, &load), load.pending);
    let bytes = postcard::to_allocvec(&one).expect("an encoding").len();
    assert!(bytes <= 24, "{bytes} bytes");
}
