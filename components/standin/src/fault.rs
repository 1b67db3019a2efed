//! Faults that tests can switch on in the stand-ins for endpoints.

use serde::{Deserialize, Serialize};

/// The faults of an executor or a worker. All are off by default.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every task with the outcome "not run".
    pub refuse: bool,
    /// Fails every task with status 500 as soon as it has started.
    pub fail_everything: bool,
    /// Number of further tasks that fail so.
    pub fail_next: u32,
    /// Multiplies run times.
    pub slow: f64,
    /// The connections that exist when this is set lose traffic; new ones work.
    pub silent: Option<Silence>,
    /// Runs tasks, then closes the connection without a response.
    pub drop_after_write: bool,
    /// Runs tasks, then closes the connection in the middle of the response.
    pub truncate: bool,
    /// Runs tasks, then responds with text that isn't HTTP.
    pub malformed: bool,
    /// Reports in each response that the endpoint is leaving, and refuses tasks.
    pub leaving: bool,
    /// Rejects a task that was started before with status 409 instead of running it again.
    pub detect_duplicates: bool,
    /// Health responses don't report the state of attempts, as for an executor without that feature.
    pub plain_health: bool,
    /// Stops listening, closes all connections, and listens again after this time in milliseconds, or
    /// never if zero. Applied once when it is set.
    pub dead_for: Option<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            refuse: false,
            fail_everything: false,
            fail_next: 0,
            slow: 1.0,
            silent: None,
            drop_after_write: false,
            truncate: false,
            malformed: false,
            leaving: false,
            detect_duplicates: false,
            plain_health: false,
            dead_for: None,
        }
    }
}

/// Which half of the traffic a silent connection loses.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// Requests are lost.
    Requests,
    /// Requests are received and run; their responses are lost.
    Answers,
}
