//! Progress bar on a terminal.

use std::io::{self, Write};

/// Width of the bar in characters.
const WIDTH: u64 = 40;

/// A progress line that is overwritten by each update.
#[derive(Debug)]
pub struct Progress {
    total: u64,
    shown: bool,
    last: Option<u64>,
}

impl Progress {
    pub(crate) fn new(total: u64, shown: bool) -> Progress {
        Progress { total, shown, last: None }
    }

    /// Shows the progress as `done` of the total.
    pub fn update(&mut self, done: u64) {
        if !self.shown || self.last == Some(done) {
            return;
        }
        self.last = Some(done);
        let mut output = io::stderr().lock();
        let _ = write!(output, "\r{}", bar(done, self.total)).and_then(|()| output.flush());
    }

    /// Ends the line.
    pub fn finish(self) {
        if self.shown && self.last.is_some() {
            let _ = writeln!(io::stderr());
        }
    }
}

/// Renders the line for `done` of `total`.
pub(crate) fn bar(done: u64, total: u64) -> String {
    let done = done.min(total);
    let filled = (done * WIDTH).checked_div(total).unwrap_or(WIDTH);
    let cell = |at| if at < filled { '#' } else { '.' };
    let cells: String = (0..WIDTH).map(cell).collect();
    format!("[{cells}] {done}/{total}")
}
