//! What keeps the daemons of a fleet from knowing the forms of streams, and what makes them believe in damage.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{EventForm, StreamCounter, StreamSource, StreamTally, VersionDigest};
use rstest::rstest;

use support::Fleet;

/// Events of a stream.
const EVENTS: u64 = 3;
/// Time after the first streams within which all daemons know their form.
const KNOWN_TIME: Duration = Duration::from_secs(3);
/// Interval in which streams end.
const STEP: Duration = Duration::from_millis(100);
/// Time after which damage is forgotten.
const DAMAGE_TIME: Duration = Duration::from_secs(150);
/// Events of a daemon that targets have damaged.
const DAMAGED: usize = 40;
/// Daemons of a fleet.
const DAEMONS: usize = 6;
const FORM: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: false,
};

fn source(rule: &str, version: usize) -> StreamSource {
    let version = VersionDigest::of(Some(&format!("v{version}")));
    StreamSource { rule: rule.to_string(), pool: "p".to_string(), version }
}

/// Returns a fleet whose daemons know each other.
fn settled(daemons: usize) -> Fleet {
    let mut fleet = Fleet::mixed(daemons);
    fleet.run(Duration::from_secs(4));
    fleet
}

fn tally<'a>(fleet: &'a mut Fleet, index: usize, source: &StreamSource) -> &'a mut StreamTally {
    fleet.daemons[index].tallies.entry(source.clone()).or_default()
}

/// Lets sound streams of a source end at all daemons for a while.
fn serve(fleet: &mut Fleet, source: &StreamSource, time: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        for index in 0..fleet.daemons.len() {
            (0..10).for_each(|_| tally(fleet, index, source).add_regular(FORM, EVENTS));
        }
        fleet.run(STEP);
    }
}

/// Returns the daemons that do not know the form of a source well enough for cuts.
fn unaware(fleet: &Fleet, source: &StreamSource) -> Vec<usize> {
    let knows = |index: &usize| {
        let mut forms = fleet.daemons[*index].stream_forms.iter();
        forms.any(|form| form.source == *source && form.suffices_for_cuts)
    };
    (0..fleet.daemons.len()).filter(|index| !knows(index)).collect()
}

/// Guards against forms of versions that are long gone and push out those of a rule that comes first by its name.
#[test]
fn form_of_a_new_version_is_unknown_after_many_versions_of_other_rules() {
    let mut fleet = settled(DAEMONS);
    for version in 0..300 {
        let former = source("tag", version);
        for index in 0..DAEMONS {
            fleet.daemons[index].tallies.clear();
            (0..200).for_each(|_| tally(&mut fleet, index, &former).add_regular(FORM, EVENTS));
        }
        fleet.run(Duration::from_secs(1));
    }
    let new = source("answer", 300);
    serve(&mut fleet, &new, Duration::from_secs(20));
    assert_eq!(unaware(&fleet, &new), Vec::<usize>::new());
}

/// Guards against reports in which sources without a form leave no room for those that come later by their names.
#[test]
fn form_is_unknown_beside_many_sources_whose_streams_have_none() {
    let mut fleet = settled(DAEMONS);
    let new = source("tag", 1);
    for _ in 0..100 {
        for index in 0..DAEMONS {
            for rule in 0..64 {
                let irregular = source(&format!("chat-{rule}"), 1);
                tally(&mut fleet, index, &irregular).add_one(StreamCounter::Irregular);
            }
        }
        serve(&mut fleet, &new, STEP);
    }
    assert_eq!(unaware(&fleet, &new), Vec::<usize>::new());
}

/// Guards against damage of long ago that counts anew at the next schedulers.
#[test]
fn damage_of_long_ago_is_believed_again_when_schedulers_change() {
    let mut fleet = settled(30);
    let served = source("tag", 1);
    serve(&mut fleet, &served, KNOWN_TIME);
    for index in 0..30 {
        (0..DAMAGED)
            .for_each(|_| tally(&mut fleet, index, &served).add_one(StreamCounter::Damaged));
    }
    serve(&mut fleet, &served, KNOWN_TIME);
    assert_eq!(fleet.daemons[0].damaged_pools, ["p"]);
    serve(&mut fleet, &served, DAMAGE_TIME);
    assert_eq!(fleet.daemons[0].damaged_pools, Vec::<String>::new());
    for candidate in fleet.candidates() {
        fleet.daemons[candidate].cut = true;
    }
    let mut believing = BTreeSet::new();
    for _ in 0..200 {
        serve(&mut fleet, &served, STEP);
        let others = (0..30).filter(|index| !fleet.daemons[*index].cut);
        believing.extend(others.filter(|index| !fleet.daemons[*index].damaged_pools.is_empty()));
    }
    assert_eq!(believing, BTreeSet::new());
}

/// Guards against small fleets that learn nothing together, evenly served or through one daemon most.
#[rstest]
#[case::two(2, [5, 5, 5])]
#[case::three(3, [5, 5, 5])]
#[case::three_one_busy(3, [85, 8, 7])]
fn form_is_known_in_small_fleets(#[case] daemons: usize, #[case] streams: [usize; 3]) {
    let mut fleet = settled(daemons);
    let (served, begun) = (source("tag", 1), fleet.now);
    while !unaware(&fleet, &served).is_empty() && fleet.now < begun + Duration::from_secs(60) {
        for (index, streams) in streams.into_iter().enumerate().take(daemons) {
            (0..streams).for_each(|_| tally(&mut fleet, index, &served).add_regular(FORM, EVENTS));
        }
        fleet.run(Duration::from_millis(500));
    }
    println!("{daemons} daemons, {streams:?}: known after {:?}", fleet.now - begun);
    assert_eq!(unaware(&fleet, &served), Vec::<usize>::new());
}

/// Guards against forms that are unknown for long where packets are lost, all daemons start or schedulers stand still.
#[rstest]
#[case::losses("losses")]
#[case::all_restart("restart")]
#[case::schedulers_stand_still("standstill")]
fn form_of_a_new_version_is_known_soon_beside_trouble(#[case] trouble: &str) {
    let mut fleet = settled(30);
    serve(&mut fleet, &source("tag", 1), KNOWN_TIME);
    match trouble {
        "losses" => fleet.losses = Some((3, 1)),
        "restart" => (0..30).for_each(|index| fleet.restart(index, 2)),
        _ => {
            let first: Vec<usize> = fleet.candidates().into_iter().take(2).collect();
            first.iter().for_each(|index| {
                fleet.standing_still.insert(*index, Default::default());
            });
        }
    }
    let (served, begun) = (source("tag", 2), fleet.now);
    let is_known = |fleet: &Fleet| {
        let unaware = unaware(fleet, &served);
        unaware.iter().all(|index| fleet.standing_still.contains_key(index))
    };
    while !is_known(&fleet) && fleet.now < begun + Duration::from_secs(60) {
        serve(&mut fleet, &served, STEP);
    }
    let took = fleet.now - begun;
    println!("{trouble}: known after {took:?}");
    assert!(took <= Duration::from_secs(10), "known after {took:?}");
}

/// Lets all daemons cut streams of a source, and none end whole.
fn cut(fleet: &mut Fleet, source: &StreamSource, time: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        for index in 0..fleet.daemons.len() {
            tally(fleet, index, source).add_one(StreamCounter::Cut);
        }
        fleet.run(STEP);
    }
}

/// Guards against a withdrawn form that comes back with the next schedulers and cuts sound streams again.
#[test]
fn withdrawn_form_comes_back_when_schedulers_change() {
    let mut fleet = settled(30);
    let served = source("tag", 1);
    serve(&mut fleet, &served, KNOWN_TIME);
    assert_eq!(unaware(&fleet, &served), Vec::<usize>::new());
    cut(&mut fleet, &served, Duration::from_secs(5));
    assert_eq!(unaware(&fleet, &served).len(), 30);
    for candidate in fleet.candidates() {
        fleet.daemons[candidate].cut = true;
    }
    let mut believing = BTreeSet::new();
    for _ in 0..200 {
        fleet.run(STEP);
        let unaware = unaware(&fleet, &served);
        let others = (0..30).filter(|index| !fleet.daemons[*index].cut);
        believing.extend(others.filter(|index| !unaware.contains(index)));
    }
    assert_eq!(believing, BTreeSet::new());
}

/// Guards against a form that a daemon keeps by the old answer of a scheduler that its reports do not reach.
#[test]
fn withdrawn_form_stays_at_a_daemon_whose_reports_do_not_reach_the_first_scheduler() {
    let mut fleet = settled(DAEMONS);
    let served = source("tag", 1);
    serve(&mut fleet, &served, KNOWN_TIME);
    assert_eq!(unaware(&fleet, &served), Vec::<usize>::new());
    let first = fleet.candidates()[0];
    let last = *fleet.candidates().last().unwrap_or(&first);
    fleet.blocked.insert((last, first));
    cut(&mut fleet, &served, Duration::from_secs(30));
    assert_eq!(unaware(&fleet, &served), (0..DAEMONS).collect::<Vec<_>>());
}
