//! Calls the operators' interface of the daemons.
//!
//! Owns: the calls to daemons, and waiting until they have a generation in force. Relies on: the operators' address of
//! each daemon.

use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, Result};
use awc::Client;
use serde_json::Value;

use crate::arguments::{Arguments, ClearArguments, DrainArguments};
use crate::ToolExit;

/// Time within which a daemon must answer a call.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Time between two reads of a daemon's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the status of a daemon.
pub async fn status(address: &str) -> Result<Value> {
    get_json(address, "/status").await
}

/// Reads the requests that terminated targets, as known to a daemon.
pub async fn suspects(address: &str) -> Result<Value> {
    get_json(address, "/suspects").await
}

/// Reads the rollouts (orders to move pools to other versions), as known to a daemon.
pub async fn rollouts(address: &str) -> Result<Value> {
    get_json(address, "/rollouts").await
}

async fn get_json(address: &str, path: &str) -> Result<Value> {
    let client = Client::builder().timeout(CALL_LIMIT).disable_redirects().finish();
    let call = client.get(format!("http://{address}{path}")).send().await;
    let mut response = call.map_err(|error| anyhow!("daemon {address}: {error}"))?;
    let body = response
        .body()
        .limit(8 << 20)
        .await
        .map_err(|error| anyhow!("daemon {address}: {error}"))?;
    Ok(serde_json::from_slice(&body)?)
}

/// Waits until each daemon has a generation in force, and names the daemons that do not have it in time.
pub async fn wait_for(arguments: &Arguments, generation: u64, limit: Duration) -> Result<ToolExit> {
    let started = Instant::now();
    // Daemons are polled concurrently, so that an unresponsive one does not hide the state of the others.
    let poll =
        |daemon: &String| tokio::time::timeout(limit, poll_until(daemon.clone(), generation));
    let reached = futures_util::future::join_all(arguments.daemons.iter().map(poll)).await;
    let results = arguments.daemons.iter().zip(reached);
    let behind: Vec<&str> = results
        .filter(|(_, reached)| reached.is_err())
        .map(|(daemon, _)| daemon.as_str())
        .collect();
    if behind.is_empty() {
        let daemons = arguments.daemons.len();
        println!("in force on {daemons} daemon(s) after {} ms", started.elapsed().as_millis());
        return Ok(ToolExit::Done);
    }
    eprintln!("not in force within {} s on: {}", limit.as_secs(), behind.join(", "));
    Ok(ToolExit::NotEverywhere)
}

/// Reads the status of a daemon until it has a generation in force.
async fn poll_until(daemon: String, generation: u64) {
    loop {
        // Calls that fail are repeated; the caller's timeout ends the loop and reports the daemon.
        if let Ok(status) = status(&daemon).await {
            if status["generation"].as_u64().is_some_and(|reached| reached >= generation) {
                return;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// `clear`: lets a request be served again. The first daemon that accepts the call informs the others.
pub async fn clear(arguments: &Arguments, options: &ClearArguments) -> Result<ToolExit> {
    let mut last_error =
        anyhow!("this command needs --daemons: operators' addresses of daemons as ip:port,ip:port");
    for daemon in &arguments.daemons {
        match post(daemon, &format!("/suspects/clear?digest={}", options.digest)).await {
            Ok(()) => {
                println!("{} is served again; {daemon} informs the other daemons", options.digest);
                return Ok(ToolExit::Done);
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// `drain`: begins the planned stop of a daemon.
pub async fn drain(options: &DrainArguments) -> Result<ToolExit> {
    post(&options.daemon, "/drain").await?;
    println!("{} is draining; it stops when its requests have ended", options.daemon);
    Ok(ToolExit::Done)
}

async fn post(address: &str, path: &str) -> Result<()> {
    let client = Client::builder().timeout(CALL_LIMIT).disable_redirects().finish();
    let call = client.post(format!("http://{address}{path}")).send().await;
    let response = call.map_err(|error| anyhow!("daemon {address}: {error}"))?;
    match response.status().is_success() {
        true => Ok(()),
        false => bail!("daemon {address}: answered with status {}", response.status()),
    }
}

/// Formats seconds since the Unix epoch as a date and time in UTC.
pub fn utc(seconds: u64) -> String {
    let days = (seconds / 86_400) as i64;
    // Converts days to a calendar date, by the usual algorithm with eras of 400 years from 1 March 0000.
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let second = seconds % 86_400;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}Z",
        second / 3_600,
        second / 60 % 60,
        second % 60
    )
}
