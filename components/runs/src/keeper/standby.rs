//! Executors that are taken over from lost entries.

use super::{Keeper, Lease};
use crate::view::{Former, View};

impl Keeper {
    /// The highest fencing token that is in use. Whoever takes this entry's executors over needs a
    /// higher one.
    pub(crate) fn highest_token(&self) -> u64 {
        let used = self.leases.values().filter(|lease| lease.is_in_use());
        used.map(|lease| lease.token).max().unwrap_or_default()
    }
}

impl Lease {
    /// The fencing token of the next claim. The store's revision may be the one that the lost
    /// keeper's token rests on, so that only its reports tell which tokens are higher.
    pub(super) fn next_token(&self, view: &View) -> u64 {
        let token = view.token(self.tries);
        let above = |former: Former| view.token_above_by(former.token, self.tries);
        self.former.map_or(token, |former| token.max(above(former)))
    }
}
