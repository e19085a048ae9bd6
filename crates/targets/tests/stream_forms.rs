//! The form that the streams of a source have: when it is known, what takes it back, and that sound streams of any form
//! lose nothing by it.

#[path = "support/random.rs"]
mod random;
#[path = "support/sound_streams.rs"]
mod sound_streams;

use curlewcleat_targets::{DeviationKind, EventForm, EventSplitter, FormEvidence, StreamShape};
use random::Random;
use rstest::rstest;
use sound_streams::{event, SoundStream};

/// Sound streams of each kind.
const STREAMS: usize = 10_000;
/// Streams and events after which a form is known.
const MIN_STREAMS: usize = 8;
const MIN_EVENTS: usize = 64;

fn dense(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

/// Plays a stream in one answer; returns whether its caller has all of it, and by how many events one was late.
fn play(events: &[String], form: Option<EventForm>) -> (bool, usize, StreamShape) {
    let mut splitter = EventSplitter::default();
    splitter.expect(form, "a");
    let (mut returned, mut sent, mut late) = (Vec::new(), 0, 0);
    let mut waiting = 0;
    for event in events {
        sent += event.len();
        returned.extend_from_slice(&splitter.push(event.as_bytes()));
        waiting = if returned.len() < sent { waiting + 1 } else { 0 };
        late = late.max(waiting);
    }
    let may_end = splitter.may_end() && !splitter.is_misplaced();
    returned.extend_from_slice(&splitter.take_remaining());
    let is_whole = may_end && returned == events.concat().as_bytes();
    (is_whole, late, *splitter.shape())
}

/// Guards against sound streams that are cut or late because other streams of their source looked different.
#[rstest]
#[case::dense(SoundStream::Dense, true)]
#[case::comments(SoundStream::Comments, true)]
#[case::unnumbered_end(SoundStream::UnnumberedEnd, true)]
#[case::unnumbered_end_at_times(SoundStream::UnnumberedEndAtTimes, true)]
#[case::data_lines(SoundStream::DataLines, true)]
#[case::titles(SoundStream::Titles, true)]
#[case::types(SoundStream::Types, true)]
#[case::types_at_times(SoundStream::TypesAtTimes, true)]
#[case::varying(SoundStream::Varying, false)]
#[case::wide(SoundStream::Wide, false)]
#[case::odd_ids(SoundStream::OddIds, false)]
#[case::unnumbered(SoundStream::Unnumbered, false)]
#[case::data_between(SoundStream::DataBetween, false)]
#[case::single(SoundStream::Single, true)]
fn sound_streams_lose_nothing_by_the_form_of_their_source(
    #[case] kind: SoundStream,
    #[case] has_form: bool,
) {
    let mut random = Random::new(1);
    let mut evidence = FormEvidence::default();
    for stream in 0..STREAMS {
        let events = kind.write(&mut random);
        let before = play(&events, None);
        let (is_whole, late, shape) = play(&events, evidence.form(random.one_in(2)));
        assert_eq!(is_whole, before.0, "stream {stream}: {events:?}");
        assert!(late <= before.1 + 1, "stream {stream}: {late} events late: {events:?}");
        if is_whole {
            evidence.record_whole(&shape);
        }
    }
    assert_eq!(evidence.form(true).is_some(), has_form, "{evidence:?}");
}

/// Guards against a source whose sound streams are cut without end because they seldom leave out a number.
#[test]
fn form_is_taken_back_where_sound_streams_seldom_deviate() {
    let mut random = Random::new(1);
    let mut evidence = FormEvidence::default();
    let mut cut = 0;
    for _ in 0..STREAMS {
        let events = SoundStream::RareGaps.write(&mut random);
        let (is_whole, _, shape) = play(&events, evidence.form(false));
        match is_whole {
            true => evidence.record_whole(&shape),
            false => {
                cut += 1;
                evidence.record_cut(false);
            }
        }
    }
    println!("{cut} of {STREAMS} cut");
    // About 700 of the streams deviate.
    assert!(cut <= 30, "{cut} of {STREAMS} cut");
}

#[test]
fn form_is_known_once_enough_streams_and_events_have_shown_it() {
    let mut evidence = FormEvidence::default();
    for _ in 0..MIN_STREAMS {
        assert_eq!(evidence.form(true), None);
        evidence.record_whole(&shape_of(&dense(1, (MIN_EVENTS / MIN_STREAMS) as u64)));
    }
    assert!(evidence.form(true).is_some());
    let mut evidence = FormEvidence::default();
    for _ in 0..MIN_EVENTS {
        assert_eq!(evidence.form(true), None);
        evidence.record_whole(&shape_of(&dense(1, 1)));
    }
    assert!(evidence.form(true).is_some());
}

fn shape_of(events: &str) -> StreamShape {
    let mut splitter = EventSplitter::default();
    splitter.push(events.as_bytes());
    *splitter.shape()
}

fn dense_evidence() -> FormEvidence {
    let mut evidence = FormEvidence::default();
    (0..MIN_STREAMS).for_each(|_| evidence.record_whole(&shape_of(&dense(1, 10))));
    evidence
}

/// Guards against a stream that ends because all of its targets leave out the same numbers.
#[test]
fn gap_that_two_targets_state_is_accepted() {
    let mut evidence = dense_evidence();
    let mut splitter = EventSplitter::default();
    let sparse = dense(1, 3) + &dense(5, 9);
    for target in ["a", "a", "b"] {
        splitter.discard_incomplete();
        splitter.expect(evidence.form(true), target);
        // Event by event, so that nothing is taken back.
        let events: Vec<String> = sparse.split_inclusive("\n\n").map(str::to_string).collect();
        events.iter().for_each(|event| drop(splitter.push(event.as_bytes())));
        assert_eq!(splitter.is_misplaced(), target == "a");
    }
    assert_eq!(splitter.last(), Some(9));
    evidence.record_whole(splitter.shape());
    assert_eq!(evidence.form(true), None, "targets have shown another form");
}

/// Guards against a broken target that is believed because it repeats itself.
#[test]
fn gap_that_one_target_states_twice_is_not_accepted() {
    let form = dense_evidence().form(true);
    let mut splitter = EventSplitter::default();
    for _ in 0..3 {
        splitter.expect(form, "a");
        splitter.push(event(1).as_bytes());
        splitter.push(event(3).as_bytes());
        assert!(splitter.is_misplaced() && splitter.is_unresolved());
        splitter.discard_incomplete();
    }
    assert_eq!(splitter.last(), Some(1));
    splitter.expect(form, "b");
    assert_eq!(splitter.push(dense(2, 3).as_bytes()), dense(2, 3));
    assert!(!splitter.is_unresolved());
}

/// Guards against a damaged event that is passed on because what shows the damage comes behind it in the same bytes.
#[test]
fn event_before_a_deviation_is_taken_back_if_it_was_not_returned() {
    let mut splitter = EventSplitter::default();
    splitter.expect(dense_evidence().form(true), "a");
    let other = "id: 3\ndata: of another stream\n\n";
    assert_eq!(splitter.push((dense(1, 2) + other + &dense(3, 4)).as_bytes()), dense(1, 2));
    assert!(splitter.is_misplaced() && splitter.is_resumable());
    splitter.discard_incomplete();
    splitter.expect(None, "b");
    assert_eq!(splitter.push(dense(3, 4).as_bytes()), dense(3, 4));
}

/// Guards against a stream that goes on behind an event that is one of two with the same number.
#[test]
fn stream_ends_where_another_event_with_the_last_number_follows() {
    let mut splitter = EventSplitter::default();
    splitter.expect(dense_evidence().form(true), "a");
    splitter.push(dense(1, 3).as_bytes());
    splitter.push(b"id: 3\ndata: of another stream\n\n");
    assert!(splitter.is_misplaced() && !splitter.is_resumable());
}

/// Guards against damaged events that leave no trace in the log.
#[rstest]
#[case::no_number("data: x\n\n", DeviationKind::NoNumber)]
#[case::odd_number("id: 3x\ndata: x\n\n", DeviationKind::OddNumber)]
#[case::several_numbers("id: 3\ndata: x\nid: 4\n\n", DeviationKind::SeveralNumbers)]
#[case::no_data("id: 3\n\n", DeviationKind::NoData)]
#[case::odd_data("id: 3\ndata: x\ndata: y\n\n", DeviationKind::OddData)]
#[case::odd_line("id: 3\ndata: x\nnoise\n\n", DeviationKind::OddLine)]
#[case::gap("id: 4\ndata: x\n\n", DeviationKind::Gap)]
#[case::fell("id: 2\ndata: x\n\n", DeviationKind::Fell)]
fn event_that_deviates_is_reported_and_not_passed_on(
    #[case] event: &str,
    #[case] kind: DeviationKind,
) {
    let mut splitter = EventSplitter::default();
    splitter.expect(dense_evidence().form(true), "a");
    splitter.push(dense(1, 2).as_bytes());
    assert_eq!(splitter.push(event.as_bytes()), "");
    let deviations = splitter.take_deviations();
    assert_eq!(deviations.len(), 1);
    assert_eq!((deviations[0].kind, deviations[0].after), (kind, 2));
    assert_eq!(deviations[0].excerpt, event.escape_default().to_string());
    assert!(splitter.is_misplaced() && splitter.is_unresolved());
}

/// Guards against log lines as long as what a target sends.
#[test]
fn excerpt_of_a_deviating_event_is_bounded() {
    let mut splitter = EventSplitter::default();
    splitter.expect(dense_evidence().form(true), "a");
    splitter.push(format!("data: {}\n\n", "\u{1}".repeat(10_000)).as_bytes());
    let deviations = splitter.take_deviations();
    assert!(deviations[0].excerpt.len() <= 4 * 64, "{}", deviations[0].excerpt.len());
}

/// Guards against an answer without events that ends a stream as whole, and against streams that may be empty.
#[test]
fn empty_answer_ends_a_stream_only_if_two_targets_send_one() {
    let form = dense_evidence().form(true);
    let mut splitter = EventSplitter::default();
    for (target, may_end) in [("a", false), ("a", false), ("b", true)] {
        splitter.expect(form, target);
        assert_eq!(splitter.may_end(), may_end);
        splitter.discard_incomplete();
    }
    assert!(EventSplitter::default().may_end());
}
