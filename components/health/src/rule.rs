//! Rules that decide from the outcomes of attempts whether an endpoint is isolated.

use crate::record::MAX_LOST_TASKS;
use site::unit::Time;

/// Maximum length of a failure streak that is tracked.
const MAX_STREAK: usize = 16;

/// When to isolate an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// After this many consecutive failures, in the order in which the attempts started.
    Consecutive {
        /// Number of failures; at most 16.
        limit: u32,
    },
    /// When at least `limit` of the latest `window` attempts failed.
    ErrorRate {
        /// Number of latest attempts that are considered; at most 64.
        window: u32,
        /// Number of failures among them.
        limit: u32,
    },
    /// By a penalty counter that each failure raises and a series of successes resets.
    PenaltyReward {
        /// Penalty at which the endpoint is isolated. A failure adds 1.
        penalty: u32,
        /// Consecutive successes that reset the penalty.
        reward: u32,
    },
    /// When the likelihood ratio of the endpoint being sick to it being like the others has reached
    /// 2 to the power of `bits`, or after [`MAX_LOST_TASKS`] consecutive failures. It is doubtful
    /// from half of the bits on. The default rule decides while the pool is small or has not seen
    /// enough attempts.
    Likelihood {
        /// Binary logarithm of the ratio at which the endpoint is isolated.
        bits: u32,
    },
}

impl Rule {
    /// Rule by likelihood. In a pool that has no errors, three failures in a row isolate an
    /// endpoint and two make it doubtful.
    pub const LIKELIHOOD: Rule = Rule::Likelihood { bits: 14 };

    /// The rule that counts while the base rates of a pool are not known.
    fn without_rates(self) -> Self {
        match self {
            Rule::Likelihood { .. } => Self::default(),
            rule => rule,
        }
    }
}

impl Default for Rule {
    fn default() -> Self {
        Rule::PenaltyReward { penalty: MAX_LOST_TASKS, reward: 2 }
    }
}

/// The outcomes of an endpoint's attempts, as the rules need them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score {
    /// Start times of the latest failed attempts, without those that started no later than a
    /// successful one. Only the first `len` are set.
    failures: [Time; MAX_STREAK],
    len: usize,
    /// Outcomes as bits, the latest in the lowest bit; 1 is a failure.
    history: u64,
    penalty: u32,
    reward: u32,
}

impl Score {
    /// Returns the number of consecutive failures. An endpoint that begins to fail everything may
    /// still complete attempts that started before, so a success does not clear failures of
    /// attempts that started later.
    pub(crate) fn streak(&self) -> u32 {
        self.len as u32
    }

    pub(crate) fn fail(&mut self, started: Time) {
        if self.len < MAX_STREAK {
            self.failures[self.len] = started;
            self.len += 1;
        }
        self.history = self.history << 1 | 1;
        self.penalty += 1;
        self.reward = 0;
    }

    pub(crate) fn succeed(&mut self, rule: Rule, started: Time) {
        let newest = self.failures[..self.len].iter().max();
        let stale = newest.is_some_and(|&failure| failure > started);
        self.clear_failures(started);
        if stale {
            return;
        }
        self.history <<= 1;
        if self.penalty == 0 {
            return;
        }
        self.reward += 1;
        if matches!(rule.without_rates(), Rule::PenaltyReward { reward, .. } if self.reward >= reward)
        {
            self.penalty = 0;
            self.reward = 0;
        }
    }

    /// Removes the failures of attempts that started at `until` or before.
    fn clear_failures(&mut self, until: Time) {
        let mut remaining = 0;
        for at in 0..self.len {
            if self.failures[at] > until {
                self.failures[remaining] = self.failures[at];
                remaining += 1;
            }
        }
        self.len = remaining;
    }

    /// Returns whether the rule isolates the endpoint while base rates are not known.
    pub(crate) fn is_unhealthy(&self, rule: Rule) -> bool {
        match rule.without_rates() {
            Rule::Consecutive { limit } => self.streak() >= limit,
            Rule::ErrorRate { window, limit } => {
                let recent = self.history & (u64::MAX >> (64 - window.clamp(1, 64)));
                recent.count_ones() >= limit
            }
            Rule::PenaltyReward { penalty, .. } => self.penalty >= penalty,
            Rule::Likelihood { .. } => false,
        }
    }
}
