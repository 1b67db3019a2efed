//! A planned stop: the table goes to a successor; and the other end of it.

use super::{EPOCH, EPOCHS, Entry, moves::Own};
use crate::{
    Action, Message,
    message::{Handover, Record, Tabled},
};
use ledger::record::StoredAnswer;
use membership::Status;
use site::{
    id::{Home, Token},
    unit::{Span, Time},
};
use std::sync::atomic::Ordering;

/// Most bytes of answers in one part of a handover, but for the answer that exceeds it.
const PART_BYTES: usize = 512 << 10;

/// Most submissions in one part of a handover.
const PART_RECORDS: usize = 4_096;

/// Longest time that a handover may take; the process ends then without it.
const HANDOVER_LIMIT: Span = Span::from_secs(10);

/// How long a moved or adopted table is remembered: as long as its identifiers were accepted.
const MEMORY: Span = Span(EPOCH.0 * EPOCHS as u64);

/// Where the table of a home is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Whereabouts {
    /// At this entry, taken over.
    Here,
    /// At the home itself or its successor.
    At(Home),
    /// At the home, which can't be reached now.
    Unreachable,
    /// Nowhere.
    Gone,
}

impl Entry {
    /// Where the table of `home` is.
    pub(super) fn whereabouts(&self, now: Time, home: Home) -> Whereabouts {
        if home == self.home || self.moves.lock().keeps(home) {
            return Whereabouts::Here;
        }
        let successor = self.moves.lock().successor(home);
        let holder = successor.unwrap_or(home);
        match self.members.lock().query(now, holder) {
            Status::Live | Status::Draining => Whereabouts::At(holder),
            Status::Unreachable => Whereabouts::Unreachable,
            Status::Gone => Whereabouts::Gone,
        }
    }

    /// Notes that a request was admitted under another home's token.
    pub(super) fn remember_foreign(&self, now: Time, token: Token) {
        self.moves.lock().foreign.insert(token, now);
    }

    /// Admits nothing more from now on.
    pub(super) fn drain(&self, now: Time, out: &mut Vec<Action>) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        let changed = self.members.lock().drain();
        let peers: Vec<Home> = self.live_peers();
        let message = self.sign_of_life();
        for to in peers {
            out.push(Action::Send { to, message: message.clone() });
        }
        self.after_change(now, changed, out);
        self.drain_on(now, out);
    }

    fn live_peers(&self) -> Vec<Home> {
        let members = self.members.lock();
        let mut live: Vec<Home> = members
            .peers()
            .filter(|(_, status)| *status == Status::Live)
            .map(|(home, _)| home)
            .collect();
        live.sort_unstable();
        live
    }

    /// Hands the table over once nothing is open any more, and ends the process after that.
    pub(super) fn drain_on(&self, now: Time, out: &mut Vec<Action>) {
        if !self.is_draining() || !self.is_idle() {
            return;
        }
        let handed = self.moves.lock().handover.as_ref().map(|own| own.done || now >= own.until);
        match handed {
            Some(true) => self.exit(out),
            Some(false) => {}
            None => {
                let successor = self.choose_successor(None);
                self.hand_over(now, successor, now + HANDOVER_LIMIT, out);
            }
        }
    }

    /// Whether nothing is open. Looks in the order in which a request moves on; the caller is the
    /// only one that handles an event, or it is not idle.
    fn is_idle(&self) -> bool {
        self.handling.load(Ordering::SeqCst) == 1
            && self.claims.lock().is_empty()
            && self.routes.lock().is_empty()
            && self.shards.iter().all(|shard| shard.lock().open_count() == 0)
    }

    /// A live entry, one of the own data centre if there is any.
    fn choose_successor(&self, not: Option<Home>) -> Option<Home> {
        let peers = self.live_peers();
        let mut willing = peers.into_iter().filter(|home| Some(*home) != not);
        let own = self.home.data_centre;
        let first = willing.clone().find(|home| home.data_centre == own);
        first.or_else(|| willing.next())
    }

    fn hand_over(&self, now: Time, successor: Option<Home>, until: Time, out: &mut Vec<Action>) {
        let Some(successor) = successor else {
            return self.exit(out);
        };
        let parts = self.parts();
        let last = parts.len() as u32 - 1;
        let mut tables: Vec<Tabled> =
            self.moves.lock().kept.iter().map(|(_, table)| *table).collect();
        tables.push(Tabled { home: self.home, first: self.first_epoch() });
        let home = self.home;
        let parts = (0..).zip(parts).map(|(part, records)| Handover {
            home,
            part,
            last: part == last,
            tables: tables.clone(),
            records,
        });
        let own = Own { successor, sent: 0, parts: parts.collect(), until, done: false };
        self.moves.lock().handover = Some(own);
        self.arm(until.min(now + HANDOVER_LIMIT));
        self.send_part(out);
    }

    /// Sends the next part of the own handover. One part is under way at a time, so that a large
    /// table does not overflow the connection's queue.
    fn send_part(&self, out: &mut Vec<Action>) {
        let mut moves = self.moves.lock();
        let Some(own) = moves.handover.as_mut() else {
            return;
        };
        if let Some(part) = own.parts.pop_front() {
            own.sent = part.part;
            out.push(Action::Send { to: own.successor, message: Message::Handover(part) });
        }
    }

    /// The table in parts; at least one.
    fn parts(&self) -> Vec<Vec<Record>> {
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for shard in &self.shards {
            for (id, record, kept) in shard.lock().finished() {
                let size = kept.size();
                let full = parts.last().map_or(0, Vec::len) >= PART_RECORDS;
                if full || (bytes > 0 && bytes + size > PART_BYTES) {
                    parts.push(Vec::new());
                    bytes = 0;
                }
                bytes += size;
                let answer = match kept {
                    StoredAnswer::Full(answer) => Ok(answer.clone()),
                    StoredAnswer::Evicted(failure) => Err(*failure),
                };
                let (firm, content) = (record.firm, record.content_digest);
                if let Some(part) = parts.last_mut() {
                    part.push(Record { id, firm, content, answer });
                }
            }
        }
        parts
    }

    /// Starts the handover again: with another successor when the chosen one is lost or stops
    /// itself, with the same one when its connection is back and there is no other.
    pub(super) fn hand_over_again(&self, now: Time, peer: Home, out: &mut Vec<Action>) {
        let until = {
            let moves = self.moves.lock();
            let pending = moves.handover.as_ref().filter(|own| !own.done);
            pending.filter(|own| own.successor == peer).map(|own| own.until)
        };
        let Some(until) = until else {
            return;
        };
        let status = self.members.lock().status(now, peer);
        let other = self.choose_successor(Some(peer));
        let same = (status == Status::Live).then_some(peer);
        if let Some(successor) = other.or(same) {
            self.hand_over(now, Some(successor), until, out);
        }
    }

    /// Takes over a part of a stopping home's table.
    pub(super) fn adopt(&self, now: Time, from: Home, handover: Handover, out: &mut Vec<Action>) {
        let Handover { home, part, last, tables, records } = handover;
        if home != from || self.is_draining() || !self.moves.lock().arrive(home, part) {
            return;
        }
        for record in records {
            // A request that the sender ran for a home that was gone belongs to no whole table.
            if !tables.iter().any(|table| table.home == record.id.home()) {
                self.remember_foreign(now, record.id.token);
            }
            let kept = match record.answer {
                Ok(answer) => StoredAnswer::Full(answer),
                Err(failure) => StoredAnswer::Evicted(failure),
            };
            let mut shard = self.shard(record.id).lock();
            shard.adopt(record.id, record.firm, record.content, kept);
        }
        if last {
            self.keep_tables(now, home, tables, out);
        }
        out.push(Action::Send { to: from, message: Message::HandoverStored { home, part } });
    }

    fn keep_tables(&self, now: Time, from: Home, tables: Vec<Tabled>, out: &mut Vec<Action>) {
        let mut moves = self.moves.lock();
        moves.arriving.remove(&from);
        for table in &tables {
            moves.successors.remove(&table.home);
            if !moves.keeps(table.home) {
                moves.kept.push_back((now, *table));
            }
        }
        drop(moves);
        for to in self.live_peers() {
            for table in &tables {
                let message = Message::Moved { home: table.home, successor: self.home };
                out.push(Action::Send { to, message });
            }
        }
    }

    /// Notes that the successor has stored a part.
    pub(super) fn stored(
        &self,
        now: Time,
        from: Home,
        home: Home,
        part: u32,
        out: &mut Vec<Action>,
    ) {
        let mut moves = self.moves.lock();
        let own = moves.handover.as_mut().filter(|own| own.successor == from);
        let Some(own) = own.filter(|own| own.awaits(part) && home == self.home) else {
            return;
        };
        own.done = own.parts.is_empty();
        let done = own.done;
        drop(moves);
        match done {
            true => self.drain_on(now, out),
            false => self.send_part(out),
        }
    }

    fn exit(&self, out: &mut Vec<Action>) {
        let mut moves = self.moves.lock();
        if !moves.exited {
            moves.exited = true;
            out.push(Action::Exit);
        }
    }

    /// Takes notice of a table that changed hands.
    pub(super) fn moved(&self, now: Time, home: Home, successor: Home, out: &mut Vec<Action>) {
        self.moves.lock().moved(home, successor);
        self.after_change(now, false, out);
    }

    /// Forgets tables that are too old.
    pub(super) fn forget_old(&self, now: Time) {
        let mut forgotten = Vec::new();
        {
            let mut moves = self.moves.lock();
            while moves.kept.front().is_some_and(|(time, _)| now.since(*time) > MEMORY) {
                forgotten.extend(moves.kept.pop_front().map(|(_, table)| (table.home, u32::MAX)));
            }
            let old = |(_, time): &(&Token, &Time)| now.since(**time) > MEMORY;
            let tokens: Vec<_> =
                moves.foreign.iter().filter(old).map(|(token, _)| *token).collect();
            for token in tokens {
                moves.foreign.remove(&token);
                forgotten.push((token.home, token.epoch.saturating_add(1)));
            }
        }
        for (home, first) in forgotten {
            for shard in &self.shards {
                shard.lock().forget_epochs(home, first);
            }
        }
    }
}
