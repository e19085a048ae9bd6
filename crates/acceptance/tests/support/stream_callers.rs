//! Callers whose streams break off when all daemons are killed, and who take them up again with the time that is left.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use actix_http::header::{self, HeaderName, HeaderValue};
use anyhow::{ensure, Context, Result};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::{EngineStep, FleetDeployment, FleetEngine};
use curlewcleat_targets::{AnswerBody, ConnectionPool};
use futures_util::future::{join_all, try_join_all};
use futures_util::StreamExt;

/// Events of a stream.
pub const EVENTS: u64 = 6;
/// Time between two events.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Events that a caller has when its stream breaks off.
const EVENTS_BEFORE: u64 = 2;
/// Time that callers have for a stream, over all of their attempts.
const CALLER_LIMIT: Duration = Duration::from_secs(4);
/// Time within which callers take up a stream, and after which a further attempt is not made.
const TAKE_UP_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait between two attempts.
const LONGEST_WAIT: Duration = Duration::from_millis(300);
/// Time for which engines pause in a stream that is to break off.
const PAUSE: Duration = Duration::from_secs(8);
const PATH: &str = "/resumed/stream/a";

/// How a caller's attempts to take up a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeUpEnd {
    /// The stream went on to its end.
    Whole,
    /// The last attempt got this status.
    Refused(u16),
    /// The last attempt got no answer, or a cut one.
    Failed,
}

/// A stream that broke off.
#[derive(Clone, Debug)]
pub struct BrokenStream {
    /// The attempt that brought its first event.
    pub attempt: String,
    begun: Instant,
}

async fn send(
    entry: &str,
    attempt: &str,
    time_left: Duration,
    begun_as: Option<&str>,
) -> Result<(u16, Option<Duration>, AnswerBody)> {
    let mut head = fleet_head(PATH, attempt)?;
    let mut set = |name: &'static str, value: String| -> Result<()> {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value)?);
        Ok(())
    };
    set(WIRE_PROFILE.time_left, time_left.as_millis().to_string())?;
    if let Some(begun_as) = begun_as {
        set(WIRE_PROFILE.last_event, EVENTS_BEFORE.to_string())?;
        set(WIRE_PROFILE.resumes, begun_as.to_string())?;
    }
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(1)).await?;
    let answer = connection.exchange(head, Bytes::from(attempt.to_string())).await?;
    let retry_after = answer.head.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let retry_after = retry_after.map(Duration::from_secs_f64);
    Ok((answer.head.status.as_u16(), retry_after, answer.body))
}

/// Sends a request for a stream; returns whether it was served whole.
pub async fn serves(entry: &str, attempt: &str) -> bool {
    let Ok((status, _, body)) = send(entry, attempt, CALLER_LIMIT, None).await else {
        return false;
    };
    status == 200 && read(body).await.is_ok()
}

async fn read(mut body: AnswerBody) -> Result<String> {
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        bytes.extend_from_slice(&part?);
    }
    Ok(String::from_utf8(bytes)?)
}

/// Begins streams at the daemons in turn, each of which brings its first events and then pauses.
pub async fn begin_streams(fleet: &FleetDeployment, names: &[String]) -> Result<Vec<BrokenStream>> {
    let begin = |(index, name): (usize, &String)| {
        let (entry, attempt) =
            (fleet.daemons[index % fleet.daemons.len()].callers.clone(), name.clone());
        fleet.set_attempt_step(&attempt, EngineStep::Pause(EVENTS_BEFORE, PAUSE));
        async move {
            let begun = Instant::now();
            let (status, _, mut body) = send(&entry, &attempt, CALLER_LIMIT, None).await?;
            ensure!(status == 200, "{attempt}: {status}");
            let length = FleetEngine::expected_stream(&attempt, EVENTS_BEFORE).len();
            let mut received = 0;
            while received < length {
                received += body.next().await.context("the stream ended")??.len();
            }
            Ok(BrokenStream { attempt, begun })
        }
    };
    try_join_all(names.iter().enumerate().map(begin)).await
}

/// Takes up a stream, and again where the answer is a refusal with a `Retry-After` or there is none.
async fn take_up(entry: &str, stream: &BrokenStream) -> TakeUpEnd {
    let since = Instant::now();
    let mut end = TakeUpEnd::Failed;
    for number in 0.. {
        let time_left = CALLER_LIMIT.saturating_sub(stream.begun.elapsed());
        if time_left.is_zero() || since.elapsed() > TAKE_UP_LIMIT {
            break;
        }
        let attempt = format!("{}+{number}", stream.attempt);
        let wait = match send(entry, &attempt, time_left, Some(&stream.attempt)).await {
            Ok((200, _, body)) => {
                let expected = FleetEngine::expected_stream(&attempt, EVENTS);
                let skipped = FleetEngine::expected_stream(&attempt, EVENTS_BEFORE).len();
                return match read(body).await {
                    Ok(text) if text == expected[skipped..] => TakeUpEnd::Whole,
                    _ => TakeUpEnd::Failed,
                };
            }
            Ok((status, retry_after, _)) => {
                end = TakeUpEnd::Refused(status);
                let Some(retry_after) = retry_after else { return end };
                retry_after
            }
            Err(_) => Duration::from_millis(50),
        };
        tokio::time::sleep(wait.min(LONGEST_WAIT)).await;
    }
    end
}

/// Takes up streams at these daemons in turn.
pub async fn take_up_all(entries: &[String], streams: &[BrokenStream]) -> Vec<TakeUpEnd> {
    let taken_up = streams
        .iter()
        .zip(entries.iter().cycle())
        .map(|(stream, entry)| async move { take_up(entry, stream).await });
    join_all(taken_up).await
}

/// Returns the streams that went on at engines of another version than the one that began them; `versions` holds the
/// version of each engine.
pub fn joined_streams(fleet: &FleetDeployment, versions: &[&'static str]) -> Vec<String> {
    let mut begun: BTreeMap<String, &str> = BTreeMap::new();
    let mut continued: Vec<(String, &str)> = Vec::new();
    for (engine, version) in fleet.engines.iter().zip(versions) {
        for run in engine.runs() {
            match run.attempt.split_once('+') {
                Some((first, _)) => continued.push((first.to_string(), version)),
                None => drop(begun.insert(run.attempt, version)),
            }
        }
    }
    let is_joined =
        |(first, version): &(String, &str)| begun.get(first).is_none_or(|begun| begun != version);
    continued
        .into_iter()
        .filter(is_joined)
        .map(|(first, version)| format!("{first} at {version}"))
        .collect()
}
