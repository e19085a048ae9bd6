//! Checks the platform stand-in: versions, conditional writes, watches, call counts and rate limits.

use anyhow::Result;
use awc::http::StatusCode;
use awc::Client;
use curlewcleat_standins::address::free_address;
use curlewcleat_standins::deployment::{get_json, wait_until};
use curlewcleat_standins::http::serve;
use curlewcleat_standins::platform::{PlatformOptions, PlatformStandIn};

async fn platform() -> Result<String> {
    let address = free_address()?;
    let options = PlatformOptions {
        address: address.clone(),
        writes_per_s: 20,
        reads_per_s: 50,
        list_lag_ms: 0,
    };
    let served = address.clone();
    actix_rt::spawn(async move { serve(&served, PlatformStandIn::new(options)).await });
    wait_until("the platform listens", || async { get_json(&address, "/_counts").await.is_ok() })
        .await?;
    Ok(address)
}

async fn put(address: &str, key: &str, condition: (&'static str, &str)) -> Result<StatusCode> {
    let call =
        Client::default().put(format!("http://{address}/objects/{key}")).insert_header(condition);
    let response = call.send_body("value").await.map_err(|error| anyhow::anyhow!("{error}"))?;
    Ok(response.status())
}

#[actix_rt::test]
async fn writes_respect_version_conditions() -> Result<()> {
    let address = platform().await?;
    assert_eq!(put(&address, "a", ("If-None-Match", "*")).await?, StatusCode::CREATED);
    assert_eq!(put(&address, "a", ("If-None-Match", "*")).await?, StatusCode::PRECONDITION_FAILED);
    assert_eq!(put(&address, "a", ("If-Match", "\"1\"")).await?, StatusCode::OK);
    assert_eq!(put(&address, "a", ("If-Match", "\"1\"")).await?, StatusCode::PRECONDITION_FAILED);
    assert_eq!(get_json(&address, "/objects?prefix=a").await?, serde_json::json!(["a"]));
    Ok(())
}

#[actix_rt::test]
async fn calls_are_counted_and_limited_and_a_watch_counts_once() -> Result<()> {
    let address = platform().await?;
    let mut limited = 0;
    for number in 0..40 {
        let status = put(&address, &format!("k{number}"), ("If-None-Match", "*")).await?;
        limited += u64::from(status == StatusCode::TOO_MANY_REQUESTS);
    }
    assert!(limited > 0, "forty writes at once are more than twenty a second");
    let watch = format!("http://{address}/objects/none?after=0&wait_ms=50");
    let answer =
        Client::default().get(watch).send().await.map_err(|error| anyhow::anyhow!("{error}"))?;
    assert_eq!(answer.status(), StatusCode::NOT_MODIFIED);
    let counts = get_json(&address, "/_counts").await?;
    assert_eq!(counts["writes"], 40);
    assert_eq!(counts["watches"], 1);
    assert_eq!(counts["limited"], limited);
    Ok(())
}
