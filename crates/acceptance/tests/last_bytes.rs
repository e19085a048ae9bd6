//! A daemon that was told to stop ended while the end of an answer was still on its way to a slow caller. The request
//! had ended for the daemon when the last part was handed to the caller's connection; the process ended 105 ms later,
//! with what the kernel had not taken. Of 3,937,851 bytes the caller got 3,894,290 and then a closed connection, six
//! seconds before the stop limit. The log said that all was well:
//!
//! ```text
//! drain_closing
//! request_served
//! ended          105 ms later
//! ```

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::FleetDeployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const EVENTS: u64 = 1_000;
/// Bytes of an event besides the name of its try.
const EVENT_BYTES: usize = 27;
/// The answer is shorter by this than what fits between a target and a caller that does not read; it ends then in
/// the daemon.
const BELOW: usize = 40_000;
/// Time in which a target sends all its events, and more.
const SENT: Duration = Duration::from_millis(2_500);
const END: &[u8] = b"0\r\n\r\n";

/// Sends a request for a stream and reads nothing.
async fn ask(entry: &str, attempt: &str, time_left: u64) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(32 << 10)?;
    let mut stream = socket.connect(entry.parse()?).await?;
    let head = format!(
        "POST /resumed/stream/a HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {DRIVERS_KEY}\r\n\
         {}: {attempt}\r\n{}: {time_left}\r\ncontent-length: 1\r\n\r\nb",
        WIRE_PROFILE.attempt_id, WIRE_PROFILE.time_left
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// Reads to the end of the answer; gives its bytes and whether it was whole.
async fn read_all(mut stream: TcpStream) -> (usize, bool) {
    let (mut count, mut tail, mut part) = (0, Vec::new(), vec![0u8; 32 << 10]);
    loop {
        let Ok(length @ 1..) = stream.read(&mut part).await else { return (count, false) };
        count += length;
        tail.extend_from_slice(&part[..length]);
        if tail.ends_with(END) {
            return (count, true);
        }
        tail.drain(..tail.len().saturating_sub(END.len()));
    }
}

/// A daemon that was told to stop, and a caller that has not read its answer, the end of which is still in the
/// daemon.
async fn unread(name: &str, bounds: &str) -> Result<(FleetDeployment, TcpStream, Instant)> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine("engines", EVENTS, Duration::ZERO).await?;
    fleet.daemons(1, bounds).await?;
    let daemon = &fleet.daemons[0];
    let (entry, operators) = (daemon.callers.clone(), daemon.operators.clone());
    wait_until("ready", || async { get_text(&operators, "/readyz").await.is_ok() }).await?;
    wait_until("the target is known", || async {
        let Ok(stream) = ask(&entry, "warm", 4_500).await else { return false };
        read_all(stream).await.1
    })
    .await?;
    // A longer answer is cut at its deadline; what its caller gets is what fits on the way.
    let longer = ask(&entry, &"l".repeat(6_000), 1_500).await?;
    tokio::time::sleep(SENT).await;
    let (room, whole) = read_all(longer).await;
    assert!(!whole);
    let attempt = "t".repeat((room - BELOW) / EVENTS as usize - EVENT_BYTES);
    let stream = ask(&entry, &attempt, 12_000).await?;
    wait_until("it runs", || async {
        fleet.engines[0].runs().iter().any(|run| run.attempt == attempt)
    })
    .await?;
    daemon.process.signal("TERM")?;
    let told = Instant::now();
    tokio::time::sleep(SENT).await;
    Ok((fleet, stream, told))
}

#[actix_rt::test]
async fn slow_caller_gets_its_whole_answer_of_a_daemon_that_stops() -> Result<()> {
    let (mut fleet, stream, _) = unread("slow-caller", "").await?;
    let (count, whole) = read_all(stream).await;
    assert!(whole, "cut after {count} bytes");
    let process = &mut fleet.daemons[0].process;
    let ends = Instant::now();
    while process.ended().is_none() && ends.elapsed() < Duration::from_secs(1) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(process.ended(), Some(0), "it ends once all is read");
    Ok(())
}

/// A caller that never reads does not keep the daemon beyond its stop limit.
#[actix_rt::test]
async fn caller_that_does_not_read_does_not_outlast_the_stop_limit() -> Result<()> {
    let (mut fleet, stream, told) = unread("no-reader", "stop_limit = 4s").await?;
    let process = &mut fleet.daemons[0].process;
    while process.ended().is_none() && told.elapsed() < Duration::from_secs(4) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(process.ended(), Some(0));
    drop(stream);
    Ok(())
}
