//! Time limits of calls to a store that answers slowly.
//!
//! Guards against reads that are abandoned while their answer still arrives. A daemon on a small VM that cannot get
//! the configuration from its peers reads it from the store: a megabyte over a link of 10 Mbit/s. If each read is
//! abandoned after a second and started again, the reads fill the link and never complete; the configuration cannot be
//! verified as current, and keyed requests are refused.

use std::future::{pending, Future};
use std::io::Result as IoResult;
use std::time::{Duration, Instant};

use curlewcleat_store::{Error, StoreClient, StoreRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time without a part of an answer after which a call fails.
const LIMIT: Duration = Duration::from_millis(400);

/// Starts a store that reads one call, answers it with `answer`, and keeps the connection open without sending another
/// byte. Returns its address.
async fn store_of_one_call<F>(answer: impl FnOnce(TcpStream) -> F + 'static) -> IoResult<String>
where
    F: Future<Output = IoResult<TcpStream>>,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut buffer = [0u8; 4096];
        // The request is short enough to arrive in one read.
        let _ = stream.read(&mut buffer).await?;
        let _open = answer(stream).await?;
        pending::<IoResult<()>>().await
    });
    Ok(address)
}

/// Starts a store that answers one call with `parts` parts of 100 bytes and a pause after each; its `content-length`
/// announces `announced` parts.
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
async fn slow_answer_is_read_while_parts_keep_arriving() -> IoResult<()> {
    let address = store(10, 10, LIMIT / 4).await?;
    let (result, took) = read(&address).await;
    assert_eq!(result.ok(), Some(1_000), "after {took:?}");
    assert!(took > LIMIT, "{took:?}");
    Ok(())
}

#[actix_rt::test]
async fn stalled_answer_is_abandoned_after_the_limit() -> IoResult<()> {
    let address = store(2, 10, Duration::ZERO).await?;
    let (result, took) = read(&address).await;
    assert!(matches!(result, Err(Error::OutcomeUnknown(_))), "{result:?}");
    assert!(took < LIMIT * 3, "{took:?}");
    Ok(())
}

#[actix_rt::test]
async fn endless_answer_is_abandoned() -> IoResult<()> {
    let address = store(1_000, 1_000, LIMIT / 4).await?;
    let (result, took) = read(&address).await;
    assert!(matches!(result, Err(Error::OutcomeUnknown(_))), "{result:?}");
    assert!(took < LIMIT * 12, "{took:?}");
    Ok(())
}

/// Starts a store that begins the answer of a watch at once and ends it after `wait`, as if an object changed then.
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
async fn watch_whose_answer_begins_before_the_change_is_not_abandoned() -> IoResult<()> {
    let address = store_that_streams_watches(LIMIT * 3).await?;
    let client = StoreClient::new(&address, LIMIT);
    let request = StoreRequest::get("/objects?watch=1".to_string());
    let reply = client.watch(request, LIMIT * 10).await;
    assert!(reply.is_ok(), "{:?}", reply.err());
    Ok(())
}

/// The daemon and the tool expect a watch to end one second after its limit.
#[actix_rt::test]
async fn watch_ends_soon_after_its_limit() -> IoResult<()> {
    let address = store(1_000, 1_000, LIMIT / 4).await?;
    let client = StoreClient::new(&address, LIMIT);
    let begun = Instant::now();
    let reply = client.watch(StoreRequest::get("/objects?watch=1".to_string()), LIMIT).await;
    assert!(reply.is_err());
    let took = begun.elapsed();
    assert!(took < LIMIT + Duration::from_millis(1_500), "{took:?}");
    Ok(())
}
