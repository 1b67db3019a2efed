//! Merging of files, numbered names, differences and limits.

use settings::{
    Change, ChangeKind, Digest, Files, Path, Reason, Report, Section, collisions, diff, digest,
    limit, parse,
};
use site::{Site, id::EndpointId, unit::Slots};

const BASE: &str = r#"{
  "data-centres": { "north": { "region": "home" } },
  "services": { "check": { "slots": 4 } },
  "executors": {
    "n-{08..11}": { "data-centre": "north", "address": "10.0.0.255+:7001", "service": "check" }
  },
  "workers": {
    "w-{1..5}": {
      "data-centre": "north",
      "rack": "r{n/2}",
      "address": "[fd00::1]:7001+",
      "cores": "1500m",
      "memory": "8GiB"
    }
  }
}"#;

fn files(texts: &[&str]) -> Files {
    let name = |(i, text): (usize, &&str)| (format!("{i:02}.json").into(), text.to_string().into());
    texts.iter().enumerate().map(name).collect()
}

fn site(texts: &[&str]) -> Site {
    parse(&files(texts)).unwrap_or_else(|report| panic!("{report}")).site
}

fn report_of(files: &Files) -> Report {
    parse(files).expect_err("must be rejected")
}

fn reasons(files: &Files) -> Vec<Reason> {
    report_of(files).findings.into_iter().map(|finding| finding.reason).collect()
}

#[test]
fn numbered_names_expand_to_names_addresses_and_groups() {
    let site = site(&[BASE]);
    let executor = |name| site.executors[&EndpointId::of(name)].address.to_string();
    assert_eq!(executor("n-08"), "10.0.0.255:7001");
    assert_eq!(executor("n-11"), "10.0.1.2:7001");
    let worker = |name| &site.workers[&EndpointId::of(name)];
    assert_eq!(worker("w-5").address.to_string(), "[fd00::1]:7005");
    let racks: Vec<_> = ["w-1", "w-2", "w-3", "w-5"].map(|name| worker(name).rack.as_str()).into();
    assert_eq!(racks, ["r1", "r1", "r2", "r3"]);
}

#[test]
fn a_later_file_overrides_single_fields() {
    let site = site(&[
        BASE,
        r#"{ "executors": { "n-09": { "leaving": true }, "n-{10..11}": { "slots": 2 } } }"#,
        r#"{ "executors": { "n-11": { "slots": null } } }"#,
    ]);
    let executor = |name| {
        let executor = &site.executors[&EndpointId::of(name)];
        (executor.leaving, executor.slots)
    };
    assert_eq!(executor("n-08"), (false, None));
    assert_eq!(executor("n-09"), (true, None));
    assert_eq!(executor("n-10"), (false, Some(Slots(2))));
    assert_eq!(executor("n-11"), (false, None));
}

#[test]
fn null_removes_objects_and_sections() {
    let ranged = site(&[BASE, r#"{ "executors": { "n-{08..10}": null }, "workers": null }"#]);
    assert_eq!((ranged.executors.len(), ranged.workers.len()), (1, 0));
}

#[test]
fn a_reverted_change_has_no_effect() {
    let change = r#"{ "services": { "check": { "slots": 9 } } }"#;
    assert_ne!(site(&[BASE, change]), site(&[BASE]));
    assert_eq!(site(&[BASE, "{}"]), site(&[BASE]));
}

#[test]
fn differences_are_listed_by_file_object_and_field() {
    let old = files(&[BASE, r#"{ "policy": { "prefer": "messages" } }"#]);
    let mut new = files(&[
        BASE,
        r#"{ "executors": { "n-08": null, "n-09": { "leaving": true } } }"#,
        r#"{ "services": { "check": { "slots": 9, "needs": { "cores": "1" } } } }"#,
    ]);
    let shown: Vec<_> = diff(&old, &new).iter().map(Change::to_string).collect();
    insta::assert_snapshot!("diff", shown.join("\n"));
    assert!(diff(&old, &old).is_empty());
    new.remove("00.json");
    let gone = Change::Object {
        section: Section::DataCentres,
        name: "north".into(),
        step: ChangeKind::Removed,
    };
    assert!(diff(&old, &new).contains(&gone));
}

#[test]
fn a_finding_has_its_line_and_column_in_characters() {
    let report =
        report_of(&files(&["{\n  \"firms\": { \"é\": {}, \"a\": {\"weight\": \"é\"} }\n}"]));
    let locations: Vec<_> = report.findings.into_iter().map(|finding| finding.location).collect();
    assert_eq!((locations[0].line, locations[0].column), (2, 14));
    assert_eq!((locations[1].line, locations[1].column), (2, 39));
    assert_eq!(locations[1].path, Path::of(["firms", "a", "weight"]));
}

#[test]
fn limits_are_enforced() {
    let large = " ".repeat(limit::MAX_FILE_BYTES + 1);
    assert!(matches!(reasons(&files(&[&large]))[..], [Reason::LargeFile { .. }]));

    let many: Files =
        (0..=limit::MAX_FILES).map(|i| (format!("{i}.json").into(), "{}".into())).collect();
    assert!(matches!(reasons(&many)[..], [Reason::ManyFiles { .. }]));

    let full = " ".repeat(limit::MAX_FILE_BYTES);
    let folder = files(&[&*full; limit::MAX_FOLDER_BYTES / limit::MAX_FILE_BYTES + 1]);
    assert!(matches!(reasons(&folder)[..], [Reason::LargeFolder { .. }]));

    let objects = r#"{ "executors": { "a-{1..10000}": {"leaving": true, "slots": 1} } }"#;
    assert!(reasons(&files(&[objects; 11])).contains(&Reason::ManyValues));

    let named = [("20-services".into(), "{}".into()), ("../x.json".into(), "{}".into())].into();
    assert_eq!(reasons(&named), [Reason::FileName, Reason::FileName]);
}

#[test]
fn a_report_is_bounded() {
    let report = report_of(&files(&[r#"{ "executors": { "a-{1..300}": { "x": 1 } } }"#]));
    assert_eq!(report.findings.len(), limit::MAX_FINDINGS);
    // Each executor lacks three fields and has an unknown one.
    assert_eq!(report.findings.len() + report.omitted, 300 * 4);
}

#[test]
fn names_with_the_same_identifier_are_found() {
    let length = |name: &str| name.len() as u64;
    assert_eq!(collisions(["a", "bb", "cc", "bb"], length), [("cc", "bb")]);
    assert!(collisions(["a", "a"], length).is_empty());
}

#[test]
fn digests_have_a_unique_text_form() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(digest(b"").to_string(), empty);
    assert_eq!(empty.parse(), Ok(digest(b"")));
    for bad in [&empty[1..], &empty.to_uppercase(), &"é".repeat(32)] {
        assert!(bad.parse::<Digest>().is_err(), "{bad}");
    }
}
