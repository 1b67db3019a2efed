//! The document with the key claims of one shard: a JSON map from the digest of a key to its claim.

use super::{Claim, DOCUMENT_LIMIT, Timestamp};
use crate::text;
use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use site::id::{FirmId, SubmissionId};
use std::{collections::BTreeMap, fmt, str::FromStr};

/// The first half of the SHA-256 digest of a firm and its key. Serialised in hexadecimal.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Digest(u128);

impl Digest {
    fn of(firm: FirmId, key: &str) -> Digest {
        let hash = Sha256::new().chain_update(firm.0.to_be_bytes()).chain_update(key).finalize();
        let mut half = [0; 16];
        half.copy_from_slice(&hash[..16]);
        Digest(u128::from_be_bytes(half))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The text is not a digest.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("expected 32 hexadecimal digits")]
struct ParseError;

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Digest, ParseError> {
        match s.len() {
            32 => u128::from_str_radix(s, 16).map(Digest).map_err(|_| ParseError),
            _ => Err(ParseError),
        }
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        text::serialize(self, serializer)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        text::deserialize(deserializer)
    }
}

/// The submission that a key is claimed for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Record {
    /// Identifier of the submission: the token of its home and a UUID.
    #[serde(with = "text")]
    id: SubmissionId,
    /// Time after which the claim is dropped, in seconds since 1970.
    expires: Timestamp,
}

/// The key claims of a shard.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Document {
    records: BTreeMap<Digest, Record>,
}

/// Result of merging claims into a document.
pub(super) struct Merged {
    /// The submission that each key is claimed for, in the order of the claims.
    pub(super) winners: Vec<SubmissionId>,
    /// Whether a claim was added and the document must be written.
    pub(super) changed: bool,
}

impl Document {
    /// Parses a document; `None` if it is malformed.
    pub(super) fn parse(text: &[u8]) -> Option<Document> {
        serde_json::from_slice(text).ok()
    }

    /// Serialises the document; `None` if it exceeds [`DOCUMENT_LIMIT`].
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        serde_json::to_vec(self).ok().filter(|text| text.len() <= DOCUMENT_LIMIT)
    }

    /// Drops expired claims, then adds those claims whose key has no other claim, or one that they
    /// replace.
    pub(super) fn merge(&mut self, claims: &[Claim], now: Timestamp) -> Merged {
        self.records.retain(|_, record| record.expires > now);
        let mut changed = false;
        let mut settle = |claim: &Claim| {
            let digest = Digest::of(claim.firm, &claim.key);
            let own = Record { id: claim.id, expires: claim.expires };
            match self.records.get(&digest) {
                Some(record) if Some(record.id) != claim.replaces => record.id,
                _ => {
                    changed = true;
                    self.records.insert(digest, own);
                    claim.id
                }
            }
        };
        let winners = claims.iter().map(&mut settle).collect();
        Merged { winners, changed }
    }
}
