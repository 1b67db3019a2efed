//! Measures the memory of endpoints and firms in an entry, and the time of a change of members.

use super::{Sink, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{Folder, REPORT},
        load::{Load, entry, home},
        peers,
    },
    measure::{timed, with_heap_growth},
};
use dispatch::Event;
use site::unit::{Span, Time};
use std::sync::Arc;

const ENDPOINTS: [usize; 4] = [50, 633, 1_900, 5_700];

const FIRMS: [usize; 3] = [5, 63, 630];

/// Lead entries before others join.
const PRESENT_LEADS: usize = 27;

/// Lead entries that join, one after the other.
const JOINING_LEADS: usize = 5;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    for endpoints in ENDPOINTS {
        sink(min_of_runs(|| endpoint(endpoints))?)?;
    }
    FIRMS.into_iter().try_for_each(|firms| sink(min_of_runs(|| firm(firms))?))
}

fn endpoint(endpoints: usize) -> Result<Point, Error> {
    let folder = Folder { workers: endpoints, ..Folder::default() };
    let (site, described) = with_heap_growth(|| folder.site());
    let site = site?;
    let (kept, held) = with_heap_growth(|| entry(home(0, 0), site.clone(), u32::MAX));
    drop(kept);
    let values = [
        (Quantity::HeapBytes, (described + held) / endpoints as f64),
        (Quantity::RekeyNs, rekey(&folder)?),
    ];
    Ok(Point::new(Probe::Endpoint, endpoints, values))
}

/// Returns the least processor time, in nanoseconds, that a joining lead entry costs a present one.
fn rekey(folder: &Folder) -> Result<f64, Error> {
    let entry = entry(home(0, 0), folder.site()?, 1);
    let homes = peers::homes(1, PRESENT_LEADS + JOINING_LEADS);
    let (present, joining) = homes.split_at(PRESENT_LEADS);
    let mut out = Vec::new();
    peers::connect(&entry, Time(1), present, &mut out);
    let mut least = f64::INFINITY;
    for (number, peer) in joining.iter().enumerate() {
        let now = Time(2) + Span(number as u64);
        let up = Event::PeerUp { peer: *peer };
        let ((), time) = timed(|| entry.handle(now, up, &mut out));
        least = least.min(time);
    }
    let (expected, found) = ((PRESENT_LEADS + JOINING_LEADS) as u64, entry.leads().len() as u64);
    match found == expected {
        true => Ok(least),
        false => Err(Error::Unexpected { probe: Probe::Endpoint, expected, found }),
    }
}

/// Measures the memory of a firm with two crews, two contracts, a quota and a task that ended.
fn firm(firms: usize) -> Result<Point, Error> {
    let folder = |firms| Folder { workers: 50, firms, quota: Some(240), ..Folder::default() };
    let state = |firms| -> Result<_, Error> {
        let site = folder(firms).site()?;
        let mut load = Load::new(entry(home(0, 0), Arc::clone(&site), u32::MAX), REPORT, firms);
        let submissions = load.prepare(vec![1; firms]);
        load.run(submissions, Span::from_millis(1));
        load.finish_all();
        // Lets the entry forget the answers, so that they are not counted.
        load.advance(load.now + Span::from_secs(600));
        Ok(load)
    };
    let (few, base) = with_heap_growth(|| state(1));
    let (many, grown) = with_heap_growth(|| state(firms));
    few.and(many)?;
    let each = (grown - base) / (firms - 1) as f64;
    Ok(Point::new(Probe::Firm, firms, [(Quantity::HeapBytes, each)]))
}
