//! Drains an entry: hands its submission table over to a successor. Also receives such a table from
//! another entry.

use super::{EPOCH, EPOCHS, Entry, handovers::OutgoingHandover};
use crate::{
    Action, Message,
    message::{Handover, HomeTable, Record},
};
use ledger::record::StoredAnswer;
use membership::Status;
use site::{
    id::{Home, Token},
    unit::{Span, Time},
};
use std::sync::atomic::Ordering;

/// Maximum size, in bytes, of the answers in one part of a handover. A single larger answer makes a
/// part of its own.
const MAX_PART_BYTES: usize = 512 << 10;

/// Maximum number of submissions in one part of a handover.
const MAX_PART_RECORDS: usize = 4_096;

/// Maximum duration of a handover. After that the process exits without completing it.
const HANDOVER_TIME_LIMIT: Span = Span::from_secs(10);

/// Time for which a table that was taken over, or a token of another home, is remembered: the time
/// for which the identifiers are accepted.
const TABLE_RETENTION: Span = Span(EPOCH.0 * EPOCHS as u64);

/// Location of a home's submission table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TableLocation {
    /// At this entry, as its own table or taken over.
    Local,
    /// At the home itself or its successor.
    Remote(Home),
    /// At the home, which can't be reached now.
    Unreachable,
    /// Lost: the home, or the entry that took its table over, is gone.
    Gone,
}

impl Entry {
    /// Returns the location of the table of `home`.
    pub(super) fn locate_table(&self, now: Time, home: Home) -> TableLocation {
        if home == self.home || self.handovers.lock().holds(home) {
            return TableLocation::Local;
        }
        let successor = self.handovers.lock().successor(home);
        let holder = successor.unwrap_or(home);
        match self.members.lock().query(now, holder) {
            Status::Live | Status::Draining => TableLocation::Remote(holder),
            Status::Unreachable => TableLocation::Unreachable,
            Status::Gone => TableLocation::Gone,
        }
    }

    /// Records that a request was admitted under another home's token.
    pub(super) fn remember_foreign(&self, now: Time, token: Token) {
        self.handovers.lock().foreign_tokens.insert(token, now);
    }

    /// Starts the drain: stops admission and notifies the peers.
    pub(super) fn drain(&self, now: Time, out: &mut Vec<Action>) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        let changed = self.members.lock().drain();
        let peers: Vec<Home> = self.live_peers();
        let message = self.heartbeat_message();
        for to in peers {
            out.push(Action::Send { to, message: message.clone() });
        }
        self.apply_changes(now, changed, out);
        self.continue_drain(now, out);
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

    /// Hands the table over once nothing is open, and exits when the handover is done or has timed
    /// out.
    pub(super) fn continue_drain(&self, now: Time, out: &mut Vec<Action>) {
        if !self.is_draining() || !self.is_idle() {
            return;
        }
        let is_finished = self
            .handovers
            .lock()
            .outgoing
            .as_ref()
            .map(|outgoing| outgoing.done || now >= outgoing.deadline);
        match is_finished {
            Some(true) => self.exit(out),
            Some(false) => {}
            None => {
                let successor = self.choose_successor(None);
                self.hand_over(now, successor, now + HANDOVER_TIME_LIMIT, out);
            }
        }
    }

    /// Returns whether nothing is open. The checks follow the order in which a request moves from
    /// one stage to the next. Returns false while another thread handles an event, since that may
    /// still open something.
    fn is_idle(&self) -> bool {
        self.active_calls.load(Ordering::SeqCst) == 1
            && self.claims.lock().is_empty()
            && self.forwarded.lock().is_empty()
            && self.shards.iter().all(|shard| shard.lock().open_count() == 0)
    }

    /// Chooses a live entry, preferably one of the own data centre.
    fn choose_successor(&self, except: Option<Home>) -> Option<Home> {
        let peers = self.live_peers();
        let mut candidates = peers.into_iter().filter(|home| Some(*home) != except);
        let own = self.home.data_centre;
        let local = candidates.clone().find(|home| home.data_centre == own);
        local.or_else(|| candidates.next())
    }

    fn hand_over(&self, now: Time, successor: Option<Home>, deadline: Time, out: &mut Vec<Action>) {
        let Some(successor) = successor else {
            return self.exit(out);
        };
        let parts = self.split_table();
        let last = parts.len() as u32 - 1;
        let mut tables: Vec<HomeTable> =
            self.handovers.lock().held.iter().map(|(_, table)| *table).collect();
        tables.push(HomeTable { home: self.home, first_epoch: self.first_epoch() });
        let home = self.home;
        let parts = (0..).zip(parts).map(|(part, records)| Handover {
            home,
            part,
            last: part == last,
            tables: tables.clone(),
            records,
        });
        let outgoing = OutgoingHandover {
            successor,
            last_sent: 0,
            parts: parts.collect(),
            deadline,
            done: false,
        };
        self.handovers.lock().outgoing = Some(outgoing);
        self.schedule_tick(deadline.min(now + HANDOVER_TIME_LIMIT));
        self.send_part(out);
    }

    /// Sends the next part of the outgoing handover. Only one part is in flight at a time, so that
    /// a large table does not overflow the connection's queue.
    fn send_part(&self, out: &mut Vec<Action>) {
        let mut handovers = self.handovers.lock();
        let Some(outgoing) = handovers.outgoing.as_mut() else {
            return;
        };
        if let Some(part) = outgoing.parts.pop_front() {
            outgoing.last_sent = part.part;
            out.push(Action::Send { to: outgoing.successor, message: Message::Handover(part) });
        }
    }

    /// Splits the table into parts; there is at least one.
    fn split_table(&self) -> Vec<Vec<Record>> {
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for shard in &self.shards {
            for (id, record, kept) in shard.lock().finished() {
                let size = kept.size();
                let full = parts.last().map_or(0, Vec::len) >= MAX_PART_RECORDS;
                if full || (bytes > 0 && bytes + size > MAX_PART_BYTES) {
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

    /// Restarts the handover: with another successor when the chosen one is lost or starts to
    /// drain, or with the same one when its connection is back and there is no other.
    pub(super) fn restart_handover(&self, now: Time, peer: Home, out: &mut Vec<Action>) {
        let deadline = {
            let handovers = self.handovers.lock();
            let pending = handovers.outgoing.as_ref().filter(|outgoing| !outgoing.done);
            pending.filter(|outgoing| outgoing.successor == peer).map(|outgoing| outgoing.deadline)
        };
        let Some(deadline) = deadline else {
            return;
        };
        let status = self.members.lock().status(now, peer);
        let other = self.choose_successor(Some(peer));
        let same = (status == Status::Live).then_some(peer);
        if let Some(successor) = other.or(same) {
            self.hand_over(now, Some(successor), deadline, out);
        }
    }

    /// Stores a part of a draining home's table.
    pub(super) fn receive_handover(
        &self,
        now: Time,
        from: Home,
        handover: Handover,
        out: &mut Vec<Action>,
    ) {
        let Handover { home, part, last, tables, records } = handover;
        if home != from || self.is_draining() || !self.handovers.lock().accept_part(home, part) {
            return;
        }
        for record in records {
            // A request that the sender admitted for a home that was gone belongs to none of the
            // complete tables.
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
            self.take_over_tables(now, home, tables, out);
        }
        out.push(Action::Send { to: from, message: Message::HandoverStored { home, part } });
    }

    fn take_over_tables(
        &self,
        now: Time,
        from: Home,
        tables: Vec<HomeTable>,
        out: &mut Vec<Action>,
    ) {
        let mut handovers = self.handovers.lock();
        handovers.incoming_parts.remove(&from);
        for table in &tables {
            handovers.successors.remove(&table.home);
            if !handovers.holds(table.home) {
                handovers.held.push_back((now, *table));
            }
        }
        drop(handovers);
        for to in self.live_peers() {
            for table in &tables {
                let message = Message::Moved { home: table.home, successor: self.home };
                out.push(Action::Send { to, message });
            }
        }
    }

    /// Handles the successor's confirmation that it has stored a part.
    pub(super) fn part_stored(
        &self,
        now: Time,
        from: Home,
        home: Home,
        part: u32,
        out: &mut Vec<Action>,
    ) {
        let mut handovers = self.handovers.lock();
        let outgoing = handovers.outgoing.as_mut().filter(|outgoing| outgoing.successor == from);
        let Some(outgoing) =
            outgoing.filter(|outgoing| outgoing.is_awaiting(part) && home == self.home)
        else {
            return;
        };
        outgoing.done = outgoing.parts.is_empty();
        let done = outgoing.done;
        drop(handovers);
        match done {
            true => self.continue_drain(now, out),
            false => self.send_part(out),
        }
    }

    fn exit(&self, out: &mut Vec<Action>) {
        let mut handovers = self.handovers.lock();
        if !handovers.exited {
            handovers.exited = true;
            out.push(Action::Exit);
        }
    }

    /// Records the successor of a home that has stopped.
    pub(super) fn table_moved(
        &self,
        now: Time,
        home: Home,
        successor: Home,
        out: &mut Vec<Action>,
    ) {
        self.handovers.lock().record_successor(home, successor);
        self.apply_changes(now, false, out);
    }

    /// Drops tables and tokens of other homes whose identifiers are no longer accepted.
    pub(super) fn forget_old_tables(&self, now: Time) {
        let mut forgotten = Vec::new();
        {
            let mut handovers = self.handovers.lock();
            while handovers.held.front().is_some_and(|(time, _)| now.since(*time) > TABLE_RETENTION)
            {
                forgotten
                    .extend(handovers.held.pop_front().map(|(_, table)| (table.home, u32::MAX)));
            }
            let old = |(_, time): &(&Token, &Time)| now.since(**time) > TABLE_RETENTION;
            let tokens: Vec<_> =
                handovers.foreign_tokens.iter().filter(old).map(|(token, _)| *token).collect();
            for token in tokens {
                handovers.foreign_tokens.remove(&token);
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
