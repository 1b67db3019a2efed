//! Errors of certificates and keys.

use derive_more::{Display, Error};
use rustls::pki_types::pem;
use site::id::EntryId;
use std::{io, path::PathBuf};

/// Why certificates or keys can't be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file can't be read.
    #[display("{}: can't read: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not PEM, or does not contain the expected object.
    #[display("{}: expected {expected} in PEM format: {source}", path.display())]
    Pem {
        /// Path of the file; empty if the text is not from a file.
        path: PathBuf,
        /// The object that was expected in the file.
        expected: &'static str,
        /// Error of the PEM parser.
        source: pem::Error,
    },
    /// The certificate can't be used as that of an authority.
    #[display("{}: not a certificate of an authority: {source}", path.display())]
    Authority {
        /// Path of the file.
        path: PathBuf,
        /// Reason why it was rejected.
        source: rustls::Error,
    },
    /// The file contains no certificate.
    #[display("{}: holds no certificate", path.display())]
    Empty {
        /// Path of the file.
        path: PathBuf,
    },
    /// The certificate and the key can't be used together.
    #[display("the certificate and its key can't be used: {_0}")]
    Pair(rustls::Error),
    /// The verifier of peers can't be built.
    #[display("the authority can't be used to verify peers: {_0}")]
    Verifier(rustls::server::VerifierBuilderError),
    /// The cryptography provider has no cipher suite for QUIC.
    #[display("no cipher suite for QUIC")]
    Suite,
    /// The certificate is for another entry.
    #[display("the certificate does not name {}; issue one for this entry", super::dns_name(*entry))]
    Name {
        /// The entry that the certificate should name.
        entry: EntryId,
    },
    /// A certificate can't be issued.
    #[display("can't issue a certificate: {_0}")]
    Issue(rcgen::Error),
}
