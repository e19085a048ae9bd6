//! Event streams of any form, in parts of any size.
//!
//! Guards against bytes that are lost or sent twice at the border of two parts, and against an event whose end is missed.

use std::time::{Duration, Instant};

use curlewcleat_targets::EventSplitter;
use proptest::prelude::*;

const LINE_ENDS: [&str; 3] = ["\n", "\r", "\r\n"];
/// Fields of an event besides its number.
const LINES: [&str; 6] = ["data: a", ": comment", "data", "id:x7", "event: \u{e9}", "retry: 5"];
/// Size in bytes of an event that is too long to be buffered.
const LONG_EVENT: usize = 3 << 20;
/// Far more than the time of a search that reads each byte once, far less than that of one that starts again.
const TIME_LIMIT: Duration = Duration::from_secs(60);

/// An event, and how the stream goes on.
#[derive(Clone, Debug)]
struct AnyEvent {
    lines: Vec<&'static str>,
    /// Whether it has a number, which is higher than that of the event before.
    has_number: bool,
    line_end: &'static str,
}

fn events() -> impl Strategy<Value = Vec<AnyEvent>> {
    let lines = prop::collection::vec(prop::sample::select(&LINES[..]), 1..4);
    let line_end = prop::sample::select(&LINE_ENDS[..]);
    let event = (lines, any::<bool>(), line_end)
        .prop_map(|(lines, has_number, line_end)| AnyEvent { lines, has_number, line_end });
    prop::collection::vec(event, 0..6)
}

/// Returns the bytes of a stream and the number of its last numbered event.
fn stream(events: &[AnyEvent], has_mark: bool) -> (String, Option<u64>) {
    let mut text = if has_mark { "\u{feff}".to_string() } else { String::new() };
    let mut last = None;
    for (event, number) in events.iter().zip(1..) {
        for line in &event.lines {
            text.push_str(&format!("{line}{}", event.line_end));
        }
        if event.has_number {
            text.push_str(&format!("id: {number}{}", event.line_end));
            last = Some(number);
        }
        text.push_str(event.line_end);
    }
    (text, last)
}

/// Returns whether no data without a number follows on the last number.
fn is_numbered_to_the_end(events: &[AnyEvent]) -> bool {
    let after = events.iter().rev().take_while(|event| !event.has_number);
    after.flat_map(|event| &event.lines).all(|line| !line.starts_with("data"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn stream_in_any_parts_is_returned_whole_and_in_order(
        events in events(),
        has_mark in any::<bool>(),
        rest in prop::sample::select(&["", "da", "data: x\n", "id: 99\r"][..]),
        lengths in prop::collection::vec(1usize..30, 1..8),
    ) {
        let (whole, last) = stream(&events, has_mark && !events.is_empty());
        let text = format!("{whole}{rest}");
        let mut splitter = EventSplitter::default();
        let mut returned = Vec::new();
        let mut bytes = text.as_bytes();
        for length in lengths.iter().cycle() {
            if bytes.is_empty() {
                break;
            }
            let (part, others) = bytes.split_at((*length).min(bytes.len()));
            returned.extend_from_slice(&splitter.push(part));
            bytes = others;
        }
        prop_assert_eq!(splitter.last(), last);
        prop_assert_eq!(splitter.is_between_events(), rest.is_empty());
        prop_assert_eq!(splitter.is_resumable(), is_numbered_to_the_end(&events));
        // A line feed may arrive after the carriage return that has ended the last event.
        let only_whole = returned == whole.as_bytes() || returned == whole.trim_end_matches('\n').as_bytes();
        prop_assert!(only_whole, "{:?} of {:?}", String::from_utf8_lossy(&returned), whole);
        returned.extend_from_slice(&splitter.take_remaining());
        prop_assert_eq!(String::from_utf8_lossy(&returned), text);
    }

    #[test]
    fn any_bytes_are_returned_once_and_in_order(
        bytes in prop::collection::vec(prop::sample::select(&b"\r\n\xef\xbb\xbfid: 0a"[..]), 0..60),
        length in 1usize..9,
    ) {
        let mut splitter = EventSplitter::default();
        let mut returned = Vec::new();
        for part in bytes.chunks(length) {
            returned.extend_from_slice(&splitter.push(part));
        }
        returned.extend_from_slice(&splitter.take_remaining());
        // Events whose number does not increase are left out.
        let mut rest = bytes.iter();
        prop_assert!(returned.iter().all(|byte| rest.any(|other| other == byte)));
        if !bytes.windows(3).any(|window| window == b"id:") {
            prop_assert_eq!(returned, bytes);
        }
    }
}

/// A search that starts again with each part takes a time that grows with the square of an event's length.
#[test]
fn long_event_in_single_bytes_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let begun = Instant::now();
    let mut returned = 0;
    for _ in 0..LONG_EVENT {
        returned += splitter.push(b"x").len();
    }
    assert!(!splitter.is_between_events() && !splitter.is_resumable());
    let end = b"\n\nid: 4\n\n";
    returned += splitter.push(end).len();
    assert_eq!((returned, splitter.last()), (LONG_EVENT + end.len(), Some(4)));
    assert!(splitter.is_between_events());
    assert!(begun.elapsed() < TIME_LIMIT, "{:?}", begun.elapsed());
}
