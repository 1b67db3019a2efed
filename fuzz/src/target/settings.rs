//! Targets for settings: the folder of a site and the file of a daemon.

use super::Target;
use crate::{Finding, Outcome, Random, bytes, json};
use rand::Rng;
use serde_json::Value;
use settings::{Files, daemon::Daemon, diff, parse, read, render};
use std::path::Path;

/// Largest growth of the heap for one folder, in bytes.
const FOLDER_HEAP_BOUND: usize = 2 << 20;

/// Largest growth of the heap for one file of a daemon, in bytes.
const DAEMON_HEAP_BOUND: usize = 256 << 10;

const SITES: [&str; 2] = ["clydeside", "kovacik"];

const DAEMON: &str = include_str!("../../../fixtures/daemon.json");

/// Folders of site settings. A case holds the names and texts of the files.
#[derive(Debug)]
pub struct Directories {
    valid: Vec<Files>,
}

impl Default for Directories {
    fn default() -> Directories {
        let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fixtures");
        let site = |name| read(&fixtures.join(name)).expect("the sample sites are valid");
        Directories { valid: SITES.into_iter().map(site).collect() }
    }
}

type Case = Vec<(String, Vec<u8>)>;

impl Target for Directories {
    fn name(&self) -> &'static str {
        "settings"
    }

    fn heap_bound(&self) -> usize {
        FOLDER_HEAP_BOUND
    }

    fn generate(&mut self, rng: &mut Random) -> Vec<u8> {
        let valid = &self.valid[rng.random_range(0..self.valid.len())];
        let mut case: Case =
            valid.iter().map(|(name, text)| (name.to_string(), text.to_vec())).collect();
        for _ in 0..rng.random_range(1..=2) {
            mutate(&mut case, rng);
        }
        postcard::to_stdvec(&case).expect("texts can always be written")
    }

    fn run(&mut self, case: &[u8]) -> Outcome {
        let Ok(case) = postcard::from_bytes::<Case>(case) else { return Ok("no case".into()) };
        let files: Files =
            case.into_iter().map(|(name, text)| (name.into(), text.into())).collect();
        for valid in &self.valid {
            let _ = diff(valid, &files);
        }
        match parse(&files) {
            Ok(checked) => {
                let text = render(&checked.site).to_string();
                let again = parse(&[("all.json".into(), text.into())].into());
                match again.map(|again| again.site) {
                    Ok(site) if site == checked.site => Ok("accepted".into()),
                    other => Err(Finding::Broken {
                        property: "accepted settings are the same when written and read again",
                        detail: format!("{other:?}").chars().take(2_000).collect(),
                    }),
                }
            }
            Err(report) if report.findings.is_empty() => Err(Finding::Broken {
                property: "a rejection has at least one finding",
                detail: report.to_string(),
            }),
            Err(report) => {
                let _ = report.to_string();
                Ok("refused".into())
            }
        }
    }
}

fn mutate(case: &mut Case, rng: &mut Random) {
    let place = rng.random_range(0..case.len());
    match rng.random_range(0..10) {
        0 if case.len() > 1 => drop(case.remove(place)),
        1 => {
            let (_, text) = case[place].clone();
            case.push((format!("{}.json", json::text(rng)), text));
        }
        2 => case.push(("99-more.json".into(), bytes::arbitrary(rng, 200))),
        3..=5 => bytes::mutate(&mut case[place].1, rng),
        _ => {
            if let Ok(mut value) = serde_json::from_slice::<Value>(&case[place].1) {
                json::mutate(&mut value, rng);
                case[place].1 = serde_json::to_vec(&value).unwrap_or_default();
            }
        }
    }
}

/// Settings files of daemons. A case is the text.
#[derive(Debug)]
pub struct Daemons;

impl Target for Daemons {
    fn name(&self) -> &'static str {
        "daemon"
    }

    fn heap_bound(&self) -> usize {
        DAEMON_HEAP_BOUND
    }

    fn generate(&mut self, rng: &mut Random) -> Vec<u8> {
        if rng.random_ratio(1, 20) {
            return bytes::arbitrary(rng, 300);
        }
        if rng.random_ratio(1, 3) {
            let mut text = DAEMON.as_bytes().to_vec();
            bytes::mutate(&mut text, rng);
            return text;
        }
        json::mutated_text(serde_json::from_str(DAEMON).unwrap_or_default(), rng)
    }

    fn run(&mut self, case: &[u8]) -> Outcome {
        match Daemon::parse("daemon.json".into(), case.to_vec().into()) {
            Ok(daemon) => {
                let text = serde_json::to_vec(&daemon).unwrap_or_default();
                match Daemon::parse("daemon.json".into(), text.into()) {
                    Ok(again) if again == daemon => Ok("accepted".into()),
                    other => Err(Finding::Broken {
                        property: "accepted settings are the same when written and read again",
                        detail: format!("{other:?}"),
                    }),
                }
            }
            Err(report) if report.findings.is_empty() => Err(Finding::Broken {
                property: "a rejection has at least one finding",
                detail: report.to_string(),
            }),
            Err(report) => {
                let _ = report.to_string();
                Ok("refused".into())
            }
        }
    }
}
