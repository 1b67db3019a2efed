//! Simulates the network between entries: one connection for each pair of processes.

use super::simulation::{Delivery, ProcessState, Simulation};
use ::site::{id::Home, unit::Span};
use dispatch::{Event, Message};
use std::collections::BTreeSet;

/// One-way latency between two entries.
const PEER_LATENCY: Span = Span(500);

impl Simulation {
    /// Partitions two VMs from each other; their connections break at once.
    pub fn partition(&mut self, a: usize, b: usize) {
        self.partitions.insert((a.min(b), a.max(b)));
        self.drop_connection(a, b);
    }

    pub fn heal(&mut self, a: usize, b: usize) {
        self.partitions.remove(&(a.min(b), a.max(b)));
        self.connect_all();
    }

    /// Breaks the connections between two VMs; messages in transit are lost.
    pub fn drop_connection(&mut self, a: usize, b: usize) {
        let of = |vm: usize| {
            let ours = self.processes.iter().filter(move |p| p.home.entry.0 == vm as u64);
            ours.map(|p| p.home).collect::<Vec<_>>()
        };
        let (theirs, ours) = (of(b), of(a));
        for x in ours {
            theirs.iter().for_each(|y| self.disconnect(x, *y));
        }
    }

    pub(super) fn disconnect(&mut self, a: Home, b: Home) {
        let number = self.connections.entry(pair(a, b)).or_default();
        if *number % 2 == 1 {
            *number += 1;
            self.deliver_after(PEER_LATENCY, Delivery::Event(a, Event::PeerDown { peer: b }));
            self.deliver_after(PEER_LATENCY, Delivery::Event(b, Event::PeerDown { peer: a }));
        }
    }

    /// Connects all processes that can reach each other.
    pub fn connect_all(&mut self) {
        let up = self.processes.iter().filter(|p| p.state != ProcessState::Ended);
        let homes: Vec<Home> = up.map(|process| process.home).collect();
        for (position, a) in homes.iter().enumerate() {
            for b in &homes[..position] {
                let number = self.connections.entry(pair(*a, *b)).or_default();
                if *number % 2 == 1 || !reaches(&self.partitions, *a, *b) {
                    continue;
                }
                *self.connections.entry(pair(*a, *b)).or_default() += 1;
                let wait = PEER_LATENCY + PEER_LATENCY;
                self.deliver_after(wait, Delivery::Event(*a, Event::PeerUp { peer: *b }));
                self.deliver_after(wait, Delivery::Event(*b, Event::PeerUp { peer: *a }));
            }
        }
    }

    pub(super) fn send(&mut self, from: Home, to: Home, message: Message) {
        let connection = self.connections.get(&pair(from, to)).copied().unwrap_or_default();
        match connection % 2 {
            1 => self
                .deliver_after(PEER_LATENCY, Delivery::Message { from, to, connection, message }),
            _ => self
                .deliver_after(PEER_LATENCY, Delivery::Event(from, Event::PeerDown { peer: to })),
        }
    }

    /// Returns whether a message sent on that connection still arrives.
    pub(super) fn is_connected(&self, a: Home, b: Home, connection: u32) -> bool {
        self.connections.get(&pair(a, b)) == Some(&connection)
    }
}

fn pair(a: Home, b: Home) -> (Home, Home) {
    (a.min(b), a.max(b))
}

fn reaches(partitions: &BTreeSet<(usize, usize)>, a: Home, b: Home) -> bool {
    let (x, y) = (a.entry.0 as usize, b.entry.0 as usize);
    x != y && !partitions.contains(&(x.min(y), x.max(y)))
}
