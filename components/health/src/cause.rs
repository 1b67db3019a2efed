//! Distinguishes jobs that fail at every endpoint from endpoints that fail every job.

use crate::observation::Cause;
use rustc_hash::FxHashMap;
use site::id::EndpointId;
use std::collections::VecDeque;

/// Number of endpoints at which attempts with a cause must have failed, without a success anywhere,
/// before the cause is blamed instead of the endpoint.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Maximum number of causes that are tracked.
const MAX_CAUSES: usize = 1024;

/// The endpoints at which a cause has failed since its last success.
#[derive(Clone, Copy, Debug, Default)]
struct FailedEndpoints {
    /// Distinct endpoints; only the first `len` are set.
    endpoints: [EndpointId; MIN_FAILED_ENDPOINTS],
    len: usize,
}

/// The causes that failed most recently.
#[derive(Debug, Default)]
pub(crate) struct CauseTracker {
    causes: FxHashMap<Cause, FailedEndpoints>,
    /// The keys of `causes`, oldest first.
    order: VecDeque<Cause>,
}

impl CauseTracker {
    /// Records a failure and returns whether the cause is blamed rather than the endpoint.
    pub(crate) fn fail(&mut self, cause: Cause, id: EndpointId) -> bool {
        if !self.causes.contains_key(&cause) {
            self.evict_oldest();
            self.order.push_back(cause);
        }
        let failed = self.causes.entry(cause).or_default();
        let seen = &failed.endpoints[..failed.len];
        if failed.len < MIN_FAILED_ENDPOINTS && !seen.contains(&id) {
            failed.endpoints[failed.len] = id;
            failed.len += 1;
        }
        failed.len == MIN_FAILED_ENDPOINTS
    }

    /// Records a success, which clears the cause's failures.
    pub(crate) fn succeed(&mut self, cause: Cause) {
        if self.causes.is_empty() {
            return;
        }
        if let Some(failed) = self.causes.get_mut(&cause) {
            failed.len = 0;
        }
    }

    fn evict_oldest(&mut self) {
        if self.order.len() < MAX_CAUSES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.causes.remove(&oldest);
        }
    }
}
