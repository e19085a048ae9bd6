//! Simulated load: how many harmless requests are refused beside targets that often terminate, and beside requests that
//! terminate them.
//!
//! The load: eighteen engines with seven slots, a hundred and ten requests per second that run for about a second, and
//! callers that repeat an interrupted request at once. When an engine terminates, the connections of all its requests
//! close; its list entry expires 3.5 s later, and the next instance starts after that.

mod crowd;
mod load;

use std::time::Duration;

use rstest::rstest;

use crowd::{Crowd, COPIES};
use load::{CrowdCount, CrowdFaults};

const SEEDS: u64 = 10;
/// Time after which lethal requests terminate their engine: as they begin to run, or after a part of the answer.
const AT_START: Duration = Duration::from_millis(80);
const AFTER_FIRST_PART: Duration = Duration::from_millis(600);

fn simulate_seeds(faults: CrowdFaults) -> CrowdCount {
    let mut sum = CrowdCount::default();
    for seed in 0..SEEDS {
        sum.add(&Crowd::new(seed, faults).run());
    }
    println!("{faults:?}: {sum:?}");
    sum
}

/// Each engine terminates for other reasons once in three minutes, and callers repeat at once: no request may be
/// refused or held.
#[test]
fn no_harmless_request_is_refused_where_terminations_are_rare() {
    let count = simulate_seeds(CrowdFaults { terminations_per_s: 0.1, ..CrowdFaults::default() });
    assert_eq!((count.held, count.refused), (0, 0), "{count:?}");
}

/// The same with engines that terminate once in 36 and in 9 seconds.
#[rstest]
#[case::one_in_two_seconds(0.5)]
#[case::two_a_second(2.0)]
fn few_harmless_requests_are_refused_where_terminations_are_common(
    #[case] terminations_per_s: f64,
) {
    let count = simulate_seeds(CrowdFaults { terminations_per_s, ..CrowdFaults::default() });
    assert!((count.held + count.refused) * 10_000 <= count.requests, "{count:?}");
}

/// Callers of lethal requests keep three copies in progress and never stop. The requests terminate their engines as
/// they begin to run, or after a part of their answer.
#[rstest]
#[case::one(1, AT_START, 3)]
#[case::three(3, AT_START, 3)]
#[case::one_that_has_begun(1, AFTER_FIRST_PART, 4)]
#[case::three_that_have_begun(3, AFTER_FIRST_PART, 4)]
fn lethal_requests_terminate_few_engines_and_few_harmless_requests_are_refused(
    #[case] lethal_requests: usize,
    #[case] work: Duration,
    #[case] terminations: usize,
) {
    let count = simulate_seeds(CrowdFaults {
        lethal_requests,
        lethal_work: work,
        terminations_per_s: 0.2,
        ..CrowdFaults::default()
    });
    // The terminations up to the limit, and those by the copies still in progress at the last one.
    assert!(
        count.terminations <= SEEDS as usize * lethal_requests * (terminations + COPIES - 1),
        "{count:?}"
    );
    assert!((count.held + count.refused) * 10_000 <= count.requests, "{count:?}");
}

/// A tenth of all connections is reset while the engines keep running, once in ten seconds.
#[test]
fn few_harmless_requests_are_held_where_connections_are_reset() {
    let count = simulate_seeds(CrowdFaults { resets_per_s: 0.1, ..CrowdFaults::default() });
    assert!((count.held + count.refused) * 10_000 <= count.requests, "{count:?}");
}

/// One request in many has a part that terminates its engine; no two of these are alike, and callers repeat them at
/// once. The others share all other parts with them.
#[rstest]
#[case::one_in_four(0.25)]
#[case::one_in_fifty(0.02)]
fn lethal_part_terminates_few_engines_and_few_harmless_requests_are_refused(#[case] share: f64) {
    let count = simulate_seeds(CrowdFaults {
        lethal_work: AT_START,
        lethal_part_share: share,
        terminations_per_s: 0.2,
        ..CrowdFaults::default()
    });
    // Lethal requests have their share of all slots when the part is held, which takes four terminations.
    let in_progress = (126.0 * share).ceil() as usize;
    assert!(count.terminations <= SEEDS as usize * (3 + in_progress), "{count:?}");
    assert!((count.held + count.refused) * 10_000 <= count.requests, "{count:?}");
}
