//! Certificates that identify entries, and their verification.
//!
//! Each entry has a certificate signed by the site's authority. Its subject alternative name is
//! the DNS name that [`dns_name`] derives from the entry's identifier.

mod config;
mod error;
mod identity;
pub mod issue;

pub use error::Error;
pub use identity::{Files, Identity};

use rustls::{
    client::verify_server_name,
    pki_types::{CertificateDer, ServerName},
    server::ParsedCertificate,
};
use site::id::EntryId;

/// Returns the DNS name in the certificate of `entry`: its identifier in hexadecimal, then
/// `.entry`.
pub fn dns_name(entry: EntryId) -> String {
    format!("{:x}.entry", entry.0)
}

/// Returns whether `certificate` names `entry`. Does not verify the signature.
pub fn has_dns_name(certificate: &CertificateDer<'_>, entry: EntryId) -> bool {
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else { return false };
    let Ok(name) = ServerName::try_from(dns_name(entry)) else { return false };
    verify_server_name(&parsed, &name).is_ok()
}
