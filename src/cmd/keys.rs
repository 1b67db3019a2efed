//! `primrosestep keys`.

use crate::{
    cli::Keys,
    cmd::input,
    exit::{Error, Exit},
};
use console::Console;
use derive_more::Display;
use link::tls::issue::{Authority, ENTRY_LIFETIME, Pair};
use serde::Serialize;
use site::id::EntryId;
use std::{
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};
use uuid::Uuid;

/// Base name of the authority's files.
const AUTHORITY_NAME: &str = "authority";

/// File mode of keys and certificates, so that only the owner may read a private key.
const FILE_MODE: u32 = 0o600;

/// Paths of the files that were written.
#[derive(Debug, Display, Serialize)]
#[display("{}\n{}", certificate.display(), key.display())]
struct Written {
    certificate: PathBuf,
    key: PathBuf,
}

/// A new key. It is printed once and not stored.
#[derive(Debug, Display, Serialize)]
#[display("key     {key}\ndigest  {digest}")]
struct Key {
    key: String,
    digest: String,
}

/// The digest of a key.
#[derive(Debug, Display, Serialize)]
#[display("{digest}")]
struct Digest {
    digest: String,
}

/// Creates keys and certificates.
pub(crate) fn run(args: &Keys, console: &Console) -> Result<Exit, Error> {
    match args {
        Keys::Authority { out } => {
            console.print(&write(out, AUTHORITY_NAME, &Authority::create()?.pair)?);
        }
        Keys::Entry { name, out } => {
            let pair = authority(out)?.issue(EntryId::of(name), ENTRY_LIFETIME)?;
            console.print(&write(out, name, &pair)?);
        }
        Keys::Firm => {
            let key = format!("{}{}", Uuid::new_v4().simple(), Uuid::new_v4().simple());
            let digest = settings::digest(key.as_bytes()).to_string();
            console.print(&Key { key, digest });
        }
        Keys::Digest => {
            let key = input::read(Path::new("-"))?;
            let digest = settings::digest(key.trim_ascii()).to_string();
            console.print(&Digest { digest });
        }
    }
    Ok(Exit::Done)
}

fn authority(dir: &Path) -> Result<Authority, Error> {
    let read = |path: PathBuf| fs::read_to_string(&path).map_err(|source| file(&path, source));
    let (certificate, key) = paths(dir, AUTHORITY_NAME);
    Ok(Authority::from_pem(read(certificate)?, read(key)?))
}

/// Writes a certificate and its key. Fails if a file exists, since it may be in use.
fn write(dir: &Path, name: &str, pair: &Pair) -> Result<Written, Error> {
    fs::create_dir_all(dir).map_err(|source| file(dir, source))?;
    let (certificate, key) = paths(dir, name);
    create(&key, &pair.key)?;
    create(&certificate, &pair.certificate)?;
    Ok(Written { certificate, key })
}

fn create(path: &Path, text: &str) -> Result<(), Error> {
    let opened = OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(path);
    opened
        .and_then(|mut opened| opened.write_all(text.as_bytes()))
        .map_err(|source| file(path, source))
}

fn paths(dir: &Path, name: &str) -> (PathBuf, PathBuf) {
    (dir.join(format!("{name}.pem")), dir.join(format!("{name}.key.pem")))
}

fn file(path: &Path, source: std::io::Error) -> Error {
    Error::File { path: path.to_string_lossy().into(), source }
}
