//! Compares the isolation rules on one simulated pool: tasks lost at faulty endpoints, isolations
//! of good endpoints while errors are frequent everywhere, and the time until a recovered endpoint
//! is restored.
//!
//! Fifty endpoints of eight slots at 70 % load take tasks of 300 ms; each task goes to the least
//! used endpoint that takes work. A faulty endpoint fails after 1 ms, so it attracts work, or lets
//! tasks hang. A task is reported as straggling after 450 ms and stopped after 1,650 ms, as a keeper
//! does. Doubtful endpoints get work like others.
//!
//! `cargo bench -p health --bench rules -- 10 Likelihood` runs pools of ten endpoints instead, and
//! only the rules whose name contains the word.

use health::{Attempt, Change, Monitor, Observation, Rule, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{
    id::EndpointId,
    unit::{Span, Time},
};
use std::{cmp::Reverse, collections::BinaryHeap, env};

/// Endpoints if the command line gives no number.
const ENDPOINTS: usize = 50;
const SLOTS: u32 = 8;
const RUN_TIME: Span = Span::from_millis(300);
const FAST_FAILURE: Span = Span::from_millis(1);
/// When a task is reported as straggling, and when it is stopped.
const STRAGGLING_AFTER: Span = Span::from_millis(450);
const STOP_AFTER: Span = Span::from_millis(1_650);
/// How many times as long a long task takes.
const LONG_FACTOR: u64 = 7;
/// Mean time between arrivals in microseconds with one endpoint: 0.7 * 8 tasks in 300 ms.
const MEAN_ARRIVAL_GAP_US: u64 = 53_571;
/// When endpoints fail.
const FAULT: std::ops::Range<Time> = Time(5_000_000)..Time(15_000_000);
const END: Time = Time(60_000_000);
const SEEDS: u64 = 10;

/// A simulated fault.
#[derive(Clone, Copy)]
enum Fault {
    /// The first endpoints fail this share of their tasks after 1 ms.
    FaultyEndpoints { endpoints: usize, share: f64 },
    /// The first endpoints let this share of their tasks hang; everywhere a share takes long.
    Hanging { endpoints: usize, share: f64, long: f64 },
    /// All endpoints fail this share of their tasks after the usual run time.
    Errors { share: f64 },
}

impl Fault {
    /// Returns the run time of an attempt that starts now, and whether it fails.
    fn attempt(self, now: Time, at: usize, random: &mut ChaCha8Rng) -> (Span, bool) {
        let faulty = self.is_faulty(at);
        let (share, long, failure_time) = match self {
            Fault::FaultyEndpoints { share, .. } if faulty => (share, 0.0, FAST_FAILURE),
            Fault::Hanging { share, long, .. } if faulty => (share, long, Span(u64::MAX)),
            Fault::Hanging { long, .. } => (0.0, long, RUN_TIME),
            Fault::FaultyEndpoints { .. } => (0.0, 0.0, RUN_TIME),
            Fault::Errors { share } => (share, 0.0, RUN_TIME),
        };
        let failed = FAULT.contains(&now) && random.random_bool(share);
        let mut run_time = Span(RUN_TIME.0 * random.random_range(50..150) / 100);
        if FAULT.contains(&now) && random.random_bool(long) {
            run_time = Span(run_time.0 * LONG_FACTOR);
        }
        match failed {
            true if failure_time > STOP_AFTER => (STOP_AFTER, true),
            true => (failure_time.min(run_time), true),
            false => (run_time.min(STOP_AFTER), run_time > STOP_AFTER),
        }
    }

    fn is_faulty(self, at: usize) -> bool {
        matches!(
            self,
            Fault::FaultyEndpoints { endpoints, .. } | Fault::Hanging { endpoints, .. }
                if at < endpoints
        )
    }
}

/// Results of one run.
#[derive(Default)]
struct Outcome {
    /// Maximum number of tasks that a faulty endpoint lost before its first isolation.
    lost_first: u32,
    /// Tasks that faulty endpoints lost.
    lost: u32,
    /// Faulty endpoints that were never isolated during the fault.
    missed: u32,
    /// Isolations of good endpoints.
    false_isolations: u32,
    /// Maximum number of tasks that a faulty endpoint lost before it first became doubtful.
    lost_doubt: u32,
    /// Times that good endpoints became doubtful.
    false_doubts: u32,
    /// Seconds from the end of the fault until the last faulty endpoint was restored.
    restored: f64,
}

/// What happens to an attempt.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Straggle,
    Fail,
    Succeed,
}

struct Run {
    fault: Fault,
    monitor: Monitor,
    busy: Vec<u32>,
    lost: Vec<u32>,
    doubted: Vec<bool>,
    isolated: Vec<bool>,
    /// Ends of attempts in flight, and straggling reports: time, endpoint, start, what happens.
    ends: BinaryHeap<Reverse<(Time, usize, Time, Step)>>,
    waiting: u32,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl Run {
    fn new(endpoints: usize, rule: Rule, fault: Fault, seed: u64) -> Self {
        let mut monitor = Monitor::with_rule(rule);
        (0..endpoints).for_each(|at| monitor.insert(EndpointId(at as u64)));
        Self {
            fault,
            monitor,
            busy: vec![0; endpoints],
            lost: vec![0; endpoints],
            doubted: vec![false; endpoints],
            isolated: vec![false; endpoints],
            ends: BinaryHeap::new(),
            waiting: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut arrival = Time(0);
        while arrival < END {
            self.advance(arrival);
            self.waiting += 1;
            self.place(arrival);
            let mean_gap = MEAN_ARRIVAL_GAP_US / self.busy.len() as u64;
            arrival = arrival + Span(self.random.random_range(0..2 * mean_gap));
        }
        let faulty = (0..self.busy.len()).filter(|&at| self.fault.is_faulty(at));
        self.outcome.missed = faulty.filter(|&at| !self.isolated[at]).count() as u32;
        self.outcome
    }

    /// Handles all events up to `to`.
    fn advance(&mut self, to: Time) {
        loop {
            let end = self.ends.peek().map_or(Time::NEVER, |Reverse((time, ..))| *time);
            let timer = self.monitor.next_timer().unwrap_or(Time::NEVER);
            let now = end.min(timer);
            if now > to {
                return;
            }
            if timer <= end {
                let mut changes = Vec::new();
                self.monitor.tick(now, &mut changes);
                for (id, change) in changes {
                    self.count(now, id.0 as usize, change);
                }
            } else if let Some(Reverse((_, at, start, step))) = self.ends.pop() {
                self.step(now, at, start, step);
            }
            self.place(now);
        }
    }

    fn step(&mut self, now: Time, at: usize, start: Time, step: Step) {
        self.busy[at] -= u32::from(step != Step::Straggle);
        let what = match step {
            Step::Straggle => Observation::Straggling,
            Step::Fail => Observation::Failed,
            Step::Succeed => Observation::Done { elapsed: now.since(start), expected: RUN_TIME },
        };
        if step == Step::Fail && self.fault.is_faulty(at) {
            self.lost[at] += 1;
            self.outcome.lost += 1;
        }
        let attempt = Attempt { started: Some(start), cause: None };
        let change = self.monitor.observe_attempt(now, EndpointId(at as u64), what, attempt);
        self.count(now, at, change);
    }

    /// Counts the changes that matter.
    fn count(&mut self, now: Time, at: usize, change: Change) {
        let faulty = self.fault.is_faulty(at);
        let is_doubt = matches!(change, Change::Doubt | Change::Isolate { .. });
        if is_doubt && faulty && !self.doubted[at] {
            self.doubted[at] = true;
            self.outcome.lost_doubt = self.outcome.lost_doubt.max(self.lost[at]);
        }
        match change {
            Change::Doubt if !faulty => self.outcome.false_doubts += 1,
            Change::Isolate { .. } if faulty && !self.isolated[at] => {
                self.isolated[at] = true;
                self.outcome.lost_first = self.outcome.lost_first.max(self.lost[at]);
            }
            Change::Isolate { .. } if !faulty => self.outcome.false_isolations += 1,
            Change::Restore if faulty && now >= FAULT.end => {
                self.outcome.restored = now.since(FAULT.end).0 as f64 / 1e6;
            }
            _ => {}
        }
    }

    fn place(&mut self, now: Time) {
        while self.waiting > 0 {
            let endpoints = self.busy.len();
            let offset = self.random.random_range(0..endpoints);
            let free = (0..endpoints)
                .map(|at| (at + offset) % endpoints)
                .filter(|&at| self.busy[at] < SLOTS)
                .filter(|&at| self.monitor.is_open(EndpointId(at as u64)))
                .min_by_key(|&at| self.busy[at]);
            let Some(at) = free else { return };
            let granted = self.monitor.try_acquire(now, EndpointId(at as u64));
            assert!(granted, "an open endpoint grants an attempt");
            let (time, failed) = self.fault.attempt(now, at, &mut self.random);
            self.busy[at] += 1;
            self.waiting -= 1;
            let end = if failed { Step::Fail } else { Step::Succeed };
            self.ends.push(Reverse((now + time, at, now, end)));
            if time > STRAGGLING_AFTER {
                self.ends.push(Reverse((now + STRAGGLING_AFTER, at, now, Step::Straggle)));
            }
        }
    }
}

/// Compares rules in pools of one size.
struct Comparison {
    endpoints: usize,
    rules: Vec<Rule>,
}

impl Comparison {
    /// Runs one rule and fault with all seeds.
    fn runs(&self, rule: Rule, fault: Fault) -> Vec<Outcome> {
        (0..SEEDS).map(|seed| Run::new(self.endpoints, rule, fault, seed).run()).collect()
    }

    fn print_faulty_endpoints(&self, name: &str, fault: Fault) {
        println!("\n{name}");
        println!(
            "{:<42} {:>10} {:>10} {:>8} {:>8} {:>10} {:>11} {:>12}",
            "rule",
            "lost first",
            "lost",
            "missed",
            "false",
            "restored s",
            "lost, doubt",
            "false doubt"
        );
        for &rule in &self.rules {
            let outcomes = self.runs(rule, fault);
            let worst = outcomes.iter().map(|outcome| outcome.lost_first).max().unwrap_or(0);
            let worst_doubt = outcomes.iter().map(|outcome| outcome.lost_doubt).max().unwrap_or(0);
            println!(
                "{:<42} {:>10} {:>10.1} {:>8.1} {:>8.1} {:>10.2} {:>11} {:>12.1}",
                format!("{rule:?}"),
                worst,
                mean(&outcomes, |outcome| outcome.lost.into()),
                mean(&outcomes, |outcome| outcome.missed.into()),
                mean(&outcomes, |outcome| outcome.false_isolations.into()),
                mean(&outcomes, |outcome| outcome.restored),
                worst_doubt,
                mean(&outcomes, |outcome| outcome.false_doubts.into()),
            );
        }
    }

    fn print_sound_endpoints(&self) {
        let errors = [0.01, 0.05, 0.1, 0.2].map(|share| Fault::Errors { share });
        let long = Fault::Hanging { endpoints: 0, share: 0.0, long: 0.03 };
        println!(
            "\nisolations (and doubts) of good endpoints for 10 s: 1, 5, 10, 20 % errors, 3 % long"
        );
        for &rule in &self.rules {
            print!("{:<42}", format!("{rule:?}"));
            for fault in errors.into_iter().chain([long]) {
                let outcomes = self.runs(rule, fault);
                let isolations = mean(&outcomes, |outcome| outcome.false_isolations.into());
                let doubts = mean(&outcomes, |outcome| outcome.false_doubts.into());
                print!(" {isolations:>6.1} {:>8}", format!("({doubts:.1})"));
            }
            println!();
        }
    }
}

fn mean(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64
}

fn main() {
    let mut rules = vec![
        Rule::Consecutive { limit: 4 },
        Rule::Consecutive { limit: 5 },
        Rule::Consecutive { limit: 6 },
        Rule::Consecutive { limit: 8 },
        Rule::ErrorRate { window: 8, limit: 6 },
        Rule::ErrorRate { window: 10, limit: 7 },
        Rule::ErrorRate { window: 16, limit: 10 },
        Rule::PenaltyReward { penalty: 4, reward: 2 },
        Rule::PenaltyReward { penalty: 6, reward: 2 },
        Rule::PenaltyReward { penalty: 6, reward: 4 },
        Rule::PenaltyReward { penalty: 8, reward: 2 },
        Rule::PenaltyReward { penalty: 8, reward: 8 },
        Rule::Likelihood { bits: 12 },
        Rule::Likelihood { bits: 14 },
        Rule::Likelihood { bits: 16 },
        Rule::Likelihood { bits: 20 },
    ];
    assert_eq!(Monitor::new().state(EndpointId(0)), State::Open);
    let arguments: Vec<_> = env::args().skip(1).filter(|word| !word.starts_with('-')).collect();
    let endpoints = arguments.first().and_then(|word| word.parse().ok()).unwrap_or(ENDPOINTS);
    if let Some(name) = arguments.get(1) {
        rules.retain(|rule| format!("{rule:?}").contains(name.as_str()));
    }
    println!(
        "{SEEDS} runs each with {endpoints} endpoints; 'lost first' and 'lost, doubt' are the most \
         of any endpoint and run, others are means"
    );
    let comparison = Comparison { endpoints, rules };
    let some = |part: usize| (endpoints / part).max(1);
    let faulty = |endpoints, share| Fault::FaultyEndpoints { endpoints, share };
    let hanging = |endpoints, long| Fault::Hanging { endpoints, share: 0.3, long };
    for (name, fault) in [
        ("one endpoint fails all for 10 s", faulty(1, 1.0)),
        ("one endpoint fails 70% for 10 s", faulty(1, 0.7)),
        ("one endpoint fails 40% for 10 s", faulty(1, 0.4)),
        ("one endpoint lets 30% hang for 10 s", hanging(1, 0.0)),
        ("one endpoint lets 30% hang for 10 s, 3% long tasks everywhere", hanging(1, 0.03)),
        ("15% of the endpoints let 30% hang for 10 s", hanging((endpoints * 3).div_ceil(20), 0.0)),
        ("a rack of 16% of the endpoints fails all for 10 s", faulty(some(6), 1.0)),
        ("half of the endpoints fail all for 10 s", faulty(some(2), 1.0)),
    ] {
        comparison.print_faulty_endpoints(name, fault);
    }
    comparison.print_sound_endpoints();
}
