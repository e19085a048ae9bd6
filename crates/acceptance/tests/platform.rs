//! A platform that is down or slow, loses answers or returns old versions, concurrent operators, and lists that lag.

use anyhow::Result;
use curlewcleat_acceptance::{configuration, ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerOutcome};
use curlewcleat_standins::deployment::{get_json, status, wait_status, wait_until, Deployment};
use curlewcleat_standins::verdicts::read_ledgers;
use rstest::rstest;
use serde_json::json;

fn ask(nonce: &str) -> CallerCall {
    CallerCall::engine("/v1/assistant/ask", DEPOTS, nonce, "how much", 5)
}

/// Returns the text of a second configuration file with one more account.
fn extra_account(name: &str) -> String {
    let digit = name.len() % 10;
    format!("[account {name}]\ntoken_sha256 = {}\n", digit.to_string().repeat(64))
}

#[actix_rt::test]
async fn daemon_without_configuration_refuses_until_the_platform_is_back() -> Result<()> {
    let mut fleet = Deployment::start("started-in-outage").await?;
    fleet.target("engine", &[]).await?;
    fleet.fault(&fleet.platform.address, json!({"down": true})).await?;
    fleet.daemons(1).await?;
    let record = ask("early").send(&caller_client(), &fleet.daemons[0].callers).await;
    let CallerOutcome::Refused { status: code, reason, may_have_run, retry_after } = record.outcome
    else {
        panic!()
    };
    assert_eq!(
        (code, reason.as_str(), may_have_run, retry_after),
        (503, "no_configuration", false, true)
    );
    fleet.fault(&fleet.platform.address, json!({})).await?;
    fleet.apply("all.ini", &configuration(&fleet, "", ""))?;
    assert_eq!(
        ask("later").send(&caller_client(), &fleet.daemons[0].callers).await.outcome,
        CallerOutcome::Complete
    );
    Ok(())
}

#[actix_rt::test]
async fn daemon_started_in_an_outage_receives_configuration_and_key_table_from_peers() -> Result<()>
{
    let mut fleet = ready_fleet("from-peers", 1, 1, 2).await?;
    fleet.fault(&fleet.platform.address, json!({"down": true})).await?;
    fleet.daemons(1).await?;
    let started = &fleet.daemons[2];
    wait_status(&started.operators, "the configuration", |status| status["generation"] == 1)
        .await?;
    wait_status(&started.operators, "the key table", |status| status["key_table"] == 1).await?;
    assert_eq!(
        ask("n").send(&caller_client(), &started.callers).await.outcome,
        CallerOutcome::Complete
    );
    let unlock =
        CallerCall::service("/v1/sessions/unlock", DRIVERS, "u").header("Idempotency-Key", "k");
    assert_eq!(
        unlock.send(&caller_client(), &started.callers).await.outcome,
        CallerOutcome::Complete
    );
    Ok(())
}

#[actix_rt::test]
async fn old_version_sets_no_daemon_back() -> Result<()> {
    let mut fleet = ready_fleet("old-version", 1, 1, 2).await?;
    fleet.apply("extra.ini", &extra_account("one"))?;
    fleet.fault(&fleet.platform.address, json!({"old_versions": true})).await?;
    // The restarted daemon reads the old version first, then receives the newer one from its peer.
    fleet.restart(0).await?;
    wait_status(&fleet.daemons[0].operators, "generation 2", |status| status["generation"] == 2)
        .await?;
    for daemon in &fleet.daemons {
        assert_eq!(status(&daemon.operators).await?["generation"], 2);
    }
    Ok(())
}

#[actix_rt::test]
async fn apply_with_lost_answers_takes_effect_once() -> Result<()> {
    let fleet = ready_fleet("lost-answer", 1, 1, 1).await?;
    // The answer to the write of the content is lost, then the one to the write of the manifest.
    fleet.fault(&fleet.platform.address, json!({"lose_answers": 2})).await?;
    fleet.apply("extra.ini", &extra_account("one"))?;
    let (_, history) = fleet.tool(&["history", "--json"])?;
    let history: serde_json::Value = serde_json::from_str(&history)?;
    assert_eq!(history.as_array().map(Vec::len), Some(2), "applied once: {history}");
    Ok(())
}

#[actix_rt::test]
async fn slow_platform_does_not_delay_requests() -> Result<()> {
    let fleet = ready_fleet("slow", 1, 1, 2).await?;
    fleet.fault(&fleet.platform.address, json!({"slow_ms": 700})).await?;
    assert_eq!(
        ask("n").send(&caller_client(), &fleet.daemons[0].callers).await.outcome,
        CallerOutcome::Complete
    );
    fleet.apply("extra.ini", &extra_account("one"))?;
    Ok(())
}

#[actix_rt::test]
async fn concurrent_applies_conflict_on_one_file_only() -> Result<()> {
    let fleet = ready_fleet("race", 1, 1, 1).await?;
    let path = fleet.write_file("extra.ini", &extra_account("one"))?;
    // The apply of an operator who read generation 1 is refused, because extra.ini has changed since then.
    fleet.apply("extra.ini", &extra_account("three"))?;
    std::fs::write(&path, extra_account("one"))?;
    let (code, output) =
        fleet.tool(&["apply", &path, "--expect-generation", "1", "--operator", "late"])?;
    assert_eq!(code, 3, "{output}");
    assert!(output.contains("conflict: extra.ini was changed by"), "{output}");
    // Six operators at the same time, each with a different file: all changes take effect.
    let mut children = Vec::new();
    for index in 0..6 {
        let name = format!("account{}", "x".repeat(index));
        let path = fleet.write_file(&format!("own-{index}.ini"), &extra_account(&name))?;
        children.push(fleet.start_tool(&["apply", &path])?);
    }
    for child in children {
        let output = child.wait_with_output()?;
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
    wait_status(&fleet.daemons[0].operators, "all applies", |status| status["generation"] == 8)
        .await?;
    Ok(())
}

#[actix_rt::test]
async fn leaving_target_receives_no_new_requests_under_load() -> Result<()> {
    let fleet = ready_fleet("leaving", 2, 1, 2).await?;
    fleet.list_vms(&["entry-0", "entry-1", "target-0", "target-1", "target-2"], &[]).await?;
    let long = CallerCall::engine("/v1/assistant/ask", DEPOTS, "long", "x", 600);
    let entry = fleet.daemons[0].callers.clone();
    let long = actix_rt::spawn(async move { long.send(&caller_client(), &entry).await });
    wait_until("the long stream runs", || async {
        read_ledgers(&fleet).await.is_ok_and(|entries| entries.len() == 1)
    })
    .await?;
    let mut leaver = 0;
    for index in [0, 1] {
        let ledger = get_json(&fleet.targets[index].address, "/_ledger").await?;
        if ledger.as_array().is_some_and(|entries| !entries.is_empty()) {
            leaver = index;
        }
    }
    let leaving = format!("target-{leaver}");
    let staying = format!("target-{}", 1 - leaver);
    fleet.list_vms(&["entry-0", "entry-1", &staying, "target-2"], &[&leaving]).await?;
    for daemon in &fleet.daemons {
        wait_status(&daemon.operators, "the leaving target", |status| {
            status.to_string().contains("\"leaving\":true")
        })
        .await?;
    }
    let before =
        get_json(&fleet.targets[leaver].address, "/_ledger").await?.as_array().map_or(0, Vec::len);
    for index in 0..12 {
        let record = ask(&format!("n{index}"))
            .send(&caller_client(), &fleet.daemons[index % 2].callers)
            .await;
        assert_eq!(record.outcome, CallerOutcome::Complete);
    }
    let after =
        get_json(&fleet.targets[leaver].address, "/_ledger").await?.as_array().map_or(0, Vec::len);
    assert_eq!(before, after, "the leaving target received new requests");
    assert_eq!(long.await?.outcome, CallerOutcome::Complete, "the stream in progress finishes");
    Ok(())
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::three(3)]
#[case::several(8)]
#[actix_rt::test]
async fn cut_reads_of_the_platform_are_read_again(#[case] cuts: u64) -> Result<()> {
    let mut fleet = ready_fleet("cut-reads", 1, 1, 1).await?;
    // Each half of the file is valid by itself, so that only its length or hash reveals that it was cut.
    let text: String = (3..13).map(|rank| format!("[tier x{rank}]\nrank = {rank}\n\n")).collect();
    fleet.apply("more.ini", &text)?;
    fleet.fault(&fleet.platform.address, json!({"cut_reads": cuts})).await?;
    fleet.restart(0).await?;
    let operators = fleet.daemons[0].operators.clone();
    wait_status(&operators, "generation 2", |status| status["generation"] == 2).await?;
    wait_status(&operators, "the key table", |status| status["key_table"].as_u64() > Some(0))
        .await?;
    let config = get_json(&operators, "/config").await?;
    assert_eq!(config["files"]["more.ini"], text);
    Ok(())
}
