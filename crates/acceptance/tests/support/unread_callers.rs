//! Callers that leave answers unread for a time, and what they get.

use std::time::{Duration, Instant};

use anyhow::{ensure, Context, Result};
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::fleet::stream_engine::StreamEvent;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Receive buffer in bytes of a caller.
const RECEIVE_BUFFER: usize = 16 << 10;
/// Bytes of one part.
const PART: usize = 16 << 10;
/// Bytes that a caller reads before it becomes slow.
const FIRST_BYTES: usize = 32 << 10;
/// Longest time for a whole answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(25);

/// How a caller reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPace {
    /// At once.
    Quick,
    /// Nothing for a time.
    Pause(Duration),
    /// Parts of this many bytes, one in each interval, for a time, and then quickly.
    Parts(usize, Duration, Duration),
}

/// An answer as its caller got it.
#[derive(Debug)]
pub struct UnreadAnswer {
    pub status: u16,
    /// Whether it ended as complete.
    pub is_complete: bool,
    pub events: Vec<StreamEvent>,
}

impl UnreadAnswer {
    /// Sends a request and reads its answer.
    pub async fn get(
        entry: &str,
        path: &str,
        attempt: &str,
        time_left: Duration,
        pace: ReadPace,
    ) -> Result<UnreadAnswer> {
        let mut stream = send(entry, path, attempt, time_left).await?;
        let mut bytes = Vec::new();
        let read = read(&mut stream, &mut bytes, pace);
        // What a caller that waits no longer got is cut visibly.
        let ended = tokio::time::timeout(ANSWER_LIMIT, read).await;
        UnreadAnswer::of(&bytes, matches!(ended, Ok(Ok(()))))
    }

    fn of(bytes: &[u8], has_closed: bool) -> Result<UnreadAnswer> {
        let place = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let place = place.with_context(|| format!("no head in {} bytes", bytes.len()))?;
        let head = String::from_utf8_lossy(&bytes[..place]).to_lowercase();
        let (body, status) = (&bytes[place + 4..], head.split(' ').nth(1).context("no status")?);
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
        let (text, is_complete) = match length {
            Some(length) => (body.to_vec(), body.len() == length.trim().parse::<usize>()?),
            None if head.contains("transfer-encoding: chunked") => unchunk(body),
            None => (body.to_vec(), has_closed),
        };
        let text = String::from_utf8_lossy(&text);
        let whole = text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
        let events = whole.filter_map(|event| StreamEvent::read(event.trim_end())).collect();
        Ok(UnreadAnswer { status: status.parse()?, is_complete, events })
    }

    /// Checks that the events are the first ones of the stream, and all of them if the answer ended as complete.
    pub fn check(&self, attempt: &str, events: u64) -> Result<()> {
        ensure!(self.events.iter().all(|event| event.stream == attempt), "events of other streams");
        let numbers: Vec<u64> = self.events.iter().map(|event| event.number).collect();
        ensure!(numbers == (1..=numbers.len() as u64).collect::<Vec<_>>(), "events {numbers:?}");
        ensure!(
            !self.is_complete || numbers.len() as u64 == events,
            "complete with {} of {events} events",
            numbers.len()
        );
        Ok(())
    }
}

async fn send(entry: &str, path: &str, attempt: &str, time_left: Duration) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER as u32)?;
    let mut stream = socket.connect(entry.parse()?).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {DRIVERS_KEY}\r\n\
         connection: close\r\n{}: {attempt}\r\n{}: {}\r\ncontent-length: 1\r\n\r\nb",
        WIRE_PROFILE.attempt_id,
        WIRE_PROFILE.time_left,
        time_left.as_millis()
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// Reads until the connection ends, which is an error after a reset.
async fn read(stream: &mut TcpStream, bytes: &mut Vec<u8>, pace: ReadPace) -> Result<()> {
    read_for(stream, bytes, PART, |bytes| bytes.len() < FIRST_BYTES).await?;
    match pace {
        ReadPace::Quick => {}
        ReadPace::Pause(pause) => tokio::time::sleep(pause).await,
        ReadPace::Parts(size, interval, time) => {
            let end = Instant::now() + time;
            while Instant::now() < end {
                tokio::time::sleep(interval).await;
                let length = bytes.len() + size;
                read_for(stream, bytes, size, |bytes| bytes.len() < length).await?;
            }
        }
    }
    read_for(stream, bytes, PART, |_| true).await
}

/// Reads parts of a size while more are needed and the connection has not ended.
async fn read_for(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    size: usize,
    needs_more: impl Fn(&[u8]) -> bool,
) -> Result<()> {
    let mut part = vec![0u8; size];
    while needs_more(bytes) {
        match stream.read(&mut part).await? {
            0 => return Ok(()),
            length => bytes.extend_from_slice(&part[..length]),
        }
    }
    Ok(())
}

/// Returns what the chunks hold, and whether the last one has arrived.
fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut text = Vec::new();
    while let Some(place) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..place]);
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (text, false) };
        rest = &rest[place + 2..];
        if size == 0 {
            return (text, true);
        }
        text.extend_from_slice(&rest[..size.min(rest.len())]);
        rest = rest.get(size + 2..).unwrap_or_default();
    }
    (text, false)
}
