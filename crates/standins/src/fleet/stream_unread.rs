//! Answers that the stand-in of an engine cuts off between two events once they were left unread for a time.
//!
//! Owns: the marks of such streams. Relies on: connections that tell whether what is written is read.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::WIRE_PROFILE;

use super::answer_framing::AnswerFraming;
use super::stream_engine::StreamEngine;
use crate::http::{AfterAnswer, PlainConnection, PlainRequest};

/// Mark of streams that are closed in an orderly way once they were left unread.
pub const UNREAD_CLOSED_MARK: &str = "/unread-closed";
/// Mark of streams that are reset once they were left unread.
pub const UNREAD_RESET_MARK: &str = "/unread-reset";
/// Beginning of the line that an engine writes when it cuts off an answer.
pub const UNREAD_LINE: &str = "unread ";
/// Time without a byte taken after which an answer is cut off.
const UNREAD_LIMIT: Duration = Duration::from_secs(2);
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(3);

/// How an answer is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnreadCut {
    Closed,
    Reset,
}

impl UnreadCut {
    /// Returns how the answers to a path are cut off; `None` if they are not.
    pub(super) fn of(path: &str) -> Option<UnreadCut> {
        match () {
            () if path.contains(UNREAD_CLOSED_MARK) => Some(UnreadCut::Closed),
            () if path.contains(UNREAD_RESET_MARK) => Some(UnreadCut::Reset),
            () => None,
        }
    }
}

impl StreamEngine {
    /// Sends an answer as long as it is read.
    pub(super) async fn answer_while_read(
        &self,
        request: &PlainRequest,
        cut: UnreadCut,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let parts = self.parts(request, None)?;
        let framing = AnswerFraming::of(&request.path);
        connection.use_small_buffer()?;
        framing.begin(&self.headers(request), &parts, connection).await?;
        for part in &parts {
            tokio::time::sleep(EVENT_INTERVAL).await;
            if !connection.write_while_read(&framing.part(part), UNREAD_LIMIT).await? {
                println!("{UNREAD_LINE}{}", request.header(WIRE_PROFILE.attempt_id));
                if cut == UnreadCut::Reset {
                    connection.reset_on_close()?;
                }
                return Ok(AfterAnswer::Close);
            }
        }
        framing.end(connection).await
    }
}
