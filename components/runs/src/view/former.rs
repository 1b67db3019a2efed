//! The keepers that executors had before an entry was lost.

use super::{Shares, TRY_SHIFT, View, without_incarnation};
use crate::Executor;
use membership::rendezvous;
use site::{
    id::Home,
    unit::{Time, Weight},
};

/// What an entry knows of a lost keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Former {
    /// When it was last heard from.
    pub(crate) heard: Time,
    /// No lower than the tokens of all lost keepers, by their latest reports, and than those that
    /// lost entries that come before this one in order may have used since.
    pub(crate) token: u64,
}

/// A lost entry and the distribution of executors that it was last a part of.
struct LostKeeper {
    home: Home,
    heard: Time,
    shares: Vec<(Home, Weight)>,
}

/// The lost entries, the latest first.
pub(crate) struct FormerKeepers {
    me: Home,
    lost: Vec<LostKeeper>,
    /// The highest token that a lost entry has reported.
    token: u64,
}

impl View {
    /// The keepers that executors of this data centre had before entries were lost.
    pub(crate) fn former_keepers(&self) -> FormerKeepers {
        let mut homes = self.keepers.clone();
        let mut lost = Vec::new();
        for (home, heard) in self.lost.latest_silent() {
            if homes.iter().any(|other| other.entry == home.entry) {
                continue;
            }
            homes.push(home);
            let weighed = self.weigh(&homes).into_iter();
            let weighed = weighed.map(|(home, weight)| (without_incarnation(&home), weight));
            let shares = Shares::new(self.me.data_centre, weighed.collect());
            let home = without_incarnation(&home);
            lost.push(LostKeeper { home, heard, shares: shares.local });
        }
        FormerKeepers { me: without_incarnation(&self.me), lost, token: self.lost.highest_token() }
    }
}

impl FormerKeepers {
    /// The lost keeper of an executor; `None` if its keeper is not lost.
    pub(crate) fn of(&self, executor: &Executor) -> Option<Former> {
        if executor.data_centre != self.me.data_centre {
            return None;
        }
        let kept = |lost: &&LostKeeper| {
            rendezvous::weighted_keeper(&lost.shares, executor.id) == Some(lost.home)
        };
        let former = self.lost.iter().find(kept)?;
        let others = self.lost_before_me(executor).saturating_sub(1) as u64;
        Some(Former { heard: former.heard, token: self.token + (others << TRY_SHIFT) })
    }

    /// Number of lost entries that come before this one in the order of an executor's keepers.
    fn lost_before_me(&self, executor: &Executor) -> usize {
        let Some(all) = self.lost.last().map(|lost| &lost.shares) else { return 0 };
        let share = |home: Home| all.iter().copied().find(|(other, _)| *other == home);
        let Some(mine) = share(self.me) else { return 0 };
        let comes_before = |lost: &&LostKeeper| {
            let pair = share(lost.home).map(|theirs| [mine, theirs]);
            pair.and_then(|pair| rendezvous::weighted_keeper(&pair, executor.id)) == Some(lost.home)
        };
        self.lost.iter().filter(comes_before).count()
    }
}
