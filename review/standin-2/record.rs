//! The record of a case: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record. Clones share the file and the origin of times.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(folder.join("record.txt"))?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let line = format!("{:>7} ms  {}\n", self.now(), text.as_ref());
        // The verdict is printed as well, so that a full disk is noticed there.
        let _ = file.write_all(line.as_bytes());
    }
}
