//! A machine that was suspended takes no connection that its target has closed meanwhile for one that it still keeps.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_http::{Method, RequestHead};
use curlewcleat_clock::{install, AgeClock, BootClock, Moment};
use curlewcleat_targets::{collect, ConnectionOptions, ConnectionPool};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

static SUSPENDED: AtomicU64 = AtomicU64::new(0);

struct JumpingClock;

impl AgeClock for JumpingClock {
    fn read(&self) -> Duration {
        BootClock.read() + Duration::from_secs(SUSPENDED.load(Ordering::SeqCst))
    }
}

/// Asks once, and counts the connections that the target has taken.
async fn ask(pool: &ConnectionPool, address: &str) {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = "/".parse().expect("a path");
    let connection = pool.connect(address, Duration::from_secs(1)).await.expect("a connection");
    let answer = connection.exchange(head, ()).await.expect("an answer");
    collect(answer.body, 1 << 10).await.expect("a body");
}

#[actix_rt::test]
async fn idle_connection_is_not_used_after_a_suspension_that_is_longer_than_its_limit() {
    install(Box::new(JumpingClock)).expect("the first clock");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let taken = std::rc::Rc::new(std::cell::Cell::new(0));
    let count = std::rc::Rc::clone(&taken);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(async move {
                let mut bytes = [0; 1_024];
                while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    let _ = stream.write_all(answer).await;
                }
            });
        }
    });
    let options = ConnectionOptions { rest: Duration::ZERO, ..ConnectionOptions::default() };
    let pool = ConnectionPool::new(options);
    ask(&pool, &address).await;
    ask(&pool, &address).await;
    assert_eq!(taken.get(), 1, "an idle connection is used");
    let before = Moment::now();
    SUSPENDED.fetch_add(16, Ordering::SeqCst);
    assert!(before.elapsed() >= Duration::from_secs(16));
    ask(&pool, &address).await;
    assert_eq!(taken.get(), 2, "one that has rested for longer than its limit is not");
}
