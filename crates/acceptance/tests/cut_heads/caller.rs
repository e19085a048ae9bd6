//! A caller that reads answers byte by byte and decides by HTTP's own marks whether they are complete.

use std::time::Duration;

use anyhow::{bail, Context, Result};
use curlewcleat_acceptance::fleet_head;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time within which every answer ends.
const ANSWER_LIMIT: Duration = Duration::from_secs(8);

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// By its length or its last chunk.
    Complete,
    /// By an orderly close, which is how its head says it ends.
    Closed,
    /// Before the end that its head or its chunks announce, or by a reset.
    Cut,
}

/// What a caller received for one request.
#[derive(Clone, Debug)]
pub struct Received {
    pub status: u16,
    /// Head in lower case; empty if the connection ended within it.
    pub head: String,
    pub body: String,
    pub end: AnswerEnd,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| value)
    }

    /// Returns whether another request may follow on the connection.
    pub fn keeps_connection(&self) -> bool {
        self.end == AnswerEnd::Complete && self.header("connection") != Some("close")
    }

    fn cut_in_head() -> Received {
        Received { status: 0, head: String::new(), body: String::new(), end: AnswerEnd::Cut }
    }
}

/// A caller's connection to a daemon.
pub struct CallerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Whether the connection has ended, and in an orderly way.
    ended: Option<bool>,
}

impl CallerConnection {
    pub async fn open(address: &str) -> Result<CallerConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(CallerConnection { stream, buffer: Vec::new(), ended: None })
    }

    /// Sends a request and reads its answer. The second half of its body follows after `pause`, if there is one.
    pub async fn call(
        &mut self,
        path: &str,
        attempt: &str,
        body_length: usize,
        pause: Option<Duration>,
    ) -> Result<Received> {
        let exchange = async {
            self.send(path, attempt, body_length, pause).await?;
            self.read_answer().await
        };
        let received = tokio::time::timeout(ANSWER_LIMIT, exchange).await;
        received.with_context(|| format!("{attempt}: the answer does not end"))?
    }

    async fn send(
        &mut self,
        path: &str,
        attempt: &str,
        body_length: usize,
        pause: Option<Duration>,
    ) -> Result<()> {
        let mut text = format!("POST {path} HTTP/1.1\r\ncontent-length: {body_length}\r\n");
        for (name, value) in &fleet_head(path, attempt)?.headers {
            text.push_str(&format!("{name}: {}\r\n", value.to_str()?));
        }
        text.push_str("\r\n");
        // Bodies differ, so that no request repeats another one.
        let body = attempt.bytes().cycle().take(body_length).collect::<Vec<u8>>();
        let (first, rest) = body.split_at(if pause.is_some() { body_length / 2 } else { 0 });
        self.stream.write_all(text.as_bytes()).await?;
        self.stream.write_all(first).await?;
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
        // A daemon may answer and close before it has read the whole body; the answer shows it.
        let _ = self.stream.write_all(rest).await;
        Ok(())
    }

    async fn read_answer(&mut self) -> Result<Received> {
        let head = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                break String::from_utf8(head)?.to_lowercase();
            }
            if !self.fill().await {
                return Ok(Received::cut_in_head());
            }
        };
        let status = head.split(' ').nth(1).unwrap_or_default().parse()?;
        let mut received = Received { status, head, body: String::new(), end: AnswerEnd::Cut };
        let length = received.header("content-length").map(str::parse).transpose()?;
        let (body, end) = match (received.header("transfer-encoding"), length) {
            (Some("chunked"), None) => self.read_chunks().await?,
            (None, Some(length)) => self.read_length(length).await,
            (None, None) if status == 204 || status == 304 => (Vec::new(), AnswerEnd::Complete),
            (None, None) => self.read_until_close().await,
            other => bail!("the head contradicts itself: {other:?}"),
        };
        received.body = String::from_utf8(body)?;
        received.end = end;
        Ok(received)
    }

    /// Reads more bytes; returns `false` at the end of the connection.
    async fn fill(&mut self) -> bool {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => self.ended = Some(true),
            Ok(_) => {}
            Err(_) => self.ended = Some(false),
        }
        self.ended.is_none()
    }

    async fn read_length(&mut self, length: usize) -> (Vec<u8>, AnswerEnd) {
        while self.buffer.len() < length {
            if !self.fill().await {
                return (std::mem::take(&mut self.buffer), AnswerEnd::Cut);
            }
        }
        (self.buffer.drain(..length).collect(), AnswerEnd::Complete)
    }

    async fn read_until_close(&mut self) -> (Vec<u8>, AnswerEnd) {
        while self.fill().await {}
        let end = if self.ended == Some(true) { AnswerEnd::Closed } else { AnswerEnd::Cut };
        (std::mem::take(&mut self.buffer), end)
    }

    async fn read_chunks(&mut self) -> Result<(Vec<u8>, AnswerEnd)> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                if !self.fill().await {
                    return Ok((body, AnswerEnd::Cut));
                }
            };
            let line: Vec<u8> = self.buffer.drain(..line_end + 2).collect();
            let size = usize::from_str_radix(std::str::from_utf8(&line)?.trim(), 16)?;
            let (mut chunk, end) = self.read_length(size + 2).await;
            if end == AnswerEnd::Complete && !chunk.ends_with(b"\r\n") {
                bail!("no line end after a chunk");
            }
            chunk.truncate(size);
            body.extend_from_slice(&chunk);
            if end == AnswerEnd::Cut || size == 0 {
                return Ok((body, end));
            }
        }
    }
}

fn find(buffer: &[u8], mark: &[u8]) -> Option<usize> {
    buffer.windows(mark.len()).position(|window| window == mark)
}
