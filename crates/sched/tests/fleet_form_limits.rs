//! What takes the forms of streams away from a fleet, and what does not take them back.

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, EventForm, SourceForm, SourceTally, StreamCounter, StreamSource, StreamTally,
    VersionDigest,
};
use curlewcleat_sched::FleetForms;

/// Events of a stream.
const EVENTS: u64 = 3;
/// Daemons of a fleet.
const DAEMONS: usize = 20;
/// Sound streams of a daemon that together with those of the others show a form for cuts.
const STREAMS: u64 = 200;
/// Rules with streams, more than are kept.
const MANY_RULES: usize = 300;
/// Rules whose forms are kept.
const KEPT_RULES: usize = 256;
const SOUND: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: false,
};
/// Another sound form.
const OTHER: EventForm = EventForm { may_have_ignored_lines: true, ..SOUND };
/// The form of streams that all end with an event without a number.
const ENDS: EventForm = EventForm { may_end_unnumbered: true, must_end_unnumbered: true, ..SOUND };

fn source(rule: &str) -> StreamSource {
    let (rule, pool) = (rule.to_string(), "engines".to_string());
    StreamSource { rule, pool, version: VersionDigest::of(Some(&"v1".to_string())) }
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

fn record_at(forms: &mut FleetForms, now: u64, from: &DaemonId, rule: &str, tally: StreamTally) {
    let tallies = vec![SourceTally { source: source(rule), epoch: 0, tally }];
    forms.record(Duration::from_secs(now), from, tallies);
}

fn record(forms: &mut FleetForms, index: usize, tally: StreamTally) {
    record_at(forms, 1, &started(index, 1), "tag", tally);
}

/// Returns a fleet in which this many daemons have reported this.
fn reported(daemons: usize, tally: StreamTally) -> FleetForms {
    let mut forms = FleetForms::default();
    (0..daemons).for_each(|index| record(&mut forms, index, tally));
    forms
}

fn known(forms: &FleetForms) -> Option<SourceForm> {
    forms.known().forms.into_iter().find(|form| form.source == source("tag"))
}

fn for_cuts(form: EventForm) -> Option<SourceForm> {
    Some(SourceForm { source: source("tag"), form, suffices_for_cuts: true })
}

/// Guards against a count that fills up the sum, so that those of all others vanish from it.
#[test]
fn largest_number_of_events_of_one_daemon_hides_those_of_all_others() {
    let mut nonsense = StreamTally::default();
    nonsense.add_regular(SOUND, u64::MAX);
    let mut forms = reported(1, nonsense);
    (1..=DAEMONS).for_each(|index| record(&mut forms, index, tally(SOUND, STREAMS)));
    assert_eq!(known(&forms), for_cuts(SOUND));
}

/// Guards against one daemon whose count of damage makes all others take a frequent sound form for damage.
#[test]
fn damage_counted_by_one_daemon_narrows_the_form_of_all() {
    let sound = tally(SOUND, STREAMS).plus(&tally(OTHER, STREAMS / 20));
    let mut forms = reported(DAEMONS, sound);
    assert_eq!(known(&forms), for_cuts(OTHER));
    record(&mut forms, DAEMONS, with(tally(SOUND, 1), StreamCounter::Damaged, 100_000));
    record(&mut forms, 0, with(sound, StreamCounter::Damaged, 1));
    assert_eq!(known(&forms), for_cuts(OTHER));
}

/// Guards against a form that is forgotten when damage ends, so that the next damaged events pass.
#[test]
fn form_learned_beside_damage_is_forgotten_when_damage_ends() {
    let mut forms = FleetForms::default();
    for index in 0..DAEMONS {
        let daemon = started(index, 1);
        let passed = with(tally(SOUND, STREAMS), StreamCounter::Irregular, 2);
        let shown = with(tally(SOUND, STREAMS), StreamCounter::Damaged, 4);
        // Damage of an unknown time before a first report does not count.
        record_at(&mut forms, 1, &daemon, "narrative", tally(SOUND, 1));
        record_at(&mut forms, 1, &daemon, "narrative", shown);
        record_at(&mut forms, 1, &daemon, "tag", passed);
    }
    assert_eq!(known(&forms), for_cuts(SOUND));
    forms.advance(Duration::from_secs(62));
    let sound = with(tally(SOUND, STREAMS + 1), StreamCounter::Irregular, 2);
    record_at(&mut forms, 62, &started(0, 1), "tag", sound);
    assert_eq!(known(&forms), for_cuts(SOUND));
}

/// Guards against a form that is never taken back since reports of many whole streams outweigh one cut each.
#[test]
fn form_by_which_busy_daemons_cut_a_third_of_all_streams_stays() {
    let mut forms = reported(DAEMONS, tally(SOUND, STREAMS));
    for round in 1..=20 {
        for index in 0..DAEMONS {
            let whole = tally(SOUND, STREAMS + 40 * round);
            record(&mut forms, index, with(whole, StreamCounter::Cut, 20 * round));
        }
    }
    assert_eq!(known(&forms), None);
}

/// Guards against a form that cuts all streams for ever, since a daemon that has left would have to cut some as well.
#[test]
fn form_by_which_two_daemons_cut_all_streams_stays_after_a_third_has_left() {
    let mut forms = reported(3, tally(SOUND, STREAMS));
    for round in 1..=100 {
        for index in 0..2 {
            record(&mut forms, index, with(tally(SOUND, STREAMS), StreamCounter::Cut, 10 * round));
        }
    }
    assert_eq!(known(&forms), None);
}

/// Guards against ends that are no longer checked since the next scheduler has counted too few streams.
#[test]
fn end_of_streams_is_forgotten_by_a_scheduler_that_has_counted_few() {
    let mut forms = FleetForms::default();
    forms.adopt(&for_cuts(ENDS).into_iter().collect::<Vec<_>>());
    let mut tally = StreamTally::default();
    (0..10).for_each(|_| tally.add_regular(ENDS, 55));
    (0..4).for_each(|index| record(&mut forms, index, tally));
    assert_eq!(known(&forms), for_cuts(ENDS));
}

/// Guards against reports of an earlier start that arrive late and count all streams again.
#[test]
fn reports_of_an_earlier_start_count_streams_again() {
    let mut forms = FleetForms::default();
    for _ in 0..50 {
        for (index, incarnation) in [(0, 1), (1, 1), (0, 2), (1, 2)] {
            record_at(&mut forms, 1, &started(index, incarnation), "tag", tally(SOUND, 5));
        }
    }
    // Ten streams of three events are too few.
    assert_eq!(known(&forms), None);
}

/// Guards against counts that give way to rules that one daemon has made up.
#[test]
fn rules_of_one_daemon_push_out_the_counts_of_all_others() {
    let mut forms = FleetForms::default();
    for index in 0..DAEMONS {
        record(&mut forms, index, tally(SOUND, STREAMS));
        for rule in 0..MANY_RULES {
            let rule = format!("made-up-{rule}");
            record_at(&mut forms, 1, &started(DAEMONS, 1), &rule, tally(SOUND, 1));
        }
    }
    assert_eq!(known(&forms), for_cuts(SOUND));
}

/// Guards against forms none of which is known since each rule's counts give way before the next daemon reports it.
#[test]
fn no_form_is_known_where_more_rules_are_served_than_are_kept() {
    let mut forms = FleetForms::default();
    for round in 1..=10 {
        for index in 0..DAEMONS {
            for rule in 0..MANY_RULES {
                let rule = format!("rule-{rule}");
                let tally = tally(SOUND, 20 * round);
                record_at(&mut forms, round, &started(index, 1), &rule, tally);
            }
        }
    }
    let known = forms.known().forms.len();
    assert!(known >= KEPT_RULES / 2, "the forms of {known} rules are known");
}

/// Guards against a sound form that is taken for a rare one each time that counts are halved.
#[test]
fn halved_counts_lose_a_sound_form() {
    const OTHER_ONE_IN: u64 = 800;
    let mut forms = FleetForms::default();
    let mut changes = 0;
    let mut latest = None;
    for streams in (0..40_000).step_by(100).skip(20) {
        for index in 0..DAEMONS {
            let other = (streams + index as u64 * 40) / OTHER_ONE_IN;
            let tally = tally(SOUND, streams - other).plus(&tally(OTHER, other));
            record(&mut forms, index, tally);
        }
        let known = known(&forms).map(|known| known.form);
        changes += usize::from(latest.is_some_and(|latest| Some(latest) != known));
        latest = known;
    }
    assert!(changes <= 1, "the form has changed {changes} times");
}

/// Guards against a form that is taken back without any daemon being told.
#[test]
fn form_that_is_taken_back_is_not_announced() {
    let mut forms = reported(DAEMONS, tally(SOUND, STREAMS));
    assert_eq!(known(&forms), for_cuts(SOUND));
    let changes = forms.changes();
    for index in 0..DAEMONS {
        record(&mut forms, index, with(tally(SOUND, STREAMS), StreamCounter::Cut, 2));
    }
    assert_eq!(forms.known().withdrawn, [source("tag")]);
    assert!(forms.changes() > changes);
}

/// Guards against damage at the start of a fleet whose sum keeps the form unknown for minutes after it has ended.
#[test]
fn damage_at_the_start_keeps_the_form_unknown_long_after_its_end() {
    // A hundred daemons with two streams a second each, ten seconds with one damaged in 50, half a minute without.
    let mut forms = FleetForms::default();
    for sound in [0, 60] {
        for index in 0..100 {
            let damaged = u64::from(index % 5 < 2);
            let passed = with(tally(SOUND, 20 - damaged), StreamCounter::Irregular, damaged);
            record(&mut forms, index, passed.plus(&tally(SOUND, sound)));
        }
    }
    assert_eq!(known(&forms), for_cuts(SOUND));
}

/// Guards against a sound form that is cut at all daemons for as long as damage is shown, although all have seen it.
#[test]
fn damage_narrows_a_sound_form_of_one_stream_in_thirty() {
    let sound = tally(SOUND, STREAMS).plus(&tally(OTHER, STREAMS / 30));
    let mut forms = reported(DAEMONS, sound);
    assert_eq!(known(&forms), for_cuts(OTHER));
    for index in 0..DAEMONS {
        record(&mut forms, index, with(sound, StreamCounter::Damaged, 4));
    }
    assert_eq!(known(&forms), for_cuts(OTHER));
}

/// Guards against damage that vanishes since it is divided with the whole streams of a long report.
#[test]
fn damage_is_lost_in_reports_of_many_whole_streams() {
    let mut forms = reported(DAEMONS, tally(SOUND, STREAMS));
    for index in 0..DAEMONS {
        let shown = with(tally(SOUND, STREAMS + 1_100), StreamCounter::Damaged, 1);
        record(&mut forms, index, shown);
    }
    assert_eq!(forms.known().damaged, ["engines"]);
}

/// Guards against damaged streams that pass after those that were cut took the form back.
#[test]
fn one_damaged_answer_in_twelve_takes_the_form_back() {
    let mut forms = reported(DAEMONS, tally(SOUND, STREAMS));
    for round in 1..=20 {
        for index in 0..DAEMONS {
            let whole = tally(SOUND, STREAMS + 11 * round);
            record(&mut forms, index, with(whole, StreamCounter::Cut, round));
        }
    }
    assert_eq!(known(&forms), for_cuts(SOUND));
}
