//! Why nothing was measured or worked out.

use crate::{Probe, Quantity};
use derive_more::{Display, Error, From};

/// Why nothing was measured or worked out.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Reading or writing failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A line is no measurement; print it with `capacity slopes`.
    #[display("not a measurement: {_0}")]
    Json(serde_json::Error),
    /// The folder that a probe made up is wrong.
    #[display("the folder that was made up is wrong: {_0}")]
    Settings(settings::Report),
    /// A message fits in no frame.
    #[display("{_0}")]
    Wire(wire::Error),
    /// Two nodes could not be joined.
    #[display("{_0}")]
    Link(link::Error),
    /// No certificate could be made.
    #[display("{_0}")]
    Tls(link::tls::Error),
    /// The interface can't listen.
    #[display("{_0}")]
    Server(server::listen::BindError),
    /// The log can't be started.
    #[display("{_0}")]
    Log(telemetry::LogError),
    /// Settings were not accepted.
    #[display("{_0}")]
    Manifest(platform::manifest::Error),
    /// Claims were not settled.
    #[display("{_0}")]
    Claim(platform::claim::Error),
    /// The measurements lack what the page needs; measure again with this version.
    #[display("no measurement of {quantity:?} by the probe {probe:?}; run `capacity slopes` again")]
    #[from(skip)]
    Missing {
        /// The probe.
        probe: Probe,
        /// What it measures.
        quantity: Quantity,
    },
    /// The measurements don't say where they were made.
    #[display("the first line does not describe the machine; run `capacity slopes` again")]
    #[from(skip)]
    NoMachine,
    /// The code that is measured did not do what it was asked to.
    #[display("the probe {probe:?} failed: {expected} expected, {found} found")]
    #[from(skip)]
    Unexpected {
        /// The probe.
        probe: Probe,
        /// What was to be seen.
        expected: u64,
        /// What was seen.
        found: u64,
    },
}
