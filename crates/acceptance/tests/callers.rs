//! Callers that send bad or too large requests, disconnect, or read slowly.

use anyhow::Result;
use curlewcleat_acceptance::{configuration, ready_fleet, DEPOTS, DRIVERS};
use curlewcleat_standins::callers::{caller_client, CallerCall, CallerOutcome};
use curlewcleat_standins::deployment::{get_text, wait_status, wait_until, Deployment};
use curlewcleat_standins::verdicts::read_ledgers;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends bytes to a daemon and reads the answer until the connection closes or 300 bytes have arrived.
async fn send_raw(entry: &str, bytes: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(bytes).await?;
    let mut answer = vec![0u8; 300];
    let mut length = 0;
    while length < answer.len() {
        // A reset after an answer is treated as a close.
        match stream.read(&mut answer[length..]).await {
            Ok(0) | Err(_) => break,
            Ok(read) => length += read,
        }
    }
    Ok(String::from_utf8_lossy(&answer[..length]).to_string())
}

/// Checks that the daemon still serves requests.
async fn still_serves(fleet: &Deployment) -> Result<()> {
    let call = CallerCall::service("/v1/sessions/unlock", DRIVERS, "still");
    assert_eq!(
        call.send(&caller_client(), &fleet.daemons[0].callers).await.outcome,
        CallerOutcome::Complete
    );
    Ok(())
}

/// Returns status, reason and "may have run" of a refusal.
fn refusal(outcome: &CallerOutcome) -> (u16, String, bool) {
    match outcome {
        CallerOutcome::Refused { status, reason, may_have_run, .. } => {
            (*status, reason.clone(), *may_have_run)
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::time("Curlewcleat-Timeout-Ms", "soon")]
#[case::no_time("Curlewcleat-Timeout-Ms", "0")]
#[case::preference("Prefer", "wait=never")]
#[case::empty_key("Idempotency-Key", "\"\"")]
#[case::attempt("Idempotency-Attempt", "0")]
#[actix_rt::test]
async fn bad_header_is_refused(#[case] name: &str, #[case] value: &str) -> Result<()> {
    let fleet = ready_fleet("bad-header", 0, 1, 1).await?;
    let call =
        CallerCall::service("/v1/sessions/unlock", DRIVERS, "n").header("Idempotency-Key", "k");
    let record = call.header(name, value).send(&caller_client(), &fleet.daemons[0].callers).await;
    assert_eq!(refusal(&record.outcome), (400, "bad_header".to_string(), false));
    still_serves(&fleet).await
}

#[actix_rt::test]
async fn preference_sets_the_deadline() -> Result<()> {
    let fleet = ready_fleet("preference", 1, 0, 1).await?;
    // 2,000 tokens at 2 ms each take longer than a second.
    let call =
        CallerCall::engine("/v1/assistant/ask", DEPOTS, "n", "x", 2_000).header("Prefer", "wait=1");
    let record = call.send(&caller_client(), &fleet.daemons[0].callers).await;
    assert_eq!(refusal(&record.outcome), (503, "deadline_unreachable".to_string(), false));
    assert!(read_ledgers(&fleet).await?.is_empty(), "the engine does not process its prompt");
    Ok(())
}

#[actix_rt::test]
async fn too_large_bodies_are_refused() -> Result<()> {
    let fleet = ready_fleet("too-large", 0, 1, 1).await?;
    let entry = &fleet.daemons[0].callers;
    let head = format!(
        "POST /v1/sessions/unlock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {DRIVERS}\r\n"
    );
    let announced =
        send_raw(entry, format!("{head}Content-Length: 2000000\r\n\r\n").as_bytes()).await?;
    assert!(announced.starts_with("HTTP/1.1 413"), "{announced}");
    assert!(announced.contains("body_too_large"), "{announced}");
    let mut chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for _ in 0..40 {
        chunked.extend_from_slice(b"8000\r\n");
        chunked.extend(std::iter::repeat_n(b'x', 0x8000));
        chunked.extend_from_slice(b"\r\n");
    }
    let mut stream = TcpStream::connect(entry).await?;
    // The daemon may close the connection before it has read everything.
    let _ = stream.write_all(&chunked).await;
    wait_until("the refusal is counted", || async {
        let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await.unwrap_or_default();
        metrics.contains(
            "refusals_total{pool=\"sessions\",reason=\"body_too_large\",tier=\"start-stop\"} 2",
        )
    })
    .await?;
    still_serves(&fleet).await
}

#[rstest]
#[case::nonsense(b"\x00\x01\x02 nonsense\r\n\r\n".to_vec())]
#[case::no_version(b"GET /\r\n\r\n".to_vec())]
#[case::two_lengths(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_vec())]
#[case::length_and_chunks(
    b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: gzip, chunked, x\r\n\r\nabc".to_vec()
)]
#[case::long_headers([b"GET / HTTP/1.1\r\nX: ".to_vec(), vec![b'a'; 300_000], b"\r\n\r\n".to_vec()].concat())]
#[actix_rt::test]
async fn malformed_request_closes_only_its_connection(#[case] bytes: Vec<u8>) -> Result<()> {
    let fleet = ready_fleet("malformed", 0, 1, 1).await?;
    let answer = send_raw(&fleet.daemons[0].callers, &bytes).await?;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    still_serves(&fleet).await
}

#[actix_rt::test]
async fn slow_request_head_times_out() -> Result<()> {
    let fleet = ready_fleet("slow-head", 0, 1, 1).await?;
    let answer =
        send_raw(&fleet.daemons[0].callers, b"POST /v1/sessions/unlock HTTP/1.1\r\nHost:").await?;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
    still_serves(&fleet).await
}

#[actix_rt::test]
async fn caller_that_disconnects_frees_its_slot() -> Result<()> {
    let fleet = ready_fleet("leaves", 1, 1, 2).await?;
    let entry = fleet.daemons[0].callers.clone();
    let mut tasks = Vec::new();
    // Four requests stream, four wait.
    for index in 0..8 {
        let entry = entry.clone();
        let call =
            CallerCall::engine("/v1/assistant/ask", DEPOTS, &format!("n{index}"), "x", 3_000);
        tasks.push(actix_rt::spawn(async move { call.send(&caller_client(), &entry).await }));
    }
    wait_until("four requests run", || async {
        read_ledgers(&fleet).await.is_ok_and(|entries| entries.len() == 4)
    })
    .await?;
    wait_status(&fleet.daemons[0].operators, "eight requests", |status| status["requests"] == 8)
        .await?;
    tasks.iter().for_each(|task| task.abort());
    wait_status(&fleet.daemons[0].operators, "no requests", |status| status["requests"] == 0)
        .await?;
    for daemon in &fleet.daemons {
        wait_status(&daemon.operators, "no permits", |status| {
            let pools = status["pools"].as_array().cloned().unwrap_or_default();
            pools.iter().all(|pool| pool["in_flight"] == 0 && pool["waiting"] == 0)
        })
        .await?;
    }
    let call = CallerCall::engine("/v1/assistant/ask", DEPOTS, "next", "x", 5);
    assert_eq!(call.send(&caller_client(), &entry).await.outcome, CallerOutcome::Complete);
    Ok(())
}

#[actix_rt::test]
async fn large_upload_reaches_the_engine_whole() -> Result<()> {
    let fleet = ready_fleet("upload", 1, 0, 1).await?;
    let prompt = "contract ".repeat(200_000);
    let call = CallerCall::engine("/v1/assistant/ask", DEPOTS, "n", &prompt, 5)
        .header("Curlewcleat-Timeout-Ms", "60000");
    let record = call.send(&caller_client(), &fleet.daemons[0].callers).await;
    assert_eq!(record.outcome, CallerOutcome::Complete);
    let prefill: u64 = read_ledgers(&fleet).await?.iter().map(|entry| entry.prefill).sum();
    assert_eq!(prefill, 9 * 200_000 / 4);
    Ok(())
}

#[actix_rt::test]
async fn nonsense_peer_frames_are_counted_and_ignored() -> Result<()> {
    let fleet = ready_fleet("frames", 0, 1, 1).await?;
    let peers = &fleet.daemons[0].peers;
    let mut stream = TcpStream::connect(peers).await?;
    stream.write_all(&[0xff; 4096]).await?;
    let socket = nng::Socket::new(nng::Protocol::Pub0)?;
    socket.dial(&format!("tcp://{peers}"))?;
    for bytes in [&b""[..], b"\x01", b"\x02nonsense", &[0x01; 300], &[0xff; 70_000]] {
        socket.send(bytes).map_err(|(_, error)| error)?;
    }
    wait_until("five unreadable frames", || async {
        let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await.unwrap_or_default();
        metrics.contains("curlewcleat_peer_frames{kind=\"unreadable\"} 5")
    })
    .await?;
    still_serves(&fleet).await
}

#[actix_rt::test]
async fn caller_that_stops_reading_keeps_no_slot() -> Result<()> {
    let mut fleet = Deployment::start("stalled").await?;
    fleet.caller_settings = "stall_limit = 1s\n".to_string();
    fleet.target("engine", &["--slots", "4", "--output-token-us", "0"]).await?;
    fleet.daemons(1).await?;
    fleet.apply(
        "all.ini",
        &configuration(&fleet, "", "prompt_token_us = 1\n").replace("prompt_token_us = 20\n", ""),
    )?;
    let entry = &fleet.daemons[0].callers;
    // The answer has some ten megabytes, far more than the buffers between engine and caller hold.
    let body = "{\"prompt\":\"x\",\"max_tokens\":400000,\"nonce\":\"stalled\"}";
    let head = format!(
        "POST /v1/assistant/ask HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {DEPOTS}\r\n\
         Curlewcleat-Timeout-Ms: 80000000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(head.as_bytes()).await?;
    wait_until("the request runs", || async {
        read_ledgers(&fleet).await.is_ok_and(|entries| entries.len() == 1)
    })
    .await?;
    wait_until("the stalled caller is counted", || async {
        let metrics = get_text(&fleet.daemons[0].operators, "/metrics").await.unwrap_or_default();
        metrics.contains("curlewcleat_callers_stalled_total 1")
    })
    .await?;
    wait_status(&fleet.daemons[0].operators, "no requests", |status| status["requests"] == 0)
        .await?;
    // The answer ends without the last chunk, so that the caller cannot mistake it for complete.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(!rest.ends_with(b"0\r\n\r\n"));
    Ok(())
}

#[actix_rt::test]
async fn slow_reader_gets_its_whole_answer() -> Result<()> {
    let fleet = ready_fleet("slow-reader", 1, 0, 1).await?;
    let call = CallerCall::engine("/v1/assistant/ask", DEPOTS, "slow", "x", 300);
    let mut stream = TcpStream::connect(&fleet.daemons[0].callers).await?;
    let body = "{\"prompt\":\"x\",\"max_tokens\":300,\"nonce\":\"slow\"}";
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {DEPOTS}\r\nContent-Length: {}\r\n\r\n{body}",
        call.path,
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    let mut part = [0u8; 64];
    // Reads in small parts, so that the engine is far ahead.
    while let Ok(length) = stream.read(&mut part).await {
        if length == 0 {
            break;
        }
        answer.extend_from_slice(&part[..length]);
    }
    assert!(answer.ends_with(b"0\r\n\r\n"));
    let text = String::from_utf8_lossy(&answer).to_string();
    assert_eq!(text.matches("data: {").count(), 300);
    Ok(())
}
