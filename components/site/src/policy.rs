//! Site policy: the trade-off between response time and number of messages.

use serde::{Deserialize, Serialize};

/// The goal to prefer where response time and number of messages conflict.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Send more messages to answer sooner.
    #[default]
    ResponseTime,
    /// Delay work briefly to send fewer messages.
    Messages,
}

/// Policy of a site. The defaults need no tuning.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Policy {
    /// The goal that decisions prefer.
    pub prefer: Priority,
}
