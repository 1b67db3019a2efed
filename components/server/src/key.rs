//! Authentication: finds the firm or operator that a key belongs to.

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};
use sha2::{Digest as _, Sha256};
use site::{
    Site,
    id::{FirmId, OperatorId, ServiceId},
    unit::Revision,
};
use std::hint::black_box;

const DIGEST_LEN: usize = 32;

/// SHA-256 digest of a key.
type Digest = [u8; DIGEST_LEN];

/// Firm or operator that a key belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Principal {
    /// A firm, which may submit work.
    Firm(FirmId),
    /// An operator, who may use the admin routes.
    Operator(OperatorId),
}

/// Index of the keys and contracts in the settings. Rebuilt when the settings change.
#[derive(Debug, Default)]
pub struct Index {
    /// Revision of the settings that it was built from; `None` before the first build.
    revision: Option<Revision>,
    /// Principals by the first 8 bytes of their key's digest; a bucket has all those with equal
    /// bytes.
    principals: FxHashMap<u64, Vec<(Digest, Principal)>>,
    contracts: FxHashSet<(FirmId, ServiceId)>,
}

impl Index {
    /// Builds the index of `site`.
    pub fn build(site: &Site, revision: Revision) -> Index {
        let firms = site
            .firms
            .iter()
            .flat_map(|(id, firm)| digests_of(&firm.key_digests, Principal::Firm(*id)));
        let operators = site
            .operators
            .iter()
            .flat_map(|(id, operator)| digests_of(&operator.key_digests, Principal::Operator(*id)));
        let mut principals: FxHashMap<u64, Vec<_>> = FxHashMap::default();
        for (digest, principal) in firms.chain(operators) {
            principals.entry(prefix(&digest)).or_default().push((digest, principal));
        }
        let contracts = site
            .contracts
            .iter()
            .map(|contract| (FirmId::of(&contract.firm), ServiceId::of(&contract.service)))
            .collect();
        Index { revision: Some(revision), principals, contracts }
    }

    /// Returns whether the index was built from `revision`.
    pub fn is_for(&self, revision: Revision) -> bool {
        self.revision == Some(revision)
    }

    /// Returns the holder of `key`; `None` if the key is unknown.
    pub fn principal(&self, key: &str) -> Option<Principal> {
        let digest: Digest = Sha256::digest(key.as_bytes()).into();
        self.principals
            .get(&prefix(&digest))?
            .iter()
            .find(|(known, _)| equal(known, &digest))
            .map(|(_, principal)| *principal)
    }

    /// Returns whether `firm` has a contract for `service`.
    pub fn has_contract(&self, firm: FirmId, service: ServiceId) -> bool {
        self.contracts.contains(&(firm, service))
    }
}

fn digests_of(
    digests: &[CompactString],
    principal: Principal,
) -> impl Iterator<Item = (Digest, Principal)> {
    digests.iter().filter_map(move |text| Some((parse_digest(text)?, principal)))
}

fn parse_digest(text: &str) -> Option<Digest> {
    if !text.is_ascii() || text.len() != 2 * DIGEST_LEN {
        return None;
    }
    let mut digest = [0; DIGEST_LEN];
    for (byte, at) in digest.iter_mut().zip((0..text.len()).step_by(2)) {
        *byte = u8::from_str_radix(&text[at..at + 2], 16).ok()?;
    }
    Some(digest)
}

fn prefix(digest: &Digest) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *digest;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

/// Compares in constant time, so that timing does not reveal where the digests differ.
fn equal(a: &Digest, b: &Digest) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (x, y)| black_box(sum | (x ^ y)));
    difference == 0
}
