//! Whether an entry reads the registrations of executors.
//!
//! Every executor renews its registration all the time. Only entries that keep executors read them, so
//! that this does not cost each entry of a large site what it costs all of them.

use crate::{Options, view::View};
use site::unit::Time;

/// Whether the entry reads the registrations of executors.
#[derive(Debug, Default)]
pub(crate) struct Following {
    is_on: bool,
    /// Since when the entry is to keep executors; `None` if it is not.
    wanted: Option<Time>,
}

impl Following {
    /// Decides anew; returns what is to be done if that differs from before. `keeps_nothing` is false
    /// while the entry has executors in use, whether it is to keep them or not.
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
