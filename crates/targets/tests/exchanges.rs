//! Exchanges with a server that closes connections, truncates answers, sends extra bytes or refuses requests.

use std::time::Duration;

use actix_http::{Method, RequestHead};
use curlewcleat_core::{TargetEntry, TargetStart};
use curlewcleat_targets::{
    BodyFrame, ConnectionOptions, ConnectionOrigin, ConnectionPool, Error, ExchangeOptions,
    TargetAnswer, TruncatedBody,
};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);

/// Starts a server that reads once from each connection and writes one text; returns its address.
async fn server(texts: Vec<&'static str>) -> std::io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    actix_rt::spawn(async move {
        for text in texts {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            let mut buffer = [0u8; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    Ok(address)
}

fn head(method: Method) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = actix_http::Uri::from_static("/x");
    head
}

async fn exchange(
    pool: &ConnectionPool,
    address: &str,
    method: Method,
) -> Result<TargetAnswer, Error> {
    pool.connect(address, LIMIT).await?.exchange(head(method), "body").await
}

async fn read(mut answer: TargetAnswer) -> Result<String, TruncatedBody> {
    let mut text = String::new();
    while let Some(part) = answer.body.next().await {
        text.push_str(&String::from_utf8_lossy(&part?));
    }
    Ok(text)
}

#[rstest]
#[case::by_length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello")]
#[case::by_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")]
#[case::after_an_early_hint(
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
)]
#[actix_rt::test]
async fn complete_answer_is_read(#[case] text: &'static str) -> std::io::Result<()> {
    let address = server(vec![text]).await?;
    let answer = exchange(&ConnectionPool::default(), &address, Method::POST).await;
    let answer = answer.map_err(std::io::Error::other)?;
    assert_eq!(read(answer).await, Ok("hello".to_string()));
    Ok(())
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", BodyFrame::Length)]
#[case::empty("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", BodyFrame::Empty)]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n", BodyFrame::Empty)]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", BodyFrame::Chunks)]
#[case::closed("HTTP/1.1 200 OK\r\n\r\nhello", BodyFrame::UntilClose)]
#[case::announced_close("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello", BodyFrame::UntilClose)]
#[case::old_version("HTTP/1.0 200 OK\r\n\r\nhello", BodyFrame::UntilClose)]
#[case::closed_without_content("HTTP/1.1 200 OK\r\n\r\n", BodyFrame::UntilClose)]
#[actix_rt::test]
async fn answer_states_how_its_end_is_determined(
    #[case] text: &'static str,
    #[case] frame: BodyFrame,
) -> std::io::Result<()> {
    let address = server(vec![text]).await?;
    let connection = ConnectionPool::default().connect(&address, LIMIT).await;
    let connection = connection.map_err(std::io::Error::other)?;
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let answer = connection.exchange_with(head(Method::POST), "body", &options).await;
    assert_eq!(answer.map_err(std::io::Error::other)?.body.frame(), frame);
    Ok(())
}

#[rstest]
#[case::by_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello")]
#[case::by_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n")]
#[case::within_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhello")]
#[case::before_the_final_line_break(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
)]
#[actix_rt::test]
async fn truncated_answer_is_an_error(#[case] text: &'static str) -> std::io::Result<()> {
    let address = server(vec![text]).await?;
    let answer = exchange(&ConnectionPool::default(), &address, Method::POST).await;
    let answer = answer.map_err(std::io::Error::other)?;
    assert!(read(answer).await.is_err());
    Ok(())
}

#[actix_rt::test]
async fn close_after_a_written_request_is_not_a_failure_to_connect() -> std::io::Result<()> {
    let address = server(vec![""]).await?;
    let failed = exchange(&ConnectionPool::default(), &address, Method::POST).await.err();
    assert!(matches!(failed, Some(Error::Closed(_))), "{failed:?}");
    Ok(())
}

#[actix_rt::test]
async fn refused_connection_is_a_failure_to_connect() -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    drop(listener);
    let failed = exchange(&ConnectionPool::default(), &address, Method::POST).await.err();
    assert!(matches!(failed, Some(Error::Connect(_))), "{failed:?}");
    Ok(())
}

#[rstest]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\nhello")]
#[case::old_version("HTTP/1.0 200 OK\r\n\r\nhello")]
#[case::no_status_line("hello\r\n\r\n")]
#[actix_rt::test]
async fn answer_without_length_or_chunks_is_an_error(
    #[case] text: &'static str,
) -> std::io::Result<()> {
    let address = server(vec![text]).await?;
    let failed = exchange(&ConnectionPool::default(), &address, Method::POST).await.err();
    assert!(matches!(failed, Some(Error::Protocol(_))), "{failed:?}");
    Ok(())
}

#[actix_rt::test]
async fn bytes_after_an_answer_do_not_answer_the_next_request() -> std::io::Result<()> {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo";
    let address = server(vec![twice, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"]).await?;
    let pool = ConnectionPool::default();
    let first = exchange(&pool, &address, Method::POST).await.map_err(std::io::Error::other)?;
    assert_eq!(read(first).await, Ok("one".to_string()));
    let second = exchange(&pool, &address, Method::POST).await.map_err(std::io::Error::other)?;
    assert_eq!(read(second).await, Ok("own".to_string()));
    Ok(())
}

/// Starts a server that answers each request with the number of its connection; returns its address.
async fn numbered_server() -> std::io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    actix_rt::spawn(async move {
        for number in 1.. {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            actix_rt::spawn(async move {
                let mut buffer = [0u8; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    Ok(address)
}

async fn read_from(pool: &ConnectionPool, target: &TargetEntry) -> Result<String, Error> {
    // Longer than the minimum idle time before a connection is reused.
    tokio::time::sleep(Duration::from_millis(30)).await;
    let connection = pool.connect_to(target, LIMIT, None).await?;
    let answer = connection.exchange(head(Method::GET), ()).await?;
    read(answer).await.map_err(|truncated| Error::Closed(truncated.to_string()))
}

/// Guards against idle connections that are pooled by address only: a request to a restarted target is then written on
/// a connection to the earlier instance, whose close has not been noticed, and is counted as one that may have run.
#[actix_rt::test]
async fn connection_to_an_earlier_instance_is_not_used_for_a_later_one() -> std::io::Result<()> {
    let address = numbered_server().await?;
    let target = |id: &str, start: Option<u64>| TargetEntry {
        id: id.to_string(),
        address: address.clone(),
        start: start.map(TargetStart),
        ..TargetEntry::default()
    };
    let pool = ConnectionPool::default();
    let requests = [
        (target("a", Some(1)), "1"),
        (target("a", Some(1)), "1"),
        (target("a", Some(2)), "2"),
        // A request to the earlier instance still uses the connection to that one.
        (target("a", Some(1)), "1"),
        (target("a", Some(2)), "2"),
        (target("b", Some(2)), "3"),
        (target("c", None), "4"),
        (target("c", None), "4"),
    ];
    for (target, number) in requests {
        let answer = read_from(&pool, &target).await.map_err(std::io::Error::other)?;
        assert_eq!(answer, number, "{:?}", target.instance());
    }
    Ok(())
}

#[actix_rt::test]
async fn connection_states_whether_it_was_opened_or_idle() -> std::io::Result<()> {
    let address = numbered_server().await?;
    let target = TargetEntry { address, ..TargetEntry::default() };
    let pool = ConnectionPool::new(ConnectionOptions {
        min_idle: Duration::ZERO,
        ..ConnectionOptions::default()
    });
    for expected in [ConnectionOrigin::Opened, ConnectionOrigin::Reused] {
        let connection = pool.connect_to(&target, LIMIT, None).await;
        let connection = connection.map_err(std::io::Error::other)?;
        assert_eq!(connection.origin(), expected);
        connection.put_back();
    }
    Ok(())
}

/// A request is written to an instance that then terminates. A refusal by the later instance at the same address, on
/// another connection, does not prove that the request did not run.
#[actix_rt::test]
async fn refusal_by_a_later_instance_does_not_answer_an_earlier_request() -> std::io::Result<()> {
    let refusal = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
    // The first connection closes without an answer, the second gets the refusal.
    let address = server(vec!["", refusal]).await?;
    let target = TargetEntry { address, start: Some(TargetStart(1)), ..TargetEntry::default() };
    let later = TargetEntry { start: Some(TargetStart(2)), ..target.clone() };
    let pool = ConnectionPool::default();
    let earlier = pool.connect_to(&target, LIMIT, None).await.map_err(std::io::Error::other)?;
    let written = earlier.exchange(head(Method::POST), "body").await;
    assert!(matches!(written, Err(Error::Closed(_))), "it may have run");
    let connection = pool.connect_to(&later, LIMIT, None).await.map_err(std::io::Error::other)?;
    let answer = connection.exchange(head(Method::POST), "body").await;
    assert_eq!(answer.map_err(std::io::Error::other)?.head.status.as_u16(), 421);
    Ok(())
}
