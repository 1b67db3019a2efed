//! Counts of what entries do with tasks, and of what they send to each other.

use runs::{Action, Decision, Message, message::End};
use serde::Serialize;
use site::{
    id::{DataCentreId, Home},
    unit::Span,
};

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
    /// Tasks that homes sent to keepers in other data centres.
    pub placed_far: u64,
    /// Bytes of messages between data centres.
    pub bytes_far: u64,
    /// Ages of the reports by which tasks were sent to other keepers of the same data centre.
    pub ages_near: Ages,
    /// Ages of the reports by which tasks were sent to other data centres.
    pub ages_far: Ages,
}

/// Tasks that a home sent to a keeper in another data centre.
#[derive(Clone, Copy, Debug)]
pub struct PlacedFar {
    /// Time from the beginning of the arrivals.
    pub at: Span,
    /// The keeper.
    pub keeper: Home,
    /// Number of tasks.
    pub tasks: usize,
    /// How many such tasks the keeper had room for, by its latest report.
    pub room: u32,
}

/// The sum of ages of reports.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Ages {
    count: u64,
    sum_us: u64,
}

impl Ages {
    fn add(&mut self, age: Span) {
        self.count += 1;
        self.sum_us += age.0;
    }

    /// Returns the mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.sum_us as f64 / 1e3 / self.count.max(1) as f64
    }
}

impl Traffic {
    /// Counts an action of an entry in a data centre.
    pub(super) fn record(&mut self, data_centre: DataCentreId, action: &Action) {
        match action {
            Action::Log(Decision::Place { tasks, keeper, age, .. }) => {
                self.placed += *tasks as u64;
                if keeper.data_centre != data_centre {
                    self.placed_far += *tasks as u64;
                    self.ages_far.add(*age);
                } else if *age > Span::ZERO {
                    // The room of the home's own executors has no age.
                    self.ages_near.add(*age);
                }
            }
            Action::Log(Decision::TaskEnded { end: End::NotRun, .. }) => self.returned += 1,
            Action::Log(Decision::Forward { .. }) => self.forwarded += 1,
            Action::Send { to, message } => {
                let bytes = size(message);
                self.messages += 1;
                self.bytes += bytes;
                self.bytes_far += if to.data_centre == data_centre { 0 } else { bytes };
            }
            _ => {}
        }
    }

    /// Returns the part of the sent tasks that were sent to other data centres.
    pub fn far_share(&self) -> f64 {
        self.placed_far as f64 / self.placed.max(1) as f64
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
