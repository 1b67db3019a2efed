//! Bounded set of homes that are gone.

use crate::options::MAX_GONE;
use rustc_hash::FxHashSet;
use site::id::Home;
use std::collections::VecDeque;

/// The [`MAX_GONE`] homes that were found to be gone most recently.
#[derive(Debug, Default)]
pub(super) struct Gone {
    /// The same homes as in `order`.
    homes: FxHashSet<Home>,
    /// Oldest first; never longer than [`MAX_GONE`].
    order: VecDeque<Home>,
}

impl Gone {
    pub(super) fn insert(&mut self, home: Home) {
        if !self.homes.insert(home) {
            return;
        }
        self.order.push_back(home);
        if self.order.len() > MAX_GONE {
            let oldest = self.order.pop_front();
            oldest.map(|home| self.homes.remove(&home));
        }
    }

    pub(super) fn contains(&self, home: Home) -> bool {
        self.homes.contains(&home)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Home> {
        self.order.iter().copied()
    }
}
