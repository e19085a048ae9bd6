//! How the daemons of a fleet learn together what the streams of targets look like.

mod support;

use std::time::Duration;

use curlewcleat_core::{EventForm, StreamSource, StreamTally, VersionDigest};
use curlewcleat_node::NodeEvent;
use rstest::rstest;

use support::Fleet;

/// Streams a second over all daemons: those of three events, the rarest kind for their number.
const STREAMS_A_SECOND: usize = 231;
/// Events of a stream.
const EVENTS: u64 = 3;
/// Time after the first streams within which all daemons know their form.
const KNOWN_TIME: Duration = Duration::from_secs(3);
/// Interval in which streams end.
const STEP: Duration = Duration::from_millis(100);
/// Most bytes a second that an ordinary daemon may send about forms while nothing is new.
const BYTES_PER_SECOND: usize = 300;

const FORM: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: false,
};

/// Returns the source of a version; that of the targets of the fleet states none.
fn source(version: &str) -> StreamSource {
    let version = Some(version.to_string()).filter(|version| !version.is_empty());
    let version = VersionDigest::of(version.as_ref());
    StreamSource { rule: "tag".to_string(), pool: "p".to_string(), version }
}

/// Lets streams of a version end at the daemons in turn for `time`, or until all know the form; returns how long that took.
fn serve(fleet: &mut Fleet, version: &str, time: Duration) -> Duration {
    let (begun, mut next) = (fleet.now, 0);
    while fleet.now < begun + time && !is_known_everywhere(fleet, version) {
        for _ in 0..STREAMS_A_SECOND / 10 {
            let index = next % fleet.daemons.len();
            let tallies = &mut fleet.daemons[index].tallies;
            let tally: &mut StreamTally = tallies.entry(source(version)).or_default();
            tally.add_regular(FORM, EVENTS);
            next += 1;
        }
        fleet.run(STEP);
    }
    fleet.now - begun
}

fn knows(fleet: &Fleet, index: usize, version: &str) -> bool {
    let source = source(version);
    let mut forms = fleet.daemons[index].stream_forms.iter();
    forms.any(|form| form.source == source && form.form == FORM && form.suffices_for_cuts)
}

fn is_known_everywhere(fleet: &Fleet, version: &str) -> bool {
    (0..fleet.daemons.len()).all(|index| knows(fleet, index, version))
}

/// Returns a fleet whose daemons know each other.
fn settled(daemons: usize) -> Fleet {
    let mut fleet = Fleet::mixed(daemons);
    fleet.run(Duration::from_secs(4));
    fleet
}

/// Guards against streams that pass unjudged for minutes since each daemon knows only its own.
#[rstest]
#[case::seven(7)]
#[case::thirty(30)]
#[case::hundred_and_ten(110)]
#[case::three_hundred(300)]
fn form_is_known_everywhere_soon_after_the_first_streams(#[case] daemons: usize) {
    let mut fleet = settled(daemons);
    let took = serve(&mut fleet, "v1", Duration::from_secs(30));
    println!("{daemons} daemons: known everywhere after {took:?}");
    assert!(took <= KNOWN_TIME, "known everywhere after {took:?}");
    let took = serve(&mut fleet, "v2", Duration::from_secs(30));
    println!("{daemons} daemons: a version that has joined after {took:?}");
    assert!(took <= KNOWN_TIME, "a version that has joined is known after {took:?}");
}

/// Guards against forms that are lost with the daemons that have added up the streams.
#[test]
fn forms_stay_known_while_the_daemons_that_add_them_up_end() {
    let mut fleet = settled(30);
    serve(&mut fleet, "v1", KNOWN_TIME);
    for round in 0..3 {
        let candidates = fleet.candidates();
        for candidate in &candidates {
            fleet.daemons[*candidate].cut = true;
        }
        let others: Vec<usize> = (0..30).filter(|index| !fleet.daemons[*index].cut).collect();
        for _ in 0..60 {
            fleet.run(STEP);
            let forgetful = others.iter().find(|index| !knows(&fleet, **index, "v1"));
            assert_eq!(forgetful, None, "round {round}: the form is forgotten");
        }
    }
}

/// Guards against daemons that begin with nothing while all others know the form.
#[test]
fn daemons_that_begin_anew_one_after_the_other_know_the_forms_at_once() {
    let mut fleet = settled(30);
    serve(&mut fleet, "v1", KNOWN_TIME);
    for index in 0..30 {
        fleet.restart(index, 2);
        fleet.run(Duration::from_secs(2));
        assert!(knows(&fleet, index, "v1"), "daemon {index} does not know the form");
    }
    assert!(is_known_everywhere(&fleet, "v1"));
}

/// Guards against streams that pass unjudged after all daemons have ended at once.
#[test]
fn forms_outlive_an_end_of_all_daemons() {
    let mut fleet = settled(30);
    serve(&mut fleet, "", KNOWN_TIME);
    serve(&mut fleet, "v-of-no-target", KNOWN_TIME);
    fleet.run(Duration::from_secs(12));
    let stored: Vec<_> = fleet.stored_forms.values().flatten().cloned().collect();
    assert_eq!(stored.iter().map(|form| &form.source).collect::<Vec<_>>(), [&source("")]);
    assert_eq!(fleet.form_writes, 1);
    for index in 0..30 {
        fleet.restart(index, 2);
        fleet.event(index, NodeEvent::StoredFormsRead(stored.clone()));
        assert!(knows(&fleet, index, ""), "daemon {index} does not know the form");
    }
    fleet.run(Duration::from_secs(12));
    assert!(is_known_everywhere(&fleet, ""));
    assert_eq!(fleet.form_writes, 1);
}

#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn known_forms_cost_an_ordinary_daemon_few_bytes(#[case] daemons: usize) {
    let mut fleet = settled(daemons);
    serve(&mut fleet, "v1", KNOWN_TIME);
    fleet.run(Duration::from_secs(2));
    fleet.restart_byte_count();
    let seconds = 10;
    for _ in 0..seconds {
        for daemon in &mut fleet.daemons {
            daemon.tallies.entry(source("v1")).or_default().add_regular(FORM, EVENTS);
        }
        fleet.run(Duration::from_secs(1));
    }
    let bytes: usize = ["stream reports", "stream forms"]
        .iter()
        .filter_map(|kind| fleet.bytes_of_kind.get(kind))
        .sum();
    let each = bytes / seconds / daemons;
    println!("{daemons} daemons: {each} bytes a second and daemon");
    assert!(each <= BYTES_PER_SECOND, "{each} bytes a second");
}
