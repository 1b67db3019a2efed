//! The error type of the crate.

use crate::{Probe, Quantity};
use derive_more::{Display, Error, From};

/// Error of a measurement or of rendering the page.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Reading or writing a file or stream failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A line of the input is not a measurement as printed by `capacity slopes`.
    #[display("not a measurement: {_0}")]
    Json(serde_json::Error),
    /// The settings folder that a probe generated is invalid.
    #[display("the generated settings folder is invalid: {_0}")]
    Settings(settings::Report),
    /// A message could not be encoded into a frame or decoded from one.
    #[display("{_0}")]
    Wire(wire::Error),
    /// A node could not be started or a message could not be sent to a peer.
    #[display("{_0}")]
    Link(link::Error),
    /// A certificate could not be issued or read.
    #[display("{_0}")]
    Tls(link::tls::Error),
    /// The callers' interface could not listen on its address.
    #[display("{_0}")]
    Server(server::listen::BindError),
    /// The log could not be started.
    #[display("{_0}")]
    Log(telemetry::LogError),
    /// The store did not accept a change of the settings.
    #[display("{_0}")]
    Manifest(platform::manifest::Error),
    /// A batch of key claims could not be committed.
    #[display("{_0}")]
    Claim(platform::claim::Error),
    /// The measurements lack a quantity that the page needs, or have it at fewer than two sizes.
    /// Measure again with this version.
    #[display("no measurement of {quantity:?} by the probe {probe:?}; run `capacity slopes` again")]
    #[from(skip)]
    Missing {
        /// Probe that has no such measurement.
        probe: Probe,
        /// Quantity that is missing.
        quantity: Quantity,
    },
    /// The measurements have no line that describes the machine.
    #[display("no line describes the machine; run `capacity slopes` again")]
    #[from(skip)]
    NoMachine,
    /// The measured code did not do the expected amount of work.
    #[display("the probe {probe:?} failed: expected {expected}, found {found}")]
    #[from(skip)]
    Unexpected {
        /// Probe that failed.
        probe: Probe,
        /// Expected count; what it counts depends on the probe.
        expected: u64,
        /// Count that was found.
        found: u64,
    },
}
