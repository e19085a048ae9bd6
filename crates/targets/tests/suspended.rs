//! After a suspension of the machine, idle connections that the target has closed meanwhile are not reused.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_http::{Method, RequestHead};
use curlewcleat_clock::{install, AgeClock, BootClock, Moment};
use curlewcleat_targets::{collect, ConnectionOptions, ConnectionPool};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

static SUSPENDED_SECONDS: AtomicU64 = AtomicU64::new(0);

struct JumpingClock;

impl AgeClock for JumpingClock {
    fn read(&self) -> Duration {
        BootClock.read() + Duration::from_secs(SUSPENDED_SECONDS.load(Ordering::SeqCst))
    }
}

/// Sends one request and reads its answer.
async fn send_request(pool: &ConnectionPool, address: &str) {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = "/".parse().expect("a path");
    let connection = pool.connect(address, Duration::from_secs(1)).await.expect("a connection");
    let answer = connection.exchange(head, ()).await.expect("an answer");
    collect(answer.body, 1 << 10).await.expect("a body");
}

#[actix_rt::test]
async fn idle_connection_is_not_reused_after_a_suspension_longer_than_its_limit() {
    install(Box::new(JumpingClock)).expect("the first clock");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let accepted = std::rc::Rc::new(std::cell::Cell::new(0));
    let count = std::rc::Rc::clone(&accepted);
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
    let options = ConnectionOptions { min_idle: Duration::ZERO, ..ConnectionOptions::default() };
    let pool = ConnectionPool::new(options);
    send_request(&pool, &address).await;
    send_request(&pool, &address).await;
    assert_eq!(accepted.get(), 1, "the idle connection was not reused");
    let before = Moment::now();
    SUSPENDED_SECONDS.fetch_add(16, Ordering::SeqCst);
    assert!(before.elapsed() >= Duration::from_secs(16));
    send_request(&pool, &address).await;
    assert_eq!(
        accepted.get(),
        2,
        "a connection that was idle for longer than its limit was reused"
    );
}
