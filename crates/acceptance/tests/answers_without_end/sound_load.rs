//! One client that sends sound requests.

use std::time::{Duration, Instant};

use super::support::{call, CallerResult};

/// Path of records, which must not run twice.
pub const RECORD: &str = "/once/a";
/// Path of streams.
pub const STREAM: &str = "/resumed/stream/a";
/// Attempts of a sound request, each on a new connection.
const SOUND_ATTEMPTS: u32 = 3;
const SOUND_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a sound request has to end.
const SOUND_LIMIT: Duration = Duration::from_secs(5);

/// Sound requests, and the attempts whose connections were closed without an answer.
#[derive(Default)]
pub struct SoundLoad {
    /// Status and time of each, 0 where it was not served.
    pub results: Vec<CallerResult>,
    /// The attempts whose connections were closed.
    pub closed: Vec<String>,
}

impl SoundLoad {
    /// Sends requests one after the other. As clients do, sends one again whose connection was closed without an answer.
    pub async fn send_for(&mut self, entry: &str, prefix: &str, duration: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < duration {
            let number = self.results.len();
            let path = if number.is_multiple_of(2) { RECORD } else { STREAM };
            let started = Instant::now();
            let mut status = 0;
            for attempt in 0..SOUND_ATTEMPTS {
                let attempt = format!("{prefix}-{number}-{attempt}");
                match tokio::time::timeout(SOUND_LIMIT, call(entry, path, &attempt)).await {
                    Ok(Ok(result)) => status = result.status,
                    Ok(Err(_)) => {
                        self.closed.push(attempt);
                        continue;
                    }
                    // A request that does not end counts as one that was not served.
                    Err(_) => {}
                }
                break;
            }
            let elapsed = started.elapsed();
            self.results.push(CallerResult { status, retry_after: None, elapsed });
            tokio::time::sleep(SOUND_INTERVAL).await;
        }
    }
}
