//! Speed of an endpoint relative to the others, from measured and expected run times.

use site::unit::Span;

/// Number of latest ratios over which an endpoint's median is taken.
const RATIOS: usize = 25;
/// Minimum number of ratios for a report.
const MIN_RATIOS: usize = 15;
/// Slowdown factor from which an endpoint counts as slow.
const SLOW_FACTOR: f32 = 1.5;
/// Slowdown factor below which a slow endpoint counts as normal again.
const NORMAL_FACTOR: f32 = 1.25;
/// Minimum ratio between two reported factors.
const MIN_REPORT_RATIO: f32 = 1.3;
/// Limit, in octaves, by which one observation moves the median of all endpoints. The first
/// observations may move it further.
const FLEET_STEP_OCTAVES: f32 = 0.01;

/// Running median, over all endpoints, of the ratio of elapsed to expected time, in octaves.
/// Expected times that are wrong by the same factor everywhere make no endpoint slow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fleet {
    median: f32,
    /// Observations so far.
    count: u32,
}

impl Fleet {
    fn observe(&mut self, octaves: f32) {
        if self.count == 0 {
            self.median = octaves;
        }
        self.count = self.count.saturating_add(1);
        let step = FLEET_STEP_OCTAVES.max(1.0 / self.count as f32);
        let distance = octaves - self.median;
        self.median += distance.clamp(-step, step);
    }
}

/// Speed of one endpoint relative to the others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    /// The latest ratios of elapsed to expected time, in octaves.
    ratios: [f32; RATIOS],
    len: usize,
    next: usize,
    /// The last reported slowdown factor; 1 is normal.
    reported: f32,
}

impl Default for Speed {
    fn default() -> Self {
        Self { ratios: [0.0; RATIOS], len: 0, next: 0, reported: 1.0 }
    }
}

impl Speed {
    /// Records a run. Returns the new slowdown factor if it must be reported.
    pub(crate) fn observe(
        &mut self,
        fleet: &mut Fleet,
        elapsed: Span,
        expected: Span,
    ) -> Option<f32> {
        if expected == Span::ZERO {
            return None;
        }
        let octaves = (elapsed.0.max(1) as f32 / expected.0 as f32).log2();
        fleet.observe(octaves);
        self.ratios[self.next] = octaves;
        self.next = (self.next + 1) % RATIOS;
        self.len = (self.len + 1).min(RATIOS);
        if self.len < MIN_RATIOS {
            return None;
        }
        self.report((self.median() - fleet.median).exp2())
    }

    /// Returns whether the endpoint was last reported as slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.reported > 1.0
    }

    /// Discards all measurements.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    fn median(&self) -> f32 {
        let mut sorted = self.ratios;
        let sorted = &mut sorted[..self.len];
        sorted.sort_unstable_by(f32::total_cmp);
        sorted[self.len / 2]
    }

    fn report(&mut self, factor: f32) -> Option<f32> {
        let factor = match factor {
            factor if factor >= SLOW_FACTOR => factor,
            factor if factor < NORMAL_FACTOR => 1.0,
            _ => return None,
        };
        let change = (factor / self.reported).max(self.reported / factor);
        if change < MIN_REPORT_RATIO {
            return None;
        }
        self.reported = factor;
        Some(factor)
    }
}
