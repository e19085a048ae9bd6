//! A planned stop of a daemon while a slow caller reads the end of its answer.
//!
//! Guards against a daemon that regards a request as complete when it has passed the last part to the caller's
//! connection. The process exited 105 ms later, with bytes that the kernel had not accepted: the caller received
//! 3,894,290 of 3,937,851 bytes and then a closed connection, six seconds before the stop limit. The log showed no
//! fault:
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
/// Bytes of an event besides the attempt id.
const EVENT_BYTES: usize = 27;
/// Bytes by which the answer is shorter than what fits between a target and a caller that does not read, so that its
/// end is buffered in the daemon.
const SHORTER_BY: usize = 40_000;
/// Longer than a target needs to send all its events.
const SEND_TIME: Duration = Duration::from_millis(2_500);
/// Last chunk of a complete answer.
const END: &[u8] = b"0\r\n\r\n";

/// Sends a request for a stream and does not read the answer.
async fn send_request(entry: &str, attempt: &str, time_left_ms: u64) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(32 << 10)?;
    let mut stream = socket.connect(entry.parse()?).await?;
    let head = format!(
        "POST /resumed/stream/a HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {DRIVERS_KEY}\r\n\
         {}: {attempt}\r\n{}: {time_left_ms}\r\ncontent-length: 1\r\n\r\nb",
        WIRE_PROFILE.attempt_id, WIRE_PROFILE.time_left
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// Reads the answer to its end; returns the number of bytes and whether it was complete.
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

/// Starts a planned stop of a daemon while a caller has not read its answer, the end of which is still buffered in the
/// daemon. Returns the caller's connection and the time of the stop.
async fn stop_with_unread_answer(
    name: &str,
    bounds: &str,
) -> Result<(FleetDeployment, TcpStream, Instant)> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    fleet.engine("engines", EVENTS, Duration::ZERO).await?;
    fleet.daemons(1, bounds).await?;
    let daemon = &fleet.daemons[0];
    let (entry, operators) = (daemon.callers.clone(), daemon.operators.clone());
    wait_until("ready", || async { get_text(&operators, "/readyz").await.is_ok() }).await?;
    wait_until("the target is known", || async {
        let Ok(stream) = send_request(&entry, "warm", 4_500).await else { return false };
        read_all(stream).await.1
    })
    .await?;
    // A longer answer is interrupted at its deadline; its caller receives the bytes that fit between the target and the
    // caller.
    let longer = send_request(&entry, &"l".repeat(6_000), 1_500).await?;
    tokio::time::sleep(SEND_TIME).await;
    let (capacity, complete) = read_all(longer).await;
    assert!(!complete);
    let attempt = "t".repeat((capacity - SHORTER_BY) / EVENTS as usize - EVENT_BYTES);
    let stream = send_request(&entry, &attempt, 12_000).await?;
    wait_until("the request runs", || async {
        fleet.engines[0].runs().iter().any(|run| run.attempt == attempt)
    })
    .await?;
    daemon.process.signal("TERM")?;
    let stopped = Instant::now();
    tokio::time::sleep(SEND_TIME).await;
    Ok((fleet, stream, stopped))
}

#[actix_rt::test]
async fn slow_caller_receives_its_whole_answer_from_a_stopping_daemon() -> Result<()> {
    let (mut fleet, stream, _) = stop_with_unread_answer("slow-caller", "").await?;
    let (count, complete) = read_all(stream).await;
    assert!(complete, "cut after {count} bytes");
    let process = &mut fleet.daemons[0].process;
    let read = Instant::now();
    while process.ended().is_none() && read.elapsed() < Duration::from_secs(1) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(process.ended(), Some(0), "the daemon exits when the answer has been read");
    Ok(())
}

#[actix_rt::test]
async fn caller_that_does_not_read_delays_no_exit_beyond_the_stop_limit() -> Result<()> {
    let (mut fleet, stream, stopped) =
        stop_with_unread_answer("no-reader", "stop_limit = 4s").await?;
    let process = &mut fleet.daemons[0].process;
    while process.ended().is_none() && stopped.elapsed() < Duration::from_secs(4) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(process.ended(), Some(0));
    drop(stream);
    Ok(())
}
