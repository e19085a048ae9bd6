//! Records of the stand-in of an engine in a process of its own. They end with their connection.
//!
//! Owns: the bytes of a record. Relies on: [`StreamEngine`](super::stream_engine::StreamEngine) for the requests.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};

use crate::http::{AfterAnswer, PlainConnection};

/// Beginning of the paths of records.
pub const RECORD_MARK: &str = "/engine-record";
/// Time after each half of a record.
const HALF_TIME: Duration = Duration::from_millis(150);

/// Sends a record in two halves, or the first one if it `is_short`, and names its attempt in the output of the process.
pub(super) async fn answer_record(
    attempt: &str,
    engine: &str,
    is_short: bool,
    connection: &mut PlainConnection,
) -> Result<AfterAnswer> {
    println!("{}", record_begun(attempt));
    let headers = [(WIRE_PROFILE.attempt_id, attempt), (SEAL_HEADER, engine)];
    connection.begin_unframed(&headers).await?;
    let halves = if is_short { 1 } else { 2 };
    for half in record_halves(attempt, engine).iter().take(halves) {
        connection.write_raw(half.as_bytes()).await?;
        tokio::time::sleep(HALF_TIME).await;
    }
    Ok(AfterAnswer::Close)
}

/// Returns the line that an engine writes when it begins a record.
pub fn record_begun(attempt: &str) -> String {
    format!("record {attempt} begun")
}

/// Returns both halves of the record of an attempt that an engine sends.
pub fn record_halves(attempt: &str, engine: &str) -> [String; 2] {
    [format!("record of {attempt} by {engine}, "), format!("second half of {attempt}")]
}
