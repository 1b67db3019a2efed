//! Measures the heap usage of this process.

use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Returns the bytes currently allocated on the heap.
pub fn used() -> usize {
    ALLOCATOR.current_usage()
}

/// Runs `f`. Returns its result and the peak growth of the heap meanwhile, in bytes. Allocations of
/// other threads count too.
pub fn peak<T>(f: impl FnOnce() -> T) -> (T, usize) {
    let before = used();
    ALLOCATOR.reset_peak_usage();
    let result = f();
    (result, ALLOCATOR.peak_usage().saturating_sub(before))
}
