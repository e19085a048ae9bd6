//! Links that hold the frames of single daemons.

use std::time::Duration;

use curlewcleat_standins::link::FaultyLink;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time after which bytes count as held.
const HELD_AFTER: Duration = Duration::from_millis(300);

/// Returns the first bytes of a connection from a daemon: handshake, length, format version and its name.
fn first_frame(vm: &str) -> Vec<u8> {
    let mut bytes = vec![0; 17];
    bytes.push(vm.len() as u8);
    bytes.extend_from_slice(vm.as_bytes());
    bytes
}

/// Sends bytes over a connection through the link and returns whether they arrive.
async fn arrives(client: &mut TcpStream, server: &mut TcpStream, bytes: &[u8]) -> bool {
    client.write_all(bytes).await.expect("open");
    is_received(server, bytes.len()).await
}

async fn is_received(server: &mut TcpStream, length: usize) -> bool {
    let mut received = vec![0; length];
    tokio::time::timeout(HELD_AFTER, server.read_exact(&mut received)).await.is_ok()
}

#[actix_rt::test]
async fn frames_of_a_blocked_sender_wait_and_those_of_others_pass() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = listener.local_addr().expect("an address").to_string();
    let link = FaultyLink::start(&target, None).await.expect("a link");
    let mut connections = Vec::new();
    for vm in ["vm-1", "vm-12"] {
        let mut client = TcpStream::connect(&link.address).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        assert!(arrives(&mut client, &mut server, &first_frame(vm)).await);
        connections.push((client, server));
    }
    link.block_sender("vm-1");
    link.block_sender("vm-1");
    for (index, (client, server)) in connections.iter_mut().enumerate() {
        assert_eq!(arrives(client, server, b"frame").await, index == 1);
        server.write_all(b"back").await.expect("open");
        assert!(is_received(client, b"back".len()).await);
    }
    let held = &mut connections[0].1;
    link.unblock_sender("vm-1");
    assert!(!is_received(held, b"frame".len()).await);
    link.unblock_sender("vm-1");
    assert!(is_received(held, b"frame".len()).await);
    link.close();
}
