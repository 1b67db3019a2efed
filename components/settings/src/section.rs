//! Sections of the merged settings.

use derive_more::{Display, Error};
use std::str::FromStr;

/// A top-level member of a settings file.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{}", self.key())]
pub enum Section {
    /// The policy, a single object.
    Policy,
    /// Data centres by name.
    DataCentres,
    /// Links by an arbitrary name.
    Links,
    /// Services by name.
    Services,
    /// Executors by name.
    Executors,
    /// Workers by name.
    Workers,
    /// Firms by name.
    Firms,
    /// Contracts by an arbitrary name.
    Contracts,
    /// Operators by name.
    Operators,
}

impl Section {
    /// Every section.
    pub const ALL: [Section; 9] = [
        Section::Policy,
        Section::DataCentres,
        Section::Links,
        Section::Services,
        Section::Executors,
        Section::Workers,
        Section::Firms,
        Section::Contracts,
        Section::Operators,
    ];

    /// Returns its key in a settings file.
    pub fn key(self) -> &'static str {
        match self {
            Section::Policy => "policy",
            Section::DataCentres => "data-centres",
            Section::Links => "links",
            Section::Services => "services",
            Section::Executors => "executors",
            Section::Workers => "workers",
            Section::Firms => "firms",
            Section::Contracts => "contracts",
            Section::Operators => "operators",
        }
    }

    /// Returns whether the section maps names to objects.
    pub fn holds_objects(self) -> bool {
        self != Section::Policy
    }

    /// Returns the noun for one object of the section.
    pub fn noun(self) -> &'static str {
        match self {
            Section::Policy => "policy",
            Section::DataCentres => "data centre",
            Section::Links => "link",
            Section::Services => "service",
            Section::Executors => "executor",
            Section::Workers => "worker",
            Section::Firms => "firm",
            Section::Contracts => "contract",
            Section::Operators => "operator",
        }
    }

    /// Returns the fields without a default.
    pub(crate) fn required(self) -> &'static [&'static str] {
        match self {
            Section::DataCentres => &["region"],
            Section::Links => &["between", "latency"],
            Section::Executors => &["data-centre", "address", "service"],
            Section::Workers => &["data-centre", "rack", "address", "cores", "memory"],
            Section::Contracts => &["firm", "service"],
            Section::Policy | Section::Services | Section::Firms | Section::Operators => &[],
        }
    }
}

/// Error for a text that is not the key of a section.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("not a section")]
pub struct ParseError;

impl FromStr for Section {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        Section::ALL.into_iter().find(|section| section.key() == s).ok_or(ParseError)
    }
}
