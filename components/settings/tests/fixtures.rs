//! Sample folders: valid ones load, invalid ones report every error.

use settings::{Folder, Reason, Report, Severity, daemon::Daemon, load, parse, render};
use site::{policy::Priority, unit::Slots};
use std::{
    fs,
    path::{Path, PathBuf},
};

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fixtures")
}

fn folder(name: &str) -> Folder {
    load(&fixtures().join(name)).unwrap_or_else(|report| panic!("{name}:\n{report}"))
}

fn file_names(dir: &str) -> Vec<String> {
    let entries = fs::read_dir(fixtures().join(dir)).unwrap();
    let mut names: Vec<_> =
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}

/// Returns the text of a report. Paths of fixtures, which reports of daemons contain, are made
/// relative.
fn shown(report: &Report) -> String {
    report.to_string().replace(&*fixtures().to_string_lossy(), "fixtures")
}

#[test]
fn kovacik_has_the_sizes_of_the_site() {
    let Folder { checked, .. } = folder("kovacik");
    assert_eq!(checked.warnings, Report::default());
    let site = checked.site;
    assert_eq!(site.policy.prefer, Priority::ResponseTime);
    assert_eq!((site.data_centres.len(), site.links.len()), (3, 3));
    assert_eq!((site.executors.len(), site.workers.len()), (50, 50));
    assert!(site.services.values().all(|s| s.slots == Slots(8) && s.connections == 64));
}

#[test]
fn clydeside_has_the_sizes_of_the_site() {
    let Folder { checked, .. } = folder("clydeside");
    assert_eq!(checked.warnings, Report::default());
    let site = checked.site;
    assert_eq!(site.policy.prefer, Priority::Messages);
    assert_eq!((site.data_centres.len(), site.links.len()), (4, 6));
    assert_eq!((site.executors.len(), site.workers.len()), (50, 50));
    assert_eq!((site.firms.len(), site.contracts.len()), (3, 7));
    let tag = site.services.values().find(|service| service.name == "bale-tag").unwrap();
    assert!(!tag.repeatable);
}

#[test]
fn rendered_settings_are_equivalent() {
    for name in ["kovacik", "clydeside"] {
        let site = folder(name).checked.site;
        let text = render(&site).to_string();
        let files = [("all.json".into(), text.into())].into();
        assert_eq!(parse(&files).unwrap().site, site, "{name}");
    }
}

#[test]
fn bad_folders_report_every_error() {
    for case in file_names("bad") {
        let (report, rejected) = match load(&fixtures().join("bad").join(&case)) {
            Ok(folder) => (folder.checked.warnings, false),
            Err(report) => (report, true),
        };
        let errors = report.findings.iter().any(|finding| finding.severity() == Severity::Error);
        assert_eq!(errors, rejected, "{case}");
        assert!(!report.findings.is_empty(), "{case}");
        insta::assert_snapshot!(case, shown(&report));
    }
}

#[test]
fn the_sample_daemon_loads() {
    let daemon = Daemon::load(&fixtures().join("daemon.json")).unwrap();
    assert_eq!((&*daemon.name, daemon.platform.len()), ("cut-entry-1", 2));
}

#[test]
fn bad_daemons_report_every_error() {
    for case in file_names("bad-daemon") {
        let report = Daemon::load(&fixtures().join("bad-daemon").join(&case)).unwrap_err();
        insta::assert_snapshot!(format!("daemon-{case}"), shown(&report));
    }
}

#[test]
fn a_file_that_is_too_large_is_not_read_completely() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("too-large");
    fs::create_dir_all(&dir).unwrap();
    // A sparse file: takes no space on the disk.
    fs::File::create(dir.join("10-large.json")).unwrap().set_len(1 << 40).unwrap();
    let report = load(&dir).unwrap_err();
    assert!(matches!(report.findings[0].reason, Reason::LargeFile { .. }));
}

#[test]
fn a_missing_folder_is_reported() {
    let report = load(&fixtures().join("none")).unwrap_err();
    assert!(matches!(report.findings[0].reason, Reason::Read { .. }));
}

/// Every example of the manual can be added to a sample folder.
#[test]
fn the_examples_of_the_manual_are_valid() {
    let manual = fs::read_to_string(fixtures().join("../docs/SETTINGS.md")).unwrap();
    let examples: Vec<_> = manual
        .split("```json\n")
        .skip(1)
        .map(|rest| rest.split_once("```").unwrap().0.to_owned())
        .collect();
    assert_eq!(examples.len(), 4);
    for example in examples {
        let mut files = folder("kovacik").files;
        files.insert("99-example.json".into(), example.clone().into());
        let checked = parse(&files).unwrap_or_else(|report| panic!("{example}\n{report}"));
        assert_eq!(checked.warnings, Report::default(), "{example}");
    }
}
