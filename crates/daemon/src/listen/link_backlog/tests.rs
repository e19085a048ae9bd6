//! Tests of the connections that are closed unread where the link of the VM is full.
//!
//! Owns: replays of arrivals on a link of 10 Mbit/s. Relies on: nothing.

use std::collections::VecDeque;
use std::time::Duration;

use curlewcleat_clock::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::LinkBacklog;

const LINK: u64 = 1_250_000;
const LIMIT: Duration = Duration::from_millis(125);
const LARGE: u64 = 20_000;
const SMALL: u64 = 500;
/// Time from a connection to its head.
const HEAD_TIME: Duration = Duration::from_millis(20);

/// Counts of a replay.
#[derive(Debug, Default)]
struct ReplayCounts {
    read: u64,
    read_bytes: u64,
    closed: u64,
}

/// Replays independent arrivals, half of them with a large body.
fn replay(rate: f64, time: Duration, seed: u64) -> ReplayCounts {
    let (mut random, begun) = (StdRng::seed_from_u64(seed), Moment::now());
    let mut backlog = LinkBacklog::new(LINK, begun);
    let (mut counts, mut at) = (ReplayCounts::default(), Duration::ZERO);
    let mut heads: VecDeque<(Duration, u64, f64)> = VecDeque::new();
    while at < time {
        at += Duration::from_secs_f64(-random.random_range(f64::MIN_POSITIVE..1.0).ln() / rate);
        while heads.front().is_some_and(|(head_at, ..)| *head_at <= at) {
            let (head_at, size, expected) = heads.pop_front().expect("there is a head");
            backlog.record_request(begun + head_at, size, expected, LIMIT);
        }
        let size = if random.random_range(0..2) == 0 { LARGE } else { SMALL };
        let Some(expected) = backlog.admit(begun + at, LIMIT) else {
            counts.closed += 1;
            continue;
        };
        counts.read += 1;
        counts.read_bytes += size;
        heads.push_back((at + HEAD_TIME, size, expected));
    }
    counts
}

/// Guards against bodies that arrive late because more of them are read than the link carries.
#[test]
fn bodies_that_are_read_in_a_crowd_fit_the_link() {
    let time = Duration::from_secs(10);
    let counts = replay(420.0, time, 1);
    let carried = LINK * time.as_secs();
    assert!(counts.read_bytes <= carried, "{counts:?}");
    assert!(counts.read_bytes >= carried / 2, "{counts:?}");
}

/// Guards against connections that are closed although the link has room.
#[test]
fn no_connection_is_closed_while_half_of_the_link_is_used() {
    for seed in 1..=10 {
        let counts = replay(60.0, Duration::from_secs(100), seed);
        assert_eq!(counts.closed, 0, "seed {seed}: {counts:?}");
    }
}

/// Guards against a burst of which a part is closed although the link carries it within twice the limit.
#[test]
fn short_burst_of_large_bodies_is_read_whole() {
    let begun = Moment::now();
    let mut backlog = LinkBacklog::new(LINK, begun);
    for round in 0..100 {
        let now = begun + LIMIT * 3 * round;
        for number in 1..=15 {
            let expected = backlog.admit(now, LIMIT);
            let expected = expected.unwrap_or_else(|| panic!("round {round} connection {number}"));
            backlog.record_request(now, LARGE, expected, LIMIT);
        }
    }
}

/// Guards against a daemon that reads nothing while the packets of those that it closes fill the link.
#[test]
fn crowd_that_fills_the_link_with_first_packets_is_read_in_part() {
    let counts = replay(5_000.0, Duration::from_secs(10), 1);
    assert!(counts.read >= 79, "{counts:?}");
}

/// Guards against a slow caller with a large body that keeps others from a link that it does not fill.
#[test]
fn large_body_of_a_slow_caller_leaves_the_link_to_others() {
    let now = Moment::now();
    let mut backlog = LinkBacklog::new(LINK, now);
    let expected = backlog.admit(now, LIMIT).expect("the link is free");
    backlog.record_request(now, 100 * LARGE, expected, LIMIT);
    for number in 1..=3 {
        assert!(backlog.admit(now, LIMIT).is_some(), "connection {number}");
    }
}

/// Guards against requests without a body that fill the link by their expected size.
#[test]
fn requests_smaller_than_expected_give_back_their_share() {
    let now = Moment::now();
    let mut backlog = LinkBacklog::new(LINK, now);
    for _ in 0..100 {
        backlog.record_request(now, LARGE, 0.0, LIMIT);
    }
    let now = now + Duration::from_secs(10);
    for number in 1..=1_000 {
        let expected = backlog.admit(now, LIMIT).unwrap_or_else(|| panic!("connection {number}"));
        backlog.record_request(now, 0, expected, LIMIT);
    }
}
