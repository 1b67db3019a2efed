//! Capacity that a keeper lends and gets back.

use super::{Sink, encoded, steady};
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

/// Times that capacity is lent and returned.
const ROUNDS: u64 = 10;

/// Firms that a wish names at most.
const FIRMS: usize = 64;

/// The pool of all workers, as messages name it.
const WORKERS: ServiceId = ServiceId(0);

/// Tasks of these needs that fit on one worker.
const PER_WORKER: u32 = 64;

const NEEDS: Resources = Resources {
    slots: Slots(1),
    cores: Cores(1_000),
    memory: Memory(1 << 30),
    accelerators: site::unit::Accelerators(0),
};

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    ENDPOINTS.into_iter().try_for_each(|endpoints| sink(steady(|| point(endpoints))?))
}

fn point(endpoints: usize) -> Result<Point, Error> {
    let (keeper, borrower) = pair(endpoints)?;
    let (mut grants, mut time, mut bytes) = (0, 0.0, 0.0);
    for round in 1..=ROUNDS {
        let now = Time(1) + Span::from_millis(10 * round);
        let wanted = endpoints as u32 * PER_WORKER / 2;
        let want = Message::CapacityRequest(CapacityRequest {
            service: WORKERS,
            tasks: wanted,
            held: 0,
            needs: NEEDS,
            demand: vec![],
        });
        let mut out = Vec::new();
        let (lent, spent) = timed(|| {
            let message = want.clone();
            keeper.handle(now, Event::Message { from: borrower, message }, &mut out);
            lends(&out)
        });
        time += spent;
        grants += lent.len();
        let back = Message::Return(ServiceGrants { service: WORKERS, grants: lent });
        let sent = out.iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        });
        bytes += encoded(sent)? + encoded([&want, &back])?;
        let message = back;
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
        (Quantity::WishBytes, encoded([&wish()])?),
    ];
    Ok(Point::new(Probe::Lend, endpoints, values))
}

/// The longest wish.
fn wish() -> Message {
    let demand = |number| Demand { firm: FirmId::of(&folder::firm(number)), jobs: 3 };
    let demand = (0..FIRMS).map(demand).collect();
    Message::CapacityRequest(CapacityRequest {
        service: WORKERS,
        tasks: 500,
        held: 4_000,
        needs: NEEDS,
        demand,
    })
}

fn lends(actions: &[Action]) -> Vec<Grant> {
    let lent = actions.iter().filter_map(|action| match action {
        Action::Send { message: Message::Lend(lend), .. } => Some(&lend.grants),
        _ => None,
    });
    lent.flatten().copied().collect()
}

/// An entry that keeps all endpoints, and one that keeps none.
fn pair(endpoints: usize) -> Result<(Entry, Home), Error> {
    let site = Folder { workers: endpoints, ..Folder::default() }.site()?;
    let homes = [home(0, 0), home(0, 1)];
    let keeps = |own: Home| {
        let entry = entry(own, site.clone(), u32::MAX);
        peers::meet(&entry, Time(1), &homes, &mut Vec::new());
        (entry.leads() == [own]).then_some(entry)
    };
    let found = homes.iter().find_map(|own| Some((keeps(*own)?, *own)));
    let unexpected = Error::Unexpected { probe: Probe::Lend, expected: 1, found: 0 };
    let (keeper, own) = found.ok_or(unexpected)?;
    let [first, second] = homes;
    Ok((keeper, if own == first { second } else { first }))
}
