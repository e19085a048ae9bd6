//! Answers that go on with bytes that belong to none.

use super::{AfterAnswer, FleetEngine, PlainConnection, RunningRequest};

/// Bytes that are neither a head nor a chunk.
const NOISE: &[u8] = b"\x00\xff\x13 id: 9\n\ndata\x7f\r\nzz\r\n";

impl FleetEngine {
    /// Sends this number of events and then bytes that are no part of the answer. An answer with a record has these
    /// bytes in place of its head.
    pub(super) async fn answer_spoiled(
        &self,
        run: RunningRequest<'_>,
        events: u64,
        connection: &mut PlainConnection,
    ) -> anyhow::Result<AfterAnswer> {
        if run.is_stream {
            let remaining = run.events.saturating_sub(self.after(run.run_index));
            if !self.stream(run, events.min(remaining), connection).await? {
                return Ok(AfterAnswer::Close);
            }
        }
        connection.write_raw(NOISE).await?;
        Ok(AfterAnswer::Close)
    }
}
