//! What the daemons of a fleet know together of the form of streams.

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, EventForm, SourceForm, SourceTally, StreamCounter, StreamSource, StreamTally,
    VersionDigest,
};
use curlewcleat_sched::FleetForms;
use rstest::rstest;

/// Events of a stream.
const EVENTS: u64 = 3;
/// Sound streams of a daemon that together with those of the others show a form for cuts.
const STREAMS: u64 = 40;
const SOUND: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: false,
};
/// A form that allows for nearly everything.
const WIDE: EventForm = EventForm {
    max_data_lines: 9,
    may_end_unnumbered: true,
    may_have_ignored_lines: true,
    ..SOUND
};

fn source(rule: &str) -> StreamSource {
    let (rule, pool) = (rule.to_string(), "engines".to_string());
    StreamSource { rule, pool, version: VersionDigest::of(Some(&"v1".to_string())) }
}

fn daemon(index: usize) -> DaemonId {
    started(index, 1)
}

fn started(index: usize, incarnation: u64) -> DaemonId {
    DaemonId { vm: format!("vm-{index}"), incarnation }
}

fn tally(form: EventForm, streams: u64) -> StreamTally {
    let mut tally = StreamTally::default();
    (0..streams).for_each(|_| tally.add_regular(form, EVENTS));
    tally
}

fn with(mut tally: StreamTally, counted: StreamCounter, count: u64) -> StreamTally {
    (0..count).for_each(|_| tally.add_one(counted));
    tally
}

fn record(forms: &mut FleetForms, from: &DaemonId, rule: &str, tally: StreamTally) {
    record_at(forms, 1, from, rule, tally);
}

fn record_at(forms: &mut FleetForms, now: u64, from: &DaemonId, rule: &str, tally: StreamTally) {
    let tallies = vec![SourceTally { source: source(rule), epoch: 0, tally }];
    forms.record(Duration::from_secs(now), from, tallies);
}

/// Returns what is known after this many daemons have reported sound streams.
fn sound_fleet(daemons: usize, streams: u64) -> FleetForms {
    let mut forms = FleetForms::default();
    for index in 0..daemons {
        record(&mut forms, &daemon(index), "tag", tally(SOUND, streams));
    }
    forms
}

fn known(forms: &FleetForms) -> Option<SourceForm> {
    forms.known().forms.into_iter().find(|form| form.source == source("tag"))
}

fn for_cuts(form: EventForm) -> Option<SourceForm> {
    Some(SourceForm { source: source("tag"), form, suffices_for_cuts: true })
}

/// Guards against streams that no daemon judges since each of them has seen a few.
#[rstest]
#[case::six(6, 100)]
#[case::hundred_and_ten(110, 4)]
#[case::eleven_hundred(1_100, 1)]
fn streams_of_all_daemons_show_a_form(#[case] daemons: usize, #[case] streams: u64) {
    assert_eq!(known(&sound_fleet(daemons, streams)), for_cuts(SOUND));
}

#[test]
fn form_that_one_daemon_alone_has_seen_is_not_known() {
    let mut forms = sound_fleet(1, 10_000);
    assert_eq!(known(&forms), None);
    record(&mut forms, &daemon(1), "tag", tally(SOUND, 7));
    assert_eq!(known(&forms), None);
    record(&mut forms, &daemon(1), "tag", tally(SOUND, 400));
    assert_eq!(known(&forms), for_cuts(SOUND));
}

/// Guards against one daemon that states nonsense, or has seen only damaged streams, and on which all others act.
#[rstest]
#[case::wide(tally(WIDE, 1_000_000))]
#[case::irregular(with(StreamTally::default(), StreamCounter::Irregular, 1_000_000))]
#[case::cut(with(tally(SOUND, 1), StreamCounter::Cut, 1_000_000))]
#[case::damaged(with(tally(SOUND, 1), StreamCounter::Damaged, 1_000_000))]
fn statements_of_one_daemon_change_nothing(#[case] nonsense: StreamTally) {
    let mut forms = sound_fleet(20, STREAMS);
    record(&mut forms, &daemon(20), "tag", StreamTally::default());
    for incarnation in 1..50 {
        record(&mut forms, &started(20, incarnation), "tag", nonsense);
        assert_eq!(known(&forms), for_cuts(SOUND));
        assert_eq!(forms.known().damaged, Vec::<String>::new());
    }
}

#[test]
fn late_and_repeated_reports_count_once() {
    let mut forms = FleetForms::default();
    for _ in 0..100 {
        record(&mut forms, &daemon(0), "tag", tally(SOUND, 6));
        record(&mut forms, &daemon(0), "tag", tally(SOUND, 5));
        record(&mut forms, &daemon(1), "tag", tally(SOUND, 7));
    }
    // Six streams of three events are too few.
    assert_eq!(known(&forms), None);
}

#[test]
fn next_scheduler_knows_all_with_the_first_reports() {
    let streams = [900, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49];
    let mut forms = FleetForms::default();
    for (index, streams) in streams.into_iter().enumerate() {
        let tally = with(tally(SOUND, streams), StreamCounter::Cut, 5);
        record(&mut forms, &daemon(index), "tag", tally);
    }
    assert_eq!(known(&forms), for_cuts(SOUND));
}

/// Guards against rare forms that some daemons have seen and others cut.
#[test]
fn form_that_few_streams_of_several_daemons_have_is_allowed_for() {
    let mut forms = sound_fleet(20, 200);
    for index in 0..3 {
        record(&mut forms, &daemon(index), "tag", tally(SOUND, 200).plus(&tally(WIDE, 2)));
    }
    // Numbers of lines are known by ranges.
    assert_eq!(known(&forms), for_cuts(EventForm { max_data_lines: 16, ..WIDE }));
}

#[test]
fn streams_that_do_not_count_on_leave_the_form_unknown() {
    let mut forms = FleetForms::default();
    for index in 0..20 {
        let tally = with(tally(SOUND, 200), StreamCounter::Irregular, 1);
        record(&mut forms, &daemon(index), "tag", tally);
    }
    assert_eq!(known(&forms), None);
}

/// Guards against damaged streams that passed as whole and keep the form unknown, so that the next ones pass as well.
#[test]
fn damaged_streams_that_passed_before_do_not_keep_the_form_unknown() {
    let mut forms = FleetForms::default();
    let passed = with(tally(SOUND, 200), StreamCounter::Irregular, 2).plus(&tally(WIDE, 1));
    for index in 0..20 {
        record(&mut forms, &daemon(index), "tag", passed);
        record(&mut forms, &daemon(index), "narrative", tally(SOUND, 10));
        let shown = with(tally(SOUND, 200), StreamCounter::Damaged, 4);
        record(&mut forms, &daemon(index), "narrative", shown);
    }
    assert_eq!(forms.known().damaged, ["engines"]);
    for index in 0..20 {
        let passed = passed.plus(&with(tally(SOUND, 60), StreamCounter::Irregular, 1));
        record(&mut forms, &daemon(index), "tag", passed);
    }
    assert_eq!(known(&forms), for_cuts(SOUND));
}

#[test]
fn damage_is_forgotten_after_a_while() {
    let mut forms = FleetForms::default();
    for index in 0..2 {
        record_at(&mut forms, 1, &daemon(index), "tag", tally(SOUND, 1));
        let shown = with(tally(SOUND, 1), StreamCounter::Damaged, 1);
        record_at(&mut forms, 1, &daemon(index), "tag", shown);
    }
    assert_eq!(forms.known().damaged, ["engines"]);
    let changes = forms.changes();
    forms.advance(Duration::from_secs(62));
    assert_eq!(forms.known().damaged, Vec::<String>::new());
    assert!(forms.changes() > changes);
}

/// Guards against a form that cuts all streams of a version whose targets write another one from some moment on.
#[test]
fn form_by_which_several_daemons_cut_most_streams_is_taken_back() {
    let mut forms = sound_fleet(20, STREAMS);
    for index in 0..9 {
        let cut = with(tally(SOUND, STREAMS), StreamCounter::Cut, 2);
        record(&mut forms, &daemon(index), "tag", cut);
    }
    assert_eq!(known(&forms), None);
}

#[test]
fn form_by_which_one_stream_in_fifty_is_cut_stays() {
    let mut forms = sound_fleet(20, STREAMS);
    for round in 1..=20 {
        for index in 0..20 {
            let sound = tally(SOUND, STREAMS + 50 * round);
            record(&mut forms, &daemon(index), "tag", with(sound, StreamCounter::Cut, round));
        }
        assert_eq!(known(&forms), for_cuts(SOUND));
    }
}

#[test]
fn sources_and_counts_stay_bounded() {
    let mut forms = FleetForms::default();
    for rule in 0..2_000 {
        for index in 0..3 {
            let rule = format!("rule-{rule}");
            record(&mut forms, &daemon(index), &rule, tally(SOUND, 500));
        }
    }
    assert!(forms.known().forms.len() <= 256);
    let mut forms = FleetForms::default();
    for round in 1..=100 {
        for index in 0..20 {
            record(&mut forms, &daemon(index), "tag", tally(SOUND, 600 * round));
        }
    }
    assert_eq!(known(&forms), for_cuts(SOUND));
}
