//! Relayed connections of which one side does not read.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use curlewcleat_core::{DaemonId, TargetEntry};
use curlewcleat_relay::{
    accept_relay, connect_through_peer, RelayEnd, RelayRequest, RelayedConnection,
};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const STALL_LIMIT: Duration = Duration::from_millis(400);
/// Time within which a stalled connection has to end.
const PATIENCE: Duration = Duration::from_secs(5);
const PART: [u8; 8 << 10] = [7; 8 << 10];
/// Parts that fill the buffers of all connections of a relay.
const MANY_PARTS: usize = 4_096;
/// Most bytes that the three hold for one connection, with the buffers of their kernels.
const HELD_LIMIT: usize = 2 << 20;
/// Buffer of the target's kernel.
const TARGET_BUFFER: usize = 64 << 10;

fn request() -> RelayRequest {
    RelayRequest {
        from: DaemonId { vm: "vm-1".to_string(), incarnation: 1 },
        request: None,
        pool: "p".to_string(),
        target: TargetEntry { id: "t".to_string(), ..TargetEntry::default() },
        time_limit: PATIENCE,
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((SOURCE, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A relayed connection: its two ends, and how it ended.
struct Relayed {
    daemon: RelayedConnection,
    target: TcpStream,
    ended: oneshot::Receiver<RelayEnd>,
}

async fn relayed() -> Relayed {
    let (target, target_address) = listener().await;
    let (peer, peer_address) = listener().await;
    let (sender, ended) = oneshot::channel();
    actix_rt::spawn(async move {
        let (stream, _) = peer.accept().await.expect("a daemon");
        let relay = accept_relay(stream).await.expect("a request");
        let target = TcpStream::connect(target_address).await.expect("the target accepts");
        let end = relay.carry(target, STALL_LIMIT).await.expect("the daemon is connected");
        // The test may have stopped waiting.
        let _ = sender.send(end);
    });
    let daemon = connect_through_peer(peer_address, SOURCE, &request()).await.expect("connected");
    let (target, _) = target.accept().await.expect("a connection");
    Relayed { daemon, target, ended }
}

async fn end_of(ended: oneshot::Receiver<RelayEnd>) -> Option<RelayEnd> {
    let begun = Instant::now();
    let end = tokio::time::timeout(PATIENCE, ended).await.ok()?.ok();
    println!("{end:?} after {:?}", begun.elapsed());
    end
}

/// A relay kept its connections for a daemon that had left, because it noticed only that the target read nothing.
#[actix_rt::test]
async fn relay_to_a_target_that_does_not_read_ends_after_the_daemon_has_left() {
    let Relayed { mut daemon, target, ended } = relayed().await;
    for _ in 0..MANY_PARTS {
        let written = tokio::time::timeout(STALL_LIMIT / 4, daemon.write_all(&PART)).await;
        if written.is_err() {
            break;
        }
    }
    drop(daemon);
    assert_eq!(end_of(ended).await, Some(RelayEnd::Stalled));
    drop(target);
}

/// A relay kept its connections for a daemon that lived and read nothing.
#[actix_rt::test]
async fn relay_for_a_daemon_that_does_not_read_ends() {
    let Relayed { daemon, mut target, ended } = relayed().await;
    SockRef::from(&target).set_send_buffer_size(TARGET_BUFFER).expect("an open connection");
    let mut sent = 0;
    for _ in 0..MANY_PARTS {
        let written = tokio::time::timeout(STALL_LIMIT / 4, target.write_all(&PART)).await;
        if written.is_err() {
            break;
        }
        sent += PART.len();
    }
    println!("{sent} bytes were taken from the target");
    assert!(sent <= HELD_LIMIT, "{sent} bytes are held");
    assert_eq!(end_of(ended).await, Some(RelayEnd::Stalled));
    drop(daemon);
}

/// A daemon whose caller reads slowly loses nothing.
#[actix_rt::test]
async fn relay_for_a_daemon_that_reads_now_and_then_carries_all() {
    let Relayed { mut daemon, mut target, ended } = relayed().await;
    actix_rt::spawn(async move {
        for _ in 0..MANY_PARTS / 4 {
            target.write_all(&PART).await.expect("the relay reads");
        }
    });
    let mut read = 0;
    let mut buffer = vec![0u8; 2 << 20];
    let mut pauses = 6;
    loop {
        let length = daemon.read(&mut buffer).await.expect("whole");
        if length == 0 {
            break;
        }
        read += length;
        if read > (7 - pauses) << 20 && pauses > 0 {
            pauses -= 1;
            tokio::time::sleep(STALL_LIMIT / 2).await;
        }
    }
    assert_eq!(read, MANY_PARTS / 4 * PART.len());
    assert_eq!(end_of(ended).await, Some(RelayEnd::ClosedByTarget));
}
