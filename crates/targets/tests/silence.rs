//! Idle connections that stop working permanently without a reset, while new ones work.
//!
//! Guards against repeated timeouts: five requests leave five idle connections to a target, and all of them stop
//! working. If each further request takes one of them and waits for its full limit, five consecutive requests time out
//! at a target that answers on new connections at once.

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

/// A target whose connections up to some moment stall.
#[derive(Default)]
struct StallingTarget {
    accepted: Cell<usize>,
    /// Connections with a number below this one send nothing more.
    stalled_below: Cell<usize>,
}

impl StallingTarget {
    async fn start() -> std::io::Result<(Rc<StallingTarget>, String)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let target = Rc::<StallingTarget>::default();
        let serving = Rc::clone(&target);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = serving.accepted.replace(serving.accepted.get() + 1);
                actix_rt::spawn(Rc::clone(&serving).serve(stream, number));
            }
        });
        Ok((target, address))
    }

    /// Stalls all connections accepted so far.
    fn stall_connections(&self) {
        self.stalled_below.set(self.accepted.get());
    }

    async fn serve(self: Rc<StallingTarget>, mut stream: TcpStream, number: usize) {
        let mut buffer = [0u8; 4_096];
        while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
            // Long enough that concurrent requests use separate connections.
            tokio::time::sleep(Duration::from_millis(20)).await;
            if number < self.stalled_below.get() {
                continue;
            }
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.write_all(b"begin").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            if number >= self.stalled_below.get() {
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

/// Returns whether a request gets a complete answer, each part within the limit.
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

async fn open_idle_connections(pool: &ConnectionPool, address: &str) {
    let served = join_all((0..IDLE).map(|_| is_served(pool, address))).await;
    assert_eq!(served, vec![true; IDLE]);
    // Longer than the minimum idle time before a connection is reused.
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[actix_rt::test]
async fn unanswered_request_discards_the_idle_connections() -> std::io::Result<()> {
    let (target, address) = StallingTarget::start().await?;
    let pool = ConnectionPool::default();
    open_idle_connections(&pool, &address).await;
    target.stall_connections();
    assert!(!is_served(&pool, &address).await);
    for request in 0..IDLE {
        assert!(is_served(&pool, &address).await, "request {request} after the unanswered one");
    }
    Ok(())
}

#[actix_rt::test]
async fn stalled_answer_discards_the_idle_connections() -> std::io::Result<()> {
    let (target, address) = StallingTarget::start().await?;
    let pool = ConnectionPool::default();
    open_idle_connections(&pool, &address).await;
    let mut answer = begin(&pool, &address).await.expect("the head of an answer");
    target.stall_connections();
    while let Ok(Some(Ok(_))) = tokio::time::timeout(LIMIT, answer.body.next()).await {}
    drop(answer);
    for request in 0..IDLE {
        assert!(is_served(&pool, &address).await, "request {request} after the stalled answer");
    }
    Ok(())
}

/// A request that is dropped early, as when its caller disconnects, shows nothing about the target.
#[actix_rt::test]
async fn early_dropped_request_keeps_the_idle_connections() -> std::io::Result<()> {
    let (target, address) = StallingTarget::start().await?;
    let pool = ConnectionPool::default();
    open_idle_connections(&pool, &address).await;
    let soon = Duration::from_millis(5);
    assert!(tokio::time::timeout(soon, is_served(&pool, &address)).await.is_err());
    for _ in 0..IDLE - 1 {
        assert!(is_served(&pool, &address).await);
    }
    assert_eq!(target.accepted.get(), IDLE, "a new connection was opened");
    Ok(())
}
