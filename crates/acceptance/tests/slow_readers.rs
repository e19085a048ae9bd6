//! A daemon on a small VM before callers that read slowly, and callers that send large bodies.
//!
//! Load pattern: many callers leave answers unread that are longer than what fits between a target and a caller, beside
//! normal callers; bodies of the size limit from many callers at once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::{get_json, get_text, wait_until};
use curlewcleat_standins::fleet::{FleetDeployment, FleetEngine};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

mod support;

use support::idle_callers::{is_closed_unread, IdleCallers};
use support::{call, load, metric};

const STREAM: &str = "/resumed/stream/a";
const RECORD: &str = "/once/a";
/// Last chunk of a complete answer.
const END: &[u8] = b"0\r\n\r\n";
/// Slow callers beyond those that bring a daemon under pressure.
const FURTHER_SLOW: usize = 20;
/// Time between two slow callers, in which the targets accept an answer's request.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which a target may have an answer of which nothing is read.
const UNREAD_LIMIT: Duration = Duration::from_secs(3);

/// Sends the head of a request, and the given part of its body.
async fn send(
    entry: &str,
    path: &str,
    attempt: &str,
    length: usize,
    body: &[u8],
) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(16 << 10)?;
    let mut stream = socket.connect(entry.parse()?).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {DRIVERS_KEY}\r\n\
         {}: {attempt}\r\n{}: 5000\r\ncontent-length: {length}\r\n\r\n",
        WIRE_PROFILE.attempt_id, WIRE_PROFILE.time_left
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    Ok(stream)
}

/// Sends a request until a target runs it, and again where its connection is closed unread.
async fn send_until_run(fleet: &FleetDeployment, attempt: &str) -> Result<TcpStream> {
    let entry = &fleet.daemons[0].callers;
    let is_run = |engine: &Rc<FleetEngine>| engine.runs().iter().any(|run| run.attempt == attempt);
    let begun = Instant::now();
    let mut stream = send(entry, STREAM, attempt, 1, b"b").await?;
    while !fleet.engines.iter().any(is_run) {
        anyhow::ensure!(begun.elapsed() < UNREAD_LIMIT, "no target runs {attempt}");
        tokio::time::sleep(SEND_INTERVAL).await;
        if is_closed_unread(&stream) {
            stream = send(entry, STREAM, attempt, 1, b"b").await?;
        }
    }
    Ok(stream)
}

/// Reads until the end of a chunked answer, or of the connection.
async fn read_answer(mut stream: TcpStream) -> Vec<u8> {
    let (mut bytes, mut part) = (Vec::new(), vec![0u8; 64 << 10]);
    while let Ok(length @ 1..) = stream.read(&mut part).await {
        bytes.extend_from_slice(&part[..length]);
        if bytes.ends_with(END) {
            break;
        }
    }
    bytes
}

/// Returns an attempt id that every event of its stream repeats.
fn long_attempt(number: usize, length: usize) -> String {
    format!("{number:0length$}")
}

/// Starts a daemon on a VM with this much memory, engines for streams and one for records.
async fn ready(name: &str, memory_mb: u64, engines: usize, events: u64) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.config.limits.max_body_bytes = Some(1_000_000);
    fleet.store_config()?;
    fleet.engine("records", 0, Duration::from_millis(10)).await?;
    for _ in 0..engines {
        fleet.engine("engines", events, Duration::ZERO).await?;
    }
    fleet.vm_settings = format!("memory_limit = {memory_mb}MB\n");
    fleet.daemons(1, "").await?;
    let daemon = &fleet.daemons[0];
    wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() }).await?;
    for path in [RECORD, STREAM] {
        wait_until("served", || async {
            call(&daemon.callers, path, "warm").await.is_ok_and(|result| result.status == 200)
        })
        .await?;
    }
    Ok(fleet)
}

/// Peaks of what a daemon holds and of its resident memory, in bytes.
async fn observe_peaks(operators: &str, duration: Duration) -> Result<(u64, u64)> {
    let (begun, mut held, mut resident) = (Instant::now(), 0, 0);
    while begun.elapsed() < duration {
        let metrics = get_text(operators, "/metrics").await?;
        held = held.max(metric(&metrics, "held_bytes")?);
        resident = resident.max(metric(&metrics, "resident_bytes")?);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok((held, resident))
}

/// Sends requests whose answers are not read until a daemon's bodies of the lowest tier have to wait, and some more, at
/// most `limit` of them.
async fn send_until_pressed(
    fleet: &FleetDeployment,
    limit: usize,
) -> Result<Vec<(String, TcpStream)>> {
    let daemon = &fleet.daemons[0];
    let (mut slow, mut end) = (Vec::new(), limit);
    while slow.len() < end {
        let attempt = long_attempt(slow.len(), 400);
        let stream = send(&daemon.callers, STREAM, &attempt, 1, b"b").await?;
        slow.push((attempt, stream));
        tokio::time::sleep(SEND_INTERVAL).await;
        let metrics = get_text(&daemon.operators, "/metrics").await?;
        if end == limit && metric(&metrics, "memory_pressure")? > 0 {
            end = (slow.len() + FURTHER_SLOW).min(limit);
        }
    }
    Ok(slow)
}

/// Reads all answers and returns how many were served and end as whole ones, after which they must have all events.
async fn read_whole_answers(slow: Vec<(String, TcpStream)>, events: u64) -> usize {
    let mut whole = 0;
    for (attempt, stream) in slow {
        let answer = String::from_utf8_lossy(&read_answer(stream).await).to_string();
        if answer.ends_with("0\r\n\r\n") && answer.starts_with("HTTP/1.1 200") {
            assert_eq!(answer.matches("\ndata: ").count() as u64, events);
            assert!(FleetEngine::expected_stream(&attempt, events).len() < answer.len());
            whole += 1;
        }
    }
    whole
}

/// Waits until a daemon holds nothing besides connections.
async fn wait_released(operators: &str) -> Result<()> {
    wait_until("everything is released", || async {
        let metrics = get_text(operators, "/metrics").await.unwrap_or_default();
        ["request", "body", "answer", "unread"].iter().all(|owner| {
            let held = metric(&metrics, &format!("held_bytes{{owner=\"{owner}\"}}"));
            held.is_ok_and(|held| held == 0)
        })
    })
    .await
}

#[actix_rt::test]
async fn callers_that_do_not_read_neither_outgrow_the_memory_nor_delay_others() -> Result<()> {
    const MEMORY_MB: u64 = 68;
    const MAX_SLOW: usize = 600;
    const EVENTS: u64 = 1_000;
    let fleet = ready("slow-readers", MEMORY_MB, 10, EVENTS).await?;
    let daemon = &fleet.daemons[0];
    let (_, idle) = observe_peaks(&daemon.operators, Duration::from_millis(100)).await?;
    let slow = send_until_pressed(&fleet, MAX_SLOW).await?;
    let normal = load(vec![("normal", daemon.callers.clone())], RECORD, UNREAD_LIMIT);
    let peaks = observe_peaks(&daemon.operators, UNREAD_LIMIT);
    let (normal, peaks) = futures_util::future::join(normal, peaks).await;
    let (held, resident) = peaks?;
    // No target has an answer that nobody reads any more.
    wait_until("the targets have no running requests", || async {
        let status = get_json(&daemon.operators, "/status").await;
        status.is_ok_and(|status| status["requests"] == 0)
    })
    .await?;
    let metrics = get_text(&daemon.operators, "/metrics").await?;
    let budget = metric(&metrics, "memory_budget_bytes")?;
    assert!(held > budget * 60 / 100 && held <= budget, "{held} of {budget}");
    assert!(resident < MEMORY_MB << 20, "{resident}");
    assert!(resident - idle < budget, "{resident} after {idle}, budget {budget}");
    assert!(normal.len() > 20, "{}", normal.len());
    assert!(normal.iter().all(|result| result.status == 200), "{normal:?}");
    let slowest = normal.iter().map(|result| result.elapsed).max().unwrap_or_default();
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    // Callers that read in the end have whole answers, or such that are visibly cut.
    let whole = read_whole_answers(slow, EVENTS).await;
    assert!(whole > 10, "{whole} answers were delivered");
    wait_released(&daemon.operators).await
}

#[actix_rt::test]
async fn target_is_not_left_with_an_answer_that_its_caller_does_not_read() -> Result<()> {
    let fleet = ready("standing-reader", 64, 1, 1_000).await?;
    let daemon = &fleet.daemons[0];
    let begun = Instant::now();
    // Some four megabytes, more than may wait for one caller.
    let stream = send(&daemon.callers, STREAM, &long_attempt(0, 4_000), 1, b"b").await?;
    wait_until("the request ends", || async {
        let metrics = get_text(&daemon.operators, "/metrics").await.unwrap_or_default();
        let stalled = metric(&metrics, "memory_decisions{decision=\"reader_stalled\"}");
        let status = get_json(&daemon.operators, "/status").await;
        stalled.is_ok_and(|count| count == 1) && status.is_ok_and(|status| status["requests"] == 0)
    })
    .await?;
    assert!(begun.elapsed() < UNREAD_LIMIT, "{:?}", begun.elapsed());
    assert!(!read_answer(stream).await.ends_with(END), "a cut answer does not end as a whole one");
    assert_eq!(call(&daemon.callers, STREAM, "next").await?.status, 200);
    Ok(())
}

#[actix_rt::test]
async fn callers_that_read_nothing_give_way_to_others_and_their_answers_are_visibly_cut(
) -> Result<()> {
    const SLOW: usize = 24;
    let fleet = ready("ended-readers", 16, 4, 100).await?;
    let daemon = &fleet.daemons[0];
    let decided = |decision: &'static str| async move {
        let metrics = get_text(&daemon.operators, "/metrics").await?;
        metric(&metrics, &format!("memory_decisions{{decision=\"{decision}\"}}"))
    };
    // Their answers are shorter than what may wait for one caller, and longer than what the kernel takes.
    let mut slow = Vec::new();
    for number in 0..SLOW {
        slow.push(send_until_run(&fleet, &long_attempt(number, 2_500)).await?);
    }
    assert_eq!(decided("reader_ended").await?, 0);
    let idle = IdleCallers::connect(&daemon.callers, 520).await?;
    wait_until("readers end", || async {
        idle.connect_again().await.is_ok() && decided("reader_ended").await.is_ok_and(|n| n > 0)
    })
    .await?;
    assert_eq!(call(&daemon.callers, RECORD, "normal").await?.status, 200);
    let (mut whole, mut cut) = (0, 0);
    for stream in slow {
        match read_answer(stream).await.ends_with(END) {
            true => whole += 1,
            false => cut += 1,
        }
    }
    let ended = decided("reader_ended").await? + decided("reader_stalled").await?;
    assert_eq!((whole + cut, cut as u64), (SLOW, ended), "{whole} whole");
    assert!(whole > 0, "only as many end as the memory needs");
    Ok(())
}

#[actix_rt::test]
async fn body_beyond_the_memory_is_refused_before_it_is_read() -> Result<()> {
    const BODY: usize = 1_000_000;
    let fleet = ready("large-bodies", 16, 1, 1).await?;
    let daemon = &fleet.daemons[0];
    // Each announces a body of the size limit and sends its beginning.
    let mut senders = Vec::new();
    for number in 0..20 {
        let attempt = format!("sender-{number}");
        senders.push(send(&daemon.callers, RECORD, &attempt, BODY, &[b'b'; 1_000]).await?);
    }
    wait_until("the memory is promised", || async {
        let metrics = get_text(&daemon.operators, "/metrics").await.unwrap_or_default();
        metric(&metrics, "memory_decisions{decision=\"body_refused\"}").is_ok_and(|count| count > 8)
    })
    .await?;
    let body = vec![b'b'; BODY];
    let begun = Instant::now();
    let stream = send(&daemon.callers, RECORD, "refused", BODY, &body).await;
    let stream = stream.context("the caller sends its whole body")?;
    let answer = String::from_utf8(read_answer(stream).await)?;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert!(answer.contains("\"entry_full\"") && answer.contains("\"may_have_run\":false"));
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    // A request with a small body is served meanwhile.
    assert_eq!(call(&daemon.callers, RECORD, "small").await?.status, 200);
    let runs = fleet.engines[0].runs();
    assert!(runs.iter().all(|run| run.attempt != "refused"), "a refused request did not run");
    // What was promised to callers that leave is free again.
    drop(senders);
    wait_until("a body of the size limit is read", || async {
        let Ok(stream) = send(&daemon.callers, RECORD, "later", BODY, &body).await else {
            return false;
        };
        let mut head = [0u8; 12];
        let mut stream = stream;
        stream.read_exact(&mut head).await.is_ok() && &head == b"HTTP/1.1 200"
    })
    .await
}
