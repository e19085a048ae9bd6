//! The platform down, slow, forgetful or old, operators who race, lists that lag.

use anyhow::Result;
use curlewcleat_acceptance::{configuration, ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerEnd};
use curlewcleat_standins::deployment::{get_json, status, wait_status, wait_until, Deployment};
use curlewcleat_standins::verdicts::ledgers;
use rstest::rstest;
use serde_json::json;

fn ask(nonce: &str) -> CallerCall {
    CallerCall::engine("/v1/assistant/ask", DEPOTS, nonce, "how much", 5)
}

/// Two files that are in force together: everything, and one account more.
fn extra_account(name: &str) -> String {
    let digit = name.len() % 10;
    format!("[account {name}]\ntoken_sha256 = {}\n", digit.to_string().repeat(64))
}

#[actix_rt::test]
async fn daemon_without_configuration_refuses_and_starts_when_the_platform_returns() -> Result<()> {
    let mut fleet = Deployment::start("started-in-outage").await?;
    fleet.target("engine", &[]).await?;
    fleet.fault(&fleet.platform.address, json!({"down": true})).await?;
    fleet.daemons(1).await?;
    let record = ask("early").send(&caller_client(), &fleet.daemons[0].callers).await;
    let CallerEnd::Refused { status: code, reason, may_have_run, retry_after } = record.end else {
        panic!()
    };
    assert_eq!(
        (code, reason.as_str(), may_have_run, retry_after),
        (503, "no_configuration", false, true)
    );
    fleet.fault(&fleet.platform.address, json!({})).await?;
    fleet.apply("all.ini", &configuration(&fleet, "", ""))?;
    assert_eq!(
        ask("later").send(&caller_client(), &fleet.daemons[0].callers).await.end,
        CallerEnd::Whole
    );
    Ok(())
}

#[actix_rt::test]
async fn daemon_born_in_an_outage_gets_configuration_and_keys_from_its_peers() -> Result<()> {
    let mut fleet = ready_fleet("from-peers", 1, 1, 2).await?;
    fleet.fault(&fleet.platform.address, json!({"down": true})).await?;
    fleet.daemons(1).await?;
    let newborn = &fleet.daemons[2];
    wait_status(&newborn.operators, "the configuration", |status| status["generation"] == 1)
        .await?;
    wait_status(&newborn.operators, "the key table", |status| status["key_table"] == 1).await?;
    assert_eq!(ask("n").send(&caller_client(), &newborn.callers).await.end, CallerEnd::Whole);
    let unlock =
        CallerCall::service("/v1/sessions/unlock", DRIVERS, "u").header("Idempotency-Key", "k");
    assert_eq!(unlock.send(&caller_client(), &newborn.callers).await.end, CallerEnd::Whole);
    Ok(())
}

#[actix_rt::test]
async fn old_version_moves_nobody_back() -> Result<()> {
    let mut fleet = ready_fleet("old-version", 1, 1, 2).await?;
    fleet.apply("extra.ini", &extra_account("one"))?;
    fleet.fault(&fleet.platform.address, json!({"old_versions": true})).await?;
    // A daemon that starts again reads the old version first, then hears the newer one from its peer.
    fleet.restart(0).await?;
    wait_status(&fleet.daemons[0].operators, "generation 2", |status| status["generation"] == 2)
        .await?;
    for daemon in &fleet.daemons {
        assert_eq!(status(&daemon.operators).await?["generation"], 2);
    }
    Ok(())
}

#[actix_rt::test]
async fn lost_answer_of_an_apply_is_cleared_up() -> Result<()> {
    let fleet = ready_fleet("lost-answer", 1, 1, 1).await?;
    // The content's answer is lost, then the manifest's.
    fleet.fault(&fleet.platform.address, json!({"lose_answers": 2})).await?;
    fleet.apply("extra.ini", &extra_account("one"))?;
    let (_, history) = fleet.tool(&["history", "--json"])?;
    let history: serde_json::Value = serde_json::from_str(&history)?;
    assert_eq!(history.as_array().map(Vec::len), Some(2), "applied once: {history}");
    Ok(())
}

#[actix_rt::test]
async fn slow_platform_delays_configuration_and_not_requests() -> Result<()> {
    let fleet = ready_fleet("slow", 1, 1, 2).await?;
    fleet.fault(&fleet.platform.address, json!({"slow_ms": 700})).await?;
    assert_eq!(
        ask("n").send(&caller_client(), &fleet.daemons[0].callers).await.end,
        CallerEnd::Whole
    );
    fleet.apply("extra.ini", &extra_account("one"))?;
    Ok(())
}

#[actix_rt::test]
async fn operators_race_on_one_file_and_on_two() -> Result<()> {
    let fleet = ready_fleet("race", 1, 1, 1).await?;
    let ours = fleet.write_file("extra.ini", &extra_account("one"))?;
    // Somebody who read generation 1 finds that extra.ini has changed since.
    fleet.apply("extra.ini", &extra_account("three"))?;
    std::fs::write(&ours, extra_account("one"))?;
    let (code, output) =
        fleet.tool(&["apply", &ours, "--expect-generation", "1", "--operator", "late"])?;
    assert_eq!(code, 3, "{output}");
    assert!(output.contains("conflict: extra.ini was changed by"), "{output}");
    // Many at once, each with a file of its own: all take effect.
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
async fn leaving_target_gets_no_new_work_under_load() -> Result<()> {
    let fleet = ready_fleet("leaving", 2, 1, 2).await?;
    fleet.list_vms(&["entry-0", "entry-1", "target-0", "target-1", "target-2"], &[]).await?;
    let long = CallerCall::engine("/v1/assistant/ask", DEPOTS, "long", "x", 600);
    let entry = fleet.daemons[0].callers.clone();
    let long = actix_rt::spawn(async move { long.send(&caller_client(), &entry).await });
    wait_until("the long stream runs", || async {
        ledgers(&fleet).await.is_ok_and(|l| l.len() == 1)
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
        assert_eq!(record.end, CallerEnd::Whole);
    }
    let after =
        get_json(&fleet.targets[leaver].address, "/_ledger").await?.as_array().map_or(0, Vec::len);
    assert_eq!(before, after, "the leaving target got new work");
    assert_eq!(long.await?.end, CallerEnd::Whole, "the stream in progress finishes");
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
    // A file that is right in each of its halves, so that only its length or hash tells of a cut.
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
