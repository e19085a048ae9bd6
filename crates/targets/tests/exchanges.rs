//! Exchanges with a server that closes, cuts, repeats and redirects.

use std::time::Duration;

use actix_http::{Method, RequestHead};
use curlewcleat_targets::{BodyCut, ConnectionPool, Error, TargetAnswer};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);

/// A server that reads once from each connection and writes one text; gives its address.
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

async fn read(mut answer: TargetAnswer) -> Result<String, BodyCut> {
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
async fn whole_answer_is_read(#[case] text: &'static str) -> std::io::Result<()> {
    let address = server(vec![text]).await?;
    let answer = exchange(&ConnectionPool::default(), &address, Method::POST).await;
    let answer = answer.map_err(std::io::Error::other)?;
    assert_eq!(read(answer).await, Ok("hello".to_string()));
    Ok(())
}

#[rstest]
#[case::by_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello")]
#[case::by_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n")]
#[case::within_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhello")]
#[case::before_the_last_mark(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
)]
#[actix_rt::test]
async fn cut_answer_is_an_error(#[case] text: &'static str) -> std::io::Result<()> {
    let address = server(vec![text]).await?;
    let answer = exchange(&ConnectionPool::default(), &address, Method::POST).await;
    let answer = answer.map_err(std::io::Error::other)?;
    assert!(read(answer).await.is_err());
    Ok(())
}

#[actix_rt::test]
async fn close_under_a_written_request_is_not_a_failure_to_connect() -> std::io::Result<()> {
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
#[case::nonsense("hello\r\n\r\n")]
#[actix_rt::test]
async fn answer_without_an_end_of_its_own_is_not_taken(
    #[case] text: &'static str,
) -> std::io::Result<()> {
    let address = server(vec![text]).await?;
    let failed = exchange(&ConnectionPool::default(), &address, Method::POST).await.err();
    assert!(matches!(failed, Some(Error::Protocol(_))), "{failed:?}");
    Ok(())
}

#[actix_rt::test]
async fn bytes_after_an_answer_reach_nobody() -> std::io::Result<()> {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo";
    let address = server(vec![twice, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"]).await?;
    let pool = ConnectionPool::default();
    let first = exchange(&pool, &address, Method::POST).await.map_err(std::io::Error::other)?;
    assert_eq!(read(first).await, Ok("one".to_string()));
    let second = exchange(&pool, &address, Method::POST).await.map_err(std::io::Error::other)?;
    assert_eq!(read(second).await, Ok("own".to_string()));
    Ok(())
}
