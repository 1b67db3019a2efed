//! Subcommands of the command line.

pub(crate) mod ablate;
pub(crate) mod compare;
pub(crate) mod curve;
pub(crate) mod run;

use lab::pattern::{Pattern, PatternError};
use serde_json::Value;

/// Returns the pattern with some of its options replaced, each given as `NAME=JSON`.
pub(crate) fn with_options(pattern: &Pattern, changes: &[String]) -> Result<Pattern, PatternError> {
    let wrong = |problem| PatternError::Value { field: "options", problem };
    let mut options = serde_json::to_value(pattern.options).map_err(|_| wrong("unreadable"))?;
    for change in changes {
        let (name, value) = change.split_once('=').ok_or(wrong("must be NAME=VALUE"))?;
        let value: Value =
            serde_json::from_str(value).map_err(|_| wrong("the value is not JSON"))?;
        let pointer = format!("/{}", name.replace('.', "/"));
        *options.pointer_mut(&pointer).ok_or(wrong("there is no such option"))? = value;
    }
    let options =
        serde_json::from_value(options).map_err(|_| wrong("a value has the wrong type"))?;
    Ok(Pattern { options, ..pattern.clone() })
}
