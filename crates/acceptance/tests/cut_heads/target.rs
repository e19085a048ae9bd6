//! A target that plays scripted bytes, once for each scripted attempt, and answers all others completely.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, Result};
use curlewcleat_standins::address::free_engine_address;
use curlewcleat_standins::fleet::FleetEngine;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of events of a stream.
pub const EVENTS: u64 = 2;
/// Time for which a target is silent before it closes.
const SILENCE: Duration = Duration::from_millis(60);
/// Number of bytes after which a target that writes slowly pauses.
const SLOW_BYTES: usize = 16;

/// How a target stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStop {
    Close,
    Reset,
    SilenceAndClose,
}

impl TargetStop {
    pub const ALL: [TargetStop; 3] =
        [TargetStop::Close, TargetStop::Reset, TargetStop::SilenceAndClose];
}

/// What a target does for the first request of an attempt.
#[derive(Clone, Debug)]
pub struct Script {
    /// All bytes that it sends.
    pub bytes: Vec<u8>,
    pub stop: TargetStop,
    /// Whether each byte is written by itself, with pauses.
    pub is_slow: bool,
    /// Whether it answers before it has read the body of the request.
    pub is_early: bool,
}

/// Scripts by attempt; a script is removed when a target begins to play it.
pub type Scripts = Rc<RefCell<BTreeMap<String, Script>>>;

/// Returns the complete body of an attempt.
pub fn whole_body(path: &str, attempt: &str) -> String {
    match path.contains("stream") {
        true => FleetEngine::expected_stream(attempt, EVENTS),
        false => format!("record of {attempt}"),
    }
}

/// Starts a target and returns its address. It serves until the test ends.
pub async fn start_target(scripts: Scripts) -> Result<String> {
    let address = free_engine_address()?;
    let listener = TcpListener::bind(&address).await?;
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let scripts = Rc::clone(&scripts);
            actix_rt::spawn(async move {
                // Connections that end early are part of the test.
                let _ = serve(stream, scripts).await;
            });
        }
    });
    Ok(address)
}

/// The head of a request.
struct RequestLines {
    path: String,
    attempt: String,
    last_event: u64,
    length: usize,
}

impl RequestLines {
    fn parse(text: &str) -> RequestLines {
        let header = |name: &str| {
            let lines = text.lines().filter_map(|line| line.split_once(": "));
            let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
            values.next().map(|(_, value)| value.to_string()).unwrap_or_default()
        };
        RequestLines {
            path: text.split(' ').nth(1).unwrap_or_default().to_string(),
            attempt: header("x-attempt-id"),
            last_event: header("last-event-id").parse().unwrap_or(0),
            length: header("content-length").parse().unwrap_or(0),
        }
    }
}

async fn serve(mut stream: TcpStream, scripts: Scripts) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Some(request) = read_head(&mut stream, &mut buffer).await? else { return Ok(()) };
        let script = scripts.borrow_mut().remove(&request.attempt);
        if !script.as_ref().is_some_and(|script| script.is_early) {
            read_body(&mut stream, &mut buffer, request.length).await?;
        }
        match script {
            Some(script) => return play(stream, &script).await,
            None => stream.write_all(whole_answer(&request).as_bytes()).await?,
        }
    }
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<RequestLines>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Ok(Some(RequestLines::parse(&String::from_utf8(head)?)));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Result<()> {
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            bail!("the request was cut");
        }
    }
    buffer.drain(..length);
    Ok(())
}

fn whole_answer(request: &RequestLines) -> String {
    let attempt = &request.attempt;
    let body = match request.path.contains("stream") {
        true => {
            let sent = FleetEngine::expected_stream(attempt, request.last_event);
            whole_body(&request.path, attempt)[sent.len()..].to_string()
        }
        false => whole_body(&request.path, attempt),
    };
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn play(mut stream: TcpStream, script: &Script) -> Result<()> {
    match script.is_slow {
        false => stream.write_all(&script.bytes).await?,
        true => {
            for (index, byte) in script.bytes.iter().enumerate() {
                stream.write_all(&[*byte]).await?;
                if index % SLOW_BYTES == 0 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        }
    }
    match script.stop {
        TargetStop::Close => {}
        // A pending linger time of zero turns the close into a reset.
        TargetStop::Reset => stream.set_zero_linger()?,
        TargetStop::SilenceAndClose => tokio::time::sleep(SILENCE).await,
    }
    Ok(())
}
