//! Reasons of findings.

use super::{Quantity, Severity};
use crate::{
    limit::{MAX_FILE_BYTES, MAX_FILES, MAX_FOLDER_BYTES, MAX_TEXT_BYTES, MAX_VALUES},
    location::Path,
    range,
    section::Section,
};
use compact_str::CompactString;
use derive_more::Display;
use site::unit::Slots;
use std::io;

/// Why a finding was reported.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// The file or folder can't be read.
    #[display("can't be read: {kind}")]
    Read {
        /// Error kind from the operating system.
        kind: io::ErrorKind,
    },
    /// The name of the file is not plain text that ends in `.json`.
    #[display("invalid name for a settings file")]
    FileName,
    /// The file is too large.
    #[display("{bytes} bytes or more, but at most {MAX_FILE_BYTES} are allowed")]
    LargeFile {
        /// Number of bytes read.
        bytes: usize,
    },
    /// The folder has too many files.
    #[display("{files} files, more than {MAX_FILES}")]
    ManyFiles {
        /// Number of files.
        files: usize,
    },
    /// The files of the folder are too large together.
    #[display("{bytes} bytes or more in all files, but at most {MAX_FOLDER_BYTES} are allowed")]
    LargeFolder {
        /// Number of bytes read.
        bytes: usize,
    },
    /// The files hold too many values together.
    #[display("more than {MAX_VALUES} values in all files, with numbered names expanded")]
    ManyValues,
    /// A string is too long.
    #[display("text of {bytes} bytes, more than {MAX_TEXT_BYTES}")]
    LongText {
        /// Size of the string in bytes.
        bytes: usize,
    },
    /// The file is not valid JSON.
    #[display("not JSON: {detail}")]
    Syntax {
        /// Error message of the JSON parser.
        detail: CompactString,
    },
    /// An object contains a key twice.
    #[display("key given twice: {detail}")]
    DuplicateKey {
        /// Error message of the JSON parser.
        detail: CompactString,
    },
    /// The top level has a member that is not a section.
    #[display("unknown section `{name}`")]
    UnknownSection {
        /// Name of the member.
        name: CompactString,
    },
    /// An object has a member that is not a field of its type.
    #[display("unknown field `{field}`")]
    UnknownField {
        /// Name of the member.
        field: CompactString,
        /// The fields of the type.
        expected: Vec<CompactString>,
    },
    /// An object lacks a member that has no default.
    #[display("field `{field}` is missing")]
    MissingField {
        /// Name of the missing field.
        field: CompactString,
    },
    /// A value is of the wrong type.
    #[display("expected {expected}, found {found}")]
    Type {
        /// The expected type.
        expected: CompactString,
        /// The value that was found.
        found: CompactString,
    },
    /// A string is not a quantity, or has a unit of another kind.
    #[display("not {quantity}: {detail}")]
    Quantity {
        /// The expected kind of quantity.
        quantity: Quantity,
        /// Error message of its parser.
        detail: CompactString,
    },
    /// A string is not a socket address.
    #[display("not an IP address and a port")]
    SocketAddress,
    /// A value is of the right type but out of range.
    #[display("{detail}")]
    Value {
        /// Error message of the type.
        detail: CompactString,
    },
    /// A string is not one of the choices.
    #[display("`{value}` is not one of the choices")]
    Choice {
        /// The string.
        value: CompactString,
        /// The choices.
        expected: Vec<CompactString>,
    },
    /// A name is empty, too long or holds other characters than letters, digits, `-`, `_`, `.`.
    #[display("`{name}` is not a valid name")]
    Name {
        /// The rejected name.
        name: CompactString,
    },
    /// A numbered name or a template in its object can't be expanded.
    #[display("{error}")]
    Range {
        /// Error of the expansion.
        error: range::RangeError,
    },
    /// Two keys of one file expand to the same object.
    #[display("`{name}` is given twice in this file")]
    Overlap {
        /// Name of the object.
        name: CompactString,
    },
    /// A `null` refers to a member that does not exist.
    #[display("`null` removes nothing")]
    NothingToRemove,
    /// No object has the name of a reference.
    #[display("no {} is called `{name}`", section.noun())]
    Reference {
        /// The section that should contain the object.
        section: Section,
        /// The name.
        name: CompactString,
        /// Some names of existing objects.
        known: Vec<CompactString>,
    },
    /// An executor's service runs on workers.
    #[display("service `{service}` runs on workers, not on executors")]
    WorkerService {
        /// The service.
        service: CompactString,
    },
    /// A number is zero but must not be.
    #[display("must not be zero")]
    Zero,
    /// A list is empty but must not be.
    #[display("must not be empty")]
    Empty,
    /// The address has an unspecified host or port zero.
    #[display("address without a host or a port")]
    Unspecified,
    /// Two objects share an address.
    #[display("the address is also that of `{other}`")]
    Address {
        /// Path of the other object.
        other: Path,
    },
    /// An executor and a worker share a name.
    #[display("the name is also that of `{other}`")]
    SharedName {
        /// Path of the other object.
        other: Path,
    },
    /// The identifiers of two names are equal.
    #[display("the name has the same identifier as `{other}`")]
    Collision {
        /// The other name.
        other: CompactString,
    },
    /// A rack is in two data centres.
    #[display("rack `{rack}` is also in data centre `{other}`")]
    Rack {
        /// The rack.
        rack: CompactString,
        /// The data centre of another of its workers.
        other: CompactString,
    },
    /// Both ends of a link are the same data centre.
    #[display("both ends are `{end}`")]
    Loop {
        /// The data centre.
        end: CompactString,
    },
    /// Two links join the same pair of data centres.
    #[display("joins the same data centres as `{other}`")]
    LinkTwin {
        /// Path of the other link.
        other: Path,
    },
    /// Two contracts are for the same firm and service.
    #[display("is for the same firm and service as `{other}`")]
    ContractTwin {
        /// Path of the other contract.
        other: Path,
    },
    /// A string is not the digest of a key.
    #[display("not a SHA-256 digest")]
    Digest,
    /// Two objects share a key.
    #[display("the key is also that of `{other}`")]
    SharedKey {
        /// Path of the digest in the other object.
        other: Path,
    },
    /// A quota is larger than the slots of the service's executors.
    #[display("quota of {quota}, but the executors of the service have {capacity} slots")]
    Quota {
        /// The quota.
        quota: Slots,
        /// Number of slots of the service's executors.
        capacity: Slots,
    },
    /// No endpoint can run a service.
    #[display("no endpoint can run service `{service}`")]
    NoEndpoint {
        /// The service.
        service: CompactString,
    },
    /// A firm has no contract, so it can't use any service.
    #[display("firm without a contract")]
    NoContract,
    /// A data centre has no link to another one.
    #[display("data centre without a link")]
    NoLink,
}

impl Reason {
    /// Returns whether it prevents the use of the settings.
    pub fn severity(&self) -> Severity {
        match self {
            Reason::NothingToRemove
            | Reason::Quota { .. }
            | Reason::NoEndpoint { .. }
            | Reason::NoContract
            | Reason::NoLink => Severity::Warning,
            _ => Severity::Error,
        }
    }
}
