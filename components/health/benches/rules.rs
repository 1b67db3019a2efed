//! Compares the isolation rules on one simulated pool: tasks lost at faulty endpoints, isolations
//! of good endpoints while errors are frequent everywhere, and the time until a recovered endpoint
//! is restored.
//!
//! Fifty endpoints of eight slots at 70 % load take tasks of 300 ms; each task goes to the least
//! used endpoint that takes work. A faulty endpoint fails after 1 ms, so it attracts work.

use health::{Attempt, Change, Monitor, Observation, Rule, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{
    id::EndpointId,
    unit::{Span, Time},
};
use std::{cmp::Reverse, collections::BinaryHeap};

const ENDPOINTS: usize = 50;
const SLOTS: u32 = 8;
const RUN_TIME: Span = Span::from_millis(300);
const FAST_FAILURE: Span = Span::from_millis(1);
/// Mean time between arrivals in microseconds: 0.7 * 50 * 8 tasks in 300 ms.
const MEAN_ARRIVAL_GAP_US: u64 = 1_071;
/// When endpoints fail.
const FAULT: std::ops::Range<Time> = Time(5_000_000)..Time(15_000_000);
const END: Time = Time(60_000_000);
const SEEDS: u64 = 10;

/// A simulated fault.
#[derive(Clone, Copy)]
enum Fault {
    /// The first endpoints fail this share of their tasks after 1 ms.
    FaultyEndpoints { endpoints: usize, share: f64 },
    /// All endpoints fail this share of their tasks after the usual run time.
    Errors { share: f64 },
}

impl Fault {
    /// Returns the run time of an attempt that starts now, and whether it fails.
    fn attempt(self, now: Time, at: usize, random: &mut ChaCha8Rng) -> (Span, bool) {
        let (share, failure_time) = match self {
            Fault::FaultyEndpoints { endpoints, share } if at < endpoints => (share, FAST_FAILURE),
            Fault::FaultyEndpoints { .. } => (0.0, RUN_TIME),
            Fault::Errors { share } => (share, RUN_TIME),
        };
        let failed = FAULT.contains(&now) && random.random_bool(share);
        let run_time = Span(RUN_TIME.0 * random.random_range(50..150) / 100);
        (if failed { failure_time.min(run_time) } else { run_time }, failed)
    }

    fn is_faulty(self, at: usize) -> bool {
        matches!(self, Fault::FaultyEndpoints { endpoints, .. } if at < endpoints)
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
    /// Seconds from the end of the fault until the last faulty endpoint was restored.
    restored: f64,
}

struct Run {
    fault: Fault,
    monitor: Monitor,
    busy: [u32; ENDPOINTS],
    lost: [u32; ENDPOINTS],
    isolated: [bool; ENDPOINTS],
    /// Ends of attempts in flight: time, endpoint, start, whether it failed.
    ends: BinaryHeap<Reverse<(Time, usize, Time, bool)>>,
    waiting: u32,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl Run {
    fn new(rule: Rule, fault: Fault, seed: u64) -> Self {
        let mut monitor = Monitor::with_rule(rule);
        (0..ENDPOINTS).for_each(|at| monitor.insert(EndpointId(at as u64)));
        Self {
            fault,
            monitor,
            busy: [0; ENDPOINTS],
            lost: [0; ENDPOINTS],
            isolated: [false; ENDPOINTS],
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
            arrival = arrival + Span(self.random.random_range(0..2 * MEAN_ARRIVAL_GAP_US));
        }
        let faulty = (0..ENDPOINTS).filter(|&at| self.fault.is_faulty(at));
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
                self.monitor.tick(now, &mut Vec::new());
            } else if let Some(Reverse((_, at, start, failed))) = self.ends.pop() {
                self.end(now, at, start, failed);
            }
            self.place(now);
        }
    }

    fn end(&mut self, now: Time, at: usize, start: Time, failed: bool) {
        self.busy[at] -= 1;
        let what = match failed {
            true => Observation::Failed,
            false => Observation::Done { elapsed: now.since(start), expected: RUN_TIME },
        };
        let faulty = self.fault.is_faulty(at);
        if failed && faulty {
            self.lost[at] += 1;
            self.outcome.lost += 1;
        }
        let attempt = Attempt { started: Some(start), cause: None };
        match self.monitor.observe_attempt(now, EndpointId(at as u64), what, attempt) {
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
            let offset = self.random.random_range(0..ENDPOINTS);
            let free = (0..ENDPOINTS)
                .map(|at| (at + offset) % ENDPOINTS)
                .filter(|&at| self.busy[at] < SLOTS)
                .filter(|&at| self.monitor.is_open(EndpointId(at as u64)))
                .min_by_key(|&at| self.busy[at]);
            let Some(at) = free else { return };
            let granted = self.monitor.try_acquire(now, EndpointId(at as u64));
            assert!(granted, "an open endpoint grants an attempt");
            let (time, failed) = self.fault.attempt(now, at, &mut self.random);
            self.busy[at] += 1;
            self.waiting -= 1;
            self.ends.push(Reverse((now + time, at, now, failed)));
        }
    }
}

/// Runs one rule and fault with all seeds.
fn runs(rule: Rule, fault: Fault) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| Run::new(rule, fault, seed).run()).collect()
}

fn mean(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64
}

fn print_faulty_endpoints(name: &str, endpoints: usize, share: f64, rules: &[Rule]) {
    println!("\n{name}");
    println!(
        "{:<42} {:>10} {:>10} {:>8} {:>8} {:>10}",
        "rule", "lost first", "lost", "missed", "false", "restored s"
    );
    for &rule in rules {
        let outcomes = runs(rule, Fault::FaultyEndpoints { endpoints, share });
        let worst = outcomes.iter().map(|outcome| outcome.lost_first).max().unwrap_or(0);
        println!(
            "{:<42} {:>10} {:>10.1} {:>8.1} {:>8.1} {:>10.2}",
            format!("{rule:?}"),
            worst,
            mean(&outcomes, |outcome| outcome.lost.into()),
            mean(&outcomes, |outcome| outcome.missed.into()),
            mean(&outcomes, |outcome| outcome.false_isolations.into()),
            mean(&outcomes, |outcome| outcome.restored),
        );
    }
}

fn print_errors(rules: &[Rule]) {
    let shares = [0.01, 0.05, 0.1, 0.2];
    println!("\nisolations of good endpoints while all fail a share of their tasks for 10 s");
    print!("{:<42}", "rule");
    shares.iter().for_each(|share| print!(" {:>7.0}%", share * 100.0));
    println!();
    for &rule in rules {
        print!("{:<42}", format!("{rule:?}"));
        for share in shares {
            let outcomes = runs(rule, Fault::Errors { share });
            print!(" {:>8.1}", mean(&outcomes, |outcome| outcome.false_isolations.into()));
        }
        println!();
    }
}

fn main() {
    let rules = [
        Rule::Consecutive { limit: 4 },
        Rule::Consecutive { limit: 5 },
        Rule::Consecutive { limit: 6 },
        Rule::Consecutive { limit: 8 },
        Rule::ErrorRate { window: 8, limit: 6 },
        Rule::ErrorRate { window: 10, limit: 7 },
        Rule::ErrorRate { window: 16, limit: 10 },
        Rule::PenaltyReward { penalty: 6, reward: 2 },
        Rule::PenaltyReward { penalty: 6, reward: 4 },
        Rule::PenaltyReward { penalty: 8, reward: 2 },
        Rule::PenaltyReward { penalty: 8, reward: 8 },
    ];
    assert_eq!(Monitor::new().state(EndpointId(0)), State::Open);
    println!(
        "{SEEDS} runs each; 'lost first' is the most of any endpoint and run, others are means"
    );
    print_faulty_endpoints("one endpoint fails all for 10 s", 1, 1.0, &rules);
    print_faulty_endpoints("one endpoint fails 70% for 10 s", 1, 0.7, &rules);
    print_faulty_endpoints("one endpoint fails 40% for 10 s", 1, 0.4, &rules);
    print_faulty_endpoints("a rack of eight endpoints fails all for 10 s", 8, 1.0, &rules);
    print_faulty_endpoints("half of the endpoints fail all for 10 s", 25, 1.0, &rules);
    print_errors(&rules);
}
