//! Decodes malformed bytes and counts the results: `cargo bench -p wire --bench fuzz`.
//!
//! The cases are arbitrary bytes, and frames of every kind that were truncated, mutated, extended
//! or concatenated with another. `CASES` and `SEED` in the environment override the defaults.

#[path = "../tests/common/mod.rs"]
mod common;

use dispatch::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, env, time::Instant};
use wire::{Decoder, Error, Limit, frame};

const CASES: u64 = 400_000;
const SEED: u64 = 1;

fn main() {
    let (cases, seed) = (env_or_default("CASES", CASES), env_or_default("SEED", SEED));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = BTreeMap::<&str, u64>::new();
    let (mut total, started) = (0, Instant::now());
    for _ in 0..cases {
        let bytes = case(&mut rng);
        total += bytes.len();
        *counts.entry(outcome(&bytes)).or_default() += 1;
    }
    println!("{cases} cases, {total} bytes, seed {seed}, {:?}, no panic", started.elapsed());
    counts.iter().for_each(|(outcome, count)| println!("{count:>10}  {outcome}"));
}

fn env_or_default(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn case(rng: &mut ChaCha8Rng) -> Vec<u8> {
    match rng.random_range(0..8) {
        0 => arbitrary(rng),
        1 => framed(&arbitrary(rng)),
        2 => truncated(rng),
        3 => extended(rng),
        4 => concatenated(rng),
        _ => mutated(rng),
    }
}

fn arbitrary(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let length = rng.random_range(0..300);
    (0..length).map(|_| rng.random()).collect()
}

fn framed(body: &[u8]) -> Vec<u8> {
    let length = body.len() as u32 + 1;
    [&length.to_le_bytes(), &[wire::VERSION][..], body].concat()
}

fn valid_frame(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let kind = rng.random_range(0..common::KINDS);
    let message = common::message(kind, rng.random());
    assert_eq!(common::kind(&message), kind);
    let mut bytes = Vec::new();
    frame::append(&message, Limit::default(), &mut bytes).expect("it fits");
    bytes
}

fn truncated(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = valid_frame(rng);
    bytes.truncate(rng.random_range(0..bytes.len()));
    let body = bytes.get(frame::PREFIX_BYTES + 1..).unwrap_or_default();
    if rng.random() { framed(body) } else { bytes }
}

fn extended(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let bytes = valid_frame(rng);
    let extra = arbitrary(rng);
    framed(&[&bytes[frame::PREFIX_BYTES + 1..], &extra].concat())
}

fn concatenated(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let (mut first, second) = (valid_frame(rng), valid_frame(rng));
    first.truncate(rng.random_range(0..=first.len()));
    [first, second].concat()
}

fn mutated(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = valid_frame(rng);
    for _ in 0..rng.random_range(1..6) {
        let place = rng.random_range(0..bytes.len());
        bytes[place] = rng.random();
    }
    bytes
}

fn outcome(bytes: &[u8]) -> &'static str {
    match decode(bytes) {
        Ok(0) => "no whole frame",
        Ok(_) => "decoded",
        Err(Error::Version { .. }) => "other version",
        Err(Error::TooLarge { .. }) => "too large",
        Err(Error::Truncated) => "truncated",
        Err(Error::Malformed) => "malformed",
        Err(Error::Trailing { .. }) => "trailing bytes",
    }
}

fn decode(bytes: &[u8]) -> Result<usize, Error> {
    let mut decoder = Decoder::default();
    let mut count = 0;
    for chunk in bytes.chunks(64) {
        decoder.feed(chunk);
        while decoder.take::<Message>()?.is_some() {
            count += 1;
        }
    }
    Ok(count)
}
