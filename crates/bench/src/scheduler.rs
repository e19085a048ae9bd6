//! A permit among many targets and among many waiting requests.

use std::hint::black_box;
use std::time::Duration;

use curlewcleat_core::{AttemptEnd, PermitId, PermitReturn};
use curlewcleat_sched::PoolScheduler;

use crate::support::{ask, configured, daemon, resident, time_each, POOL};

fn scheduler(targets: usize, accounts: usize) -> PoolScheduler {
    configured(targets, accounts).scheduler(POOL).expect("the pool is configured")
}

pub fn targets() {
    println!(
        "targets known | ask, grant and return of one permit (ns) | resident bytes per target"
    );
    for count in [16, 64, 128, 1_000, 10_000] {
        let before = resident();
        let mut scheduler = scheduler(count, 5);
        let bytes = (resident().saturating_sub(before)) / count as u64;
        let rounds = if count > 500 { 500 } else { 20_000 };
        let each = time_each(rounds, |number| {
            let ask = ask(number, 0);
            let permit = ask.permit;
            black_box(scheduler.request_permit(Duration::ZERO, daemon(1), ask));
            let end = AttemptEnd::Whole(Duration::from_millis(500));
            let back = PermitReturn { permit, pool: POOL.to_string(), end };
            black_box(scheduler.return_permit(Duration::ZERO, &back));
        });
        println!("{count:>13} | {:>10} | {bytes:>8}", each.as_nanos());
    }
}

pub fn waiting() {
    println!("asks waiting | one more ask (ns) | one return with its grant (ns) | resident bytes per ask");
    for count in [1_000u32, 10_000, 50_000] {
        let mut scheduler = scheduler(64, 5);
        let before = resident();
        for number in 0..count + 512 {
            scheduler.request_permit(Duration::ZERO, daemon(1), ask(number, number as usize % 5));
        }
        let bytes = resident().saturating_sub(before) / u64::from(count);
        let more = time_each(1_000, |number| {
            black_box(scheduler.request_permit(
                Duration::ZERO,
                daemon(1),
                ask(count + 1_000 + number, 0),
            ));
        });
        let held: Vec<PermitId> = scheduler.permits().keys().take(500).copied().collect();
        let back = time_each(held.len() as u32, |number| {
            let end = AttemptEnd::Whole(Duration::from_millis(500));
            let back = PermitReturn { permit: held[number as usize], pool: POOL.to_string(), end };
            black_box(scheduler.return_permit(Duration::ZERO, &back));
        });
        println!("{count:>12} | {:>8} | {:>8} | {bytes:>6}", more.as_nanos(), back.as_nanos());
    }
}
