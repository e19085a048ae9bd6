//! Tests of settings whose values a platform fills in. Fractions are accepted and rounded so that no limit is exceeded;
//! any other value is reported with file, section, key, value and what is expected.

use std::time::Duration;

use curlewcleat_config::check_settings;
use rstest::rstest;

/// Returns a complete settings file with these lines added to the section.
fn settings_with(section: &str, lines: &str) -> String {
    let vm = match section {
        "vm" => lines,
        _ => "",
    };
    let other = match section {
        "vm" => String::new(),
        other => format!("[{other}]\n{lines}\n"),
    };
    format!(
        "[vm]\nname = a\ndata_centre = x\n{vm}\n[callers]\naddress = 127.0.0.1:1\n\
         [operators]\naddress = 127.0.0.1:2\n[peers]\naddress = 127.0.0.1:3\n\
         [platform]\naddress = 127.0.0.1:4\n{other}"
    )
}

/// Guards against daemons that exit at their start because the platform gives a fraction for a count, such as
/// 33.1578947368421 for `retry_saved`, a share of a larger deployment's value.
#[rstest]
#[case("33.1578947368421", 33)]
#[case("33", 33)]
#[case("33.0", 33)]
#[case("0.9999", 0)]
#[case("0", 0)]
#[case("1000000", 1_000_000)]
fn fractional_retry_saved_is_rounded_down(#[case] text: &str, #[case] saved: u64) {
    let text = settings_with("bounds", &format!("retry_saved = {text}"));
    let settings = check_settings("daemon.ini", &text).expect("valid settings");
    assert_eq!(settings.bounds.retry_saved, saved);
}

#[rstest]
#[case("0.2", 20)]
#[case("0.29", 29)]
#[case("0.57", 57)]
#[case("0.199", 19)]
#[case("0.005", 0)]
#[case("1", 100)]
fn ratios_are_rounded_down_to_whole_percent(#[case] text: &str, #[case] percent: u64) {
    let lines = format!("retry_ratio = {text}\nrate_overshoot = {text}");
    let settings =
        check_settings("daemon.ini", &settings_with("bounds", &lines)).expect("valid settings");
    assert_eq!((settings.bounds.retry_percent, settings.bounds.rate_percent), (percent, percent));
}

#[rstest]
fn durations_cores_and_slack_accept_fractions() {
    let bounds = "config_age_limit = 5000.5ms\nconfig_apply_limit = 2.5s\nleave_limit = 0.5s\n\
                  stop_limit = 7.25s\nretry_window = 10.5s\nrate_window = 8.5s\n\
                  rate_slack = 7368.42";
    let settings =
        check_settings("daemon.ini", &settings_with("bounds", bounds)).expect("valid settings");
    let bounds = settings.bounds;
    assert_eq!(bounds.config_age_limit, Some(Duration::from_micros(5_000_500)));
    assert_eq!(bounds.config_apply_limit, Duration::from_millis(2_500));
    assert_eq!((bounds.leave_limit, bounds.stop_limit).0, Duration::from_millis(500));
    assert_eq!((bounds.retry_window, bounds.rate_window).1, Duration::from_millis(8_500));
    assert_eq!(bounds.rate_slack, 7_368);
    let vm = settings_with("vm", "cores = 2.0\ncore_share = 0.125\nlink_mbps = 10.5");
    let settings = check_settings("daemon.ini", &vm).expect("valid settings");
    assert_eq!((settings.capacity_percent, settings.link_kbit_per_s), (24, 10_500));
}

#[rstest]
#[case::negative("retry_saved", "-1", "should be a number from 0 to 1000000")]
#[case::barely_negative("retry_saved", "-0.5", "should be a number from 0 to 1000000")]
#[case::huge("retry_saved", "1000001", "should be a number from 0 to 1000000")]
#[case::beyond_all("retry_saved", "1e300", "should be a number from 0 to 1000000")]
#[case::infinite("retry_saved", "inf", "should be a number from 0 to 1000000")]
#[case::no_number("retry_saved", "NaN", "should be a number from 0 to 1000000")]
#[case::text("retry_saved", "many", "should be a number from 0 to 1000000")]
#[case::empty("rate_slack", "", "should be a number from 0 to 1099511627776")]
#[case::negative_slack("rate_slack", "-140000.5", "should be a number from 0 to 1099511627776")]
#[case::negative_ratio("retry_ratio", "-0.2", "should be a ratio such as 0.2")]
#[case::huge_ratio("rate_overshoot", "1e9", "should be a ratio such as 0.2")]
#[case::text_for_ratio("rate_overshoot", "a tenth", "should be a ratio such as 0.2")]
#[case::negative_time("retry_window", "-10s", "should be a time with a unit")]
#[case::time_without_unit("rate_window", "8.5", "should be a time with a unit")]
#[case::endless_time("stop_limit", "99999999999999999999999999s", "should be a time with a unit")]
fn invalid_value_is_reported_with_file_section_key_and_expectation(
    #[case] key: &str,
    #[case] value: &str,
    #[case] expected: &str,
) {
    let text = settings_with("bounds", &format!("{key} = {value}"));
    let report = check_settings("daemon.ini", &text).expect_err("refused").to_string();
    for part in ["daemon.ini", "bounds", key, &format!("'{value}'"), expected] {
        assert!(report.contains(part), "{part} is missing in {report}");
    }
}

#[rstest]
#[case("112MB", 112 << 20)]
#[case("112.0MB", 112 << 20)]
#[case("160.5 MB", (160 << 20) + (512 << 10))]
#[case("1.5GB", 1_536 << 20)]
fn memory_limit_is_read_in_bytes(#[case] text: &str, #[case] bytes: u64) {
    let vm = settings_with("vm", &format!("memory_limit = {text}"));
    let settings = check_settings("daemon.ini", &vm).expect("valid settings");
    assert_eq!(settings.memory_limit, Some(bytes));
}

#[test]
fn missing_memory_limit_sets_none() {
    let settings = check_settings("daemon.ini", &settings_with("vm", "")).expect("valid settings");
    assert_eq!(settings.memory_limit, None);
}

#[rstest]
#[case::no_unit("112")]
#[case::other_unit("112KB")]
#[case::too_small("0.5MB")]
#[case::negative("-112MB")]
#[case::text("muchMB")]
fn unusable_memory_limit_is_reported(#[case] text: &str) {
    let vm = settings_with("vm", &format!("memory_limit = {text}"));
    let problems = check_settings("daemon.ini", &vm).expect_err("invalid settings").to_string();
    assert!(problems.contains("should be a size of 1MB or more"), "{problems}");
}
