//! Retries that the daemons of a fleet make together, each within its own share.

use std::time::Duration;

use curlewcleat_sched::{RetryBudget, RetryLimits};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(10);
const PERCENT: u64 = 20;
/// Time before retries are counted.
const WARM_UP: Duration = Duration::from_secs(20);
const TIME: Duration = Duration::from_secs(60);

/// The requests of all daemons together, and of which one needs a retry.
struct Load {
    requests_per_s: f64,
    retry_one_in: u32,
}

/// Returns the shares of the wanted retries that the daemons make, in percent, and the most in a window beyond those that its
/// requests allow, while each request reaches any of the daemons.
fn play(daemons: usize, extra: u64, load: &Load) -> (f64, i64) {
    let limits = RetryLimits { percent: PERCENT, extra, shared: true, window: WINDOW };
    let new = |_| RetryBudget::new(limits, daemons as u64);
    let mut budgets: Vec<RetryBudget> = (0..daemons).map(new).collect();
    let mut random = StdRng::seed_from_u64(1);
    let (mut wanted, mut granted, mut pending) = (0u64, 0u64, 0.0);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = Duration::ZERO;
    while now < WARM_UP + TIME {
        pending += load.requests_per_s * STEP.as_secs_f64();
        while pending >= 1.0 {
            pending -= 1.0;
            let budget = &mut budgets[random.random_range(0..daemons)];
            budget.count_request(now);
            requests.push(now);
            if now < WARM_UP || random.random_range(0..load.retry_one_in) > 0 {
                continue;
            }
            wanted += 1;
            if budget.try_spend(now) {
                granted += 1;
                retries.push(now);
            }
        }
        now += STEP;
    }
    let within = |times: &[Duration], begin: Duration| {
        times.iter().filter(|at| **at >= begin && **at < begin + WINDOW).count() as i64
    };
    let begins =
        (0..=(TIME - WINDOW).as_secs()).map(|second| WARM_UP + Duration::from_secs(second));
    let excess = begins
        .map(|begin| within(&retries, begin) - within(&requests, begin) * PERCENT as i64 / 100);
    (granted as f64 * 100.0 / wanted as f64, excess.max().unwrap_or_default())
}

/// Guards against shares that add up to more than the limit of a fleet.
#[rstest]
#[case::six(6, 52, 153.6)]
#[case::hundred_and_ten(110, 285, 618.8)]
#[case::three_hundred(295, 630, 1_168.0)]
#[case::thousand(1_100, 2_310, 91_000.0)]
fn retries_of_all_daemons_stay_within_the_limit(
    #[case] daemons: usize,
    #[case] extra: u64,
    #[case] requests_per_s: f64,
) {
    for retry_one_in in [50, 10, 5, 2] {
        let (granted, excess) = play(daemons, extra, &Load { requests_per_s, retry_one_in });
        println!("{daemons} daemons, a retry for one in {retry_one_in}: {granted:.1} % granted");
        println!("{excess} of {extra} beyond those that the requests allow");
        assert!(excess <= extra as i64, "{excess} retries beyond those of the requests");
    }
}
