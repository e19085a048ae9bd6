//! What is booked for the returns of refused requests stays within its room, and is redeemed by those who return as advised.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::Uptime;
use curlewcleat_sched::{ReturnBook, ReturnClaim, SliceRoom, HORIZON_SLICES, SLICE};
use proptest::prelude::*;
use rstest::rstest;

/// Callers return after no more than a third of the time that they have, which is this at the users' longest deadline.
const LONGEST_RETURN: Duration = Duration::from_secs(5);
const ROOM: SliceRoom = SliceRoom { urgency: 1_000, all: 1_500 };

fn claim(account: &str, work: u64) -> ReturnClaim {
    ReturnClaim { urgency: (0, 0), account: account.to_string(), work }
}

fn start_of(slice: u64) -> Uptime {
    SLICE * u32::try_from(slice).expect("a slice of this test")
}

#[rstest]
#[case::early(-1, false)]
#[case::in_its_slice(0, true)]
#[case::late(4, true)]
#[case::too_late(5, false)]
fn return_is_redeemed_in_its_slice_or_soon_after(#[case] slices: i64, #[case] redeemed: bool) {
    let mut book = ReturnBook::default();
    assert!(book.book(400, &claim("a", 100), ROOM));
    let slice = 400u64.checked_add_signed(slices).expect("a slice");
    assert_eq!(book.redeem(start_of(slice), &claim("a", 100)), redeemed);
}

/// A caller that returns several times uses up what is booked for its own account, and nothing of the others.
#[test]
fn caller_that_returns_several_times_costs_other_accounts_nothing() {
    let mut book = ReturnBook::default();
    assert!(book.book(400, &claim("a", 100), ROOM));
    assert!(book.book(400, &claim("b", 100), ROOM));
    let redeemed = (0..10).filter(|_| book.redeem(start_of(400), &claim("a", 100))).count();
    assert_eq!(redeemed, 1);
    assert!(book.redeem(start_of(400), &claim("b", 100)));
}

#[test]
fn account_that_floods_books_at_most_half_of_a_slice() {
    let mut book = ReturnBook::default();
    let booked = (0..100).filter(|_| book.book(400, &claim("flood", 100), ROOM)).count();
    assert_eq!(booked, 5);
    assert!(book.book(400, &claim("usual", 100), ROOM));
}

#[test]
fn book_is_bounded_and_forgets_what_is_not_redeemed() {
    let mut book = ReturnBook::default();
    let wide = SliceRoom { urgency: u64::MAX, all: u64::MAX };
    let booked = (0..100_000u32)
        .filter(|number| book.book(400, &claim(&number.to_string(), 1), wide))
        .count();
    assert_eq!(booked, 16_384);
    assert!(!book.redeem(start_of(500), &claim("0", 1)));
    assert_eq!(book.remaining(start_of(500)), 0);
    assert!(book.book(501, &claim("new", 1), wide));
}

proptest! {
    /// What is booked in a slice never exceeds its room, whoever returns, and however often.
    #[test]
    fn booked_work_is_never_more_than_the_room_of_a_slice(
        steps in prop::collection::vec((0u64..6, 0u8..3, 0u8..3, 1u64..400, any::<bool>()), 1..200)
    ) {
        let mut book = ReturnBook::default();
        let mut booked: BTreeMap<u64, u64> = BTreeMap::new();
        for (slice, urgency, account, work, redeems) in steps {
            let claim = ReturnClaim {
                urgency: (0, urgency),
                account: account.to_string(),
                work,
            };
            if redeems {
                book.redeem(start_of(slice), &claim);
            } else if book.book(slice + 10, &claim, ROOM) {
                *booked.entry(slice + 10).or_default() += work;
            }
        }
        prop_assert!(booked.values().all(|work| *work <= ROOM.all), "{booked:?}");
    }
}

#[test]
fn horizon_covers_the_longest_return() {
    let longest = SLICE * u32::try_from(HORIZON_SLICES).expect("a number of slices");
    assert!(longest >= LONGEST_RETURN, "callers return within {longest:?}");
}

/// Callers may state any length.
#[test]
fn enormous_work_is_not_booked() {
    let mut book = ReturnBook::default();
    assert!(book.book(400, &claim("a", 100), ROOM));
    assert!(!book.book(400, &claim("b", u64::MAX), ROOM));
    assert!(!book.book(400, &claim("a", u64::MAX - 50), ROOM));
}

/// Without this, a book to which nobody returns fills up and books nothing more.
#[test]
fn book_forgets_the_past_although_nobody_returns() {
    let mut book = ReturnBook::default();
    let wide = SliceRoom { urgency: u64::MAX, all: u64::MAX };
    for number in 0..20_000u32 {
        book.book(400, &claim(&number.to_string(), 1), wide);
    }
    assert!(!book.book(500, &claim("new", 1), wide));
    book.forget_past(start_of(499));
    assert!(book.book(500, &claim("new", 1), wide));
}
