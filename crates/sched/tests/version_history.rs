//! The versions at which new streams begin, and what proves the version of a stream that no daemon remembers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    StreamId, VersionDigest, VersionHistory, VersionSplit, WallTime, SPLIT_SLOTS,
};
use curlewcleat_sched::{
    choose_version, confirm_last_split, prove_version, revise_history, SplitChoice, VersionWeights,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Time that callers have for a stream.
const TIMEOUT: Duration = Duration::from_secs(12);
/// When the callers of these tests take up a stream, by the wall clock.
const NOW: WallTime = at(1_000);

const fn at(seconds: u64) -> WallTime {
    Duration::from_secs(seconds)
}

fn version(name: &str) -> VersionDigest {
    VersionDigest::of(Some(&name.to_string()))
}

fn stream(number: u64) -> StreamId {
    StreamId::new("p", "a", &number.to_string())
}

fn weights(targets: &[(&str, u64)]) -> VersionWeights {
    targets.iter().map(|(name, count)| (version(name), *count)).collect()
}

/// Returns the history of a pool whose targets changed at these times. Each split came into use at once.
fn history(changes: &[(u64, &[(&str, u64)])]) -> VersionHistory {
    let mut history = VersionHistory::default();
    for (time, targets) in changes {
        history = settled(history, at(*time), &weights(targets));
    }
    history
}

fn proved_version(
    history: &VersionHistory,
    stream: Option<&StreamId>,
    now: WallTime,
    time_left: Option<Duration>,
) -> Option<VersionDigest> {
    prove_version(history, stream, now, time_left).version()
}

/// Stores what has to change until nothing does.
fn settled(mut history: VersionHistory, now: WallTime, weights: &VersionWeights) -> VersionHistory {
    while let Some(revised) = revise_history(&history, now, weights, false, TIMEOUT)
        .or_else(|| confirm_last_split(&history, now))
    {
        history = revised;
    }
    history
}

#[rstest]
#[case::nothing_stored(&[], None)]
#[case::one_version(&[(1, &[("v1", 4)][..])], Some("v1"))]
#[case::stored_after_it_can_have_begun(&[(996, &[("v1", 4)][..])], None)]
#[case::replaced_since_it_can_have_begun(&[(1, &[("v1", 4)][..]), (995, &[("v2", 4)])], None)]
#[case::replaced_before_it_can_have_begun(&[(1, &[("v1", 4)][..]), (980, &[("v2", 4)])], Some("v2"))]
#[case::replaced_just_now(&[(1, &[("v1", 4)][..]), (1_000, &[("v2", 4)])], None)]
#[case::clock_of_the_daemon_ahead(&[(1, &[("v1", 4)][..]), (1_004, &[("v2", 4)])], None)]
#[case::came_and_went(&[(1, &[("v1", 4)][..]), (993, &[("v2", 4)]), (995, &[("v1", 4)])], None)]
#[case::no_targets_left(&[(1, &[("v1", 4)][..]), (995, &[])], Some("v1"))]
fn stream_that_no_daemon_remembers_has_the_only_version_that_can_have_begun_it(
    #[case] changes: &[(u64, &[(&str, u64)])],
    #[case] expected: Option<&str>,
) {
    let time_left = Some(Duration::from_secs(8));
    let proved = proved_version(&history(changes), Some(&stream(1)), NOW, time_left);
    assert_eq!(proved, expected.map(version));
    let unnamed = proved_version(&history(changes), None, NOW, time_left);
    assert_eq!(unnamed, expected.map(version));
}

#[test]
fn nothing_is_proved_without_the_time_that_is_left_or_the_longest_timeout() {
    let history = history(&[(1, &[("v1", 4)])]);
    assert_eq!(proved_version(&history, Some(&stream(1)), NOW, None), None);
    let without_timeout = VersionHistory { longest_timeout: None, ..history };
    assert_eq!(proved_version(&without_timeout, Some(&stream(1)), NOW, Some(TIMEOUT)), None);
}

#[test]
fn stream_beside_two_versions_is_proved_by_its_slot() {
    let history = history(&[(1, &[("v1", 4)]), (900, &[("v1", 4), ("v2", 4)])]);
    let split = history.splits.last().expect("a split");
    let mut versions = BTreeSet::new();
    for number in 0..200 {
        let proved = proved_version(&history, Some(&stream(number)), NOW, Some(TIMEOUT));
        assert_eq!(proved, split.version_of(&stream(number)));
        versions.extend(proved);
    }
    assert_eq!(versions.len(), 2);
    assert_eq!(proved_version(&history, None, NOW, Some(TIMEOUT)), None, "not named");
}

#[test]
fn streams_of_slots_that_keep_their_version_are_proved_beside_a_change() {
    let history = history(&[(1, &[("v1", 18)]), (999, &[("v1", 14), ("v2", 4)])]);
    let [_, before, after] = history.splits.as_slice() else { panic!("{history:?}") };
    let mut proved_streams = 0;
    for number in 0..200 {
        let stream = stream(number);
        let same = before.version_of(&stream) == after.version_of(&stream);
        let proved = proved_version(&history, Some(&stream), NOW, Some(TIMEOUT));
        assert_eq!(proved.is_some(), same);
        proved_streams += usize::from(same);
    }
    assert!(proved_streams > 120, "{proved_streams}");
}

#[test]
fn open_split_proves_nothing_beside_two_versions() {
    let weights = weights(&[("v1", 4), ("v2", 4)]);
    let open = revise_history(&VersionHistory::default(), at(1), &weights, true, TIMEOUT);
    let open = open.expect("a history");
    assert_eq!(open.splits[0].version_of(&stream(1)), None);
    assert_eq!(proved_version(&open, Some(&stream(1)), NOW, Some(TIMEOUT)), None);
}

/// Guards against streams that a version of few targets begins by an open split, and that another version is proved for.
#[rstest]
#[case::one_target_of_many(&[("v1", 99), ("v2", 1)])]
#[case::several(&[("v1", 97), ("v2", 1), ("v3", 2)])]
fn open_split_names_every_version_with_targets(#[case] targets: &[(&str, u64)]) {
    let weights = weights(targets);
    let first = revise_history(&VersionHistory::default(), at(1), &weights, true, TIMEOUT);
    let first = first.expect("a history");
    let later = revise_history(&history(&[(1, &[("v1", 99)])]), at(2), &weights, true, TIMEOUT);
    for history in [first, later.expect("another split")] {
        let named = history.splits.last().expect("a split").candidates(None);
        assert_eq!(named, weights.keys().copied().collect());
    }
}

/// Guards against a store that is written for each target that fails and returns, and for each request.
#[rstest]
#[case::same_targets(&[("v1", 9), ("v2", 9)], 12, None)]
#[case::one_target_less(&[("v1", 8), ("v2", 9)], 12, None)]
#[case::shorter_timeout(&[("v1", 9), ("v2", 9)], 3, None)]
#[case::no_targets(&[], 12, None)]
#[case::longer_timeout(&[("v1", 9), ("v2", 9)], 13, Some(2))]
#[case::another_share(&[("v1", 5), ("v2", 13)], 12, Some(3))]
#[case::version_gone(&[("v2", 9)], 12, Some(3))]
#[case::version_added(&[("v1", 9), ("v2", 9), ("v3", 3)], 12, Some(3))]
fn history_changes_only_where_shares_or_the_timeout_do(
    #[case] targets: &[(&str, u64)],
    #[case] timeout: u64,
    #[case] splits: Option<usize>,
) {
    let history = history(&[(1, &[("v1", 9), ("v2", 9)])]);
    let revised = revise_history(&history, at(2), &weights(targets), false, at(timeout));
    assert_eq!(revised.map(|revised| revised.splits.len()), splits);
}

#[test]
fn slots_follow_the_targets_and_few_of_them_change() {
    let mut history = history(&[(1, &[("v1", 18)])]);
    let mut moved = 0;
    for replaced in 1..=18u64 {
        let weights = weights(&[("v1", 18 - replaced), ("v2", replaced)]);
        let weights: VersionWeights = weights.into_iter().filter(|(_, count)| *count > 0).collect();
        let before = history.splits.last().expect("a split").slots;
        history = settled(history, at(1 + replaced), &weights);
        let after = history.splits.last().expect("a split").slots;
        moved += before.iter().zip(&after).filter(|(before, after)| before != after).count();
        let new = after.iter().filter(|slot| **slot == version("v2")).count() as u64;
        assert!(new.abs_diff(replaced * SPLIT_SLOTS as u64 / 18) <= 2, "{replaced}: {new}");
    }
    assert_eq!(moved, SPLIT_SLOTS, "each slot moves once");
}

#[test]
fn history_is_bounded_and_proves_nothing_of_what_was_dropped() {
    let mut history = VersionHistory::default();
    for number in 0..100 {
        let name = if number % 2 == 0 { "v1" } else { "v2" };
        history = settled(history, at(900), &weights(&[(name, 4)]));
    }
    assert!(history.splits.len() <= 32);
    let late = proved_version(&history, Some(&stream(1)), at(901), Some(TIMEOUT));
    assert_eq!(late, None);
}

/// Guards against streams that an earlier split began after the next one was stored: the platform had not answered yet.
#[test]
fn stream_is_not_proved_by_a_split_that_is_not_known_to_be_in_use() {
    let before = history(&[(1, &[("v1", 4)])]);
    let weights = weights(&[("v2", 4)]);
    let stored = revise_history(&before, at(900), &weights, false, TIMEOUT).expect("a split");
    let proved = |history: &VersionHistory| {
        proved_version(history, Some(&stream(1)), NOW, Some(Duration::from_secs(8)))
    };
    assert_eq!(proved(&stored), None);
    let confirmed = |time| confirm_last_split(&stored, time).expect("a use");
    assert_eq!(proved(&confirmed(at(998))), None);
    assert_eq!(proved(&confirmed(at(980))), Some(version("v2")));
    assert_eq!(confirm_last_split(&confirmed(at(980)), NOW), None);
}

/// Guards against the first split proving the version of streams that began before it was in use.
#[test]
fn streams_that_began_before_the_first_split_was_in_use_are_not_proved_beside_two_versions() {
    let weights = weights(&[("v1", 4), ("v2", 4)]);
    let first = revise_history(&VersionHistory::default(), at(990), &weights, false, TIMEOUT);
    let first = first.expect("a split");
    let proved = |history: &VersionHistory, time_left| {
        proved_version(history, Some(&stream(1)), NOW, Some(time_left))
    };
    assert_eq!(proved(&first, Duration::from_secs(8)), None);
    let settled = settled(first, at(992), &weights);
    assert_eq!(proved(&settled, Duration::from_secs(4)), None);
    assert!(proved(&settled, Duration::from_secs(8)).is_some());
}

/// Guards against daemons that begin streams by a split which others have not brought into use, or have replaced.
#[test]
fn split_that_no_daemon_has_brought_into_use_is_used_only_by_those_that_may() {
    let before = history(&[(1, &[("v1", 4)])]);
    let stored =
        revise_history(&before, at(900), &weights(&[("v1", 4), ("v2", 4)]), false, TIMEOUT);
    let stored = stored.expect("a split");
    let confirmed = confirm_last_split(&stored, at(902)).expect("a use");
    let mut undecided = 0;
    for number in 0..100 {
        let id = stream(number);
        let next = stored.splits.last().and_then(|split| split.version_of(&id)).expect("a version");
        let chosen = |history: &VersionHistory, adopts| choose_version(history, &id, adopts);
        assert_eq!(chosen(&stored, true), SplitChoice::Version(next));
        assert_eq!(chosen(&confirmed, false), SplitChoice::Version(next));
        match next == version("v1") {
            true => assert_eq!(chosen(&stored, false), SplitChoice::Version(next)),
            false => assert_eq!(chosen(&stored, false), SplitChoice::Undecided),
        }
        undecided += usize::from(next == version("v2"));
    }
    assert!((1..100).contains(&undecided), "{undecided}");
    assert_eq!(choose_version(&VersionHistory::default(), &stream(1), true), SplitChoice::Unsplit);
}

/// Guards against a proof that counts back an hour where a caller has more.
#[test]
fn stream_of_a_caller_with_two_hours_is_not_proved_by_the_stored_hour() {
    let two_hours = Duration::from_secs(7_200);
    let mut history = VersionHistory::default();
    for (time, name) in [(1, "v1"), (4_000, "v2")] {
        while let Some(revised) =
            revise_history(&history, at(time), &weights(&[(name, 4)]), false, two_hours)
                .or_else(|| confirm_last_split(&history, at(time)))
        {
            history = revised;
        }
    }
    let left = Some(Duration::from_secs(1_800));
    assert_eq!(proved_version(&history, Some(&stream(1)), at(7_700), left), None);
}

/// Guards against a proof that leaves out a split since the clock of the daemon that proves is ahead of the one that
/// stated the end of the split.
#[test]
fn stream_that_a_split_began_last_is_not_proved_by_a_daemon_whose_clock_is_ahead() {
    let ahead = Duration::from_secs(2);
    let history = history(&[(1, &[("v1", 4)]), (995, &[("v2", 4)])]);
    for age in [Duration::ZERO, Duration::from_secs(3)] {
        let proved = proved_version(&history, None, at(995) + age + ahead, Some(TIMEOUT - age));
        assert_eq!(proved, None, "{age:?}");
    }
}

/// Guards against a proof for streams that an earlier split began, which has been dropped since.
#[test]
fn nothing_is_proved_of_the_time_in_which_the_first_kept_split_was_in_force() {
    let mut history = history(&[(1, &[("v1", 4)]), (995, &[("v2", 4)])]);
    history.splits.drain(..2);
    let proved = |history: &VersionHistory| proved_version(history, None, at(1_020), Some(TIMEOUT));
    assert_eq!(proved(&history), None, "it is the first one that is kept");
    let weights = weights(&[("v2", 4), ("v3", 4)]);
    let next = revise_history(&history, at(1_001), &weights, false, TIMEOUT).expect("a split");
    let next = confirm_last_split(&next, at(1_003)).expect("a use");
    let stream =
        (0..100).map(stream).find(|id| next.splits[1].version_of(id) == Some(version("v2")));
    let in_force = proved_version(&next, stream.as_ref(), at(1_003), Some(TIMEOUT));
    assert_eq!(in_force, None);
    let later = proved_version(&next, stream.as_ref(), at(1_006), Some(TIMEOUT));
    assert_eq!(later, Some(version("v2")));
}

#[test]
fn caller_with_more_time_than_was_stored_proves_nothing() {
    let history = history(&[(1, &[("v1", 4)]), (900, &[("v2", 4)])]);
    let time_left = Some(TIMEOUT + Duration::from_secs(5));
    assert_eq!(proved_version(&history, Some(&stream(1)), NOW, time_left), None);
}

/// A stream of a random history.
struct BegunStream {
    id: StreamId,
    at: WallTime,
    version: VersionDigest,
}

/// Guards against a proof of another version than the one that began a stream, whatever targets come and go.
#[test]
fn random_histories_never_prove_another_version_than_the_one_that_began_a_stream() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut history = VersionHistory::default();
        let mut in_use = VersionHistory::default();
        let mut begun = Vec::new();
        let mut counts: BTreeMap<&str, u64> = BTreeMap::from([("v1", random.random_range(1..10))]);
        for step in 0..60u64 {
            let now = Duration::from_millis(1_000_000 + step * 500);
            if random.random_bool(0.3) {
                let name = ["v1", "v2", "v3"][random.random_range(0..3)];
                counts.insert(name, random.random_range(0..10));
            }
            let present = counts.iter().filter(|(_, count)| **count > 0);
            let weights = present.map(|(name, count)| (version(name), *count)).collect();
            let is_open = random.random_bool(0.05);
            let revised = revise_history(&history, now, &weights, is_open, TIMEOUT);
            history = revised.unwrap_or(history);
            // The scheduler uses what a read has shown, at any time later.
            if random.random_bool(0.5) {
                in_use = history.clone();
                history = confirm_last_split(&history, now).unwrap_or(history);
            }
            for _ in 0..3 {
                begun.extend(begin(&mut random, &in_use, &weights, now));
            }
            for stream in &begun {
                let age = now - stream.at;
                let time_left = Some(TIMEOUT.saturating_sub(age));
                let proved = proved_version(&history, Some(&stream.id), now, time_left);
                if age <= TIMEOUT {
                    assert!(proved.is_none_or(|proved| proved == stream.version), "seed {seed}");
                }
            }
        }
    }
}

/// Begins a stream as the scheduler does, where targets of the version of its slot take requests.
fn begin(
    random: &mut StdRng,
    history: &VersionHistory,
    weights: &VersionWeights,
    now: WallTime,
) -> Option<BegunStream> {
    let id = stream(random.random());
    let split: &VersionSplit = history.splits.last()?;
    let any = split.slots[random.random_range(0..SPLIT_SLOTS)];
    let version = split.version_of(&id).unwrap_or(any);
    weights.contains_key(&version).then_some(BegunStream { id, at: now, version })
}
