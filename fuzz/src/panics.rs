//! Records panics of all threads.

use crate::Finding;
use parking_lot::Mutex;
use std::{
    backtrace::Backtrace,
    panic::{self, AssertUnwindSafe, PanicHookInfo},
    sync::Once,
};

static HOOK: Once = Once::new();
static RECORDED: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Runs `f`. Panics of any thread of the process meanwhile are a finding.
///
/// # Errors
///
/// Those of `f`, and [`Finding::Panic`] after a panic.
pub fn catch<T>(f: impl FnOnce() -> Result<T, Finding>) -> Result<T, Finding> {
    HOOK.call_once(|| {
        panic::set_hook(Box::new(|info| RECORDED.lock().push(describe(info))));
    });
    RECORDED.lock().clear();
    let result = panic::catch_unwind(AssertUnwindSafe(f));
    let recorded = std::mem::take(&mut *RECORDED.lock());
    match result {
        Ok(result) if recorded.is_empty() => result,
        _ => Err(Finding::Panic { text: recorded.join("; ") }),
    }
}

/// Returns message and source location. For a panic inside the standard library, adds the location
/// under `components/` that led there, the first such line of the backtrace.
fn describe(info: &PanicHookInfo<'_>) -> String {
    let text = info.to_string();
    if !info.location().is_some_and(|place| place.file().starts_with("/rustc/")) {
        return text;
    }
    let trace = Backtrace::force_capture().to_string();
    let own = trace.lines().find(|line| line.contains("components/"));
    format!("{text} from {}", own.unwrap_or_default().trim())
}
