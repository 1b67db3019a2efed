//! The subcommands.

pub(crate) mod ablate;
pub(crate) mod compare;
pub(crate) mod curve;
pub(crate) mod run;

use lab::pattern::{Pattern, PatternError};
use serde_json::Value;

/// A pattern with some of its options replaced, each as `NAME=JSON`.
pub(crate) fn with_options(pattern: &Pattern, changes: &[String]) -> Result<Pattern, PatternError> {
    let wrong = |problem| PatternError::Value { field: "options", problem };
    let mut options = serde_json::to_value(pattern.options).map_err(|_| wrong("unreadable"))?;
    for change in changes {
        let (name, value) = change.split_once('=').ok_or(wrong("must be NAME=VALUE"))?;
        let value: Value =
            serde_json::from_str(value).map_err(|_| wrong("the value is no JSON"))?;
        let pointer = format!("/{}", name.replace('.', "/"));
        *options.pointer_mut(&pointer).ok_or(wrong("there is no such option"))? = value;
    }
    let options =
        serde_json::from_value(options).map_err(|_| wrong("a value is of another type"))?;
    Ok(Pattern { options, ..pattern.clone() })
}
