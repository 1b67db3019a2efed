//! Measures the usage messages that entries exchange about firms with a quota.

use super::{Sink, encoded_len, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{self, Folder, REPORT},
        load::{Load, entry, home},
        peers,
    },
    measure::timed,
};
use dispatch::{Event, Message, message::Usage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{
    id::{FirmId, ServiceId},
    unit::{Slots, Span},
};

/// Entries in each data centre.
const ENTRIES_PER_DATA_CENTRE: [usize; 3] = [1, 3, 6];

const DATA_CENTRES: usize = 9;

const FIRMS: usize = 630;

/// About twice the mean number of running tasks of a firm.
const QUOTA: u32 = 240;

/// Task starts per second on the whole site.
const STARTS_PER_SEC: f64 = 170_000.0;

/// Time between two heartbeats of a peer; one step of virtual time.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);

/// Steps of virtual time before the measurement and during it.
const STEPS: (usize, usize) = (4, 10);

/// Messages received to measure the processor time of one.
const RECEIVED_MESSAGES: u64 = 20_000;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    ENTRIES_PER_DATA_CENTRE.into_iter().try_for_each(|each| sink(min_of_runs(|| point(each))?))
}

fn point(each: usize) -> Result<Point, Error> {
    let folder = Folder {
        data_centres: DATA_CENTRES,
        workers: 5_700,
        firms: FIRMS,
        quota: Some(QUOTA),
        ..Folder::default()
    };
    let homes = peers::homes(DATA_CENTRES, each);
    let mut load = Load::new(entry(home(0, 0), folder.site()?, 1), REPORT, FIRMS);
    peers::connect(&load.entry, load.now, &homes, &mut Vec::new());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let tasks = STARTS_PER_SEC / homes.len() as f64 * HEARTBEAT_INTERVAL.0 as f64 / 1e6;
    let mut step = |load: &mut Load| {
        for peer in &homes[1..] {
            load.handle(Event::Message { from: *peer, message: peers::heartbeat(0) });
        }
        let submissions = load.prepare(job_sizes(&mut random, tasks as usize));
        let gap = Span((HEARTBEAT_INTERVAL.0 as f64 / tasks).max(1.0) as u64);
        load.run(submissions, gap);
    };
    (0..STEPS.0).for_each(|_| step(&mut load));
    load.sent.clear();
    let before = load.answered;
    (0..STEPS.1).for_each(|_| step(&mut load));
    let done = (load.answered - before) as f64;
    let messages: Vec<Message> = std::mem::take(&mut load.sent)
        .into_iter()
        .filter_map(|(_, message)| matches!(message, Message::Usage(_)).then_some(message))
        .collect();
    let values = [
        (Quantity::Messages, messages.len() as f64 / done),
        (Quantity::WireBytes, encoded_len(&messages)? / done),
        (Quantity::CpuNs, receive(&mut load, &homes)),
    ];
    Ok(Point::new(Probe::Usage, homes.len() - 1, values))
}

/// Returns the sizes of jobs with at least `total` tasks in all: two of five are single tasks, the
/// others spread evenly over the orders of magnitude from 5 to 780.
fn job_sizes(random: &mut impl Rng, total: usize) -> Vec<usize> {
    let mut jobs = Vec::new();
    let mut left = total as i64;
    while left > 0 {
        let single = random.random_bool(0.4);
        let exponent: f64 = random.random_range(0.0..1.0);
        let tasks = if single { 1 } else { (5.0 * 156.0_f64.powf(exponent)) as usize };
        left -= tasks as i64;
        jobs.push(tasks);
    }
    jobs
}

/// Returns the processor time of one received message, in nanoseconds.
fn receive(load: &mut Load, homes: &[site::id::Home]) -> f64 {
    let ((), time) = timed(|| {
        for number in 0..RECEIVED_MESSAGES {
            let usage = Usage {
                service: ServiceId(0),
                firm: FirmId::of(&folder::firm(number as usize % FIRMS)),
                running: Slots(number as u32 % 7),
            };
            let from = homes[1 + number as usize % (homes.len() - 1)];
            load.handle(Event::Message { from, message: Message::Usage(usage) });
        }
    });
    time / RECEIVED_MESSAGES as f64
}
