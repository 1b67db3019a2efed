//! Updates the endpoints that this entry keeps or uses as members, settings and connections change.

use super::{Pool, share::Borrowed};
use crate::{
    Action, Message,
    message::{Grant, ServiceGrants},
};
use placement::Endpoint;
use site::{
    id::{DataCentreId, EndpointId, Home},
    unit::{Resources, Time},
};

/// The members of the site, in the form that a pool needs.
pub(crate) struct Members<'a> {
    /// Returns the keeper of an endpoint in a data centre of the cluster; `None` if no entry of the
    /// cluster can reach it.
    pub(crate) keeper: &'a dyn Fn(EndpointId, DataCentreId) -> Option<Home>,
    /// Other live entries of the cluster.
    pub(crate) neighbours: Vec<Home>,
    /// Those neighbours that keep endpoints.
    pub(crate) lenders: Vec<Home>,
    /// Live entries of data centres outside the cluster that have a link to this one.
    pub(crate) distant: Vec<Home>,
}

impl Pool {
    /// Applies a change of members or settings: updates which endpoints this entry keeps and from
    /// which entries it may borrow.
    pub(crate) fn apply_members(
        &mut self,
        now: Time,
        members: &Members<'_>,
        out: &mut Vec<Action>,
    ) {
        self.share.neighbours.clone_from(&members.neighbours);
        self.share.lenders.clone_from(&members.lenders);
        self.share.distant.clone_from(&members.distant);
        self.drop_absent(now, members);
        self.drop_absent_usage();
        let index = self.index.clone();
        let listed = index.pools.get(&self.key).map_or(&[][..], Vec::as_slice);
        self.share.local = Resources::default();
        let mut moved = Vec::new();
        for endpoint in listed {
            let resolved = index.endpoints[endpoint];
            if !index.cluster.contains(&resolved.data_centre) {
                continue;
            }
            let keeper = (members.keeper)(*endpoint, resolved.data_centre);
            if !resolved.leaving && keeper.is_some() {
                self.share.local = self.share.local.plus(&resolved.capacity);
            }
            moved.extend(self.assign(now, *endpoint, keeper, resolved.capacity));
        }
        for (keeper, grant) in moved {
            let used = ServiceGrants { service: self.key, grants: vec![grant] };
            out.push(Action::Send { to: keeper, message: Message::InUse(used) });
        }
        self.drop_unlisted(now);
        self.schedule(now, out);
    }

    /// Records `keeper` as the keeper of an endpoint. Returns the keeper and the capacity that this
    /// entry still uses, if the endpoint is now kept by another entry.
    fn assign(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        keeper: Option<Home>,
        capacity: Resources,
    ) -> Option<(Home, Grant)> {
        if keeper == Some(self.home) {
            self.share.borrowed.remove(&endpoint);
            self.share.kept.entry(endpoint).or_default().capacity = capacity;
            self.update_usable(now, endpoint);
            return None;
        }
        let was_kept = self.share.kept.remove(&endpoint).is_some();
        let borrowed = self.share.borrowed.get(&endpoint);
        let was_borrowed = borrowed.is_some_and(|b| Some(b.keeper) != keeper);
        if !was_kept && !was_borrowed {
            if borrowed.is_some() {
                self.update_usable(now, endpoint);
            }
            return None;
        }
        let in_use = self.placement.in_use(endpoint);
        self.share.borrowed.remove(&endpoint);
        let used = keeper.filter(|_| in_use != Resources::default());
        if let Some(keeper) = used {
            self.share
                .borrowed
                .insert(endpoint, Borrowed { keeper, resources: in_use, recalled: false });
        }
        self.update_usable(now, endpoint);
        used.map(|keeper| (keeper, Grant { endpoint, resources: in_use }))
    }

    /// Drops loans and requests of entries that are no longer members.
    fn drop_absent(&mut self, now: Time, members: &Members<'_>) {
        let present =
            |home: &Home| members.neighbours.contains(home) || members.distant.contains(home);
        self.share.peer_requests.retain(|home, _| present(home));
        for kept in self.share.kept.values_mut() {
            kept.lent.retain(|(home, _)| present(home));
        }
        let lost: Vec<_> = self
            .share
            .borrowed
            .iter()
            .filter(|(_, borrowed)| !present(&borrowed.keeper))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in lost {
            self.share.borrowed.remove(&endpoint);
            self.update_usable(now, endpoint);
        }
        let kept: Vec<_> = self.share.kept.keys().copied().collect();
        for endpoint in kept {
            self.update_usable(now, endpoint);
        }
    }

    /// Drops endpoints that the settings no longer contain.
    fn drop_unlisted(&mut self, now: Time) {
        let index = self.index.clone();
        let unlisted: Vec<_> =
            self.share.endpoints().filter(|id| !index.endpoints.contains_key(id)).collect();
        for endpoint in unlisted {
            self.share.kept.remove(&endpoint);
            self.share.borrowed.remove(&endpoint);
            self.update_usable(now, endpoint);
        }
        self.reported_leaving.retain(|endpoint| index.endpoints.contains_key(endpoint));
    }

    /// Drops loans and requests of an entry whose connection is lost.
    pub(crate) fn peer_down(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.share.neighbours.retain(|home| *home != peer);
        self.share.lenders.retain(|home| *home != peer);
        self.share.distant.retain(|home| *home != peer);
        let lenders = self.share.lenders.clone();
        let neighbours = self.share.neighbours.clone();
        let distant = self.share.distant.clone();
        let members = Members { keeper: &|_, _| None, neighbours, lenders, distant };
        self.drop_absent(now, &members);
        self.drop_absent_usage();
        self.schedule(now, out);
    }

    /// Handles a new connection: sends the peer this entry's quota usage.
    pub(crate) fn peer_up(&mut self, peer: Home, out: &mut Vec<Action>) {
        self.send_all_usage(peer, out);
    }

    /// Updates placement and health with the capacity that this entry may now use of an endpoint.
    pub(super) fn update_usable(&mut self, now: Time, endpoint: EndpointId) {
        let usable = self.share.usable(endpoint);
        let before = self.share.usable_by_endpoint.insert(endpoint, usable).unwrap_or_default();
        self.share.held = self.share.held.minus(&before).plus(&usable);
        if usable == Resources::default() {
            self.share.usable_by_endpoint.remove(&endpoint);
            self.placement.remove(endpoint);
            self.trials.remove(&endpoint);
            self.slow_factors.remove(&endpoint);
            if !self.share.kept.contains_key(&endpoint) {
                self.health.remove(endpoint);
            }
            return;
        }
        let resolved = self.index.endpoints.get(&endpoint).copied();
        let rack = resolved.map(|resolved| resolved.rack).unwrap_or_default();
        let remote = resolved.is_some_and(|resolved| resolved.data_centre != self.home.data_centre);
        self.placement.insert(Endpoint { id: endpoint, rack, remote, capacity: usable });
        self.health.insert(endpoint);
        self.update_open(now, endpoint);
    }
}
