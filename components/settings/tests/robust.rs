//! No input makes the checks panic, and settings are accepted completely or rejected.

use proptest::{collection::vec, prelude::*, sample::Index, test_runner::RngSeed};
use settings::{Files, daemon::Daemon, diff, parse, read, render};
use std::path::Path;

const CASES: u32 = 256;
const SEED: u64 = 0x5e77_1695;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fixture(name: &str) -> Files {
    read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fixtures").join(name)).unwrap()
}

/// Fragments of JSON and numbered names.
const FRAGMENTS: [&str; 16] = [
    "null", "{", "}", "[", "]", "\"", ",", ":", "-1", "1e999", "{n/0}", "{0..9}", "+", "0",
    "\\u00", "é",
];

/// Replaces some bytes of `text` by fragments.
fn mutate(text: &[u8], edits: &[(Index, usize, Index)]) -> Vec<u8> {
    let mut text = text.to_vec();
    for (at, length, fragment) in edits {
        let start = at.index(text.len() + 1);
        let end = (start + length).min(text.len());
        text.splice(start..end, fragment.get(&FRAGMENTS).bytes());
    }
    text
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_never_panic(text in vec(any::<u8>(), 0..200)) {
        let files = [("a.json".into(), text.clone().into())].into();
        let _ = parse(&files);
        let _ = diff(&files, &Files::new());
        let _ = Daemon::parse("a.json".into(), text.into());
    }

    #[test]
    fn mutated_folders_are_accepted_completely_or_rejected(
        file in any::<Index>(),
        edits in vec((any::<Index>(), 0..12usize, any::<Index>()), 1..4),
    ) {
        let good = fixture("clydeside");
        let mut files = good.clone();
        let names: Vec<_> = files.keys().cloned().collect();
        let name = file.get(&names);
        let text = mutate(&files[name], &edits);
        files.insert(name.clone(), text.into());
        let _ = diff(&good, &files);
        match parse(&files) {
            Ok(checked) => {
                let all = [("all.json".into(), render(&checked.site).to_string().into())].into();
                prop_assert_eq!(parse(&all).map(|all| all.site), Ok(checked.site));
            }
            Err(report) => prop_assert!(!report.findings.is_empty()),
        }
    }
}
