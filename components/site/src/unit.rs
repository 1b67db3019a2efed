//! Units: times, sizes, counts and resources.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
};

/// Error of parsing a quantity.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum ParseError {
    /// The text does not start with a whole number.
    #[display("expected a whole number followed by a unit")]
    Number,
    /// The unit is unknown.
    #[display("unknown unit: expected one of {expected}")]
    Unit {
        /// The units that are accepted.
        expected: &'static str,
    },
    /// The value does not fit.
    #[display("the value is too large")]
    Range,
}

/// A point in time, in microseconds since an origin that the caller chooses. Never decreases.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Later than any time that occurs.
    pub const NEVER: Time = Time(u64::MAX);

    /// Returns the time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// A length of time, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub u64);

impl Span {
    /// A span of zero length.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    /// Returns a span of `s` seconds.
    pub const fn from_secs(s: u64) -> Span {
        Span(s * 1_000_000)
    }

    /// Returns the whole milliseconds, rounded up.
    pub fn as_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// Returns the whole seconds, rounded up.
    pub fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

/// Writes a whole number with the largest of the units s, ms and us that allows one.
impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us % 1_000_000 == 0 => write!(f, "{}s", us / 1_000_000),
            us if us % 1_000 == 0 => write!(f, "{}ms", us / 1_000),
            us => write!(f, "{us}us"),
        }
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split(s)?;
        let factor = match unit {
            "us" => 1,
            "ms" => 1_000,
            "s" => 1_000_000,
            "min" => 60_000_000,
            _ => return Err(ParseError::Unit { expected: "us, ms, s, min" }),
        };
        number.checked_mul(factor).map(Span).ok_or(ParseError::Range)
    }
}

/// An amount of memory, in bytes.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Memory(pub u64);

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            b if b != 0 && b % (1 << 30) == 0 => write!(f, "{}GiB", b >> 30),
            b if b != 0 && b % (1 << 20) == 0 => write!(f, "{}MiB", b >> 20),
            b if b != 0 && b % (1 << 10) == 0 => write!(f, "{}KiB", b >> 10),
            b => write!(f, "{b}B"),
        }
    }
}

impl FromStr for Memory {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split(s)?;
        let factor = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => return Err(ParseError::Unit { expected: "B, KiB, MiB, GiB" }),
        };
        number.checked_mul(factor).map(Memory).ok_or(ParseError::Range)
    }
}

/// Processor capacity, in thousandths of a core. Written as `1500m` or `2`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Cores(pub u32);

impl fmt::Display for Cores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            m if m % 1_000 == 0 => write!(f, "{}", m / 1_000),
            m => write!(f, "{m}m"),
        }
    }
}

impl FromStr for Cores {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split(s)?;
        let factor = match unit {
            "m" => 1,
            "" => 1_000,
            _ => return Err(ParseError::Unit { expected: "m, or none for whole cores" }),
        };
        number
            .checked_mul(factor)
            .and_then(|m| u32::try_from(m).ok())
            .map(Cores)
            .ok_or(ParseError::Range)
    }
}

fn split(s: &str) -> Result<(u64, &str), ParseError> {
    let end = s.find(|c: char| !c.is_ascii_digit()).unwrap_or(s.len());
    let number = s[..end].parse().map_err(|_| ParseError::Number)?;
    Ok((number, s[end..].trim_start()))
}

macro_rules! text_quantity {
    ($($name:ident),*) => {$(
        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(s: String) -> Result<Self, ParseError> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    )*};
}

text_quantity!(Span, Memory, Cores);

macro_rules! count {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, derive_more::FromStr, Eq, Hash, Ord, PartialEq,
            PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl Add for $name {
            type Output = $name;

            fn add(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: $name) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = $name;

            fn sub(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }
        }
    )*};
}

count!(
    /// A number of tasks that run or may run at one time.
    Slots(u32),
    /// A number of accelerators.
    Accelerators(u16),
    /// A weight relative to others of the same kind.
    Weight(u32),
    /// A revision of the settings. Only increases.
    Revision(u64),
);

/// Resources that a task occupies or an endpoint offers. Executors are measured only in slots.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Number of tasks at one time.
    pub slots: Slots,
    /// Processor capacity.
    pub cores: Cores,
    /// Main memory.
    pub memory: Memory,
    /// Number of whole accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// One executor slot and nothing else.
    pub const SLOT: Resources = Resources {
        slots: Slots(1),
        cores: Cores(0),
        memory: Memory(0),
        accelerators: Accelerators(0),
    };

    /// Returns whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        self.slots >= need.slots
            && self.cores >= need.cores
            && self.memory >= need.memory
            && self.accelerators >= need.accelerators
    }

    /// Returns these resources with exactly one slot.
    pub fn with_one_slot(self) -> Resources {
        Resources { slots: Slots(1), ..self }
    }

    /// Returns how many tasks that each need `need` fit into these resources together.
    pub fn max_tasks(&self, need: &Resources) -> u32 {
        let parts = [
            (u64::from(self.slots.0), u64::from(need.slots.0)),
            (u64::from(self.cores.0), u64::from(need.cores.0)),
            (self.memory.0, need.memory.0),
            (u64::from(self.accelerators.0), u64::from(need.accelerators.0)),
        ];
        let fits = parts.iter().filter(|(_, need)| *need > 0).map(|(have, need)| have / need);
        fits.min().map_or(0, |count| u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Returns the maximum of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots.max(other.slots),
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns these resources multiplied by `count`.
    pub fn times(&self, count: u32) -> Resources {
        let wide = u64::from(count);
        let narrow = u16::try_from(count).unwrap_or(u16::MAX);
        Resources {
            slots: Slots(self.slots.0.saturating_mul(count)),
            cores: Cores(self.cores.0.saturating_mul(count)),
            memory: Memory(self.memory.0.saturating_mul(wide)),
            accelerators: Accelerators(self.accelerators.0.saturating_mul(narrow)),
        }
    }

    /// Returns the sum of these resources and `other`.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots + other.slots,
            cores: Cores(self.cores.0.saturating_add(other.cores.0)),
            memory: Memory(self.memory.0.saturating_add(other.memory.0)),
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns these resources minus `other`; never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            slots: self.slots - other.slots,
            cores: Cores(self.cores.0.saturating_sub(other.cores.0)),
            memory: Memory(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: self.accelerators - other.accelerators,
        }
    }
}
