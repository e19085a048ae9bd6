//! Tests of the reconstruction from logs with missing daemons, truncated lines and clocks that differ.

use curlewcleat_core::RefusalReason;
use curlewcleat_explain::MergedLog;
use rstest::rstest;

fn line(at: u64, event: &str, fields: &str) -> String {
    format!("{{\"level\":\"info\",\"timestamp\":{at},\"payload\":\"{event}\",\"kv\":{{{fields}}},\"tid\":1}}\n")
}

fn request(more: &str) -> String {
    format!("\"request\":\"r1\",\"attempt\":\"a1\",{more}")
}

#[rstest]
#[case::by_system_id("r1")]
#[case::by_caller_id("a1")]
fn stale_configuration_is_explained_by_the_failed_call_of_the_store(#[case] id: &str) {
    let mut log = MergedLog::default();
    let text =
        line(1_000, "platform_call_failed", "\"call\":\"read_config\",\"error\":\"no answer\"")
            + &line(
                6_000,
                "request_refused",
                &request("\"reason\":\"configuration_stale\",\"may_have_run\":false,\"held_ms\":0"),
            );
    log.add_log("vm-1.log", &text);
    let timeline = log.request_timeline(id).expect("a timeline");
    assert_eq!(timeline.outcome, "refused (configuration_stale); it did not run");
    assert!(
        timeline.cause.text.contains("lost the platform's store")
            && timeline.cause.text.contains("no answer")
    );
    assert!(timeline.cause.page.contains("Platform lost"));
    assert_eq!(timeline.steps.len(), 2);
}

#[test]
fn served_request_lists_failed_attempts_in_order_of_time() {
    let mut log = MergedLog::default();
    let text =
        line(5_000, "attempt_failed", &request("\"target\":\"i-1\",\"reason\":\"stream_resumed\""))
            + &line(4_900, "pool_waits", "\"pool\":\"p\",\"waiting\":12")
            + &line(
                6_000,
                "request_served",
                &request("\"target\":\"i-2\",\"attempts\":2,\"end_ms\":1500"),
            );
    log.add_log("vm-1.log", &text);
    let timeline = log.request_timeline("r1").expect("a timeline");
    assert_eq!(timeline.outcome, "served");
    assert!(timeline.cause.text.contains("1 failed attempt(s), the last at i-1"));
    let events: Vec<&str> = timeline.steps.iter().map(|step| step.event.as_str()).collect();
    assert_eq!(events, ["pool_waits", "attempt_failed", "request_served"]);
}

#[test]
fn truncated_line_is_counted_and_missing_end_is_reported() {
    let mut log = MergedLog::default();
    let whole =
        line(5_000, "attempt_failed", &request("\"target\":\"i-1\",\"reason\":\"target_closed\""));
    log.add_log("vm-1.log", &format!("{whole}{{\"level\":\"info\",\"timest"));
    let timeline = log.request_timeline("r1").expect("a timeline");
    assert!(timeline.outcome.contains("no end in these logs"));
    assert!(timeline.cause.text.contains("interrupted after a failed attempt at i-1"));
    assert_eq!(log.unreadable(), 1);
    assert!(log.request_timeline("r2").is_none() && log.request_timeline("").is_none());
}

#[test]
fn state_changes_of_other_daemons_and_earlier_times_are_left_out() {
    let mut log = MergedLog::default();
    log.add_log(
        "vm-1.log",
        &line(
            100_000,
            "request_refused",
            &request("\"reason\":\"draining\",\"may_have_run\":false"),
        ),
    );
    log.add_log("vm-1.log", &line(50_000, "drain_begun", ""));
    log.add_log("vm-1.log", &line(99_000, "drain_closing", ""));
    // Another daemon's clock may differ, so its state changes are shown only if its log has a line of the request. This
    // log has none.
    log.add_log("vm-2.log", &line(99_500, "started", "\"vm\":\"vm-2\""));
    let timeline = log.request_timeline("r1").expect("a timeline");
    let events: Vec<&str> = timeline.steps.iter().map(|step| step.event.as_str()).collect();
    assert_eq!(events, ["drain_closing", "request_refused"]);
}

#[test]
fn daemons_that_share_a_file_are_distinguished_by_the_prefix_of_the_line() {
    let mut log = MergedLog::default();
    let text = format!(
        "   1.5 front-1 {}   1.6 front-2 {}",
        line(1_500, "started", "\"vm\":\"x\""),
        line(1_600, "request_refused", &request("\"reason\":\"no_rule\",\"may_have_run\":false"))
    );
    log.add_log("", &text);
    let timeline = log.request_timeline("a1").expect("a timeline");
    assert_eq!(timeline.steps.len(), 1);
    assert_eq!(timeline.steps[0].source, "front-2");
    assert!(timeline.to_text().contains("no route has this host and path"));
}

#[test]
fn every_refusal_reason_has_a_cause_and_an_existing_section() {
    let pages = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let pages = std::fs::read_to_string(pages).expect("the operators' page");
    let sections: Vec<&str> = pages.lines().filter(|line| line.starts_with('#')).collect();
    for reason in RefusalReason::ALL {
        let mut log = MergedLog::default();
        let fields = format!("\"reason\":\"{}\",\"may_have_run\":false", reason.code());
        log.add_log("vm-1.log", &line(1_000, "request_refused", &request(&fields)));
        let cause = log.request_timeline("r1").expect("a timeline").cause;
        assert!(
            !cause.text.contains("unknown to this version"),
            "{}: {}",
            reason.code(),
            cause.text
        );
        let section = cause.page.trim_start_matches("docs/OPERATIONS.md, ");
        let known = sections.iter().any(|line| line.trim_start_matches(['#', ' ']) == section);
        assert!(known, "{}: no section {section}", reason.code());
    }
}

/// Guards against a cause without the unusable list entries: the daemon that reads the platform logs them, long before
/// another daemon refuses a request for lack of that target.
#[rstest]
#[case::still_unusable("", "unusable list entries of targets: 1, the last i-7 (address)")]
#[case::usable_again("entry_fault_ended", "")]
fn refusal_for_lack_of_targets_names_unusable_list_entries(
    #[case] later: &str,
    #[case] expected: &str,
) {
    let fields = "\"kind\":\"target\",\"entry\":\"i-7\",\"reason\":\"address\"";
    let mut logged = line(1_000, "entry_unusable", fields);
    if !later.is_empty() {
        logged += &line(2_000, later, "\"kind\":\"target\",\"entry\":\"i-7\"");
    }
    let mut log = MergedLog::default();
    log.add_log("reader.log", &logged);
    let refused = request("\"reason\":\"no_target\",\"may_have_run\":false,\"held_ms\":0");
    log.add_log("vm-1.log", &line(90_000, "request_refused", &refused));
    let cause = log.request_timeline("r1").expect("a timeline").cause.text;
    assert!(cause.contains(expected), "{cause}");
    assert_eq!(cause.contains("i-7"), later.is_empty(), "{cause}");
}

/// The line of the refused request names its parts in their short form; only one of them is the reason.
#[test]
fn refusal_for_a_part_of_the_prompt_names_the_targets_that_terminated() {
    let mut log = MergedLog::default();
    let lethal = |kind: &str, digest: &str, targets: &str| {
        let fields =
            format!("\"kind\":\"{kind}\",\"digest\":\"{digest}\",\"targets\":\"{targets}\"");
        line(5_000, "request_lethal", &fields)
    };
    let refused =
        "\"reason\":\"request_lethal\",\"may_have_run\":false,\"held_ms\":0,\"digest\":\"ff\",\
                   \"prompt_parts\":\"aa11 bb22\"";
    let text = lethal("part", "bb22cc", "i-1 i-2 i-3 i-4")
        + &lethal("request", "dd44", "i-8")
        + &line(6_000, "request_refused", &request(refused));
    log.add_log("vm-1.log", &text);
    let timeline = log.request_timeline("r1").expect("a timeline");
    let cause = timeline.cause.text;
    assert!(
        cause.contains("a part of its prompt, digest bb22cc, targets i-1 i-2 i-3 i-4"),
        "{cause}"
    );
}
