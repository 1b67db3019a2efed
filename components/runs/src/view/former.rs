//! The keepers that executors had before an entry was lost.

use super::{Shares, View, without_incarnation};
use crate::Executor;
use membership::rendezvous;
use site::{
    id::{DataCentreId, Home},
    unit::{Time, Weight},
};

/// What an entry knows of a lost keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Former {
    /// When it was last heard from.
    pub(crate) heard: Time,
    /// No lower than the tokens of all lost keepers, by their latest reports.
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
    lost: Vec<LostKeeper>,
    data_centre: DataCentreId,
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
        FormerKeepers {
            lost,
            data_centre: self.me.data_centre,
            token: self.token_after_losses(self.lost.highest_token()),
        }
    }
}

impl FormerKeepers {
    /// The lost keeper of an executor; `None` if its keeper is not lost.
    pub(crate) fn of(&self, executor: &Executor) -> Option<Former> {
        if executor.data_centre != self.data_centre {
            return None;
        }
        let kept = |lost: &&LostKeeper| {
            rendezvous::weighted_keeper(&lost.shares, executor.id) == Some(lost.home)
        };
        let former = self.lost.iter().find(kept)?;
        Some(Former { heard: former.heard, token: self.token })
    }
}
