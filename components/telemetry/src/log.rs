//! The log: a bounded channel to a writer thread.

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

/// Maximum number of lines that are queued for the writer.
const QUEUE_CAPACITY: usize = 16 * 1024;

/// Pause of the writer between batches. During the pause, sending a line wakes no thread, and the
/// lines of a batch share one write.
const BATCH_PAUSE: Duration = Duration::from_millis(5);

/// Minimum severity of the lines that are written.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// No lines.
    Off,
    /// Problems that require an operator.
    Error,
    /// Problems that may require an operator.
    Warn,
    /// Changes of state, and each routing or placement decision.
    #[default]
    Info,
    /// Details of connections and calls.
    Debug,
    /// All lines.
    Trace,
}

/// Format of lines other than decisions; decisions are always JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text.
    Text,
}

/// Error of starting the log.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// The writer thread could not be started.
    #[display("cannot start the log's writer thread: {_0}")]
    Thread(io::Error),
    /// The process already has a global log.
    #[display("the process already has a log: {_0}")]
    Taken(SetGlobalDefaultError),
}

enum Line {
    Text(Vec<u8>),
    Decision(Time, Decision),
    Names(Arc<Names>),
    Stop,
}

/// Handle that sends lines to the writer. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Log {
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    level: Level,
}

/// Ends the writer thread when dropped, after it has written all lines that were sent before.
#[derive(Debug)]
pub struct Guard {
    lines: SyncSender<Line>,
    writer: Option<JoinHandle<()>>,
}

/// Starts the writer thread on `output`.
pub fn start(output: impl Write + Send + 'static, level: Level) -> Result<(Log, Guard), LogError> {
    start_with_capacity(output, level, QUEUE_CAPACITY)
}

/// Starts the writer thread on `output`. At most `capacity` lines are queued for it.
pub fn start_with_capacity(
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
    /// Logs a decision made at `at`. Never blocks.
    pub fn log_decision(&self, at: Time, decision: Decision) {
        if self.level >= Level::Info {
            self.send(Line::Decision(at, decision));
        }
    }

    /// Writes a value as a line of JSON. Never blocks.
    pub fn write_json(&self, line: &impl Serialize) {
        match serde_json::to_vec(line) {
            Ok(mut text) => {
                text.push(b'\n');
                self.send(Line::Text(text));
            }
            Err(error) => tracing::error!(%error, "a log line can't be written as JSON"),
        }
    }

    /// Sets the names that later decision lines show for identifiers.
    pub fn set_names(&self, names: Names) {
        self.send(Line::Names(Arc::new(names)));
    }

    /// Returns the number of lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns a subscriber that writes `tracing` events to this log.
    pub fn subscriber(&self) -> impl Subscriber + Send + Sync + use<> {
        tracing_subscriber::fmt()
            .json()
            .with_max_level(self.level.filter())
            .with_writer(self.clone())
            .finish()
    }

    /// Installs this log as the global log of the process.
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

/// Receives the text of one event; `tracing` passes it in one write.
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
        // Waits until the channel has capacity, unlike log lines, since the process is ending.
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
        let batch = std::iter::once(first).chain(received.try_iter().take(QUEUE_CAPACITY));
        for line in batch {
            // A failed write of the log must not stop the process.
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
        thread::sleep(BATCH_PAUSE);
    }
}
