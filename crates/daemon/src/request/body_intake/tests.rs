//! A body of the lowest tier that has to wait, and bodies that turn out to be larger than there is memory for.
//!
//! Relies on: nothing outside the process; the clock is the runtime's.

use std::time::Duration;

use rstest::rstest;

use super::*;
use crate::byte_budget::{ByteOwner, PressureLevel};

const MEMORY: u64 = 112 << 20;
const BODY: u64 = 1 << 20;

fn intake(budget: &SharedBudget, wait_limit: Duration) -> BodyIntake {
    let request = RequestId::now_v7();
    BodyIntake { budget: budget.clone(), request, lowest_tier: true, wait_limit }
}

/// Holds this share of the budget.
fn hold_percent(budget: &SharedBudget, percent: u64) -> ByteHold {
    budget.hold(ByteOwner::Answer, budget.status().budget / 100 * percent)
}

#[actix_rt::test]
async fn waiting_body_is_admitted_as_soon_as_the_level_falls() {
    let budget = SharedBudget::new(MEMORY);
    let others = hold_percent(&budget, 65);
    let intake = intake(&budget, Duration::from_secs(60));
    let release = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        others.close();
    };
    let (admitted, ()) = future::join(intake.admit(BODY), release).await;
    assert_eq!(admitted.map(|held| held.bytes()).ok(), Some(BODY));
    let status = budget.status();
    assert_eq!((status.total, status.level), (0, PressureLevel::Calm));
    assert_eq!((status.counts.bodies_paused, status.counts.bodies_refused), (1, 0));
}

#[actix_rt::test]
async fn waiting_body_is_refused_after_its_limit_and_holds_nothing() {
    let budget = SharedBudget::new(MEMORY);
    let others = hold_percent(&budget, 65);
    let intake = intake(&budget, Duration::from_millis(20));
    let error = intake.admit(BODY).await.err();
    assert_eq!(error, Some(BodyError::NoRoom));
    let refusal = intake.refusal(BodyError::NoRoom, BODY);
    assert!(refusal.retry_after.is_some() && !refusal.verdict.may_have_run());
    assert_eq!(budget.status().total, others.bytes());
    let counts = budget.status().counts;
    assert_eq!((counts.bodies_paused, counts.bodies_refused), (1, 1));
}

#[rstest]
#[case::calm(0, Ok(()))]
#[case::bodies_wait(65, Ok(()))]
#[case::large_bodies_are_refused(76, Err(BodyError::NoRoom))]
#[actix_rt::test]
async fn body_of_unknown_length_is_counted_as_it_arrives(
    #[case] percent: u64,
    #[case] expected: Result<(), BodyError>,
) {
    let budget = SharedBudget::new(MEMORY);
    let others = hold_percent(&budget, percent);
    let intake = intake(&budget, Duration::ZERO);
    let mut held = intake.admit(0).await.expect("the beginning is small");
    assert_eq!(intake.grow(&mut held, 60_000), Ok(()));
    assert_eq!(intake.grow(&mut held, BODY), expected);
    let bytes = if expected.is_ok() { BODY } else { 60_000 };
    assert_eq!(budget.status().total, others.bytes() + bytes);
}
