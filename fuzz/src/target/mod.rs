//! The targets: the parsers and state machines that the generated cases run against.

pub mod documents;
pub mod endpoint;
pub mod peers;
pub mod platform;
pub mod requests;
pub mod settings;
mod stub_store;

use crate::{Outcome, Random, shrink};
use clap::ValueEnum;

/// Code that handles input from other processes.
pub trait Target {
    /// Returns the name of the target, which is also the name of the directory of its stored cases.
    fn name(&self) -> &'static str;

    /// Returns the largest growth of the heap that is allowed while a case runs, in bytes.
    fn heap_bound(&self) -> usize;

    /// Generates a case.
    fn generate(&mut self, rng: &mut Random) -> Vec<u8>;

    /// Runs a case and returns a short name of its result.
    ///
    /// # Errors
    ///
    /// A property that does not hold.
    fn run(&mut self, case: &[u8]) -> Outcome;

    /// Returns cases that are smaller than `case`, the smallest first.
    fn smaller(&self, case: &[u8]) -> Vec<Vec<u8>> {
        shrink::without_parts(case)
    }

    /// Returns a case as readable text.
    fn show(&self, case: &[u8]) -> String {
        String::from_utf8_lossy(case).into_owned()
    }
}

/// Names of the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Name {
    /// Callers' requests, over a socket.
    Requests,
    /// Folders of site settings.
    Settings,
    /// Settings files of a daemon.
    Daemon,
    /// Responses of the platform's gateway, over a socket.
    Platform,
    /// Documents in the platform's store.
    Documents,
    /// Responses of executors and workers, over a socket.
    Endpoint,
    /// Messages of other entries.
    Peers,
}

impl Name {
    /// Creates the target.
    pub fn open(self) -> Box<dyn Target> {
        match self {
            Name::Requests => Box::new(requests::Requests::default()),
            Name::Settings => Box::new(settings::Directories::default()),
            Name::Daemon => Box::new(settings::Daemons),
            Name::Platform => Box::new(platform::Platform::default()),
            Name::Documents => Box::new(documents::Documents),
            Name::Endpoint => Box::new(endpoint::Endpoint::default()),
            Name::Peers => Box::new(peers::Peers::default()),
        }
    }
}
