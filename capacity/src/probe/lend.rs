//! Measures capacity that a keeper lends to another entry and that is returned.

use super::{Sink, encoded_len, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{self, Folder},
        load::{entry, home},
        peers,
    },
    measure::timed,
};
use dispatch::{
    Action, Entry, Event, Message,
    message::{CapacityRequest, Demand, Grant, ServiceGrants},
};
use site::{
    id::{FirmId, Home, ServiceId},
    unit::{Cores, Memory, Resources, Slots, Span, Time},
};

const ENDPOINTS: [usize; 3] = [50, 633, 1_900];

/// Number of times that capacity is lent and returned.
const ROUNDS: u64 = 10;

/// Firms that the largest measured capacity request names.
const REQUEST_FIRMS: usize = 64;

/// Service id that stands for the pool of all workers in messages.
const WORKERS: ServiceId = ServiceId(0);

/// Number of tasks with [`NEEDS`] that fit on one worker.
const TASKS_PER_WORKER: u32 = 64;

const NEEDS: Resources = Resources {
    slots: Slots(1),
    cores: Cores(1_000),
    memory: Memory(1 << 30),
    accelerators: site::unit::Accelerators(0),
};

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    ENDPOINTS.into_iter().try_for_each(|endpoints| sink(min_of_runs(|| point(endpoints))?))
}

fn point(endpoints: usize) -> Result<Point, Error> {
    let (keeper, borrower) = pair(endpoints)?;
    let (mut grants, mut time, mut bytes) = (0, 0.0, 0.0);
    for round in 1..=ROUNDS {
        let now = Time(1) + Span::from_millis(10 * round);
        let wanted = endpoints as u32 * TASKS_PER_WORKER / 2;
        let request = Message::CapacityRequest(CapacityRequest {
            service: WORKERS,
            tasks: wanted,
            held: 0,
            needs: NEEDS,
            demand: vec![],
        });
        let mut out = Vec::new();
        let (lent, spent) = timed(|| {
            let message = request.clone();
            keeper.handle(now, Event::Message { from: borrower, message }, &mut out);
            lent_grants(&out)
        });
        time += spent;
        grants += lent.len();
        let returned = Message::Return(ServiceGrants { service: WORKERS, grants: lent });
        let sent = out.iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        });
        bytes += encoded_len(sent)? + encoded_len([&request, &returned])?;
        let message = returned;
        let now = now + Span::from_millis(5);
        time +=
            timed(|| keeper.handle(now, Event::Message { from: borrower, message }, &mut out)).1;
    }
    let expected = ROUNDS * endpoints as u64 / 2;
    if (grants as u64) < expected {
        return Err(Error::Unexpected { probe: Probe::Lend, expected, found: grants as u64 });
    }
    let each = grants as f64;
    let values = [
        (Quantity::CpuNs, time / each),
        (Quantity::WireBytes, bytes / each),
        (Quantity::WishBytes, encoded_len([&largest_request()])?),
    ];
    Ok(Point::new(Probe::Lend, endpoints, values))
}

/// Returns the largest capacity request of the measurement.
fn largest_request() -> Message {
    let demand = |number| Demand { firm: FirmId::of(&folder::firm(number)), jobs: 3 };
    let demand = (0..REQUEST_FIRMS).map(demand).collect();
    Message::CapacityRequest(CapacityRequest {
        service: WORKERS,
        tasks: 500,
        held: 4_000,
        needs: NEEDS,
        demand,
    })
}

fn lent_grants(actions: &[Action]) -> Vec<Grant> {
    let lent = actions.iter().filter_map(|action| match action {
        Action::Send { message: Message::Lend(lend), .. } => Some(&lend.grants),
        _ => None,
    });
    lent.flatten().copied().collect()
}

/// Returns an entry that keeps all endpoints, and the home of one that keeps none.
fn pair(endpoints: usize) -> Result<(Entry, Home), Error> {
    let site = Folder { workers: endpoints, ..Folder::default() }.site()?;
    let homes = [home(0, 0), home(0, 1)];
    let keeps = |own: Home| {
        let entry = entry(own, site.clone(), u32::MAX);
        peers::connect(&entry, Time(1), &homes, &mut Vec::new());
        (entry.leads() == [own]).then_some(entry)
    };
    let found = homes.iter().find_map(|own| Some((keeps(*own)?, *own)));
    let unexpected = Error::Unexpected { probe: Probe::Lend, expected: 1, found: 0 };
    let (keeper, own) = found.ok_or(unexpected)?;
    let [first, second] = homes;
    Ok((keeper, if own == first { second } else { first }))
}
