//! When connections have gone silent together.
//!
//! What happened: fourteen daemons' open connections went silent, those to engines too. Each daemon found out for
//! each engine by itself, with a request that waited three seconds: of 26 requests that were sent from 2.5 s after
//! the last fault on, 12 were served (soak, --daemons 14 --seconds 6 --extra silence, seed 7302).

use std::time::{Duration, Instant};

use curlewcleat_peers::SilenceCounter;

const WINDOW: Duration = Duration::from_secs(2);

#[test]
fn two_peers_within_the_window_count_once() {
    let start = Instant::now();
    let mut counter = SilenceCounter::new(WINDOW);
    assert!(!counter.note(start, "a", 5));
    assert!(!counter.note(start, "a", 5), "the same one again");
    assert!(counter.note(start + WINDOW / 4, "b", 5));
    assert!(!counter.note(start + WINDOW / 2, "c", 5));
    assert!(!counter.note(start + WINDOW, "d", 5));
    let later = start + WINDOW * 4;
    assert!(!counter.note(later, "a", 5));
    assert!(counter.note(later, "b", 5));
}

#[test]
fn peers_that_end_one_after_the_other_do_not_count() {
    let start = Instant::now();
    let mut counter = SilenceCounter::new(WINDOW);
    for (number, address) in ["a", "b", "c"].into_iter().enumerate() {
        assert!(!counter.note(start + WINDOW * number as u32, address, 5));
    }
}

#[test]
fn only_peer_counts_alone() {
    assert!(SilenceCounter::new(WINDOW).note(Instant::now(), "a", 1));
}
