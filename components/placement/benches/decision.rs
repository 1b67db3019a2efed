//! Measures the time of one decision at the present and at full size: pop a task, choose its
//! endpoint, release it, finish the task. Each step is timed over a batch; the total is their sum.
//! Queueing the next tasks and picking the ones that end is not part of a decision and not timed.

use fairness::{JobKey, Key, Queue};
use placement::{Endpoint, Pool, RackCounts};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{
    id::{CrewId, EndpointId, FirmId, RackId},
    unit::{Accelerators, Cores, Memory, Resources, Slots, Span},
};
use std::time::Instant;

/// Number of decisions in one sample.
const BATCH: usize = 64;
/// Number of samples of one case.
const SAMPLES: usize = 10_000;
/// Number of samples of one size before those of the other. Sizes alternate because the speed of
/// the machine varies over time, and both sizes must be measured under the same conditions.
const BLOCK: usize = 200;
/// Numbers of endpoints and firms, at the present and at full size.
const SIZES: [(u64, u64); 2] = [(50, 5), (5_700, 630)];
/// Number of queued tasks of a job.
const TASKS: usize = 20;
/// Number of jobs queued for each firm.
const JOBS: usize = 20;
/// Share of the capacity that is in use.
const LOAD: f64 = 0.8;
/// Expected run time of each task.
const COST: Span = Span::from_millis(300);
/// The steps of a decision that are timed.
const STEPS: [&str; 5] = ["pop", "choose", "release", "finish", "total"];

/// Duration of each step in nanoseconds.
type Sample = [f64; STEPS.len()];

/// The kind of endpoints of a case.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Executors,
    Workers,
}

impl Shape {
    fn capacity(self) -> Resources {
        match self {
            Shape::Executors => Resources { slots: Slots(8), ..Resources::default() },
            Shape::Workers => Resources {
                slots: Slots(256),
                cores: Cores(64_000),
                memory: Memory(256 << 30),
                accelerators: Accelerators(0),
            },
        }
    }

    /// Returns the amount in the unit of the load: slots or cores.
    fn size(self, resources: &Resources) -> f64 {
        match self {
            Shape::Executors => f64::from(resources.slots.0),
            Shape::Workers => f64::from(resources.cores.0) / 1_000.0,
        }
    }

    fn need(self, number: usize) -> Resources {
        match self {
            Shape::Executors => Resources::SLOT,
            Shape::Workers => Resources {
                slots: Slots(1),
                cores: Cores(500 + 500 * (number % 7) as u32),
                memory: Memory((1 + number as u64 % 5) << 30),
                accelerators: Accelerators(0),
            },
        }
    }
}

/// A queue, a pool and the running tasks.
struct Case {
    shape: Shape,
    queue: Queue<usize>,
    pool: Pool,
    running: Vec<(Key, EndpointId, Resources)>,
    spread: RackCounts,
}

impl Case {
    fn new(shape: Shape, endpoints: u64, firms: u64) -> Self {
        let mut pool = Pool::new(1);
        for id in 0..endpoints {
            pool.insert(Endpoint {
                id: EndpointId(id),
                rack: RackId(id / 8),
                remote: id % 3 == 0,
                capacity: shape.capacity(),
            });
        }
        let mut queue = Queue::new();
        let tasks = (0..firms).flat_map(|firm| (0..JOBS * TASKS).map(move |task| (firm, task)));
        for (firm, task) in tasks {
            queue.push(key(firm, task / TASKS), COST, task);
        }
        let running = Vec::new();
        let mut case = Self { shape, queue, pool, running, spread: RackCounts::default() };
        case.fill(endpoints);
        case
    }

    /// Starts tasks until the load is reached.
    fn fill(&mut self, endpoints: u64) {
        let whole = self.shape.size(&self.shape.capacity()) * endpoints as f64 * LOAD;
        let mut used = 0.0;
        let mut number = 0;
        while used < whole && self.start(number) {
            used += self.shape.size(&self.shape.need(number));
            number += 1;
        }
    }

    /// Pops a task, queues a copy of it, and places it.
    fn start(&mut self, number: usize) -> bool {
        let Some((key, item)) = self.queue.pop() else { return false };
        self.queue.push(key, COST, item);
        let need = self.shape.need(number);
        match self.pool.choose(&need, &[], Some(&self.spread)) {
            Some(endpoint) => self.running.push((key, endpoint, need)),
            None => self.queue.finish(key.firm, key.crew, COST, COST),
        }
        true
    }

    /// Ends a batch of tasks and starts another. Returns the duration of each step.
    fn sample(&mut self, random: &mut ChaCha8Rng) -> Sample {
        let ended: Vec<_> = (0..BATCH)
            .map(|_| {
                let at = random.random_range(0..self.running.len());
                self.running.swap_remove(at)
            })
            .collect();
        let release = timed(|| {
            ended.iter().for_each(|(_, endpoint, need)| self.pool.release(*endpoint, need));
        });
        let finish = timed(|| {
            ended.iter().for_each(|(key, ..)| {
                self.queue.finish(key.firm, key.crew, COST, Span::from_millis(250));
            });
        });
        let mut popped = Vec::with_capacity(BATCH);
        let pop = timed(|| popped.extend((0..BATCH).filter_map(|_| self.queue.pop())));
        let needs: Vec<_> =
            (0..BATCH).map(|_| self.shape.need(random.random_range(0..35))).collect();
        let mut chosen = Vec::with_capacity(BATCH);
        let choose = timed(|| {
            chosen.extend(needs.iter().map(|need| self.pool.choose(need, &[], Some(&self.spread))));
        });
        for ((key, item), (endpoint, need)) in popped.into_iter().zip(chosen.into_iter().zip(needs))
        {
            self.queue.push(key, COST, item);
            match endpoint {
                Some(endpoint) => self.running.push((key, endpoint, need)),
                None => self.queue.finish(key.firm, key.crew, COST, COST),
            }
        }
        [pop, choose, release, finish, pop + choose + release + finish]
    }
}

/// Returns the medians of the samples for each step, and the 99th percentile of the total.
fn summary(samples: &[Sample]) -> (Sample, f64) {
    let sorted = |step: usize| {
        let mut times: Vec<_> = samples.iter().map(|sample| sample[step]).collect();
        times.sort_by(f64::total_cmp);
        times
    };
    let medians = std::array::from_fn(|step| sorted(step)[samples.len() / 2]);
    (medians, sorted(STEPS.len() - 1)[samples.len() * 99 / 100])
}

/// Returns the nanoseconds per call of a batch of calls.
fn timed(calls: impl FnOnce()) -> f64 {
    let begin = Instant::now();
    calls();
    begin.elapsed().as_nanos() as f64 / BATCH as f64
}

fn key(firm: u64, job: usize) -> Key {
    let job = JobKey(firm * JOBS as u64 + job as u64);
    Key { firm: FirmId(firm), crew: CrewId(firm % 2), job }
}

fn main() {
    println!("ns a decision at {LOAD} load, medians of {SAMPLES} batches of {BATCH}");
    print!("{:<10} {:>9} {:>6}", "shape", "endpoints", "firms");
    STEPS.iter().for_each(|step| print!(" {step:>8}"));
    println!(" {:>8}", "p99");
    for shape in [Shape::Executors, Shape::Workers] {
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let mut cases = SIZES.map(|(endpoints, firms)| Case::new(shape, endpoints, firms));
        let mut samples = SIZES.map(|_| Vec::with_capacity(SAMPLES));
        for _ in 0..SAMPLES / BLOCK {
            for (case, samples) in cases.iter_mut().zip(&mut samples) {
                samples.extend((0..BLOCK).map(|_| case.sample(&mut random)));
            }
        }
        let totals = [0, 1].map(|size| {
            let (endpoints, firms) = SIZES[size];
            let (medians, high) = summary(&samples[size]);
            let shape = format!("{shape:?}");
            print!("{shape:<10} {endpoints:>9} {firms:>6}");
            medians.iter().for_each(|median| print!(" {median:>8.0}"));
            println!(" {high:>8.0}");
            medians[STEPS.len() - 1]
        });
        println!("{shape:?}: ratio of the medians {:.2}", totals[1] / totals[0]);
    }
}
