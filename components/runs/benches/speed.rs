//! Compares models of run times by kind on drawn runs.
//!
//! `cargo bench -p runs --bench speed`. docs/design/speed.md holds the results.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runs::{Executor, Options, executor::Kind, speed::Speeds};
use site::{
    id::{DataCentreId, EndpointId, ServiceId},
    unit::{Resources, Span, Time},
};
use std::collections::VecDeque;

const SEEDS: u64 = 20;
const JOBS: usize = 4_000;
/// Runs of each kind that the simple models use.
const WINDOW: usize = 512;
/// Mean time between two jobs of a keeper.
const INTERVAL_MS: u64 = 11;
/// Time for order, start and listing at an entry with little and with much to do, in milliseconds.
const FIXED_MS: [f64; 2] = [3.0, 15.0];
const BUSY_FIXED_MS: [f64; 2] = [20.0, 100.0];

/// Standard deviation of the logarithm of a job's length.
const LENGTH_SPREAD: f64 = 0.4;

/// Mean length in milliseconds, tasks of a job and relative rate of a route.
type Route = (f64, usize, f64);
const BANKING: [Route; 3] = [(51.0, 8, 181.0), (760.0, 4, 33.0), (170.0, 2, 529.0)];
const SHORT: [Route; 1] = [(51.0, 8, 1.0)];

/// One run: kind, estimate and elapsed time in milliseconds.
type Sample = (usize, f64, f64);

trait Model {
    fn observe(&mut self, now: Time, sample: Sample);
    fn predict(&self, kind: usize, length_ms: f64) -> f64;
}

/// Creates a model.
type Start = fn() -> Box<dyn Model>;

/// The median of the ratios to the estimate, of runs with an estimate above a limit.
struct Ratio {
    min_ms: f64,
    ratios: [VecDeque<f64>; 2],
}

impl Model for Ratio {
    fn observe(&mut self, _now: Time, (kind, estimate, elapsed): Sample) {
        if estimate >= self.min_ms {
            push(&mut self.ratios[kind], elapsed / estimate);
        }
    }

    fn predict(&self, kind: usize, length_ms: f64) -> f64 {
        let mut sorted: Vec<_> = self.ratios[kind].iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).map_or(f64::NAN, |ratio| ratio * length_ms)
    }
}

/// Least squares with a fixed part for each kind.
#[derive(Default)]
struct LeastSquares([VecDeque<(f64, f64)>; 2]);

impl Model for LeastSquares {
    fn observe(&mut self, _now: Time, (kind, estimate, elapsed): Sample) {
        push(&mut self.0[kind], (estimate, elapsed));
    }

    fn predict(&self, kind: usize, length_ms: f64) -> f64 {
        let runs = &self.0[kind];
        let mean =
            |value: fn(&(f64, f64)) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
        let (estimate, elapsed) = (mean(|run| run.0), mean(|run| run.1));
        let covariance = mean(|run| run.0 * run.1) - estimate * elapsed;
        let slope = covariance / (mean(|run| run.0 * run.0) - estimate * estimate);
        elapsed + slope * (length_ms - estimate)
    }
}

/// The model of the crate.
struct Crate(Speeds, [Executor; 2]);

impl Model for Crate {
    fn observe(&mut self, now: Time, (kind, estimate, elapsed): Sample) {
        let span = |ms: f64| Span((ms * 1e3) as u64);
        self.0.observe(now, &self.1[kind], span(elapsed), span(estimate));
        self.0.refresh(now);
    }

    fn predict(&self, kind: usize, length_ms: f64) -> f64 {
        self.0.run_time(&self.1[kind], Span((length_ms * 1e3) as u64)).0 as f64 / 1e3
    }
}

fn push<T>(window: &mut VecDeque<T>, value: T) {
    window.push_back(value);
    if window.len() > WINDOW {
        window.pop_front();
    }
}

fn executor(kind: usize) -> Executor {
    let name = ["a", "b"][kind];
    Executor {
        id: EndpointId::of(name),
        name: name.into(),
        incarnation: None,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreId(1),
        service: ServiceId::of("service"),
        capacity: Resources::default(),
        kind: Some(Kind(name.into())),
        labels: Vec::new(),
        leaving: false,
    }
}

/// Runs of one job: estimates off by up to 40%, tasks that differ by 15%, three in a hundred seven
/// times as long, a third of them on kind `b`.
fn job(
    routes: &[Route],
    fixed: [f64; 2],
    factors: [f64; 2],
    random: &mut ChaCha8Rng,
) -> Vec<Sample> {
    let total: f64 = routes.iter().map(|route| route.2).sum();
    let mut at = random.random_range(0.0..total);
    let fits = |route: &&Route| {
        at -= route.2;
        at < 0.0
    };
    let (mean, tasks, _) = *routes.iter().find(fits).unwrap_or(&routes[0]);
    // Nearly normal, with a standard deviation of 1.
    let normal = (0..12).map(|_| random.random_range(-0.5..0.5)).sum::<f64>();
    let length = mean * (LENGTH_SPREAD * normal).exp();
    let estimate = length * random.random_range(0.6..1.4);
    let run = |_| {
        let kind = usize::from(random.random_ratio(1, 3));
        let tail = if random.random_bool(0.03) { 7.0 } else { 1.0 };
        let run = factors[kind] * length * random.random_range(0.85..1.15) * tail;
        (kind, estimate, run + random.random_range(fixed[0]..fixed[1]))
    };
    (0..tasks).map(run).collect()
}

/// Prints mean and standard deviation of the error at several lengths, in percent, sampled after a
/// quarter, half, three quarters and all of the jobs.
fn compare(title: &str, routes: &[Route], fixed: [f64; 2], factors: [f64; 2]) {
    println!("{title}: error in % of the mean run time, and its deviation");
    let models: [(&str, Start); 4] = [
        ("ratio", || Box::new(Ratio { min_ms: 0.0, ratios: Default::default() })),
        ("ratio above 250 ms", || Box::new(Ratio { min_ms: 250.0, ratios: Default::default() })),
        ("least squares", || Box::new(LeastSquares::default())),
        ("crate", || Box::new(Crate(Speeds::new(&Options::default()), [executor(0), executor(1)]))),
    ];
    for (name, model) in models {
        let mut errors = vec![Vec::new(); 2 * routes.len()];
        for seed in 0..SEEDS {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let mut model = model();
            for number in 1..=JOBS {
                let now = Time(1_000_000 + number as u64 * INTERVAL_MS * 1_000);
                job(routes, fixed, factors, &mut random)
                    .into_iter()
                    .for_each(|s| model.observe(now, s));
                if number % (JOBS / 4) == 0 {
                    for (index, errors) in errors.iter_mut().enumerate() {
                        let (kind, length) = (index % 2, routes[index / 2].0);
                        let real = fixed.iter().sum::<f64>() / 2.0 + factors[kind] * length;
                        errors.push(100.0 * (model.predict(kind, length) / real - 1.0));
                    }
                }
            }
        }
        print!("  {name:20}");
        for (index, errors) in errors.iter().enumerate() {
            let mean = errors.iter().sum::<f64>() / errors.len() as f64;
            let squares: f64 = errors.iter().map(|error| (error - mean).powi(2)).sum();
            let deviation = (squares / errors.len() as f64).sqrt();
            let (kind, length) = (["a", "b"][index % 2], routes[index / 2].0);
            print!(" {kind}{length:.0}: {mean:+.0} ± {deviation:.0}");
        }
        println!();
    }
}

/// Prints after how many jobs the kinds first count as uneven and for how many they do.
fn uneven(factors: [f64; 2]) {
    let (mut first, mut total, mut ever) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut model = Crate(Speeds::new(&Options::default()), [executor(0), executor(1)]);
        let is_uneven = |number| {
            let now = Time(1_000_000 + number as u64 * INTERVAL_MS * 1_000);
            job(&BANKING, FIXED_MS, factors, &mut random)
                .into_iter()
                .for_each(|s| model.observe(now, s));
            model.0.is_uneven()
        };
        let uneven: Vec<bool> = (1..=JOBS).map(is_uneven).collect();
        total += uneven.iter().filter(|uneven| **uneven).count();
        if let Some(at) = uneven.iter().position(|uneven| *uneven) {
            (first, ever) = (first + at, ever + 1);
        }
    }
    let share = 100.0 * total as f64 / (SEEDS as usize * JOBS) as f64;
    let first = first.checked_div(ever).unwrap_or_default();
    println!("  {factors:?}: {ever} of {SEEDS} seeds, after {first} jobs, {share:.0}% of the time");
}

fn main() {
    compare("three routes", &BANKING, FIXED_MS, [0.7, 1.7]);
    compare("three routes, busy entry", &BANKING, BUSY_FIXED_MS, [0.7, 1.7]);
    compare("one route", &SHORT, FIXED_MS, [0.7, 1.7]);
    println!("kinds count as uneven");
    for factors in [[1.0, 1.0], [1.0, 1.3], [0.7, 1.0], [1.0, 1.6], [0.7, 1.7]] {
        uneven(factors);
    }
}
