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

/// File in a folder that holds the revision it was last applied as.
const BASE_FILE: &str = ".revision";

/// Calls made to settle a change whose answers are lost.
const ATTEMPTS: usize = 5;

/// A change that is in force.
#[derive(Debug, Display, Serialize)]
#[display("revision {revision} is in force{}", if *changed { "" } else { ", as before" })]
struct Applied {
    revision: Revision,
    changed: bool,
}

/// A change that was not made.
#[derive(Debug, Display, Serialize)]
#[display(
    "nothing was changed: the folder is based on revision {base}, the platform holds {}\n\
     the folder would change:\n{theirs}\n\
     fix: take over what others changed, then apply with --base {}",
    theirs.revision, theirs.revision
)]
struct Conflict {
    base: Revision,
    /// From their settings to the folder.
    theirs: Changes,
}

/// Puts a folder in force.
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
            remember(dir, current.revision, console);
            console.print(&Applied { revision: current.revision, changed: false });
            return Ok(Exit::Done);
        }
        let base = args.base.or_else(|| remembered(dir)).unwrap_or_default();
        if base != current.revision {
            return Ok(refuse(base, &current, &folder.files, console));
        }
        match swap(&client, base, &folder.files).await? {
            Acceptance::Accepted { revision } => {
                remember(dir, revision, console);
                console.print(&Applied { revision, changed: true });
                Ok(Exit::Done)
            }
            Acceptance::Conflict { .. } => {
                let current = store::current(&client).await?;
                Ok(refuse(base, &current, &folder.files, console))
            }
        }
    })
}

/// Makes one change, however often answers are lost.
async fn swap(client: &Client, base: Revision, files: &Files) -> Result<Acceptance, Error> {
    let change = Uuid::new_v4();
    let mut outcome = manifest::accept(client, base, files, change).await;
    for _ in 1..ATTEMPTS {
        match &outcome {
            Err(manifest::Error::Store(error)) if error.is_indeterminate() => {
                outcome = manifest::accept(client, base, files, change).await;
            }
            _ => break,
        }
    }
    Ok(outcome?)
}

fn refuse(base: Revision, current: &Current, files: &Files, console: &Console) -> Exit {
    console.print(&Conflict { base, theirs: store::changes(current, files) });
    Exit::Conflict
}

/// The revision that the folder was last applied as.
fn remembered(dir: &Path) -> Option<Revision> {
    fs::read_to_string(dir.join(BASE_FILE)).ok()?.trim().parse().ok()
}

/// A folder that can't be written to needs `--base` next time.
fn remember(dir: &Path, revision: Revision, console: &Console) {
    let written: io::Result<()> = fs::write(dir.join(BASE_FILE), format!("{revision}\n"));
    if let Err(error) = written {
        console.note(&format!("note: {BASE_FILE} not written ({error}); use --base {revision}"));
    }
}
