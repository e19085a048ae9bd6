//! Answers that stop at any byte, and answers whose head contradicts itself.
//!
//! Guards against an answer that is taken for a complete one although its target stopped in its head or its body, or
//! although its head announced more than was read.

mod support;

use actix_http::Method;
use curlewcleat_targets::BodyFrame;
use proptest::prelude::*;
use rstest::rstest;

use support::{exchange, split, Outcome, TargetEnd};

const BODY: &str = "id: 1\ndata: first\n\nid: 2\ndata: second\n\n";
const MARK: &str = "x-attempt-id: own\r\n";
const ENDS: [TargetEnd; 2] = [TargetEnd::Close, TargetEnd::Reset];

/// How the end of the body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Marking {
    Length,
    Chunks,
    Close,
    OldVersion,
    OldVersionWithLength,
    NoContent,
    NotModified,
    EmptyBody,
}

const MARKINGS: [Marking; 8] = [
    Marking::Length,
    Marking::Chunks,
    Marking::Close,
    Marking::OldVersion,
    Marking::OldVersionWithLength,
    Marking::NoContent,
    Marking::NotModified,
    Marking::EmptyBody,
];

impl Marking {
    fn ends_with_connection(self) -> bool {
        matches!(self, Marking::Close | Marking::OldVersion)
    }

    /// Returns the head without its first answers, and the encoded body.
    fn answer(self, extra: &str, chunk: usize) -> (String, String) {
        let length = BODY.len();
        let (line, body) = match self {
            Marking::Length => {
                (format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n"), BODY.to_string())
            }
            Marking::Chunks => {
                ("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n".to_string(), chunks(chunk))
            }
            Marking::Close => ("HTTP/1.1 200 OK\r\n".to_string(), BODY.to_string()),
            Marking::OldVersion => ("HTTP/1.0 200 OK\r\n".to_string(), BODY.to_string()),
            Marking::OldVersionWithLength => {
                (format!("HTTP/1.0 200 OK\r\nContent-Length: {length}\r\n"), BODY.to_string())
            }
            Marking::NoContent => ("HTTP/1.1 204 No Content\r\n".to_string(), String::new()),
            Marking::NotModified => (
                format!("HTTP/1.1 304 Not Modified\r\nContent-Length: {length}\r\n"),
                String::new(),
            ),
            Marking::EmptyBody => {
                ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n".to_string(), String::new())
            }
        };
        (format!("{line}{MARK}{extra}\r\n"), body)
    }

    /// Returns the body that a complete answer has.
    fn whole(self) -> &'static str {
        match self {
            Marking::NoContent | Marking::NotModified | Marking::EmptyBody => "",
            _ => BODY,
        }
    }
}

/// Encodes the body in chunks of this size.
fn chunks(size: usize) -> String {
    let parts = BODY.as_bytes().chunks(size.max(1)).map(|part| {
        let text = std::str::from_utf8(part).expect("the body is ASCII");
        format!("{:X};part=1\r\n{text}\r\n", part.len())
    });
    parts.collect::<String>() + "0\r\n\r\n"
}

/// Answers that may precede the one to the request.
const BEFORE: [&str; 6] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nx-attempt-id: other\r\n\r\n",
];
const EXTRA: [&str; 3] =
    ["", "Connection: close\r\n", "Keep-Alive: timeout=10\r\nx-long: aaaaaaaaaa\r\n"];
const AFTER: [&str; 3] =
    ["", "unsolicited", "HTTP/1.1 200 OK\r\nx-attempt-id: own\r\nContent-Length: 3\r\n\r\nbad"];

/// One answer and the position at which its target stops.
#[derive(Clone, Debug)]
struct CutCase {
    marking: Marking,
    before: usize,
    extra: usize,
    after: usize,
    chunk: usize,
    end: TargetEnd,
    reads: Vec<usize>,
}

impl CutCase {
    /// Returns all bytes, where the head ends, and where the answer is complete.
    fn bytes(&self) -> (Vec<u8>, usize, usize) {
        let (head, body) = self.marking.answer(EXTRA[self.extra], self.chunk);
        let head_end = BEFORE[self.before].len() + head.len();
        let complete = head_end + body.len();
        // Nothing can follow an answer that ends with its connection.
        let after = if self.marking.ends_with_connection() { "" } else { AFTER[self.after] };
        let text = format!("{}{head}{body}{after}", BEFORE[self.before]);
        (text.into_bytes(), head_end, complete)
    }

    async fn check(&self, cut: usize) {
        let (bytes, head_end, complete) = self.bytes();
        let parts = split(&bytes[..cut], &self.reads);
        let outcome = exchange(Method::POST, parts, self.end, true).await;
        let context = format!("{self:?} cut at {cut} of {}: {outcome:?}", bytes.len());
        let whole = self.marking.whole().as_bytes();
        if cut < head_end {
            assert!(matches!(outcome, Outcome::Failed(_)), "{context}");
        } else if self.marking.ends_with_connection() {
            let sent = &bytes[head_end..cut];
            match outcome {
                Outcome::Ended { frame, body, .. } => {
                    assert_eq!(
                        (frame, self.end),
                        (BodyFrame::UntilClose, TargetEnd::Close),
                        "{context}"
                    );
                    assert_eq!(body, sent, "{context}");
                }
                Outcome::Cut { body, .. } => {
                    assert_eq!(self.end, TargetEnd::Reset, "{context}");
                    assert!(sent.starts_with(&body), "{context}");
                }
                Outcome::Failed(_) => panic!("{context}"),
            }
        } else if cut < complete {
            let Outcome::Cut { body, .. } = &outcome else { panic!("{context}") };
            assert!(whole.starts_with(body), "{context}");
        } else {
            assert_eq!(outcome.claimed_body(), Some(whole), "{context}");
        }
    }
}

fn cut_cases() -> impl Strategy<Value = CutCase> {
    let end = prop::sample::select(&ENDS[..]);
    let reads = prop::collection::vec(1usize..40, 1..5);
    let marking = prop::sample::select(&MARKINGS[..]);
    (marking, 0..BEFORE.len(), 0..EXTRA.len(), 0..AFTER.len(), 1usize..40, end, reads).prop_map(
        |(marking, before, extra, after, chunk, end, reads)| CutCase {
            marking,
            before,
            extra,
            after,
            chunk,
            end,
            reads,
        },
    )
}

/// Runs a future of a test that is not asynchronous itself.
fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

#[test]
fn answer_that_stops_at_any_byte_is_never_complete() {
    let config = ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() };
    proptest!(config, |(case in cut_cases())| {
        block_on(async {
            for cut in 0..=case.bytes().0.len() {
                case.check(cut).await;
            }
        });
    });
}

/// Guards against a head whose framing headers contradict each other, with which an answer was complete that had lost
/// its body.
#[rstest]
#[case::identity("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nM\r\n\r\nhello")]
#[case::identity_and_length(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 5\r\nM\r\n\r\nhello"
)]
#[case::offered_upgrade(
    "HTTP/1.1 200 OK\r\nUpgrade: websocket\r\nContent-Length: 5\r\nM\r\n\r\nhello"
)]
#[case::chunks_of_an_old_version(
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nM\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)]
#[case::chunks_and_length_of_an_old_version(
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 15\r\nM\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)]
#[case::chunks_and_length(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\nM\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)]
#[case::length_and_chunks(
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\nM\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)]
#[case::other_coding(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\nM\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)]
#[case::switched_protocol(
    "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nM\r\n\r\nhello"
)]
#[case::informational_answer_with_a_length(
    "HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nM\r\n\r\nhello"
)]
#[case::informational_answer_with_chunks(
    "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nM\r\n\r\nhello"
)]
#[case::informational_answer_of_an_old_version(
    "HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nM\r\n\r\nhello"
)]
#[case::earlier_answer_without_content_but_a_length(
    "HTTP/1.1 204 None\r\nContent-Length: 5\r\nx-attempt-id: other\r\n\r\n\
     HTTP/1.1 200 OK\r\nContent-Length: 5\r\nM\r\n\r\nhello"
)]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\nM\r\n\r\nhello")]
#[case::list_of_lengths("HTTP/1.1 200 OK\r\nContent-Length: 5, 3\r\nM\r\n\r\nhello")]
#[case::negative_length("HTTP/1.1 200 OK\r\nContent-Length: -5\r\nM\r\n\r\nhello")]
#[case::huge_length("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551617\r\nM\r\n\r\nhello")]
#[case::empty_length("HTTP/1.1 200 OK\r\nContent-Length: \r\nM\r\n\r\nhello")]
#[case::huge_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nM\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n"
)]
#[case::low_status("HTTP/1.1 99 Low\r\nContent-Length: 5\r\nM\r\n\r\nhello")]
#[case::high_status("HTTP/1.1 1000 High\r\nContent-Length: 5\r\nM\r\n\r\nhello")]
#[case::no_colon("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 5\r\nM\r\n\r\nhello")]
#[case::line_feeds("HTTP/1.1 200 OK\nContent-Length: 5\nM\n\nhello")]
#[case::nul("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nx-nul: a\0b\r\nM\r\n\r\nhello")]
fn odd_head_never_completes_a_body_that_is_not_whole(
    #[case] text: &str,
    #[values(&[1], &[7, 1, 30], &[4096])] reads: &[usize],
    #[values(true, false)] allow_close_delimited: bool,
) {
    // Only a head without a length and without chunks lets the end of the connection be the end of the answer.
    let has_end = ["Content-Length", "chunked"].iter().any(|mark| text.contains(mark));
    let text = text.replace("\nM", &format!("\n{}", MARK.trim_end()));
    for (cut, end) in (0..=text.len()).flat_map(|cut| ENDS.map(|end| (cut, end))) {
        let parts = split(&text.as_bytes()[..cut], reads);
        let outcome = block_on(exchange(Method::POST, parts, end, allow_close_delimited));
        let is_true = match &outcome {
            Outcome::Ended { frame: BodyFrame::UntilClose, body, .. } if !has_end => {
                end == TargetEnd::Close && b"hello".starts_with(body)
            }
            Outcome::Ended { body, .. } => body == b"hello",
            Outcome::Cut { .. } | Outcome::Failed(_) => true,
        };
        assert!(is_true, "{end:?} at {cut} of {text:?}: {outcome:?}");
    }
}

/// Guards against a length that contradicts the chunks and is passed on, so that the caller's answer is cut to it.
#[actix_rt::test]
async fn length_beside_chunks_is_not_passed_on() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\nx-attempt-id: own\r\n\r\n\
                5\r\nhello\r\n0\r\n\r\n";
    let parts = split(text.as_bytes(), &[4096]);
    let outcome = exchange(Method::POST, parts, TargetEnd::Close, false).await;
    let Outcome::Ended { frame, body, length, .. } = outcome else { panic!("{outcome:?}") };
    assert_eq!((frame, body.as_slice(), length), (BodyFrame::Chunks, "hello".as_bytes(), None));
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nx-attempt-id: own\r\n\r\n")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nx-attempt-id: own\r\n\r\n")]
#[actix_rt::test]
async fn answer_to_a_head_request_has_no_body(#[case] text: &str) {
    for cut in 0..=text.len() {
        let parts = split(&text.as_bytes()[..cut], &[3]);
        let outcome = exchange(Method::HEAD, parts, TargetEnd::Close, true).await;
        match cut == text.len() {
            true => assert_eq!(outcome.claimed_body(), Some(&b""[..]), "{outcome:?}"),
            false => assert!(matches!(outcome, Outcome::Failed(_)), "{outcome:?}"),
        }
    }
}
