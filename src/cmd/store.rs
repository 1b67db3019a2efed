//! Reads the settings in the platform's store.

use crate::{cli::Platform, exit::Error};
use derive_more::Display;
use platform::{
    gateway::{Client, Options},
    manifest,
};
use serde::Serialize;
use settings::{Change, Files};
use site::unit::Revision;

/// The settings in the platform's store.
#[derive(Debug, Default)]
pub(crate) struct Current {
    /// Revision of the settings; 0 if there are none.
    pub(crate) revision: Revision,
    /// Settings files by name.
    pub(crate) files: Files,
}

/// Changes that applying a folder makes.
#[derive(Debug, Display, Serialize)]
#[display("{}", lines(changes))]
pub(crate) struct Changes {
    /// Revision that the changes apply to.
    pub(crate) revision: Revision,
    /// One line per change.
    pub(crate) changes: Vec<String>,
}

/// Creates a client for the store.
pub(crate) fn open(args: &Platform) -> Result<Client, Error> {
    if args.platform.is_empty() {
        return Err(Error::Missing {
            what: "the platform's address",
            option: "platform",
            variable: "PRIMROSESTEP_PLATFORM",
        });
    }
    Ok(Client::new(Options::new(args.platform.clone())))
}

/// Reads the current settings.
pub(crate) async fn current(store: &Client) -> Result<Current, Error> {
    let found = manifest::fetch(store, &Files::new()).await?;
    Ok(found.map_or_else(Current::default, |found| Current {
        revision: found.manifest.revision,
        files: found.files,
    }))
}

/// Returns the changes from the current settings to `files`.
pub(crate) fn changes(current: &Current, files: &Files) -> Changes {
    let changes = settings::diff(&current.files, files);
    let changes = changes.iter().map(Change::to_string).collect();
    Changes { revision: current.revision, changes }
}

fn lines(changes: &[String]) -> String {
    match changes {
        [] => "no differences".to_owned(),
        changes => changes.join("\n"),
    }
}
