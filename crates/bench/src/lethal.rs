//! Costs of computing request digests, and of tracking the requests that terminate targets.

use std::hint::black_box;
use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, PoolHash, RequestDigest, RequestFeature, RequestIdentity,
    RequestInterruption, SharedParts, TargetInstance, TargetStart,
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

/// Measures the features of a prompt's shared parts by their number, and the verdict and the record of an answer that
/// begins by the number of suspected parts.
pub fn measure_lethal_parts() {
    println!("shared parts | features (us)");
    for count in [0, 2, 10, 16] {
        let ids: Vec<String> = (0..count).map(|number| format!("{number:08x}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let each = time_each(2_000, |_| {
            black_box(features(&ids));
        });
        println!("{count:>12} | {:>8.2}", each.as_secs_f64() * 1e6);
    }
    println!("suspect parts | verdict (us) | answer begins (us) | interruption (us)");
    let asked = features(&["a", "b", "c"]);
    let pool = PoolHash::of("pool");
    let now = Duration::from_secs(10);
    for suspects in [0u32, 100, 512] {
        let mut requests = LethalRequests::new(LethalOptions::default());
        for number in 0..suspects / 2 {
            interrupt_part(&mut requests, now, number);
        }
        let verdict = time_each(10_000, |_| {
            black_box(requests.verdict(now, &asked));
        });
        let begun = time_each(10_000, |_| {
            black_box(requests.record_begun(now, pool, &asked));
        });
        let added = time_each(50, |number| interrupt_part(&mut requests, now, suspects + number));
        let micros = |time: Duration| time.as_secs_f64() * 1e6;
        println!(
            "{suspects:>13} | {:>8.3} | {:>8.2} | {:>8.2}",
            micros(verdict),
            micros(begun),
            micros(added)
        );
    }
}

fn features(ids: &[&str]) -> Vec<RequestFeature> {
    SharedParts { pool: "pool", account: Some("account"), ids }.features()
}

/// Records the interruption of a request with one part, a different one for each number.
fn interrupt_part(requests: &mut LethalRequests, now: Duration, number: u32) {
    let instance = TargetInstance { id: format!("target-{number}"), start: Some(TargetStart(1)) };
    let interruption =
        RequestInterruption { instance, kind: InterruptionKind::Closed, begun: false };
    requests.record_interruptions(now, &features(&[&number.to_string()]), &interruption);
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
