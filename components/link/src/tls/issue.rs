//! A certificate authority that issues the entries' certificates.

use super::{Error, dns_name};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use site::id::EntryId;
use std::time::{Duration, SystemTime};

/// Validity of an authority's certificate, and maximum validity of other certificates.
pub const AUTHORITY_LIFETIME: Duration = Duration::from_secs(3_650 * 86_400);

/// Default validity of an entry's certificate.
pub const ENTRY_LIFETIME: Duration = Duration::from_secs(90 * 86_400);

/// Time by which the validity of a certificate begins before its creation, since clocks differ.
const CLOCK_MARGIN: Duration = Duration::from_secs(3_600);

/// Common name of all authorities. [`Authority::issue`] depends on it being the same for all.
const AUTHORITY_NAME: &str = "primrosestep authority";

/// A certificate and its key, both in PEM format.
#[derive(Clone)]
pub struct Pair {
    /// The certificate.
    pub certificate: String,
    /// The private key. Must not be logged.
    pub key: String,
}

/// A certificate authority.
#[derive(Clone)]
pub struct Authority {
    /// Certificate and key of the authority. Entries need only the certificate.
    pub pair: Pair,
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn create() -> Result<Self, Error> {
        let key = KeyPair::generate().map_err(Error::Issue)?;
        let certificate = authority_params().self_signed(&key).map_err(Error::Issue)?;
        Ok(Self { pair: Pair { certificate: certificate.pem(), key: key.serialize_pem() } })
    }

    /// Returns an authority that was created by [`Authority::create`].
    pub fn from_pem(certificate: String, key: String) -> Self {
        Self { pair: Pair { certificate, key } }
    }

    /// Issues a certificate for `entry`.
    pub fn issue(&self, entry: EntryId, lifetime: Duration) -> Result<Pair, Error> {
        let authority_key = KeyPair::from_pem(&self.pair.key).map_err(Error::Issue)?;
        let issuer = Issuer::new(authority_params(), authority_key);
        let key = KeyPair::generate().map_err(Error::Issue)?;
        let certificate =
            entry_params(entry, lifetime)?.signed_by(&key, &issuer).map_err(Error::Issue)?;
        Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
    }
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    limit(&mut params, AUTHORITY_LIFETIME);
    params
}

fn entry_params(entry: EntryId, lifetime: Duration) -> Result<CertificateParams, Error> {
    let name = dns_name(entry);
    let mut params = CertificateParams::new([name.clone()]).map_err(Error::Issue)?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    limit(&mut params, lifetime);
    Ok(params)
}

fn limit(params: &mut CertificateParams, lifetime: Duration) {
    let now = SystemTime::now();
    params.not_before = (now - CLOCK_MARGIN).into();
    params.not_after = (now + lifetime.min(AUTHORITY_LIFETIME)).into();
}
