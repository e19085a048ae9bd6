//! Callers that send requests one after the other on new connections, and read the answers or leave them unread.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Time after the first request in which callers send further ones.
const SEND_TIME: Duration = Duration::from_millis(1_500);
/// Time in which a caller waits for an end, in deadlines.
const WAIT_DEADLINES: u32 = 3;
/// Length in bytes of the begin of an answer that is kept.
const KEPT_BYTES: usize = 4 << 10;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Requests of a group of callers.
#[derive(Clone)]
pub struct CallerGroup {
    /// Address for callers of a daemon.
    pub entry: String,
    /// Path of the requests.
    pub path: String,
    /// Number of callers.
    pub callers: usize,
    /// Whether the answers are read as they arrive.
    pub reads: bool,
    /// Deadline that the requests state.
    pub deadline: Duration,
}

/// The end of one request.
#[derive(Clone, Debug)]
pub struct CallEnd {
    /// Attempt id.
    pub attempt: String,
    /// Status, `None` if the connection closed before one.
    pub status: Option<u16>,
    /// Whether the answer is framed as complete.
    pub whole: bool,
    /// Time until the end; `None` if it did not end, or was not read meanwhile.
    pub elapsed: Option<Duration>,
}

impl CallerGroup {
    /// Starts the callers on a thread of their own.
    pub fn start(self) -> JoinHandle<Result<Vec<CallEnd>>> {
        std::thread::spawn(move || {
            let callers = (0..self.callers).map(|number| self.call_repeatedly(number));
            let ends = futures_util::future::try_join_all(callers);
            let ends = actix_rt::System::new().block_on(ends)?;
            Ok(ends.into_iter().flatten().collect())
        })
    }

    async fn call_repeatedly(&self, caller: usize) -> Result<Vec<CallEnd>> {
        let (begun, mut ends) = (Instant::now(), Vec::new());
        while begun.elapsed() < SEND_TIME {
            let attempt = format!("faulty-{caller}-{}", ends.len());
            ends.push(self.call(attempt).await?);
        }
        Ok(ends)
    }

    async fn call(&self, attempt: String) -> Result<CallEnd> {
        let begun = Instant::now();
        let stream = self.send(&attempt).await?;
        if !self.reads {
            tokio::time::sleep(self.deadline).await;
        }
        let mut received = ReceivedAnswer::default();
        let end = tokio::time::timeout(self.deadline * WAIT_DEADLINES, received.read(stream)).await;
        let elapsed = (end.is_ok() && self.reads).then(|| begun.elapsed());
        Ok(CallEnd { attempt, status: received.status(), whole: received.is_whole(), elapsed })
    }

    async fn send(&self, attempt: &str) -> Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if !self.reads {
            socket.set_recv_buffer_size(16 << 10)?;
        }
        let mut stream = socket.connect(self.entry.parse()?).await?;
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {DRIVERS_KEY}\r\n\
             {}: {attempt}\r\n{}: {}\r\ncontent-length: 1\r\n\r\nb",
            self.path,
            WIRE_PROFILE.attempt_id,
            WIRE_PROFILE.time_left,
            self.deadline.as_millis()
        );
        stream.write_all(head.as_bytes()).await?;
        Ok(stream)
    }
}

/// What a caller has read of an answer.
#[derive(Default)]
struct ReceivedAnswer {
    begin: Vec<u8>,
    last: Vec<u8>,
    length: usize,
    /// Whether the connection ended in order.
    closed: bool,
}

impl ReceivedAnswer {
    /// Reads until the answer is complete or the connection ends.
    async fn read(&mut self, mut stream: TcpStream) {
        let mut part = vec![0u8; 64 << 10];
        loop {
            match stream.read(&mut part).await {
                Ok(0) => {
                    self.closed = true;
                    return;
                }
                Ok(length) => self.push(&part[..length]),
                // A reset is an end that is not in order.
                Err(_) => return,
            }
            if self.is_whole() {
                return;
            }
        }
    }

    fn push(&mut self, part: &[u8]) {
        let kept = KEPT_BYTES.saturating_sub(self.begin.len()).min(part.len());
        self.begin.extend_from_slice(&part[..kept]);
        self.length += part.len();
        self.last.extend_from_slice(&part[part.len().saturating_sub(LAST_CHUNK.len())..]);
        let surplus = self.last.len().saturating_sub(LAST_CHUNK.len());
        self.last.drain(..surplus);
    }

    fn status(&self) -> Option<u16> {
        std::str::from_utf8(self.begin.get(9..12)?).ok()?.parse().ok()
    }

    fn is_whole(&self) -> bool {
        let Some(head) = self.begin.windows(4).position(|window| window == b"\r\n\r\n") else {
            return false;
        };
        let lines = String::from_utf8_lossy(&self.begin[..head]).to_ascii_lowercase();
        let length = lines.lines().find_map(|line| line.strip_prefix("content-length:"));
        match length.and_then(|length| length.trim().parse::<usize>().ok()) {
            Some(length) => self.length >= head + 4 + length,
            None if lines.contains("transfer-encoding: chunked") => self.last == LAST_CHUNK,
            None => self.closed,
        }
    }
}
