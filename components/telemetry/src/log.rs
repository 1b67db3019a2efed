//! The log: a bounded channel and a writer thread.

use crate::{Names, line};
use derive_more::{Display, Error, From};
use dispatch::Decision;
use serde::{Deserialize, Serialize};
use site::unit::Time;
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use tracing::{
    Subscriber,
    level_filters::LevelFilter,
    subscriber::{SetGlobalDefaultError, set_global_default},
};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait for the writer.
const CAPACITY: usize = 16 * 1024;

/// Time between batches. While the writer pauses, handing in a line wakes no thread, and lines
/// leave with one write for all.
const PAUSE: Duration = Duration::from_millis(5);

/// The least severe lines that are written.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Nothing.
    Off,
    /// What needs a person.
    Error,
    /// What may need a person.
    Warn,
    /// Changes of state, and each routing or placement decision.
    #[default]
    Info,
    /// Details of connections and calls.
    Debug,
    /// Everything.
    Trace,
}

/// How lines other than decisions are written; decisions are always JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One JSON object a line.
    #[default]
    Json,
    /// Plain text.
    Text,
}

/// Why the log can't be started.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// The writer thread could not be started.
    #[display("cannot start the log's writer thread: {_0}")]
    Thread(io::Error),
    /// The process already logs elsewhere.
    #[display("the process already has a log: {_0}")]
    Taken(SetGlobalDefaultError),
}

enum Line {
    Text(Vec<u8>),
    Decision(Time, Decision),
    Names(Arc<Names>),
    Stop,
}

/// Where lines are handed in. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Log {
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    level: Level,
}

/// Ends the writer thread when dropped, after it has written what was handed in before.
#[derive(Debug)]
pub struct Guard {
    lines: SyncSender<Line>,
    writer: Option<JoinHandle<()>>,
}

/// Starts the writer thread on `output`.
pub fn start(output: impl Write + Send + 'static, level: Level) -> Result<(Log, Guard), LogError> {
    start_bounded(output, level, CAPACITY)
}

/// Starts the writer thread on `output`. At most `capacity` lines wait for it.
pub fn start_bounded(
    output: impl Write + Send + 'static,
    level: Level,
    capacity: usize,
) -> Result<(Log, Guard), LogError> {
    let (lines, received) = sync_channel(capacity);
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&received, output))?;
    let log = Log { lines: lines.clone(), dropped: Arc::default(), level };
    Ok((log, Guard { lines, writer: Some(writer) }))
}

impl Log {
    /// Logs a decision made at `at`. Never waits.
    pub fn decide(&self, at: Time, decision: Decision) {
        if self.level >= Level::Info {
            self.send(Line::Decision(at, decision));
        }
    }

    /// Writes a line of JSON. Never waits.
    pub fn json(&self, line: &impl Serialize) {
        match serde_json::to_vec(line) {
            Ok(mut text) => {
                text.push(b'\n');
                self.send(Line::Text(text));
            }
            Err(error) => tracing::error!(%error, "a log line can't be written as JSON"),
        }
    }

    /// Replaces the names that later decisions are written with.
    pub fn rename(&self, names: Names) {
        self.send(Line::Names(Arc::new(names)));
    }

    /// Lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// A subscriber that writes `tracing` events to this log.
    pub fn subscriber(&self) -> impl Subscriber + Send + Sync + use<> {
        tracing_subscriber::fmt()
            .json()
            .with_max_level(self.level.filter())
            .with_writer(self.clone())
            .finish()
    }

    /// Makes this the log of the whole process.
    pub fn install(&self, format: Format) -> Result<(), LogError> {
        let level = self.level.filter();
        let plain = tracing_subscriber::fmt().with_max_level(level).with_writer(self.clone());
        match format {
            Format::Json => set_global_default(self.subscriber())?,
            Format::Text => set_global_default(plain.with_ansi(false).finish())?,
        }
        Ok(())
    }

    fn send(&self, line: Line) {
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Level {
    fn filter(self) -> LevelFilter {
        match self {
            Level::Off => LevelFilter::OFF,
            Level::Error => LevelFilter::ERROR,
            Level::Warn => LevelFilter::WARN,
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
            Level::Trace => LevelFilter::TRACE,
        }
    }
}

/// One event's text; `tracing` hands it over in one write.
impl Write for Log {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.send(Line::Text(text.to_vec()));
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = Log;

    fn make_writer(&'a self) -> Log {
        self.clone()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // Waits for room, unlike the lines themselves: the process is ending.
        let _ = self.lines.send(Line::Stop);
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

fn write_lines(received: &Receiver<Line>, output: impl Write) {
    let mut output = io::BufWriter::new(output);
    let mut names = Arc::new(Names::default());
    while let Ok(first) = received.recv() {
        let batch = std::iter::once(first).chain(received.try_iter().take(CAPACITY));
        for line in batch {
            // A log that can't be written must not stop the process.
            let _ = match line {
                Line::Text(text) => output.write_all(&text),
                Line::Decision(at, decision) => {
                    writeln!(output, "{}", line::render(&decision, at, &names))
                }
                Line::Names(new) => {
                    names = new;
                    Ok(())
                }
                Line::Stop => {
                    let _ = output.flush();
                    return;
                }
            };
        }
        let _ = output.flush();
        thread::sleep(PAUSE);
    }
}
