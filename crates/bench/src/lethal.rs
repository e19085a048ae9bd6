//! Costs of computing request digests, and of tracking the requests that terminate targets.

use std::hint::black_box;
use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, RequestDigest, RequestIdentity, RequestInterruption, TargetInstance,
    TargetStart,
};
use curlewcleat_sched::{InstancePresence, LethalOptions, LethalRequests};

use crate::support::{resident, time_each};

/// Number of targets in the list of the platform.
const TARGETS: usize = 10_000;

fn digest(body: &[u8]) -> RequestDigest {
    RequestIdentity { method: "POST", host: "h.example", path: "/p", caller: "a", body }.digest()
}

/// Measures the digest by length of the body, and verdict, interruption and review by the number of suspected
/// requests.
pub fn measure_lethal_requests() {
    println!("body bytes | digest (us)");
    for length in [100, 1_000, 10_000, 100_000] {
        let body = vec![7; length];
        let each = time_each(2_000, |_| {
            black_box(digest(&body));
        });
        println!("{length:>10} | {:>8.2}", each.as_secs_f64() * 1e6);
    }
    println!("suspects | verdict (us) | interruption (us) | review (us) | resident bytes");
    for suspects in [0u32, 100, 512] {
        let before = resident();
        let mut requests = LethalRequests::new(LethalOptions::default());
        let now = Duration::from_secs(10);
        for number in 0..suspects {
            record_interruption(&mut requests, now, number);
        }
        let bytes = resident().saturating_sub(before);
        let other = [digest(b"asked").into()];
        let verdict = time_each(10_000, |_| {
            black_box(requests.verdict(now, &other));
        });
        let added =
            time_each(50, |number| record_interruption(&mut requests, now, suspects + number));
        let review = time_each(100, |_| {
            black_box(requests.review(now, TARGETS, &|_| InstancePresence::Listed));
        });
        let micros = |time: Duration| time.as_secs_f64() * 1e6;
        println!(
            "{suspects:>8} | {:>8.3} | {:>8.2} | {:>8.2} | {bytes:>9}",
            micros(verdict),
            micros(added),
            micros(review)
        );
    }
}

/// Records the interruption of a request, a different one for each number.
fn record_interruption(requests: &mut LethalRequests, now: Duration, number: u32) {
    // Eight requests run at each target.
    let instance = TargetInstance {
        id: format!("target-{}", number / 8),
        start: Some(TargetStart(1_764_720_000_000)),
    };
    let interruption =
        RequestInterruption { instance, kind: InterruptionKind::Closed, begun: false };
    requests.record_interruption(now, digest(&number.to_be_bytes()).into(), interruption);
}
