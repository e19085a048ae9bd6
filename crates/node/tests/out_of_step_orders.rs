//! Streams beside orders of events that put a daemon out of step: a deputy without the platform, writes that are done late,
//! callers with more time than others, and fleets of which many daemons have ended or are crowded.

mod support;

#[path = "out_of_step/play.rs"]
mod play;

use std::time::Duration;

use curlewcleat_core::{RequestId, StreamVersion, VersionDigest, VersionHistory};
use curlewcleat_node::{CallerDecision, ListedVm, NodeEvent};
use curlewcleat_sched::{RequestSpec, TakenUpStream};
use play::StreamPlay;
use rstest::rstest;
use support::streams::{set_versions, stream};
use support::{spec, target, Fleet};

const DAEMONS: usize = 6;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Lists targets of these versions, as many as stated.
fn set_counts(fleet: &mut Fleet, counts: &[(&str, usize)]) {
    let targets = counts.iter().flat_map(|(version, count)| {
        (0..*count).map(move |index| {
            let mut target = target(&format!("{version}-{index}"), false);
            target.entry.version = Some(version.to_string());
            target
        })
    });
    fleet.targets = (targets.collect(), fleet.targets.1 + 1);
}

fn far_from(fleet: &Fleet) -> usize {
    let candidates = fleet.candidates();
    (0..fleet.daemons.len()).rev().find(|index| !candidates.contains(index)).expect("one")
}

fn all_reach_platform(fleet: &mut Fleet, reach: bool) {
    fleet.daemons.iter_mut().for_each(|daemon| daemon.reaches_platform = reach);
}

/// Guards against a deputy that has not read a split: shares of versions change without a version that comes or goes, so that no deputy reads the splits. Then the scheduler
/// ends while the platform is out of reach, and the deputy begins streams by a split that ended long ago.
#[test]
fn deputy_does_not_begin_streams_by_a_split_that_ended_before_the_platform_was_out_of_reach() {
    let mut play = StreamPlay::start(DAEMONS);
    let (scheduler, far) = (play.fleet.leader(), far_from(&play.fleet));
    set_counts(&mut play.fleet, &[("v1", 6), ("v2", 2)]);
    for _ in 0..14 {
        play.begin(far);
        play.run(ms(1_000));
    }
    // A release goes on: both versions stay, their shares change.
    set_counts(&mut play.fleet, &[("v1", 2), ("v2", 6)]);
    for _ in 0..14 {
        play.begin(far);
        play.run(ms(1_000));
    }
    play.fleet.block(scheduler, 0..DAEMONS, true);
    all_reach_platform(&mut play.fleet, false);
    play.run(ms(4_000));
    let since = play.begun.len();
    for _ in 0..32 {
        play.begin(far);
        play.run(ms(20));
    }
    play.run(ms(500));
    let begun = play.begun[since..].to_vec();
    all_reach_platform(&mut play.fleet, true);
    play.fleet.blocked.clear();
    (0..DAEMONS).for_each(|index| play.fleet.restart(index, 10));
    play.run(ms(4_000));
    for begun in &begun {
        play.take_up(begun, 1);
    }
    play.run(ms(1_000));
    assert!(play.counts.joined.is_empty(), "{:?}", play.counts);
}

/// Guards against a split that ends earlier than it is used: the write that ends it is done seconds later, with the time that was decided before. A daemon that reaches few
/// others goes on by the former split until it reads the write.
#[rstest]
fn split_is_not_ended_in_the_past_by_a_late_write(#[values(0, 3_000, 6_000)] delay_ms: u64) {
    let mut play = StreamPlay::start(DAEMONS);
    let (scheduler, far) = (play.fleet.leader(), far_from(&play.fleet));
    play.fleet.block(scheduler, 0..DAEMONS, true);
    for _ in 0..4 {
        play.begin(far);
        play.run(ms(1_000));
    }
    if delay_ms > 0 {
        for index in (0..DAEMONS).filter(|index| *index != scheduler) {
            play.fleet.history_write_delays.insert(index, ms(delay_ms));
        }
    }
    set_versions(&mut play.fleet, &["v1", "v2"]);
    let since = play.begun.len();
    for _ in 0..70 {
        play.begin(scheduler);
        play.begin(far);
        play.run(ms(200));
        let due: Vec<_> = play.begun[since..]
            .iter()
            .filter(|begun| begun.entry == scheduler && play.is_awaited(begun))
            .filter(|begun| begun.sent + ms(3_000) <= play.fleet.now)
            .filter(|begun| play.fleet.now < begun.sent + ms(3_200))
            .cloned()
            .collect();
        due.iter().for_each(|begun| play.take_up(begun, far));
    }
    assert!(play.counts.joined.is_empty(), "{:?}", play.counts);
}

/// Begins a stream whose caller has this long; returns the version.
fn begin_for(fleet: &mut Fleet, entry: usize, number: u128, limit: Duration) -> Option<String> {
    let begins = Some(stream(number));
    let spec = RequestSpec { begins, caller_time_left: Some(limit), ..spec(number) };
    fleet.event(entry, NodeEvent::Admit(Box::new(spec)));
    fleet.run(ms(300));
    let Some(CallerDecision::Dispatch(_, entry_of)) = fleet.decision(number).cloned() else {
        return None;
    };
    let version = VersionDigest::of(entry_of.version.as_ref());
    let begun = StreamVersion { stream: stream(number), version };
    let id = RequestId::from_u128(number);
    fleet.event(entry, NodeEvent::StreamBegun(id, "p".to_string(), begun));
    fleet.finish(entry, number);
    entry_of.version
}

fn take_up_with(fleet: &mut Fleet, entry: usize, number: u128, left: Duration) -> Option<String> {
    let second = 5_000_000 + number;
    let takes_up = Some(TakenUpStream { stream: Some(stream(number)) });
    let spec = RequestSpec { takes_up, caller_time_left: Some(left), ..spec(second) };
    fleet.event(entry, NodeEvent::Admit(Box::new(spec)));
    fleet.run(ms(500));
    match fleet.decision(second).cloned() {
        Some(CallerDecision::Dispatch(_, target)) => target.version,
        _ => None,
    }
}

/// Guards against a proof that counts back too little: a caller has more time than is stored, or than another daemon stores.
#[rstest]
#[case::granted_beside_the_scheduler(false, 60)]
#[case::all_killed_before_it_is_stored(true, 30)]
fn stream_of_a_caller_with_a_longer_time_than_is_stored_is_not_joined(
    #[case] all_killed: bool,
    #[case] limit_s: u64,
) {
    let mut play = StreamPlay::start(DAEMONS);
    let (scheduler, far) = (play.fleet.leader(), far_from(&play.fleet));
    let limit = Duration::from_secs(limit_s);
    match all_killed {
        true => all_reach_platform(&mut play.fleet, false),
        false => {
            play.fleet.blocked.extend([(far, scheduler), (scheduler, far)]);
        }
    }
    let sent = play.fleet.now;
    let Some(version) = begin_for(&mut play.fleet, far, 777, limit) else {
        play.run(ms(500));
        let decision = play.fleet.decision(777);
        assert!(matches!(decision, Some(CallerDecision::Refuse(_))), "{decision:?}");
        return;
    };
    play.fleet.blocked.clear();
    all_reach_platform(&mut play.fleet, true);
    if all_killed {
        (0..DAEMONS).for_each(|index| play.fleet.restart(index, 10));
    }
    set_versions(&mut play.fleet, &["v2"]);
    while play.fleet.now + ms(6_000) < sent + limit {
        play.begin(1);
        play.run(ms(1_000));
    }
    let left = sent + limit - play.fleet.now;
    let stored = play.fleet.histories["p"].longest_timeout;
    let taken_up = take_up_with(&mut play.fleet, 1, 777, left);
    assert!(taken_up.as_ref().is_none_or(|at| *at == version), "{taken_up:?}, {stored:?} stored");
}

/// Returns how long after a change of versions new streams begin at the new one.
fn time_to_begin(play: &mut StreamPlay, entry: usize, limit: Duration) -> Duration {
    let (since, begun) = (play.fleet.now, play.begun.len());
    while !play.begun[begun..].iter().any(|begun| begun.version == "v2")
        && play.fleet.now < since + limit
    {
        play.begin(entry);
        play.run(ms(200));
    }
    play.fleet.now - since
}

/// Guards against new streams that are refused where half of the daemons have ended and are still recorded, as after the loss of a data centre or of one of two VMs.
#[rstest]
fn streams_begin_at_the_next_version_where_half_of_the_fleet_has_ended(
    #[values(2, 4, 6)] daemons: usize,
) {
    let mut play = StreamPlay::start(daemons);
    let scheduler = play.fleet.leader();
    let ended: Vec<usize> =
        (0..daemons).rev().filter(|index| *index != scheduler).take(daemons / 2).collect();
    support::streams::end(&mut play.fleet, &ended);
    play.run(ms(20_000));
    set_versions(&mut play.fleet, &["v2"]);
    let took = time_to_begin(&mut play, scheduler, ms(60_000));
    assert!(took < ms(5_000), "{took:?}");
}

/// Guards against splits that are never brought into use by a scheduler whose loop turns every 600 ms.
#[rstest]
fn streams_begin_at_the_next_version_beside_a_crowded_scheduler(#[values(1, 2, 6)] daemons: usize) {
    let mut play = StreamPlay::start(daemons);
    let scheduler = play.fleet.leader();
    let entry = (0..daemons).rev().find(|index| *index != scheduler).unwrap_or(scheduler);
    set_versions(&mut play.fleet, &["v2"]);
    let since = play.fleet.now;
    let mut confirmed = None;
    let mut begun_at = None;
    while play.fleet.now < since + ms(60_000) {
        play.begin(entry);
        play.fleet.suspend(scheduler);
        play.run(ms(600));
        play.fleet.resume(scheduler);
        play.run(ms(20));
        let history = &play.fleet.histories["p"];
        let (last, earlier) = history.splits.split_last().expect("a split");
        let is_new = last.slots.iter().all(|slot| *slot == VersionDigest::of(Some(&"v2".into())));
        if is_new && earlier.iter().all(|split| split.until.is_some()) {
            confirmed.get_or_insert(play.fleet.now - since);
        }
        if play.begun.last().is_some_and(|begun| begun.version == "v2") {
            begun_at.get_or_insert(play.fleet.now - since);
        }
    }
    assert!(begun_at.is_some_and(|time| time < ms(10_000)), "{begun_at:?}");
    assert!(confirmed.is_some_and(|time| time < ms(10_000)), "{confirmed:?}");
}

/// Guards against slots of a version that no target may serve: the VM list states that the VMs of all targets of one version are about to be removed.
#[test]
fn streams_begin_where_all_vms_of_a_version_are_about_to_be_removed() {
    let mut play = StreamPlay::start(DAEMONS);
    let far = far_from(&play.fleet);
    set_versions(&mut play.fleet, &["v1", "v2"]);
    play.run(ms(10_000));
    let list: Vec<ListedVm> = ["v1", "v2"]
        .iter()
        .flat_map(|version| (0..3).map(move |index| (version, index)))
        .map(|(version, index)| ListedVm {
            vm: format!("{version}-{index}"),
            leaving: *version == "v1",
        })
        .collect();
    for index in 0..DAEMONS {
        play.fleet.event(index, NodeEvent::VmsRead(list.clone()));
    }
    play.run(ms(5_000));
    let (sent, begun) = (play.counts.sent, play.counts.begun);
    for _ in 0..40 {
        play.begin(far);
        play.run(ms(500));
    }
    play.run(ms(2_000));
    let (sent, begun) = (play.counts.sent - sent, play.counts.begun - begun);
    assert!(begun >= sent - 2, "{begun} of {sent}");
}

/// Guards against a scheduler of a large fleet that does not count as reaching most daemons.
#[rstest]
fn large_fleet_brings_the_next_split_into_use(#[values(100)] daemons: usize) {
    let mut fleet = Fleet::mixed(daemons);
    fleet.run(ms(8_000));
    set_versions(&mut fleet, &["v1"]);
    fleet.run(ms(4_000));
    for number in 1..=4u128 {
        begin_for(&mut fleet, daemons - 1, number, ms(8_000));
        fleet.run(ms(1_000));
    }
    set_versions(&mut fleet, &["v1", "v2"]);
    fleet.run(ms(8_000));
    let splits = &fleet.histories["p"].splits;
    let until: Vec<_> = splits.iter().map(|split| split.until).collect();
    let (_, earlier) = until.split_last().expect("splits");
    assert!(earlier.len() > 1 && earlier.iter().all(Option::is_some), "{until:?}");
}

/// Guards against new streams that are refused for good, since another writer's object has the name of the pool's splits.
#[test]
fn streams_begin_where_the_object_of_the_splits_cannot_be_read() {
    let mut fleet = Fleet::new(DAEMONS);
    set_versions(&mut fleet, &["v1"]);
    let unreadable =
        VersionHistory { pool: "p".into(), is_unreadable: true, ..VersionHistory::default() };
    fleet.histories.insert("p".to_string(), unreadable.clone());
    fleet.run(ms(2_000));
    let far = far_from(&fleet);
    let begun = begin_for(&mut fleet, far, 1, ms(8_000));
    assert_eq!(begun, Some("v1".to_string()));
    assert_eq!(fleet.histories["p"], unreadable, "nothing is written over it");
}
