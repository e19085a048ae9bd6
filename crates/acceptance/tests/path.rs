//! The whole path: configuration files applied by the tool reach two daemons, and requests pass through each of them.

use anyhow::Result;
use curlewcleat_acceptance::{ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerOutcome};
use curlewcleat_standins::verdicts::{disagreements, read_ledgers};

#[actix_rt::test]
async fn each_daemon_serves_a_stream_and_an_unlock() -> Result<()> {
    let fleet = ready_fleet("path", 2, 1, 2).await?;
    let client = caller_client();
    let mut records = Vec::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let unlock =
            CallerCall::service("/v1/sessions/unlock", DRIVERS, &format!("unlock-{index}"))
                .header("Idempotency-Key", &format!("key-{index}"));
        records.push(unlock.send(&client, &daemon.callers).await);
        let stream = CallerCall::engine(
            "/v1/assistant/ask",
            DEPOTS,
            &format!("ask-{index}"),
            "how much",
            20,
        );
        records.push(stream.send(&client, &daemon.callers).await);
    }
    for record in &records {
        assert_eq!(record.outcome, CallerOutcome::Complete, "{}", record.nonce);
    }
    assert_eq!(disagreements(&read_ledgers(&fleet).await?, &records), Vec::<String>::new());
    Ok(())
}

#[actix_rt::test]
async fn unknown_token_and_path_are_refused_with_their_reason() -> Result<()> {
    let fleet = ready_fleet("refused", 0, 1, 1).await?;
    let client = caller_client();
    let entry = &fleet.daemons[0].callers;
    let unknown_token =
        CallerCall::service("/v1/sessions/unlock", "nobody", "n1").send(&client, entry).await;
    let unknown_path = CallerCall::service("/v1/nowhere", DRIVERS, "n2").send(&client, entry).await;
    let refused = |record: &curlewcleat_standins::callers::CallerRecord| match &record.outcome {
        CallerOutcome::Refused { status, reason, may_have_run, .. } => {
            (*status, reason.clone(), *may_have_run)
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(&unknown_token), (401, "unauthorized".to_string(), false));
    assert_eq!(refused(&unknown_path), (404, "no_rule".to_string(), false));
    assert!(read_ledgers(&fleet).await?.is_empty());
    Ok(())
}
