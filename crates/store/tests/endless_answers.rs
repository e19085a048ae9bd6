//! Answers of a store that sends without end, several at a time on one client.

use std::future::pending;
use std::io::Result as IoResult;
use std::time::Duration;

use curlewcleat_store::{Error, StoreClient, StoreRequest};
use futures_util::future::join_all;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MEGABYTE: usize = 1 << 20;
/// Time without a part of an answer after which a call fails.
const LIMIT: Duration = Duration::from_millis(1_500);
/// Calls at a time.
const CALLS: usize = 8;
/// Size of an answer in bytes that is read beside any others.
const PAGE: usize = MEGABYTE;
/// Most bytes of all answers that may be held.
const HELD_LIMIT: usize = 32 * MEGABYTE;

/// Starts a store whose answer to `/page` is a megabyte. Every other answer has `size` bytes and no end.
async fn store(size: usize) -> IoResult<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer(stream, size));
        }
    });
    Ok(address)
}

async fn answer(mut stream: TcpStream, size: usize) -> IoResult<()> {
    let mut buffer = [0u8; 4096];
    // The request is short enough to arrive in one read.
    let length = stream.read(&mut buffer).await?;
    let is_page = buffer[..length].starts_with(b"GET /page ");
    let announced = if is_page { PAGE } else { usize::MAX >> 8 };
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {announced}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let part = vec![b'x'; MEGABYTE / 4];
    for _ in 0..announced.min(size) / part.len() {
        stream.write_all(&part).await?;
    }
    pending().await
}

/// Calls a store without an end of its answers; returns how each call failed.
async fn failures(client: &StoreClient) -> Vec<Error> {
    let calls = (0..CALLS).map(|_| client.call(StoreRequest::get("/endless".to_string())));
    join_all(calls).await.into_iter().filter_map(Result::err).collect()
}

/// Guards against a process that is ended for its memory: each of the kinds of objects that a daemon reads at a time had a
/// limit of its own.
#[rstest]
#[case::stops_below_the_limit_of_one(6 * MEGABYTE)]
#[case::sends_on(1_000 * MEGABYTE)]
#[actix_rt::test]
async fn answers_without_an_end_share_a_limit(#[case] size: usize) -> IoResult<()> {
    let client = StoreClient::new(&store(size).await?, LIMIT);
    let failures = failures(&client).await;
    assert_eq!(failures.len(), CALLS);
    let waited = failures.iter().filter(|error| matches!(error, Error::OutcomeUnknown(_))).count();
    println!("{waited} of {CALLS} answers were held until the time limit");
    assert!(waited * size <= HELD_LIMIT, "{waited} answers were held");
    Ok(())
}

/// A page of usual size is read beside them, and the bytes of answers that failed are free again.
#[actix_rt::test]
async fn sound_page_is_read_beside_answers_without_an_end() -> IoResult<()> {
    let client = StoreClient::new(&store(6 * MEGABYTE).await?, LIMIT);
    let page = || client.call(StoreRequest::get("/page".to_string()));
    for _ in 0..3 {
        let delayed = async {
            tokio::time::sleep(LIMIT / 2).await;
            page().await
        };
        let (failures, beside) = tokio::join!(failures(&client), delayed);
        assert_eq!(failures.len(), CALLS);
        assert_eq!(beside.ok().map(|reply| reply.body.len()), Some(PAGE));
    }
    Ok(())
}
