//! Reports of errors and warnings in settings, with locations and fixes.

mod fix;
mod quantity;
mod reason;

pub use quantity::Quantity;
pub use reason::Reason;

use crate::{
    limit::MAX_FINDINGS,
    location::{Location, Path},
    source::{Origin, Sources},
};
use derive_more::{Display, Error};
use std::fmt;

/// Whether a finding prevents the use of the settings.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The settings are rejected.
    #[display("error")]
    Error,
    /// The settings can be used.
    #[display("warning")]
    Warning,
}

/// One error or warning.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Location in the source files.
    pub location: Location,
    /// What is wrong.
    pub reason: Reason,
}

impl Finding {
    /// Returns whether it prevents the use of the settings.
    pub fn severity(&self) -> Severity {
        self.reason.severity()
    }

    /// Returns how an operator can fix it.
    pub fn fix(&self) -> String {
        self.reason.fix()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity(), self.location, self.reason)?;
        write!(f, "\n  fix: {}", self.fix())
    }
}

/// Findings, sorted by file and line.
#[derive(Clone, Debug, Default, Error, Eq, PartialEq)]
pub struct Report {
    /// At most [`MAX_FINDINGS`] findings. If some are omitted, warnings are omitted first.
    pub findings: Vec<Finding>,
    /// Number of omitted findings.
    pub omitted: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.findings.iter().try_for_each(|finding| writeln!(f, "{finding}"))?;
        match self.omitted {
            0 => Ok(()),
            n => writeln!(f, "and {n} more"),
        }
    }
}

/// Collects findings.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    found: Vec<(Severity, Origin, Path, Reason)>,
}

impl Findings {
    pub(crate) fn error(&mut self, origin: Origin, path: Path, reason: Reason) {
        self.found.push((reason.severity(), origin, path, reason));
    }

    pub(crate) fn append(&mut self, mut other: Findings) {
        self.found.append(&mut other.found);
    }

    /// Removes findings about absent members.
    pub(crate) fn drop_absences(&mut self) {
        self.found.retain(|(.., reason)| {
            !matches!(reason, Reason::MissingField { .. } | Reason::NothingToRemove)
        });
    }

    /// Removes findings that one of `fields` is missing.
    pub(crate) fn drop_missing(&mut self, fields: &[&str]) {
        self.found.retain(|(.., reason)| match reason {
            Reason::MissingField { field } => !fields.contains(&field.as_str()),
            _ => true,
        });
    }

    pub(crate) fn has_errors(&self) -> bool {
        self.found.iter().any(|(severity, ..)| *severity == Severity::Error)
    }

    /// Returns the sorted report. If there are too many findings, the last ones are omitted,
    /// warnings first.
    pub(crate) fn report(mut self, sources: &Sources) -> Report {
        self.found.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
        let omitted = self.found.len().saturating_sub(MAX_FINDINGS);
        self.found.truncate(MAX_FINDINGS);
        self.found.sort_by(|a, b| (a.1, &a.2).cmp(&(b.1, &b.2)));
        let finding =
            |(_, origin, path, reason)| Finding { location: sources.locate(origin, path), reason };
        Report { findings: self.found.into_iter().map(finding).collect(), omitted }
    }
}
