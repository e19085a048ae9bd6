//! What is reported about an answer whose event numbers do not rise, or leave out others.

use curlewcleat_targets::{EventSplitter, IrregularityKind, StreamIrregularity};
use rstest::rstest;

use IrregularityKind::{Fell, Gap, LeftOut};

fn answer(numbers: &[u64]) -> String {
    numbers.iter().map(|number| format!("id: {number}\ndata: a\n\n")).collect()
}

/// Guards against events that are left out without a trace in the log.
#[rstest]
#[case::rising(&[1, 2, 3, 4], &[])]
#[case::by_seven(&[7, 14, 21], &[])]
#[case::digit_more(&[1, 2, 3, 40, 5, 6], &[(Gap, 3, 40), (Fell, 40, 5)])]
#[case::repeated_without_end(&[1, 2, 3, 3, 3, 3], &[(Fell, 3, 3)])]
#[case::highest_number(&[u64::MAX, 1], &[(Fell, u64::MAX, 1)])]
fn irregular_numbers_of_an_answer_are_reported_once(
    #[case] numbers: &[u64],
    #[case] expected: &[(IrregularityKind, u64, u64)],
) {
    let expected: Vec<_> = expected
        .iter()
        .map(|(kind, last, number)| StreamIrregularity {
            kind: *kind,
            last: *last,
            number: *number,
        })
        .collect();
    let mut splitter = EventSplitter::default();
    splitter.push(answer(numbers).as_bytes());
    let found: Vec<_> = splitter.take_irregularities();
    assert!(expected.iter().all(|one| found.contains(one)), "{found:?}");
    assert_eq!(found.iter().filter(|one| one.kind != LeftOut).count(), expected.len(), "{found:?}");
    assert!(splitter.take_irregularities().is_empty());
}

#[test]
fn events_left_out_where_an_answer_starts_over_are_reported() {
    let mut splitter = EventSplitter::default();
    splitter.push(answer(&[1, 2, 3, 1, 2, 3, 4]).as_bytes());
    let expected = [
        StreamIrregularity { kind: Fell, last: 3, number: 1 },
        StreamIrregularity { kind: LeftOut, last: 1, number: 2 },
    ];
    assert_eq!(splitter.take_irregularities(), expected);
}

/// A continuation from before the position repeats events, which is no irregularity.
#[test]
fn repeated_events_of_a_continuation_are_not_reported() {
    let mut splitter = EventSplitter::default();
    splitter.push(answer(&[1, 2, 3]).as_bytes());
    splitter.discard_incomplete();
    splitter.push(answer(&[1, 2, 3, 4]).as_bytes());
    assert!(splitter.take_irregularities().is_empty());
}
