//! Parts of prompts that terminate the engines that begin to write an answer on them.
//!
//! Guards against daemons that know a request as a whole only: no two of these requests are alike, so each of them had
//! one interruption, and every engine of a pool terminated.

mod support;

use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::example::{DEPOTS_KEY, DRIVERS_KEY};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::{has_part, FleetDeployment, LethalTrigger};
use curlewcleat_targets::{collect, ConnectionPool};
use rstest::rstest;

use support::wait_served;

const PATH: &str = "/plain/stream/a";
const DAEMONS: usize = 3;
const ENGINES: usize = 40;
const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the arrival of a lethal request at an engine to the termination of the engine.
const TERMINATION_DELAY: Duration = Duration::from_millis(60);
/// Time after which the list entry of a terminated engine expires: longer than the bound allows.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_300);
const CALL_INTERVAL: Duration = Duration::from_millis(45);
/// One request in this many has the lethal part.
const LETHAL_SHARE: usize = 4;
/// Load without and then with lethal requests.
const SOUND_LOAD: Duration = Duration::from_secs(2);
const LOAD: Duration = Duration::from_secs(12);

/// The required bound: requests that reach engines later than this after the fifth termination.
const BOUND: Duration = Duration::from_secs(3);
const COUNTED_TERMINATIONS: usize = 5;
const LATE_LIMIT: usize = 3;
/// Time after the fifth termination from which sound requests have to be served as before.
const SERVED_AFTER: Duration = Duration::from_secs(6);
/// Required share of first attempts of sound requests that are served, in percent.
const SERVED_PERCENT: usize = 95;

const LETHAL_PART: &str = "deadbeef";
/// Parts that lethal and sound requests share.
const SYSTEM_PART: &str = "5c1e07a2";
const OTHER_SYSTEM_PART: &str = "0a77f3c1";
const SUBJECTS: usize = 5;

/// Where the prompts of lethal requests have the lethal part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartPlace {
    First,
    Middle,
    LastShared,
}

/// A request that was sent.
struct SentRequest {
    at: Instant,
    lethal: bool,
    served: bool,
}

/// Returns the parts of the prompt of request `number`.
fn parts(number: usize, lethal: Option<PartPlace>) -> String {
    let system = if number.is_multiple_of(3) { OTHER_SYSTEM_PART } else { SYSTEM_PART };
    let subject = format!("a{}", number % SUBJECTS);
    let mut ids = vec![system, subject.as_str()];
    match lethal {
        Some(PartPlace::First) => ids.insert(0, LETHAL_PART),
        Some(PartPlace::Middle) => ids.insert(1, LETHAL_PART),
        Some(PartPlace::LastShared) => ids.push(LETHAL_PART),
        None => {}
    }
    let shared: Vec<String> = ids.iter().map(|id| format!("{id}:60")).collect();
    format!("{},b{number}:30", shared.join(","))
}

/// Sends one request on a new connection and returns whether it was served completely.
async fn call(entry: String, number: usize, lethal: Option<PartPlace>) -> Result<bool> {
    let mut head = fleet_head(PATH, &format!("attempt-{number}"))?;
    let key = if number.is_multiple_of(2) { DRIVERS_KEY } else { DEPOTS_KEY };
    let headers = [
        ("authorization", format!("Bearer {key}")),
        (WIRE_PROFILE.prompt_parts, parts(number, lethal)),
    ];
    for (name, value) in headers {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value)?);
    }
    let connection = ConnectionPool::default().connect(&entry, Duration::from_secs(2)).await?;
    let answer = connection.exchange(head, Bytes::from(format!("body {number}"))).await?;
    let success = answer.head.status.is_success();
    Ok(success && collect(answer.body, 1 << 16).await.is_ok())
}

/// Sends requests to all daemons in turn, from request `first` on.
async fn load(
    fleet: &FleetDeployment,
    first: usize,
    duration: Duration,
    lethal: Option<PartPlace>,
) -> Vec<SentRequest> {
    let end = Instant::now() + duration;
    let mut calls = Vec::new();
    for number in first.. {
        let at = Instant::now();
        if at >= end {
            break;
        }
        let entry = fleet.daemons[number % DAEMONS].callers.clone();
        let lethal = lethal.filter(|_| number.is_multiple_of(LETHAL_SHARE));
        calls.push((at, lethal, actix_rt::spawn(call(entry, number, lethal))));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let mut sent = Vec::new();
    for (at, lethal, call) in calls {
        // A request whose engine terminates gets no complete answer.
        let served = call.await.expect("the task of a caller ends").unwrap_or(false);
        sent.push(SentRequest { at, lethal: lethal.is_some(), served });
    }
    sent
}

/// Returns the share of first attempts of sound requests that were served, in percent.
fn served_percent<'r>(requests: impl Iterator<Item = &'r SentRequest>) -> usize {
    let sound: Vec<_> = requests.filter(|request| !request.lethal).collect();
    let served = sound.iter().filter(|request| request.served).count();
    assert!(sound.len() >= 20, "too few requests to judge: {}", sound.len());
    served * 100 / sound.len()
}

/// Returns when lethal requests reached each engine, for each engine the first of them at its beginning.
fn lethal_arrivals(fleet: &FleetDeployment) -> Vec<Vec<Instant>> {
    let arrivals = fleet.engines.iter().map(|engine| {
        let runs = engine.runs().into_iter().filter(|run| {
            let parts = run.headers.get(WIRE_PROFILE.prompt_parts);
            parts.is_some_and(|parts| has_part(parts, LETHAL_PART))
        });
        runs.filter_map(|run| run.begun).collect()
    });
    arrivals.collect()
}

#[rstest]
#[case::first("first", PartPlace::First)]
#[case::middle("middle", PartPlace::Middle)]
#[case::last_shared("last-shared", PartPlace::LastShared)]
#[actix_rt::test]
async fn prompt_part_that_terminated_five_engines_goes_on_terminating_others(
    #[case] name: &str,
    #[case] place: PartPlace,
) -> Result<()> {
    let mut fleet = FleetDeployment::start(&format!("lethal-part-{name}")).await?;
    fleet.store_config()?;
    for _ in 0..ENGINES {
        fleet.engine("engines", EVENTS, EVENT_INTERVAL).await?;
    }
    fleet.daemons(DAEMONS, "retry_saved = 100\nretry_ratio = 0.5").await?;
    wait_served(&fleet, PATH).await?;
    let before = load(&fleet, 0, SOUND_LOAD, None).await;
    assert!(served_percent(before.iter()) >= SERVED_PERCENT);
    let trigger = LethalTrigger::PromptPart(LETHAL_PART.to_string());
    fleet.terminate_engines_on(&trigger, TERMINATION_DELAY, ENTRY_EXPIRY);

    let sent = load(&fleet, before.len(), LOAD, Some(place)).await;

    let arrivals = lethal_arrivals(&fleet);
    let mut terminations: Vec<Instant> =
        arrivals.iter().filter_map(|runs| Some(*runs.first()? + TERMINATION_DELAY)).collect();
    terminations.sort();
    // The last one, if there are fewer.
    let counted = terminations.iter().take(COUNTED_TERMINATIONS).next_back();
    let counted = *counted.expect("the load terminates engines");
    let late = arrivals.iter().flatten().filter(|at| **at > counted + BOUND).count();
    let served = served_percent(sent.iter().filter(|request| request.at > counted + SERVED_AFTER));
    println!("{place:?}: {} terminated, {late} sent late, {served}% served", terminations.len());
    assert!(late <= LATE_LIMIT, "{late} reached engines late, {} terminated", terminations.len());
    assert!(served >= SERVED_PERCENT, "{served} of 100 sound requests were served");
    Ok(())
}
