//! Records of the stand-in of an engine in a process of its own. They end with their connection.
//!
//! Owns: the bytes of a record. Relies on: [`StreamEngine`](super::stream_engine::StreamEngine) for the requests.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::{SEAL_HEADER, WIRE_PROFILE};

use super::stream_script::{LATE_MARK, SHORT_ENGINE, SHORT_MARK};
use crate::http::{AfterAnswer, PlainConnection};

/// Beginning of the paths of records.
pub const RECORD_MARK: &str = "/engine-record";
/// Time after each half of a record.
const HALF_TIME: Duration = Duration::from_millis(150);

/// Time after each half of a record that is slow.
const SLOW_TIME: Duration = Duration::from_millis(1_500);

/// What the engine that the marks of records name does with one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordFault {
    /// It is closed after its first half.
    Short,
    /// Its halves come late.
    Slow,
}

impl RecordFault {
    /// Returns the fault of a record at an engine, `None` for a sound one.
    pub(super) fn of(path: &str, engine: &str) -> Option<RecordFault> {
        match path {
            _ if engine != SHORT_ENGINE => None,
            path if path.contains(SHORT_MARK) => Some(RecordFault::Short),
            path if path.contains(LATE_MARK) => Some(RecordFault::Slow),
            _ => None,
        }
    }
}

/// Sends a record in two halves, with this fault, and names its attempt in the output of the process.
pub(super) async fn answer_record(
    attempt: &str,
    engine: &str,
    fault: Option<RecordFault>,
    connection: &mut PlainConnection,
) -> Result<AfterAnswer> {
    println!("{}", record_begun(attempt));
    let headers = [(WIRE_PROFILE.attempt_id, attempt), (SEAL_HEADER, engine)];
    connection.begin_unframed(&headers).await?;
    let halves = if fault == Some(RecordFault::Short) { 1 } else { 2 };
    let time = if fault == Some(RecordFault::Slow) { SLOW_TIME } else { HALF_TIME };
    for half in record_halves(attempt, engine).iter().take(halves) {
        connection.write_raw(half.as_bytes()).await?;
        tokio::time::sleep(time).await;
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
