//! Where the form of a source's streams shows less than it could, or more than it should.

use curlewcleat_targets::{EventForm, EventSplitter, FormEvidence, StreamShape};
use rstest::rstest;

#[path = "support/random.rs"]
mod random;

use random::Random;

const FORM: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: false,
};
/// Event with which streams end.
const END: &str = "data: [DONE]\n\n";
/// A stream whose event has two `data` lines.
const WIDE: &str = "id: 1\ndata: event 1\ndata: event 2\n\n";
const STREAMS: usize = 100_000;
/// Events between two gaps of a sound source, on the average.
const EVENTS_BETWEEN_GAPS: usize = 3_000;
/// Streams that may be cut, as promised for sources that seldom leave out a number.
const MAX_CUT: usize = 250;
/// Sound streams of a kind that is seldom seen which another target may have to confirm.
const MAX_CONFIRMED: usize = 8;
/// Streams that may be cut of a source of which some end in another way.
const MAX_CUT_ENDS: usize = 8;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

fn dense(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

fn shape_of(events: &str) -> StreamShape {
    let mut splitter = EventSplitter::default();
    splitter.push(events.as_bytes());
    *splitter.shape()
}

fn evidence_of(events: &str, streams: usize) -> FormEvidence {
    let mut evidence = FormEvidence::default();
    (0..streams).for_each(|_| evidence.record_whole(&shape_of(events)));
    evidence
}

fn expecting(form: Option<EventForm>) -> EventSplitter {
    let mut splitter = EventSplitter::default();
    splitter.expect(form, "a");
    splitter
}

/// Guards against a first event with the number 0 that becomes the position, so that the next target sends it again.
#[test]
fn stream_that_begins_with_zero_where_others_begin_with_one() {
    let mut splitter = expecting(Some(FORM));
    assert_eq!(splitter.push(b"id: 0\ndata: event 1\n\n"), "");
    assert!(splitter.is_misplaced());
    splitter.discard_incomplete();
    splitter.expect(Some(FORM), "b");
    assert_eq!(splitter.push(dense(1, 3).as_bytes()), dense(1, 3));
}

/// Guards against a number that counts although callers ignore its line, since noise stands before it.
#[test]
fn byte_order_mark_before_an_id_within_a_stream() {
    let mut splitter = expecting(Some(FORM));
    splitter.push(dense(1, 2).as_bytes());
    assert_eq!(splitter.push("\u{feff}id: 3\ndata: event 3\n\n".as_bytes()), "");
    assert!(splitter.is_misplaced());
}

/// Guards against callers that lose the number of the first event behind a move, whose target begins with a mark.
#[test]
fn byte_order_mark_of_a_continuation_reaches_the_caller() {
    let mut splitter = EventSplitter::default();
    let marked = |events: String| format!("\u{feff}{events}");
    assert_eq!(splitter.push(marked(dense(1, 3)).as_bytes()), marked(dense(1, 3)));
    splitter.discard_incomplete();
    assert_eq!(splitter.push(marked(dense(4, 5)).as_bytes()), dense(4, 5));
}

/// Guards against a number that is accepted because two targets agreed on the event before it.
#[test]
fn gap_behind_an_event_that_two_targets_state_is_not_confirmed() {
    let form = EventForm { may_end_unnumbered: true, ..FORM };
    let mut splitter = EventSplitter::default();
    for (target, next) in [("a", 2), ("b", 90)] {
        splitter.discard_incomplete();
        splitter.expect(Some(form), target);
        for text in [event(1), "data: x\n\n".to_string(), event(next)] {
            splitter.push(text.as_bytes());
        }
    }
    assert_eq!(splitter.last(), Some(1));
}

/// Guards against log lines that state a continuation that was taken back before its caller got any of it.
#[test]
fn continuation_that_was_taken_back_is_reported_as_joined() {
    let mut splitter = expecting(Some(FORM));
    splitter.push(dense(1, 3).as_bytes());
    splitter.discard_incomplete();
    splitter.expect(Some(FORM), "b");
    assert_eq!(splitter.push((event(4) + &event(6)).as_bytes()), "");
    assert_eq!(splitter.take_join(), None);
}

/// Guards against streams in any line ends and parts that the form cuts.
#[rstest]
#[case::line_feed("\n")]
#[case::carriage_return("\r")]
#[case::both("\r\n")]
fn line_ends_in_parts_of_one_byte_have_the_form(#[case] end: &str) {
    let mut splitter = expecting(Some(FORM));
    let text = dense(1, 6).replace('\n', end);
    let mut returned = Vec::new();
    text.as_bytes().iter().for_each(|byte| returned.extend_from_slice(&splitter.push(&[*byte])));
    assert!(!splitter.is_misplaced() && splitter.may_end());
    returned.extend_from_slice(&splitter.take_remaining());
    assert_eq!(returned, text.as_bytes());
}

/// Guards against one damaged stream, passed before the form was known, that widens it for good.
#[test]
fn form_stays_wide_after_one_damaged_stream() {
    let mut evidence = FormEvidence::default();
    evidence.record_whole(&shape_of(WIDE));
    (0..STREAMS).for_each(|_| evidence.record_whole(&shape_of(&dense(1, 10))));
    assert_eq!(evidence.form(true), Some(FORM));
}

/// Guards against sound streams of a kind that is seldom seen, and is forgotten again and again.
#[rstest]
#[case::one_in_500(500)]
#[case::one_in_3_000(3_000)]
#[case::one_in_20_000(20_000)]
fn sound_streams_deviate_where_their_form_was_forgotten(
    #[case] one_in: usize,
    #[values(true, false)] may_repeat: bool,
) {
    let mut random = Random::new(1);
    let (mut evidence, mut deviating) = (FormEvidence::default(), 0);
    evidence.record_whole(&shape_of(WIDE));
    for _ in 0..STREAMS {
        let text = if random.one_in(one_in) { WIDE.to_string() } else { dense(1, 7) };
        let mut splitter = expecting(evidence.form(may_repeat));
        splitter.push(text.as_bytes());
        deviating += usize::from(splitter.is_misplaced());
        evidence.record_whole(&shape_of(&text));
    }
    println!("{deviating} of {STREAMS} deviate");
    let max = if may_repeat { MAX_CONFIRMED } else { 0 };
    assert!(deviating <= max, "{deviating} of {STREAMS} deviate");
}

/// Guards against events that callers dispatch under another name because their `event` line is lost.
#[test]
fn event_that_lost_the_type_of_all_others() {
    let typed = |number| format!("event: token\n{}", event(number));
    let evidence = evidence_of(&(1..=10).map(typed).collect::<String>(), 1_000);
    let mut splitter = expecting(evidence.form(true));
    splitter.push((typed(1) + &typed(2)).as_bytes());
    assert_eq!(splitter.push(event(3).as_bytes()), "");
}

/// Guards against streams that count as whole without the event with which all others of their source end.
#[test]
fn stream_that_lost_the_end_of_all_others() {
    let evidence = evidence_of(&(dense(1, 10) + "data: [DONE]\n\n"), 1_000);
    let mut splitter = expecting(evidence.form(true));
    splitter.push(dense(1, 5).as_bytes());
    assert!(!splitter.may_end());
}

/// Guards against streams that are cut at every target because they end in another way than those before.
#[test]
fn end_that_two_targets_state_is_accepted() {
    let evidence = evidence_of(&(dense(1, 10) + END), 1_000);
    let mut splitter = EventSplitter::default();
    for (target, events, may_end) in [("a", 5, false), ("a", 5, false), ("b", 5, true)] {
        splitter.discard_incomplete();
        splitter.expect(evidence.form(true), target);
        splitter.push(dense(1, events).as_bytes());
        assert_eq!((splitter.may_end(), splitter.is_end_unresolved()), (may_end, !may_end));
    }
}

/// Guards against events that are lost because the target before left them out as well as the end.
#[test]
fn events_behind_an_end_that_was_lost_reach_the_caller() {
    let evidence = evidence_of(&(dense(1, 10) + END), 1_000);
    let mut splitter = expecting(evidence.form(true));
    splitter.push(dense(1, 5).as_bytes());
    assert!(!splitter.may_end() && splitter.is_resumable());
    splitter.discard_incomplete();
    splitter.expect(evidence.form(true), "b");
    assert_eq!(splitter.push((dense(6, 10) + END).as_bytes()), dense(6, 10));
    assert!(splitter.may_end());
    assert_eq!(splitter.take_remaining(), END);
}

/// Guards against sound streams that are cut without end because only most of their source end with an event without a
/// number.
#[rstest]
#[case::half(2)]
#[case::one_in_ten(10)]
#[case::one_in_200(200)]
#[case::one_in_3_000(3_000)]
fn sound_streams_are_cut_where_few_end_in_another_way(
    #[case] one_in: usize,
    #[values(true, false)] may_repeat: bool,
) {
    let mut random = Random::new(1);
    let (mut evidence, mut cut) = (FormEvidence::default(), 0);
    for _ in 0..STREAMS {
        let end = if random.one_in(one_in) { "" } else { END };
        let mut splitter = expecting(evidence.form(may_repeat));
        splitter.push((dense(1, 7) + end).as_bytes());
        let is_whole = splitter.may_end() && !splitter.is_misplaced();
        splitter.take_remaining();
        match is_whole {
            true => evidence.record_whole(splitter.shape()),
            false => {
                cut += 1;
                evidence.record_cut_end();
            }
        }
    }
    println!("{cut} of {STREAMS} cut");
    assert!(cut <= MAX_CUT_ENDS, "{cut} of {STREAMS} cut");
}

/// Guards against sound streams that may not be repeated and are cut without end, since too few of them deviate.
#[test]
fn sound_streams_are_cut_where_one_in_200_deviates() {
    let mut random = Random::new(1);
    let (mut evidence, mut cut) = (FormEvidence::default(), 0);
    for _ in 0..STREAMS {
        let mut number = 0;
        let text: String = (0..random.pick(&[1, 3, 7, 20, 40]))
            .map(|_| {
                number += 1 + u64::from(random.one_in(EVENTS_BETWEEN_GAPS));
                event(number)
            })
            .collect();
        let mut splitter = expecting(evidence.form(false));
        splitter.push(text.as_bytes());
        if !splitter.is_misplaced() && splitter.may_end() {
            evidence.record_whole(splitter.shape());
        } else if splitter.is_unresolved() {
            cut += 1;
            evidence.record_cut(false);
        }
    }
    assert!(cut <= MAX_CUT, "{cut} of {STREAMS} cut");
}
