//! `primrosestep apply`.

use crate::{
    cli::Apply,
    cmd::store::{self, Changes, Current},
    exit::{Error, Exit},
};
use console::Console;
use derive_more::Display;
use platform::{
    gateway::Client,
    manifest::{self, Acceptance},
};
use serde::Serialize;
use settings::Files;
use site::unit::Revision;
use std::{fs, io, path::Path};
use uuid::Uuid;

/// File in a settings folder with the revision that the folder was last applied as.
const REVISION_FILE: &str = ".revision";

/// Maximum attempts to make a change when responses are lost.
const MAX_ATTEMPTS: usize = 5;

/// Result of a change that was accepted.
#[derive(Debug, Display, Serialize)]
#[display("revision {revision} is in force{}", if *changed { "" } else { ", as before" })]
struct Applied {
    revision: Revision,
    changed: bool,
}

/// Result of a change that was rejected because of a conflict.
#[derive(Debug, Display, Serialize)]
#[display(
    "nothing was changed: the folder is based on revision {base}, the platform holds {}\n\
     the folder would change:\n{theirs}\n\
     fix: take over what others changed, then apply with --base {}",
    theirs.revision, theirs.revision
)]
struct Conflict {
    base: Revision,
    /// Changes from the platform's settings to the folder.
    theirs: Changes,
}

/// Applies a folder of settings.
pub(crate) fn run(args: &Apply, console: &Console) -> Result<Exit, Error> {
    let dir = &args.folder.dir;
    let folder = settings::load(dir)?;
    for warning in &folder.checked.warnings.findings {
        console.note(warning);
    }
    let client = store::open(&args.platform)?;
    smol::block_on(async {
        let current = store::current(&client).await?;
        if current.files == folder.files && current.revision != Revision(0) {
            write_revision(dir, current.revision, console);
            console.print(&Applied { revision: current.revision, changed: false });
            return Ok(Exit::Done);
        }
        let base = args.base.or_else(|| read_revision(dir)).unwrap_or_default();
        if base != current.revision {
            return Ok(report_conflict(base, &current, &folder.files, console));
        }
        match accept_with_retries(&client, base, &folder.files).await? {
            Acceptance::Accepted { revision } => {
                write_revision(dir, revision, console);
                console.print(&Applied { revision, changed: true });
                Ok(Exit::Done)
            }
            Acceptance::Conflict { .. } => {
                let current = store::current(&client).await?;
                Ok(report_conflict(base, &current, &folder.files, console))
            }
        }
    })
}

/// Makes one change, with retries while responses are lost. The retries have the same change id, so
/// that the change is made only once.
async fn accept_with_retries(
    client: &Client,
    base: Revision,
    files: &Files,
) -> Result<Acceptance, Error> {
    let change = Uuid::new_v4();
    let mut outcome = manifest::accept(client, base, files, change).await;
    for _ in 1..MAX_ATTEMPTS {
        match &outcome {
            Err(manifest::Error::Store(error)) if error.is_indeterminate() => {
                outcome = manifest::accept(client, base, files, change).await;
            }
            _ => break,
        }
    }
    Ok(outcome?)
}

fn report_conflict(base: Revision, current: &Current, files: &Files, console: &Console) -> Exit {
    console.print(&Conflict { base, theirs: store::changes(current, files) });
    Exit::Conflict
}

/// Reads the revision that the folder was last applied as.
fn read_revision(dir: &Path) -> Option<Revision> {
    fs::read_to_string(dir.join(REVISION_FILE)).ok()?.trim().parse().ok()
}

/// Writes the revision to the folder. If that fails, the next `apply` needs `--base`.
fn write_revision(dir: &Path, revision: Revision, console: &Console) {
    let written: io::Result<()> = fs::write(dir.join(REVISION_FILE), format!("{revision}\n"));
    if let Err(error) = written {
        console
            .note(&format!("note: {REVISION_FILE} not written ({error}); use --base {revision}"));
    }
}
