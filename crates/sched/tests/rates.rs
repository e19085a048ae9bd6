//! Account rates: the daemons together never grant more than the rate and the burst.

use std::time::Duration;

use curlewcleat_core::{RateUnit, SharedRate};
use curlewcleat_sched::{AccountRates, RateMargin, RateRole, RateShare};

const RATE: SharedRate =
    SharedRate { per_s: 100_000, burst: 100_000, unit: RateUnit::Tokens(200), scale: 1 };
const COST: u64 = 1_000;
const MARGIN: RateMargin = RateMargin { percent: 5, units: 70_000, window: Duration::from_secs(8) };
const WHOLE: RateShare = RateShare { reached: 6, all: 6, role: RateRole::Leader };

/// Requests `COST` units every millisecond from `begin` for `duration`, and returns the units granted.
fn take_all(
    rates: &mut AccountRates,
    begin: Duration,
    duration: Duration,
    share: RateShare,
) -> u64 {
    let account = "a".to_string();
    let mut granted = 0;
    for milli in 0..duration.as_millis() as u64 {
        let now = begin + Duration::from_millis(milli);
        if rates.take(now, &account, &RATE, COST, share).is_ok() {
            granted += COST;
        }
    }
    granted
}

#[test]
fn rate_and_burst_are_granted_and_no_more() {
    let mut rates = AccountRates::default();
    let begin = Duration::from_secs(10);
    let granted = take_all(&mut rates, begin, Duration::from_secs(8), WHOLE);
    assert!(granted <= RATE.per_s * 8 + RATE.burst + COST, "{granted}");
    assert!(granted >= RATE.per_s * 8 + RATE.burst - COST, "{granted}");
}

#[test]
fn margin_is_granted_beyond_rate_and_burst() {
    let mut rates = AccountRates::new(MARGIN);
    let granted = take_all(&mut rates, Duration::from_secs(10), Duration::from_secs(8), WHOLE);
    let allowed = RATE.per_s * 8 * 105 / 100 + RATE.burst + 70_000;
    assert!(granted <= allowed + COST && granted >= allowed - COST, "{granted}");
}

#[test]
fn daemons_that_do_not_reach_each_other_grant_shares() {
    let begin = Duration::from_secs(10);
    let duration = Duration::from_secs(8);
    let mut granted = 0;
    for reached in [4, 1, 1] {
        let mut rates = AccountRates::default();
        granted += take_all(
            &mut rates,
            begin,
            duration,
            RateShare { reached, all: 6, role: RateRole::Leader },
        );
    }
    assert!(granted <= RATE.per_s * 8 + RATE.burst + 3 * COST, "{granted}");
}

#[test]
fn daemon_that_is_neither_leader_nor_deputy_grants_no_burst() {
    let mut rates = AccountRates::default();
    let share = RateShare { reached: 1, all: 6, role: RateRole::Other };
    let granted = take_all(&mut rates, Duration::from_secs(10), Duration::from_millis(10), share);
    assert!(granted <= RATE.per_s / 6 / 4 + COST, "{granted}");
}

#[test]
fn daemon_that_takes_over_grants_no_burst() {
    let mut granted = 0;
    for takeover in 0..4u64 {
        let begin = Duration::from_secs(10 + takeover * 2);
        let mut rates = AccountRates::default();
        rates.restart(begin);
        granted += take_all(&mut rates, begin, Duration::from_secs(2), WHOLE);
    }
    assert!(granted <= RATE.per_s * 8 + 4 * COST, "{granted}");
}

#[test]
fn retry_after_the_advised_wait_is_granted() {
    let mut rates = AccountRates::default();
    let account = "a".to_string();
    let now = Duration::from_secs(1);
    assert!(rates.take(now, &account, &RATE, 300_000, WHOLE).is_ok());
    let wait = rates.take(now, &account, &RATE, COST, WHOLE).expect_err("the rate is used up");
    assert!(rates.take(now + wait, &account, &RATE, COST, WHOLE).is_ok());
}

#[test]
fn refused_request_is_not_charged() {
    let mut rates = AccountRates::default();
    let account = "a".to_string();
    let now = Duration::from_secs(1);
    assert!(rates.take(now, &account, &RATE, 300_000, WHOLE).is_ok());
    rates.refund(&account, 300_000);
    assert!(rates.take(now, &account, &RATE, COST, WHOLE).is_ok());
}

#[test]
fn deputy_grants_no_more_than_the_reserve_within_a_window() {
    let mut rates = AccountRates::new(MARGIN);
    let share = RateShare { reached: 1, all: 100, role: RateRole::Deputy };
    let own_share = RATE.per_s * 8 / 100 * 105 / 100;
    let reserve = RATE.per_s * 8 * 5 / 100 + 70_000;
    // The reserve fills while nothing is requested; then more than it is requested for a whole window.
    let granted = take_all(&mut rates, Duration::from_secs(100), Duration::from_secs(8), share);
    assert!(granted <= reserve + own_share * 2 + COST, "{granted} of {reserve}");
    assert!(granted >= reserve * 9 / 10, "{granted} of {reserve}");
}

#[test]
fn reserve_of_a_new_deputy_fills_slowly() {
    let mut rates = AccountRates::new(MARGIN);
    let share = RateShare { reached: 1, all: 100, role: RateRole::Deputy };
    rates.restart(Duration::from_secs(100));
    let begin = Duration::from_millis(100_200);
    let granted = take_all(&mut rates, begin, Duration::from_millis(10), share);
    assert!(granted <= 3 * COST, "{granted}");
}

/// An account requests twice its rate for a minute. It is allowed rate and burst in every window, and is granted both
/// in each: 58 % of what it requests. A burst that is refilled only from unused units would grant 53 % (with a burst
/// and a margin of 1.7 seconds of the rate and a window of 8 seconds).
#[test]
fn account_above_its_rate_has_its_burst_once_a_window() {
    let mut rates = AccountRates::new(MARGIN);
    let account = "a".to_string();
    let begin = Duration::from_secs(100);
    let mut granted: Vec<u64> = Vec::new();
    for milli in 0..60_000u64 {
        let now = begin + Duration::from_millis(milli);
        if milli % 5 == 0 && rates.take(now, &account, &RATE, COST, WHOLE).is_ok() {
            granted.push(milli);
        }
    }
    let window = MARGIN.window.as_millis() as u64;
    let allowed = RATE.per_s * 8 * 105 / 100 + RATE.burst + MARGIN.units;
    for begin in (0..52_000).step_by(50) {
        let within =
            granted.iter().filter(|at| (begin..begin + window).contains(*at)).count() as u64;
        assert!(within * COST <= allowed + 2 * COST, "{within} from {begin} ms on");
    }
    let percent = granted.len() * 100 / 12_000;
    assert!(percent >= 57, "{percent} %");
}

/// A quarter of a request a second and a burst of one request, in units of a thousandth.
#[test]
fn rate_below_one_a_second_is_granted_and_no_more() {
    let rate = SharedRate { per_s: 250, burst: 1_000, unit: RateUnit::Request, scale: 1_000 };
    let (mut rates, account) = (AccountRates::default(), "a".to_string());
    let asked = (10_000..50_000).map(Duration::from_millis);
    let granted = asked.filter(|now| rates.take(*now, &account, &rate, rate.scale, WHOLE).is_ok());
    let granted = granted.count();
    assert!((9..=12).contains(&granted), "{granted} in 40 s");
}

/// Guards against an account with a rate and no burst that is refused always.
#[test]
fn rate_without_a_burst_is_granted() {
    let rate = SharedRate { per_s: 10, burst: 0, unit: RateUnit::Request, scale: 1 };
    let (mut rates, account) = (AccountRates::default(), "a".to_string());
    let asked = (10_000..18_000).map(Duration::from_millis);
    let granted = asked.filter(|now| rates.take(*now, &account, &rate, 1, WHOLE).is_ok()).count();
    assert!((78..=81).contains(&granted), "{granted} in 8 s");
}
