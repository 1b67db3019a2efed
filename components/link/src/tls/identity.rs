//! Certificate and key of an entry, and the authorities that it trusts.

use super::{Error, has_dns_name};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use site::id::EntryId;
use std::{
    fmt, fs,
    path::{Path, PathBuf},
    sync::Arc,
};

/// The PEM files of an identity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Files {
    /// Certificates of the trusted authorities; several during the replacement of an authority.
    pub authority: PathBuf,
    /// The entry's certificate, followed by intermediate certificates.
    pub certificate: PathBuf,
    /// The key of the entry's certificate.
    pub key: PathBuf,
}

/// Certificate and key of an entry, and the authorities that it trusts.
#[derive(Clone)]
pub struct Identity {
    /// The entry's certificate, followed by intermediate certificates; not empty.
    pub(super) chain: Vec<CertificateDer<'static>>,
    pub(super) key: Arc<PrivateKeyDer<'static>>,
    /// Not empty.
    pub(super) authorities: Arc<RootCertStore>,
}

impl Identity {
    /// Loads PEM files.
    ///
    /// # Errors
    ///
    /// A file is missing or invalid; the error names it.
    pub fn load(files: &Files) -> Result<Self, Error> {
        Ok(Self {
            authorities: authorities(&files.authority, &read(&files.authority)?)?,
            chain: certificates(&files.certificate, &read(&files.certificate)?)?,
            key: key(&files.key, &read(&files.key)?)?,
        })
    }

    /// Parses the contents of PEM files; errors name no file.
    pub fn from_pem(authority: &str, certificate: &str, private_key: &str) -> Result<Self, Error> {
        let nowhere = Path::new("");
        Ok(Self {
            authorities: authorities(nowhere, authority.as_bytes())?,
            chain: certificates(nowhere, certificate.as_bytes())?,
            key: key(nowhere, private_key.as_bytes())?,
        })
    }

    /// Checks that the certificate names `entry`.
    pub fn check(&self, entry: EntryId) -> Result<(), Error> {
        match self.chain.first() {
            Some(own) if has_dns_name(own, entry) => Ok(()),
            _ => Err(Error::Name { entry }),
        }
    }
}

/// Omits the private key.
impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity").field("chain", &self.chain.len()).finish_non_exhaustive()
    }
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::Read { path: path.into(), source })
}

fn certificates(path: &Path, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let expected = "a certificate";
    let chain: Vec<_> = CertificateDer::pem_slice_iter(text)
        .collect::<Result<_, _>>()
        .map_err(|source| Error::Pem { path: path.into(), expected, source })?;
    match chain.is_empty() {
        true => Err(Error::Empty { path: path.into() }),
        false => Ok(chain),
    }
}

fn key(path: &Path, text: &[u8]) -> Result<Arc<PrivateKeyDer<'static>>, Error> {
    let expected = "a private key";
    PrivateKeyDer::from_pem_slice(text).map(Arc::new).map_err(|source| Error::Pem {
        path: path.into(),
        expected,
        source,
    })
}

fn authorities(path: &Path, text: &[u8]) -> Result<Arc<RootCertStore>, Error> {
    let mut store = RootCertStore::empty();
    for certificate in certificates(path, text)? {
        store.add(certificate).map_err(|source| Error::Authority { path: path.into(), source })?;
    }
    Ok(Arc::new(store))
}
