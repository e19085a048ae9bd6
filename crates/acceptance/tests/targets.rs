//! Targets with every fault that the stand-ins can simulate: callers receive true verdicts, and no request runs twice.

use anyhow::Result;
use curlewcleat_acceptance::{configuration, ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerOutcome, CallerRecord};
use curlewcleat_standins::deployment::{get_text, wait_until, Deployment};
use curlewcleat_standins::verdicts::{disagreements, read_ledgers};
use rstest::rstest;
use serde_json::{json, Value};

fn unlock(nonce: &str) -> CallerCall {
    CallerCall::service("/v1/sessions/unlock", DRIVERS, nonce)
}

fn ask(nonce: &str) -> CallerCall {
    CallerCall::engine("/v1/assistant/ask", DEPOTS, nonce, "how much", 20)
}

/// Returns the reason of a refusal and whether the request may have run.
fn refusal(record: &CallerRecord) -> (String, bool) {
    match &record.outcome {
        CallerOutcome::Refused { reason, may_have_run, .. } => (reason.clone(), *may_have_run),
        other => panic!("{}: {other:?}", record.nonce),
    }
}

/// Returns the number of requests that ran at the targets.
async fn runs(fleet: &Deployment) -> Result<usize> {
    Ok(read_ledgers(fleet).await?.len())
}

/// Checks that the answers of the callers agree with the records of the targets.
async fn check_agreement(fleet: &Deployment, records: &[CallerRecord]) -> Result<()> {
    assert_eq!(disagreements(&read_ledgers(fleet).await?, records), Vec::<String>::new());
    Ok(())
}

#[rstest]
#[case::stalled(json!({"stalls": 1}), "first_byte_timeout", 1)]
#[case::closed_after_the_run(json!({"close_after_read": 1}), "target_closed", 1)]
#[case::closed_after_the_request_was_written(json!({"close_pooled": 1}), "target_closed", 0)]
#[actix_rt::test]
async fn unanswered_service_call_may_have_run_and_is_not_sent_again(
    #[case] faults: Value,
    #[case] reason: &str,
    #[case] expected_runs: usize,
) -> Result<()> {
    let fleet = ready_fleet(reason, 0, 2, 1).await?;
    fleet.apply("all.ini", &configuration(&fleet, "reuse_connections = yes", ""))?;
    let client = caller_client();
    let daemon = &fleet.daemons[0].callers;
    // Connections to both targets are pooled before the fault.
    for nonce in ["warm-1", "warm-2", "warm-3", "warm-4"] {
        assert_eq!(unlock(nonce).send(&client, daemon).await.outcome, CallerOutcome::Complete);
    }
    for target in &fleet.targets {
        fleet.fault(&target.address, faults.clone()).await?;
    }
    let record =
        unlock("victim").header("Idempotency-Key", "victim-key").send(&client, daemon).await;
    assert_eq!(refusal(&record), (reason.to_string(), true));
    let actual_runs =
        read_ledgers(&fleet).await?.iter().filter(|entry| entry.nonce == "victim").count();
    assert_eq!(actual_runs, expected_runs);
    // The same key again, while the fault of the other target is still set.
    let again =
        unlock("victim").header("Idempotency-Key", "victim-key").send(&client, daemon).await;
    assert_eq!(refusal(&again), ("key_may_have_run".to_string(), true));
    check_agreement(&fleet, &[record, again]).await
}

#[actix_rt::test]
async fn cut_service_answer_is_not_complete_for_the_caller() -> Result<()> {
    let fleet = ready_fleet("cut-service", 0, 1, 1).await?;
    let client = caller_client();
    fleet.fault(&fleet.targets[0].address, json!({"cuts": 1, "cut_bytes": 10})).await?;
    let record = unlock("cut").send(&client, &fleet.daemons[0].callers).await;
    assert_eq!(record.outcome, CallerOutcome::Interrupted);
    assert_eq!(runs(&fleet).await?, 1);
    check_agreement(&fleet, &[record]).await
}

#[rstest]
#[case::resumed("", CallerOutcome::Complete)]
#[case::not_resumable("resumable = no", CallerOutcome::Interrupted)]
#[actix_rt::test]
async fn cut_stream_is_resumed_where_allowed(
    #[case] lines: &str,
    #[case] expected: CallerOutcome,
) -> Result<()> {
    let fleet = ready_fleet("cut-stream", 1, 1, 1).await?;
    if !lines.is_empty() {
        let text = configuration(&fleet, "", "").replace("resumable = yes", lines);
        fleet.apply("all.ini", &text)?;
    }
    let client = caller_client();
    fleet.fault(&fleet.targets[0].address, json!({"cuts": 1, "cut_bytes": 100})).await?;
    let record = ask("cut").send(&client, &fleet.daemons[0].callers).await;
    assert_eq!(record.outcome, expected);
    assert_eq!(runs(&fleet).await?, 1, "a resumed stream does not run again");
    check_agreement(&fleet, &[record]).await
}

#[actix_rt::test]
async fn stream_without_its_end_event_is_not_complete() -> Result<()> {
    let fleet = ready_fleet("end-event", 1, 1, 1).await?;
    let text =
        configuration(&fleet, "", "").replace("end_event = [DONE]", "end_event = [FINISHED]");
    fleet.apply("all.ini", &text.replace("resumable = yes", "resumable = no"))?;
    let record = ask("unfinished").send(&caller_client(), &fleet.daemons[0].callers).await;
    assert_eq!(record.outcome, CallerOutcome::Interrupted);
    Ok(())
}

#[actix_rt::test]
async fn refused_connection_goes_to_another_target() -> Result<()> {
    let mut fleet = ready_fleet("refused-connection", 0, 2, 1).await?;
    fleet.targets[0].kill();
    let client = caller_client();
    let mut records = Vec::new();
    for index in 0..10 {
        records.push(unlock(&format!("n{index}")).send(&client, &fleet.daemons[0].callers).await);
    }
    for record in &records {
        assert_eq!(record.outcome, CallerOutcome::Complete, "{}", record.nonce);
    }
    let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await?;
    assert!(metrics.contains("curlewcleat_retries_total{reason=\"connect_failed\"}"));
    assert!(!metrics.contains("curlewcleat_retries_total{reason=\"connect_failed\"} 0\n"));
    check_agreement(&fleet, &records).await
}

#[actix_rt::test]
async fn request_without_a_reachable_target_is_refused_as_not_run() -> Result<()> {
    let mut fleet = ready_fleet("no-target", 0, 1, 1).await?;
    fleet.targets[0].kill();
    let client = caller_client();
    for index in 0..6 {
        let record = unlock(&format!("n{index}")).send(&client, &fleet.daemons[0].callers).await;
        let (reason, may_have_run) = refusal(&record);
        assert!(["connect_failed", "no_target"].contains(&reason.as_str()), "{reason}");
        assert!(!may_have_run);
    }
    Ok(())
}

#[actix_rt::test]
async fn not_started_answer_goes_to_another_target() -> Result<()> {
    let fleet = ready_fleet("not-started", 0, 2, 1).await?;
    fleet.fault(&fleet.targets[0].address, json!({"not_started": 1})).await?;
    fleet.fault(&fleet.targets[1].address, json!({"not_started": 1})).await?;
    let record = unlock("n").send(&caller_client(), &fleet.daemons[0].callers).await;
    let (reason, may_have_run) = match &record.outcome {
        CallerOutcome::Complete => return check_agreement(&fleet, &[record]).await,
        _ => refusal(&record),
    };
    // Both targets reported that they did not start it, so both are avoided by further attempts.
    assert_eq!((reason.as_str(), may_have_run), ("target_not_started", false));
    check_agreement(&fleet, &[record]).await
}

#[actix_rt::test]
async fn second_answer_on_a_connection_reaches_no_caller() -> Result<()> {
    let fleet = ready_fleet("doubles", 0, 1, 1).await?;
    fleet.fault(&fleet.targets[0].address, json!({"doubles": 3})).await?;
    let client = caller_client();
    let mut records = Vec::new();
    for index in 0..12 {
        records.push(unlock(&format!("n{index}")).send(&client, &fleet.daemons[0].callers).await);
    }
    let wrong = records
        .iter()
        .filter(|record| matches!(record.outcome, CallerOutcome::Unexpected(_)))
        .count();
    assert_eq!(wrong, 0);
    check_agreement(&fleet, &records).await
}

#[actix_rt::test]
async fn redirect_is_forwarded_and_not_followed() -> Result<()> {
    let fleet = ready_fleet("redirects", 0, 1, 1).await?;
    fleet.fault(&fleet.targets[0].address, json!({"redirects": 1})).await?;
    let record = unlock("n").send(&caller_client(), &fleet.daemons[0].callers).await;
    assert!(
        matches!(record.outcome, CallerOutcome::Refused { status: 307, .. }),
        "{:?}",
        record.outcome
    );
    assert_eq!(runs(&fleet).await?, 0);
    Ok(())
}

#[actix_rt::test]
async fn late_answers_reach_their_own_callers() -> Result<()> {
    let fleet = ready_fleet("late", 0, 2, 1).await?;
    fleet.fault(&fleet.targets[0].address, json!({"delay_ms": 400})).await?;
    let client = caller_client();
    let calls: Vec<CallerCall> = (0..16).map(|index| unlock(&format!("n{index}"))).collect();
    let sends = calls.iter().map(|call| call.send(&client, &fleet.daemons[0].callers));
    let records = futures_util::future::join_all(sends).await;
    for record in &records {
        assert_eq!(record.outcome, CallerOutcome::Complete, "{}", record.nonce);
    }
    check_agreement(&fleet, &records).await
}

#[rstest]
#[case::in_time(json!({}), "taken")]
#[case::too_late(json!({"report_lag_ms": 60_000}), "failed")]
#[actix_rt::test]
async fn reports_are_read_and_late_ones_delay_no_request(
    #[case] faults: Value,
    #[case] result: &str,
) -> Result<()> {
    let fleet = ready_fleet("reports", 1, 0, 1).await?;
    fleet.fault(&fleet.targets[0].address, faults).await?;
    fleet.apply("all.ini", &configuration(&fleet, "", "report_path = /load"))?;
    wait_until("a report", || async {
        let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await.unwrap_or_default();
        metrics.contains(&format!("curlewcleat_target_reports_total{{result=\"{result}\"}}"))
    })
    .await?;
    let record = ask("n").send(&caller_client(), &fleet.daemons[0].callers).await;
    assert_eq!(record.outcome, CallerOutcome::Complete);
    Ok(())
}
