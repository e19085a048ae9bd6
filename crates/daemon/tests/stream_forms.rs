//! What a daemon does with a form of streams that the fleet knows, beside what it has seen itself.

use curlewcleat_core::{EventForm, SourceForm, StreamSource, VersionDigest};
use curlewcleat_targets::{EventSplitter, StreamShape};
use curlewcleatd::stream_forms::SharedForms;

/// Events of a stream.
const EVENTS: u64 = 3;
/// Streams of a form after which it is no longer cut.
const MAX_CUT: usize = 10;
const SOUND: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: false,
};
const ENDS: EventForm = EventForm { may_end_unnumbered: true, must_end_unnumbered: true, ..SOUND };

fn source() -> StreamSource {
    let (rule, pool) = ("tag".to_string(), "engines".to_string());
    StreamSource { rule, pool, version: VersionDigest::of(Some(&"v1".to_string())) }
}

/// Returns what a daemon knows in whose fleet streams have this form.
fn in_fleet(form: EventForm, damaged: bool) -> SharedForms {
    let forms = SharedForms::default();
    let known = SourceForm { source: source(), form, suffices_for_cuts: true };
    let damaged = damaged.then(|| "engines".to_string());
    forms.set_fleet_forms(vec![known], damaged.into_iter().collect());
    forms
}

/// Returns the shape of a stream with these lines in each event.
fn shape(lines: &str) -> StreamShape {
    let mut splitter = EventSplitter::default();
    splitter.expect(None, "a");
    for number in 1..=EVENTS {
        splitter.push(format!("id: {number}\n{lines}\n\n").as_bytes());
    }
    *splitter.shape()
}

/// Returns the form by which streams are cut that may not be repeated.
fn form_for_cuts(forms: &SharedForms) -> Option<EventForm> {
    forms.expectation(&source(), false, false).form
}

/// Guards against a daemon that judges nothing any more after three damaged answers, while all others know the form.
#[test]
fn form_of_the_fleet_is_rejected_for_good_after_three_damaged_answers() {
    let forms = in_fleet(SOUND, false);
    assert_eq!(form_for_cuts(&forms), Some(SOUND));
    let sound = shape("data: a");
    for _ in 0..3 {
        (0..12).for_each(|_| forms.record_whole(&source(), &"a".to_string(), &sound));
        forms.record_cut(&source());
    }
    (0..300).for_each(|_| forms.record_whole(&source(), &"a".to_string(), &sound));
    assert_eq!(form_for_cuts(&forms), Some(SOUND));
}

/// Guards against streams of which each is cut since the fleet says how all of them end.
#[test]
fn ends_of_all_streams_are_cut_without_end_by_the_form_of_the_fleet() {
    let forms = in_fleet(ENDS, false);
    (0..1_000).for_each(|_| forms.record_cut_end(&source()));
    let form = form_for_cuts(&forms);
    assert!(!form.is_some_and(|form| form.must_end_unnumbered), "{form:?}");
}

/// Guards against a sound form of one daemon's callers that is cut each time once the pool counts as damaging events.
#[test]
fn sound_form_that_one_daemon_has_seen_often_is_cut_beside_damage() {
    let forms = in_fleet(SOUND, false);
    let (sound, other) = (shape("data: a"), shape("data: a\ndata: b"));
    for _ in 0..400 {
        (0..9).for_each(|_| forms.record_whole(&source(), &"a".to_string(), &sound));
        forms.record_whole(&source(), &"a".to_string(), &other);
    }
    let seen = EventForm { max_data_lines: 2, ..SOUND };
    assert_eq!(form_for_cuts(&forms), Some(seen));
    let known = SourceForm { source: source(), form: SOUND, suffices_for_cuts: true };
    forms.set_fleet_forms(vec![known], vec!["engines".to_string()]);
    let mut cut = 0;
    for _ in 0..100 {
        if form_for_cuts(&forms) == Some(SOUND) {
            forms.record_cut(&source());
            cut += 1;
        }
        (0..9).for_each(|_| forms.record_whole(&source(), &"a".to_string(), &sound));
    }
    assert!(cut <= MAX_CUT, "{cut} of 100 sound streams are cut");
}
