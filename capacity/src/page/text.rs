//! Formatting of numbers, units and Markdown tables.

use serde::Serialize;
use std::fmt;

/// Markdown table.
pub(super) struct Table {
    rows: Vec<String>,
}

impl Table {
    pub(super) fn new<const N: usize>(heads: [&str; N]) -> Table {
        let line = format!("|{}", " --- |".repeat(N));
        Table { rows: vec![format!("| {} |", heads.join(" | ")), line] }
    }

    pub(super) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(format!("| {} |", cells.join(" | ")));
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.rows.iter().try_for_each(|row| writeln!(f, "{row}"))
    }
}

/// Formats a number with about three significant digits and with commas between thousands.
pub(super) fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        small if small < 0.1 => format!("{value:.4}"),
        small if small < 10.0 && value.fract() != 0.0 => format!("{value:.2}"),
        small if small < 100.0 && value.fract() != 0.0 => format!("{value:.1}"),
        _ => group_thousands(value.round() as i64),
    }
}

fn group_thousands(value: i64) -> String {
    let digits = value.to_string();
    let first = digits.len() % 3;
    let (head, tail) = digits.split_at(first);
    let groups = tail.as_bytes().chunks(3).map(|group| String::from_utf8_lossy(group));
    let head = (!head.is_empty()).then(|| head.into());
    head.into_iter().chain(groups).collect::<Vec<_>>().join(",")
}

/// Formats a number of bytes.
pub(super) fn bytes(value: f64) -> String {
    scaled(value, &["B", "KB", "MB", "GB"])
}

/// Formats a rate in bytes per second.
pub(super) fn rate(value: f64) -> String {
    format!("{}/s", bytes(value))
}

/// Formats a time given in nanoseconds.
pub(super) fn time(value: f64) -> String {
    scaled(value, &["ns", "µs", "ms", "s"])
}

/// Formats nanoseconds of processor time per second as a percentage of one core.
pub(super) fn core(value: f64) -> String {
    let percent = value / 1e7;
    match percent {
        0.0 => "0%".into(),
        p if p < 0.1 => format!("{p:.4}%"),
        p if p < 10.0 => format!("{p:.2}%"),
        p => format!("{p:.0}%"),
    }
}

fn scaled(value: f64, units: &[&str]) -> String {
    let mut value = value;
    let mut units = units.iter().peekable();
    while let Some(unit) = units.next() {
        if value < 1_000.0 || units.peek().is_none() {
            return format!("{} {unit}", number(value));
        }
        value /= 1_000.0;
    }
    number(value)
}

/// Returns the name under which a probe or quantity is serialized.
pub(super) fn name(value: &impl Serialize) -> String {
    serde_json::to_value(value)
        .ok()
        .and_then(|text| Some(text.as_str()?.into()))
        .unwrap_or_default()
}
