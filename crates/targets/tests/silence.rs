//! Connections that go silent for good, without a reset, while new ones work.
//!
//! What happened: five requests had left five idle connections to a target. All of them went silent. Each further
//! request took one of them and waited its whole limit, until none was left: five time-outs in a row at a target
//! that served new connections at once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, RequestHead};
use curlewcleat_targets::{ConnectionPool, TargetAnswer};
use futures_util::future::join_all;
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_millis(300);
const IDLE: usize = 5;

/// A target whose connections of one time go silent.
#[derive(Default)]
struct SilencedTarget {
    accepted: Cell<usize>,
    /// Connections that were accepted before so many say nothing again.
    silent_before: Cell<usize>,
}

impl SilencedTarget {
    async fn start() -> std::io::Result<(Rc<SilencedTarget>, String)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let target = Rc::<SilencedTarget>::default();
        let serving = Rc::clone(&target);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = serving.accepted.replace(serving.accepted.get() + 1);
                actix_rt::spawn(Rc::clone(&serving).serve(stream, number));
            }
        });
        Ok((target, address))
    }

    /// All present connections go silent.
    fn silence(&self) {
        self.silent_before.set(self.accepted.get());
    }

    async fn serve(self: Rc<SilencedTarget>, mut stream: TcpStream, number: usize) {
        let mut buffer = [0u8; 4_096];
        while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
            // Long enough that requests sent together take a connection each.
            tokio::time::sleep(Duration::from_millis(20)).await;
            if number < self.silent_before.get() {
                continue;
            }
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.write_all(b"begin").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            if number >= self.silent_before.get() {
                let _ = stream.write_all(b"ended").await;
            }
        }
    }
}

fn head() -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = actix_http::Uri::from_static("/x");
    head
}

async fn begin(pool: &ConnectionPool, address: &str) -> Option<TargetAnswer> {
    let connection = pool.connect(address, LIMIT).await.ok()?;
    tokio::time::timeout(LIMIT, connection.exchange(head(), ())).await.ok()?.ok()
}

/// Whether a request is answered whole, each part within the limit.
async fn is_served(pool: &ConnectionPool, address: &str) -> bool {
    let Some(mut answer) = begin(pool, address).await else { return false };
    loop {
        match tokio::time::timeout(LIMIT, answer.body.next()).await {
            Ok(Some(Ok(_))) => {}
            Ok(None) => return true,
            _ => return false,
        }
    }
}

async fn with_idle_connections(pool: &ConnectionPool, address: &str) {
    let served = join_all((0..IDLE).map(|_| is_served(pool, address))).await;
    assert_eq!(served, vec![true; IDLE]);
    // Until they have rested.
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[actix_rt::test]
async fn one_request_without_an_answer_is_enough() -> std::io::Result<()> {
    let (target, address) = SilencedTarget::start().await?;
    let pool = ConnectionPool::default();
    with_idle_connections(&pool, &address).await;
    target.silence();
    assert!(!is_served(&pool, &address).await);
    for request in 0..IDLE {
        assert!(is_served(&pool, &address).await, "request {request} after the one that failed");
    }
    Ok(())
}

#[actix_rt::test]
async fn one_answer_that_stops_is_enough() -> std::io::Result<()> {
    let (target, address) = SilencedTarget::start().await?;
    let pool = ConnectionPool::default();
    with_idle_connections(&pool, &address).await;
    let mut answer = begin(&pool, &address).await.expect("the head of an answer");
    target.silence();
    while let Ok(Some(Ok(_))) = tokio::time::timeout(LIMIT, answer.body.next()).await {}
    drop(answer);
    for request in 0..IDLE {
        assert!(
            is_served(&pool, &address).await,
            "request {request} after the answer that stopped"
        );
    }
    Ok(())
}

/// A caller that leaves soon tells nothing of the target.
#[actix_rt::test]
async fn request_that_is_given_up_soon_keeps_the_others() -> std::io::Result<()> {
    let (target, address) = SilencedTarget::start().await?;
    let pool = ConnectionPool::default();
    with_idle_connections(&pool, &address).await;
    let soon = Duration::from_millis(5);
    assert!(tokio::time::timeout(soon, is_served(&pool, &address)).await.is_err());
    for _ in 0..IDLE - 1 {
        assert!(is_served(&pool, &address).await);
    }
    assert_eq!(target.accepted.get(), IDLE, "no new connection was needed");
    Ok(())
}
