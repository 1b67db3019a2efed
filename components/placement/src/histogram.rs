//! A histogram with logarithmic bins whose old values decay.

/// Number of bins: 20 octaves of twelve.
const BINS: usize = 240;
/// Number of bins per octave.
const BINS_PER_OCTAVE: f32 = 12.0;
/// Number of values at which all counts are halved.
const HALVING_TOTAL: u32 = 1024;

/// Counts of positive values from `2^first` upwards, in bins of a twelfth of an octave. Values out
/// of range are counted in the first or last bin.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    first: f32,
    bins: [u16; BINS],
    /// Sum of `bins`.
    total: u32,
}

impl Histogram {
    pub(crate) fn new(first: f32) -> Self {
        Self { first, bins: [0; BINS], total: 0 }
    }

    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    pub(crate) fn add(&mut self, value: f32) {
        let bin = (value.log2() - self.first) * BINS_PER_OCTAVE;
        let bin = (bin.max(0.0) as usize).min(BINS - 1);
        self.bins[bin] += 1;
        self.total += 1;
        if self.total >= HALVING_TOTAL {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.bins.iter_mut().for_each(|count| *count /= 2);
        self.total = self.bins.iter().map(|&count| u32::from(count)).sum();
    }

    /// Returns the upper edge of the bin with the `share` quantile. The histogram must not be
    /// empty.
    pub(crate) fn quantile(&self, share: f32) -> f32 {
        self.edge(self.bin_of(share) + 1)
    }

    /// Returns the mean, with each value at the middle of its bin. The histogram must not be empty.
    pub(crate) fn mean(&self) -> f32 {
        let sum: f32 = self
            .bins
            .iter()
            .enumerate()
            .filter(|&(_, &count)| count > 0)
            .map(|(bin, &count)| f32::from(count) * (self.edge(bin) + self.edge(bin + 1)) / 2.0)
            .sum();
        sum / self.total.max(1) as f32
    }

    /// Returns the number of bins between the 10th and the 90th percentile.
    pub(crate) fn width(&self) -> usize {
        self.bin_of(0.9) - self.bin_of(0.1)
    }

    fn bin_of(&self, share: f32) -> usize {
        let rank = (share * self.total as f32).ceil().max(1.0) as u32;
        let mut cumulative = 0;
        self.bins
            .iter()
            .position(|&count| {
                cumulative += u32::from(count);
                cumulative >= rank
            })
            .unwrap_or(BINS - 1)
    }

    fn edge(&self, bin: usize) -> f32 {
        (self.first + bin as f32 / BINS_PER_OCTAVE).exp2()
    }
}
