//! SHA-256 digests of files and keys.

use derive_more::{Display, Error};
use sha2::{Digest as _, Sha256};
use std::{fmt, str::FromStr};

const BYTES: usize = 32;

/// A SHA-256 digest. Its text form is 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; BYTES]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Error for a text that is not a digest.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("expected {} lower-case hexadecimal digits", 2 * BYTES)]
pub struct ParseError;

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let lower_hex = |c: u8| matches!(c, b'0'..=b'9' | b'a'..=b'f');
        if s.len() != 2 * BYTES || !s.bytes().all(lower_hex) {
            return Err(ParseError);
        }
        let mut digest = [0; BYTES];
        for (byte, at) in digest.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&s[at..at + 2], 16).map_err(|_| ParseError)?;
        }
        Ok(Digest(digest))
    }
}

/// Returns the SHA-256 digest of `bytes`.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}
