//! The platform: claims by compare-and-swap, and lists that lag by one publication.

use ::site::id::{EndpointId, EntryId, FirmId, Home, SubmissionId};
use compact_str::CompactString;
use dispatch::event::ClaimResult;
use std::collections::BTreeMap;

/// How the platform's service answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Service {
    #[default]
    Up,
    /// Nothing takes effect.
    Out,
    /// The change takes effect and its answer stays unknown.
    AnswerLost,
}

#[derive(Clone, Debug)]
pub struct Wanted {
    pub firm: FirmId,
    pub key: CompactString,
    pub id: SubmissionId,
    pub replaces: Option<SubmissionId>,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub service: Service,
    pub claims: BTreeMap<(FirmId, CompactString), SubmissionId>,
    /// What the next publication tells.
    pub registered: Vec<Home>,
    pub gone: Vec<EntryId>,
    pub leaving: Vec<EndpointId>,
}

impl Platform {
    pub fn claim(&mut self, wanted: Wanted) -> ClaimResult {
        if self.service == Service::Out {
            return ClaimResult::Unavailable;
        }
        let key = (wanted.firm, wanted.key);
        let holder = self.claims.get(&key).copied();
        let free = holder.is_none() || holder == wanted.replaces;
        if free {
            self.claims.insert(key, wanted.id);
        }
        match holder {
            _ if self.service == Service::AnswerLost => ClaimResult::Unavailable,
            Some(id) if !free && id != wanted.id => ClaimResult::Taken(id),
            _ => ClaimResult::Won(wanted.id),
        }
    }
}
