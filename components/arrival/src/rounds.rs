//! The rounds in which a process reads its sockets.

use crate::{Clocks, Moment};
use site::unit::Span;

/// Number of the latest rounds whose beginnings are kept. What a poll of the sockets finds is read
/// within one round, the poll may have been begun in the round before that, and the timer that ends
/// a round may have been armed in one before that.
const KEPT_ROUNDS: usize = 4;

/// A larger difference between the passage of wall time and of steady time means that the wall clock
/// was set.
const MAX_SHIFT: Span = Span::from_millis(10);

/// The rounds in which a process reads its sockets.
///
/// One thread polls all sockets, reads those with data, and runs a timer that begins the next round.
/// Tasks run in the order in which they were woken. A process that does not run for a while begins
/// no round meanwhile, so that what it reads afterwards may have arrived in that time.
#[derive(Debug)]
pub struct Rounds {
    /// Beginnings of the latest rounds, the oldest first.
    begun: [Clocks; KEPT_ROUNDS],
}

impl Rounds {
    /// Creates the rounds of a process that has read nothing yet.
    pub fn new(clocks: Clocks) -> Self {
        Self { begun: [clocks; KEPT_ROUNDS] }
    }

    /// Begins a round.
    pub fn begin(&mut self, clocks: Clocks) {
        self.begun.rotate_left(1);
        self.begun[KEPT_ROUNDS - 1] = clocks;
    }

    /// Describes the moment at which the clocks show `clocks`.
    pub fn moment(&self, clocks: Clocks) -> Moment {
        let oldest = self.begun[0];
        let is_steady = clocks.shift(oldest) <= MAX_SHIFT;
        Moment {
            now: clocks.steady,
            read_until: oldest.steady,
            wall: is_steady.then_some(clocks.wall),
        }
    }
}
