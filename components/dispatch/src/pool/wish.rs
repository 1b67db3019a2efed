//! Wishes for capacity: sent when tasks wait, heard from others, and weighed against each other.

use super::{
    Pool,
    share::{Heard, Said},
};
use crate::{
    Action, Message,
    message::{Demand, Want},
};
use site::{
    id::{DataCentreId, Home},
    unit::{Resources, Span, Time},
};

/// A wish is forgotten after this unless it is repeated.
const WISH_TERM: Span = Span::from_millis(1_000);

/// A wish that still stands is repeated after this.
const WISH_REPEAT: Span = Span::from_millis(500);

/// A wish that grew is repeated no sooner than this.
const WISH_GROWN: Span = Span::from_millis(20);

/// Most firms that a wish names; the rest count for nothing at the keeper.
const MAX_DEMAND: usize = 16;

impl Pool {
    /// Asks others for capacity, if tasks wait for it.
    pub(super) fn wish(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some((_, head)) = self.queue.peek().filter(|_| self.starved) else {
            self.share.said = None;
            return;
        };
        let (declared, _) = self.declared(&head.job, head.index);
        let needs = self.needs(&head.job, &declared);
        let tasks = self.queue.len() as u32;
        let said = self.share.said;
        let remote = said.is_some_and(|said| now >= said.first + self.patience());
        if said.is_some_and(|said| !said.is_due(now, tasks, remote)) {
            return;
        }
        let want = Want {
            service: self.key,
            tasks,
            held: self.share.held.max_tasks(&needs),
            needs,
            demand: self.demand(),
        };
        let first = said.map_or(now, |said| said.first);
        self.share.said = Some(Said { tasks, first, at: now, remote });
        for to in self.lenders(remote) {
            out.push(Action::Send { to, message: Message::Want(want.clone()) });
        }
    }

    /// Whom to ask: those who keep endpoints near, those who hold something of this entry's, and
    /// after a while those of other clusters.
    fn lenders(&self, remote: bool) -> Vec<Home> {
        let mut homes = self.share.lenders.clone();
        let debtors = self.share.kept.values().flat_map(|kept| &kept.lent);
        homes.extend(debtors.map(|(home, _)| *home));
        if remote && self.is_worth_distance() {
            homes.extend(&self.share.distant);
        }
        homes.sort_unstable();
        homes.dedup();
        homes
    }

    fn is_distant(&self, home: Home) -> bool {
        !self.index.cluster.contains(&home.data_centre)
    }

    /// How long to wait for neighbours before other data centres are asked.
    fn patience(&self) -> Span {
        match self.prefers_messages() {
            true => Span::from_millis(50),
            false => Span::from_millis(10),
        }
    }

    /// Whether waiting here takes longer than the way to the nearest other data centre and back.
    fn is_worth_distance(&self) -> bool {
        let Some((key, head)) = self.queue.peek() else {
            return false;
        };
        let (declared, _) = self.declared(&head.job, head.index);
        let held = self.share.held.max_tasks(&declared).max(1);
        let wait = Span(self.queue.work_ahead(key.firm).0 / u64::from(held));
        let distant = self.share.distant.iter();
        let nearest = distant.filter_map(|home| self.index.latency(home.data_centre)).min();
        nearest.is_some_and(|latency| wait > Span(latency.0 * 4))
    }

    fn demand(&self) -> Vec<Demand> {
        let demand = self.loads.iter();
        let mut demand: Vec<_> =
            demand.map(|(firm, jobs)| Demand { firm: *firm, jobs: jobs.len() as u32 }).collect();
        demand.sort_unstable_by_key(|one| one.firm);
        demand.truncate(MAX_DEMAND);
        demand
    }

    /// When [`Pool::wish`] may have to ask again.
    pub(super) fn next_wish(&self) -> Option<Time> {
        let said = self.share.said?;
        let repeat = said.at + WISH_REPEAT;
        let distant = (!said.remote).then(|| said.first + self.patience());
        Some(distant.map_or(repeat, |distant| distant.min(repeat)))
    }

    /// Takes notice of another entry's wish.
    pub(crate) fn hear(&mut self, now: Time, from: Home, want: Want, out: &mut Vec<Action>) {
        let remote = self.is_distant(from);
        let needs = want.needs;
        if want.tasks > 0 {
            let until = now + WISH_TERM;
            self.share.heard.insert(from, Heard { want, until, remote });
        } else {
            self.share.heard.remove(&from);
        }
        if remote {
            self.recall(from.data_centre);
        } else {
            let held = self.share.held.max_tasks(&needs);
            self.share.owed = held.saturating_sub(self.target(&needs));
        }
        self.settle(now, out);
    }

    /// Capacity, in tasks, that this entry should hold while others want some too.
    pub(super) fn target(&self, needs: &Resources) -> u32 {
        let held = self.share.held.max_tasks(needs);
        self.share.target(held, &self.demand(), |firm| self.index.weight(firm))
    }

    /// Marks everything borrowed from a data centre as to be given back.
    fn recall(&mut self, data_centre: DataCentreId) {
        for borrowed in self.share.borrowed.values_mut() {
            borrowed.recalled |= borrowed.keeper.data_centre == data_centre;
        }
    }
}

impl Said {
    /// Whether the wish is to be sent again.
    fn is_due(&self, now: Time, tasks: u32, remote: bool) -> bool {
        let grown = tasks > self.tasks.saturating_mul(2) && now >= self.at + WISH_GROWN;
        grown || now >= self.at + WISH_REPEAT || (remote && !self.remote)
    }
}
