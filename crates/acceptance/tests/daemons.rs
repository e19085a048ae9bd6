//! Daemons that are killed, frozen, cut off or stopped: nothing runs twice, every verdict is true,
//! and the rest of the fleet goes on.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_acceptance::{configuration, ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerEnd, CallerRecord};
use curlewcleat_standins::deployment::{status, wait_status, wait_until, Deployment};
use curlewcleat_standins::verdicts::{disagreements, ledgers};
use curlewcleat_targets::ConnectionPool;
use rstest::rstest;
use serde_json::json;

fn unlock(nonce: &str, key: &str) -> CallerCall {
    CallerCall::service("/v1/sessions/unlock", DRIVERS, nonce).header("Idempotency-Key", key)
}

fn ask(nonce: &str, tokens: u64) -> CallerCall {
    CallerCall::engine("/v1/assistant/ask", DEPOTS, nonce, "how much", tokens)
}

async fn agree(fleet: &Deployment, records: &[CallerRecord]) -> Result<()> {
    assert_eq!(disagreements(&ledgers(fleet).await?, records), Vec::<String>::new());
    Ok(())
}

/// Index of the daemon that schedules a pool.
async fn scheduler_of(fleet: &Deployment, pool: &str) -> Result<usize> {
    let status = status(&fleet.daemons[0].operators).await?;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let vm = pools.iter().find(|entry| entry["id"] == pool).map(|entry| entry["scheduler"].clone());
    let index = fleet.daemons.iter().position(|daemon| Some(json!(daemon.vm)) == vm);
    index.ok_or_else(|| anyhow::anyhow!("no scheduler of {pool}"))
}

/// Waits until the ledgers hold a nonce.
async fn started(fleet: &Deployment, nonce: &str) -> Result<()> {
    wait_until(&format!("{nonce} runs"), || async {
        ledgers(fleet).await.is_ok_and(|entries| entries.iter().any(|entry| entry.nonce == nonce))
    })
    .await
}

/// Starts calls at an entry without waiting for them.
fn begin(calls: Vec<CallerCall>, entry: &str) -> Vec<actix_rt::task::JoinHandle<CallerRecord>> {
    let entry = entry.to_string();
    let start = |call: CallerCall| {
        let entry = entry.clone();
        actix_rt::spawn(async move { call.send(&caller_client(), &entry).await })
    };
    calls.into_iter().map(start).collect()
}

async fn finish(tasks: Vec<actix_rt::task::JoinHandle<CallerRecord>>) -> Result<Vec<CallerRecord>> {
    let mut records = Vec::new();
    for task in tasks {
        records.push(task.await?);
    }
    Ok(records)
}

#[actix_rt::test]
async fn entry_killed_with_requests_queued_and_streaming() -> Result<()> {
    let mut fleet = ready_fleet("entry-killed", 1, 1, 3).await?;
    let victim = (scheduler_of(&fleet, "assistant").await? + 1) % 3;
    let other = (victim + 1) % 3;
    // Four slots: some stream, the rest wait.
    let calls: Vec<CallerCall> = (0..10).map(|index| ask(&format!("lost-{index}"), 200)).collect();
    let tasks = begin(calls, &fleet.daemons[victim].callers);
    wait_until("four run", || async {
        ledgers(&fleet).await.is_ok_and(|entries| entries.len() >= 4)
    })
    .await?;
    fleet.daemons[victim].process.kill();
    let mut records = finish(tasks).await?;
    assert!(records.iter().all(|record| record.end == CallerEnd::Broken));
    // The permits of the dead entry come back, so later requests find the slots free.
    for index in 0..4 {
        let record = ask(&format!("later-{index}"), 5)
            .send(&caller_client(), &fleet.daemons[other].callers)
            .await;
        assert_eq!(record.end, CallerEnd::Whole);
        records.push(record);
    }
    agree(&fleet, &records).await
}

#[rstest]
#[case::killed("KILL")]
#[case::frozen("STOP")]
#[actix_rt::test]
async fn requests_outlive_their_scheduler(#[case] signal: &str) -> Result<()> {
    let fleet = ready_fleet("scheduler", 1, 1, 3).await?;
    let scheduler = scheduler_of(&fleet, "assistant").await?;
    let entry = (scheduler + 1) % 3;
    let calls: Vec<CallerCall> = (0..8).map(|index| ask(&format!("q-{index}"), 100)).collect();
    let tasks = begin(calls, &fleet.daemons[entry].callers);
    wait_until("four run", || async {
        ledgers(&fleet).await.is_ok_and(|entries| entries.len() >= 4)
    })
    .await?;
    fleet.daemons[scheduler].process.signal(signal)?;
    let mut records = finish(tasks).await?;
    for record in &records {
        assert_eq!(record.end, CallerEnd::Whole, "{}", record.nonce);
    }
    if signal == "STOP" {
        // The woken scheduler still believes in its old permits; nothing may come of that.
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
            assert_eq!(record.end, CallerEnd::Whole);
            records.push(record);
        }
    }
    agree(&fleet, &records).await
}

#[actix_rt::test]
async fn frozen_entry_wakes_after_its_caller_came_back_elsewhere() -> Result<()> {
    let fleet = ready_fleet("frozen-entry", 0, 1, 3).await?;
    let entry = 0;
    // The service is slow, so that the request is under way when the entry freezes.
    fleet.fault(&fleet.targets[0].address, json!({"delay_ms": 600})).await?;
    let tasks = begin(vec![unlock("n", "the-key")], &fleet.daemons[entry].callers);
    started(&fleet, "n").await?;
    fleet.daemons[entry].process.signal("STOP")?;
    let mut records = Vec::new();
    for other in [1, 2] {
        let record =
            unlock("n", "the-key").send(&caller_client(), &fleet.daemons[other].callers).await;
        let CallerEnd::Refused { may_have_run, .. } = record.end else {
            panic!("{:?}", record.end)
        };
        assert!(may_have_run);
        records.push(record);
    }
    fleet.daemons[entry].process.signal("CONT")?;
    records.extend(finish(tasks).await?);
    agree(&fleet, &records).await
}

#[actix_rt::test]
async fn woken_entry_does_not_dispatch_what_has_expired() -> Result<()> {
    let fleet = ready_fleet("woken-entry", 0, 1, 2).await?;
    // All slots are busy, so that the request waits for its permit when its entry freezes.
    fleet.fault(&fleet.targets[0].address, json!({"delay_ms": 1500})).await?;
    let busy: Vec<CallerCall> =
        (0..8).map(|index| unlock(&format!("busy-{index}"), &format!("b{index}"))).collect();
    let busy = begin(busy, &fleet.daemons[1].callers);
    wait_until("eight run", || async {
        ledgers(&fleet).await.is_ok_and(|entries| entries.len() == 8)
    })
    .await?;
    let late = unlock("late", "late-key").header("Curlewcleat-Timeout-Ms", "2000");
    let late = begin(vec![late], &fleet.daemons[0].callers);
    wait_status(&fleet.daemons[0].operators, "one request", |status| status["requests"] == 1)
        .await?;
    fleet.daemons[0].process.signal("STOP")?;
    let mut records = finish(busy).await?;
    let begun = std::time::Instant::now();
    wait_until("the deadline passes", || async { begun.elapsed() > Duration::from_millis(2_200) })
        .await?;
    fleet.daemons[0].process.signal("CONT")?;
    let late = finish(late).await?;
    let CallerEnd::Refused { reason, may_have_run, .. } = &late[0].end else {
        panic!("{:?}", late[0].end)
    };
    assert!(["deadline_passed", "deadline_unreachable"].contains(&reason.as_str()), "{reason}");
    assert!(!may_have_run);
    records.extend(late);
    agree(&fleet, &records).await
}

#[actix_rt::test]
async fn planned_stop_finishes_streams_and_hands_keys_over() -> Result<()> {
    let mut fleet = ready_fleet("planned-stop", 1, 1, 3).await?;
    let leaver = scheduler_of(&fleet, "assistant").await?;
    let other = (leaver + 1) % 3;
    let client = caller_client();
    let mut records = Vec::new();
    for index in 0..12 {
        let call = unlock(&format!("u-{index}"), &format!("k-{index}"));
        let record = call.send(&client, &fleet.daemons[leaver].callers);
        records.push(record.await);
    }
    let long = begin(vec![ask("long", 1_500)], &fleet.daemons[leaver].callers);
    started(&fleet, "long").await?;
    let (code, output) = fleet.tool(&["drain", &fleet.daemons[leaver].operators])?;
    assert_eq!(code, 0, "{output}");
    wait_status(&fleet.daemons[leaver].operators, "closing", |status| status["drain"] == "closing")
        .await?;
    let refused = ask("too-late", 5).send(&client, &fleet.daemons[leaver].callers).await;
    assert!(
        matches!(&refused.end, CallerEnd::Refused { reason, may_have_run: false, .. } if reason == "draining")
    );
    let long = finish(long).await?;
    assert_eq!(long[0].end, CallerEnd::Whole);
    wait_until_ended(&mut fleet, leaver).await?;
    // Each key is still known, and its small answer with it.
    wait_status(&fleet.daemons[other].operators, "a newer key table", |status| {
        status["key_table"].as_u64() > Some(1)
    })
    .await?;
    for index in 0..12 {
        let again = unlock(&format!("u-{index}"), &format!("k-{index}"));
        let record = again.send(&client, &fleet.daemons[other].callers).await;
        assert_eq!(record.end, CallerEnd::Whole, "the kept answer of k-{index}");
        records.push(record);
    }
    records.extend(long);
    records.push(refused);
    agree(&fleet, &records).await
}

async fn wait_until_ended(fleet: &mut Deployment, index: usize) -> Result<()> {
    let begun = std::time::Instant::now();
    loop {
        if let Some(code) = fleet.daemons[index].process.ended() {
            assert_eq!(code, 0);
            return Ok(());
        }
        anyhow::ensure!(
            begun.elapsed() < Duration::from_secs(30),
            "the drained daemon does not end"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends twelve requests with a key each to an entry; the same ones every time.
async fn unlock_twelve(client: &ConnectionPool, entry: &str) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    for index in 0..12 {
        let call = unlock(&format!("n-{index}"), &format!("k-{index}"));
        records.push(call.send(client, entry).await);
    }
    records
}

/// Reason of each refusal, and whether the request may have run.
fn refusals(records: &[CallerRecord]) -> Vec<(&str, bool)> {
    let refusals = records.iter().filter_map(|record| match &record.end {
        CallerEnd::Refused { reason, may_have_run, .. } => Some((reason.as_str(), *may_have_run)),
        _ => None,
    });
    refusals.collect()
}

/// A time six seconds from now: more than clocks may differ, so that a key minted then counts as newer
/// than what has happened so far.
fn time_beyond_skew() -> uuid::Timestamp {
    let later = Duration::from_secs(6);
    let now = uuid::Uuid::now_v7();
    let (seconds, nanos) = now.get_timestamp().map(|stamp| stamp.to_unix()).unwrap_or_default();
    uuid::Timestamp::from_unix(uuid::NoContext, seconds + later.as_secs(), nanos)
}

#[actix_rt::test]
async fn keys_of_a_dead_home_are_never_run_again() -> Result<()> {
    let mut fleet = ready_fleet("dead-home", 0, 1, 3).await?;
    fleet.list_vms(&["entry-0", "entry-1", "entry-2"], &[]).await?;
    let client = caller_client();
    let mut records = unlock_twelve(&client, &fleet.daemons[0].callers).await;
    fleet.daemons[2].process.kill();
    // While the home is dead and nobody has said that its VM is gone, its keys are refused.
    let repeated = unlock_twelve(&client, &fleet.daemons[1].callers).await;
    for refusal in refusals(&repeated) {
        assert_eq!(refusal, ("key_home_unreachable", true));
    }
    assert!(!refusals(&repeated).is_empty(), "the dead daemon held some of the keys");
    records.extend(repeated);
    fleet.list_vms(&["entry-0", "entry-1"], &[]).await?;
    wait_status(&fleet.daemons[1].operators, "the slots of the dead home", |status| {
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
        assert_eq!(record.end, CallerEnd::Whole);
        records.push(record);
    }
    agree(&fleet, &records).await
}

#[actix_rt::test]
async fn first_attempt_passes_while_the_home_is_dead() -> Result<()> {
    let mut fleet = ready_fleet("first-attempt", 0, 1, 2).await?;
    fleet.daemons[1].process.kill();
    let client = caller_client();
    let mut records = Vec::new();
    for index in 0..8 {
        let call =
            unlock(&format!("n-{index}"), &format!("k-{index}")).header("Idempotency-Attempt", "1");
        let record = call.send(&client, &fleet.daemons[0].callers).await;
        assert_eq!(record.end, CallerEnd::Whole);
        records.push(record);
        let call =
            unlock(&format!("n-{index}"), &format!("k-{index}")).header("Idempotency-Attempt", "2");
        records.push(call.send(&client, &fleet.daemons[0].callers).await);
    }
    agree(&fleet, &records).await
}

#[rstest]
#[case::one_way(vec![0])]
#[case::both_ways(vec![0, 1])]
#[actix_rt::test]
async fn cut_links_delay_and_double_nothing(#[case] cut: Vec<usize>) -> Result<()> {
    let mut fleet = Deployment::start("cut-links").await?;
    fleet.relayed();
    fleet.target("engine", &["--slots", "4"]).await?;
    fleet.target("service", &["--slots", "8"]).await?;
    fleet.daemons(3).await?;
    fleet.apply("all.ini", &configuration(&fleet, "", ""))?;
    fleet.peers_ready(2).await?;
    fleet.key_table_ready().await?;
    for index in &cut {
        fleet.relays[*index].set_cut(true);
    }
    let mut records = Vec::new();
    let mut served = 0;
    for index in 0..12 {
        let at = &fleet.daemons[index % 3].callers;
        let record = ask(&format!("a-{index}"), 5).send(&caller_client(), at).await;
        served += usize::from(record.end == CallerEnd::Whole);
        records.push(record);
        let call = unlock(&format!("u-{index}"), &format!("k-{index}"));
        records.push(call.send(&caller_client(), at).await);
        // The same key through another entry.
        let at = &fleet.daemons[(index + 1) % 3].callers;
        let call = unlock(&format!("u-{index}"), &format!("k-{index}"));
        records.push(call.send(&caller_client(), at).await);
    }
    assert_eq!(served, 12, "engine requests go on through any entry");
    for index in &cut {
        fleet.relays[*index].set_cut(false);
    }
    fleet.peers_ready(2).await?;
    let record =
        unlock("healed", "healed-key").send(&caller_client(), &fleet.daemons[0].callers).await;
    assert_eq!(record.end, CallerEnd::Whole);
    records.push(record);
    agree(&fleet, &records).await
}
