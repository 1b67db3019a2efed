//! Workers: hosts that run tasks under leases.

use crate::unit::{Accelerators, Cores, Memory};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Worker {
    /// Name, unique among executors and workers.
    pub name: CompactString,
    /// Name of the data centre it is in.
    pub data_centre: CompactString,
    /// Name of the rack it is mounted in.
    pub rack: CompactString,
    /// Address where it accepts HTTP/1.1 connections.
    pub address: SocketAddr,
    /// Processor capacity.
    pub cores: Cores,
    /// Main memory.
    pub memory: Memory,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
    /// Whether it is leaving the site, so that it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}
