//! Streams that are taken up during a release: they go on at the version that began them.

use curlewcleat_model::{StreamFault, StreamModel, TakeUp};
use rstest::rstest;

use super::{assert_detected, assert_holds};

const JOINED: &str = "a stream went on at another version";
const WENT_ON: &str = "a stream went on";

/// A release without anything that goes wrong.
const RELEASE: StreamModel = StreamModel {
    fault: StreamFault::None,
    reported: None,
    seconds: 4,
    cuts: 0,
    standstills: 0,
    kills: 0,
    releases: 1,
    writes: 3,
    late_writes: false,
    reads_as_scheduler: false,
    writes_in_reach: false,
    knows_targets: false,
    skew: 2_000,
};
const LONG_RELEASE: StreamModel = StreamModel { seconds: 5, ..RELEASE };
const STANDSTILL: StreamModel = StreamModel { standstills: 1, seconds: 2, ..RELEASE };
const LONG_STANDSTILL: StreamModel = StreamModel { seconds: 3, ..STANDSTILL };
const KILL: StreamModel = StreamModel { kills: 1, seconds: 3, ..RELEASE };
const CUT: StreamModel = StreamModel { cuts: 1, seconds: 3, ..RELEASE };
const LATE_WRITES: StreamModel = StreamModel { late_writes: true, seconds: 3, ..RELEASE };

const READ_STANDSTILL: StreamModel = StreamModel { reads_as_scheduler: true, ..LONG_STANDSTILL };
const READ_CUT: StreamModel = StreamModel { reads_as_scheduler: true, ..CUT };
const GUARDED_CUT: StreamModel = StreamModel { writes_in_reach: true, ..READ_CUT };

// Fewer states, for what is detected.
const KNOWN_STANDSTILL: StreamModel = StreamModel { knows_targets: true, ..READ_STANDSTILL };
const KNOWN_CUT: StreamModel = StreamModel { knows_targets: true, ..GUARDED_CUT };
const LATE_KNOWN_CUT: StreamModel = StreamModel { late_writes: true, ..KNOWN_CUT };

#[rstest]
#[case::of_a_release(RELEASE)]
#[case::with_a_standstill(STANDSTILL)]
#[case::with_a_kill_of_all(KILL)]
#[case::with_late_writes(LATE_WRITES)]
fn stream_that_is_taken_up_goes_on_at_its_version(#[case] model: StreamModel) {
    assert_holds("streams", &model);
}

/// The daemon that schedules does not know whether the splits are stored that it has decided on.
#[test]
fn stream_is_not_proved_by_splits_that_a_write_may_have_replaced() {
    assert_holds("streams, own write", &LONG_RELEASE);
}

/// The product does not have this rule, see the finding for the same standstill.
#[test]
fn stream_goes_on_beside_a_standstill_where_schedulers_have_read() {
    assert_holds("streams, long standstill", &READ_STANDSTILL);
}

/// The daemon that schedules loses the store and half of the fleet after it has had the end of a split stored. The product
/// does not have the two rules that end the other findings beside a cut.
#[test]
fn stream_does_not_begin_by_a_split_whose_end_an_own_write_may_have_stored() {
    assert_holds("streams, own end", &GUARDED_CUT);
}

/// The next scheduler begins streams without the store by splits that the former one has replaced.
#[test]
fn stream_does_not_begin_by_splits_that_a_former_scheduler_replaced() {
    let model = StreamModel { reads_as_scheduler: false, ..GUARDED_CUT };
    assert_holds("streams, former scheduler", &model);
}

/// As before, although both schedulers know the targets.
#[test]
fn stream_does_not_begin_by_replaced_splits_where_targets_are_known() {
    let model = StreamModel { reads_as_scheduler: false, seconds: 5, ..KNOWN_CUT };
    assert_holds("streams, former scheduler, known targets", &model);
}

/// As before, where the former scheduler stands still afterwards.
#[test]
fn stream_does_not_begin_by_splits_replaced_before_a_standstill() {
    assert_holds("streams, former scheduler stands still", &LONG_STANDSTILL);
}

/// A daemon that is cut off from the fleet stores a split, and uses it as soon as the cut has ended.
#[test]
fn stream_goes_on_at_its_version_beside_a_cut() {
    assert_holds("streams, cut", &READ_CUT);
}

/// The write of a daemon that does not schedule any more reaches the store.
#[test]
fn stream_goes_on_at_its_version_beside_a_late_write_of_a_former_scheduler() {
    assert_holds("streams, late write of a former scheduler", &LATE_KNOWN_CUT);
}

/// Refusing all streams that are taken up would keep the invariant as well.
#[rstest]
#[case::remembered(TakeUp::Remembered, 3)]
#[case::proved_by_read(TakeUp::ProvedByRead, 8)]
#[case::proved_unread(TakeUp::ProvedUnread, 11)]
fn streams_that_are_taken_up_go_on(#[case] by: TakeUp, #[case] steps: usize) {
    let model = StreamModel { reported: Some(by), knows_targets: true, ..LONG_RELEASE };
    assert_detected(&format!("streams, {by:?}"), &model, WENT_ON, steps);
}

#[rstest]
#[case::begins_without_read(StreamFault::BeginsWithoutRead, RELEASE, 5)]
#[case::split_without_term(StreamFault::SplitWithoutTerm, RELEASE, 9)]
#[case::ends_without_term(StreamFault::EndsWithoutTerm, RELEASE, 7)]
#[case::counts_old_frames(StreamFault::CountsOldFrames, STANDSTILL, 9)]
#[case::counts_from_proof(StreamFault::CountsFromProof, KNOWN_STANDSTILL, 11)]
#[case::counts_lost_reach(StreamFault::CountsLostReach, KNOWN_CUT, 9)]
#[case::proves_beside_own_write(StreamFault::ProvesBesideOwnWrite, RELEASE, 6)]
#[case::adopts_anywhere(StreamFault::AdoptsAnywhere, READ_CUT, 8)]
#[case::adopts_after_cut(StreamFault::AdoptsAfterCut, READ_CUT, 10)]
#[case::proves_after_cut(StreamFault::ProvesAfterCut, LATE_KNOWN_CUT, 11)]
fn broken_streams_are_detected(
    #[case] fault: StreamFault,
    #[case] model: StreamModel,
    #[case] steps: usize,
) {
    let model = StreamModel { fault, ..model };
    assert_detected(&format!("streams, {fault:?}"), &model, JOINED, steps);
}
