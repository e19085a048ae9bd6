//! A minimal HTTP/1.1 server whose handlers write to the connection directly, so that they can send interrupted
//! answers or two answers to one request.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use anyhow::{bail, Context, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};

use crate::address::free_address;
use crate::deployment::wait_listening;

mod unread;

const HEAD_LIMIT: usize = 64 << 10;
const BODY_LIMIT: usize = 64 << 20;

/// A request with its complete body.
#[derive(Debug)]
pub struct PlainRequest {
    /// Method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query parameters.
    pub query: BTreeMap<String, String>,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl PlainRequest {
    /// Returns a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// The connection on which an answer is written.
pub struct PlainConnection {
    stream: TcpStream,
    /// An answer that is sent when the next request arrives, before its own.
    late_answer: Option<Vec<u8>>,
}

impl PlainConnection {
    /// Keeps an answer until the next request.
    pub(crate) fn keep_late_answer(&mut self, bytes: Vec<u8>) {
        self.late_answer = Some(bytes);
    }

    /// Sends the answer that was kept, if there is one.
    pub(crate) async fn send_late_answer(&mut self) -> Result<()> {
        match self.late_answer.take() {
            Some(bytes) => self.write_raw(&bytes).await,
            None => Ok(()),
        }
    }

    /// Writes bytes unchanged.
    pub async fn write_raw(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }

    /// Writes a complete answer.
    pub async fn answer(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<()> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write_raw(&bytes).await
    }

    /// Writes a JSON answer.
    pub async fn answer_json(&mut self, status: u16, value: &impl serde::Serialize) -> Result<()> {
        let body = serde_json::to_vec(value)?;
        self.answer(status, &[("Content-Type", "application/json")], &body).await
    }

    /// Writes the head of a chunked answer.
    pub async fn begin_chunked(&mut self, headers: &[(&str, &str)]) -> Result<()> {
        self.begin("Transfer-Encoding: chunked", headers).await
    }

    /// Writes the head of an answer of this length.
    pub async fn begin_measured(&mut self, headers: &[(&str, &str)], length: usize) -> Result<()> {
        self.begin(&format!("Content-Length: {length}"), headers).await
    }

    /// Writes the head of an answer that has neither a length nor chunks.
    pub async fn begin_unframed(&mut self, headers: &[(&str, &str)]) -> Result<()> {
        self.begin("Connection: close", headers).await
    }

    /// Writes the head of a server error whose body follows.
    pub async fn begin_error(&mut self, headers: &[(&str, &str)]) -> Result<()> {
        let mut head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 10\r\n".to_string();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.write_raw(head.as_bytes()).await
    }

    async fn begin(&mut self, framing: &str, headers: &[(&str, &str)]) -> Result<()> {
        let mut head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.write_raw(head.as_bytes()).await
    }

    /// Writes one chunk; an empty one ends the answer.
    pub async fn chunk(&mut self, bytes: &[u8]) -> Result<()> {
        self.write_raw(&chunk_of(bytes)).await
    }

    /// Makes the close of the connection a reset.
    ///
    /// # Errors
    /// Fails if the connection has no such option any more.
    pub fn reset_on_close(&self) -> Result<()> {
        self.stream.set_zero_linger()?;
        Ok(())
    }

    /// Waits until the caller closes the connection.
    pub async fn closed(&mut self) {
        let mut byte = [0u8; 1];
        while matches!(self.stream.read(&mut byte).await, Ok(length) if length > 0) {}
    }
}

/// Returns bytes as a chunk.
pub(crate) fn chunk_of(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// What happens to the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// The connection stays open for further requests.
    KeepOpen,
    /// The connection is closed.
    Close,
}

/// Future of a running handler.
pub type HandlerFuture<'a> = Pin<Box<dyn Future<Output = Result<AfterAnswer>> + 'a>>;

/// Answers requests.
pub trait PlainHandler {
    /// Answers one request on its connection.
    fn handle<'a>(
        &'a self,
        request: PlainRequest,
        connection: &'a mut PlainConnection,
    ) -> HandlerFuture<'a>;
}

/// Implements [`PlainHandler`] by a method `route(&self, request, connection)` of the type.
macro_rules! handle_by_route {
    ($handler:ty) => {
        impl $crate::http::PlainHandler for $handler {
            fn handle<'a>(
                &'a self,
                request: $crate::http::PlainRequest,
                connection: &'a mut $crate::http::PlainConnection,
            ) -> $crate::http::HandlerFuture<'a> {
                Box::pin(self.route(request, connection))
            }
        }
    };
}

pub(crate) use handle_by_route;

/// Starts a server at a free address and returns the address. It serves until the process exits.
///
/// # Errors
/// Fails if there is no free address, or if the server does not listen in time.
pub async fn serve_here(handler: Rc<dyn PlainHandler>) -> Result<String> {
    let address = free_address()?;
    let bound = address.clone();
    actix_rt::spawn(async move { serve(&bound, handler).await });
    wait_listening(&address).await?;
    Ok(address)
}

/// Serves until the process exits.
///
/// # Errors
/// Fails if the address cannot be bound or a connection cannot be accepted.
pub async fn serve(address: &str, handler: Rc<dyn PlainHandler>) -> Result<()> {
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("stand-in: bind {address}"))?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = Rc::clone(&handler);
        actix_rt::spawn(async move {
            // Interrupted connections are expected in tests and do not affect the others.
            let _ = serve_connection(stream, handler).await;
        });
    }
}

/// Serves until the process is told to terminate. Then it accepts no more connections and goes on serving the open ones
/// until it is killed.
///
/// # Errors
/// Fails if the address cannot be bound or a connection cannot be accepted.
pub async fn serve_until_terminated(address: &str, handler: Rc<dyn PlainHandler>) -> Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        served = serve(address, handler) => served,
        // The listener closes with the other branch; connections have tasks of their own.
        _ = terminated.recv() => std::future::pending().await,
    }
}

/// Serves one connection until either side closes it.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    handler: Rc<dyn PlainHandler>,
) -> Result<()> {
    let mut connection = PlainConnection { stream, late_answer: None };
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut connection.stream, &mut buffer).await? {
        if handler.handle(request, &mut connection).await? == AfterAnswer::Close {
            return Ok(());
        }
    }
    Ok(())
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Result<Option<PlainRequest>> {
    let head_end = loop {
        if let Some(position) = find(buffer, b"\r\n\r\n") {
            break position;
        }
        if buffer.len() > HEAD_LIMIT {
            bail!("stand-in: head too long");
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8(buffer[..head_end].to_vec())?;
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or("").split(' ');
    let method = words.next().unwrap_or("").to_string();
    let target = words.next().unwrap_or("/").to_string();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let body = read_body(stream, buffer, &headers).await?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_string(), percent_decoded(value))).collect();
    Ok(Some(PlainRequest { method, path: path.to_string(), query, headers, body }))
}

/// Decodes the percent-encoded bytes of a text; what is no such byte stays as it is.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &BTreeMap<String, String>,
) -> Result<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        return read_chunked(stream, buffer).await;
    }
    let length: usize = headers.get("content-length").map_or(Ok(0), |text| text.parse())?;
    fill(stream, buffer, length).await?;
    Ok(buffer.drain(..length).collect())
}

async fn read_chunked(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            if let Some(position) = find(buffer, b"\r\n") {
                break position;
            }
            fill(stream, buffer, buffer.len() + 1).await?;
        };
        let line = String::from_utf8(buffer.drain(..line_end + 2).collect())?;
        let length = usize::from_str_radix(line.trim(), 16)?;
        fill(stream, buffer, length + 2).await?;
        body.extend(buffer.drain(..length));
        buffer.drain(..2);
        if length == 0 {
            return Ok(body);
        }
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Result<()> {
    if length > BODY_LIMIT {
        bail!("stand-in: body too long");
    }
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            bail!("stand-in: body cut");
        }
    }
    Ok(())
}

fn find(buffer: &[u8], mark: &[u8]) -> Option<usize> {
    buffer.windows(mark.len()).position(|window| window == mark)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        304 => "Not Modified",
        404 => "Not Found",
        412 => "Precondition Failed",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
