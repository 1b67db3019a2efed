//! Random changes to byte strings.

use crate::Random;
use rand::{Rng, seq::IndexedRandom};

/// Byte sequences that parsers of text often mishandle.
const PIECES: [&[u8]; 32] = [
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"\0",
    b"\x7f",
    b"\xff\xfe",
    b"\xed\xa0\x80",
    b"\xc3",
    "é".as_bytes(),
    "\u{202e}".as_bytes(),
    "\u{1f600}".as_bytes(),
    b"\\ud800",
    b"\\u0000",
    b"\"",
    b"{",
    b"}",
    b"[",
    b"]",
    b":",
    b",",
    b"null",
    b"-1",
    b"1e999",
    b"18446744073709551615",
    b"18446744073709551616",
    b"9223372036854775808",
    b"4294967296",
    b"FFFFFFFFFFFFFFFF",
    b"%00",
    b"{0..99999999}",
    b"{n/0}",
    b" ",
];

/// Levels of nested JSON arrays or objects that [`nest`] inserts.
const NESTING_DEPTH: usize = 3_000;

/// Changes `bytes` in one to four places.
pub fn mutate(bytes: &mut Vec<u8>, rng: &mut Random) {
    for _ in 0..rng.random_range(1..=4) {
        change(bytes, rng);
    }
}

fn change(bytes: &mut Vec<u8>, rng: &mut Random) {
    let at = rng.random_range(0..=bytes.len());
    let end = bytes.len().min(at + rng.random_range(0..40));
    match rng.random_range(0..9) {
        0 => bytes.truncate(at),
        1 => drop(bytes.drain(at..end)),
        2 => {
            let part = bytes[at..end].to_vec();
            drop(bytes.splice(at..at, part));
        }
        3 | 4 if at < bytes.len() => bytes[at] = rng.random(),
        5 if at < bytes.len() => bytes[at] ^= 1 << rng.random_range(0..8),
        6 => nest(bytes, at, rng),
        _ => {
            let piece = PIECES.choose(rng).copied().unwrap_or_default();
            drop(bytes.splice(at..end.min(at + 3), piece.iter().copied()));
        }
    }
}

/// Inserts deeply nested JSON in one of 20 calls: the text is long, and most such texts make a
/// parser stop in the same way.
fn nest(bytes: &mut Vec<u8>, at: usize, rng: &mut Random) {
    if !rng.random_ratio(1, 20) {
        return;
    }
    let open: &[u8] = if rng.random() { b"[" } else { b"{\"a\":" };
    drop(bytes.splice(at..at, open.repeat(NESTING_DEPTH)));
}

/// Returns up to `max_len` random bytes.
pub fn arbitrary(rng: &mut Random, max_len: usize) -> Vec<u8> {
    let length = rng.random_range(0..=max_len);
    (0..length).map(|_| rng.random()).collect()
}

/// Returns a number of any size, often the smallest or largest value of an integer type or one next
/// to it.
pub fn number(rng: &mut Random) -> u64 {
    const EDGES: [u64; 10] = [
        0,
        1,
        u8::MAX as u64,
        u16::MAX as u64,
        u32::MAX as u64 - 1,
        u32::MAX as u64,
        u32::MAX as u64 + 1,
        i64::MAX as u64,
        u64::MAX - 1,
        u64::MAX,
    ];
    match rng.random_range(0..3) {
        0 => EDGES.choose(rng).copied().unwrap_or_default(),
        1 => rng.random_range(0..10),
        _ => rng.random::<u64>() >> rng.random_range(0..64),
    }
}
