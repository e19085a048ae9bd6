//! Answers of the stand-in of an engine: sound ones, and those in trouble.
//!
//! Owns: the pace of the events. Relies on: [`StreamEngine`] for the events of a stream.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};

use super::answer_framing::{measured_answer, AnswerFraming};
use super::stream_engine::{StreamEngine, PHASE};
use super::stream_script::{ScriptedFault, SHORT_EVENTS};
use super::stream_trouble::StreamTrouble;
use crate::http::{AfterAnswer, PlainConnection, PlainRequest};

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(12);
/// Time between both halves of an event.
const HALF_INTERVAL: Duration = Duration::from_millis(3);
/// Factor of the time between two events of an engine that is slow.
const SLOW_FACTOR: u32 = 5;
/// Time for which an engine that stops within an answer keeps its connection open.
const SILENT_TIME: Duration = Duration::from_secs(10);
/// Time before the first event of an answer that begins late.
const LATE_TIME: Duration = Duration::from_millis(1_300);

impl StreamEngine {
    pub(super) fn headers<'a>(&'a self, request: &'a PlainRequest) -> [(&'static str, &'a str); 3] {
        [
            (WIRE_PROFILE.attempt_id, request.header(WIRE_PROFILE.attempt_id)),
            (SEAL_HEADER, self.options.id.as_str()),
            ("content-type", "text/event-stream"),
        ]
    }

    /// Sends an answer with the fault that its path states.
    pub(super) async fn answer_scripted(
        &self,
        request: &PlainRequest,
        fault: ScriptedFault,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let headers = self.headers(request);
        if fault == ScriptedFault::Stuck {
            connection.begin_error(&headers[..2]).await?;
            tokio::time::sleep(SILENT_TIME).await;
            return Ok(AfterAnswer::Close);
        }
        let parts = self.parts(request, None)?;
        let framing = AnswerFraming::of(&request.path);
        framing.begin(&headers, &parts, connection).await?;
        if fault == ScriptedFault::Mute {
            tokio::time::sleep(SILENT_TIME).await;
            return Ok(AfterAnswer::Close);
        }
        let begun = parts.first().and_then(|part| fault.only_part(part));
        if let Some(begun) = begun {
            self.send(begun, framing, connection).await?;
            tokio::time::sleep(PHASE).await;
            connection.reset_on_close()?;
            return Ok(AfterAnswer::Close);
        }
        tokio::time::sleep(if fault == ScriptedFault::Late { LATE_TIME } else { PHASE }).await;
        let count = if fault == ScriptedFault::Short { SHORT_EVENTS } else { parts.len() };
        for part in parts.iter().take(count) {
            self.send(part, framing, connection).await?;
        }
        tokio::time::sleep(PHASE).await;
        if parts.len() > count {
            return Ok(AfterAnswer::Close);
        }
        framing.end(connection).await
    }

    /// Sends an answer, in trouble or not.
    pub(super) async fn answer(
        &self,
        request: &PlainRequest,
        trouble: Option<StreamTrouble>,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let headers = self.headers(request);
        let parts = self.parts(request, trouble)?;
        let framing = AnswerFraming::of(&request.path);
        framing.begin(&headers, &parts, connection).await?;
        tokio::time::sleep(PHASE).await;
        let broken_at = self.trouble.events_before(parts.len());
        for (place, part) in parts.iter().enumerate() {
            match trouble {
                Some(StreamTrouble::Slow) => tokio::time::sleep(EVENT_INTERVAL * SLOW_FACTOR).await,
                Some(trouble) if place == broken_at => {
                    if let Some(after) = self.break_off(trouble, part, framing, connection).await? {
                        return Ok(after);
                    }
                }
                _ => {}
            }
            self.send(part, framing, connection).await?;
        }
        tokio::time::sleep(PHASE).await;
        let after = framing.end(connection).await?;
        if trouble == Some(StreamTrouble::Repeated) && after == AfterAnswer::KeepOpen {
            connection.keep_late_answer(measured_answer(&headers, &parts.concat()));
        }
        Ok(after)
    }

    /// Ends an answer before one of its parts; returns `None` where the trouble breaks off nothing.
    async fn break_off(
        &self,
        trouble: StreamTrouble,
        part: &[u8],
        framing: AnswerFraming,
        connection: &mut PlainConnection,
    ) -> Result<Option<AfterAnswer>> {
        match trouble {
            StreamTrouble::Closed => {}
            StreamTrouble::Reset => connection.reset_on_close()?,
            StreamTrouble::ResetInside => {
                framing.send(&part[..part.len() / 2], connection).await?;
                connection.reset_on_close()?;
            }
            StreamTrouble::Silent => tokio::time::sleep(SILENT_TIME).await,
            _ => return Ok(None),
        }
        Ok(Some(AfterAnswer::Close))
    }

    /// Sends an event in two halves, so that an engine can be stopped within one.
    async fn send(
        &self,
        event: &[u8],
        framing: AnswerFraming,
        connection: &mut PlainConnection,
    ) -> Result<()> {
        tokio::time::sleep(EVENT_INTERVAL).await;
        let (first, second) = event.split_at(event.len() / 2);
        for half in [first, second].into_iter().filter(|half| !half.is_empty()) {
            framing.send(half, connection).await?;
            tokio::time::sleep(HALF_INTERVAL).await;
        }
        Ok(())
    }
}
