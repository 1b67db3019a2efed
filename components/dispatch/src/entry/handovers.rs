//! Records which submission tables have been handed over to which entry.

use crate::message::{Handover, HomeTable};
use rustc_hash::FxHashMap;
use site::{
    id::{Home, Token},
    unit::Time,
};
use std::collections::VecDeque;

/// Maximum number of homes whose successor is remembered. This is many times the number of homes
/// that stop while a table is kept.
const MAX_SUCCESSORS: usize = 4_096;

/// Tables that have been handed over, and the outgoing handover of this entry.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    /// Entry that holds the table of each stopped home. Homes whose table this entry itself holds
    /// are absent.
    pub(super) successors: FxHashMap<Home, Home>,
    /// Homes in `successors`, oldest first; never more than [`MAX_SUCCESSORS`].
    pub(super) successor_order: VecDeque<Home>,
    /// Tables that this entry has taken over, with the time of their arrival.
    pub(super) held: VecDeque<(Time, HomeTable)>,
    /// Homes whose table is being received, with the number of the next expected part.
    pub(super) incoming_parts: FxHashMap<Home, u32>,
    /// Tokens of other homes under which this entry admitted requests, with the time of the latest
    /// one.
    pub(super) foreign_tokens: FxHashMap<Token, Time>,
    pub(super) outgoing: Option<OutgoingHandover>,
    /// Whether [`crate::Action::Exit`] was emitted.
    pub(super) exited: bool,
}

/// The handover of this entry's own table.
#[derive(Debug)]
pub(super) struct OutgoingHandover {
    pub(super) successor: Home,
    /// Number of the part that was sent last.
    pub(super) last_sent: u32,
    /// Parts that are not yet sent. The next one is sent when the previous one is stored.
    pub(super) parts: VecDeque<Handover>,
    /// Time at which the handover is given up.
    pub(super) deadline: Time,
    /// Whether the successor has stored all parts.
    pub(super) done: bool,
}

impl OutgoingHandover {
    /// Returns whether `part` is the one in flight.
    pub(super) fn is_awaiting(&self, part: u32) -> bool {
        !self.done && part == self.last_sent
    }
}

impl Handovers {
    /// Records which entry holds a home's table.
    pub(super) fn record_successor(&mut self, home: Home, successor: Home) {
        if home == successor || self.holds(home) {
            return;
        }
        if self.successors.insert(home, successor).is_none() {
            self.successor_order.push_back(home);
        }
        if self.successor_order.len() > MAX_SUCCESSORS {
            let oldest = self.successor_order.pop_front();
            oldest.map(|home| self.successors.remove(&home));
        }
    }

    /// Returns the entry that holds the table of a home, if it was handed over.
    pub(super) fn successor(&self, home: Home) -> Option<Home> {
        self.successors.get(&home).copied()
    }

    /// Returns up to `limit` homes whose tables this entry holds, latest first.
    pub(super) fn held_homes(&self, limit: usize) -> Vec<Home> {
        self.held.iter().rev().take(limit).map(|(_, table)| table.home).collect()
    }

    pub(super) fn holds(&self, home: Home) -> bool {
        self.held.iter().any(|(_, table)| table.home == home)
    }

    /// Returns whether a home had already dropped the epoch of a token when its table was handed
    /// over. True also if this entry holds no table of that home.
    pub(super) fn is_forgotten(&self, token: Token) -> bool {
        let table = self.held.iter().find(|(_, table)| table.home == token.home);
        table.is_none_or(|(_, table)| token.epoch < table.first_epoch)
    }

    /// Counts a received part of a table. Returns whether it is the next one expected.
    pub(super) fn accept_part(&mut self, home: Home, part: u32) -> bool {
        let next = self.incoming_parts.entry(home).or_default();
        if part == 0 {
            *next = 0;
        }
        let is_next = part == *next;
        *next += u32::from(is_next);
        is_next
    }
}
