//! Answers that end with their connection and are read late.

use std::io::{Read, Write};
use std::time::Duration;

use actix_http::RequestHead;
use curlewcleat_targets::{AnswerBody, ConnectionPool, ExchangeOptions, UNREAD_LIMIT};
use futures_util::StreamExt;
use rstest::rstest;

const LIMIT: Duration = Duration::from_secs(5);
/// Time in which a target has sent what it sends without a pause.
const SENT: Duration = Duration::from_millis(100);
const HALF: Duration = UNREAD_LIMIT.checked_div(2).unwrap();
/// More than one part.
const LONG: usize = 40 << 10;

/// Returns an answer of which this many bytes are sent at once, and the rest after a time.
async fn answer(length: usize, rest: Duration) -> std::io::Result<AnswerBody> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    std::thread::spawn(move || -> std::io::Result<()> {
        let (mut target, _) = listener.accept()?;
        let _ = target.read(&mut [0; 1_000])?;
        target.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")?;
        target.write_all(&vec![b'x'; length])?;
        std::thread::sleep(rest);
        target.write_all(b"rest")
    });
    let connection = ConnectionPool::default().connect(&address, LIMIT).await;
    let connection = connection.map_err(std::io::Error::other)?;
    let mut head = RequestHead::default();
    head.uri = actix_http::Uri::from_static("/x");
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let answer = connection.exchange_with(head, (), &options).await;
    tokio::time::sleep(SENT).await;
    Ok(answer.map_err(std::io::Error::other)?.body)
}

/// Guards against the end of an answer that counts as whole although its target may have cut it off, unread, and against
/// sound answers that are doubted: those that are read in time, or of which nothing waits.
#[rstest]
#[case::in_time(LONG, Duration::ZERO, (2, SENT), false)]
#[case::late_once(LONG, Duration::ZERO, (1, UNREAD_LIMIT), true)]
#[case::late_in_sum(LONG, Duration::ZERO, (2, HALF), true)]
#[case::quiet_target(1, UNREAD_LIMIT * 2, (1, UNREAD_LIMIT), false)]
#[actix_rt::test]
async fn answer_that_waits_for_its_reader_is_left_unread(
    #[case] length: usize,
    #[case] rest: Duration,
    #[case] (mut pauses, pause): (usize, Duration),
    #[case] expected: bool,
) -> std::io::Result<()> {
    let mut body = answer(length, rest).await?;
    while let Some(part) = body.next().await {
        part.map_err(std::io::Error::other)?;
        if pauses > 0 {
            pauses -= 1;
            tokio::time::sleep(pause).await;
        }
    }
    assert_eq!(body.is_left_unread(), expected);
    Ok(())
}
