//! Overload and faults at the same time, on real processes under an open-loop load.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_acceptance::{ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{CallerOutcome, CallerRecord};
use curlewcleat_standins::deployment::{wait_until, Deployment};
use curlewcleat_standins::load::{report, LoadPlan, LoadReport, LoadStream};
use curlewcleat_standins::verdicts::{disagreements, read_ledgers};
use serde_json::json;

/// Seed of the loads; printed with each failure.
const SEED: u64 = 7;

/// Returns a load of unlock, roadside and review requests; `rate` is the sum of the rates of the two streams that
/// share the engines. Eight slots at 2 ms a token, 3.2 ms with the timer's granularity, run about 48 requests of 52
/// tokens a second.
fn plan(rate: f64) -> LoadPlan {
    let stream =
        |tier: &str, path: &str, token: &str, rate_per_s: f64, timeout_s: u64| LoadStream {
            tier: tier.to_string(),
            path: path.to_string(),
            token: token.to_string(),
            rate_per_s,
            prompt_tokens: Some((20, 400)),
            output_tokens: (10, 150),
            prefixes: 0,
            keyed: false,
            timeout: Duration::from_secs(timeout_s),
        };
    let unlock = stream("start-stop", "/v1/sessions/unlock", DRIVERS, 40.0, 5);
    LoadPlan {
        seed: SEED,
        duration: Duration::from_secs(4),
        burst: 1.0,
        streams: vec![
            LoadStream { prompt_tokens: None, keyed: true, ..unlock },
            stream("roadside", "/v1/assistant/ask", DRIVERS, 0.2 * rate, 5),
            stream("review", "/v1/assistant/disputes", DEPOTS, 0.8 * rate, 5),
        ],
    }
}

/// Checks the answers of the callers against the records of the targets, and prints a report.
async fn check_and_report(
    fleet: &Deployment,
    plan: &LoadPlan,
    records: &[CallerRecord],
) -> Result<LoadReport> {
    let runs = read_ledgers(fleet).await?;
    assert_eq!(disagreements(&runs, records), Vec::<String>::new(), "seed {SEED}");
    let report = report(plan, records, &runs);
    report.print();
    Ok(report)
}

fn entry_daemons(fleet: &Deployment) -> Vec<String> {
    fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect()
}

/// Starts a load without waiting for it.
fn begin(plan: &LoadPlan, fleet: &Deployment) -> actix_rt::task::JoinHandle<Vec<CallerRecord>> {
    let (plan, entry_daemons) = (plan.clone(), entry_daemons(fleet));
    actix_rt::spawn(async move { plan.run(&entry_daemons).await })
}

#[actix_rt::test]
async fn burst_at_three_times_capacity_sheds_only_the_lowest_tier() -> Result<()> {
    let fleet = ready_fleet("burst", 2, 1, 3).await?;
    let plan = plan(145.0);
    let records = plan.run(&entry_daemons(&fleet)).await;
    let report = check_and_report(&fleet, &plan, &records).await?;
    for tier in ["start-stop", "roadside"] {
        assert_eq!(
            report.tiers[tier].refusals.len(),
            0,
            "{tier}, seed {SEED}: {:?}",
            report.tiers[tier].refusals
        );
    }
    let review: u64 = report.tiers["review"].refusals.values().sum();
    assert!(review > 0, "the overload sheds requests of the lowest tier");
    Ok(())
}

#[actix_rt::test]
async fn entry_daemon_killed_in_a_platform_outage_under_load_stops_no_other_daemon() -> Result<()> {
    let mut fleet = ready_fleet("outage-and-death", 2, 1, 3).await?;
    fleet.fault(&fleet.platform.address, json!({"down": true})).await?;
    let plan = plan(45.0);
    let load = begin(&plan, &fleet);
    wait_until("the load runs", || async {
        read_ledgers(&fleet).await.is_ok_and(|runs| runs.len() > 40)
    })
    .await?;
    fleet.daemons[0].process.kill();
    let records = load.await?;
    check_and_report(&fleet, &plan, &records).await?;
    // Calls go to the daemons in turn. The two running daemons served every request that needed no key of the killed
    // one, although the platform was down all the time.
    for (index, record) in records.iter().enumerate().filter(|(index, _)| index % 3 != 0) {
        let served = record.outcome == CallerOutcome::Complete;
        assert!(served || record.tier == "start-stop", "{index} {record:?}, seed {SEED}");
    }
    Ok(())
}

#[actix_rt::test]
async fn suspended_scheduler_and_faulty_targets_cause_no_false_verdict() -> Result<()> {
    let fleet = ready_fleet("freeze-and-cut", 2, 2, 3).await?;
    let plan = plan(45.0);
    let load = begin(&plan, &fleet);
    wait_until("the load runs", || async {
        read_ledgers(&fleet).await.is_ok_and(|runs| runs.len() > 40)
    })
    .await?;
    fleet.daemons[1].process.signal("STOP")?;
    for target in &fleet.targets {
        let faults = json!({"cuts": 3, "cut_bytes": 20, "close_after_read": 3, "close_pooled": 3, "not_started": 3});
        fleet.fault(&target.address, faults).await?;
    }
    let runs = read_ledgers(&fleet).await?.len();
    wait_until("the load goes on", || async {
        read_ledgers(&fleet).await.is_ok_and(|now| now.len() > runs + 60)
    })
    .await?;
    fleet.daemons[1].process.signal("CONT")?;
    let records = load.await?;
    check_and_report(&fleet, &plan, &records).await?;
    Ok(())
}
