//! Connections through a peer: what the daemon that uses one reads, and what both ends do when one of the three processes
//! ends.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use curlewcleat_core::{DaemonId, TargetEntry};
use curlewcleat_relay::{
    accept_relay, connect_through_peer, Error, RelayEnd, RelayRefusal, RelayRequest,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const LIMIT: Duration = Duration::from_secs(5);
/// Longer than any test.
const STALL_LIMIT: Duration = Duration::from_secs(600);
/// Number of resets, of which a write notices some and a read the others.
const RESETS: usize = 100;

fn request() -> RelayRequest {
    RelayRequest {
        from: DaemonId { vm: "vm-1".to_string(), incarnation: 1 },
        request: None,
        pool: "p".to_string(),
        target: TargetEntry { id: "t".to_string(), ..TargetEntry::default() },
        time_limit: LIMIT,
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((SOURCE, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Starts a peer that relays one connection to a target, and returns its address and how the connection ended.
async fn peer(target: SocketAddr) -> (SocketAddr, oneshot::Receiver<RelayEnd>) {
    let (listener, address) = listener().await;
    let (sender, receiver) = oneshot::channel();
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a daemon");
        let relay = accept_relay(stream).await.expect("a request");
        assert_eq!(relay.request, request());
        let target = TcpStream::connect(target).await.expect("the target accepts");
        let end = relay.carry(target, STALL_LIMIT).await.expect("the daemon is connected");
        sender.send(end).expect("the test waits");
    });
    (address, receiver)
}

/// Answers that end with their connection are complete only if the target has closed it.
#[actix_rt::test]
async fn end_of_the_targets_connection_arrives_after_its_last_byte() {
    let (target, address) = listener().await;
    let (peer, ended) = peer(address).await;
    let mut connection = connect_through_peer(peer, SOURCE, &request()).await.expect("connected");
    let (mut accepted, _) = target.accept().await.expect("a connection");
    // Longer than one frame, in both directions.
    let sent = vec![7u8; 100_000];
    let writing = async {
        connection.write_all(&sent).await.expect("written");
        connection.flush().await.expect("flushed");
    };
    let mut received = vec![0u8; sent.len()];
    let (_, read) = tokio::join!(writing, accepted.read_exact(&mut received));
    read.expect("the target reads all");
    assert_eq!(received, sent);
    accepted.write_all(&sent).await.expect("answered");
    drop(accepted);
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await.expect("a clean end");
    assert_eq!(answer, sent);
    assert_eq!(ended.await, Ok(RelayEnd::ClosedByTarget));
}

/// A target that was reset in the middle of an answer looked like one that had closed its connection.
#[actix_rt::test]
async fn broken_connection_to_the_target_is_an_error() {
    let (target, address) = listener().await;
    let (peer, ended) = peer(address).await;
    let mut connection = connect_through_peer(peer, SOURCE, &request()).await.expect("connected");
    let (mut accepted, _) = target.accept().await.expect("a connection");
    connection.write_all(b"unread").await.expect("written");
    connection.flush().await.expect("flushed");
    accepted.peek(&mut [0u8; 1]).await.expect("bytes arrive");
    accepted.write_all(b"part").await.expect("answered");
    // Closing with unread bytes resets the connection.
    drop(accepted);
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await.expect_err("the answer is cut");
    assert_eq!(ended.await, Ok(RelayEnd::TargetBroken));
}

/// The kernel closes the connections of a peer that is killed without a reset.
#[actix_rt::test]
async fn loss_of_the_peer_is_an_error() {
    let (listener, peer) = listener().await;
    let (target, address) = self::listener().await;
    let relaying = actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a daemon");
        let relay = accept_relay(stream).await.expect("a request");
        let target = TcpStream::connect(address).await.expect("the target accepts");
        relay.carry(target, STALL_LIMIT).await
    });
    let mut connection = connect_through_peer(peer, SOURCE, &request()).await.expect("connected");
    let (mut accepted, _) = target.accept().await.expect("a connection");
    accepted.write_all(b"part").await.expect("answered");
    let mut part = [0u8; 4];
    connection.read_exact(&mut part).await.expect("the part arrives");
    relaying.abort();
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await.expect_err("the answer is cut");
}

/// A target went on working for a caller that had left.
#[actix_rt::test]
async fn target_sees_its_connection_close_when_the_daemon_abandons_the_exchange() {
    let (target, address) = listener().await;
    let (peer, ended) = peer(address).await;
    let connection = connect_through_peer(peer, SOURCE, &request()).await.expect("connected");
    let (mut accepted, _) = target.accept().await.expect("a connection");
    drop(connection);
    let read = tokio::time::timeout(LIMIT, accepted.read(&mut [0u8; 1])).await;
    assert_eq!(read.expect("the close arrives").expect("a clean close"), 0);
    assert_eq!(ended.await, Ok(RelayEnd::ClosedByDaemon));
}

#[actix_rt::test]
async fn refusal_arrives_with_its_reason() {
    let (listener, peer) = listener().await;
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a daemon");
        let relay = accept_relay(stream).await.expect("a request");
        relay.refuse(RelayRefusal::Full).await.expect("the daemon is connected");
    });
    let refused = connect_through_peer(peer, SOURCE, &request()).await;
    assert!(matches!(refused, Err(Error::Refused(RelayRefusal::Full))), "{refused:?}");
}

/// A daemon of a former build does not listen.
#[actix_rt::test]
async fn peer_that_does_not_listen_is_an_error_before_anything_is_written() {
    let (listener, peer) = listener().await;
    drop(listener);
    let failed = connect_through_peer(peer, SOURCE, &request()).await;
    assert!(matches!(failed, Err(Error::Io(_))), "{failed:?}");
}

/// A target reset its connection while the peer still wrote a request to it. The write took the error, so that the next
/// read returned an orderly end, and a cut answer that ends with its connection looked whole.
#[actix_rt::test]
async fn reset_that_a_write_has_noticed_is_an_error() {
    for _ in 0..RESETS {
        let (target, address) = listener().await;
        let (peer, ended) = peer(address).await;
        let mut connection =
            connect_through_peer(peer, SOURCE, &request()).await.expect("connected");
        let (mut accepted, _) = target.accept().await.expect("a connection");
        accepted.write_all(b"part").await.expect("answered");
        // Both are pending when the peer runs again; which it notices first is random.
        connection.write_all(b"rest of the request").await.expect("written");
        connection.flush().await.expect("flushed");
        accepted.set_zero_linger().expect("an open connection");
        drop(accepted);
        let mut answer = Vec::new();
        connection.read_to_end(&mut answer).await.expect_err("the answer is cut");
        assert_eq!(ended.await, Ok(RelayEnd::TargetBroken));
    }
}
