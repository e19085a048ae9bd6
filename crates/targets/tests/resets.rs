//! Targets that reset a connection while a request is still sent to them.

use std::io::Write;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use curlewcleat_targets::{collect, BodyFrame, CollectError, ConnectionPool, ExchangeOptions};
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(5);
/// Limit in bytes of an answer.
const BODY_LIMIT: usize = 1_000;

fn head() -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = actix_http::Uri::from_static("/x");
    head
}

/// The body of a request whose second part is ready when its target has answered and reset the connection.
struct InterruptedUpload {
    parts: u8,
    target: Option<std::net::TcpStream>,
}

impl MessageBody for InterruptedUpload {
    type Error = std::io::Error;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Bytes>>> {
        self.parts += 1;
        let is_second = self.parts == 2;
        if let Some(target) = self.target.take_if(|_| is_second) {
            let reset = || {
                (&target).write_all(b"HTTP/1.0 200 OK\r\n\r\nhel")?;
                let target = TcpStream::from_std(target)?;
                target.set_zero_linger()
            };
            return match reset() {
                // The answer and the reset wake the exchange, which then sends the next part first.
                Ok(()) => Poll::Pending,
                Err(error) => Poll::Ready(Some(Err(error))),
            };
        }
        Poll::Ready(Some(Ok(Bytes::from_static(b"part"))))
    }
}

/// A target reset its connection while a request was still sent to it. The write took the error, so that the next read
/// returned an orderly end, and a cut answer that ends with its connection looked whole.
#[actix_rt::test]
async fn reset_that_the_upload_has_noticed_cuts_an_answer_without_a_length() -> std::io::Result<()>
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let connection = ConnectionPool::default().connect(&address, LIMIT).await;
    let connection = connection.map_err(std::io::Error::other)?;
    let (target, _) = listener.accept()?;
    target.set_nonblocking(true)?;
    let body = InterruptedUpload { parts: 0, target: Some(target) };
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let answer = connection.exchange_with(head(), body, &options).await;
    let answer = answer.map_err(std::io::Error::other)?;
    assert_eq!(answer.body.frame(), BodyFrame::UntilClose);
    let collected = collect(answer.body, BODY_LIMIT).await;
    assert!(matches!(collected, Err(CollectError::Truncated(_))), "{collected:?}");
    Ok(())
}
