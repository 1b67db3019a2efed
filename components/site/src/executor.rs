//! Executors: processes that serve requests of one service in a fixed number of slots.

use crate::unit::Slots;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an executor.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Executor {
    /// Name, unique among executors and workers.
    pub name: CompactString,
    /// Name of the data centre it is in.
    pub data_centre: CompactString,
    /// Address where it accepts HTTP/1.1 connections.
    pub address: SocketAddr,
    /// Name of the service it runs, whose `place` must be `executors`.
    pub service: CompactString,
    /// Number of requests it serves at one time. Defaults to that of the service.
    #[serde(default)]
    pub slots: Option<Slots>,
    /// Whether it is leaving the site, so that it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}
