//! Tests that reading any files gives a valid configuration or a report of their problems, and that the store of a
//! daemon accepts valid configurations of higher generations only.

use std::collections::BTreeMap;

use curlewcleat_config::{check_files, check_settings, parse_manifest, ConfigStore, OfferResult};
use curlewcleat_core::ConfigBundle;
use proptest::prelude::*;
use rstest::rstest;

fn bundle(generation: u64, text: &str) -> ConfigBundle {
    ConfigBundle { generation, files: BTreeMap::from([("a.ini".to_string(), text.to_string())]) }
}

fn line() -> impl Strategy<Value = String> {
    prop_oneof![
        "\\[(tier|account|pool|target|rule|x) [a-z]{0,3}\\]",
        "(rank|kind|path|pool|tier|token_sha256|slots|deadline|weight) ?= ?[a-z0-9/*=;\"]{0,8}",
        ".{0,12}",
    ]
}

proptest! {
    #[test]
    fn any_text_is_valid_or_has_problems_and_never_panics(lines in prop::collection::vec(line(), 0..20)) {
        let files = BTreeMap::from([("a.ini".to_string(), lines.join("\n"))]);
        if let Err(report) = check_files(1, &files) {
            prop_assert!(!report.problems.is_empty());
        }
        prop_assert!(check_settings("a.ini", &lines.join("\n")).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_no_manifest_and_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(parse_manifest(&bytes).is_err());
    }

    #[test]
    fn store_accepts_higher_generations_only(generations in prop::collection::vec(1u64..20, 1..30)) {
        let mut store = ConfigStore::default();
        let mut highest = 0;
        for generation in generations {
            let change = store.offer(bundle(generation, "[tier t]\nrank = 0\n"));
            prop_assert_eq!(change == OfferResult::Accepted, generation > highest);
            highest = highest.max(generation);
            prop_assert_eq!(store.generation(), highest);
        }
    }
}

/// Contents of a file. Some fail the checks by themselves; some are valid only together with others.
const TEXTS: [&str; 6] = [
    "[tier t]\nrank = 0\n",
    "[tier u]\nrank = 1\n[tier t]\nrank = 0\n",
    "[pool p]\nkind = service\n",
    "[rule r]\npath = /x\ntier = t\npool = p\n",
    "[rule s]\npath = /y\ntier = u\npool = p\n",
    "[tier t]\nrank = x\n",
];

proptest! {
    /// Guards against stale results: the store reuses the check of an unchanged file, and must give the same
    /// configuration or report as a check of all files.
    #[test]
    fn reused_file_checks_give_the_same_result_as_checking_all_files(
        offers in prop::collection::vec(
            prop::collection::btree_map("[abc]", prop::sample::select(&TEXTS[..]), 0..4), 1..12)
    ) {
        let mut store = ConfigStore::default();
        for (generation, texts) in (1..).zip(offers) {
            let texts = texts.into_iter().map(|(name, text)| (name, text.to_string()));
            let bundle = ConfigBundle { generation, files: texts.collect() };
            let checked = check_files(generation, &bundle.files);
            match (store.offer(bundle), checked) {
                (OfferResult::Accepted, Ok(config)) => prop_assert_eq!(&*store.active(), &config),
                (OfferResult::Invalid(stored), Err(report)) => prop_assert_eq!(stored, report),
                other => prop_assert!(false, "{:?}", other),
            }
        }
    }
}

#[test]
fn invalid_configuration_leaves_the_earlier_one_in_force() {
    let mut store = ConfigStore::default();
    store.offer(bundle(1, "[tier t]\nrank = 0\n"));
    assert!(matches!(store.offer(bundle(2, "[tier t]\nrank = x\n")), OfferResult::Invalid(_)));
    assert_eq!(store.generation(), 1);
}

#[rstest]
#[case::no_unit("5")]
#[case::unknown_unit("5d")]
#[case::zero("0s")]
#[case::negative("-5s")]
#[case::too_large("99999999999999999999h")]
#[case::overflow("18446744073709551615h")]
fn invalid_duration_is_reported_with_its_key(#[case] time: &str) {
    let text = format!("[tier t]\nrank = 0\ndeadline = {time}\n");
    let report = check_files(1, &BTreeMap::from([("a.ini".to_string(), text)]))
        .expect_err("invalid duration");
    assert_eq!(report.problems[0].key, "deadline");
}

#[test]
fn oversized_file_is_reported_and_not_parsed() {
    let text = format!("[tier t]\nrank = 0\n; {}\n", "x".repeat(1_000_000));
    let report =
        check_files(1, &BTreeMap::from([("big.ini".to_string(), text)])).expect_err("too large");
    assert_eq!(report.problems.len(), 1);
    assert!(
        report.problems[0].to_string().contains("bytes; at most 1000000 are allowed"),
        "{report}"
    );
}

/// Values for the placeholders of the deployment's settings template.
const TEMPLATE_VALUES: [(&str, &str); 25] = [
    ("{{node_name}}", "front-1"),
    ("{{zone}}", "here"),
    ("{{listen.front}}", "10.0.0.1:1"),
    ("{{listen.ready}}", "10.0.0.1:2"),
    ("{{listen.control}}", "10.0.0.1:3"),
    ("{{seeds}}", "10.0.0.1:3,10.0.0.2:3"),
    ("{{provider.address}}", "10.0.0.9:4"),
    ("{{bounds.revoke_ms}}", "5000"),
    ("{{bounds.config_apply_ms}}", "2000"),
    ("{{bounds.drain_ms}}", "3000"),
    ("{{bounds.evac_ms}}", "4000"),
    ("{{limits.cores}}", "2"),
    ("{{limits.cpu_share}}", "0.25"),
    ("{{limits.link_mbps}}", "10.0"),
    ("{{limits.memory_mb}}", "112"),
    ("{{bounds.grace_s}}", "8"),
    ("{{bounds.retry_budget_ratio}}", "0.2"),
    ("{{bounds.budget_slack}}", "52"),
    ("{{bounds.budget_window_s}}", "10"),
    ("{{bounds.quota_overshoot}}", "0.1"),
    ("{{bounds.quota_slack}}", "140000"),
    ("{{bounds.quota_window_s}}", "9"),
    ("{{bounds.expose_share}}", "0.1"),
    ("{{bounds.expose_slack}}", "50"),
    ("{{internal_port_range.0}}", "7600"),
];

/// Returns the deployment's settings template with its placeholders filled. Without `bounds`, the optional lines are
/// left out, as for a platform that gives no bounds.
fn fill_template(bounds: bool) -> String {
    let template = include_str!("../../../deploy/daemon.ini");
    let mut text = String::new();
    for line in template.lines() {
        let Some(rest) = line.strip_prefix("{{#") else {
            text.push_str(&format!("{line}\n"));
            continue;
        };
        if bounds {
            let begin = rest.find("}}").map_or(0, |end| end + 2);
            let end = rest.find("{{/").unwrap_or(rest.len());
            text.push_str(&format!("{}\n", &rest[begin..end]));
        }
    }
    TEMPLATE_VALUES.iter().fold(text, |text, (placeholder, value)| text.replace(placeholder, value))
}

#[test]
fn deployed_settings_are_valid_with_and_without_bounds_of_the_platform() {
    let all = check_settings("daemon.ini", &fill_template(true)).expect("valid settings");
    assert_eq!(all.bounds.config_age_limit, Some(std::time::Duration::from_secs(5)));
    assert_eq!((all.bounds.retry_percent, all.bounds.retry_saved), (20, 52));
    assert_eq!((all.bounds.rate_percent, all.bounds.rate_slack), (10, 140_000));
    let rollout = all.bounds.rollout.expect("bounds of rollouts");
    assert_eq!((rollout.share_permille, rollout.slack), (100, 50));
    assert_eq!(all.bounds.leave_limit, std::time::Duration::from_secs(3));
    assert_eq!(all.bounds.evacuation_limit, Some(std::time::Duration::from_secs(4)));
    assert_eq!(all.bounds.rate_window, std::time::Duration::from_secs(9));
    assert_eq!((all.capacity_percent, all.link_kbit_per_s), (50, 10_000));
    assert_eq!(all.memory_limit, Some(112 << 20));
    assert_eq!(all.seeds.len(), 2);
    assert_eq!(all.relay_port, Some(7_600));
    let none = check_settings("daemon.ini", &fill_template(false)).expect("valid settings");
    assert_eq!(none.bounds, curlewcleat_config::FleetBounds::default());
    assert_eq!(none.memory_limit, None);
}
