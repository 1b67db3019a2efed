//! Counts of what entries do with tasks, and of what they send to each other.

use runs::{Action, Decision, Message, message::End};
use serde::Serialize;

/// Counts over all entries while jobs arrive.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Tasks that homes sent to keepers.
    pub placed: u64,
    /// Tasks that keepers returned to their homes unstarted.
    pub returned: u64,
    /// Tasks that keepers handed to other keepers.
    pub forwarded: u64,
    /// Messages between entries.
    pub messages: u64,
    /// Bytes of those messages, without their framing.
    pub bytes: u64,
}

impl Traffic {
    /// Counts an action of an entry.
    pub(super) fn record(&mut self, action: &Action) {
        match action {
            Action::Log(Decision::Place { tasks, .. }) => self.placed += *tasks as u64,
            Action::Log(Decision::TaskEnded { end: End::NotRun, .. }) => self.returned += 1,
            Action::Log(Decision::Forward { .. }) => self.forwarded += 1,
            Action::Send { message, .. } => {
                self.messages += 1;
                self.bytes += size(message);
            }
            _ => {}
        }
    }

    /// Returns the part of the sent tasks that were returned unstarted.
    pub fn returned_share(&self) -> f64 {
        self.returned as f64 / self.placed.max(1) as f64
    }
}

/// Returns the encoded size of a message.
fn size(message: &Message) -> u64 {
    postcard::experimental::serialized_size(message).unwrap_or_default() as u64
}
