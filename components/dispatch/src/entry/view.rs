//! What operators see of an entry.

use super::Entry;
use crate::pool::EndpointView;
use serde::Serialize;
use site::id::{Home, ServiceId};

/// The state of an entry at a glance.
#[derive(Clone, Debug, Serialize)]
pub struct Overview {
    /// This process.
    pub home: Home,
    /// Entries that place tasks near this one.
    pub leads: Vec<Home>,
    /// Whether nothing more is admitted.
    pub draining: bool,
    /// Submissions without an answer.
    pub open: usize,
    /// Requests that wait for other entries.
    pub routed: usize,
    /// The pools.
    pub pools: Vec<JobView>,
    /// Other entries.
    pub peers: Vec<PeerView>,
}

/// The load of one pool.
#[derive(Clone, Debug, Serialize)]
pub struct JobView {
    /// The service, or zero for all workers.
    pub service: ServiceId,
    /// Tasks that wait.
    pub queued: usize,
    /// Tasks that run.
    pub running: usize,
    /// Endpoints in use.
    pub endpoints: Vec<EndpointView>,
}

/// Another entry.
#[derive(Clone, Debug, Serialize)]
pub struct PeerView {
    /// The entry.
    pub home: Home,
    /// What is believed of it.
    pub status: String,
}

impl Entry {
    /// The state at a glance. Takes each lock for a moment.
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
            open: self.open(),
            routed: self.routes.lock().len(),
            pools: pools.iter().map(|pool| pool.lock().overview()).collect(),
            peers,
        }
    }

    /// Submissions without an answer.
    pub fn open(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().open_count()).sum()
    }
}
