//! Assigns roles to the entries of a cluster of data centres.

use crate::index::Index;
use membership::{Status, View};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use site::id::{DataCentreId, Home};
use std::{
    cmp::Reverse,
    hash::{Hash, Hasher},
};

/// Roles of the entries of the cluster, as this entry sees them.
///
/// Only a few entries, the lead entries, place tasks: as many as the capacity requires. Each of
/// them has much capacity, so it rarely has to borrow. All entries accept requests and forward
/// them.
#[derive(Debug, Default)]
pub(super) struct Roles {
    /// Live entries of the cluster, sorted.
    pub(super) near: Vec<Home>,
    /// Lead entries of the cluster, which keep endpoints and place tasks; sorted.
    pub(super) leads: Vec<Home>,
    /// Live entries of data centres outside the cluster that have a link to this one.
    pub(super) distant: Vec<Home>,
    /// Data centres of the cluster whose known entries are all unreachable. They are partitioned
    /// from this entry, and the entries in them keep their endpoints.
    pub(super) cut_off: Vec<DataCentreId>,
    /// Epoch of each peer, as last received.
    pub(super) epochs: FxHashMap<Home, u32>,
}

impl Roles {
    pub(super) fn new(members: &View, index: &Index, own: Home) -> Roles {
        let live = |dc: &DataCentreId| members.live(*dc).to_vec();
        let mut near: Vec<Home> = index.cluster.iter().flat_map(live).collect();
        if near.is_empty() {
            near = stopping(members, index, own);
        }
        near.sort_unstable();
        let others = index.site.data_centres.keys().filter(|dc| !index.cluster.contains(dc));
        let linked = others.filter(|dc| index.latency(**dc).is_some());
        let distant = linked.flat_map(live).collect();
        let mut ranked = near.clone();
        ranked.sort_unstable_by_key(|home| Reverse(rank(home)));
        ranked.truncate(index.lead_count);
        ranked.sort_unstable();
        let silent: FxHashSet<DataCentreId> = members
            .peers()
            .filter(|(_, status)| *status == Status::Unreachable)
            .map(|(home, _)| home.data_centre)
            .collect();
        let cut_off = index.cluster.iter().copied();
        let cut_off = cut_off.filter(|dc| silent.contains(dc) && members.live(*dc).is_empty());
        let cut_off = cut_off.collect();
        Roles { near, leads: ranked, distant, cut_off, epochs: FxHashMap::default() }
    }
}

/// Returns the draining entries of the cluster. When no other entry is left to keep the endpoints,
/// they keep them until their work is done.
fn stopping(members: &View, index: &Index, own: Home) -> Vec<Home> {
    let stopping = members.peers().filter(|(_, status)| *status == Status::Draining);
    let near = stopping.map(|(home, _)| home);
    near.filter(|home| index.cluster.contains(&home.data_centre)).chain([own]).collect()
}

impl Roles {
    /// Returns whether the same entries have the same roles.
    pub(super) fn is_same(&self, other: &Roles) -> bool {
        self.near == other.near
            && self.leads == other.leads
            && self.distant == other.distant
            && self.cut_off == other.cut_off
    }
}

/// Orders entries by a hash, so that a change of members moves as few roles as possible. A
/// restarted entry gets a new rank, and new processes are not preferred.
fn rank(home: &Home) -> u64 {
    let mut hasher = FxHasher::default();
    home.hash(&mut hasher);
    hasher.finish()
}
