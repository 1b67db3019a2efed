//! Close codes: why an entry closed a connection.

use derive_more::Display;
use quinn::VarInt;

/// Why an entry closed a connection. The numbers are part of the protocol.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Code {
    /// The sender is shutting down, or has read the end of the peer's stream.
    #[display("done")]
    Done,
    /// Another connection between the same two processes replaces this one.
    #[display("another connection takes its place")]
    Duplicate,
    /// The hello does not name the entry in the certificate, or the entry that was dialled.
    #[display("the hello does not match the certificate")]
    Identity,
    /// A frame has another protocol version.
    #[display("another version of the protocol")]
    Version,
    /// A frame can't be decoded.
    #[display("malformed frame")]
    Malformed,
    /// A frame is longer than the receiver's limit.
    #[display("frame too large")]
    TooLarge,
    /// The sender's queue for the peer exceeded its limit.
    #[display("send queue overflow")]
    Overflow,
    /// The handshake or the hello did not complete in time.
    #[display("no hello in time")]
    NoHello,
    /// The sender no longer wants this connection.
    #[display("no longer wanted")]
    Forgotten,
    /// A code that this version does not know.
    #[display("unknown close code {_0}")]
    Unknown(u64),
}

impl Code {
    /// Returns the number in the protocol.
    pub fn number(self) -> u64 {
        match self {
            Code::Done => 0,
            Code::Duplicate => 1,
            Code::Identity => 2,
            Code::Version => 3,
            Code::Malformed => 4,
            Code::TooLarge => 5,
            Code::Overflow => 6,
            Code::NoHello => 7,
            Code::Forgotten => 8,
            Code::Unknown(number) => number,
        }
    }
}

impl From<u64> for Code {
    fn from(number: u64) -> Self {
        match number {
            0 => Code::Done,
            1 => Code::Duplicate,
            2 => Code::Identity,
            3 => Code::Version,
            4 => Code::Malformed,
            5 => Code::TooLarge,
            6 => Code::Overflow,
            7 => Code::NoHello,
            8 => Code::Forgotten,
            number => Code::Unknown(number),
        }
    }
}

impl From<VarInt> for Code {
    fn from(number: VarInt) -> Self {
        number.into_inner().into()
    }
}

impl From<Code> for VarInt {
    fn from(code: Code) -> Self {
        VarInt::from_u64(code.number()).unwrap_or(VarInt::MAX)
    }
}

impl From<wire::Error> for Code {
    fn from(error: wire::Error) -> Self {
        match error {
            wire::Error::Version { .. } => Code::Version,
            wire::Error::TooLarge { .. } => Code::TooLarge,
            wire::Error::Truncated | wire::Error::Malformed | wire::Error::Trailing { .. } => {
                Code::Malformed
            }
        }
    }
}
