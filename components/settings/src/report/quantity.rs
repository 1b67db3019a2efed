//! Kinds of quantities that settings give as strings.

use derive_more::Display;
use site::unit::{Cores, Memory, ParseError, Span};
use std::str::FromStr;

/// Input with an unknown unit, for which the parser of every quantity returns an error that lists
/// its units.
const PROBE: &str = "1?";

/// A kind of quantity.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Quantity {
    /// A length of time.
    #[display("a time")]
    Span,
    /// An amount of memory.
    #[display("an amount of memory")]
    Memory,
    /// Processor capacity.
    #[display("a number of cores")]
    Cores,
    /// Any quantity: the error is common to all kinds.
    #[display("a quantity")]
    Any,
}

impl Quantity {
    /// Every kind, with the errors common to all first.
    pub(crate) const ALL: [Quantity; 4] =
        [Quantity::Any, Quantity::Span, Quantity::Memory, Quantity::Cores];

    /// Returns whether `text` is an error message of this kind only.
    pub(crate) fn has_error(self, text: &str) -> bool {
        match self {
            Quantity::Any => {
                [ParseError::Number, ParseError::Range].iter().any(|e| e.to_string() == text)
            }
            Quantity::Span => has_unit_error::<Span>(text),
            Quantity::Memory => has_unit_error::<Memory>(text),
            Quantity::Cores => has_unit_error::<Cores>(text),
        }
    }

    /// Returns examples of this kind.
    pub(crate) fn examples(self) -> &'static str {
        match self {
            Quantity::Span => "\"1400us\", \"300ms\", \"30s\", \"5min\"",
            Quantity::Memory => "\"64KiB\", \"1MiB\", \"256GiB\"",
            Quantity::Cores => "\"64\" for whole cores, \"1500m\" for thousandths",
            Quantity::Any => "\"300ms\", \"256GiB\", \"64\"",
        }
    }
}

fn has_unit_error<T: FromStr<Err = ParseError>>(text: &str) -> bool {
    PROBE.parse::<T>().is_err_and(|error| error.to_string() == text)
}
