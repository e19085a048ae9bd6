//! Calls of a store whose answers take their time.
//!
//! A daemon on a small VM whose peers could not tell it the configuration read it itself: a megabyte over
//! a link of 10 Mbit/s. Each read was given up after a second, although its bytes were coming, and begun
//! anew, which filled the link and never ended; the configuration could not be proved, and keyed requests
//! were refused.

use std::future::{pending, Future};
use std::io::Result as IoResult;
use std::time::{Duration, Instant};

use curlewcleat_store::{Error, StoreClient, StoreRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Limit of a call.
const LIMIT: Duration = Duration::from_millis(400);

/// A store that reads one call, answers it so, and keeps the connection open without a further byte.
/// Returns its address.
async fn store_of_one_call<F>(answer: impl FnOnce(TcpStream) -> F + 'static) -> IoResult<String>
where
    F: Future<Output = IoResult<TcpStream>>,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut buffer = [0u8; 4096];
        // The request is short enough to come at once.
        let _ = stream.read(&mut buffer).await?;
        let _open = answer(stream).await?;
        pending::<IoResult<()>>().await
    });
    Ok(address)
}

/// A store that answers one call with so many parts of 100 bytes and a pause after each; it announces
/// `announced` parts.
async fn store(parts: usize, announced: usize, pause: Duration) -> IoResult<String> {
    let answer = move |mut stream: TcpStream| async move {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", announced * 100);
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..parts {
            stream.write_all(&[b'x'; 100]).await?;
            tokio::time::sleep(pause).await;
        }
        Ok(stream)
    };
    store_of_one_call(answer).await
}

async fn read(address: &str) -> (Result<usize, Error>, Duration) {
    let client = StoreClient::new(address, LIMIT);
    let begun = Instant::now();
    let reply = client.call(StoreRequest::get("/object".to_string())).await;
    (reply.map(|reply| reply.body.len()), begun.elapsed())
}

#[actix_rt::test]
async fn answer_that_keeps_coming_is_read_to_its_end() -> IoResult<()> {
    let address = store(10, 10, LIMIT / 4).await?;
    let (result, took) = read(&address).await;
    assert_eq!(result.ok(), Some(1_000), "after {took:?}");
    assert!(took > LIMIT, "{took:?}");
    Ok(())
}

#[actix_rt::test]
async fn answer_that_stops_coming_is_given_up_after_the_limit() -> IoResult<()> {
    let address = store(2, 10, Duration::ZERO).await?;
    let (result, took) = read(&address).await;
    assert!(matches!(result, Err(Error::Unclear(_))), "{result:?}");
    assert!(took < LIMIT * 3, "{took:?}");
    Ok(())
}

#[actix_rt::test]
async fn answer_that_does_not_end_is_given_up() -> IoResult<()> {
    let address = store(1_000, 1_000, LIMIT / 4).await?;
    let (result, took) = read(&address).await;
    assert!(matches!(result, Err(Error::Unclear(_))), "{result:?}");
    assert!(took < LIMIT * 12, "{took:?}");
    Ok(())
}

/// A store that begins the answer of a watch at once, and ends it when something changes.
async fn store_that_streams_watches(wait: Duration) -> IoResult<String> {
    let answer = move |mut stream: TcpStream| async move {
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
        tokio::time::sleep(wait).await;
        stream.write_all(b"2\r\n{}\r\n0\r\n\r\n").await?;
        Ok(stream)
    };
    store_of_one_call(answer).await
}

#[actix_rt::test]
async fn watch_whose_answer_begins_before_the_change_is_not_given_up() -> IoResult<()> {
    let address = store_that_streams_watches(LIMIT * 3).await?;
    let client = StoreClient::new(&address, LIMIT);
    let request = StoreRequest::get("/objects?watch=1".to_string());
    let reply = client.watch(request, LIMIT * 10).await;
    assert!(reply.is_ok(), "{:?}", reply.err());
    Ok(())
}

/// The daemon and the tool expect a watch to end one second after its own limit.
#[actix_rt::test]
async fn watch_ends_soon_after_its_own_limit() -> IoResult<()> {
    let address = store(1_000, 1_000, LIMIT / 4).await?;
    let client = StoreClient::new(&address, LIMIT);
    let begun = Instant::now();
    let reply = client.watch(StoreRequest::get("/objects?watch=1".to_string()), LIMIT).await;
    assert!(reply.is_err());
    let took = begun.elapsed();
    assert!(took < LIMIT + Duration::from_millis(1_500), "{took:?}");
    Ok(())
}
