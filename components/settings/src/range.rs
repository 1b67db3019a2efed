//! Numbered names: one key that expands to many similar objects.
//!
//! A key such as `cut-{01..17}` expands to `cut-01` to `cut-17`. Strings in its object may be
//! templates: `{n}` is the number as in the name, `{n/8}` starts at 1 and increases by one every 8
//! objects, and a `+` after the port or the host of an address adds the position of the object,
//! from 0.

use crate::{
    limit::{MAX_NAME_BYTES, MAX_RANGE, MAX_TEXT_BYTES},
    source::Origin,
    tree::{Node, Value},
};
use compact_str::{CompactString, format_compact};
use derive_more::Display;
use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
};

/// Error of expanding a numbered name.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RangeError {
    /// The name is not of the form `{first..last}`.
    #[display("`{text}` is not a numbered name")]
    Form {
        /// The name in the settings.
        text: CompactString,
    },
    /// The last number is below the first, or there are too many.
    #[display("a range of {first} to {last} is empty or holds more than {MAX_RANGE}")]
    Length {
        /// The first number.
        first: u32,
        /// The last number.
        last: u32,
    },
    /// A `{...}` in a string is not a valid template.
    #[display("`{text}` is not a valid template")]
    Template {
        /// The string.
        text: CompactString,
    },
    /// An address can't be increased that far.
    #[display("address `{text}` can't be increased by {by}")]
    Address {
        /// The address.
        text: CompactString,
        /// The position of the object.
        by: u32,
    },
    /// The string is too long after expansion.
    #[display("string of {bytes} bytes after expansion")]
    Long {
        /// Size of the expanded string.
        bytes: usize,
    },
}

impl RangeError {
    pub(crate) fn fix(&self) -> String {
        match self {
            RangeError::Form { .. } => {
                "write it like `cut-{01..17}`, both numbers of equal width".into()
            }
            RangeError::Length { .. } => {
                format!("use an ascending range of at most {MAX_RANGE} objects")
            }
            RangeError::Template { .. } => "write `{n}`, or `{n/8}` for groups of 8".into(),
            RangeError::Address { .. } => {
                "write it like `10.0.0.1:7001+` or `10.0.0.1+:7001`".into()
            }
            RangeError::Long { .. } => format!("shorten it to {MAX_TEXT_BYTES} bytes"),
        }
    }
}

/// A name with a range of numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Range {
    before: CompactString,
    after: CompactString,
    width: usize,
    pub(crate) first: u32,
    pub(crate) last: u32,
}

/// One object of a range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    number: u32,
    width: usize,
    /// Position in the range, from 0.
    position: u32,
}

impl Range {
    /// Returns the range in `key`; `None` if it has no braces.
    pub(crate) fn parse(key: &str) -> Result<Option<Range>, RangeError> {
        let Some((before, rest)) = key.split_once('{') else { return Ok(None) };
        let form = || RangeError::Form { text: key.into() };
        let (numbers, after) = rest.split_once('}').ok_or_else(form)?;
        let (first, last) = numbers.split_once("..").ok_or_else(form)?;
        let (from, to) = number(first).zip(number(last)).ok_or_else(form)?;
        if first.starts_with('0') && first.len() != last.len() {
            return Err(form());
        }
        if from > to || to - from >= MAX_RANGE {
            return Err(RangeError::Length { first: from, last: to });
        }
        let width = first.len();
        Ok(Some(Range { before: before.into(), after: after.into(), width, first: from, last: to }))
    }

    /// Returns the number of objects.
    pub(crate) fn len(&self) -> usize {
        (self.last - self.first) as usize + 1
    }

    pub(crate) fn items(&self) -> impl Iterator<Item = (CompactString, Item)> + '_ {
        (self.first..=self.last).map(|number| {
            let item = Item { number, width: self.width, position: number - self.first };
            (format_compact!("{}{item}{}", self.before, self.after), item)
        })
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0width$}", self.number, width = self.width)
    }
}

/// Returns whether `name` is a valid name of an object.
pub(crate) fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(allowed)
}

/// Expands the templates in every string of `node` for `item`. An error has its position.
pub(crate) fn expand(node: &Node, item: Item) -> Result<Node, (Origin, RangeError)> {
    let value = match &node.value {
        Value::Text(text) => {
            item.expand(text).map(Value::Text).map_err(|error| (node.at, error))?
        }
        Value::List(items) => {
            Value::List(items.iter().map(|node| expand(node, item)).collect::<Result<_, _>>()?)
        }
        Value::Object(members) => {
            let member =
                |(key, node): (&CompactString, &Node)| Ok((key.clone(), expand(node, item)?));
            Value::Object(members.iter().map(member).collect::<Result<_, _>>()?)
        }
        other => other.clone(),
    };
    Ok(Node { value, ..*node })
}

impl Item {
    fn expand(self, text: &str) -> Result<CompactString, RangeError> {
        let expanded = self.expand_braces(text)?;
        if expanded.len() > MAX_TEXT_BYTES {
            return Err(RangeError::Long { bytes: expanded.len() });
        }
        match expanded.contains('+') {
            true => self.increase_address(&expanded),
            false => Ok(expanded),
        }
    }

    fn expand_braces(self, text: &str) -> Result<CompactString, RangeError> {
        let mut expanded = CompactString::default();
        let mut rest = text;
        while let Some((before, tail)) = rest.split_once('{') {
            let error = || RangeError::Template { text: text.into() };
            let (inner, after) = tail.split_once('}').ok_or_else(error)?;
            expanded.push_str(before);
            expanded.push_str(&self.number(inner).ok_or_else(error)?);
            rest = after;
        }
        expanded.push_str(rest);
        Ok(expanded)
    }

    fn number(self, inner: &str) -> Option<CompactString> {
        match inner.split_once('/') {
            None => (inner == "n").then(|| format_compact!("{self}")),
            Some(("n", group)) => {
                let group = number(group).filter(|group| *group > 0)?;
                Some(format_compact!("{}", self.position / group + 1))
            }
            Some(_) => None,
        }
    }

    /// Adds the position to the port or host before a `+`. Other strings with a `+` stay unchanged.
    fn increase_address(self, text: &str) -> Result<CompactString, RangeError> {
        let error = || RangeError::Address { text: text.into(), by: self.position };
        if let Some(Ok(mut address)) = text.strip_suffix('+').map(str::parse::<SocketAddr>) {
            let port = u32::from(address.port()) + self.position;
            address.set_port(u16::try_from(port).map_err(|_| error())?);
            return Ok(format_compact!("{address}"));
        }
        if let Ok(mut address) = text.replacen("+:", ":", 1).replacen("+]", "]", 1).parse() {
            let address: &mut SocketAddr = &mut address;
            address.set_ip(add_to_ip(address.ip(), self.position).ok_or_else(error)?);
            return Ok(format_compact!("{address}"));
        }
        Ok(text.into())
    }
}

fn add_to_ip(ip: IpAddr, by: u32) -> Option<IpAddr> {
    match ip {
        IpAddr::V4(ip) => u32::from(ip).checked_add(by).map(|ip| Ipv4Addr::from(ip).into()),
        IpAddr::V6(ip) => u128::from(ip).checked_add(by.into()).map(|ip| Ipv6Addr::from(ip).into()),
    }
}

/// Parses a number of digits only, without sign and spaces.
fn number(s: &str) -> Option<u32> {
    s.bytes().all(|b| b.is_ascii_digit()).then(|| s.parse().ok()).flatten()
}
