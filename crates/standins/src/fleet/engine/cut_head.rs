//! Answers that stop within their head.

use super::{AfterAnswer, AnswerFrame, FleetEngine, PlainConnection, RunningRequest};

/// Length of the body that such a head announces.
const ANNOUNCED_BYTES: usize = 100;

impl FleetEngine {
    /// Sends this number of bytes of a head, at most all but the last.
    pub(super) async fn stop_in_head(
        &self,
        run: RunningRequest<'_>,
        frame: AnswerFrame,
        length: usize,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let mut head = "HTTP/1.1 200 OK\r\n".to_string();
        for (name, value) in self.identity_headers(run.attempt) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if run.is_stream {
            head.push_str("content-type: text/event-stream\r\n");
        }
        head.push_str(&match frame {
            AnswerFrame::Length => format!("content-length: {ANNOUNCED_BYTES}\r\n"),
            AnswerFrame::Chunks => "transfer-encoding: chunked\r\n".to_string(),
            AnswerFrame::Close => "connection: close\r\n".to_string(),
        });
        head.push_str("\r\n");
        connection.write_raw(&head.as_bytes()[..length.min(head.len() - 1)]).await?;
        Ok(AfterAnswer::Close)
    }
}
