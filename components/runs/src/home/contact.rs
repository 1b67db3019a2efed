//! Data centres that may be cut off.
//!
//! Addresses a network partition between data centres. Its connections end only after a timeout of
//! 0.8 s. A home that places by the last reports sends tasks into the partition until then, and may
//! start them elsewhere only when the leases there must have expired, some 2 s after it sent them.
//! A data centre of which no entry is heard for much longer than usual is therefore taken for cut
//! off earlier. How often its entries are heard depends on the size of the site and on its load, so
//! that it is measured.

use crate::action::Decision;
use rustc_hash::FxHashMap;
use site::{
    id::DataCentreId,
    unit::{Span, Time},
};

/// A data centre is silent if it was not heard for this many of the usual pauses between two of its
/// messages.
const SILENT_PAUSES: u64 = 8;

/// Number of messages after which an earlier pause counts for little.
const MEMORY_MESSAGES: u64 = 8;

/// The usual pause until it is known. Long enough that nothing counts as silent before.
const UNKNOWN_PAUSE: Span = Span::from_secs(1);

/// The messages of other data centres.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    data_centres: FxHashMap<DataCentreId, Contact>,
}

/// The messages of a data centre.
#[derive(Debug)]
struct Contact {
    latest: Time,
    /// Moving average of the pause between two messages of any of its entries.
    usual_pause: Span,
    /// Whether it was silent when that was last logged.
    logged_silent: bool,
}

impl Contact {
    /// A limit of zero turns this off.
    fn is_silent(&self, now: Time, limit: Span) -> bool {
        let pauses = Span(self.usual_pause.0 * SILENT_PAUSES);
        limit > Span::ZERO && now.since(self.latest) > limit.max(pauses)
    }
}

impl Contacts {
    /// Records a message of an entry of a data centre, or a connection to one.
    pub(super) fn record(&mut self, now: Time, data_centre: DataCentreId) {
        let unknown = Contact { latest: now, usual_pause: UNKNOWN_PAUSE, logged_silent: false };
        let contact = self.data_centres.entry(data_centre).or_insert(unknown);
        let pause = now.since(contact.latest);
        let sum = contact.usual_pause.0 * (MEMORY_MESSAGES - 1) + pause.0;
        contact.usual_pause = Span(sum / MEMORY_MESSAGES);
        contact.latest = now;
    }

    /// Whether no entry of a data centre was heard for longer than `limit` and for several usual
    /// pauses.
    pub(super) fn is_silent(&self, now: Time, data_centre: DataCentreId, limit: Span) -> bool {
        let contact = self.data_centres.get(&data_centre);
        contact.is_some_and(|contact| contact.is_silent(now, limit))
    }

    /// The data centres that became silent or were heard again since the last call.
    pub(super) fn take_changes(&mut self, now: Time, limit: Span) -> Vec<Decision> {
        let mut changes = Vec::new();
        for (data_centre, contact) in &mut self.data_centres {
            let silent = contact.is_silent(now, limit);
            if silent != contact.logged_silent {
                contact.logged_silent = silent;
                let unheard = now.since(contact.latest);
                changes.push(Decision::Silence { data_centre: *data_centre, silent, unheard });
            }
        }
        changes
    }
}
