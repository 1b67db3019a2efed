//! Store keys of the project's documents.

/// Prefix of all keys of the project.
pub const ROOT: &str = "/primrosestep/";
/// Prefix of entries' registrations, followed by the entry identifier in hexadecimal.
pub const ENTRIES: &str = "/primrosestep/entries/";
/// Prefix of the platform's list of VMs, followed by the VM's name.
pub const VMS: &str = "/primrosestep/vms/";
/// Prefix of documents with key claims, followed by the shard in hexadecimal.
pub const CLAIMS: &str = "/primrosestep/claims/";
/// Prefix of bodies of settings files, followed by the digest.
pub const FILES: &str = "/primrosestep/settings/files/";
/// Key of the manifest of the accepted settings.
pub const MANIFEST: &str = "/primrosestep/settings/manifest";
/// Key of the last changes of the accepted settings. Begins with the manifest's key, so that one
/// range covers both.
pub const CHANGES: &str = "/primrosestep/settings/manifest-changes";
