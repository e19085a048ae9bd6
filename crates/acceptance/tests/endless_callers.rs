//! Callers and operators that send without end, beside one that is served.
//!
//! Load pattern: many connections whose heads or bodies do not end, as fast as they are read or one byte at a time.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use curlewcleat_platform::example::{DRIVERS_KEY, HOST};
use curlewcleat_platform::names::WIRE_PROFILE;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::FleetDeployment;
use futures_util::future::join_all;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

mod support;

use support::call;

const RECORD: &str = "/once/a";
/// Connections that send without end.
const CONNECTIONS: usize = 24;
/// Time within which each of them has to end: the limit of a part of a body, the time in which the rest of a refused body
/// is discarded, and a margin.
const END_LIMIT: Duration = Duration::from_secs(16);
/// Most bytes that the daemon's memory may grow by.
const GROWTH_LIMIT: u64 = 24 << 20;
/// Pause between two bytes of a slow sender.
const BYTE_PAUSE: Duration = Duration::from_millis(1);

/// What a sender repeats after its beginning.
struct EndlessBytes {
    beginning: String,
    repeated: Vec<u8>,
    pause: Option<Duration>,
}

fn head(path: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {DRIVERS_KEY}\r\n\
         {}: 5000\r\n{more}",
        WIRE_PROFILE.time_left
    )
}

impl EndlessBytes {
    fn of(form: &str, path: &str) -> EndlessBytes {
        let chunked = head(path, "transfer-encoding: chunked\r\n\r\n");
        let lines = b"x-line: 0123456789\r\n".repeat(400);
        let fast = |beginning: String, repeated: Vec<u8>| EndlessBytes {
            beginning,
            repeated,
            pause: None,
        };
        let slow = |beginning: String, byte: &[u8]| EndlessBytes {
            beginning,
            repeated: byte.to_vec(),
            pause: Some(BYTE_PAUSE),
        };
        match form {
            "request line" => fast("POST /".to_string(), vec![b'a'; 8 << 10]),
            "header lines" => fast(head(path, ""), lines),
            "header value" => fast(head(path, "x: "), vec![b'a'; 8 << 10]),
            "blank lines" => fast(String::new(), b"\r\n".repeat(4 << 10)),
            "head byte by byte" => slow(head(path, "x: "), b"a"),
            "chunk extension" => fast(chunked + "1;", vec![b'a'; 8 << 10]),
            "chunk extension byte by byte" => slow(chunked + "1;", b"a"),
            "zeros before a chunk size" => fast(chunked, vec![b'0'; 8 << 10]),
            "trailers" => fast(chunked + "0\r\n", lines),
            "body in chunks" => fast(
                chunked,
                b"400\r\n".iter().copied().chain([b'x'; 1024]).chain(*b"\r\n").collect(),
            ),
            "body of a huge length" => {
                fast(head(path, "content-length: 99999999999\r\n\r\n"), vec![b'x'; 8 << 10])
            }
            _ => slow(chunked, b"1\r\nx\r\n"),
        }
    }

    /// Sends until the connection ends; returns after what time and how many bytes, `None` if it did not end in time.
    async fn send(&self, address: &str) -> Result<Option<(Duration, usize)>> {
        let begun = Instant::now();
        let (mut reader, mut writer) = match TcpStream::connect(address).await {
            Ok(stream) => stream.into_split(),
            // A daemon that cannot read a connection in time closes it.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                return Ok(Some((begun.elapsed(), 0)));
            }
            Err(error) => return Err(error.into()),
        };
        // An answer is read, so that it does not keep the connection open.
        let reading = actix_rt::spawn(async move {
            let mut buffer = [0u8; 4096];
            while let Ok(1..) = reader.read(&mut buffer).await {}
        });
        let mut sent = 0;
        let sending = async {
            let mut written = writer.write_all(self.beginning.as_bytes()).await;
            while written.is_ok() {
                if let Some(pause) = self.pause {
                    tokio::time::sleep(pause).await;
                }
                written = writer.write_all(&self.repeated).await;
                sent += self.repeated.len();
            }
        };
        let ended = tokio::time::timeout(END_LIMIT, sending).await.is_ok();
        reading.abort();
        Ok(ended.then(|| (begun.elapsed(), sent)))
    }
}

async fn ready(name: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.config.limits.max_body_bytes = Some(1_000_000);
    fleet.store_config()?;
    fleet.engine("records", 0, Duration::from_millis(10)).await?;
    fleet.vm_settings = "memory_limit = 112MB\n".to_string();
    fleet.daemons(1, "").await?;
    let daemon = &fleet.daemons[0];
    wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() }).await?;
    wait_until("served", || async {
        call(&daemon.callers, RECORD, "warm").await.is_ok_and(|result| result.status == 200)
    })
    .await?;
    Ok(fleet)
}

async fn resident_bytes(operators: &str) -> Result<u64> {
    let metrics = get_text(operators, "/metrics").await?;
    let line = metrics.lines().find(|line| line.starts_with("curlewcleat_resident_bytes "));
    Ok(line.and_then(|line| line.rsplit(' ').next()).context("a gauge")?.parse::<f64>()? as u64)
}

/// Peak of the daemon's memory, the longest time of a sound request, and how many of them failed.
async fn observe(fleet: &FleetDeployment, duration: Duration) -> Result<(u64, Duration, usize)> {
    let daemon = &fleet.daemons[0];
    let (begun, mut resident, mut longest, mut failed) = (Instant::now(), 0, Duration::ZERO, 0);
    for number in 0.. {
        if begun.elapsed() >= duration {
            break;
        }
        let sent = Instant::now();
        let result = call(&daemon.callers, RECORD, &format!("sound-{number}")).await;
        failed += usize::from(!result.is_ok_and(|result| result.status == 200));
        longest = longest.max(sent.elapsed());
        resident = resident.max(resident_bytes(&daemon.operators).await?);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok((resident, longest, failed))
}

/// What one play showed.
struct Play {
    /// After what time and how many bytes connections ended.
    ended: Vec<(Duration, usize)>,
    /// Bytes by which the daemon's memory grew.
    growth: u64,
    /// Sound requests that failed.
    failed: usize,
}

async fn play(form: &str, is_caller: bool) -> Result<Play> {
    let fleet = ready("endless-callers").await?;
    let daemon = &fleet.daemons[0];
    let before = resident_bytes(&daemon.operators).await?;
    let address = if is_caller { &daemon.callers } else { &daemon.operators };
    let path = if is_caller { RECORD } else { "/healthz" };
    let bytes = EndlessBytes::of(form, path);
    let senders = join_all((0..CONNECTIONS).map(|_| bytes.send(address)));
    let (ends, observed) = tokio::join!(senders, observe(&fleet, END_LIMIT));
    let (resident, longest, failed) = observed?;
    let ended: Vec<(Duration, usize)> =
        ends.into_iter().collect::<Result<Vec<_>>>()?.into_iter().flatten().collect();
    let last = ended.iter().map(|(after, _)| *after).max();
    let most = ended.iter().map(|(_, sent)| sent >> 10).max();
    let growth = resident.saturating_sub(before);
    println!(
        "{form}, caller {is_caller}: {} of {CONNECTIONS} ended, last {last:?}, most {most:?} kB, \
         memory +{} kB, sound request at most {longest:?}, {failed} failed",
        ended.len(),
        growth >> 10
    );
    Ok(Play { ended, growth, failed })
}

/// Guards against connections that the daemon reads for as long as they send, and with them against a daemon that serves
/// nobody else.
#[rstest]
#[actix_rt::test]
async fn sender_without_an_end_is_ended_in_bounded_memory(
    #[values(true, false)] is_caller: bool,
    #[values(
        "request line",
        "header lines",
        "header value",
        "blank lines",
        "head byte by byte",
        "chunk extension",
        "zeros before a chunk size",
        "trailers",
        "body in chunks",
        "body of a huge length"
    )]
    form: &str,
) -> Result<()> {
    let Play { ended, growth, failed } = play(form, is_caller).await?;
    assert!(growth <= GROWTH_LIMIT, "memory grew by {growth} bytes");
    assert_eq!(failed, 0, "sound requests failed");
    assert_eq!(ended.len(), CONNECTIONS, "connections did not end");
    Ok(())
}

/// A slow sender may keep its connection, but no more.
#[rstest]
#[actix_rt::test]
async fn sender_of_single_bytes_costs_a_connection_only(
    #[values(true, false)] is_caller: bool,
    #[values("chunk extension byte by byte", "body byte by byte")] form: &str,
) -> Result<()> {
    let Play { growth, failed, .. } = play(form, is_caller).await?;
    assert!(growth <= GROWTH_LIMIT, "memory grew by {growth} bytes");
    assert_eq!(failed, 0, "sound requests failed");
    Ok(())
}
