//! The state of an entry as shown to operators.

use super::Entry;
use crate::pool::EndpointView;
use serde::Serialize;
use site::id::{Home, ServiceId};

/// State of an entry.
#[derive(Clone, Debug, Serialize)]
pub struct Overview {
    /// Identity of this process.
    pub home: Home,
    /// Lead entries of the cluster.
    pub leads: Vec<Home>,
    /// Whether the entry is draining and admits nothing more.
    pub draining: bool,
    /// Number of submissions without a final answer.
    pub open: usize,
    /// Number of forwarded requests that wait for other entries.
    pub routed: usize,
    /// State of each pool.
    pub pools: Vec<PoolView>,
    /// Known peers.
    pub peers: Vec<PeerView>,
}

/// State of one pool.
#[derive(Clone, Debug, Serialize)]
pub struct PoolView {
    /// The service, or zero for the pool of all workers.
    pub service: ServiceId,
    /// Number of queued tasks.
    pub queued: usize,
    /// Number of running tasks.
    pub running: usize,
    /// Endpoints that this entry keeps or borrows.
    pub endpoints: Vec<EndpointView>,
}

/// A peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerView {
    /// Identity of the peer.
    pub home: Home,
    /// Membership status in lower case, such as `live`.
    pub status: String,
}

impl Entry {
    /// Returns the entry's state. Holds each lock only briefly.
    pub fn overview(&self) -> Overview {
        let pools = self.all_pools();
        let peers = self.members.lock();
        let mut peers: Vec<PeerView> = peers
            .peers()
            .map(|(home, status)| PeerView { home, status: format!("{status:?}").to_lowercase() })
            .collect();
        peers.sort_unstable_by_key(|peer| peer.home);
        Overview {
            home: self.home,
            leads: self.leads(),
            draining: self.is_draining(),
            open: self.open_submissions(),
            routed: self.forwarded.lock().len(),
            pools: pools.iter().map(|pool| pool.lock().overview()).collect(),
            peers,
        }
    }

    /// Returns the number of submissions without a final answer.
    pub fn open_submissions(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().open_count()).sum()
    }
}
