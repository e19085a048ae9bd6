//! Targets whose head contradicts itself about the length of the body, in a deployment with files.
//!
//! Guards against an answer that is cut to a length that its target stated beside the chunks that it sent.

use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{Method, RequestHead};
use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::{configuration, ready_fleet, DRIVERS};
use curlewcleat_targets::{collect, ConnectionPool, ExchangeOptions};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(3);

/// Starts a target that sends the same bytes for every request and closes; returns its address.
async fn start_target(text: &'static str) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // The request is short enough to arrive in one read; a connection that fails is replaced.
            let _ = stream.read(&mut [0u8; 4096]).await;
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    Ok(address)
}

fn request_head(path: &str) -> Result<RequestHead> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = path.parse()?;
    let token = HeaderValue::from_str(&format!("Bearer {DRIVERS}"))?;
    head.headers.insert(header::AUTHORIZATION, token);
    Ok(head)
}

#[rstest]
#[case::shorter("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n5\r\nhello\r\n0\r\n\r\n")]
#[case::longer("HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")]
#[actix_rt::test]
async fn answer_in_chunks_is_not_cut_to_a_length_beside_them(
    #[case] text: &'static str,
) -> Result<()> {
    let fleet = ready_fleet("contradicted-lengths", 0, 0, 1).await?;
    let address = start_target(text).await?;
    let target =
        format!("[target odd]\npool = sessions\naddress = {address}\nvm = target-odd\nslots = 8\n");
    fleet.apply("all.ini", &(configuration(&fleet, "", "") + &target))?;
    let mut last = String::new();
    for _ in 0..100 {
        let connection =
            ConnectionPool::default().connect(&fleet.daemons[0].callers, LIMIT).await?;
        let body = Bytes::from_static(b"b");
        let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
        let answer =
            connection.exchange_with(request_head("/v1/sessions/a")?, body, &options).await?;
        let status = answer.head.status.as_u16();
        let received = collect(answer.body, 1_000).await;
        if status == 200 {
            assert_eq!(received, Ok(Bytes::from_static(b"hello")));
            return Ok(());
        }
        last = format!("{status} {received:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::bail!("no answer of the target: {last}");
}
