//! Suggested fixes for operators.

use crate::{
    limit::{MAX_FILE_BYTES, MAX_FILES, MAX_NAME_BYTES, MAX_TEXT_BYTES},
    report::Reason,
    section::Section,
};
use compact_str::CompactString;

impl Reason {
    /// Returns how an operator can fix it.
    pub fn fix(&self) -> String {
        match self {
            Reason::Read { .. } => "check that it exists and that you may read it".into(),
            Reason::FileName => "use a name like `20-services.json`".into(),
            Reason::LargeFile { .. } => {
                format!("split it into files of at most {MAX_FILE_BYTES} bytes")
            }
            Reason::ManyFiles { .. } => {
                format!("join small files until there are at most {MAX_FILES}")
            }
            Reason::LargeFolder { .. } | Reason::ManyValues => {
                "remove what later files override, or objects that no longer exist".into()
            }
            Reason::LongText { .. } => format!("shorten it to {MAX_TEXT_BYTES} bytes"),
            Reason::Syntax { .. } => "correct the JSON at this line".into(),
            Reason::DuplicateKey { .. } => "keep one of the two".into(),
            Reason::UnknownSection { .. } => {
                format!("remove it or use one of {}", list(Section::ALL))
            }
            Reason::UnknownField { expected, .. } => {
                format!("remove it or use one of {}", list(expected))
            }
            Reason::MissingField { field } => format!("add `{field}`"),
            Reason::Type { expected, found } => retype(expected, found),
            Reason::Quantity { quantity, .. } => {
                format!("write a whole number and its unit in quotes: {}", quantity.examples())
            }
            Reason::SocketAddress => "write it like `10.0.0.1:7001` or `[fd00::1]:7001`".into(),
            Reason::Value { .. } => "write a value in the range that docs/SETTINGS.md gives".into(),
            Reason::Choice { expected, .. } => format!("use one of {}", list(expected)),
            Reason::Name { .. } => format!(
                "use 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`, with at most one \
                 `{{first..last}}`"
            ),
            Reason::Range { error } => error.fix(),
            Reason::Overlap { .. } => "narrow one of the two, or move it to a later file".into(),
            Reason::NothingToRemove => "remove this line, or correct the name".into(),
            Reason::Reference { section, name, known } => refer(*section, name, known),
            Reason::WorkerService { .. } => {
                "name a service whose `place` is `executors`, or declare a worker".into()
            }
            Reason::Zero => "use a value above zero".into(),
            Reason::Empty => "write at least one".into(),
            Reason::Unspecified => "write the host's IP address and a port of 1 or more".into(),
            Reason::Address { .. } => "give each its own address".into(),
            Reason::SharedName { .. } | Reason::Collision { .. } => "rename one of the two".into(),
            Reason::Rack { .. } => "correct the data centre, or rename one of the racks".into(),
            Reason::Loop { .. } => "name two data centres".into(),
            Reason::LinkTwin { .. } | Reason::ContractTwin { .. } => {
                "remove one of the two with `null`, or override its fields".into()
            }
            Reason::Digest => "write 64 lower-case hexadecimal digits".into(),
            Reason::SharedKey { .. } => "give each its own key".into(),
            Reason::Quota { .. } => "lower the quota, or add executors".into(),
            Reason::NoEndpoint { .. } => {
                "add an executor of the service or a worker large enough".into()
            }
            Reason::NoContract => "add a contract, or remove the firm with `null`".into(),
            Reason::NoLink => "add a link to another data centre".into(),
        }
    }
}

fn list<T: ToString>(names: impl IntoIterator<Item = T>) -> String {
    let quoted: Vec<_> = names.into_iter().map(|name| format!("`{}`", name.to_string())).collect();
    quoted.join(", ")
}

fn retype(expected: &str, found: &str) -> String {
    match expected {
        "a string" if found.starts_with("integer") || found.starts_with("floating") => {
            "write it in quotes, with its unit if it has one: \"300ms\", \"4GiB\", \"64\"".into()
        }
        "a string" => "write it in quotes".into(),
        "u16" | "u32" | "u64" => "write a whole number without quotes".into(),
        "a boolean" => "write `true` or `false` without quotes".into(),
        _ => format!("write {expected}"),
    }
}

fn refer(section: Section, name: &str, known: &[CompactString]) -> String {
    match known.is_empty() {
        true => format!("declare `{name}` under `{section}`"),
        false => format!("declare `{name}` under `{section}`, or use one of {}", list(known)),
    }
}
