//! Simulates the platform: key claims by compare-and-swap, and lists that lag by one publication.

use ::site::id::{EndpointId, EntryId, FirmId, Home, SubmissionId};
use compact_str::CompactString;
use dispatch::event::ClaimResult;
use std::collections::BTreeMap;

/// State of the platform's key-value service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Service {
    #[default]
    Up,
    /// Requests have no effect.
    Unavailable,
    /// The change takes effect, but the response is lost.
    AnswerLost,
}

#[derive(Clone, Debug)]
pub struct ClaimRequest {
    pub firm: FirmId,
    pub key: CompactString,
    pub id: SubmissionId,
    pub replaces: Option<SubmissionId>,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub service: Service,
    pub claims: BTreeMap<(FirmId, CompactString), SubmissionId>,
    /// Lists that the next publication contains.
    pub registered: Vec<Home>,
    pub gone: Vec<EntryId>,
    pub leaving: Vec<EndpointId>,
}

impl Platform {
    pub fn claim(&mut self, request: ClaimRequest) -> ClaimResult {
        if self.service == Service::Unavailable {
            return ClaimResult::Unavailable;
        }
        let key = (request.firm, request.key);
        let holder = self.claims.get(&key).copied();
        let free = holder.is_none() || holder == request.replaces;
        if free {
            self.claims.insert(key, request.id);
        }
        match holder {
            _ if self.service == Service::AnswerLost => ClaimResult::Unavailable,
            Some(id) if !free && id != request.id => ClaimResult::Taken(id),
            _ => ClaimResult::Won(request.id),
        }
    }
}
