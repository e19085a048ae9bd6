//! An answer of an unframed stream or record, read part by part.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use anyhow::{Context, Result};
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::stream_engine::StreamEvent;
use curlewcleat_targets::{AnswerBody, ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;

use crate::support::event_streams::EVENTS;

/// Time that callers state, in milliseconds.
const TIME_LEFT_MS: &str = "6000";
/// Most connections of one request that are closed without a byte.
const MAX_UNREAD: u32 = 20;
/// Time after such a connection.
const UNREAD_PAUSE: Duration = Duration::from_millis(50);

/// An answer to a caller.
pub struct PlayedAnswer {
    pub status: u16,
    body: AnswerBody,
    pub text: String,
    /// When the latest part arrived.
    pub latest: Instant,
}

impl PlayedAnswer {
    /// Sends a request. A connection that is closed without a byte may have been closed unread, so it is sent again.
    pub async fn begin(entry: &str, path: &str, attempt: &str) -> Result<PlayedAnswer> {
        for _ in 0..MAX_UNREAD {
            if let Ok(answer) = PlayedAnswer::begin_once(entry, path, attempt).await {
                return Ok(answer);
            }
            tokio::time::sleep(UNREAD_PAUSE).await;
        }
        PlayedAnswer::begin_once(entry, path, attempt).await
    }

    /// Sends a request once.
    pub async fn begin_once(entry: &str, path: &str, attempt: &str) -> Result<PlayedAnswer> {
        PlayedAnswer::send(entry, path, attempt, &[]).await
    }

    /// Sends a request that takes up the stream which an attempt began, behind an event.
    pub async fn take_up(
        entry: &str,
        path: &str,
        attempt: &str,
        (begun_as, last): (&str, u64),
    ) -> Result<PlayedAnswer> {
        let headers =
            [(WIRE_PROFILE.resumes, begun_as), (WIRE_PROFILE.last_event, &last.to_string())];
        PlayedAnswer::send(entry, path, attempt, &headers).await
    }

    async fn send(
        entry: &str,
        path: &str,
        attempt: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<PlayedAnswer> {
        let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
        let options = ExchangeOptions { allow_close_delimited: true, ..Default::default() };
        let mut head = fleet_head(path, attempt)?;
        for (name, value) in [&[(WIRE_PROFILE.time_left, TIME_LEFT_MS)], headers].concat() {
            head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(value)?);
        }
        let body = Bytes::from(attempt.to_string());
        let answer = connection.exchange_with(head, body, &options).await?;
        let status = answer.head.status.as_u16();
        let (text, latest) = (String::new(), Instant::now());
        Ok(PlayedAnswer { status, body: answer.body, text, latest })
    }

    /// Reads a part; `None` at the end, which is an error if the answer is visibly cut.
    async fn next(&mut self) -> Option<Result<()>> {
        let part = self.body.next().await?;
        self.latest = Instant::now();
        Some(part.map_err(anyhow::Error::from).map(|part| {
            self.text.push_str(&String::from_utf8_lossy(&part));
        }))
    }

    /// Reads the rest and returns whether the answer ends as complete.
    pub async fn read_to_end(&mut self) -> bool {
        while let Some(part) = self.next().await {
            if part.is_err() {
                return false;
            }
        }
        true
    }

    /// Returns the events that have arrived whole.
    pub fn events(&self) -> Vec<StreamEvent> {
        self.text
            .split_inclusive("\n\n")
            .filter_map(|text| StreamEvent::read(text.trim_end()))
            .collect()
    }

    /// Reads until this many events have arrived.
    pub async fn read_events(&mut self, count: usize) -> Result<()> {
        while self.events().len() < count {
            self.next().await.context("the stream ended")??;
        }
        Ok(())
    }

    /// Returns whether all events of the stream have arrived, each once.
    pub fn is_whole_stream(&self) -> bool {
        let numbers: Vec<u64> = self.events().iter().map(|event| event.number).collect();
        numbers == (1..=EVENTS).collect::<Vec<_>>()
    }
}

/// Returns the id of the engine that made an event.
pub fn engine_of(event: &StreamEvent) -> &str {
    event.run.split('#').next().unwrap_or_default()
}
