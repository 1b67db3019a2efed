//! Measurement of processor time and heap memory of this process.

use rustix::time::{ClockId, clock_gettime};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the processor time of the current thread, in nanoseconds.
pub fn thread_time() -> u64 {
    nanoseconds(ClockId::ThreadCPUTime)
}

/// Returns the processor time of all threads of the process, in nanoseconds.
pub fn process_time() -> u64 {
    nanoseconds(ClockId::ProcessCPUTime)
}

/// Returns the bytes requested from the allocator and not freed. The allocator's own overhead is
/// not included.
pub fn heap() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Runs `f` and returns its result and its processor time on this thread in nanoseconds.
pub fn timed<T>(f: impl FnOnce() -> T) -> (T, f64) {
    let before = thread_time();
    let result = f();
    (result, (thread_time() - before) as f64)
}

/// Runs `f` and returns its result and the growth of the heap in bytes.
pub fn with_heap_growth<T>(f: impl FnOnce() -> T) -> (T, f64) {
    let before = heap();
    let result = f();
    (result, heap() - before)
}

/// Returns the least processor time of `runs` runs of `f`, in nanoseconds, since other load on the
/// machine only adds to it.
pub fn min_time<T>(runs: usize, mut f: impl FnMut() -> T) -> f64 {
    (0..runs).map(|_| timed(&mut f).1).fold(f64::INFINITY, f64::min)
}

fn nanoseconds(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}
