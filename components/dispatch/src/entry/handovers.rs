//! Tables that changed hands.

use crate::message::{Handover, HomeTable};
use rustc_hash::FxHashMap;
use site::{
    id::{Home, Token},
    unit::Time,
};
use std::collections::VecDeque;

/// Most homes whose successor is remembered: many times those that stop in the time for which a table is kept.
const MAX_SUCCESSORS: usize = 4_096;

/// Tables that changed hands, and the own handover.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    /// Who keeps the table of a home that has stopped. An entry that keeps it itself is absent.
    pub(super) successors: FxHashMap<Home, Home>,
    /// Homes in `successors`, oldest first; never more than [`MAX_MOVED`].
    pub(super) successor_order: VecDeque<Home>,
    /// Tables that this entry keeps, with the time they arrived.
    pub(super) held: VecDeque<(Time, HomeTable)>,
    /// Tables that are arriving, with the next part.
    pub(super) incoming_parts: FxHashMap<Home, u32>,
    /// Tokens of other homes under which this entry admitted requests.
    pub(super) foreign_tokens: FxHashMap<Token, Time>,
    pub(super) outgoing: Option<OutgoingHandover>,
    /// Whether the exit was announced.
    pub(super) exited: bool,
}

/// The own handover.
#[derive(Debug)]
pub(super) struct OutgoingHandover {
    pub(super) successor: Home,
    /// The part that was sent last.
    pub(super) last_sent: u32,
    /// Parts that are not sent yet; the next one goes when the one before is stored.
    pub(super) parts: VecDeque<Handover>,
    /// Given up then.
    pub(super) deadline: Time,
    /// The successor has stored all of it.
    pub(super) done: bool,
}

impl OutgoingHandover {
    /// Whether `part` is the one that is under way.
    pub(super) fn is_awaiting(&self, part: u32) -> bool {
        !self.done && part == self.last_sent
    }
}

impl Handovers {
    /// Notes who keeps a home's table.
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

    /// Who keeps the table of a home, if it moved.
    pub(super) fn successor(&self, home: Home) -> Option<Home> {
        self.successors.get(&home).copied()
    }

    /// Homes whose tables this entry keeps, latest first.
    pub(super) fn held_homes(&self, most: usize) -> Vec<Home> {
        self.held.iter().rev().take(most).map(|(_, table)| table.home).collect()
    }

    pub(super) fn holds(&self, home: Home) -> bool {
        self.held.iter().any(|(_, table)| table.home == home)
    }

    /// Whether a home had forgotten the epoch of a token when its table was handed over.
    pub(super) fn is_forgotten(&self, token: Token) -> bool {
        let table = self.held.iter().find(|(_, table)| table.home == token.home);
        table.is_none_or(|(_, table)| token.epoch < table.first_epoch)
    }

    /// Notes a part of a table. Returns whether all parts before it arrived too.
    pub(super) fn accept_part(&mut self, home: Home, part: u32) -> bool {
        let next = self.incoming_parts.entry(home).or_default();
        if part == 0 {
            *next = 0;
        }
        let fits = part == *next;
        *next += u32::from(fits);
        fits
    }
}
