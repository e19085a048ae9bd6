//! Targets that send without end what is no answer, or what of an answer cannot be delivered.
//!
//! Guards against answers that are kept, or read, for as long as their target sends.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use curlewcleat_targets::{
    AnswerIntake, BodyFrame, ConnectionPool, Error, ExcessForm, ExcessLimit, ExchangeOptions,
};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(20);
const ECHO: HeaderName = HeaderName::from_static("x-attempt");
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt: a\r\n";
const CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n";
/// Bytes that a target sends at most, so that a test ends where nothing ends the answer.
const SENT_AT_MOST: usize = 64 << 20;

/// Records the undelivered bytes, and refuses those beyond `limit`.
#[derive(Default)]
struct RecordedIntake {
    limit: Option<u64>,
    held: Cell<u64>,
    most: Cell<u64>,
    by_target: RefCell<BTreeMap<String, u64>>,
}

impl AnswerIntake for RecordedIntake {
    fn resize(&self, address: &str, before: u64, held: u64) -> Result<(), ExcessLimit> {
        if held > before && self.limit.is_some_and(|limit| held > limit) {
            return Err(ExcessLimit::Share);
        }
        self.held.set(self.held.get() + held - before);
        self.most.set(self.most.get().max(self.held.get()));
        *self.by_target.borrow_mut().entry(address.to_string()).or_default() += held;
        Ok(())
    }
}

/// Starts a target that answers with `beginning`, and then with `repeated` until its caller closes. Returns its address.
async fn target(beginning: String, repeated: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    actix_rt::spawn(async move {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let mut request = [0u8; 4096];
        let _ = stream.read(&mut request).await;
        let mut written = stream.write_all(beginning.as_bytes()).await;
        let mut sent = 0;
        while written.is_ok() && !repeated.is_empty() && sent < SENT_AT_MOST {
            sent += repeated.len();
            written = stream.write_all(&repeated).await;
        }
    });
    address
}

/// What an exchange with such a target came to.
#[derive(Debug)]
struct Ending {
    form: Option<ExcessForm>,
    /// Bytes of the body.
    delivered: usize,
    /// Most undelivered bytes at one time.
    most: u64,
    held: u64,
}

async fn exchange(address: &str, limit: Option<u64>) -> Ending {
    let intake = Rc::new(RecordedIntake { limit, ..RecordedIntake::default() });
    let pool = ConnectionPool::default().with_intake(Some(Rc::clone(&intake) as _));
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static("/x");
    head.headers.insert(ECHO, HeaderValue::from_static("a"));
    let options = ExchangeOptions { echo: Some((ECHO, "a".to_string())), ..Default::default() };
    let connection = pool.connect(address, LIMIT).await.expect("a connection");
    let (mut form, mut delivered) = (None, 0);
    match connection.exchange_with(head, "body", &options).await {
        Err(Error::Excess(excess)) => form = Some(excess.form),
        Err(_) => {}
        Ok(mut answer) => {
            assert_ne!(answer.body.frame(), BodyFrame::Empty);
            while let Some(Ok(part)) = answer.body.next().await {
                delivered += part.len();
            }
            form = answer.body.excess().map(|excess| excess.form);
        }
    }
    Ending { form, delivered, most: intake.most.get(), held: intake.held.get() }
}

/// Guards against heads that are read for as long as their target sends.
#[rstest]
#[case::one_line("HTTP/1.1 200 OK\r\nx: ", b"aaaaaaaa")]
#[case::blank_lines("", b"\r\n\r\n\r\n\r\n")]
#[case::one_status_line("HTTP/1.1 200 ", b"OKOKOKOK")]
#[actix_rt::test]
async fn head_without_end_is_ended(#[case] beginning: &str, #[case] repeated: &[u8]) {
    let address = target(beginning.to_string(), repeated.repeat(1_000)).await;
    let ending = tokio::time::timeout(LIMIT, exchange(&address, None)).await.expect("an end");
    assert_eq!(ending.form, Some(ExcessForm::Head), "{ending:?}");
    assert!(ending.most <= 256 << 10 && ending.held == 0, "{ending:?}");
}

/// Guards against heads that use memory which the budget does not allow.
#[actix_rt::test]
async fn head_is_ended_where_no_memory_is_left_for_it() {
    let address = target("HTTP/1.1 200 OK\r\nx: ".to_string(), vec![b'a'; 512]).await;
    let ending = exchange(&address, Some(16 << 10)).await;
    assert_eq!(ending.form, Some(ExcessForm::Head), "{ending:?}");
    assert!(ending.most <= 16 << 10 && ending.held == 0, "{ending:?}");
}

/// Guards against bodies whose encoding is read for as long as their target sends, though none of it is an answer.
#[rstest]
#[case::extension("5;x=", b"aaaaaaaa")]
#[case::zeros_before_a_size("", b"00000000")]
#[case::extensions_of_small_chunks("", b"1;x=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nb\r\n")]
#[case::trailers("0\r\n", b"x: aaaaaaaa\r\n")]
#[actix_rt::test]
async fn encoding_without_end_is_ended(#[case] beginning: &str, #[case] repeated: &[u8]) {
    let address = target(format!("{HEAD}{CHUNKS}{beginning}"), repeated.repeat(100)).await;
    let started = Instant::now();
    let ending = tokio::time::timeout(LIMIT, exchange(&address, None)).await.expect("an end");
    // The codec refuses some of them by itself.
    assert!(ending.delivered < 64 << 10, "{ending:?}");
    assert!(started.elapsed() < Duration::from_secs(2), "{:?} {ending:?}", started.elapsed());
}

/// Guards against bodies that are taken for excessive because their chunks are as small as can be.
#[actix_rt::test]
async fn body_in_chunks_of_one_byte_arrives() {
    let chunks = "1\r\na\r\n".repeat(100_000) + "0\r\n\r\n";
    let address = target(format!("{HEAD}{CHUNKS}{chunks}"), Vec::new()).await;
    let ending = tokio::time::timeout(LIMIT, exchange(&address, None)).await.expect("an end");
    assert_eq!((ending.form, ending.delivered), (None, 100_000));
}

/// Guards against a head that is parsed as often as it has bytes: the loop of the daemon stands still meanwhile.
#[actix_rt::test]
async fn head_that_arrives_byte_by_byte_takes_little_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let head = format!("{HEAD}{}content-length: 2\r\n\r\nok", "y: z\r\n".repeat(90));
    actix_rt::spawn(async move {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let _ = stream.set_nodelay(true);
        let mut request = [0u8; 4096];
        let _ = stream.read(&mut request).await;
        for byte in head.as_bytes() {
            let _ = stream.write_all(&[*byte]).await;
            tokio::task::yield_now().await;
        }
    });
    let ending = tokio::time::timeout(LIMIT, exchange(&address, None)).await.expect("an end");
    assert_eq!((ending.form, ending.delivered), (None, 2));
}

/// Guards against long heads that are kept as long as their answers and counted by nobody.
#[actix_rt::test]
async fn complete_head_is_counted_as_long_as_its_answer() {
    let beginning = format!("{HEAD}x: {}\r\n{CHUNKS}", "a".repeat(100 << 10));
    let address = target(beginning, Vec::new()).await;
    let intake = Rc::new(RecordedIntake::default());
    let pool = ConnectionPool::default().with_intake(Some(Rc::clone(&intake) as _));
    let mut head = RequestHead::default();
    head.uri = Uri::from_static("/x");
    let connection = pool.connect(&address, LIMIT).await.expect("a connection");
    let answer = connection.exchange(head, ()).await.expect("an answer");
    assert!(intake.held.get() >= 100 << 10, "{} bytes", intake.held.get());
    drop(answer);
    assert_eq!(intake.held.get(), 0);
}
