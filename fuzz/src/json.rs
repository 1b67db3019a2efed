//! Random changes to JSON documents.

use crate::{Random, bytes};
use rand::{Rng, seq::IndexedRandom};
use serde_json::{Map, Value, json};

/// Returns the text of `value` after up to three changes to its parts, and in one of three calls
/// further changes to the text itself.
pub fn mutated_text(mut value: Value, rng: &mut Random) -> Vec<u8> {
    for _ in 0..rng.random_range(0..=3) {
        mutate(&mut value, rng);
    }
    let mut text = serde_json::to_vec(&value).unwrap_or_default();
    if rng.random_ratio(1, 3) {
        bytes::mutate(&mut text, rng);
    }
    text
}

/// Changes one part of `value`.
pub fn mutate(value: &mut Value, rng: &mut Random) {
    match value {
        Value::Object(members) if !members.is_empty() && !rng.random_ratio(1, 6) => {
            let place = rng.random_range(0..members.len());
            match rng.random_range(0..8) {
                0 => remove(members, place),
                1 => rename(members, place, rng),
                _ => members.values_mut().nth(place).into_iter().for_each(|v| mutate(v, rng)),
            }
        }
        Value::Array(items) if !items.is_empty() && !rng.random_ratio(1, 6) => {
            let place = rng.random_range(0..items.len());
            match rng.random_range(0..6) {
                0 => drop(items.remove(place)),
                1 => items.push(items[place].clone()),
                _ => mutate(&mut items[place], rng),
            }
        }
        _ => *value = any_value(rng),
    }
}

fn remove(members: &mut Map<String, Value>, place: usize) {
    if let Some(key) = members.keys().nth(place).cloned() {
        members.remove(&key);
    }
}

fn rename(members: &mut Map<String, Value>, place: usize, rng: &mut Random) {
    let Some(key) = members.keys().nth(place).cloned() else { return };
    if let Some(value) = members.remove(&key) {
        members.insert(text(rng), value);
    }
}

/// Returns a value of any JSON type.
pub fn any_value(rng: &mut Random) -> Value {
    match rng.random_range(0..10) {
        0 => Value::Null,
        1 => Value::Bool(rng.random()),
        2 => json!(bytes::number(rng)),
        3 => json!(bytes::number(rng).to_string()),
        4 => json!(-(bytes::number(rng) as i64).saturating_abs()),
        5 => json!(rng.random::<f64>() * 1e300),
        6 => json!([]),
        7 => json!({}),
        8 => json!({ text(rng): text(rng) }),
        _ => json!(text(rng)),
    }
}

/// Returns a text, often one that parsers of numbers, addresses, patterns or paths may mishandle.
pub fn text(rng: &mut Random) -> String {
    const TEXTS: [&str; 20] = [
        "",
        " ",
        "a",
        "\0",
        "\u{202e}é\u{1f600}",
        "line\nline",
        "../../etc",
        "{0..9}",
        "x{1..3}-{n}",
        "{n/0}",
        "{0..4294967295}",
        "-5s",
        "18446744073709551615min",
        "99999999999999999999GiB",
        "0",
        "1e9",
        "127.0.0.1:0",
        "[::]:65536",
        "{",
        "null",
    ];
    match rng.random_range(0..12) {
        0 => "long ".repeat(rng.random_range(1..400)),
        1 => String::from_utf8_lossy(&bytes::arbitrary(rng, 30)).into_owned(),
        _ => TEXTS.choose(rng).copied().unwrap_or_default().to_owned(),
    }
}
