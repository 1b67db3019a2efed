//! Draws the arrivals of a simulation from a pattern and a seed.

use super::{Kind, Pattern};
use crate::simulation::{Arrival, DataCentre, Plan, service};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, weighted::WeightedIndex};
use runs::{Job, job::Stretch};
use site::unit::{Cores, Memory, Resources, Slots, Span, Time};
use std::f64::consts::TAU;

/// Number of callers of each data centre; each submits to the same entry while that is up.
const CALLERS_PER_DATA_CENTRE: usize = 10;

/// Memory that each task needs.
const TASK_MEMORY: Memory = Memory(64 << 20);

/// Number of failures of one task after which its job fails.
const MAX_TASK_FAILURES: u16 = 3;

/// Multiple of a job's objective, computed from the estimate, until which an answer counts for its
/// caller. The job is given up after it.
const GIVE_UP_FACTOR: f64 = 4.2;

impl Pattern {
    /// Returns the plan of the simulation with a seed.
    pub fn plan(&self, seed: u64) -> Plan {
        Plan {
            zones: self.zones.clone(),
            data_centres: self.zones.len(),
            cores: self.cores.clone(),
            machines: self.machines.clone(),
            arrivals: Some(self.arrivals(seed).into()),
            seconds: self.seconds,
            lost_orders: self.lost_orders,
            faults: self.faults.iter().map(|timed| (timed.at_ms, timed.fault)).collect(),
            options: self.options,
            retries: self.retries,
            retry_after_s: self.retry_after_s,
            ..Plan::default()
        }
    }

    fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals: Vec<Arrival> = Vec::new();
        for (number, kind) in self.kinds.iter().enumerate() {
            // Arrivals are drawn at the peak rate and thinned out to the current one.
            let peak_per_s = kind.per_s * self.load * self.peak(number);
            let mut at = 0.0;
            loop {
                let gap: f64 = Exp1.sample(&mut random);
                at += gap / peak_per_s;
                if at >= self.seconds as f64 {
                    break;
                }
                let is_kept =
                    random.random_bool((self.rate(number, at) / self.peak(number)).min(1.0));
                let arrival = self.arrival(number, kind, at, &mut random);
                if is_kept {
                    arrivals.push(arrival);
                }
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        for (index, arrival) in arrivals.iter_mut().enumerate() {
            arrival.job.name = format!("{:016x}", index + 1).into();
        }
        arrivals
    }

    /// Returns the rate of a data centre at a time, as a multiple of its mean rate, without bursts.
    fn swing(&self, data_centre: usize, at: f64) -> f64 {
        self.swing.map_or(1.0, |swing| {
            let phase = (at - swing.shift_s * data_centre as f64) / swing.period_s;
            1.0 + swing.part * (TAU * phase).sin()
        })
    }

    /// Returns the weights of the data centres at a time.
    fn shares(&self, at: f64) -> Vec<f64> {
        let is_shifted = self.swing.is_some_and(|swing| swing.shift_s != 0.0);
        let zones = self.zones.iter().enumerate();
        let weight = |(index, zone): (usize, &DataCentre)| match is_shifted {
            true => zone.share * self.swing(index, at),
            false => zone.share,
        };
        zones.map(weight).collect()
    }

    fn is_in_burst(&self, at: f64) -> bool {
        self.bursts.iter().any(|burst| burst.contains(at))
    }

    /// Returns the rate of a kind at a time, as a multiple of its mean rate.
    fn rate(&self, kind: usize, at: f64) -> f64 {
        let swing = match self.swing {
            Some(swing) if swing.shift_s != 0.0 => {
                let all: f64 = self.zones.iter().map(|zone| zone.share).sum();
                self.shares(at).iter().sum::<f64>() / all
            }
            _ => self.swing(0, at),
        };
        let bursts = self.bursts.iter().filter(|burst| burst.kind.is_none_or(|only| only == kind));
        let bursts = bursts.filter(|burst| burst.contains(at)).map(|burst| burst.x);
        swing * bursts.product::<f64>()
    }

    /// Returns an upper bound of [`rate`](Self::rate).
    fn peak(&self, kind: usize) -> f64 {
        let swing = self.swing.map_or(1.0, |swing| 1.0 + swing.part);
        let bursts = self.bursts.iter().filter(|burst| burst.kind.is_none_or(|only| only == kind));
        swing * bursts.map(|burst| burst.x.max(1.0)).product::<f64>()
    }

    fn arrival(&self, number: usize, kind: &Kind, at: f64, random: &mut ChaCha8Rng) -> Arrival {
        let shares = WeightedIndex::new(self.shares(at));
        let data_centre = shares.map_or(0, |zones| zones.sample(random));
        let caller = random.random_range(0..CALLERS_PER_DATA_CENTRE);
        let tasks = kind.tasks.draw(random).round() as u16;
        let mean_us = kind.task_ms.draw(random) * 1_000.0;
        let mut deviation = |part: f64| 1.0 + part * random.random_range(-1.0..=1.0);
        let estimate = Span((mean_us * deviation(kind.estimate_off)) as u64);
        let mut lengths: Vec<_> =
            (0..tasks).map(|_| Span((mean_us * deviation(kind.uneven)) as u64)).collect();
        if let Some(tail) = kind.tail.filter(|tail| at >= tail.from_s) {
            let long = |length: Span| Span((length.0 as f64 * tail.factor) as u64);
            for length in &mut lengths {
                if random.random_bool(tail.share) {
                    *length = long(*length);
                }
            }
        }
        let longest = lengths.iter().max().copied().unwrap_or_default();
        let cores = Cores(kind.cores.draw(random) as u32);
        let due = self.objective(estimate);
        let job = Job {
            name: "".into(),
            request: "".into(),
            spec: "x".into(),
            tasks,
            needs: Resources {
                slots: Slots(1),
                cores,
                memory: TASK_MEMORY,
                ..Resources::default()
            },
            label: None,
            per_executor: None,
            estimate,
            service: service(),
            priority: kind.priority,
            max_failures: MAX_TASK_FAILURES,
            due: Time(due.0),
            give_up: Time((due.0 as f64 * GIVE_UP_FACTOR) as u64),
            first_run: 1,
            stretch: Stretch((self.stretch * 100.0).round() as u16),
            route: None,
        };
        Arrival {
            at: Span((at * 1e6) as u64),
            data_centre,
            caller,
            kind: number,
            job,
            lengths,
            objective: self.objective(longest),
            in_burst: self.is_in_burst(at),
        }
    }

    /// Returns the time after which the answer to a job is late, for the length of a task.
    fn objective(&self, task: Span) -> Span {
        Span((task.0 as f64 * self.stretch) as u64) + Span::from_millis(self.target_ms)
    }
}
