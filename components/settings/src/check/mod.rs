//! Merges the files and checks the merged settings as a whole.

mod bound;
mod capacity;
mod draft;
mod reference;
mod unique;
mod value;

pub use unique::collisions;

use crate::{
    merge::Merged,
    report::{Findings, Report},
    source::{Files, Sources},
    tree,
};
use draft::Draft;
use site::Site;

/// Settings without errors.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The site that they describe.
    pub site: Site,
    /// Findings that may be mistakes but don't prevent use.
    pub warnings: Report,
}

/// Merges and checks `files`.
///
/// # Errors
///
/// A report of every error. None of the settings may be used then.
pub fn parse(files: &Files) -> Result<Checked, Report> {
    let sources = Sources::new(files);
    let mut findings = Findings::default();
    let site = site(files, &sources, &mut findings);
    let has_errors = findings.has_errors();
    let report = findings.report(&sources);
    match site {
        Some(site) if !has_errors => Ok(Checked { site, warnings: report }),
        _ => Err(report),
    }
}

/// Returns the merged settings of the files that can be parsed. For comparison only, since errors
/// are ignored.
pub(crate) fn merge(files: &Files) -> tree::Members {
    let mut ignored = Findings::default();
    match bound::check(files, &mut ignored) {
        true => merged(&Sources::new(files), &mut ignored).0.root,
        false => tree::Members::new(),
    }
}

fn site(files: &Files, sources: &Sources, findings: &mut Findings) -> Option<Site> {
    if !bound::check(files, findings) {
        return None;
    }
    let (merged, complete) = merged(sources, findings);
    // Missing members may be in a file that could not be parsed.
    if !complete {
        findings.drop_absences();
    }
    let draft = Draft::read(&merged.root, complete, findings);
    value::check(&draft, findings);
    unique::check(&draft, findings);
    if complete {
        reference::check(&draft, findings);
    }
    if !findings.has_errors() {
        capacity::check(&draft, findings);
    }
    Some(draft.into_site())
}

/// Returns the merged settings, and whether every file could be parsed and merged.
fn merged(sources: &Sources, findings: &mut Findings) -> (Merged, bool) {
    let mut merged = Merged::default();
    let mut complete = true;
    for (start, _, text) in sources.iter() {
        let Some(tree) = tree::read(text, start, findings) else {
            complete = false;
            continue;
        };
        if !merged.add(tree, findings) {
            return (merged, false);
        }
    }
    (merged, complete)
}
