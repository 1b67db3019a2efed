//! Operators: people and programs that may change the settings.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Settings of an operator.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Operator {
    /// Name, unique among the operators.
    pub name: CompactString,
    /// SHA-256 digests of the operator's keys, in hexadecimal. Keys themselves are never stored.
    #[serde(default)]
    pub key_digests: Vec<CompactString>,
}
