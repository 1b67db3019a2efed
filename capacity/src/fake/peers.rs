//! Fake peers of an entry: their identities, heartbeats and connections.

use crate::fake::{folder, load::home};
use dispatch::{Action, Entry, Event, Message, message::Heartbeat};
use site::{
    id::{DataCentreId, Home},
    unit::{Revision, Time},
};

/// Returns the processes numbered `0..each` in each of `data_centres` data centres.
pub fn homes(data_centres: usize, each: usize) -> Vec<Home> {
    (0..data_centres).flat_map(|dc| (0..each).map(move |number| home(dc, number))).collect()
}

/// Returns the id of data centre number `number`.
pub fn data_centre(number: usize) -> DataCentreId {
    DataCentreId::of(&folder::data_centre(number))
}

/// Creates a heartbeat of an entry with the first revision of the settings.
pub fn heartbeat(epoch: u32) -> Message {
    Message::Heartbeat(Heartbeat { revision: Revision(1), epoch, draining: false, adopted: vec![] })
}

/// Reports `peers` to `entry` as registered and connected, and delivers a heartbeat of each.
pub fn connect(entry: &Entry, now: Time, peers: &[Home], out: &mut Vec<Action>) {
    let others: Vec<Home> = peers.iter().copied().filter(|peer| *peer != entry.home()).collect();
    entry.handle(now, Event::Registry { entries: others.clone() }, out);
    for peer in others {
        entry.handle(now, Event::PeerUp { peer }, out);
        entry.handle(now, Event::Message { from: peer, message: heartbeat(0) }, out);
    }
}
