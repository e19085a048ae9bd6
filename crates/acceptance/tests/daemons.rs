//! Daemons that are killed, suspended, disconnected from their peers or stopped: no request runs twice, every verdict
//! is true, and the other daemons continue to serve.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_acceptance::{configuration, ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerOutcome, CallerRecord};
use curlewcleat_standins::deployment::{status, wait_status, wait_until, Deployment};
use curlewcleat_standins::verdicts::{disagreements, read_ledgers};
use curlewcleat_targets::ConnectionPool;
use rstest::rstest;
use serde_json::json;

fn unlock(nonce: &str, key: &str) -> CallerCall {
    CallerCall::service("/v1/sessions/unlock", DRIVERS, nonce).header("Idempotency-Key", key)
}

fn ask(nonce: &str, tokens: u64) -> CallerCall {
    CallerCall::engine("/v1/assistant/ask", DEPOTS, nonce, "how much", tokens)
}

/// Checks that the answers of the callers agree with the records of the targets.
async fn check_agreement(fleet: &Deployment, records: &[CallerRecord]) -> Result<()> {
    assert_eq!(disagreements(&read_ledgers(fleet).await?, records), Vec::<String>::new());
    Ok(())
}

/// Returns the index of the daemon that schedules a pool.
async fn scheduler_of(fleet: &Deployment, pool: &str) -> Result<usize> {
    let status = status(&fleet.daemons[0].operators).await?;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let vm = pools.iter().find(|entry| entry["id"] == pool).map(|entry| entry["scheduler"].clone());
    let index = fleet.daemons.iter().position(|daemon| Some(json!(daemon.vm)) == vm);
    index.ok_or_else(|| anyhow::anyhow!("no scheduler of {pool}"))
}

/// Waits until the records of the targets contain a nonce.
async fn wait_running(fleet: &Deployment, nonce: &str) -> Result<()> {
    wait_until(&format!("{nonce} runs"), || async {
        read_ledgers(fleet)
            .await
            .is_ok_and(|entries| entries.iter().any(|entry| entry.nonce == nonce))
    })
    .await
}

/// Starts calls at a daemon without waiting for them.
fn begin(calls: Vec<CallerCall>, entry: &str) -> Vec<actix_rt::task::JoinHandle<CallerRecord>> {
    let entry = entry.to_string();
    let start = |call: CallerCall| {
        let entry = entry.clone();
        actix_rt::spawn(async move { call.send(&caller_client(), &entry).await })
    };
    calls.into_iter().map(start).collect()
}

/// Waits for all calls.
async fn finish(tasks: Vec<actix_rt::task::JoinHandle<CallerRecord>>) -> Result<Vec<CallerRecord>> {
    let mut records = Vec::new();
    for task in tasks {
        records.push(task.await?);
    }
    Ok(records)
}

#[actix_rt::test]
async fn entry_daemon_killed_with_queued_and_streaming_requests_frees_its_permits() -> Result<()> {
    let mut fleet = ready_fleet("entry-killed", 1, 1, 3).await?;
    let killed = (scheduler_of(&fleet, "assistant").await? + 1) % 3;
    let other = (killed + 1) % 3;
    // There are four slots: four requests stream, the others wait.
    let calls: Vec<CallerCall> = (0..10).map(|index| ask(&format!("lost-{index}"), 200)).collect();
    let tasks = begin(calls, &fleet.daemons[killed].callers);
    wait_until("four requests run", || async {
        read_ledgers(&fleet).await.is_ok_and(|entries| entries.len() >= 4)
    })
    .await?;
    fleet.daemons[killed].process.kill();
    let mut records = finish(tasks).await?;
    assert!(records.iter().all(|record| record.outcome == CallerOutcome::Interrupted));
    // The permits of the killed daemon are released, so that the slots are free for later requests.
    for index in 0..4 {
        let record = ask(&format!("later-{index}"), 5)
            .send(&caller_client(), &fleet.daemons[other].callers)
            .await;
        assert_eq!(record.outcome, CallerOutcome::Complete);
        records.push(record);
    }
    check_agreement(&fleet, &records).await
}

#[rstest]
#[case::killed("KILL")]
#[case::suspended("STOP")]
#[actix_rt::test]
async fn requests_are_served_when_their_scheduler_fails(#[case] signal: &str) -> Result<()> {
    let fleet = ready_fleet("scheduler", 1, 1, 3).await?;
    let scheduler = scheduler_of(&fleet, "assistant").await?;
    let entry = (scheduler + 1) % 3;
    let calls: Vec<CallerCall> = (0..8).map(|index| ask(&format!("q-{index}"), 100)).collect();
    let tasks = begin(calls, &fleet.daemons[entry].callers);
    wait_until("four requests run", || async {
        read_ledgers(&fleet).await.is_ok_and(|entries| entries.len() >= 4)
    })
    .await?;
    fleet.daemons[scheduler].process.signal(signal)?;
    let mut records = finish(tasks).await?;
    for record in &records {
        assert_eq!(record.outcome, CallerOutcome::Complete, "{}", record.nonce);
    }
    if signal == "STOP" {
        // The resumed scheduler still holds its old permits, which must have no effect.
        fleet.daemons[scheduler].process.signal("CONT")?;
        wait_status(&fleet.daemons[scheduler].operators, "its peers", |status| {
            status["peers"]
                .as_array()
                .is_some_and(|peers| peers.iter().all(|peer| peer["live"] == true))
        })
        .await?;
        for index in 0..6 {
            let at = &fleet.daemons[index % 3].callers;
            let record = ask(&format!("after-{index}"), 5).send(&caller_client(), at).await;
            assert_eq!(record.outcome, CallerOutcome::Complete);
            records.push(record);
        }
    }
    check_agreement(&fleet, &records).await
}

#[actix_rt::test]
async fn entry_daemon_resumes_after_its_caller_retried_at_other_daemons() -> Result<()> {
    let fleet = ready_fleet("frozen-entry", 0, 1, 3).await?;
    let entry = 0;
    // The service is slow, so that the request is running when the entry daemon is suspended.
    fleet.fault(&fleet.targets[0].address, json!({"delay_ms": 600})).await?;
    let tasks = begin(vec![unlock("n", "the-key")], &fleet.daemons[entry].callers);
    wait_running(&fleet, "n").await?;
    fleet.daemons[entry].process.signal("STOP")?;
    let mut records = Vec::new();
    for other in [1, 2] {
        let record =
            unlock("n", "the-key").send(&caller_client(), &fleet.daemons[other].callers).await;
        let CallerOutcome::Refused { may_have_run, .. } = record.outcome else {
            panic!("{:?}", record.outcome)
        };
        assert!(may_have_run);
        records.push(record);
    }
    fleet.daemons[entry].process.signal("CONT")?;
    records.extend(finish(tasks).await?);
    check_agreement(&fleet, &records).await
}

#[actix_rt::test]
async fn resumed_entry_daemon_does_not_dispatch_an_expired_request() -> Result<()> {
    let fleet = ready_fleet("woken-entry", 0, 1, 2).await?;
    // All slots are busy, so that the request waits for its permit when its entry daemon is suspended.
    fleet.fault(&fleet.targets[0].address, json!({"delay_ms": 1500})).await?;
    let busy: Vec<CallerCall> =
        (0..8).map(|index| unlock(&format!("busy-{index}"), &format!("b{index}"))).collect();
    let busy = begin(busy, &fleet.daemons[1].callers);
    wait_until("eight requests run", || async {
        read_ledgers(&fleet).await.is_ok_and(|entries| entries.len() == 8)
    })
    .await?;
    let late = unlock("late", "late-key").header("Curlewcleat-Timeout-Ms", "2000");
    let late = begin(vec![late], &fleet.daemons[0].callers);
    wait_status(&fleet.daemons[0].operators, "one request", |status| status["requests"] == 1)
        .await?;
    fleet.daemons[0].process.signal("STOP")?;
    let mut records = finish(busy).await?;
    let started = std::time::Instant::now();
    wait_until("the deadline passes", || async {
        started.elapsed() > Duration::from_millis(2_200)
    })
    .await?;
    fleet.daemons[0].process.signal("CONT")?;
    let late = finish(late).await?;
    let CallerOutcome::Refused { reason, may_have_run, .. } = &late[0].outcome else {
        panic!("{:?}", late[0].outcome)
    };
    assert!(["deadline_passed", "deadline_unreachable"].contains(&reason.as_str()), "{reason}");
    assert!(!may_have_run);
    records.extend(late);
    check_agreement(&fleet, &records).await
}

#[actix_rt::test]
async fn planned_stop_completes_streams_and_hands_keys_over() -> Result<()> {
    let mut fleet = ready_fleet("planned-stop", 1, 1, 3).await?;
    let draining = scheduler_of(&fleet, "assistant").await?;
    let other = (draining + 1) % 3;
    let client = caller_client();
    let mut records = Vec::new();
    for index in 0..12 {
        let call = unlock(&format!("u-{index}"), &format!("k-{index}"));
        let record = call.send(&client, &fleet.daemons[draining].callers);
        records.push(record.await);
    }
    let long = begin(vec![ask("long", 1_500)], &fleet.daemons[draining].callers);
    wait_running(&fleet, "long").await?;
    let (code, output) = fleet.tool(&["drain", &fleet.daemons[draining].operators])?;
    assert_eq!(code, 0, "{output}");
    wait_status(&fleet.daemons[draining].operators, "closing", |status| {
        status["drain"] == "closing"
    })
    .await?;
    let refused = ask("too-late", 5).send(&client, &fleet.daemons[draining].callers).await;
    assert!(
        matches!(&refused.outcome, CallerOutcome::Refused { reason, may_have_run: false, .. } if reason == "draining")
    );
    let long = finish(long).await?;
    assert_eq!(long[0].outcome, CallerOutcome::Complete);
    wait_until_ended(&mut fleet, draining).await?;
    // Each key and its small answer are still known.
    wait_status(&fleet.daemons[other].operators, "a newer key table", |status| {
        status["key_table"].as_u64() > Some(1)
    })
    .await?;
    for index in 0..12 {
        let again = unlock(&format!("u-{index}"), &format!("k-{index}"));
        let record = again.send(&client, &fleet.daemons[other].callers).await;
        assert_eq!(record.outcome, CallerOutcome::Complete, "the kept answer of k-{index}");
        records.push(record);
    }
    records.extend(long);
    records.push(refused);
    check_agreement(&fleet, &records).await
}

/// Waits until the process of a drained daemon exits with status 0.
async fn wait_until_ended(fleet: &mut Deployment, index: usize) -> Result<()> {
    let started = std::time::Instant::now();
    loop {
        if let Some(code) = fleet.daemons[index].process.ended() {
            assert_eq!(code, 0);
            return Ok(());
        }
        anyhow::ensure!(
            started.elapsed() < Duration::from_secs(30),
            "the drained daemon does not exit"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends twelve requests, each with its own key, to a daemon; every call sends the same requests.
async fn unlock_twelve(client: &ConnectionPool, entry: &str) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    for index in 0..12 {
        let call = unlock(&format!("n-{index}"), &format!("k-{index}"));
        records.push(call.send(client, entry).await);
    }
    records
}

/// Returns the reason of each refusal and whether the request may have run.
fn refusals(records: &[CallerRecord]) -> Vec<(&str, bool)> {
    let refusals = records.iter().filter_map(|record| match &record.outcome {
        CallerOutcome::Refused { reason, may_have_run, .. } => {
            Some((reason.as_str(), *may_have_run))
        }
        _ => None,
    });
    refusals.collect()
}

/// Returns the time six seconds from now. This is more than clocks may differ, so that a key minted at this time
/// counts as newer than everything that has happened so far.
fn time_beyond_skew() -> uuid::Timestamp {
    let later = Duration::from_secs(6);
    let now = uuid::Uuid::now_v7();
    let (seconds, nanos) = now.get_timestamp().map(|stamp| stamp.to_unix()).unwrap_or_default();
    uuid::Timestamp::from_unix(uuid::NoContext, seconds + later.as_secs(), nanos)
}

#[actix_rt::test]
async fn keys_of_a_killed_holder_are_never_run_again() -> Result<()> {
    let mut fleet = ready_fleet("dead-home", 0, 1, 3).await?;
    fleet.list_vms(&["entry-0", "entry-1", "entry-2"], &[]).await?;
    let client = caller_client();
    let mut records = unlock_twelve(&client, &fleet.daemons[0].callers).await;
    fleet.daemons[2].process.kill();
    // While the holder does not run and its VM is still in the list, its keys are refused.
    let repeated = unlock_twelve(&client, &fleet.daemons[1].callers).await;
    for refusal in refusals(&repeated) {
        assert_eq!(refusal, ("key_home_unreachable", true));
    }
    assert!(!refusals(&repeated).is_empty(), "the killed daemon held some of the keys");
    records.extend(repeated);
    fleet.list_vms(&["entry-0", "entry-1"], &[]).await?;
    wait_status(&fleet.daemons[1].operators, "the slots of the killed holder", |status| {
        status["key_table"].as_u64() > Some(1)
    })
    .await?;
    let repeated = unlock_twelve(&client, &fleet.daemons[1].callers).await;
    for refusal in refusals(&repeated) {
        assert_eq!(refusal, ("key_history_lost", true));
    }
    records.extend(repeated);
    // A key minted after the move runs.
    let minted = time_beyond_skew();
    for index in 0..8 {
        let key = uuid::Uuid::new_v7(minted).to_string();
        let record = unlock(&format!("fresh-{index}"), &key)
            .send(&client, &fleet.daemons[index % 2].callers)
            .await;
        assert_eq!(record.outcome, CallerOutcome::Complete);
        records.push(record);
    }
    check_agreement(&fleet, &records).await
}

#[actix_rt::test]
async fn first_attempt_is_served_while_the_holder_is_unreachable() -> Result<()> {
    let mut fleet = ready_fleet("first-attempt", 0, 1, 2).await?;
    fleet.daemons[1].process.kill();
    let client = caller_client();
    let mut records = Vec::new();
    for index in 0..8 {
        let call =
            unlock(&format!("n-{index}"), &format!("k-{index}")).header("Idempotency-Attempt", "1");
        let record = call.send(&client, &fleet.daemons[0].callers).await;
        assert_eq!(record.outcome, CallerOutcome::Complete);
        records.push(record);
        let call =
            unlock(&format!("n-{index}"), &format!("k-{index}")).header("Idempotency-Attempt", "2");
        records.push(call.send(&client, &fleet.daemons[0].callers).await);
    }
    check_agreement(&fleet, &records).await
}

#[rstest]
#[case::one_way(vec![0])]
#[case::both_ways(vec![0, 1])]
#[actix_rt::test]
async fn cut_links_between_daemons_cause_no_second_run(#[case] cut: Vec<usize>) -> Result<()> {
    let mut fleet = Deployment::start("cut-links").await?;
    fleet.use_relays();
    fleet.target("engine", &["--slots", "4"]).await?;
    fleet.target("service", &["--slots", "8"]).await?;
    fleet.daemons(3).await?;
    fleet.apply("all.ini", &configuration(&fleet, "", ""))?;
    fleet.wait_for_peers(2).await?;
    fleet.wait_for_key_table().await?;
    for index in &cut {
        fleet.relays[*index].set_cut(true);
    }
    let mut records = Vec::new();
    let mut served = 0;
    for index in 0..12 {
        let at = &fleet.daemons[index % 3].callers;
        let record = ask(&format!("a-{index}"), 5).send(&caller_client(), at).await;
        served += usize::from(record.outcome == CallerOutcome::Complete);
        records.push(record);
        let call = unlock(&format!("u-{index}"), &format!("k-{index}"));
        records.push(call.send(&caller_client(), at).await);
        // The same key at another daemon.
        let at = &fleet.daemons[(index + 1) % 3].callers;
        let call = unlock(&format!("u-{index}"), &format!("k-{index}"));
        records.push(call.send(&caller_client(), at).await);
    }
    assert_eq!(served, 12, "requests to engines are served by every daemon");
    for index in &cut {
        fleet.relays[*index].set_cut(false);
    }
    fleet.wait_for_peers(2).await?;
    let record =
        unlock("healed", "healed-key").send(&caller_client(), &fleet.daemons[0].callers).await;
    assert_eq!(record.outcome, CallerOutcome::Complete);
    records.push(record);
    check_agreement(&fleet, &records).await
}
