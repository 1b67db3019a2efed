//! Firms and their crews.

use crate::unit::Weight;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A firm: a customer of the site.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Firm {
    /// Name, unique among the firms.
    pub name: CompactString,
    /// Share of contended capacity relative to other firms; at least 1.
    #[serde(default = "default_weight")]
    pub weight: Weight,
    /// SHA-256 digests of the firm's keys, in hexadecimal. Keys themselves are never stored.
    #[serde(default)]
    pub key_digests: Vec<CompactString>,
    /// Crews that share the firm's capacity.
    #[serde(default)]
    pub crews: Vec<Crew>,
}

/// A crew: a part of a firm with its own share of the firm's capacity.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Crew {
    /// Name, unique within the firm.
    pub name: CompactString,
    /// Share of the firm's capacity relative to its other crews; at least 1.
    #[serde(default = "default_weight")]
    pub weight: Weight,
}

fn default_weight() -> Weight {
    Weight(1)
}
