//! Contracts between a firm and a service.

use crate::unit::Slots;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A firm's right to use a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Contract {
    /// Name of the firm.
    pub firm: CompactString,
    /// Name of the service.
    pub service: CompactString,
    /// Maximum number of tasks that the firm may run at one time, over all entries. No limit if
    /// absent.
    #[serde(default)]
    pub quota: Option<Slots>,
}
