//! Forwarding between keepers, for tasks that find no room.

use super::Entry;
use crate::{
    Action, Message, Options,
    home::Peers,
    keeper::{Queued, Way},
    message::Forward,
    view::View,
};
use rustc_hash::FxHashSet;
use site::{id::Home, unit::Time};

impl Entry {
    /// Takes tasks that another keeper can't start, and tells their home before anything else.
    pub(super) fn accept_forward(
        &mut self,
        now: Time,
        from: Home,
        forward: Forward,
        out: &mut Vec<Action>,
    ) {
        let transit = self.transit(now, from, forward.placement.sent);
        let home = forward.placement.job.home;
        let is_connected = self.view.is_connected_to(home);
        let taken = self.keeper.accept_forward(now, from, forward, transit, is_connected, out);
        if !taken.is_empty() {
            out.push(Action::Send { to: home, message: Message::Taken(taken) });
        }
    }

    /// Hands tasks that find no room here to keepers near this entry that have room.
    pub(super) fn forward(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.options.forward || !self.keeper.has_queued() {
            return;
        }
        let Self { me, options, jobs, keeper, view, .. } = self;
        let (own, fixed) = (keeper.room(now), keeper.fixed_run_time());
        let mut near = None;
        let choose = |queued: &Queued| {
            let home = queued.task.job.home;
            if home == *me {
                return None;
            }
            let near = near.get_or_insert_with(|| forward_targets(options, &jobs.peers, view));
            let is_eligible = |keeper: Home| {
                keeper != home
                    && near.contains(&keeper)
                    && !queued.visited.contains(&keeper)
                    && view.is_connection_likely(home, keeper)
            };
            let cores = queued.needs.cores.0;
            let slowest = jobs.fastest(now, &own, cores).and_then(|fastest| {
                queued.deadline(now, fixed).slowest(fastest, options.caution_percent)
            });
            let chosen = jobs.peers.most_room(now, cores, slowest, is_eligible)?;
            if let Some(room) = jobs.peers.room_mut(chosen.0) {
                room.reserve_for(cores, 1, slowest);
            }
            Some(chosen)
        };
        keeper.forward_queued(now, choose, out);
    }

    /// Whether tasks that find no room here can go to other keepers.
    pub(super) fn way(&self) -> Way {
        let is_open = self.keeper.has_queued()
            && !forward_targets(&self.options, &self.jobs.peers, &self.view).is_empty();
        match is_open {
            true => Way::Open { me: self.me },
            false => Way::Closed,
        }
    }
}

/// The keepers nearest to this entry, which it forwards tasks to.
fn forward_targets(options: &Options, peers: &Peers, view: &View) -> Vec<Home> {
    if !options.forward {
        return Vec::new();
    }
    let keepers: FxHashSet<Home> = peers.keepers().collect();
    let near = view.by_distance().iter().filter(|home| keepers.contains(home));
    near.take(options.forward_peers).copied().collect()
}

/// The keepers that this entry is near to, so that they forward tasks to it.
pub(super) fn forwarders(options: &Options, peers: &Peers, view: &View) -> Vec<Home> {
    if !options.forward {
        return Vec::new();
    }
    let mut keepers: Vec<_> = peers.keepers().collect();
    keepers.sort_unstable_by_key(|home| view.distance_from(home));
    keepers.truncate(options.forward_peers);
    keepers
}
