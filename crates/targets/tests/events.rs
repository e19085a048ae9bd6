//! Splitting of event streams that arrive in arbitrary parts, are interrupted and are resumed.

use std::time::{Duration, Instant};

use curlewcleat_targets::EventSplitter;
use proptest::prelude::*;
use rstest::rstest;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

fn stream(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

#[test]
fn incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), "");
    assert_eq!(splitter.push(b"\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last(), Some(1));
    assert_eq!(splitter.take_remaining(), "id: 2\nda");
}

#[test]
fn resumed_stream_does_not_repeat_events() {
    let mut splitter = EventSplitter::default();
    splitter.push(stream(1, 3).as_bytes());
    splitter.push(b"id: 4\nda");
    splitter.discard_incomplete();
    assert_eq!(splitter.push(stream(2, 5).as_bytes()), stream(4, 5));
}

#[test]
fn carriage_returns_and_unnumbered_events_are_accepted() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\r\ndata: a\r\n\r\n"), "id: 1\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.push(b": comment\n\n"), ": comment\n\n");
    assert_eq!(splitter.last(), Some(1));
}

/// Guards against streams whose lines end with a carriage return alone, in which no event is found: all of the stream is
/// held until its end, and none of it can be resumed.
#[rstest]
#[case::line_feed("\n")]
#[case::carriage_return("\r")]
#[case::both("\r\n")]
fn events_arrive_one_by_one_with_each_line_end(#[case] end: &str) {
    let event = |number: u64| format!("id: {number}{end}data: a{end}{end}");
    let mut splitter = EventSplitter::default();
    for number in 1..=3 {
        let bytes = event(number);
        let (beginning, rest) = bytes.split_at(bytes.len() - end.len());
        let mut out = splitter.push(beginning.as_bytes()).to_vec();
        assert_eq!(splitter.last(), (number > 1).then_some(number - 1));
        out.extend_from_slice(&splitter.push(rest.as_bytes()));
        assert_eq!((out, splitter.last()), (bytes.into_bytes(), Some(number)));
    }
}

#[rstest]
#[case::byte_order_mark("\u{feff}id: 7\ndata: a\n\n", Some(7))]
#[case::not_a_number("id: seven\ndata: a\n\n", None)]
#[case::last_of_several("id: 1\ndata: a\nid: 7\n\n", Some(7))]
#[case::comment(": id: 7\n\n", None)]
fn number_of_an_event_is_its_id(#[case] event: &str, #[case] number: Option<u64>) {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(event.as_bytes()), event);
    assert_eq!(splitter.last(), number);
}

#[test]
fn number_is_found_beside_bytes_that_are_no_text() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: \xff\n\n");
    assert_eq!(splitter.last(), Some(7));
}

/// Guards against streams that go on behind an event of which the caller has a part: the event came again, whole.
#[test]
fn stream_with_an_event_that_is_too_long_is_not_resumed() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.is_resumable());
    let mut returned = splitter.push(b"id: 1\ndata: ").len();
    for _ in 0..30 {
        returned += splitter.push(&[b'a'; 50_000]).len();
        assert_eq!(splitter.is_resumable(), returned == 0);
        assert!(!splitter.is_between_events());
    }
    assert!(returned > 1 << 20, "a long event is not held");
    returned += splitter.push(b"\n").len();
    assert!(!splitter.is_between_events(), "its blank line is missing");
    returned += splitter.push(b"\n").len();
    assert!(splitter.is_between_events() && !splitter.is_resumable());
    assert_eq!(returned, 30 * 50_000 + 14);
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

/// Guards against streams that go on behind data without a number: it came again.
#[test]
fn stream_is_not_resumed_behind_data_without_a_number() {
    let mut splitter = EventSplitter::default();
    for (event, is_resumable) in [
        ("data: a\n\n", false),
        ("id: 1\ndata: b\n\n", true),
        (": comment\n\n", true),
        ("event: c\ndata\n\n", false),
        ("id: seven\ndata: d\n\n", false),
        ("id: 2\ndata: e\n\n", true),
    ] {
        assert_eq!(splitter.push(event.as_bytes()), event);
        assert_eq!(splitter.is_resumable(), is_resumable, "{event:?}");
    }
}

/// Guards against a stream that its caller takes up and gets from its beginning.
#[test]
fn events_that_a_caller_has_are_left_out_where_it_takes_up_its_stream() {
    let mut splitter = EventSplitter::after(Some(3));
    assert_eq!(splitter.last(), Some(3));
    assert_eq!(splitter.push(stream(1, 5).as_bytes()), stream(4, 5));
    assert_eq!(splitter.last(), Some(5));
}

/// Guards against a continuation that leaves out events. Numbers that did not rise by one before prove nothing.
#[rstest]
#[case::by_one(&[1, 2, 3], 5, true)]
#[case::the_next(&[1, 2, 3], 4, false)]
#[case::by_seven(&[7, 14, 21], 35, false)]
#[case::by_one_and_two(&[1, 2, 3, 5, 6], 8, false)]
#[case::too_few_to_tell(&[1, 2], 4, false)]
fn continuation_that_leaves_out_events_is_misplaced(
    #[case] before: &[u64],
    #[case] first: u64,
    #[case] is_misplaced: bool,
) {
    let mut splitter = EventSplitter::default();
    before.iter().for_each(|number| drop(splitter.push(event(*number).as_bytes())));
    let last = splitter.last();
    splitter.discard_incomplete();
    let continued = splitter.push((event(first) + &event(first + 1)).as_bytes());
    assert_eq!((splitter.is_misplaced(), continued.is_empty()), (is_misplaced, is_misplaced));
    if is_misplaced {
        assert_eq!(splitter.last(), last);
        splitter.discard_incomplete();
        let next = event(before.len() as u64 + 1);
        assert_eq!(splitter.push(next.as_bytes()), next);
    }
}

/// Guards against data without a number that is sent twice by a target that begins before the last event.
#[test]
fn data_without_a_number_is_left_out_among_repeated_events() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\n\ndata: a\n\nid: 2\n\nid: 3\n\n");
    splitter.discard_incomplete();
    let continued = splitter.push(b"id: 1\n\ndata: a\n\nid: 2\n\nid: 3\n\nid: 4\n\ndata: b\n\n");
    assert_eq!(continued, "id: 4\n\ndata: b\n\n");
    let join = splitter.take_join().expect("a join");
    assert_eq!((join.after, join.first, join.repeated), (3, 4, 3));
}

/// Guards against a search that begins anew with each part, whose time grows with the square of the size of an event.
#[test]
fn time_for_an_event_grows_with_its_size() {
    let mut splitter = EventSplitter::default();
    let started = Instant::now();
    splitter.push(b"id: 1\ndata: ");
    for _ in 0..1_000_000 {
        splitter.push(b"a");
    }
    splitter.push(b"\n\n");
    assert_eq!(splitter.last(), Some(1));
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

proptest! {
    #[test]
    fn stream_in_arbitrary_parts_is_returned_completely(
        events in 1u64..12,
        cuts in prop::collection::vec(0usize..400, 0..8),
    ) {
        let whole = stream(1, events);
        let mut part_ends: Vec<usize> = cuts.into_iter().map(|cut| cut.min(whole.len())).collect();
        part_ends.sort_unstable();
        part_ends.push(whole.len());
        let mut splitter = EventSplitter::default();
        let mut out = String::new();
        let mut begin = 0;
        for part_end in part_ends {
            let part = splitter.push(&whole.as_bytes()[begin..part_end]);
            prop_assert!(part.is_empty() || part.ends_with(b"\n\n"));
            out.push_str(std::str::from_utf8(&part).expect("text"));
            begin = part_end;
        }
        prop_assert_eq!(out, whole);
        prop_assert!(splitter.take_remaining().is_empty());
    }

    #[test]
    fn resumed_stream_loses_and_repeats_nothing(
        events in 2u64..12,
        cut in 0usize..400,
    ) {
        let whole = stream(1, events);
        let cut = cut.min(whole.len());
        let mut splitter = EventSplitter::default();
        let mut out = splitter.push(&whole.as_bytes()[..cut]).to_vec();
        splitter.discard_incomplete();
        let next = splitter.last().unwrap_or(0) + 1;
        out.extend_from_slice(&splitter.push(stream(next, events).as_bytes()));
        prop_assert_eq!(String::from_utf8(out).expect("text"), whole);
    }

    #[test]
    fn bytes_without_event_numbers_are_returned_in_order(parts in prop::collection::vec(any::<Vec<u8>>(), 0..6)) {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for part in &parts {
            out.extend_from_slice(&splitter.push(part));
        }
        out.extend_from_slice(&splitter.take_remaining());
        let sent: Vec<u8> = parts.concat();
        let numbered = String::from_utf8_lossy(&sent).contains("id:");
        prop_assert!(numbered || out == sent);
    }
}

/// Guards against a continuation that ends because its target begins again with an event before those of the answer.
#[test]
fn continuation_that_starts_over_from_the_first_event_goes_on() {
    let mut splitter = EventSplitter::after(Some(5));
    let sent = stream(6, 8) + &stream(1, 10);
    assert_eq!(splitter.push(sent.as_bytes()), stream(6, 10));
    assert!(!splitter.is_misplaced());
}

/// Guards against the last event of a stream that its caller never gets, since its step is not known, and against events
/// that arrive one later than they could.
#[test]
fn stream_that_counts_in_wide_steps_from_its_first_number_is_passed_on_at_once() {
    let mut splitter = EventSplitter::default();
    for number in [7, 14, 21] {
        assert_eq!(splitter.push(event(number).as_bytes()), event(number));
        assert!(splitter.may_end());
    }
}
