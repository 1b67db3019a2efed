//! Base rates: how often attempts fail or straggle at the endpoints that are not suspected.

/// Attempts per endpoint after which the weight of an attempt has fallen to 1/e. Small, because errors
/// that begin everywhere at once look like sick endpoints until the rates are learnt; 16 led to
/// isolations of sound endpoints.
const MEMORY_PER_ENDPOINT: usize = 4;
/// Minimum number of attempts for the same. In small pools the rates would be too uncertain.
const MIN_MEMORY: usize = 200;
/// Minimum rate that is assumed: three failures in a row, but not two, isolate an endpoint in a pool
/// that never fails.
const MIN_RATE: f32 = 0.006;
/// Number of attempts that is added to the failed and to the straggling ones. Without it, rates that
/// are too low by chance led to isolations of sound endpoints at 1% errors.
const PRIOR: f32 = 1.0;

/// Attempts by outcome. Older ones weigh less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    ended: f32,
    failed: f32,
    straggling: f32,
    /// `Base::ended` when the counts were last updated.
    at: u64,
}

impl Counts {
    fn decay(&mut self, at: u64, memory: f32) {
        let factor = (-(at.saturating_sub(self.at) as f32) / memory).exp();
        self.ended *= factor;
        self.failed *= factor;
        self.straggling *= factor;
        self.at = at;
    }
}

/// Shares of attempts.
pub(crate) struct Rates {
    pub(crate) failed: f32,
    pub(crate) straggling: f32,
}

/// Base rates of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Base {
    counts: Counts,
    /// Number of attempts that ended so far.
    ended: u64,
    /// Attempts after which the weight of an attempt has fallen to 1/e.
    memory: f32,
}

impl Base {
    /// Sets the memory for this number of endpoints.
    pub(crate) fn set_endpoints(&mut self, endpoints: usize) {
        self.memory = (endpoints * MEMORY_PER_ENDPOINT).max(MIN_MEMORY) as f32;
    }

    /// Whether enough attempts have ended.
    pub(crate) fn is_known(&self) -> bool {
        self.ended as f32 >= self.memory
    }

    /// Adds an ended attempt of an endpoint that contributes `own`.
    pub(crate) fn end(&mut self, failed: bool, own: &mut Counts) {
        self.ended += 1;
        for counts in [&mut self.counts, own] {
            counts.decay(self.ended, self.memory);
            counts.ended += 1.0;
            counts.failed += f32::from(u8::from(failed));
        }
    }

    /// Adds a straggling attempt, which ends later.
    pub(crate) fn straggle(&mut self, own: &mut Counts) {
        for counts in [&mut self.counts, own] {
            counts.decay(self.ended, self.memory);
            counts.straggling += 1.0;
        }
    }

    /// Removes what an endpoint contributed.
    pub(crate) fn withdraw(&mut self, own: &mut Counts) {
        own.decay(self.ended, self.memory);
        self.counts = self.without(own);
        *own = Counts::default();
    }

    /// The rates at all other endpoints.
    pub(crate) fn rates_without(&self, own: &Counts) -> Rates {
        let mut own = *own;
        own.decay(self.ended, self.memory);
        let others = self.without(&own);
        let rate = |count: f32| ((count + PRIOR) / others.ended.max(1.0)).clamp(MIN_RATE, 1.0);
        Rates { failed: rate(others.failed), straggling: rate(others.straggling) }
    }

    fn without(&self, own: &Counts) -> Counts {
        Counts {
            ended: (self.counts.ended - own.ended).max(0.0),
            failed: (self.counts.failed - own.failed).max(0.0),
            straggling: (self.counts.straggling - own.straggling).max(0.0),
            at: self.ended,
        }
    }
}
