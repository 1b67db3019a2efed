//! What was sent, answered and run, with the milliseconds since the start.

use std::{
    fs,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let mut lines = self.lines.lock().unwrap();
        let text = format!("{:>6} {}", self.ms(), line.as_ref());
        lines.push(text);
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = fs::write(path, text) {
            eprintln!("can't write {}: {error}", path.display());
        }
    }
}
