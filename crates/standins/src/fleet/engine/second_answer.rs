//! Answers that are sent twice.
//!
//! Owns: the bytes of the second answer. Relies on: connections that keep an answer until the next request.

use super::{event, record, AfterAnswer, FleetEngine, PlainConnection, RunningRequest};

/// When an answer is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondAnswer {
    /// Directly behind the first one.
    AtOnce,
    /// When the next request arrives on the connection, before its own answer.
    AtNextRequest,
}

impl FleetEngine {
    /// Sends a complete answer twice.
    pub(super) async fn answer_again(
        &self,
        run: RunningRequest<'_>,
        second: SecondAnswer,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        let after = self.answer_complete(run, connection).await?;
        if after == AfterAnswer::KeepOpen {
            let bytes = self.whole_answer(run);
            match second {
                SecondAnswer::AtOnce => connection.write_raw(&bytes).await?,
                SecondAnswer::AtNextRequest => connection.keep_late_answer(bytes),
            }
        }
        Ok(after)
    }

    /// Returns the bytes of a complete answer with its length.
    fn whole_answer(&self, run: RunningRequest<'_>) -> Vec<u8> {
        let body: String = match run.is_stream {
            true => (self.after(run.run_index) + 1..=run.events)
                .map(|number| event(run.attempt, number))
                .collect(),
            false => record(run.attempt),
        };
        let mut answer = "HTTP/1.1 200 OK\r\n".to_string();
        for (name, value) in self.identity_headers(run.attempt) {
            answer.push_str(&format!("{name}: {value}\r\n"));
        }
        if run.is_stream {
            answer.push_str("content-type: text/event-stream\r\n");
        }
        answer.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        answer.into_bytes()
    }
}
