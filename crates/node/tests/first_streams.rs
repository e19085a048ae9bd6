//! Streams that callers take up while no split is old enough to prove their version: the first ones of a fleet or of a
//! pool.

mod support;

use std::time::Duration;

use curlewcleat_core::RefusalReason;
use rstest::rstest;

use support::streams::{
    begin, end, fleet_of, set_versions, take_up_after, DECISION_LIMIT, FORGOTTEN_AFTER,
};
use support::Fleet;

/// Configuration of a fleet that has no pool yet.
const WITHOUT_POOL: &str = "[tier t0]\nrank = 0\n[account a]\n\
    token_sha256 = 2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\n\
    shared_rate_per_s = 1000\n";
const STREAMS: u128 = 14;
/// Distance between two daemons that begin streams one after the other.
const STRIDE: usize = 7;

/// Begins streams at many daemons one after the other and takes up each at another daemon; returns those refused.
fn refused_streams(fleet: &mut Fleet) -> Vec<(u128, RefusalReason)> {
    let daemons = fleet.daemons.len();
    let mut refused = Vec::new();
    for number in 1..=STREAMS {
        let entry = number as usize * STRIDE % daemons;
        let version = begin(fleet, entry, number);
        let other = (entry + daemons / 2) % daemons;
        match take_up_after(fleet, other, number, DECISION_LIMIT) {
            Ok(at) => assert_eq!(at, version, "{number}"),
            Err(reason) => refused.push((number, reason)),
        }
        fleet.finish(entry, number);
        fleet.finish(other, 1_000_000 + number);
    }
    refused
}

/// Guards against the first streams of a large fleet that only the daemon knows which began them.
#[rstest]
#[case::few(6)]
#[case::twenty_four(24)]
#[case::many(60)]
fn first_streams_of_a_fleet_are_refused_as_unknown(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let refused = refused_streams(&mut fleet);
    println!("{} of {STREAMS} refused: {refused:?}", refused.len());
    assert_eq!(refused, []);
}

/// Guards against the first streams of a pool that a configuration has added to a large fleet.
#[test]
fn first_streams_of_an_added_pool_are_refused_as_unknown() {
    let mut fleet = Fleet::new(24);
    let with_pool = std::mem::replace(&mut fleet.config, WITHOUT_POOL.to_string());
    fleet.generation += 1;
    set_versions(&mut fleet, &["v1"]);
    fleet.run(FORGOTTEN_AFTER);
    (fleet.config, fleet.generation) = (with_pool, fleet.generation + 1);
    fleet.run(Duration::from_secs(2));
    let refused = refused_streams(&mut fleet);
    println!("{} of {STREAMS} refused: {refused:?}", refused.len());
    assert_eq!(refused, []);
}

/// Guards against the first streams of a fleet that are lost with the daemon that began them.
#[test]
fn first_streams_of_a_daemon_that_has_ended_are_refused_as_unknown() {
    let mut fleet = fleet_of(24);
    let candidates = fleet.candidates();
    let entry = (0..24).rev().find(|index| !candidates.contains(index)).expect("one");
    let begun: Vec<_> = (1..=4).map(|number| (number, begin(&mut fleet, entry, number))).collect();
    end(&mut fleet, &[entry]);
    let other = (0..24).find(|index| *index != entry).expect("one");
    for (number, version) in begun {
        assert_eq!(take_up_after(&mut fleet, other, number, DECISION_LIMIT * 4), Ok(version));
    }
}

/// Guards against a stream that goes on at another version, since the platform was restored from a copy without splits.
#[test]
fn stream_is_joined_after_the_platform_has_lost_the_splits() {
    let mut fleet = fleet_of(6);
    begin(&mut fleet, 5, 1);
    fleet.run(FORGOTTEN_AFTER);
    let begun_at = fleet.now;
    assert_eq!(begin(&mut fleet, 5, 2), "v1");
    fleet.histories.clear();
    set_versions(&mut fleet, &["v2"]);
    fleet.daemons.iter_mut().for_each(|daemon| daemon.cut = true);
    fleet.run(DECISION_LIMIT);
    (0..6).for_each(|index| fleet.restart(index, 2));
    fleet.run(Duration::from_secs(2));
    assert_eq!(begin(&mut fleet, 4, 3), "v2");
    let age = fleet.now - begun_at;
    let taken_up = take_up_after(&mut fleet, 1, 2, age);
    assert_eq!(taken_up, Err(RefusalReason::StreamVersionUnknown));
}
