//! Decides whether an entry watches the registrations of executors.
//!
//! Every executor renews its registration continually. Only entries that keep executors watch them;
//! otherwise the cost would grow with the number of entries times the number of executors.

use crate::{Options, view::View};
use site::unit::Time;

/// Whether this entry watches the registrations of executors.
#[derive(Debug, Default)]
pub(crate) struct ExecutorWatch {
    is_on: bool,
    /// Since when this entry has to keep executors; `None` if it has not.
    wanted: Option<Time>,
}

impl ExecutorWatch {
    /// Updates the decision and returns it if it changed. `keeps_nothing` is false while the entry
    /// has executors in use, including ones that it is about to transfer.
    pub(crate) fn update(
        &mut self,
        now: Time,
        view: &View,
        keeps_nothing: bool,
        options: &Options,
    ) -> Option<bool> {
        if !options.follow_if_keeper {
            return (!std::mem::replace(&mut self.is_on, true)).then_some(true);
        }
        if !view.is_keeper() && keeps_nothing {
            self.wanted = None;
            return std::mem::replace(&mut self.is_on, false).then_some(false);
        }
        let since = *self.wanted.get_or_insert(now);
        let is_due = !view.is_stopgap() || now.since(since) >= options.stopgap_patience;
        (is_due && !std::mem::replace(&mut self.is_on, true)).then_some(true)
    }
}
