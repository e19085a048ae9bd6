//! The release of what a daemon holds for slow readers, however its holders end.

use curlewcleatd::byte_budget::ledger::{BUDGET_PERCENT, LARGE_BODY};
use curlewcleatd::byte_budget::levels::REFUSE_PERCENT;
use curlewcleatd::byte_budget::{
    BodyDecision, BodyOffer, ByteHold, ByteOwner, CallerReader, PressureLevel, SharedBudget,
};
use proptest::prelude::*;

const MEMORY: u64 = 112 << 20;
const BUDGET: u64 = MEMORY / 100 * BUDGET_PERCENT;
/// Bytes of a connection.
const CONNECTION: u64 = 16 << 10;
/// Size limit of bodies.
const BODY: u64 = 1 << 20;

fn percent(percent: u64) -> u64 {
    BUDGET / 100 * percent
}

fn offer(size: u64, lowest_tier: bool) -> BodyOffer {
    BodyOffer { lowest_tier, size, uncounted: size }
}

fn held(budget: &SharedBudget) -> u64 {
    budget.status().total
}

#[test]
fn everything_is_released_when_a_caller_leaves() {
    let budget = SharedBudget::new(MEMORY);
    let reader = CallerReader::open(&budget);
    let waker = futures_util::task::noop_waker();
    reader.record_write(0, 40_000, &waker);
    let request = budget.hold(ByteOwner::Request, 8 << 10);
    let body = budget.offer_body(offer(BODY, true)).expect("there is room");
    // The connection's buffer has the next power of two of 40,000 bytes.
    assert_eq!(held(&budget), CONNECTION + (64 << 10) + (8 << 10) + BODY);
    // A request may outlive its connection for a moment.
    let shared = reader.clone();
    reader.close();
    assert_eq!(held(&budget), (8 << 10) + BODY);
    drop((request, body, shared));
    assert_eq!(held(&budget), 0);
}

#[test]
fn refused_body_holds_nothing() {
    let budget = SharedBudget::new(MEMORY);
    let others = budget.hold(ByteOwner::Answer, percent(REFUSE_PERCENT));
    assert_eq!(budget.offer_body(offer(BODY, false)).err(), Some(BodyDecision::Refuse));
    let mut begun = budget.hold(ByteOwner::Body, LARGE_BODY);
    let more = BodyOffer { lowest_tier: false, size: LARGE_BODY + 1, uncounted: 1 };
    assert_eq!(budget.grow_body(&mut begun, more), BodyDecision::Refuse);
    assert_eq!(begun.bytes(), LARGE_BODY);
    begun.close();
    others.close();
    assert_eq!(held(&budget), 0);
}

/// A use of a guard.
#[derive(Clone, Debug)]
enum HoldStep {
    Hold(usize, u64),
    Grow(usize, u64),
    Shrink(usize, u64),
    Resize(usize, u64),
    Close(usize),
    OpenReader,
    Write(usize, u64, u64),
    CloseReader(usize),
}

fn hold_step() -> impl Strategy<Value = HoldStep> {
    let bytes = 0..4_000_000u64;
    prop_oneof![
        (0..ByteOwner::ALL.len(), bytes.clone()).prop_map(|(owner, n)| HoldStep::Hold(owner, n)),
        (any::<usize>(), bytes.clone()).prop_map(|(hold, n)| HoldStep::Grow(hold, n)),
        (any::<usize>(), bytes.clone()).prop_map(|(hold, n)| HoldStep::Shrink(hold, n)),
        (any::<usize>(), bytes.clone()).prop_map(|(hold, n)| HoldStep::Resize(hold, n)),
        any::<usize>().prop_map(HoldStep::Close),
        Just(HoldStep::OpenReader),
        (any::<usize>(), bytes.clone(), bytes)
            .prop_map(|(reader, a, u)| HoldStep::Write(reader, a, u)),
        any::<usize>().prop_map(HoldStep::CloseReader),
    ]
}

/// Applies a step to one of the guards, if there is one.
fn apply(
    budget: &SharedBudget,
    step: HoldStep,
    holds: &mut Vec<ByteHold>,
    readers: &mut Vec<CallerReader>,
) {
    let count = holds.len();
    let mut change = |index: usize, change: &dyn Fn(&mut ByteHold)| {
        if count > 0 {
            change(&mut holds[index % count]);
        }
    };
    match step {
        HoldStep::Hold(owner, bytes) => holds.push(budget.hold(ByteOwner::ALL[owner], bytes)),
        HoldStep::Grow(hold, bytes) => change(hold, &|held| held.grow(bytes)),
        HoldStep::Shrink(hold, bytes) => change(hold, &|held| held.shrink(bytes)),
        HoldStep::Resize(hold, bytes) => change(hold, &|held| held.resize(bytes)),
        HoldStep::Close(hold) if count > 0 => holds.swap_remove(hold % count).close(),
        HoldStep::OpenReader => readers.push(CallerReader::open(budget)),
        HoldStep::Write(reader, accepted, unread) if !readers.is_empty() => {
            let waker = futures_util::task::noop_waker();
            readers[reader % readers.len()].record_write(accepted, unread, &waker);
        }
        HoldStep::CloseReader(reader) if !readers.is_empty() => {
            readers.swap_remove(reader % readers.len()).close();
        }
        HoldStep::Close(_) | HoldStep::Write(..) | HoldStep::CloseReader(_) => {}
    }
}

proptest! {
    #[test]
    fn nothing_leaks_whatever_order_holders_end_in(
        steps in prop::collection::vec(hold_step(), 1..120)
    ) {
        let budget = SharedBudget::new(MEMORY);
        let (mut holds, mut readers) = (Vec::new(), Vec::new());
        for step in steps {
            apply(&budget, step, &mut holds, &mut readers);
            let status = budget.status();
            let by_owner: u64 = status.held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(status.total, by_owner);
            let guarded: u64 = holds.iter().map(ByteHold::bytes).sum();
            prop_assert!(status.total >= guarded + readers.len() as u64 * CONNECTION);
        }
        holds.clear();
        // Some connections are closed, the state of the others is dropped.
        if let Some(reader) = readers.pop() {
            reader.close();
        }
        readers.clear();
        prop_assert_eq!(budget.status().total, 0);
        prop_assert_eq!(budget.status().level, PressureLevel::Calm);
    }
}
