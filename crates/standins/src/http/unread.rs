//! Writes of which the other side reads slowly or nothing.
//!
//! Owns: how much of an answer the kernel takes. Relies on: a limit of the system above [`LAST_BYTES_BUFFER`] / 2.

use std::time::Duration;

use anyhow::Result;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;

use super::PlainConnection;

/// Send buffer in bytes of a connection that notices soon that nothing is read.
const SMALL_BUFFER: usize = 16 << 10;
/// Send buffer in bytes that takes the rest of an event.
const LAST_BYTES_BUFFER: usize = 200 << 10;

impl PlainConnection {
    /// Makes the kernel take only little of what is not read.
    pub(crate) fn use_small_buffer(&self) -> Result<()> {
        Ok(SockRef::from(&self.stream).set_send_buffer_size(SMALL_BUFFER)?)
    }

    /// Writes bytes; returns whether the other side took some of them at least once in each `limit`. All of them are sent in
    /// either case, so that nothing ends within an event.
    pub(crate) async fn write_while_read(
        &mut self,
        mut bytes: &[u8],
        limit: Duration,
    ) -> Result<bool> {
        while !bytes.is_empty() {
            match tokio::time::timeout(limit, self.stream.write(bytes)).await {
                Ok(written) => bytes = &bytes[written?..],
                Err(_) => {
                    SockRef::from(&self.stream).set_send_buffer_size(LAST_BYTES_BUFFER)?;
                    self.stream.write_all(bytes).await?;
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }
}
