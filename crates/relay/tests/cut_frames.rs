//! Connections through a peer whose bytes stop at any byte of a frame, in both directions.
//!
//! Guards against an end of the connection to the peer that is taken for the end of the target's connection, which can be
//! the end of an answer.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use curlewcleat_core::{DaemonId, TargetEntry};
use curlewcleat_relay::{accept_relay, connect_through_peer, RelayEnd, RelayRequest};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than any test.
const STALL_LIMIT: Duration = Duration::from_secs(600);
const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nbody";
const CONNECTED: &[u8] = &[0];
const END: &[u8] = &[1];
const BROKEN: &[u8] = &[2];

fn request() -> RelayRequest {
    RelayRequest {
        from: DaemonId { vm: "vm-1".to_string(), incarnation: 1 },
        request: None,
        pool: "p".to_string(),
        target: TargetEntry { id: "t".to_string(), ..TargetEntry::default() },
        time_limit: Duration::from_secs(5),
    }
}

/// Returns frames as bytes, each after its length.
fn frames(contents: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for content in contents {
        bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
        bytes.extend_from_slice(content);
    }
    bytes
}

fn data(bytes: &[u8]) -> Vec<u8> {
    [&[0], bytes].concat()
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((SOURCE, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Asks a peer that sends these bytes and stops; returns what was read of the target's bytes, and whether they ended
/// without an error.
async fn read_from_peer(bytes: &[u8], is_reset: bool) -> (Vec<u8>, bool) {
    let (listener, peer) = listener().await;
    let bytes = bytes.to_vec();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a daemon");
        let mut length = [0; 4];
        stream.read_exact(&mut length).await.expect("a length");
        let mut request = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut request).await.expect("a request");
        stream.write_all(&bytes).await.expect("the daemon is connected");
        if is_reset {
            stream.set_zero_linger().expect("an open connection");
        }
    });
    let mut read = Vec::new();
    let Ok(mut connection) = connect_through_peer(peer, SOURCE, &request()).await else {
        return (read, false);
    };
    let ended = connection.read_to_end(&mut read).await.is_ok();
    (read, ended)
}

#[rstest]
#[actix_rt::test]
async fn answer_over_a_peer_that_stops_at_any_byte_has_no_end(
    #[values(true, false)] is_reset: bool,
    #[values(END, BROKEN)] last: &[u8],
) {
    let (first, second) = ANSWER.split_at(9);
    let bytes = frames(&[CONNECTED, &data(first), &data(b""), &data(second), last]);
    for cut in 0..=bytes.len() {
        let (read, ended) = read_from_peer(&bytes[..cut], is_reset).await;
        assert!(ANSWER.starts_with(&read), "cut at {cut}");
        let may_end = cut == bytes.len() && last == END;
        assert!(may_end || !ended, "cut at {cut} of {}", bytes.len());
        if may_end && !is_reset {
            assert_eq!((read.as_slice(), ended), (ANSWER, true));
        }
    }
}

/// A frame that a later build may send is no end either.
#[rstest]
#[case::unknown_part(&[0, 0, 0, 1, 3])]
#[case::empty_frame(&[0, 0, 0, 0])]
#[case::huge_frame(&[0xff, 0xff, 0xff, 0xff, 0])]
#[case::end_without_a_length(&[1])]
#[actix_rt::test]
async fn unknown_frame_is_no_end(#[case] odd: &[u8]) {
    let bytes = [&frames(&[CONNECTED, &data(b"part")]), odd].concat();
    let (read, ended) = read_from_peer(&bytes, false).await;
    assert_eq!((read.as_slice(), ended), (&b"part"[..], false));
}

#[rstest]
#[case::unknown_reply(&[9])]
#[case::unknown_refusal(&[1, 99])]
#[case::empty_reply(&[])]
#[actix_rt::test]
async fn reply_that_cannot_be_decoded_is_no_connection(#[case] reply: &[u8]) {
    let bytes = frames(&[reply, &data(ANSWER), END]);
    assert_eq!(read_from_peer(&bytes, false).await, (Vec::new(), false));
}

/// Sends bytes to a peer and stops; returns what the target receives, and how the relayed connection ended if there was
/// one.
async fn write_to_peer(bytes: &[u8]) -> (Vec<u8>, Option<RelayEnd>) {
    let (target, target_address) = listener().await;
    let (peer, peer_address) = listener().await;
    let relaying = actix_rt::spawn(async move {
        let (stream, _) = peer.accept().await.expect("a daemon");
        let relay = accept_relay(stream).await.ok()?;
        let target = TcpStream::connect(target_address).await.expect("the target accepts");
        relay.carry(target, STALL_LIMIT).await.ok()
    });
    let mut daemon = TcpStream::connect(peer_address).await.expect("the peer accepts");
    daemon.write_all(bytes).await.expect("written");
    daemon.shutdown().await.expect("closed");
    let end = relaying.await.expect("the relay ends");
    let mut received = Vec::new();
    if end.is_some() {
        let (mut accepted, _) = target.accept().await.expect("a connection");
        accepted.read_to_end(&mut received).await.expect("the peer closes");
    }
    (received, end)
}

/// A request that is cut within its own frame asks for nothing, and no part of a cut frame reaches a target.
#[actix_rt::test]
async fn request_that_stops_at_any_byte_reaches_the_target_in_whole_frames() {
    let asked = postcard::to_stdvec(&request()).expect("encoded");
    let head = frames(&[&asked]).len();
    let bytes = frames(&[&asked, &data(b"first"), &data(b"second")]);
    let first_end = head + frames(&[&data(b"first")]).len();
    for cut in 0..=bytes.len() {
        let (received, end) = write_to_peer(&bytes[..cut]).await;
        let expected: &[u8] = match cut {
            cut if cut == bytes.len() => b"firstsecond",
            cut if cut >= first_end => b"first",
            _ => b"",
        };
        assert_eq!(received, expected, "cut at {cut}");
        assert_eq!(end.is_some(), cut >= head, "cut at {cut}");
    }
}
