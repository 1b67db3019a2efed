//! Identifiers. Named objects are identified by a stable 64-bit hash of their name, so that all
//! entries derive the same identifier without coordination; `settings` rejects a collision.

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    )*};
}

macro_rules! named_id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        number_id!($($(#[$doc])* $name),*);
        $(impl $name {
            /// Returns the identifier of the object called `name`.
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        })*
    };
}

named_id!(
    /// Identifies a data centre.
    DataCentreId,
    /// Identifies an entry VM, independently of the process that runs on it.
    EntryId,
    /// Identifies an endpoint: an executor or a worker.
    EndpointId,
    /// Identifies a firm.
    FirmId,
    /// Identifies a crew of a firm.
    CrewId,
    /// Identifies a service.
    ServiceId,
    /// Identifies a rack.
    RackId,
    /// Identifies an operator.
    OperatorId,
);

number_id!(
    /// Identifies one process of an entry. Chosen at random when the process starts.
    Incarnation,
    /// Identifies one attempt to run a task. Unique within the process that made it.
    AttemptId,
    /// Identifies who waits for an answer outside the library. Assigned by the caller of the
    /// library and returned unchanged.
    WaiterId,
);

/// The home of a submission: the only process that may admit it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Home {
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// The entry that the process belongs to.
    pub entry: EntryId,
    /// Identifies the process among those of the entry.
    pub incarnation: Incarnation,
}

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{:x}", self.data_centre.0, self.entry.0, self.incarnation.0)
    }
}

/// Error of parsing an identifier.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum ParseError {
    /// Not a home, which is three hexadecimal numbers joined by `-`.
    #[display("not a home: expected three hexadecimal numbers joined by '-'")]
    Home,
    /// Not a token, which is four hexadecimal numbers joined by `-`.
    #[display("not a home token: expected four hexadecimal numbers joined by '-'")]
    Token,
    /// Not a submission identifier, which is a home token, a `.` and a UUID.
    #[display("not a submission id: expected a home token, '.' and a UUID")]
    Submission,
}

impl FromStr for Home {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.split('-').map(parse_hex);
        let mut next = || parts.next().flatten().ok_or(ParseError::Home);
        let home = Home {
            data_centre: DataCentreId(next()?),
            entry: EntryId(next()?),
            incarnation: Incarnation(next()?),
        };
        match parts.next() {
            None => Ok(home),
            Some(_) => Err(ParseError::Home),
        }
    }
}

/// Parses strict lower-case hexadecimal without sign or leading zeros, so that each value has one
/// text form.
fn parse_hex(s: &str) -> Option<u64> {
    let value = u64::from_str_radix(s, 16).ok()?;
    (format!("{value:x}") == s).then_some(value)
}

/// A home token: a home and its current epoch, from which a caller makes identifiers of
/// submissions.
///
/// The home counts epochs by its own clock and keeps a record of every submission of the epochs
/// that it still accepts. It rejects identifiers of older epochs, so it can drop their records
/// without ever admitting a submission twice.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Token {
    /// The only process that may admit submissions made with this token.
    pub home: Home,
    /// Epoch, counted by the home from 0.
    pub epoch: u32,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.home, self.epoch)
    }
}

impl FromStr for Token {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (home, epoch) = s.rsplit_once('-').ok_or(ParseError::Token)?;
        let epoch = parse_hex(epoch).and_then(|e| u32::try_from(e).ok());
        Ok(Token {
            home: home.parse().map_err(|_| ParseError::Token)?,
            epoch: epoch.ok_or(ParseError::Token)?,
        })
    }
}

/// Identifies a submission (a job or a single request) and names its home.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct SubmissionId {
    /// Token of the only process that may admit this submission.
    pub token: Token,
    /// Chosen by the caller; unique among the submissions of the home.
    pub unique: Uuid,
}

impl SubmissionId {
    /// Returns the only process that may admit this submission.
    pub fn home(&self) -> Home {
        self.token.home
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.token, self.unique)
    }
}

impl FromStr for SubmissionId {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (token, unique) = s.split_once('.').ok_or(ParseError::Submission)?;
        let token = token.parse().map_err(|_| ParseError::Submission)?;
        let unique = unique.parse().map_err(|_| ParseError::Submission)?;
        Ok(SubmissionId { token, unique })
    }
}

/// Identifies a task of a submission.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct TaskId {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// Position in the submission, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.submission, self.index)
    }
}
