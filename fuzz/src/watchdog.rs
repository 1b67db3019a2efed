//! Ends the process when a case does not finish in time.

use crate::cases;
use parking_lot::Mutex;
use std::{
    process, thread,
    time::{Duration, Instant},
};

/// Time limit of one case. It is far longer than any time limit inside a case.
pub const CASE_TIME_LIMIT: Duration = Duration::from_secs(60);

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Exit code after a case that exceeded [`CASE_TIME_LIMIT`].
const HANG_EXIT_CODE: i32 = 3;

static RUNNING: Mutex<Vec<Running>> = Mutex::new(Vec::new());

struct Running {
    target: &'static str,
    case: Vec<u8>,
    since: Instant,
}

/// Starts the watchdog thread, once per process.
pub fn start() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| drop(thread::spawn(watch)));
}

/// Runs `f`, which has to finish within [`CASE_TIME_LIMIT`].
pub fn guard<T>(target: &'static str, case: &[u8], f: impl FnOnce() -> T) -> T {
    let running = Running { target, case: case.to_vec(), since: Instant::now() };
    RUNNING.lock().push(running);
    let result = f();
    RUNNING.lock().pop();
    result
}

fn watch() {
    loop {
        thread::sleep(CHECK_INTERVAL);
        let running = RUNNING.lock();
        let Some(hung) = running.iter().find(|running| running.since.elapsed() > CASE_TIME_LIMIT)
        else {
            continue;
        };
        let path = cases::save(hung.target, "hang", &hung.case);
        eprintln!("{}: a case does not finish; kept as {path:?}", hung.target);
        process::exit(HANG_EXIT_CODE);
    }
}
